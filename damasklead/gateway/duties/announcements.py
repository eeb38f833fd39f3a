"""
Announcements of the holder
===========================

Which gateway holds the lease of the duties and which is its deputy, as the holder
announces it, and datagrams to both.
"""

from collections.abc import Callable
from typing import Any, TypeVar

from damasklead.clock import Clock
from damasklead.gateway.duties.messages import HolderNotice
from damasklead.gateway.journal import Journal
from damasklead.gateway.peers import Peers

__all__ = ["HolderDirectory"]

M = TypeVar("M")


class HolderDirectory:
    """
    The announced holder of the duties and its deputy.

    Parameters
    ----------
    instance : str
        Name of this gateway.
    peers : Peers or None
        ``None`` for a gateway without peers.
    clock : Clock
    journal : Journal
    """

    def __init__(
        self, *, instance: str, peers: Peers | None, clock: Clock, journal: Journal
    ) -> None:
        self._instance = instance
        self._peers = peers
        self._clock = clock
        self._journal = journal
        self._holder = ""
        self._notice: HolderNotice | None = None
        self._received_at = clock.now()
        self._handlers: dict[type, Callable[[Any, str], None]] = {}
        self._listeners: list[Callable[[HolderNotice], None]] = []
        if peers is not None:
            # The holder announces its release after its leave.
            peers.register_handler(
                HolderNotice, self.record_notice, accepts_leaving=True
            )

    @property
    def holder(self) -> str:
        """The gateway that announced itself last; empty before any has."""
        return self._holder

    @property
    def deputy(self) -> str:
        """The holder's deputy; empty without one."""
        return "" if self._notice is None else self._notice.deputy

    @property
    def token(self) -> int:
        """The highest fencing token that was announced; 0 before any was."""
        return 0 if self._notice is None else self._notice.token

    @property
    def handovers(self) -> int:
        """Number of holders in turn that did not reach the API."""
        return 0 if self._notice is None else self._notice.handovers

    @property
    def is_released(self) -> bool:
        """Whether the holder has announced that it released the lease."""
        return self._notice is not None and not self._notice.version

    @property
    def silence_seconds(self) -> float:
        """Seconds since the holder's last notice, or since the start."""
        return self._clock.now() - self._received_at

    @property
    def recipients(self) -> tuple[str, ...]:
        """The holder and its deputy, as far as they are known."""
        return tuple(name for name in (self._holder, self.deputy) if name)

    def register_listener(self, listener: Callable[[HolderNotice], None]) -> None:
        """Call a function after each notice, also those of this gateway."""
        self._listeners.append(listener)

    def register_handler(
        self, message_type: type[M], handler: Callable[[M, str], None]
    ) -> None:
        """
        Set the handler of a type of messages that ``send`` sends.

        It gets each message and its sender's name, also messages that this gateway
        sends to itself.
        """
        self._handlers[message_type] = handler
        if self._peers is not None:
            self._peers.register_handler(message_type, handler, accepts_leaving=True)

    def send(self, message: object) -> None:
        """Send a message to the holder and its deputy; either may be this gateway."""
        for name in self.recipients:
            self.send_to(name, message)

    def send_to(self, name: str, message: object) -> None:
        """Send a message to a gateway, which may be this one."""
        if name != self._instance:
            if self._peers is not None:
                self._peers.send(name, message)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, name)

    def announce(self, notice: HolderNotice) -> None:
        """Announce this gateway as the holder to all gateways."""
        self.record_notice(notice, self._instance)
        if self._peers is not None:
            self._peers.send_all(notice)

    def record_notice(self, notice: HolderNotice, sender: str) -> None:
        """Record a holder's notice unless a later holder has announced itself."""
        if notice.token < self.token:
            return
        before = (self.token, self.deputy, self.is_released)
        self._holder, self._notice = sender, notice
        self._received_at = self._clock.now()
        if before != (notice.token, notice.deputy, self.is_released):
            self._journal.event(
                "duties-holder",
                holder=sender,
                token=notice.token,
                deputy=notice.deputy,
                released=self.is_released,
            )
        for listener in self._listeners:
            listener(notice)
