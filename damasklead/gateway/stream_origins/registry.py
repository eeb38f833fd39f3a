"""
Registry of stream origins
==========================

Records which version began each stream, at other gateways and in the platform's store,
and finds it again when a caller takes a stream up.
"""

from collections.abc import Callable, Iterable
from enum import Enum

import gevent
from gevent.event import AsyncResult

from damasklead.clock import Clock
from damasklead.gateway.calls import Call, UpstreamRecord
from damasklead.gateway.dialect import FeedError, OriginStore
from damasklead.gateway.journal import Journal
from damasklead.gateway.peers import Peers
from damasklead.gateway.refusals import Reason, Refusal
from damasklead.gateway.routing import RouteKind
from damasklead.gateway.stream_origins.messages import (
    OriginQuery,
    OriginReply,
    OriginReport,
)
from damasklead.gateway.stream_origins.origins import (
    StreamOrigin,
    StreamOrigins,
    compute_request_key,
    rank_keepers,
    select_keepers,
)
from damasklead.gateway.stream_origins.writer import OriginWriter
from damasklead.ids import (
    UNKNOWN_VERSION,
    AttemptId,
    Incarnation,
    InstanceId,
    SoftwareVersion,
)

__all__ = ["OriginRegistry", "OriginSource"]

# Gateways that get each origin, those among them that write it to the store, and those
# that are asked for it: one more, since gateways may know different members.
COPIES = 3
WRITERS = 2
ASKED_KEEPERS = 4
# Time for the replies of keepers, which take a few milliseconds, before they are asked
# once more, and then before the store is read.
QUERY_TIMEOUTS_SECONDS = (0.04, 0.06)
# Retry-After when neither the keepers nor the store could be asked.
RETRY_AFTER_SECONDS = 0.4


class OriginSource(Enum):
    """Where the origin of a stream that is taken up was found, or why it was not."""

    OWN = "own"
    KEEPER = "keeper"
    STORE = "store"
    NOT_NAMED = "not-named"
    NOT_FOUND = "not-found"
    AMBIGUOUS = "ambiguous"
    OTHER_REQUEST = "other-request"
    UNLISTED = "unlisted"
    STORE_UNAVAILABLE = "store-unavailable"


# The store answers again, or the replica's new entry is read.
_TRANSIENT_SOURCES = frozenset({OriginSource.STORE_UNAVAILABLE, OriginSource.UNLISTED})


class _Query:
    """
    A query that waits for the reply of a keeper which knows the origin.

    Parameters
    ----------
    names : iterable of str
        The keepers that are asked.

    Attributes
    ----------
    result : AsyncResult
        The reply; ``None`` when all keepers have replied that they don't know it.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.result = AsyncResult()
        self._silent = set(names)

    def record_reply(self, reply: OriginReply, sender: str) -> None:
        """Record a keeper's reply."""
        self._silent.discard(sender)
        if reply.origin is not None or reply.is_ambiguous:
            self.result.set(reply)
        elif not self._silent and not self.result.ready():
            self.result.set(None)


class OriginRegistry:
    """
    Records and finds the origins of streams for one gateway.

    An origin is remembered here and sent to keepers before the first event reaches the
    caller.  A stream whose origin is not found is not joined to.

    Parameters
    ----------
    instance : str
        Name of this gateway.
    peers : Peers or None
        ``None`` for a gateway without peers.
    store : callable
        Returns the active store.
    is_sweeper : callable
        Returns whether this gateway removes what lost gateways have left in the store.
    clock : Clock
    get_unix_time : callable
        Returns the wall-clock time in seconds.
    journal : Journal
    get_record : callable
        Returns the entry of a replica in the list, ``None`` if it is not listed.
    """

    def __init__(
        self,
        *,
        instance: str,
        peers: Peers | None,
        store: Callable[[], OriginStore],
        is_sweeper: Callable[[], bool],
        clock: Clock,
        get_unix_time: Callable[[], float],
        journal: Journal,
        get_record: Callable[[InstanceId], UpstreamRecord | None],
    ) -> None:
        self._get_record = get_record
        self._instance = instance
        self._peers = peers
        self._store = store
        self._clock = clock
        self._get_unix_time = get_unix_time
        self._journal = journal
        self._origins = StreamOrigins(clock=clock)
        self._keepers: list[str] | None = None
        self._pending: dict[AttemptId, list[_Query]] = {}
        self.writer = OriginWriter(
            store=store,
            is_sweeper=is_sweeper,
            clock=clock,
            get_unix_time=get_unix_time,
            journal=journal,
        )
        if peers is not None:
            peers.register_handler(OriginReport, self._handle_report)
            peers.register_handler(OriginQuery, self._handle_query)
            peers.register_handler(OriginReply, self._handle_reply)

    @property
    def remembered_count(self) -> int:
        """Number of origins that this gateway remembers."""
        return len(self._origins)

    def invalidate_members(self) -> None:
        """Select the keepers anew at the next use."""
        self._keepers = None

    def record(
        self, call: Call, record: UpstreamRecord, *, incarnation: int | None
    ) -> SoftwareVersion:
        """
        Record that a replica sends the first event of a request's stream.

        Parameters
        ----------
        call : Call
        record : UpstreamRecord
            The replica's entry in the list.
        incarnation : int or None
            The start that the replica has reported on the stream's connection;
            ``None`` if it has not.

        Returns
        -------
        SoftwareVersion
            The version that began the stream; ``UNKNOWN_VERSION`` if it is not known.
        """
        if not call.is_resumable_stream:
            return UNKNOWN_VERSION
        is_confirmed = incarnation is not None
        incarnation = record.incarnation if incarnation is None else incarnation
        origin = StreamOrigin(
            attempt=call.id,
            request_key=compute_request_key(call),
            service=call.service,
            # The entry is of another start: this gateway doesn't know the new one yet.
            version=record.version
            if incarnation == record.incarnation
            else UNKNOWN_VERSION,
            instance=record.instance,
            incarnation=Incarnation(incarnation),
            began_ms=int(self._get_unix_time() * 1000),
            is_confirmed=is_confirmed,
        )
        self._origins.add(origin)
        for rank, name in enumerate(self._rank_keepers(call.id)[:COPIES]):
            self._report(name, OriginReport(origin, is_writer=rank < WRITERS))
        return origin.version if is_confirmed else UNKNOWN_VERSION

    def resolve(self, call: Call) -> Refusal | None:
        """
        Restrict a request that takes a stream up to the version that began the stream.

        Returns
        -------
        Refusal or None
            The refusal of a request whose stream has no known origin.
        """
        if call.route.kind is not RouteKind.STREAM or call.head.last_event is None:
            return None
        started_at = self._clock.now()
        origin, source = self._find(call)
        self._journal.event(
            "stream-taken-up",
            request=call.id,
            resumes=call.head.resumed_attempt or "",
            source=source.value,
            version="" if origin is None else origin.version,
            replica="" if origin is None else origin.instance,
            seconds=self._clock.now() - started_at,
        )
        if origin is not None:
            call.version = self._get_version(origin)
            if not origin.is_confirmed:
                call.start = (origin.instance, origin.incarnation)
            return None
        is_transient = source in _TRANSIENT_SOURCES
        return Refusal(
            reason=Reason.UNKNOWN_ORIGIN,
            detail=source.value,
            retry_after=RETRY_AFTER_SECONDS if is_transient else None,
        )

    def find_version(self, attempt: AttemptId) -> SoftwareVersion:
        """
        Return the version that began the stream of this gateway's attempt;
        ``UNKNOWN_VERSION`` if it is not known.
        """
        origin = self._origins.find(attempt)
        if origin is None or not origin.is_confirmed:
            return UNKNOWN_VERSION
        return self._get_version(origin)

    def _get_version(self, origin: StreamOrigin) -> SoftwareVersion:
        """Return an origin's version, which may have been listed since it began."""
        if origin.version != UNKNOWN_VERSION:
            return origin.version
        record = self._get_record(origin.instance)
        if record is None or record.incarnation != origin.incarnation:
            return UNKNOWN_VERSION
        return record.version

    def _find(self, call: Call) -> tuple[StreamOrigin | None, OriginSource]:
        attempt = call.head.resumed_attempt
        if attempt is None:
            return None, OriginSource.NOT_NAMED
        source = OriginSource.OWN
        origin = self._origins.find(attempt)
        if origin is None and not self._origins.is_ambiguous(attempt):
            reply = self._ask_keepers(attempt)
            if reply is not None and reply.is_ambiguous:
                return None, OriginSource.AMBIGUOUS
            origin = None if reply is None else reply.origin
            source = OriginSource.KEEPER
        if origin is None and not self._origins.is_ambiguous(attempt):
            try:
                origin = self._store().read(attempt)
            except FeedError as error:
                self._journal.event("origin-not-read", cause=str(error))
                return None, OriginSource.STORE_UNAVAILABLE
            source = OriginSource.STORE
        if origin is None:
            if self._origins.is_ambiguous(attempt):
                return None, OriginSource.AMBIGUOUS
            return None, OriginSource.NOT_FOUND
        if (
            origin.request_key != compute_request_key(call)
            or origin.service != call.service
        ):
            return None, OriginSource.OTHER_REQUEST
        if self._get_version(origin) == UNKNOWN_VERSION:
            return None, OriginSource.UNLISTED
        self._origins.add(origin)
        return origin, source

    def _ask_keepers(self, attempt: AttemptId) -> OriginReply | None:
        """Return the reply of a keeper that knows an attempt, ``None`` without one."""
        names = [
            name
            for name in self._rank_keepers(attempt)[:ASKED_KEEPERS]
            if name != self._instance
        ]
        if self._peers is None or not names:
            return None
        query = _Query(names)
        queries = self._pending.setdefault(attempt, [])
        queries.append(query)
        try:
            for timeout in QUERY_TIMEOUTS_SECONDS:
                for name in names:
                    self._peers.send(name, OriginQuery(attempt))
                try:
                    reply: OriginReply | None = query.result.get(timeout=timeout)
                except gevent.Timeout:
                    continue
                return reply
            return None
        finally:
            queries.remove(query)
            if not queries:
                self._pending.pop(attempt, None)

    def _rank_keepers(self, attempt: AttemptId) -> list[str]:
        if self._keepers is None:
            members = [] if self._peers is None else self._peers.members
            self._keepers = select_keepers(
                {self._instance, *(entry.instance for entry in members)}
            )
        return rank_keepers(attempt, self._keepers)

    def _report(self, name: str, report: OriginReport) -> None:
        if name == self._instance:
            self._handle_report(report, name)
        elif self._peers is not None:
            self._peers.send(name, report)

    def _handle_report(self, message: OriginReport, _sender: str) -> None:
        self._origins.add(message.origin)
        if message.is_writer:
            self.writer.add(message.origin)

    def _handle_query(self, message: OriginQuery, sender: str) -> None:
        assert self._peers is not None
        reply = OriginReply(
            message.attempt,
            self._origins.find(message.attempt),
            self._origins.is_ambiguous(message.attempt),
        )
        self._peers.send(sender, reply)

    def _handle_reply(self, message: OriginReply, sender: str) -> None:
        for query in self._pending.get(message.attempt, ()):
            query.record_reply(message, sender)
