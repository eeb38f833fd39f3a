"""
Choice of helpers
=================

Decides through which gateways or entries tunnels are opened.  No I/O: the inputs are
the known ones and what became of earlier tunnels.

Load pattern: many gateways are isolated at the same time, also most of a data centre,
and have to spread over the few others without being told which those are.
"""

import math
from collections.abc import Iterable, Sequence
from itertools import chain
from typing import Protocol, TypeVar

import msgspec

from damasklead.clock import Clock
from damasklead.ids import DataCentre, InstanceId
from damasklead.util import stable_hash

__all__ = ["HelperAddress", "Helpers", "HelperRecord"]

# Helpers that are used in turn, so that one that ends takes a part of the connections.
MAX_PREFERRED = 8
# Time for which a gateway that opened no tunnel isn't asked again, and for which one
# that responds late is asked after the others.
AVOID_SECONDS = 2.0


class HelperAddress(Protocol):
    """
    A process that may open connections for this one.

    Attributes
    ----------
    instance : InstanceId
    address : str
        ``ip:port`` at which it serves tunnels.
    data_centre : DataCentre
    cores : float
        Number of CPU cores that it may use.
    """

    @property
    def instance(self) -> InstanceId: ...  # noqa: D102

    @property
    def address(self) -> str: ...  # noqa: D102

    @property
    def data_centre(self) -> DataCentre: ...  # noqa: D102

    @property
    def cores(self) -> float: ...  # noqa: D102


class HelperRecord(msgspec.Struct, kw_only=True, frozen=True):
    """A ``HelperAddress`` by itself; see there."""

    instance: InstanceId
    address: str
    data_centre: DataCentre
    cores: float = 1.0


H = TypeVar("H", bound=HelperAddress)


class Helpers:
    """
    The gateways that open connections for this one.

    Parameters
    ----------
    instance : InstanceId
        Name of this gateway.
    data_centre : DataCentre
        Its data centre, whose gateways are preferred.
    clock : Clock

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> helpers = Helpers(instance=InstanceId("a"), data_centre=DataCentre("x"),
    ...                   clock=ManualClock())
    >>> peers = [HelperRecord(instance=InstanceId(name), address="",
    ...                       data_centre=DataCentre("x")) for name in "bc"]
    >>> first, second = (peer.instance for peer in helpers.list_candidates(peers))
    >>> helpers.record_refusal(first)
    >>> [peer.instance for peer in helpers.list_candidates(peers)] == [second]
    True
    """

    def __init__(
        self, *, instance: InstanceId, data_centre: DataCentre, clock: Clock
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._clock = clock
        self._preferred: list[InstanceId] = []
        self._avoided_until: dict[InstanceId, float] = {}
        self._late_until: dict[InstanceId, float] = {}

    def list_candidates(self, peers: Iterable[H]) -> list[H]:
        """
        Return the gateways to ask, in this order.

        Those that opened the last tunnels come first, the one whose turn it is before
        the others, and before them another one that may join them.  Until one has
        opened a tunnel, those of this data centre and of others come by turns.  Those
        that responded late come last: on a busy machine these may be all.
        """
        self._forget_expired()
        candidates: dict[InstanceId, H] = {}
        late: list[H] = []
        nearby_refusals = 0
        for peer in peers:
            is_refusing = peer.instance in self._avoided_until
            is_late = peer.instance in self._late_until
            if not is_refusing and not is_late:
                candidates[peer.instance] = peer
            else:
                nearby_refusals += self._is_nearby(peer)
                if not is_refusing:
                    late.append(peer)
        ordered = self._order(candidates, nearby_refusals)
        return [*ordered, *self._alternate(sorted(late, key=self._rank))]

    def _forget_expired(self) -> None:
        now = self._clock.now()
        for ends in (self._avoided_until, self._late_until):
            for name in [name for name, until in ends.items() if until <= now]:
                del ends[name]

    def _order(self, candidates: dict[InstanceId, H], nearby_refusals: int) -> list[H]:
        """Return the gateways that are expected to respond at once."""
        self._preferred = [name for name in self._preferred if name in candidates]
        preferred = [candidates.pop(name) for name in self._preferred]
        others = sorted(candidates.values(), key=self._rank)
        if not preferred:
            return self._alternate(others)
        joining = self._choose_joining(preferred, others, nearby_refusals)
        if len(preferred) >= MAX_PREFERRED or joining is None:
            return [*preferred, *others]
        others.remove(joining)
        return [joining, *preferred, *others]

    def _alternate(self, ranked: Sequence[H]) -> list[H]:
        """
        Return gateways of this data centre and of others by turns.

        All of this one may be isolated, and only some are asked for one connection.
        """
        nearby = [peer for peer in ranked if self._is_nearby(peer)]
        remote = ranked[len(nearby) :]
        count = min(len(nearby), len(remote))
        pairs = zip(nearby[:count], remote[:count], strict=True)
        return [*chain.from_iterable(pairs), *nearby[count:], *remote[count:]]

    def _choose_joining(
        self,
        preferred: Sequence[H],
        others: Sequence[H],
        nearby_refusals: int,
    ) -> H | None:
        """
        Return another gateway, which is asked before those in use.

        It is one of this data centre; if most of these refuse, it is one of another
        data centre, since the few helpers here would have to carry all tunnels.
        """
        nearby_helpers = sum(map(self._is_nearby, preferred))
        is_nearby = nearby_refusals <= nearby_helpers
        return next(
            (peer for peer in others if self._is_nearby(peer) == is_nearby), None
        )

    def _is_nearby(self, peer: HelperAddress) -> bool:
        return peer.data_centre == self._data_centre

    def record_opened(self, name: InstanceId) -> None:
        """Record that a gateway has opened a connection, and end its turn."""
        if name in self._late_until:
            return
        if name in self._preferred:
            self._preferred.remove(name)
        self._preferred.append(name)
        del self._preferred[:-MAX_PREFERRED]

    def record_refusal(self, name: InstanceId) -> None:
        """Record that a gateway can't open connections at present."""
        self._avoided_until[name] = self._clock.now() + AVOID_SECONDS
        if name in self._preferred:
            self._preferred.remove(name)

    def record_silence(self, name: InstanceId) -> None:
        """Record that a gateway has not responded in time, and may yet."""
        self._late_until[name] = self._clock.now() + AVOID_SECONDS
        if name in self._preferred:
            self._preferred.remove(name)

    def _rank(self, peer: HelperAddress) -> tuple[bool, float]:
        """Return the place of a gateway: weighted rendezvous hashing by its cores."""
        is_remote = not self._is_nearby(peer)
        point = (stable_hash(self._instance, peer.instance) + 1) / 2**64
        return is_remote, -math.log(point) / peer.cores
