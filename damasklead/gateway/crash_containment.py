"""
Crash containment
=================

Finds requests, and prompt parts, that crash each replica that begins to respond to
them, and refuses them before they crash all replicas.  No I/O: the inputs are broken
responses, requests that were given up, failed connections, successes and the reports of
other gateways, the outputs are the fingerprints of refused requests and what is to be
reported.

Load pattern: requests that share one crashing prompt part, or one request that its
caller retries, at any gateway, among many sound requests that the same crashes
interrupt or that share the caller and the other parts.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import chain

import msgspec

from damasklead.body_buffer import iterate_pieces
from damasklead.clock import Clock
from damasklead.crash_attribution import (
    MAX_SUSPECT_EVENTS,
    MIN_CRASHES,
    CrashAttribution,
    InterruptedRequest,
    make_part_fingerprint,
)
from damasklead.crash_evidence import (
    EXPLAINED_TTL_SECONDS,
    CrashEvidence,
    CrashSummary,
)
from damasklead.gateway.abandoned_requests import AbandonedRequests, ReplicaStart
from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.gateway.crash_reports import (
    CrashCause,
    CrashReport,
    CrashSign,
    Exoneration,
    ObservedCrash,
)
from damasklead.gateway.exonerations import Exonerations
from damasklead.ids import Fingerprint, Incarnation, InstanceId
from damasklead.util import stable_hash_pieces

__all__ = ["Containment", "compute_fingerprint"]

# A broken response is attributed to a crash if its replica is found to be gone within
# this time; the platform's list drops a replica after some missing heartbeats, which
# are sent about every second.
CRASH_CONFIRM_SECONDS = 8.0
# Time for which crashes and exonerations are reported to other gateways; reports are
# sent repeatedly since datagrams may be lost.
CRASH_REPORT_SECONDS = 10.0
EXONERATION_REPORT_SECONDS = 2.0
# Time for which a request that succeeded is not suspected: frequent requests are often
# interrupted by crashes that others cause.
SUCCESS_TTL_SECONDS = 60.0
# Maximum number of remembered successful requests, of about 200 bytes each; LRU.
MAX_SUCCESSES = 4_000
# Exonerations whose repeated reports are recognized.
MAX_KNOWN_EXONERATIONS = 4_096
# Causes that are reported at once.
MAX_REPORTED_CAUSES = 64
_UNNAMED = InstanceId("")


class _BrokenResponses(msgspec.Struct, kw_only=True):
    """
    Requests whose responses one replica broke off, and when it last did so.

    Attributes
    ----------
    broken_at : float
        Clock time in seconds.
    """

    broken_at: float
    requests: set[InterruptedRequest]


def compute_fingerprint(call: Call) -> Fingerprint:
    """
    Return a hash of the workspace, target and body of a request.

    It is the same for all retries of a request and at all gateways.
    """
    workspace = "" if call.workspace is None else call.workspace.name
    # Pieces, since a long body is not copied.
    body = (str(piece, "latin-1") for piece in iterate_pieces(call.body))
    pieces = chain([f"{workspace}\x00{call.head.target}\x00"], body)
    return Fingerprint(f"{stable_hash_pieces(pieces):016x}")


class Containment:
    """
    The requests that this gateway refuses because they crash replicas.

    Parameters
    ----------
    clock : Clock
    on_quarantine : callable
        Called with each fingerprint that is refused from now on.
    on_release : callable
        Called with each fingerprint that is no longer refused.
    on_crash : callable
        Called with each report of a crash that adds suspects.
    instance : InstanceId
        Name of this gateway, which tells its exonerations from those of others.
    incarnation : int
        Start of its process in milliseconds of Unix time.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_quarantine: Callable[[Fingerprint], None],
        on_release: Callable[[Fingerprint], None] = lambda _: None,
        on_crash: Callable[[ObservedCrash], None] = lambda _: None,
        instance: InstanceId = _UNNAMED,
        incarnation: int = 0,
    ) -> None:
        self._clock = clock
        self._on_quarantine = on_quarantine
        self._on_release = on_release
        self._on_crash = on_crash
        self._instance = instance
        self._attribution = CrashAttribution(clock=clock)
        self._broken_responses: dict[ReplicaStart, _BrokenResponses] = {}
        self._abandoned = AbandonedRequests(clock=clock)
        self._recent_crashes: dict[CrashReport, float] = {}
        self._recent_exonerations: dict[Exoneration, float] = {}
        self._known_exonerations: OrderedDict[Exoneration, None] = OrderedDict()
        # Numbers of an earlier process of this gateway are not used again.
        self._exoneration_number = incarnation
        self._exonerations = Exonerations(clock=clock)
        self._successes: OrderedDict[int, float] = OrderedDict()
        # The causes that were refused and are explained by others since.
        self._withdrawn_causes: dict[CrashCause, float] = {}
        self._refused: frozenset[Fingerprint] = frozenset()

    @property
    def recent_crashes(self) -> list[CrashReport]:
        """The crashes to report to other gateways."""
        return list(self._recent_crashes)

    @property
    def recent_exonerations(self) -> list[Exoneration]:
        """The suspects of crashes that this gateway found to be sound recently."""
        return list(self._recent_exonerations)

    @property
    def causes(self) -> list[CrashCause]:
        """The causes of crashes, and those that were exonerated, for other gateways."""
        exonerated = self._select_exonerated(self._exonerations.causes)
        return self.refused_causes + exonerated

    @property
    def refused_causes(self) -> list[CrashCause]:
        """The causes of crashes that are refused, to report to other gateways."""
        return self._describe_causes(self._refused)

    @property
    def exonerated_causes(self) -> list[CrashCause]:
        """The exonerated causes that another gateway was known to refuse recently."""
        return self._select_exonerated(self._exonerations.repeated_causes)

    @property
    def withdrawn_causes(self) -> list[CrashCause]:
        """The causes that other gateways are to refuse no longer."""
        return [
            item
            for item in self._withdrawn_causes
            if item.fingerprint not in self._refused
        ]

    @property
    def crash_evidence(self) -> list[CrashEvidence]:
        """What this gateway knows of the latest crashes, for others."""
        return self._attribution.known_crashes.evidence

    @property
    def crash_summaries(self) -> list[CrashSummary]:
        """Summaries of recent crashes, by which others see whether they lack any."""
        return self._attribution.known_crashes.summaries

    @property
    def refused_fingerprints(self) -> frozenset[Fingerprint]:
        """The requests and prompt parts that are refused."""
        return self._refused

    def should_refuse(self, call: Call) -> bool:
        """Return whether a request is refused."""
        if not self._refused:
            return False
        if not self._refused.isdisjoint(_list_parts(call)):
            return True
        return compute_fingerprint(call) in self._refused

    def record_success(self, call: Call) -> None:
        """Record that a replica sent a complete, successful response to a request."""
        request_hash = _hash_request(call)
        self._successes.pop(request_hash, None)
        self._successes[request_hash] = self._clock.now()
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        parts = _list_parts(call)
        cleared = self._attribution.record_success(parts)
        if self._attribution.has_suspects or self._refused:
            request = compute_fingerprint(call)
            if self._attribution.is_suspect(request):
                self._attribution.record_success([request])
            cleared += [item for item in (*parts, request) if item in self._refused]
        for fingerprint in set(cleared):
            self._exonerate(fingerprint)

    def record_broken_response(
        self, record: UpstreamRecord, call: Call, *, event_count: int = 0
    ) -> None:
        """
        Record that a replica's connection ended before its response to a request did.

        Parameters
        ----------
        record : UpstreamRecord
        call : Call
        event_count : int
            Events of the response that had arrived.  After some of them, only the
            request itself is suspected: the parts of its prompt have been read.
        """
        request = self._describe_interrupted(call, event_count)
        if request is None:
            return
        now = self._clock.now()
        broken = self._broken_responses.setdefault(
            _get_start(record), _BrokenResponses(broken_at=now, requests=set())
        )
        broken.broken_at = now
        broken.requests.add(request)

    def record_abandoned(
        self, record: UpstreamRecord, call: Call, *, event_count: int = 0
    ) -> None:
        """
        Record that this gateway ended a request that a replica may go on with.

        It is a suspect if this start of the replica crashes soon.

        Parameters
        ----------
        record : UpstreamRecord
        call : Call
        event_count : int
            Events of the response that had arrived.
        """
        request = self._describe_interrupted(call, event_count)
        if request is not None:
            self._abandoned.record(record, request, request_hash=_hash_request(call))

    def take_due_checks(self) -> list[UpstreamRecord]:
        """Return the replicas to check now since requests were given up there."""
        return self._abandoned.take_due_checks()

    def record_running(self, record: UpstreamRecord) -> None:
        """Record that a replica at which requests were given up still runs."""
        self._abandoned.record_alive(_get_start(record))

    def record_refused_connection(self, record: UpstreamRecord) -> None:
        """
        Record that the process of a replica is gone at which requests were given up.

        Another connection that fails doesn't show that: a replica that is cut off from
        all gateways goes on, and what they give up meanwhile would be blamed.
        """
        start = _get_start(record)
        self._confirm_crash(start, CrashSign.CONNECTION_FAILED)
        self._report_abandoned(start, CrashSign.CONNECTION_REFUSED)

    def has_broken_responses(self, record: UpstreamRecord) -> bool:
        """Return whether a start of a replica has broken off responses recently."""
        return _get_start(record) in self._broken_responses

    def record_connection_failure(self, record: UpstreamRecord) -> None:
        """Record that a replica refuses connections, which confirms a crash."""
        start = _get_start(record)
        self._confirm_crash(start, CrashSign.CONNECTION_FAILED)
        self._abandoned.hasten_check(start)

    def record_connection(self, record: UpstreamRecord) -> None:
        """Record that a replica accepts connections after it broke off responses."""
        self._broken_responses.pop(_get_start(record), None)

    def update_replicas(self, records: list[UpstreamRecord]) -> None:
        """
        Replace the listed replicas.

        Replicas that are no longer listed in the same incarnation and have broken off
        responses count as crashed.
        """
        listed = {_get_start(record) for record in records}
        for key in [item for item in self._broken_responses if item not in listed]:
            self._confirm_crash(key, CrashSign.UNLISTED)
        for start in self._abandoned.update_replicas(records):
            self._report_abandoned(start, CrashSign.REPLACED)

    def record_crash_reports(self, reports: list[CrashReport]) -> None:
        """Record the crashes that another gateway has reported."""
        for report in reports:
            if self._observe_crash(report, CrashSign.REPORTED):
                self._abandoned.hasten_check((report.instance, report.incarnation))

    def record_exonerations(self, exonerations: list[Exoneration]) -> list[Exoneration]:
        """
        Record suspects that another gateway found to be sound.

        Returns
        -------
        list of Exoneration
            Those that changed anything here.
        """
        effective: list[Exoneration] = []
        for item in exonerations:
            if item in self._known_exonerations:
                continue
            self._remember_exoneration(item)
            if self._apply_exoneration(item.fingerprint, self._clock.now()):
                effective.append(item)
        return effective

    def record_evidence(
        self, evidence: Iterable[CrashEvidence], elapsed: float = 0.0
    ) -> None:
        """
        Record what another gateway knows of crashes.

        Parameters
        ----------
        evidence : iterable of CrashEvidence
        elapsed : float
            Seconds since it was described at the latest.
        """
        for item in evidence:
            older = msgspec.structs.replace(
                item, age_seconds=item.age_seconds + elapsed
            )
            self._attribution.record_evidence(older, self._exonerations.get_time)

    def lacks_crashes(self, summaries: Iterable[CrashSummary]) -> bool:
        """Return whether another gateway knows more of any crash."""
        return self._attribution.known_crashes.lacks_any(summaries)

    def adopt_causes(self, causes: Iterable[CrashCause]) -> None:
        """
        Refuse what other gateways found to be causes of crashes.

        Causes that were exonerated later are refused no longer.
        """
        now = self._clock.now()
        for cause in causes:
            age = math.inf if cause.age_seconds is None else max(cause.age_seconds, 0.0)
            if cause.is_exonerated:
                self._apply_exoneration(cause.fingerprint, now - age, is_cause=True)
            elif not self._exonerations.contradicts(cause):
                self._attribution.record_cause(
                    cause.fingerprint,
                    crash_count=cause.crash_count,
                    seconds_left=min(cause.seconds_left, EXPLAINED_TTL_SECONDS),
                    since=now - age,
                )
        self._update_refused()

    def forget_causes(self, causes: Iterable[CrashCause]) -> list[CrashCause]:
        """
        Forget causes that another gateway has withdrawn.

        Returns
        -------
        list of CrashCause
            Those that no other gateway had reported with more crashes.
        """
        forgotten = [
            cause
            for cause in causes
            if self._attribution.forget_cause(
                cause.fingerprint, crash_count=cause.crash_count
            )
        ]
        if forgotten:
            self._update_refused()
        return forgotten

    def withdraw_causes(self, causes: Iterable[CrashCause]) -> None:
        """Forget causes that another gateway has withdrawn, and report this."""
        now = self._clock.now()
        self._withdrawn_causes |= dict.fromkeys(self.forget_causes(causes), now)

    def select_unlisted_causes(
        self, listed: frozenset[Fingerprint]
    ) -> list[CrashCause]:
        """Return the causes of known crashes that a list of causes lacks."""
        return self._describe_causes(
            item
            for item in self._refused - listed
            if self._attribution.count_crashes(item) >= MIN_CRASHES
        )

    def update_quarantine(self) -> None:
        """Decide which requests to refuse, and drop expired records."""
        now = self._clock.now()
        self._update_refused()
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
        self._exonerations.expire()
        self._withdrawn_causes = {
            item: at
            for item, at in self._withdrawn_causes.items()
            if now - at < CRASH_REPORT_SECONDS and item.fingerprint not in self._refused
        }
        self._recent_exonerations = {
            item: at
            for item, at in self._recent_exonerations.items()
            if now - at < EXONERATION_REPORT_SECONDS
        }

    def _describe_causes(self, causes: Iterable[Fingerprint]) -> list[CrashCause]:
        now = self._clock.now()
        expiry = self._attribution.reported_causes
        return [
            CrashCause(
                item,
                EXPLAINED_TTL_SECONDS
                if self._attribution.count_crashes(item) >= MIN_CRASHES
                else expiry.get(item, now) - now,
                self._attribution.count_all_crashes(item),
                self._get_cause_age(item),
            )
            for item in sorted(causes)[:MAX_REPORTED_CAUSES]
        ]

    def _get_cause_age(self, cause: Fingerprint) -> float | None:
        since = self._attribution.get_cause_time(cause)
        return None if since == -math.inf else max(self._clock.now() - since, 0.0)

    def _select_exonerated(self, causes: list[CrashCause]) -> list[CrashCause]:
        """Return those that are not refused again, because of later crashes."""
        return [item for item in causes if item.fingerprint not in self._refused]

    def _update_refused(self) -> None:
        refused = frozenset(self._attribution.find_causes())
        for fingerprint in self._attribution.reported_causes.keys() - refused:
            crash_count = self._attribution.count_crashes(fingerprint)
            self._attribution.forget_cause(fingerprint, crash_count=crash_count)
            withdrawn = CrashCause(fingerprint, 0.0, crash_count)
            self._withdrawn_causes[withdrawn] = self._clock.now()
        self._replace_refused(refused)

    def _replace_refused(self, refused: frozenset[Fingerprint]) -> None:
        if refused == self._refused:
            return
        added, removed = refused - self._refused, self._refused - refused
        self._refused = refused
        for fingerprint in sorted(added):
            self._on_quarantine(fingerprint)
        for fingerprint in sorted(removed):
            self._on_release(fingerprint)

    def _exonerate(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect here, and report this to the other gateways."""
        self._apply_exoneration(fingerprint, self._clock.now())
        self._exoneration_number += 1
        item = Exoneration(fingerprint, self._instance, self._exoneration_number)
        self._recent_exonerations[item] = self._clock.now()
        self._remember_exoneration(item)

    def _apply_exoneration(
        self, fingerprint: Fingerprint, at: float, *, is_cause: bool = False
    ) -> bool:
        """Clear a suspect of what was before; return whether this changed anything."""
        was_refused = fingerprint in self._refused
        is_later = self._exonerations.record(
            fingerprint, at, is_cause=is_cause or was_refused
        )
        if not is_later:
            return False
        cleared = self._attribution.record_success([fingerprint], at=at)
        if self._attribution.count_all_crashes(fingerprint) < MIN_CRASHES:
            self._replace_refused(self._refused - {fingerprint})
        return bool(cleared) or was_refused

    def _remember_exoneration(self, item: Exoneration) -> None:
        self._known_exonerations[item] = None
        if len(self._known_exonerations) > MAX_KNOWN_EXONERATIONS:
            self._known_exonerations.popitem(last=False)

    def _describe_interrupted(
        self, call: Call, event_count: int
    ) -> InterruptedRequest | None:
        """Return what to suspect of a request, ``None`` for one that is sound."""
        is_sound = self._was_sound(_hash_request(call))
        has_sound_parts = event_count >= MAX_SUSPECT_EVENTS
        if is_sound and has_sound_parts:
            return None
        return InterruptedRequest(
            Fingerprint("") if is_sound else compute_fingerprint(call),
            () if has_sound_parts else _list_parts(call),
        )

    def _was_sound(self, request_hash: int) -> bool:
        """Return whether a request has succeeded recently."""
        last_success = self._successes.get(request_hash, -SUCCESS_TTL_SECONDS)
        return self._clock.now() - last_success < SUCCESS_TTL_SECONDS

    def _report_abandoned(self, start: ReplicaStart, sign: CrashSign) -> None:
        """Report the requests that were given up at a replica that has crashed."""
        abandoned = self._abandoned.take(start)
        suspects = {
            msgspec.structs.replace(item.request, fingerprint=Fingerprint(""))
            if self._was_sound(item.request_hash)
            else item.request
            for item in abandoned
        }
        suspects = {item for item in suspects if item.fingerprint or item.parts}
        if suspects:
            self._report_crash(
                start, suspects, sign, max(item.at for item in abandoned)
            )

    def _confirm_crash(self, start: ReplicaStart, sign: CrashSign) -> None:
        broken = self._broken_responses.pop(start, None)
        if broken is not None:
            self._report_crash(start, broken.requests, sign, broken.broken_at)

    def _report_crash(
        self,
        start: ReplicaStart,
        suspects: set[InterruptedRequest],
        sign: CrashSign,
        interrupted_at: float,
    ) -> None:
        now = self._clock.now()
        requests = sorted(suspects, key=lambda item: (item.fingerprint, item.parts))
        report = CrashReport(
            *start,
            tuple(item.fingerprint for item in requests),
            tuple(item.parts for item in requests),
        )
        self._recent_crashes[report] = now
        self._observe_crash(report, sign, seconds_since_broken=now - interrupted_at)

    def _observe_crash(
        self, report: CrashReport, sign: CrashSign, *, seconds_since_broken: float = 0.0
    ) -> bool:
        """Record a crash; return whether there are new suspects."""
        requests = report.list_requests()
        is_new = self._attribution.record_crash(
            report.instance, Incarnation(report.incarnation), requests
        )
        if is_new:
            suspects = {
                item
                for request in requests
                for item in (request.fingerprint, *request.parts)
            }
            counts = map(self._attribution.count_crashes, suspects)
            self._on_crash(
                ObservedCrash(
                    report=report,
                    sign=sign,
                    seconds_since_broken=seconds_since_broken,
                    max_crash_count=max(counts, default=0),
                )
            )
        return is_new


def _get_start(record: UpstreamRecord) -> ReplicaStart:
    return record.instance, record.incarnation


def _list_parts(call: Call) -> tuple[Fingerprint, ...]:
    return tuple(make_part_fingerprint(part.key) for part in call.head.shared_parts)


def _hash_request(call: Call) -> int:
    """Return a hash of a request that is fast but valid in this process only."""
    workspace = "" if call.workspace is None else call.workspace.name
    body = (hash(piece.toreadonly()) for piece in iterate_pieces(call.body))
    return hash((workspace, call.head.target, *body))
