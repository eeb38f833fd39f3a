"""
Reachability of the replicas
============================

Decides whether this gateway is cut off from all replicas.  No I/O: the inputs are
connections to replicas that failed, requests that were sent, data that arrived, and
what another gateway found.

Load pattern: a network partition between a gateway and all replicas, in one direction
or both, for some seconds, while callers continue to send it requests.  Connections
hang, are reset, or live on while new ones are refused.  New ones may also be opened by
a load balancer on the way and lead nowhere, so that only data proves a way to a
replica.  The crash of some replicas, or a pause of all of them, must not look like it.
"""

import math
from collections.abc import Callable

from damasklead.clock import Clock

__all__ = ["Reachability"]

# Replicas to which connections must fail, with no response on a new one between, until
# the gateway counts as isolated.
FAILED_REPLICAS = 2
# New connections in a row on which data must arrive until it doesn't any more.
REQUIRED_RESPONSES = 2
# Time without data from any replica, though a request was sent, after which replicas
# are tried; a lost packet is retransmitted after 0.2 s.
MAX_SILENCE_SECONDS = 0.5
# Least time between two such trials while they succeed: prefill of long prompts takes
# as long as that without a failure.
MIN_TRIAL_INTERVAL_SECONDS = 1.0


class Reachability:
    """
    Whether this gateway gets responses from replicas over new connections.

    Parameters
    ----------
    clock : Clock
    get_replica_count : callable
        Returns the number of listed replicas.
    on_change : callable
        Called with whether the gateway is isolated, each time that this changes.

    Attributes
    ----------
    isolation_count : int
        How often the gateway has become isolated.

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> reachability = Reachability(clock=ManualClock(), get_replica_count=lambda: 3)
    >>> reachability.record_failed("10.0.0.1:80")
    >>> reachability.record_failed("10.0.0.1:80")
    >>> reachability.is_isolated
    False
    >>> reachability.record_failed("10.0.0.2:80")
    >>> reachability.is_isolated
    True
    """

    def __init__(
        self,
        *,
        clock: Clock,
        get_replica_count: Callable[[], int],
        on_change: Callable[[bool], None] = lambda _: None,
    ) -> None:
        self._clock = clock
        self._get_replica_count = get_replica_count
        self._on_change = on_change
        self._is_isolated = False
        self._failed: set[str] = set()
        self._has_unanswered = False
        self._responses_in_a_row = 0
        self._silent_since: float | None = None
        self._tried_at = -math.inf
        self.isolation_count = 0

    @property
    def is_isolated(self) -> bool:
        """Whether the gateway is cut off from all replicas."""
        return self._is_isolated

    @property
    def should_try(self) -> bool:
        """
        Whether replicas should be tried.

        They have been silent, a new connection has ended without a response, or one
        couldn't be opened: without a trial, its failure would count together with that
        of another replica much later.
        """
        now = self._clock.now()
        if self._is_isolated or now - self._tried_at < MIN_TRIAL_INTERVAL_SECONDS:
            return False
        is_silent = (
            self._silent_since is not None
            and now - self._silent_since >= MAX_SILENCE_SECONDS
        )
        return is_silent or self._has_unanswered or bool(self._failed)

    def record_trial(self) -> None:
        """Record that replicas are being tried."""
        self._tried_at = self._clock.now()

    def record_sent(self) -> None:
        """Record that a request was sent over a direct connection."""
        if self._silent_since is None:
            self._silent_since = self._clock.now()

    def record_data(self) -> None:
        """Record that data arrived on a direct connection."""
        self._silent_since = None

    def record_response(self) -> None:
        """Record that the first data arrived on a new direct connection."""
        self._failed.clear()
        self._has_unanswered = False
        self._silent_since = None
        self._responses_in_a_row += 1
        if self._is_isolated and self._responses_in_a_row >= REQUIRED_RESPONSES:
            self._is_isolated = False
            self._on_change(False)

    def record_unanswered(self) -> None:
        """
        Record that a request on a new direct connection got no data.

        The connection has ended, or it is silent.  Replicas that crash or pause look
        the same, so that this alone is no failure.
        """
        self._responses_in_a_row = 0
        self._has_unanswered = True

    def record_answered_elsewhere(self, address: str) -> None:
        """Record that a replica answers another gateway, and not this one."""
        self._record_failure(address)

    def record_failed(self, address: str) -> None:
        """Record that a direct connection could not be opened."""
        self._record_failure(address)

    def _record_failure(self, address: str) -> None:
        self._responses_in_a_row = 0
        self._failed.add(address)
        required = min(FAILED_REPLICAS, max(1, self._get_replica_count()))
        if not self._is_isolated and len(self._failed) >= required:
            self._is_isolated = True
            self.isolation_count += 1
            self._on_change(True)
