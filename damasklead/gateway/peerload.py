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
from damasklead.gateway.departures import LeftNote
from damasklead.gateway.partplaces import PartNote, PartPlaces
from damasklead.gateway.reading import ListReport
from damasklead.ids import InstanceId
from damasklead.util import short_key, stable_hash

__all__ = [
    "LoadMessage",
    "PeerLoads",
    "ReplicaShare",
    "make_shares",
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
# Smaller changes wait for the next refresh: half a prompt, and requests that an engine
# does not feel.
TOLD_TOKENS = 1500
TOLD_REQUESTS = 3
# Part of the gateways that may use a replica for what not all should do at once.
CHOSEN_SHARE = 0.5


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
    parts : list
        Prompt parts that it has sent to replicas lately.
    left : list
        Replicas that have told it lately that they leave.
    """

    sender: str
    incarnation: int
    number: int
    shares: list[ReplicaShare]
    lists: list[ListReport] = []
    crashes: list[CrashNote] = []
    parts: list[PartNote] = []
    left: list[LeftNote] = []


class _Peer(msgspec.Struct, kw_only=True):
    order: tuple[int, int]
    heard_at: float
    shares: list[ReplicaShare]


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
    own : str
        This gateway's id.

    Attributes
    ----------
    parts : PartPlaces
        Where prompt parts are.
    """

    def __init__(self, *, clock: Clock, own: str = "") -> None:
        self.parts = PartPlaces(clock=clock)
        self._clock = clock
        self._own = own
        self._chosen: dict[str, bool] = {}
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
        if peer is not None:
            self._add(peer.shares, -1)
        else:
            self._chosen.clear()
        self._peers[message.sender] = _Peer(
            order=order, heard_at=self._clock.now(), shares=message.shares
        )
        self._add(message.shares, 1)
        self.parts.take(message.parts)

    def expire(self) -> None:
        """Forget peers that have been silent for long."""
        now = self._clock.now()
        life = LIFE_INTERVALS * send_interval(self.gateways)
        life = max(LEAST_LIFE_SECONDS, life)
        silent = [n for n, peer in self._peers.items() if now - peer.heard_at > life]
        if silent:
            self._chosen.clear()
        for name in silent:
            self._add(self._peers.pop(name).shares, -1)

    def is_chosen(self, instance: InstanceId) -> bool:
        """
        Tell whether this gateway is of those that may use a replica for what would harm
        if all did it at once, knowing little of each other.
        """
        chosen = self._chosen.get(instance)
        if chosen is None:
            rank = stable_hash(instance, self._own)
            before = sum(rank > stable_hash(instance, name) for name in self._peers)
            chosen = before < max(1.0, CHOSEN_SHARE * self.gateways)
            self._chosen[instance] = chosen
        return chosen

    def at(self, instance: InstanceId) -> tuple[int, int]:
        """Return the peers' requests at a replica and their unread prompt tokens."""
        requests, unread = self._totals.get(short_key(instance), (0, 0))
        return requests, unread * TOKEN_UNIT

    def _add(self, shares: list[ReplicaShare], sign: int) -> None:
        """Add a peer's figures to the totals, or take them out again."""
        for share in shares:
            requests, unread = self._totals.get(share.key, (0, 0))
            requests += sign * share.requests
            unread += sign * share.unread
            if requests or unread:
                self._totals[share.key] = requests, unread
            else:
                self._totals.pop(share.key, None)


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
        ReplicaShare(short_key(instance), requests, -(-unread // TOKEN_UNIT))
        for instance, requests, unread in loads
        if requests
    ]
