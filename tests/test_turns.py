"""
Tests of the turns of loops over received bytes
===============================================
"""

import gevent
import pytest

from damasklead.turns import PIECES_PER_TURN, TurnBudget, wait_for_turn


class Flood:
    """
    Loops that spend pieces without end.

    Attributes
    ----------
    count : int
        Pieces that were spent.
    """

    def __init__(self, loops: int) -> None:
        self.count = 0
        self._loops = [gevent.spawn(self._run) for _ in range(loops)]

    def stop(self) -> None:
        gevent.killall(self._loops)

    def _run(self) -> None:
        budget = TurnBudget()
        while True:
            self.count += 1
            budget.spend(size=1)


# A connection in use for many short messages also uses up its budget at times.
@pytest.mark.parametrize("loops", [1, 10])
def test_a_loop_waits_no_longer_than_one_turn_of_each_other(loops: int) -> None:
    flood = Flood(loops)
    gevent.sleep(0.001)
    try:
        for _ in range(20):
            before = flood.count
            wait_for_turn()
            # One of them may have begun a turn just before, and one just after.
            assert flood.count - before <= (loops + 2) * PIECES_PER_TURN
    finally:
        flood.stop()


def test_a_loop_that_ends_while_it_waits_stops_no_other() -> None:
    waiting = [gevent.spawn(wait_for_turn) for _ in range(3)]
    gevent.sleep(0)
    waiting[0].kill()
    waiting[1].kill()
    assert gevent.joinall(waiting, timeout=5.0)
    wait_for_turn()
