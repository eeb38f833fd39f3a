"""
Origins of streams
==================

The origins that one gateway remembers, and the gateways that keep copies of them.  No
I/O.

Load pattern: streams of some hundred milliseconds break off when their gateway is lost,
and their callers take them up at any other gateway within a fraction of a second.
"""

from collections.abc import Collection, Iterable

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.calls import Call
from damasklead.ids import (
    UNKNOWN_VERSION,
    AttemptId,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
)
from damasklead.util import stable_hash

__all__ = [
    "ORIGIN_TTL_SECONDS",
    "StreamOrigin",
    "StreamOrigins",
    "compute_request_key",
    "rank_keepers",
    "select_keepers",
]

# A stream is taken up within the time that its caller waits for it, which routes limit
# to some ten seconds.
ORIGIN_TTL_SECONDS = 60.0
# Origins that a gateway remembers at most; the oldest are dropped first.
MAX_ORIGINS = 20_000
# Gateways that keep the origins of the whole fleet: at least the first number, one more
# for each further gateways, at most the last number.
MIN_KEEPERS = 4
GATEWAYS_PER_KEEPER = 16
MAX_KEEPERS = 16


class StreamOrigin(msgspec.Struct, array_like=True, frozen=True):
    """
    Where the first event of a stream came from.

    Attributes
    ----------
    attempt : AttemptId
        The caller's attempt that brought the first event.
    request_key : int
        Hash of what all attempts at the request have in common.
    service : ServiceName
    version : SoftwareVersion
        Version of the replica's software; ``UNKNOWN_VERSION`` if the replica had
        started again and its new entry was not known yet.
    instance : InstanceId
        The replica.
    incarnation : Incarnation
        Start of the replica in milliseconds of Unix time, as it has reported it on the
        stream's connection.
    began_ms : int
        Milliseconds of Unix time of the first event, by the gateway's clock.
    is_confirmed : bool
        Whether the replica has reported this start; otherwise it is that of its entry,
        and the stream began there if the replica reports it later.
    """

    attempt: AttemptId
    request_key: int
    service: ServiceName
    version: SoftwareVersion
    instance: InstanceId
    incarnation: Incarnation
    began_ms: int
    is_confirmed: bool = True


def compute_request_key(call: Call) -> int:
    """Return a hash of what all attempts at a request have in common."""
    workspace = "" if call.workspace is None else call.workspace.name
    prompt = (f"{part.key}:{part.tokens}" for part in call.head.prompt)
    return stable_hash(workspace, call.head.host, call.head.target, *prompt) >> 1


def select_keepers(gateways: Collection[str]) -> list[str]:
    """Return the gateways that keep the origins of all of them."""
    count = min(MAX_KEEPERS, max(MIN_KEEPERS, len(gateways) // GATEWAYS_PER_KEEPER))
    return sorted(gateways, key=lambda name: stable_hash("stream-origins", name))[
        :count
    ]


def rank_keepers(attempt: AttemptId, keepers: Iterable[str]) -> list[str]:
    """
    Return the keepers in the order in which they are asked about an attempt.

    Examples
    --------
    >>> rank_keepers(AttemptId("a1"), ["g1", "g2", "g3"])
    ['g2', 'g3', 'g1']
    """
    return sorted(keepers, key=lambda name: stable_hash(attempt, name))


class StreamOrigins:
    """
    The origins that one gateway remembers.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._origins: dict[AttemptId, tuple[float, StreamOrigin | None]] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def add(self, origin: StreamOrigin) -> None:
        """
        Remember an origin.

        Two origins of one attempt that differ make it unknown: a caller has used the id
        for two requests.
        """
        self._drop_expired()
        _, known = self._origins.get(origin.attempt, (0.0, origin))
        is_same = known is not None and _get_identity(known) == _get_identity(origin)
        self._origins.pop(origin.attempt, None)
        self._origins[origin.attempt] = (
            self._clock.now(),
            origin if is_same else None,
        )
        while len(self._origins) > MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]

    def find(self, attempt: AttemptId) -> StreamOrigin | None:
        """Return the origin of an attempt's stream, ``None`` if it is unknown."""
        self._drop_expired()
        return self._origins.get(attempt, (0.0, None))[1]

    def is_ambiguous(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is known to have two origins."""
        entry = self._origins.get(attempt)
        return entry is not None and entry[1] is None

    def _drop_expired(self) -> None:
        first_kept = self._clock.now() - ORIGIN_TTL_SECONDS
        while self._origins:
            attempt = next(iter(self._origins))
            if self._origins[attempt][0] >= first_kept:
                return
            del self._origins[attempt]


def _get_identity(origin: StreamOrigin) -> tuple[int, ServiceName, str, int]:
    # A version that isn't known is that of the replica's start.
    known = origin.version != UNKNOWN_VERSION
    return (
        origin.request_key,
        origin.service,
        origin.version if known else origin.instance,
        0 if known else origin.incarnation,
    )
