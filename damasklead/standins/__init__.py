"""
Stand-ins
=========

Small servers that take the place of engines, services and the platform in tests and
trials.
"""

import signal

from gevent import signal_handler
from gevent.event import Event

from damasklead.standins.base import StandinServer
from damasklead.standins.engine import EngineStandin
from damasklead.standins.plain import PlainStandin
from damasklead.standins.platform import PlatformStandin
from damasklead.stores.base import InstanceRecord
from damasklead.stores.http import make_http_platform

__all__ = ["EngineStandin", "PlainStandin", "PlatformStandin", "run_standin"]

KINDS: dict[str, type[EngineStandin] | type[PlainStandin]] = {
    "engine": EngineStandin,
    "service": PlainStandin,
}


def run_standin(
    kind: str, *, record: InstanceRecord, platform_address: str = ""
) -> int:
    """Run a stand-in until SIGTERM or SIGINT; returns the exit code."""
    standin: StandinServer
    if kind == "platform":
        standin = PlatformStandin(record=record)
    else:
        platform = (
            make_http_platform(address=platform_address) if platform_address else None
        )
        standin = KINDS[kind](record=record, platform=platform, exits_on_crash=True)
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal_handler(number, stopped.set)
    standin.start()
    stopped.wait()
    standin.stop()
    return 0
