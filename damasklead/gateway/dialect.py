"""
Dialect
=======

What a platform's adapter gives the gateway: the meaning of headers, and the lists that
it follows.  The base classes here are the gateway's own interface; adapters translate.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Generic, TypeVar

import msgspec

from damasklead.gateway.calls import Call, CallHead, Header, ResponseHead
from damasklead.gateway.directory import ListedRow
from damasklead.gateway.positions import INITIAL_POSITION, Position
from damasklead.gateway.routing import RoutingTable
from damasklead.ids import AttemptId, DataCentre, InstanceId

__all__ = [
    "RequestHeadError",
    "Changes",
    "Dialect",
    "Feed",
    "FeedError",
    "FeedFault",
    "PeerDirectory",
    "PeerEntry",
    "PlatformLink",
    "SendPlan",
    "join_headers",
]

T = TypeVar("T")


class RequestHeadError(Exception):
    """A request's head that can't be forwarded; the text says why."""


class SendPlan(msgspec.Struct, kw_only=True, frozen=True):
    """
    How one attempt is sent to a replica.

    Attributes
    ----------
    instance : InstanceId
        The replica that must be the one to run it.
    seconds_left : float
        What is left of the caller's time.
    urgency : int
        Rank at the replica; 0 goes first.
    resume_after : bytes or None
        The id of the last event that the caller has.
    copy_from : str or None
        Address of a replica from which prompt parts may be copied instead of read.
    """

    instance: InstanceId
    seconds_left: float
    urgency: int
    resume_after: bytes | None = None
    copy_from: str | None = None


class Dialect(ABC):
    """The headers of a platform's callers and replicas."""

    @abstractmethod
    def decode_head(
        self, *, method: str, target: str, headers: Sequence[Header]
    ) -> CallHead:
        """
        Decode the head of a request.

        Raises
        ------
        RequestHeadError
            When it can't be forwarded as it is.
        """

    @abstractmethod
    def build_upstream_headers(self, call: Call, plan: SendPlan) -> list[Header]:
        """Return the headers of an attempt, without those that frame its body."""

    @abstractmethod
    def classify_response(
        self, *, status: int, headers: Sequence[Header], attempt: AttemptId
    ) -> ResponseHead:
        """Judge the head of an answer; its headers are those that go to the caller."""

    @abstractmethod
    def build_response_headers(
        self, *, attempt: AttemptId | None, retry_after: float | None
    ) -> list[Header]:
        """Return the headers of an answer of the gateway's own."""


class FeedFault(Enum):
    """
    Why a feed gave nothing.

    ``RESTORED``: the store has come back from an older copy, so that nothing that was
    read before can be gone on from.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_LOST = "history-lost"
    RESTORED = "restored"
    STALE = "stale"
    UNREADABLE = "unreadable"


class FeedError(Exception):
    """
    A call for a list that failed.

    Attributes
    ----------
    fault : FeedFault
    """

    def __init__(self, fault: FeedFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault


class Changes(msgspec.Struct, Generic[T], kw_only=True, frozen=True):
    """
    What a feed told.

    Attributes
    ----------
    items : list
        The entries that are new or changed.
    whole : bool
        Whether these are all entries there are.
    cursor : Position
        Where to go on.
    """

    items: list[T]
    whole: bool
    cursor: Position


class Feed(ABC, Generic[T]):
    """A list that is read once and then followed; calls may raise ``FeedError``."""

    @abstractmethod
    def read(self) -> Changes[T]:
        """Read the whole list."""

    @abstractmethod
    def poll_changes(self, cursor: Position, *, wait: float) -> Changes[T]:
        """Return the changes since a cursor, waiting some seconds for the first."""


class PeerEntry(msgspec.Struct, kw_only=True, frozen=True):
    """
    A gateway as it announces itself.

    Attributes
    ----------
    address : str
        Where the others connect.
    incarnation : int
        Start of the process in milliseconds.
    cores : float
        Processor that it may use.
    operators : str
        Where it tells others what it knows; empty where it does not.
    position : Position
        The entry's version in the directory; ``INITIAL_POSITION`` when it was not read
        from there.
    """

    instance: InstanceId
    address: str
    incarnation: int
    data_centre: DataCentre = DataCentre("")
    cores: float = 1.0
    operators: str = ""
    position: Position = INITIAL_POSITION


class PeerDirectory(ABC):
    """Where gateways find each other; every call may raise ``FeedError``."""

    @abstractmethod
    def announce(self, entry: PeerEntry) -> None:
        """Write or replace this gateway's entry."""

    @abstractmethod
    def withdraw(self, entry: PeerEntry) -> None:
        """Remove an entry, unless it has changed since it was read."""

    @abstractmethod
    def read(self) -> list[PeerEntry]:
        """Return all entries."""


class PlatformLink(ABC):
    """What a gateway reads from its platform."""

    @property
    @abstractmethod
    def routing(self) -> Feed[RoutingTable]:
        """The configuration's versions."""

    @property
    @abstractmethod
    def upstreams(self) -> Feed[ListedRow]:
        """The replicas."""

    @property
    @abstractmethod
    def peers(self) -> PeerDirectory:
        """The gateways."""

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""


def join_headers(headers: Iterable[Header]) -> dict[bytes, bytes]:
    """Return headers by lowercase name; repeated ones are joined by commas."""
    joined: dict[bytes, bytes] = {}
    for name, value in headers:
        name = name.lower()
        joined[name] = joined[name] + b", " + value if name in joined else value
    return joined
