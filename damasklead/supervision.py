"""
Supervisor tree
===============

Supervisors start their children in order, restart those that end, and stop them in
reverse order. A supervisor whose children need too many restarts in a time fails.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from enum import Enum

import gevent
from gevent.event import Event

from damasklead import logs
from damasklead.clock import Clock

__all__ = ["Child", "RestartPolicy", "ServerChild", "Supervisor", "TaskChild"]

MAX_RESTARTS = 5
RESTART_WINDOW_SECONDS = 10.0
STOP_TIMEOUT_SECONDS = 5.0


class RestartPolicy(Enum):
    """
    When a child that ended is restarted.

    Attributes
    ----------
    PERMANENT
        Always.
    TRANSIENT
        Only when it ended with an exception.
    """

    PERMANENT = "permanent"
    TRANSIENT = "transient"


class Child(ABC):
    """
    A task, server or supervisor that a supervisor runs.

    Attributes
    ----------
    name : str
        Name in logs.
    restart_policy : RestartPolicy
        When the child is restarted after it ended.
    """

    def __init__(
        self, *, name: str, restart_policy: RestartPolicy = RestartPolicy.PERMANENT
    ) -> None:
        self.name = name
        self.restart_policy = restart_policy

    @abstractmethod
    def start(self, on_exit: Callable[["Child", BaseException | None], None]) -> None:
        """
        Start the child.

        Parameters
        ----------
        on_exit : callable
            Called when the child ends by itself, with the child and the exception that
            ended it, ``None`` when it returned.
        """

    @abstractmethod
    def stop(self) -> None:
        """Stop the child and wait until it has ended."""


class TaskChild(Child):
    """A child that runs a function in a greenlet."""

    def __init__(
        self,
        *,
        name: str,
        function: Callable[[], None],
        restart_policy: RestartPolicy = RestartPolicy.PERMANENT,
    ) -> None:
        super().__init__(name=name, restart_policy=restart_policy)
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
        """Kill the greenlet, and wait ``STOP_TIMEOUT_SECONDS`` at most for its end."""
        greenlet, self._greenlet = self._greenlet, None
        if greenlet is not None:
            greenlet.unlink_all()
            greenlet.kill(timeout=STOP_TIMEOUT_SECONDS)


class ServerChild(Child):
    """A server that the event loop runs by callbacks; it never ends by itself."""

    def __init__(
        self,
        *,
        name: str,
        start_server: Callable[[], None],
        stop_server: Callable[[], None],
    ) -> None:
        super().__init__(name=name)
        self._start_server = start_server
        self._stop_server = stop_server

    def start(self, on_exit: Callable[[Child, BaseException | None], None]) -> None:
        """Start the server."""
        self._start_server()

    def stop(self) -> None:
        """Stop the server."""
        self._stop_server()


class Supervisor(Child):
    """
    A child that runs other children.

    It fails, after it has stopped its children, when they need too many restarts.

    Parameters
    ----------
    name : str
        Name in logs.
    children : list of Child
        Children in the order in which they are started.
    clock : Clock
        Clock that times the restarts.
    max_restarts : int
        Largest number of restarts within the window.
    window_seconds : float
        Length of the window.
    """

    def __init__(
        self,
        *,
        name: str,
        children: list[Child],
        clock: Clock,
        max_restarts: int = MAX_RESTARTS,
        window_seconds: float = RESTART_WINDOW_SECONDS,
    ) -> None:
        super().__init__(name=name)
        self._children = children
        self._clock = clock
        self._max_restarts = max_restarts
        self._window_seconds = window_seconds
        self._restarts: deque[float] = deque()
        self._on_exit: Callable[[Child, BaseException | None], None] | None = None
        self._stopping = False
        self._failed = Event()

    @property
    def failed(self) -> Event:
        """Event that is set when the supervisor has failed."""
        return self._failed

    def start(self, on_exit: Callable[[Child, BaseException | None], None]) -> None:
        """Start all children in order."""
        self._on_exit = on_exit
        self._stopping = False
        self._failed.clear()
        self._restarts.clear()
        for child in self._children:
            child.start(self._handle_child_exit)

    def stop(self) -> None:
        """Stop all children in reverse order."""
        self._stopping = True
        for child in reversed(self._children):
            child.stop()

    def format_tree(self, indent: int = 0) -> list[str]:
        """Return the names of the tree, one a line, indented by depth."""
        lines = ["  " * indent + self.name]
        for child in self._children:
            if isinstance(child, Supervisor):
                lines.extend(child.format_tree(indent + 1))
            else:
                lines.append("  " * (indent + 1) + child.name)
        return lines

    def _handle_child_exit(self, child: Child, cause: BaseException | None) -> None:
        if self._stopping:
            return
        if cause is None and child.restart_policy is RestartPolicy.TRANSIENT:
            return
        logs.warning(
            "child-ended",
            supervisor=self.name,
            child=child.name,
            cause=repr(cause) if cause is not None else "returned",
        )
        if self._exceeds_restart_intensity():
            self._fail(child)
            return
        gevent.spawn(child.start, self._handle_child_exit)

    def _exceeds_restart_intensity(self) -> bool:
        now = self._clock.now()
        self._restarts.append(now)
        while self._restarts and now - self._restarts[0] > self._window_seconds:
            self._restarts.popleft()
        return len(self._restarts) > self._max_restarts

    def _fail(self, child: Child) -> None:
        logs.warning("supervisor-failed", supervisor=self.name, child=child.name)
        self._failed.set()
        on_exit = self._on_exit
        gevent.spawn(self._stop_and_report, on_exit)

    def _stop_and_report(
        self, on_exit: Callable[[Child, BaseException | None], None] | None
    ) -> None:
        self.stop()
        if on_exit is not None:
            on_exit(self, RuntimeError(f"supervisor {self.name} failed"))
