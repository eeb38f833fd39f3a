"""
Supervisor tree
===============

Starts children in order, restarts those that fail within a restart intensity, and stops
them in reverse order.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from enum import Enum

import gevent
from gevent.event import Event

from damasklead import logs
from damasklead.clock import Clock

__all__ = ["Child", "Restart", "ServerChild", "Supervisor", "TaskChild"]

MAX_RESTARTS = 5
RESTART_WINDOW = 10.0  # seconds
STOP_TIMEOUT = 5.0  # seconds


class Restart(Enum):
    """When a child that ended is started again."""

    PERMANENT = "permanent"
    TRANSIENT = "transient"


class Child(ABC):
    """
    Something that a supervisor keeps running.

    Attributes
    ----------
    name : str
        For logs.
    restart : Restart
        ``TRANSIENT`` children are restarted only when they fail.
    """

    def __init__(self, *, name: str, restart: Restart = Restart.PERMANENT) -> None:
        self.name = name
        self.restart = restart

    @abstractmethod
    def start(self, on_exit: Callable[["Child", BaseException | None], None]) -> None:
        """Start; ``on_exit`` is called with the cause when the child ends by itself."""

    @abstractmethod
    def stop(self) -> None:
        """Stop and wait until the child has ended."""


class TaskChild(Child):
    """A function in a greenlet of its own."""

    def __init__(
        self,
        *,
        name: str,
        function: Callable[[], None],
        restart: Restart = Restart.PERMANENT,
    ) -> None:
        super().__init__(name=name, restart=restart)
        self._function = function
        self._greenlet: gevent.Greenlet | None = None

    def start(self, on_exit: Callable[[Child, BaseException | None], None]) -> None:
        """Start the greenlet."""
        greenlet = gevent.Greenlet(self._function)
        greenlet.link_value(lambda _: on_exit(self, None))
        greenlet.link_exception(lambda ended: on_exit(self, ended.exception))
        self._greenlet = greenlet
        greenlet.start()

    def stop(self) -> None:
        """Kill the greenlet."""
        greenlet, self._greenlet = self._greenlet, None
        if greenlet is not None:
            greenlet.unlink_all()
            greenlet.kill(timeout=STOP_TIMEOUT)


class ServerChild(Child):
    """A server with ``start`` and ``stop`` that runs by callbacks of the loop."""

    def __init__(
        self, *, name: str, begin: Callable[[], None], end: Callable[[], None]
    ) -> None:
        super().__init__(name=name)
        self._begin = begin
        self._end = end

    def start(self, on_exit: Callable[[Child, BaseException | None], None]) -> None:
        """Start the server."""
        self._begin()

    def stop(self) -> None:
        """Stop the server."""
        self._end()


class Supervisor(Child):
    """
    A child that has children; it fails when they fail too often.

    Parameters
    ----------
    max_restarts, window
        More restarts than this within so many seconds make the supervisor fail.
    """

    def __init__(
        self,
        *,
        name: str,
        children: list[Child],
        clock: Clock,
        max_restarts: int = MAX_RESTARTS,
        window: float = RESTART_WINDOW,
    ) -> None:
        super().__init__(name=name)
        self._children = children
        self._clock = clock
        self._max_restarts = max_restarts
        self._window = window
        self._restarts: deque[float] = deque()
        self._on_exit: Callable[[Child, BaseException | None], None] | None = None
        self._stopping = False
        self._failed = Event()

    @property
    def failed(self) -> Event:
        """Set when the supervisor gave up."""
        return self._failed

    def start(self, on_exit: Callable[[Child, BaseException | None], None]) -> None:
        """Start all children in order."""
        self._on_exit = on_exit
        self._stopping = False
        self._failed.clear()
        self._restarts.clear()
        for child in self._children:
            child.start(self._child_exited)

    def stop(self) -> None:
        """Stop all children, the last started first."""
        self._stopping = True
        for child in reversed(self._children):
            child.stop()

    def tree(self, indent: int = 0) -> list[str]:
        """Return the tree's shape, one name a line."""
        lines = ["  " * indent + self.name]
        for child in self._children:
            if isinstance(child, Supervisor):
                lines.extend(child.tree(indent + 1))
            else:
                lines.append("  " * (indent + 1) + child.name)
        return lines

    def _child_exited(self, child: Child, cause: BaseException | None) -> None:
        if self._stopping:
            return
        if cause is None and child.restart is Restart.TRANSIENT:
            return
        logs.warning(
            "child-ended",
            supervisor=self.name,
            child=child.name,
            cause=repr(cause) if cause is not None else "returned",
        )
        if self._too_many_restarts():
            self._give_up(child)
            return
        gevent.spawn(child.start, self._child_exited)

    def _too_many_restarts(self) -> bool:
        now = self._clock.now()
        self._restarts.append(now)
        while self._restarts and now - self._restarts[0] > self._window:
            self._restarts.popleft()
        return len(self._restarts) > self._max_restarts

    def _give_up(self, child: Child) -> None:
        logs.warning("supervisor-failed", supervisor=self.name, child=child.name)
        self._failed.set()
        on_exit = self._on_exit
        gevent.spawn(self._stop_and_report, on_exit)

    def _stop_and_report(
        self, on_exit: Callable[[Child, BaseException | None], None] | None
    ) -> None:
        self.stop()
        if on_exit is not None:
            on_exit(self, RuntimeError(f"supervisor {self.name} gave up"))
