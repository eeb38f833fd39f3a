"""
Speeds of replicas
==================

Estimates how much longer work takes at each replica of a service than usual, from what
the replicas state and from how long they took.

Load pattern: replicas differ in base speed and share their machines, so that some are
two and a half times slower for half a second.  Given as much work as the others, they
start requests late and widen the gaps between events.

No I/O: the inputs are stated figures, observed times and the time.
"""

from collections.abc import Collection, Hashable
from statistics import median

import msgspec

from damasklead.clock import Clock
from damasklead.ids import InstanceId

__all__ = ["ReplicaSpeeds"]

# Half-life of a stated figure: a machine that does other work is slow for about 0.6 s.
STATED_HALF_LIFE_SECONDS = 0.3
# Half-life of the mean of stated figures, to which the last one decays.
MEAN_HALF_LIFE_SECONDS = 5.0
# Number of figures of 1 with which the mean begins, so that a first figure during a
# short slowdown isn't taken for the mean.
MEAN_PRIOR_WEIGHT = 2.0
# Number of observed times that are remembered of each replica and kind; older ones
# decay.  Base speeds don't change while a replica runs.
REMEMBERED_SAMPLES = 100.0
# Number of samples of the median replica that are added to those of each one: a single
# time varies with the other requests at the replica.
PRIOR_SAMPLES = 8.0
# Upper bound of an observed time as a multiple of the expected one: a longer one is a
# stall, or the gateway was suspended.
MAX_OBSERVED_RATIO = 10.0
# Bounds of the factor that is learned from observed times.
MIN_OWN_FACTOR, MAX_OWN_FACTOR = 0.3, 3.0
# Interval between computations of the factors.
UPDATE_INTERVAL_SECONDS = 0.25


class _Samples(msgspec.Struct):
    """
    Decaying sums over the observed times of one kind at one replica.

    Attributes
    ----------
    count : float
    observed, expected : float
        Sums in seconds.
    """

    count: float = 0.0
    observed: float = 0.0
    expected: float = 0.0

    @property
    def ratio(self) -> float:
        """Observed time per expected time."""
        return self.observed / self.expected

    def add(self, observed: float, expected: float) -> None:
        """Add a sample."""
        keep = 1 - 1 / REMEMBERED_SAMPLES
        self.count = self.count * keep + 1
        self.observed = self.observed * keep + observed
        self.expected = self.expected * keep + expected


class _Speed(msgspec.Struct, kw_only=True):
    """
    What is known of one replica.

    Attributes
    ----------
    stated : float
        The figure that was stated last.
    stated_at : float
        Clock time in seconds of that figure.
    mean : float
        Mean of the stated figures.
    mean_weight : float
        Decayed number of figures in the mean.
    own_factor : float
        How much longer work takes than stated, compared with other replicas.
    samples : dict
        Observed times by kind.
    """

    stated: float = 1.0
    stated_at: float = 0.0
    mean: float = 1.0
    mean_weight: float = MEAN_PRIOR_WEIGHT
    own_factor: float = 1.0
    samples: dict[Hashable, _Samples] = {}

    def get_stated(self, now: float) -> float:
        """Return the stated slowdown, which decays to its mean."""
        age = max(0.0, now - self.stated_at)
        decay = 0.5 ** (age / STATED_HALF_LIFE_SECONDS)
        return self.mean + (self.stated - self.mean) * decay

    def record_stated(self, slowdown: float, now: float) -> None:
        """Record a stated figure."""
        age = max(0.0, now - self.stated_at)
        kept_weight = self.mean_weight * 0.5 ** (age / MEAN_HALF_LIFE_SECONDS)
        self.mean = (self.mean * kept_weight + slowdown) / (kept_weight + 1)
        self.mean_weight = kept_weight + 1
        self.stated, self.stated_at = slowdown, now


class ReplicaSpeeds:
    """
    Estimated slowdowns of the replicas of one service; 1 is normal.

    All are 1 until a replica states its slowdown, so that services whose replicas don't
    are served regardless of observed times.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> clock = ManualClock(start=9.0)
    >>> speeds = ReplicaSpeeds(clock=clock)
    >>> speeds.record_stated(InstanceId("a"), 2.5)
    >>> speeds.get_slowdown(InstanceId("a")), speeds.get_slowdown(InstanceId("b"))
    (2.5, 1.0)
    >>> clock.advance(2.0); speeds.get_slowdown(InstanceId("a")) < 2.0
    True
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._speeds: dict[InstanceId, _Speed] = {}
        self._updated_at = clock.now()

    @property
    def is_active(self) -> bool:
        """Whether any replica has stated its slowdown."""
        return bool(self._speeds)

    def record_stated(self, instance: InstanceId, slowdown: float) -> None:
        """Record the slowdown that a replica states."""
        now = self._clock.now()
        speed = self._speeds.get(instance)
        if speed is None:
            speed = self._speeds[instance] = _Speed(stated_at=now)
        speed.record_stated(slowdown, now)

    def record_service_time(
        self,
        instance: InstanceId,
        kind: Hashable,
        *,
        observed: float,
        expected: float,
    ) -> None:
        """
        Record how long some work took at a replica.

        Parameters
        ----------
        instance : InstanceId
        kind : hashable
            Only times of the same kind are compared.
        observed, expected : float
            Seconds that it took, and seconds expected at a replica of slowdown 1.  Only
            the proportion of the expected times matters.
        """
        if not self.is_active or expected <= 0:
            return
        now = self._clock.now()
        speed = self._speeds.setdefault(instance, _Speed(stated_at=now))
        samples = speed.samples.setdefault(kind, _Samples())
        observed = min(observed / speed.get_stated(now), MAX_OBSERVED_RATIO * expected)
        samples.add(observed, expected)
        if now - self._updated_at >= UPDATE_INTERVAL_SECONDS:
            self._updated_at = now
            self._update_own_factors()

    def get_slowdown(self, instance: InstanceId) -> float:
        """Return how much longer work is estimated to take at a replica now."""
        speed = self._speeds.get(instance)
        if speed is None:
            return 1.0
        return speed.own_factor * speed.get_stated(self._clock.now())

    def remove_replica(self, instance: InstanceId) -> None:
        """Forget a replica that has restarted, maybe on another machine."""
        if instance in self._speeds:
            self._speeds[instance] = _Speed(stated_at=self._clock.now())

    def retain_replicas(self, instances: Collection[InstanceId]) -> None:
        """Forget all replicas but these."""
        for instance in [item for item in self._speeds if item not in instances]:
            del self._speeds[instance]

    def _update_own_factors(self) -> None:
        """Compare the observed times of each replica with those of the others."""
        ratios: dict[Hashable, list[float]] = {}
        for speed in self._speeds.values():
            for kind, samples in speed.samples.items():
                ratios.setdefault(kind, []).append(samples.ratio)
        medians = {kind: median(values) for kind, values in ratios.items()}
        for speed in self._speeds.values():
            total, weight = PRIOR_SAMPLES, PRIOR_SAMPLES
            for kind, samples in speed.samples.items():
                if medians[kind] > 0:
                    total += samples.count * samples.ratio / medians[kind]
                    weight += samples.count
            speed.own_factor = min(max(total / weight, MIN_OWN_FACTOR), MAX_OWN_FACTOR)
