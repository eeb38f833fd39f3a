"""
Test of the demonstration
=========================
"""

from absl import logging

from damasklead.demo import run_demo


def test_all_guarantees_hold_in_the_demonstration() -> None:
    logging.set_verbosity(logging.ERROR)
    assert run_demo() == 0
