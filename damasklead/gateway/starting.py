"""
Starting
========

Holds the requests that arrive while a gateway learns what it needs to serve them.

Load pattern: all gateways come back at once after a loss of power.  Callers connect the
moment one listens, some hundredths of a second before it knows the configuration; a
refusal would send each away for longer than that.
"""

from gevent.event import Event

__all__ = ["StartGate"]

# Callers leave when nothing happens for about a second.
MAX_HOLD_SECONDS = 0.7


class StartGate:
    """
    Closed until the gateway can serve, or until it is clear that it can't soon.

    Examples
    --------
    >>> gate = StartGate()
    >>> gate.open()
    >>> gate.wait()
    """

    def __init__(self) -> None:
        self._opened = Event()

    def open(self) -> None:
        """Let requests through; the gate does not close again."""
        self._opened.set()

    def wait(self) -> None:
        """Hold a request for as long as it helps its caller."""
        self._opened.wait(timeout=MAX_HOLD_SECONDS)
