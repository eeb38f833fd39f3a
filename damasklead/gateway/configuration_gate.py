"""
Configuration gate
==================

Holds requests that the configuration doesn't allow while a newer one may allow them.

Load pattern: routes and keys are added while a gateway hasn't got the newest version
yet.  Callers take 401 and 404 as final, and a newer version mostly arrives within some
tenths of a second.
"""

from collections.abc import Callable

import gevent

from damasklead.clock import Clock

__all__ = ["ConfigurationGate"]

# Callers disconnect if they receive nothing for about a second, and need some of their
# time to try again elsewhere.
MAX_HOLD_SECONDS = 0.5
MAX_HOLD_SHARE = 1 / 3
CHECK_INTERVAL_SECONDS = 0.02
# Requests that are held at the same time; callers with unknown keys may send many.
MAX_HELD_REQUESTS = 100


class ConfigurationGate:
    """
    A gate that is closed while the configuration isn't current.

    Parameters
    ----------
    clock : Clock
    is_current : callable
        Returns whether the configuration is the newest one, as far as is known.
    get_version : callable
        Returns the version in force.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        is_current: Callable[[], bool],
        get_version: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._is_current = is_current
        self._get_version = get_version
        self._held_requests = 0

    @property
    def is_open(self) -> bool:
        """Whether the configuration is current."""
        return self._is_current()

    def wait(self, *, arrival: float, caller_timeout: float | None) -> bool:
        """
        Wait for another version, or until the present one is found to be current.

        Parameters
        ----------
        arrival : float
            Clock reading in seconds when the request arrived; it is held until
            ``MAX_HOLD_SECONDS`` after it at most.
        caller_timeout : float or None
            Seconds for which the caller waits, if it states them; the request is held
            for ``MAX_HOLD_SHARE`` of them at most.

        Returns
        -------
        bool
            Whether the request should be looked up again.
        """
        if self._held_requests >= MAX_HELD_REQUESTS:
            return False
        version = self._get_version()
        hold_seconds = MAX_HOLD_SECONDS
        if caller_timeout is not None:
            hold_seconds = min(hold_seconds, MAX_HOLD_SHARE * caller_timeout)
        self._held_requests += 1
        try:
            while self._clock.now() - arrival < hold_seconds:
                gevent.sleep(CHECK_INTERVAL_SECONDS)
                if self._is_current() or self._get_version() != version:
                    return True
            return False
        finally:
            self._held_requests -= 1
