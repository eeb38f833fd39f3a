"""
Stand-ins
=========

Small HTTP servers that replace engines, services and the platform in tests and
experiments.
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

STANDIN_CLASSES: dict[str, type[EngineStandin] | type[PlainStandin]] = {
    "engine": EngineStandin,
    "service": PlainStandin,
}


def run_standin(
    kind: str, *, record: InstanceRecord, platform_address: str = ""
) -> int:
    """
    Run a stand-in until SIGTERM or SIGINT.

    Parameters
    ----------
    kind : str
        ``engine``, ``service`` or ``platform``.
    record : InstanceRecord
        The stand-in's entry in the instance list; it listens on the record's address.
    platform_address : str
        Address (``host:port``) of the platform where an engine or a service registers;
        empty to register nowhere.

    Returns
    -------
    int
        The exit code of the process.
    """
    standin: StandinServer
    if kind == "platform":
        standin = PlatformStandin(record=record)
    else:
        platform = (
            make_http_platform(address=platform_address) if platform_address else None
        )
        standin = STANDIN_CLASSES[kind](
            record=record, platform=platform, exits_on_crash=True
        )
    stop_requested = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal_handler(signal_number, stop_requested.set)
    standin.start()
    stop_requested.wait()
    standin.stop()
    return 0
