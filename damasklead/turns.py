"""
Turns of the event loop
=======================

Lets loops over received bytes give way to the event loop.

Load pattern: a peer that sends faster than its bytes are parsed, in the smallest pieces
that its protocol allows.  A receive call of a gevent socket switches to the event loop
only when it has to wait, so that a loop over such bytes never does: no timer fires, and
no other connection is served.
"""

import gevent
from gevent.event import Event

__all__ = ["BYTES_PER_TURN", "PIECES_PER_TURN", "TurnBudget", "wait_for_turn"]

# Work of one loop until it gives way: about a millisecond of parsing.
PIECES_PER_TURN = 64
BYTES_PER_TURN = 262_144

# Loops that have used up their budgets go on one at a time, in this order, so that many
# of them delay the other work of the process by no more than one does.
_last_turn = Event()
_last_turn.set()


def wait_for_turn() -> None:
    """
    Wait for one iteration of the event loop, which polls sockets and fires timers.

    ``gevent.sleep(0)`` isn't enough: the loop runs up to 50 such callbacks in a row
    before it polls.  Nor is a lock: a loop that releases one acquires it again before
    those that wait are woken.
    """
    global _last_turn
    previous_turn, turn = _last_turn, Event()
    _last_turn = turn
    try:
        previous_turn.wait()
        hub = gevent.get_hub()
        with hub.loop.timer(0.0) as timer:
            hub.wait(timer)
    finally:
        turn.set()


class TurnBudget:
    """
    Bytes and pieces that a loop may process until it gives way to the event loop.

    Examples
    --------
    >>> budget = TurnBudget()
    >>> sum(budget.spend(size=1) for _ in range(2 * PIECES_PER_TURN))
    2
    >>> budget.spend(size=BYTES_PER_TURN)
    True
    """

    def __init__(self) -> None:
        self._pieces = 0
        self._bytes = 0

    def spend(self, *, size: int, pieces: int = 1) -> bool:
        """
        Record processed data, and give way to the event loop if the budget is used up.

        Parameters
        ----------
        size : int
            Length in bytes.
        pieces : int
            Number of chunks, lines, events or entries.

        Returns
        -------
        bool
            Whether it gave way.
        """
        self._pieces += pieces
        self._bytes += size
        if self._pieces < PIECES_PER_TURN and self._bytes < BYTES_PER_TURN:
            return False
        self._pieces = self._bytes = 0
        wait_for_turn()
        return True
