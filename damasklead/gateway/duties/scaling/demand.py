"""
Demand
======

Demand of a service over the last minutes, as the decision on its replicas uses it.  No
I/O.

Load pattern: bursts of 2.7 times the usual rate that begin within a second and end
after some seconds, while a replica takes 4 s to boot.  What a burst needs has to be
there before it begins, so the demand is that of the last peak.
"""

from collections import deque
from collections.abc import Callable
from math import fsum, sqrt

import msgspec

from damasklead.clock import Clock

__all__ = ["Demand", "DemandHistory"]

# Time for which a peak counts: bursts of about 10 s return after minutes, and a change
# of the replicas for each of them would cost calls and cold caches.
PEAK_SECONDS = 240.0
# Time for which the mean and the variance are computed, which follow the demand faster.
MEAN_SECONDS = 90.0
# Time with traffic after which the samples show how much the demand varies.
SETTLED_SECONDS = 60.0
# Least time between two samples; load reports arrive about once per second.
SAMPLE_INTERVAL_SECONDS = 0.9
# Age at which the last sample no longer describes the demand: three lost reports.
MAX_AGE_SECONDS = 3.0
# Margin above the mean in standard deviations, and its least value.
MARGIN_DEVIATIONS = 2.0
MIN_MARGIN = 0.1
# Margin down to which replicas are given up until the traffic has lasted for as long as
# a peak counts: a burst to 2.7 times the usual rate of a third of the requests may not
# have been seen yet.
UNSETTLED_MARGIN = 0.5
# Time in which a queue should be worked off by additional replicas.
DRAIN_SECONDS = 5.0
# Bounds of the mean duration of a request, which few requests may show wrongly, and
# weight of a new sample in it.
MAX_DURATION_SECONDS = 5.0
DURATION_WEIGHT = 0.1


class Demand(msgspec.Struct, kw_only=True, frozen=True):
    """
    Demand of a service at one time.

    Attributes
    ----------
    running, queued : float
        Requests at replicas, and those that wait for one.
    arrivals, refusals : float
        Requests per second that arrive, and those of them that are refused.
    prefill_tokens : float
        Prompt tokens to prefill per second.
    backlog : float
        Mean seconds of prefill work that the replicas have pending.
    shared_tokens : float
        Tokens of the prompt parts that replicas should keep cached.
    """

    running: float = 0.0
    queued: float = 0.0
    arrivals: float = 0.0
    refusals: float = 0.0
    prefill_tokens: float = 0.0
    backlog: float = 0.0
    shared_tokens: float = 0.0

    @property
    def is_quiet(self) -> bool:
        """Whether there are no requests."""
        return not (self.running or self.queued or self.arrivals)


class _Sample(msgspec.Struct, kw_only=True, frozen=True):
    """
    A sample of the demand.

    Attributes
    ----------
    measured_at : float
        Clock time in seconds.
    demand : Demand
    slots : float
        Slots that all requests would use, the queued and refused ones included.
    """

    measured_at: float
    demand: Demand
    slots: float


class DemandHistory:
    """
    The samples of the last minutes.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from damasklead import ManualClock
    >>> clock = ManualClock()
    >>> history = DemandHistory(clock=clock)
    >>> history.latest is None
    True
    >>> for running in (40, 40, 100, 90, 40):
    ...     history.record(Demand(running=running, arrivals=20))
    ...     clock.advance(1.0)
    >>> history.slots_level
    96.1...
    >>> clock.advance(5.0)
    >>> history.latest is None
    True
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._samples: deque[_Sample] = deque()
        self._traffic_since: float | None = None
        self._duration: float | None = None
        self._slots_level: float | None = None

    @property
    def latest(self) -> Demand | None:
        """The last sample, ``None`` if it is too old."""
        if not self._samples:
            return None
        sample = self._samples[-1]
        is_fresh = self._clock.now() - sample.measured_at <= MAX_AGE_SECONDS
        return sample.demand if is_fresh else None

    @property
    def is_sample_due(self) -> bool:
        """Whether the last sample is older than the interval of samples."""
        if not self._samples:
            return True
        return (
            self._clock.now() - self._samples[-1].measured_at >= SAMPLE_INTERVAL_SECONDS
        )

    @property
    def measured_at(self) -> float | None:
        """Clock time in seconds of the last sample, ``None`` without one."""
        return self._samples[-1].measured_at if self._samples else None

    @property
    def has_seen_traffic(self) -> bool:
        """Whether any sample had requests."""
        return self._traffic_since is not None

    @property
    def is_settled(self) -> bool:
        """Whether there has been traffic for long enough to order fewer replicas."""
        return self._has_lasted_for(SETTLED_SECONDS)

    @property
    def slots_level(self) -> float:
        """Slots that are needed, with a margin that follows the variance."""
        if self._slots_level is None:
            self._slots_level = self._compute_slots_level()
        return self._slots_level

    @property
    def kept_slots_level(self) -> float:
        """Slots that are kept, also for a burst that has not been seen yet."""
        if self._has_lasted_for(PEAK_SECONDS):
            return self.slots_level
        mean, _ = _compute_moments([sample.slots for sample in self._samples])
        return max(self.slots_level, mean * (1 + UNSETTLED_MARGIN))

    @property
    def prefill_level(self) -> float:
        """Prompt tokens to prefill per second, the mean plus a standard deviation."""
        mean, deviation = _compute_moments(
            [sample.demand.prefill_tokens for sample in self._select_recent()]
        )
        return mean + deviation

    @property
    def shared_tokens(self) -> float:
        """Most tokens of shared parts at one time."""
        return max(
            (sample.demand.shared_tokens for sample in self._select_recent()),
            default=0.0,
        )

    def record(self, demand: Demand) -> None:
        """Add a sample of this time."""
        now = self._clock.now()
        if self._traffic_since is None and not demand.is_quiet:
            self._traffic_since = now
            # The quiet time before says nothing about how much the demand varies.
            self._samples.clear()
        self._samples.append(
            _Sample(measured_at=now, demand=demand, slots=self._estimate_slots(demand))
        )
        while now - self._samples[0].measured_at > PEAK_SECONDS:
            self._samples.popleft()
        self._slots_level = None

    def has_lasted(self, condition: Callable[[Demand], bool], *, samples: int) -> bool:
        """Return whether a condition holds for each of the last samples."""
        recent = list(self._samples)[-samples:]
        return len(recent) == samples and all(condition(item.demand) for item in recent)

    def _has_lasted_for(self, seconds: float) -> bool:
        if self._traffic_since is None:
            return False
        return self._clock.now() - self._traffic_since >= seconds

    def _select_recent(self) -> list[_Sample]:
        since = self._clock.now() - MEAN_SECONDS
        return [sample for sample in self._samples if sample.measured_at >= since]

    def _estimate_slots(self, demand: Demand) -> float:
        """
        Return the slots that all requests would use.

        Refused requests would have run as long as others do (Little's law).  Queued
        ones need slots only until the queue has been worked off, and those that wait
        for full replicas say nothing about how long a request runs.
        """
        if demand.arrivals <= 0:
            return demand.running + demand.queued
        if self._duration is None or not (demand.queued or demand.refusals):
            duration = min(demand.running / demand.arrivals, MAX_DURATION_SECONDS)
            before = duration if self._duration is None else self._duration
            self._duration = before + DURATION_WEIGHT * (duration - before)
        return (
            max(demand.running, demand.arrivals * self._duration)
            + demand.queued * self._duration / DRAIN_SECONDS
        )

    def _compute_slots_level(self) -> float:
        peak = max(_smooth([sample.slots for sample in self._samples]), default=0.0)
        mean, deviation = _compute_moments(
            _smooth([sample.slots for sample in self._select_recent()])
        )
        return max(peak, mean + MARGIN_DEVIATIONS * deviation, mean * (1 + MIN_MARGIN))


def _smooth(values: list[float]) -> list[float]:
    """
    Return what two values in turn reach.

    A single sample may count requests of a cell twice while its coordinator changes.
    """
    return list(map(min, values, values[1:]))


def _compute_moments(values: list[float]) -> tuple[float, float]:
    """Return the mean and the standard deviation, 0 without values."""
    if not values:
        return 0.0, 0.0
    mean = fsum(values) / len(values)
    return mean, sqrt(fsum((value - mean) ** 2 for value in values) / len(values))
