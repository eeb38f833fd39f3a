"""
Snapshot responses
==================

Serves this gateway's snapshot to others, in full or reduced to what one of them lacks.

Load pattern: many gateways that the platform's store turns away lack a configuration of
thousands of routes at the same moment, and this one's link may be slow.  Reduced
snapshots may take a share of the link; gateways beyond that are referred to those that
have just fetched the configuration here, so that those that can serve it become more
with each round, also if a single gateway has it at first.
"""

import math
import zlib
from collections import deque
from collections.abc import Callable, Sequence

import msgspec

from damasklead.clock import Clock
from damasklead.decoding import is_token
from damasklead.gateway.calls import Header
from damasklead.gateway.snapshot import (
    COMPRESSED_ENCODING,
    DIFFERENCES_HEADER,
    FIELDS_HEADER,
    HELD_CONFIGURATION_HEADER,
    HOLDERS_HEADER,
    INSTANCE_HEADER,
    KNOWN_CONFIGURATION_HEADER,
    KNOWN_REPLICAS_HEADER,
    MAX_HOLDERS,
    KnownState,
    Snapshot,
    parse_number,
)
from damasklead.gateway.store_positions import Position
from damasklead.ids import StoreEra

__all__ = ["SnapshotResponder", "SnapshotResponse", "TransferBudget"]

BYTES_PER_MEGABIT = 125_000
# Share of the link that reduced snapshots may take.
LINK_SHARE = 0.5
# Time by which reduced snapshots may exceed that share, so that several gateways can
# fetch one at the same moment.
MAX_DEBT_SECONDS = 0.35
# Rate of a link that isn't known.
DEFAULT_LINK_MEGABITS = 100.0
# Time for which an encoded snapshot is used again.
CACHE_SECONDS = 0.3
COMPRESSION_LEVEL = 1
# Gateways that have fetched the configuration and are remembered.
MAX_REMEMBERED_HOLDERS = 64


class TransferBudget:
    """
    Limits the rate of transfers, of which each may be longer than what is left.

    Parameters
    ----------
    bytes_per_second : float
    clock : Clock

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> clock = ManualClock()
    >>> budget = TransferBudget(bytes_per_second=1_000.0, clock=clock)
    >>> budget.spend(3_000)
    >>> budget.is_exhausted
    True
    >>> clock.advance(2.7)
    >>> budget.is_exhausted
    False
    """

    def __init__(self, *, bytes_per_second: float, clock: Clock) -> None:
        self._bytes_per_second = bytes_per_second
        self._clock = clock
        self._exhausted_until = -math.inf

    @property
    def is_exhausted(self) -> bool:
        """Whether earlier transfers still take the link."""
        return self._clock.now() + MAX_DEBT_SECONDS < self._exhausted_until

    @property
    def exhausted_until(self) -> float:
        """Clock reading until which earlier transfers take the link."""
        return self._exhausted_until

    @property
    def transferred_at(self) -> float:
        """Clock reading when earlier transfers end, which take all of the link."""
        now = self._clock.now()
        return now + LINK_SHARE * max(0.0, self._exhausted_until - now)

    def spend(self, size: int) -> None:
        """Record a transfer of ``size`` bytes."""
        begin = max(self._exhausted_until, self._clock.now())
        self._exhausted_until = begin + size / self._bytes_per_second


class SnapshotResponse(msgspec.Struct, kw_only=True, frozen=True):
    """
    A response to a fetch.

    Attributes
    ----------
    status : int
        HTTP status; 503 if there is no configuration, or the budget is exhausted.
    headers : list
    body : bytes
    """

    status: int
    headers: list[Header]
    body: bytes


class _EncodedSnapshot(msgspec.Struct, kw_only=True, frozen=True):
    """A compressed snapshot, and the clock reading until which it is used again."""

    body: bytes
    expires_at: float


class _Holders:
    """
    The gateways that have fetched the newest version here.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    version : int
        That version of the configuration; 0 before the first fetch.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.version = 0
        # Name, and clock reading when the transfer has ended; in turns.
        self._holders: deque[tuple[str, float]] = deque(maxlen=MAX_REMEMBERED_HOLDERS)

    def add(self, name: str, *, version: int, at: float) -> None:
        """Record a gateway that will have a version at a clock reading."""
        if version > self.version:
            self.version = version
            self._holders.clear()
        if version == self.version and is_token(name):
            self._holders.append((name, at))

    def choose(self, asking: str) -> list[str]:
        """Return some gateways that have the version, each time others."""
        now = self._clock.now()
        chosen: list[str] = []
        for _ in range(len(self._holders)):
            name, at = self._holders[0]
            self._holders.rotate(-1)
            if at <= now and name != asking and name not in chosen:
                chosen.append(name)
            if len(chosen) == MAX_HOLDERS:
                break
        return chosen


class SnapshotResponder:
    """
    Builds the responses to other gateways that fetch a snapshot.

    Parameters
    ----------
    build_snapshot : callable
        Returns the snapshot for a gateway that knows some state, or the full one for
        ``None``; ``None`` before this gateway has a configuration.
    clock : Clock
    link_megabits : float or None
        Rate of the link in megabits per second; ``None`` if it is not known.
    """

    def __init__(
        self,
        *,
        build_snapshot: Callable[[KnownState | None], Snapshot | None],
        clock: Clock,
        link_megabits: float | None = None,
    ) -> None:
        self._build_snapshot = build_snapshot
        self._clock = clock
        rate = link_megabits or DEFAULT_LINK_MEGABITS
        self._budget = TransferBudget(
            bytes_per_second=LINK_SHARE * rate * BYTES_PER_MEGABIT, clock=clock
        )
        self._holders = _Holders(clock=clock)
        # By what a snapshot holds: events, peers, list of replicas, configuration, and
        # the version before the differences.
        self._cache: dict[tuple[bool, bool, Position, int, int], _EncodedSnapshot] = {}

    def respond(self, headers: Sequence[Header]) -> SnapshotResponse:
        """Return the response to a request with some headers."""
        fields = {name.lower(): value for name, value in headers}
        known = _parse_known_state(fields)
        if known is not None and self._budget.is_exhausted:
            return self._refer(fields, known)
        snapshot = self._build_snapshot(known)
        if snapshot is None:
            return _refuse(b"nothing is known yet")
        sent = [(b"Content-Type", b"application/msgpack")]
        if fields.get(b"accept-encoding") != COMPRESSED_ENCODING:
            body = msgspec.msgpack.encode(snapshot)
        else:
            sent.append((b"Content-Encoding", COMPRESSED_ENCODING))
            needs_events = known is None or known.replicas is None
            body = self._compress(snapshot, has_events=needs_events)
        if known is not None:
            self._budget.spend(len(body))
            if snapshot.configuration:
                self._holders.add(
                    _get_instance(fields),
                    version=snapshot.configuration,
                    at=self._budget.transferred_at,
                )
        return SnapshotResponse(status=200, headers=sent, body=body)

    def _refer(self, fields: dict[bytes, bytes], known: KnownState) -> SnapshotResponse:
        """Refuse a fetch, and name others that have what the gateway lacks."""
        headers: list[Header] = []
        if self._holders.version > known.configuration:
            names = self._holders.choose(_get_instance(fields))
            headers = [
                (HOLDERS_HEADER, " ".join(names).encode()),
                (HELD_CONFIGURATION_HEADER, b"%d" % self._holders.version),
            ]
        return _refuse(b"other gateways fetch snapshots", headers)

    def _compress(self, snapshot: Snapshot, *, has_events: bool) -> bytes:
        """Return a compressed snapshot; many gateways may fetch the same one."""
        if snapshot.routing is None and not snapshot.upstreams:
            return _compress(snapshot)
        base = snapshot.differences[0].base if snapshot.differences else 0
        key = (
            has_events,
            bool(snapshot.peers),
            snapshot.cursor,
            snapshot.configuration,
            base,
        )
        now = self._clock.now()
        cached = self._cache.get(key)
        if cached is not None and now < cached.expires_at:
            return cached.body
        # States the ages that the lists have when the snapshot is last used.
        lists = [report.grow_older(CACHE_SECONDS) for report in snapshot.lists]
        body = _compress(msgspec.structs.replace(snapshot, lists=lists))
        self._cache = {
            other: item for other, item in self._cache.items() if now < item.expires_at
        }
        self._cache[key] = _EncodedSnapshot(body=body, expires_at=now + CACHE_SECONDS)
        return body


def _compress(snapshot: Snapshot) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(snapshot), COMPRESSION_LEVEL)


def _refuse(reason: bytes, headers: Sequence[Header] = ()) -> SnapshotResponse:
    return SnapshotResponse(status=503, headers=list(headers), body=reason)


def _get_instance(fields: dict[bytes, bytes]) -> str:
    return fields.get(INSTANCE_HEADER, b"").decode("latin-1")


def _parse_known_state(fields: dict[bytes, bytes]) -> KnownState | None:
    """Return what the other gateway has; ``None`` if it wants the full snapshot."""
    configuration = parse_number(fields.get(KNOWN_CONFIGURATION_HEADER, b""))
    if configuration is None:
        return None
    era, _, version = fields.get(KNOWN_REPLICAS_HEADER, b"").partition(b".")
    numbers = (parse_number(era), parse_number(version))
    replicas = None
    if numbers[0] is not None and numbers[1] is not None:
        replicas = Position(StoreEra(numbers[0]), numbers[1])
    return KnownState(
        configuration=configuration,
        replicas=replicas,
        accepts_differences=fields.get(DIFFERENCES_HEADER) == b"1",
        accepts_fields=fields.get(FIELDS_HEADER) == b"1",
    )
