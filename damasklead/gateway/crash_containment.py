"""
Crash containment
=================

Finds requests that crash each replica that executes them, and refuses them before they
crash all replicas.  No I/O: the inputs are broken responses, failed connections and
crash reports of other gateways, the outputs are the fingerprints of refused requests.

Load pattern: one request that its caller retries at any gateway, among many other
requests that the same crashes interrupt but that don't cause them.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.ids import Fingerprint, Incarnation, InstanceId
from damasklead.quarantine import Quarantine
from damasklead.util import stable_hash

__all__ = [
    "Containment",
    "CrashReport",
    "CrashSign",
    "ObservedCrash",
    "compute_fingerprint",
]

# A broken response is attributed to a crash if its replica is found to be gone within
# this time; the platform's list drops a replica after some missing heartbeats, which
# are sent about every second.
CRASH_CONFIRM_SECONDS = 8.0
# Time for which a crash is reported to other gateways; the report is sent repeatedly
# since datagrams may be lost.
CRASH_REPORT_SECONDS = 10.0
# Time for which a request that succeeded is not suspected: frequent requests are often
# interrupted by crashes that others cause.
SUCCESS_TTL_SECONDS = 60.0
# Maximum number of remembered successful requests, of about 200 bytes each; LRU.
MAX_SUCCESSES = 4_000
# Number of crashes after which a request is refused; with fewer, requests that were
# only active at the same replica would be blamed.
CRASHES_TO_REFUSE = 3


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """
    A replica's crash, reported by one gateway.

    Attributes
    ----------
    incarnation : int
        Start time of the crashed replica in milliseconds.
    fingerprints : tuple of Fingerprint
        The gateway's requests that the crash interrupted.
    """

    instance: InstanceId
    incarnation: int
    fingerprints: tuple[Fingerprint, ...]


class CrashSign(Enum):
    """How a gateway found out about a crash."""

    CONNECTION_FAILED = "connection-failed"
    UNLISTED = "unlisted"
    REPORTED = "reported"


class ObservedCrash(msgspec.Struct, kw_only=True, frozen=True):
    """
    A crash as one gateway observed it, for its log.

    Attributes
    ----------
    report : CrashReport
        The crash with the requests that it interrupted.
    sign : CrashSign
        How the gateway found out.
    seconds_since_broken : float
        Time from the last broken response of the replica; 0 for a reported crash.
    max_crash_count : int
        Crashes that the gateway has counted for one of the requests at most.
    """

    report: CrashReport
    sign: CrashSign
    seconds_since_broken: float
    max_crash_count: int


class _BrokenResponses(msgspec.Struct, kw_only=True):
    """
    Requests whose responses one replica broke off, and when it last did so.

    Attributes
    ----------
    broken_at : float
        Clock time in seconds.
    """

    broken_at: float
    fingerprints: set[Fingerprint]


def compute_fingerprint(call: Call) -> Fingerprint:
    """
    Return a hash of the workspace, target and body of a request.

    It is the same for all retries of a request and at all gateways.
    """
    workspace = "" if call.workspace is None else call.workspace.name
    body = call.body.decode("latin-1")
    return Fingerprint(f"{stable_hash(workspace, call.head.target, body):016x}")


class Containment:
    """
    The requests that this gateway refuses because they crash replicas.

    Parameters
    ----------
    clock : Clock
    on_quarantine : callable
        Called with each fingerprint that is refused from now on.
    on_crash : callable
        Called once with each crash that is confirmed or reported.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_quarantine: Callable[[Fingerprint], None],
        on_crash: Callable[[ObservedCrash], None] = lambda _: None,
    ) -> None:
        self._clock = clock
        self._on_quarantine = on_quarantine
        self._on_crash = on_crash
        self._quarantine = Quarantine(clock=clock, min_crashes=CRASHES_TO_REFUSE)
        self._broken_responses: dict[tuple[InstanceId, int], _BrokenResponses] = {}
        self._recent_crashes: dict[CrashReport, float] = {}
        self._successes: OrderedDict[int, float] = OrderedDict()

    @property
    def recent_crashes(self) -> list[CrashReport]:
        """The crashes to report to other gateways."""
        return list(self._recent_crashes)

    def should_refuse(self, call: Call) -> bool:
        """Return whether a request is refused."""
        return bool(
            self._quarantine.quarantined_fingerprints
        ) and self._quarantine.is_quarantined(compute_fingerprint(call))

    def record_success(self, call: Call) -> None:
        """Record that a replica sent a complete response to a request."""
        fingerprint = _hash_request(call)
        self._successes.pop(fingerprint, None)
        self._successes[fingerprint] = self._clock.now()
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        if self._quarantine.has_suspects:
            self._quarantine.record_success(compute_fingerprint(call))

    def record_broken_response(self, record: UpstreamRecord, call: Call) -> None:
        """Record that a replica broke off its response to a request."""
        now = self._clock.now()
        if (
            now - self._successes.get(_hash_request(call), -SUCCESS_TTL_SECONDS)
            < SUCCESS_TTL_SECONDS
        ):
            return
        key = (record.instance, record.incarnation)
        broken = self._broken_responses.setdefault(
            key, _BrokenResponses(broken_at=now, fingerprints=set())
        )
        broken.broken_at = now
        broken.fingerprints.add(compute_fingerprint(call))

    def record_connection_failure(self, record: UpstreamRecord) -> None:
        """Record that a replica refuses connections, which confirms a crash."""
        self._confirm_crash(
            (record.instance, record.incarnation), CrashSign.CONNECTION_FAILED
        )

    def update_replicas(self, records: list[UpstreamRecord]) -> None:
        """
        Replace the listed replicas.

        Replicas that are no longer listed in the same incarnation and have broken off
        responses count as crashed.
        """
        listed = {(record.instance, record.incarnation) for record in records}
        for key in [item for item in self._broken_responses if item not in listed]:
            self._confirm_crash(key, CrashSign.UNLISTED)

    def record_crash_reports(self, reports: list[CrashReport]) -> None:
        """Record the crashes that another gateway has reported."""
        for report in reports:
            self._observe_crash(report, CrashSign.REPORTED)

    def update_quarantine(self) -> None:
        """Decide which requests to refuse, and drop expired records."""
        now = self._clock.now()
        for fingerprint in self._quarantine.identify_culprits():
            if self._quarantine.add_fingerprint(fingerprint):
                self._on_quarantine(fingerprint)
        self._broken_responses = {
            key: broken
            for key, broken in self._broken_responses.items()
            if now - broken.broken_at < CRASH_CONFIRM_SECONDS
        }
        self._recent_crashes = {
            report: at
            for report, at in self._recent_crashes.items()
            if now - at < CRASH_REPORT_SECONDS
        }

    def _confirm_crash(self, key: tuple[InstanceId, int], sign: CrashSign) -> None:
        broken = self._broken_responses.pop(key, None)
        if broken is None:
            return
        now = self._clock.now()
        report = CrashReport(*key, tuple(sorted(broken.fingerprints)))
        self._recent_crashes[report] = now
        self._observe_crash(report, sign, seconds_since_broken=now - broken.broken_at)

    def _observe_crash(
        self, report: CrashReport, sign: CrashSign, *, seconds_since_broken: float = 0.0
    ) -> None:
        incarnation = Incarnation(report.incarnation)
        fingerprints = frozenset(report.fingerprints)
        is_new = self._quarantine.record_crash(
            report.instance, incarnation, fingerprints
        )
        if is_new:
            counts = map(self._quarantine.count_crashes, fingerprints)
            self._on_crash(
                ObservedCrash(
                    report=report,
                    sign=sign,
                    seconds_since_broken=seconds_since_broken,
                    max_crash_count=max(counts, default=0),
                )
            )


def _hash_request(call: Call) -> int:
    """Return a hash of a request that is fast but valid in this process only."""
    workspace = "" if call.workspace is None else call.workspace.name
    return hash((workspace, call.head.target, call.body))
