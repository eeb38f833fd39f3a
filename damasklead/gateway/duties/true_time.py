"""
True time
=========

Estimates the true time from the wall clocks of all gateways.  No I/O.

Load pattern: the wall clock of a gateway jumps by seconds and back, or the process is
frozen for seconds and then reads what others sent before, while usage is counted by
windows of 5 s of true time.  A gateway goes on by its monotonic clock and follows the
wall clocks only where most gateways agree.
"""

import statistics
from collections import deque
from collections.abc import Callable

from damasklead.clock import Clock

__all__ = ["TrueTime"]

# A gateway's clock counts for this long after its last report.
SAMPLE_SECONDS = 6.0
# Reports of one gateway of which the least delayed one counts.
SAMPLES_PER_GATEWAY = 3
# Clocks that differ by no more than this from the median agree with it.
TOLERANCE_SECONDS = 0.25
# After this time without an estimate of others, the own clock is taken.
SETTLE_SECONDS = 8.0
# A process that did nothing for this long was frozen, and ignores the times in messages
# for a while: they were sent before.
FREEZE_SECONDS, QUEUE_SECONDS = 1.5, 0.5
# Later than any time of use, and a number of milliseconds that fits 64 bits.
MAX_UNIX_TIME = 1e12


class TrueTime:
    """
    The estimate of one gateway.

    Parameters
    ----------
    clock : Clock
    get_unix_time : callable
        Returns this gateway's wall-clock time in seconds since 1970.
    is_alone : bool
        Whether there are no other gateways.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        get_unix_time: Callable[[], float],
        is_alone: bool = False,
    ) -> None:
        self._clock = clock
        self._get_unix_time = get_unix_time
        self._started_at = self._ticked_at = clock.now()
        self._trusts_messages_at = clock.now()
        self._offset = get_unix_time() - clock.now()
        self._samples: dict[str, deque[tuple[float, float]]] = {}
        self._has_majority = False
        self._is_settled = is_alone

    @property
    def has_majority(self) -> bool:
        """Whether most of the known clocks agree with the estimate."""
        return self._has_majority

    @property
    def is_settled(self) -> bool:
        """Whether the estimate no longer depends on this gateway's clock alone."""
        waited_seconds = self._clock.now() - self._started_at
        return self._is_settled or waited_seconds >= SETTLE_SECONDS

    @property
    def clock_error(self) -> float:
        """Seconds by which this gateway's wall clock is ahead of the estimate."""
        return self._get_unix_time() - self.now()

    def now(self) -> float:
        """Return the estimated true time in seconds since 1970."""
        return self.convert(self._clock.now())

    def convert(self, at: float) -> float:
        """Return the estimated true time of a reading of the monotonic clock."""
        return at + self._offset

    def tick(self) -> None:
        """Record that the process runs; must be called several times a second."""
        now = self._clock.now()
        if now - self._ticked_at >= FREEZE_SECONDS:
            self._trusts_messages_at = now + QUEUE_SECONDS
        self._ticked_at = now

    def record_clock(self, name: str, unix_time: float) -> None:
        """Record the wall-clock time that another gateway has just sent."""
        now = self._clock.now()
        if self._may_trust_messages() and _is_time(unix_time):
            samples = self._samples.setdefault(name, deque(maxlen=SAMPLES_PER_GATEWAY))
            samples.append((unix_time - now, now))

    def adopt(self, unix_time: float) -> None:
        """
        Adopt the estimate of a holder for which most clocks agree.

        A message that was delayed is outvoted by the estimate so far and by this
        gateway's own clock.
        """
        if not (self._may_trust_messages() and _is_time(unix_time)):
            return
        now = self._clock.now()
        offset = unix_time - now
        if self._is_settled:
            own_offset = self._get_unix_time() - now
            offset = statistics.median((offset, self._offset, own_offset))
        self._offset = offset
        self._is_settled = True

    def update(self) -> None:
        """Estimate the time from the clocks of all gateways that have reported."""
        self.tick()
        now = self._clock.now()
        if now < self._trusts_messages_at:
            return
        self._samples = {
            name: samples
            for name, samples in self._samples.items()
            if now - samples[-1][1] < SAMPLE_SECONDS
        }
        # A message that waits makes its sender's clock appear late.
        offsets = [
            max(offset for offset, at in samples if now - at < SAMPLE_SECONDS)
            for samples in self._samples.values()
        ]
        offsets.append(self._get_unix_time() - now)
        median = statistics.median(offsets)
        agreeing = sum(abs(item - median) <= TOLERANCE_SECONDS for item in offsets)
        self._has_majority = len(offsets) > 1 and 2 * agreeing > len(offsets)
        if self._has_majority:
            self._offset = median
            self._is_settled = True

    def _may_trust_messages(self) -> bool:
        now = self._clock.now()
        return (
            now - self._ticked_at < FREEZE_SECONDS and now >= self._trusts_messages_at
        )


def _is_time(unix_time: float) -> bool:
    """Return whether a number may be a time; others can't be calculated with."""
    return 0.0 <= unix_time <= MAX_UNIX_TIME
