"""
Tests of crashes that an entry alone confirms
=============================================

An entry that can ask no other one, and what its request for the state of a replica
shows.
"""

from types import SimpleNamespace
from typing import Any

import pytest

from damasklead.clock import ManualClock
from damasklead.daemon.crashes import CrashDetector
from damasklead.failures import Failure
from damasklead.gossip import GossipBuffer
from damasklead.ids import Fingerprint, Incarnation, InstanceId
from damasklead.messages import CrashNotice
from damasklead.quarantine import Quarantine
from damasklead.upstreams import UpstreamError, UpstreamStatus

NOTICE = CrashNotice(
    instance=InstanceId("engine"),
    incarnation=Incarnation(1),
    fingerprints=(Fingerprint("f"),),
    prompts=((),),
)


def make_refused_error() -> UpstreamError:
    error = UpstreamError(Failure.NOT_SENT, "connect: refused")
    error.__cause__ = ConnectionRefusedError("refused")
    return error


@pytest.mark.parametrize(
    ("outcome", "is_crash"),
    [
        (UpstreamError(Failure.TIMED_OUT, "no complete response in 2.0 s"), False),
        (UpstreamError(Failure.REFUSED, "control request: status 503"), False),
        (UpstreamError(Failure.NOT_SENT, "too many connections"), False),
        (UpstreamStatus(incarnation=Incarnation(1)), False),
        (make_refused_error(), True),
        (UpstreamError(Failure.BROKEN, "closed before a response"), True),
        (UpstreamStatus(incarnation=Incarnation(2)), True),
    ],
    ids=["silent", "busy", "limit", "same", "refused", "broken", "started again"],
)
def test_a_replica_that_does_not_report_has_not_crashed_for_that(
    outcome: UpstreamError | UpstreamStatus, is_crash: bool
) -> None:
    """Guards against sound requests that count as causes of crashes."""
    changes: list[str] = []
    quarantine = Quarantine(clock=ManualClock())
    detector = CrashDetector(
        instance=InstanceId("entry"),
        quarantine=quarantine,
        gossip=GossipBuffer(clock=ManualClock()),
        record_change=lambda action, *_, **__: changes.append(action),
    )
    detector.record_crash_notice(NOTICE)

    def fetch_status(_address: str) -> UpstreamStatus:
        if isinstance(outcome, UpstreamError):
            raise outcome
        return outcome

    pool: Any = SimpleNamespace(upstream=SimpleNamespace(fetch_status=fetch_status))
    detector._confirm_crash(pool, "127.0.0.1:1", NOTICE)
    assert changes == (["crash"] if is_crash else [])
    assert quarantine.has_suspects is is_crash
