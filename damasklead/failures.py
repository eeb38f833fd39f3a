"""
Failures
========

How an attempt at an upstream can end without a whole answer.
"""

from enum import Enum

__all__ = ["Failure"]


class Failure(Enum):
    """
    How an attempt ended without a whole answer.

    ``NOT_SENT``, ``REFUSED`` and ``PAUSED`` are sure signs that the upstream did not
    run the request; ``PAUSED`` means that it takes nothing more for some time.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CROSSED = "crossed"
    PAUSED = "paused"

    @property
    def surely_unrun(self) -> bool:
        """Whether the upstream certainly did not run the request."""
        return self in (Failure.NOT_SENT, Failure.REFUSED, Failure.PAUSED)
