"""
Failures
========

The ways in which an attempt at an upstream can fail.
"""

from enum import Enum

__all__ = ["Failure"]


class Failure(Enum):
    """
    Why an attempt ended without a complete response.

    Attributes
    ----------
    NOT_SENT
        No byte of the request was sent.
    REFUSED
        The upstream rejected the request without executing it.
    BROKEN
        The connection ended early, or the response was malformed or an error.
    TIMED_OUT
        No data or event arrived within the timeout.
    MISMATCHED
        The response belonged to another request.
    PAUSED
        The upstream rejected the request without executing it and accepts no other
        for some time.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    MISMATCHED = "crossed"
    PAUSED = "paused"

    @property
    def rules_out_execution(self) -> bool:
        """Whether the upstream certainly did not execute the request."""
        return self in (Failure.NOT_SENT, Failure.REFUSED, Failure.PAUSED)
