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

    ``NOT_SENT`` and ``REFUSED`` are sure signs that the upstream did not run the
    request.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CROSSED = "crossed"

    @property
    def surely_unrun(self) -> bool:
        """Whether the upstream certainly did not run the request."""
        return self in (Failure.NOT_SENT, Failure.REFUSED)
