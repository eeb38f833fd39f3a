"""
Start-up gate
=============

Holds requests that arrive before a gateway has its configuration and replicas.

Load pattern: all gateways restart at once after a power failure.  Callers connect as
soon as one listens, some hundredths of a second before it has its configuration; a
refusal would make each caller wait longer than that until its retry.
"""

from gevent.event import Event

__all__ = ["StartGate"]

# Callers disconnect if they receive nothing for about a second.
MAX_HOLD_SECONDS = 0.7


class StartGate:
    """
    A gate that holds requests until the gateway is ready, or can't be ready soon.

    It is opened once and never closed again.

    Examples
    --------
    >>> gate = StartGate()
    >>> gate.open()
    >>> gate.wait()
    """

    def __init__(self) -> None:
        self._opened = Event()

    def open(self) -> None:
        """Release all requests that are held, and hold no further ones."""
        self._opened.set()

    def wait(self) -> None:
        """Wait until the gate is open, at most ``MAX_HOLD_SECONDS``."""
        self._opened.wait(timeout=MAX_HOLD_SECONDS)
