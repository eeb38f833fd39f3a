"""
Abandoned requests
==================

Remembers the requests that this gateway gave up while a replica may have executed them,
and when to find out whether that replica still runs.  No I/O.

A replica may go on with a request after its connection was closed, and crash.  No
response breaks off then, so that only the requests that were given up shortly before
the crash can be named as suspects.

Load pattern: callers that leave, deadlines and hedges that lost, at any rate, nearly
all of them of sound requests; few replicas crash.
"""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from damasklead.clock import Clock
from damasklead.crash_attribution import InterruptedRequest
from damasklead.gateway.calls import UpstreamRecord, UpstreamState
from damasklead.ids import InstanceId

__all__ = ["AbandonedRequest", "AbandonedRequests", "ReplicaStart"]

# Time for which a replica may go on with a request that was given up.
ABANDONED_SECONDS = 10.0
# A crash within that time is found this much later at most.
DISCOVERY_SECONDS = 5.0
# Times between two checks of a replica, the first and the longest one.  An entry of a
# crashed replica expires after some 3 s; it is checked before.
MIN_CHECK_SECONDS = 0.5
MAX_CHECK_SECONDS = 2.0
# Requests that are remembered, the latest ones, of about 500 bytes each.
MAX_REQUESTS = 1_024
# Requests that become suspects of one crash, the latest ones.
MAX_SUSPECTS = 32
# Checks that are due at once.
MAX_DUE = 16

ReplicaStart = tuple[InstanceId, int]


class AbandonedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """
    A request that was given up at a replica.

    Attributes
    ----------
    request : InterruptedRequest
    request_hash : int
        Identifies the request in this process.
    at : float
        Clock reading in seconds.
    """

    request: InterruptedRequest
    request_hash: int
    at: float


class _Watch(msgspec.Struct, kw_only=True):
    """
    When a start of a replica is checked.

    Attributes
    ----------
    check_at : float
        Clock reading in seconds of the next check.
    interval : float
        Seconds from then until the one after it.
    request_count : int
        Requests that it may execute.
    """

    record: UpstreamRecord
    check_at: float
    interval: float = MIN_CHECK_SECONDS
    request_count: int = 0


class AbandonedRequests:
    """
    The requests that one gateway gave up recently, by start of the replica.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._requests: OrderedDict[
            tuple[ReplicaStart, InterruptedRequest], AbandonedRequest
        ] = OrderedDict()
        self._watches: dict[ReplicaStart, _Watch] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def record(
        self, record: UpstreamRecord, request: InterruptedRequest, *, request_hash: int
    ) -> None:
        """Record that a request was given up at a replica that may execute it."""
        now = self._clock.now()
        start = (record.instance, record.incarnation)
        check_at = now + MIN_CHECK_SECONDS
        watch = self._watches.setdefault(
            start, _Watch(record=record, check_at=check_at)
        )
        watch.check_at = min(watch.check_at, check_at)
        watch.interval = MIN_CHECK_SECONDS
        key = (start, request)
        if key not in self._requests:
            watch.request_count += 1
        self._requests[key] = AbandonedRequest(
            request=request, request_hash=request_hash, at=now
        )
        self._requests.move_to_end(key)
        if len(self._requests) > MAX_REQUESTS:
            self._remove(next(iter(self._requests)))

    def take(self, start: ReplicaStart) -> list[AbandonedRequest]:
        """Remove and return the latest requests at a replica that has crashed."""
        if start not in self._watches:
            return []
        taken = [self._remove(key) for key in list(self._requests) if key[0] == start]
        return taken[-MAX_SUSPECTS:]

    def update_replicas(self, records: Iterable[UpstreamRecord]) -> list[ReplicaStart]:
        """
        Forget requests at replicas that leave, and find out which have crashed.

        Only a later start, under its id or at its address, shows that a replica has
        crashed: one that isn't listed any more may have left, or be cut off.

        Parameters
        ----------
        records : iterable of UpstreamRecord
            All listed replicas.

        Returns
        -------
        list of ReplicaStart
            Those that have crashed; their requests are still to be taken.
        """
        if not self._watches:
            return []
        listed: dict[InstanceId, UpstreamRecord] = {}
        last_starts: dict[str, int] = {}
        for record in records:
            listed[record.instance] = record
            last_start = last_starts.get(record.address, 0)
            last_starts[record.address] = max(record.incarnation, last_start)
        crashed: list[ReplicaStart] = []
        for start, watch in list(self._watches.items()):
            old, present = watch.record, listed.get(watch.record.instance)
            if present is None or present.state is not UpstreamState.LIVE:
                self.take(start)
                continue
            last_start = max(present.incarnation, last_starts.get(old.address, 0))
            if last_start > old.incarnation:
                crashed.append(start)
        return crashed

    def record_alive(self, start: ReplicaStart) -> None:
        """Record that a replica runs, so that older requests have not crashed it."""
        self._drop_older(ABANDONED_SECONDS, start)

    def hasten_check(self, start: ReplicaStart) -> None:
        """Have a replica checked at once that may have crashed."""
        watch = self._watches.get(start)
        if watch is not None:
            watch.check_at = self._clock.now()

    def take_due_checks(self) -> list[UpstreamRecord]:
        """Return the replicas to check now, and schedule their next checks."""
        self._drop_older(ABANDONED_SECONDS + DISCOVERY_SECONDS)
        now = self._clock.now()
        due = [watch for watch in self._watches.values() if watch.check_at <= now]
        due.sort(key=lambda watch: watch.check_at)
        for watch in due[:MAX_DUE]:
            watch.check_at = now + watch.interval
            watch.interval = min(2 * watch.interval, MAX_CHECK_SECONDS)
        return [watch.record for watch in due[:MAX_DUE]]

    def _drop_older(self, seconds: float, start: ReplicaStart | None = None) -> None:
        """Forget requests that were given up so long ago, at one replica or at all."""
        oldest = self._clock.now() - seconds
        dropped: list[tuple[ReplicaStart, InterruptedRequest]] = []
        for key, abandoned in self._requests.items():
            if abandoned.at >= oldest:
                break  # they are in the order of their times
            if start is None or key[0] == start:
                dropped.append(key)
        for key in dropped:
            self._remove(key)

    def _remove(self, key: tuple[ReplicaStart, InterruptedRequest]) -> AbandonedRequest:
        start = key[0]
        self._watches[start].request_count -= 1
        if not self._watches[start].request_count:
            del self._watches[start]
        return self._requests.pop(key)
