"""
Peers' loads
============

What the other gateways have sent to each replica, from short messages that come often
and may get lost.

Load pattern: several gateways choose among the same engines within the time that one
prompt takes to read; each alone knows an eighth or less of what an engine has to do,
and engines' own reports come only with answers.
"""

from collections.abc import Iterable

import msgspec

from damasklead.clock import Clock
from damasklead.gateway.containment import CrashNote
from damasklead.gateway.reading import ListReport
from damasklead.ids import InstanceId
from damasklead.util import stable_hash

__all__ = [
    "LoadMessage",
    "PeerLoads",
    "ReplicaShare",
    "make_shares",
    "replica_key",
    "send_interval",
    "worth_telling",
]

# A gateway takes in so many messages a second from all others together, whatever their
# number is.
MESSAGES_PER_SECOND = 50.0
LEAST_INTERVAL_SECONDS = 0.1
# Intervals after which a silent peer's figures don't count.
LIFE_INTERVALS = 4.0
LEAST_LIFE_SECONDS = 1.0
# Prompt tokens are sent in units of so many.
TOKEN_UNIT = 64
KEY_BITS = 32
# Smaller changes wait for the next refresh: half a prompt, and requests that an engine
# does not feel.
TOLD_TOKENS = 1500
TOLD_REQUESTS = 3


class ReplicaShare(msgspec.Struct, array_like=True, frozen=True):
    """
    One gateway's requests at one replica.

    Attributes
    ----------
    key : int
        Short key of the replica.
    requests : int
    unread : int
        Prompt tokens that the replica has not read, in units.
    """

    key: int
    requests: int
    unread: int


class LoadMessage(msgspec.Struct, array_like=True, frozen=True):
    """
    What one gateway tells the others.

    Attributes
    ----------
    number : int
        Orders the sender's messages.
    lists : list
        What it knows of the platform's lists.
    crashes : list
        Crashes of replicas that it has seen lately.
    """

    sender: str
    incarnation: int
    number: int
    shares: list[ReplicaShare]
    lists: list[ListReport] = []
    crashes: list[CrashNote] = []


class _Peer(msgspec.Struct, kw_only=True):
    order: tuple[int, int]
    heard_at: float
    shares: dict[int, ReplicaShare]


def replica_key(instance: InstanceId) -> int:
    """Return the short key of a replica."""
    return stable_hash(instance) >> (64 - KEY_BITS)


def send_interval(gateways: int) -> float:
    """
    Return the seconds between two messages of one gateway.

    Examples
    --------
    >>> send_interval(8), send_interval(80)
    (0.16, 1.6)
    """
    return max(LEAST_INTERVAL_SECONDS, gateways / MESSAGES_PER_SECOND)


def worth_telling(told: list[ReplicaShare], now: list[ReplicaShare]) -> bool:
    """
    Tell whether figures differ so much that others should know at once.

    Examples
    --------
    >>> worth_telling([ReplicaShare(7, 1, 0)], [ReplicaShare(7, 2, 10)])
    False
    >>> worth_telling([], [ReplicaShare(7, 1, 40)])
    True
    """
    before = {share.key: share for share in told}
    none = ReplicaShare(0, 0, 0)
    for share in now:
        old = before.pop(share.key, none)
        if _differ(old, share):
            return True
    return any(_differ(old, none) for old in before.values())


def _differ(old: ReplicaShare, new: ReplicaShare) -> bool:
    tokens = abs(new.unread - old.unread) * TOKEN_UNIT
    return tokens >= TOLD_TOKENS or abs(new.requests - old.requests) >= TOLD_REQUESTS


class PeerLoads:
    """
    The newest figures of all peers.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._peers: dict[str, _Peer] = {}
        self._totals: dict[int, tuple[int, int]] = {}

    @property
    def heard(self) -> dict[str, float]:
        """Clock readings at which peers were last heard."""
        return {name: peer.heard_at for name, peer in self._peers.items()}

    @property
    def gateways(self) -> int:
        """How many gateways there are, this one included."""
        return len(self._peers) + 1

    def take(self, message: LoadMessage) -> None:
        """Take in a message; older ones of the same sender are passed over."""
        order = (message.incarnation, message.number)
        peer = self._peers.get(message.sender)
        if peer is not None and order <= peer.order:
            return
        self._peers[message.sender] = _Peer(
            order=order,
            heard_at=self._clock.now(),
            shares={share.key: share for share in message.shares},
        )
        self._sum()

    def expire(self) -> None:
        """Forget peers that have been silent for long."""
        now = self._clock.now()
        life = LIFE_INTERVALS * send_interval(self.gateways)
        life = max(LEAST_LIFE_SECONDS, life)
        silent = [n for n, peer in self._peers.items() if now - peer.heard_at > life]
        for name in silent:
            del self._peers[name]
        if silent:
            self._sum()

    def at(self, instance: InstanceId) -> tuple[int, int]:
        """Return the peers' requests at a replica and their unread prompt tokens."""
        return self._totals.get(replica_key(instance), (0, 0))

    def _sum(self) -> None:
        totals: dict[int, tuple[int, int]] = {}
        for peer in self._peers.values():
            for key, share in peer.shares.items():
                requests, unread = totals.get(key, (0, 0))
                totals[key] = (
                    requests + share.requests,
                    unread + share.unread * TOKEN_UNIT,
                )
        self._totals = totals


def make_shares(
    loads: Iterable[tuple[InstanceId, int, int]],
) -> list[ReplicaShare]:
    """
    Return what to tell of this gateway's requests.

    Parameters
    ----------
    loads : iterable
        Replica, requests there and unread prompt tokens.
    """
    return [
        ReplicaShare(replica_key(instance), requests, -(-unread // TOKEN_UNIT))
        for instance, requests, unread in loads
        if requests
    ]
