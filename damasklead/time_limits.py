"""
Time limits
===========

Limits of the time that a block of code takes.
"""

import gevent

__all__ = ["time_limit"]


def time_limit(seconds: float) -> gevent.Timeout:
    """
    Return a context manager that leaves its block after a time, without an error.

    The ``timeout`` of ``gevent.wait()``, ``iwait()`` and ``joinall()`` counts from when
    the event loop last read the clock, and may be over at once in a busy process.

    Parameters
    ----------
    seconds : float
        The time, from now.
    """
    return gevent.Timeout(seconds, exception=False)
