"""
Exonerations
============

Remembers which suspects of crashes replicas have responded to since, so that a gateway
that missed this neither keeps refusing them nor makes others refuse them again.  No
I/O.

Load pattern: each crash makes suspects of the requests and prompt parts that it
interrupts, most of which are found to be sound within seconds; few of them were taken
for causes, and any gateway may still name these a day later.
"""

import math
from collections import OrderedDict

import msgspec

from damasklead.clock import Clock
from damasklead.crash_evidence import EXPLAINED_TTL_SECONDS
from damasklead.gateway.crash_reports import EXONERATED_CRASH_COUNT, CrashCause
from damasklead.ids import Fingerprint

__all__ = ["Exonerations"]

# Limits of the memory for suspects that no gateway named as causes, and for the others;
# LRU.
MAX_SUSPECTS = 4_096
MAX_CAUSES = 1_024
# Exonerated causes that are reported at once, the latest ones.
MAX_REPORTED_CAUSES = 64
# Time for which an exonerated cause is repeated after a gateway has named it.
REPEAT_SECONDS = 10.0


class _ExoneratedCause(msgspec.Struct, kw_only=True):
    """
    A cause that was found to be sound.

    Attributes
    ----------
    at : float
        Clock reading in seconds of the response.
    named_at : float
        Clock reading in seconds when a gateway was last known to refuse it.
    """

    at: float
    named_at: float


class Exonerations:
    """
    The suspects that replicas have responded to completely.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._suspects: OrderedDict[Fingerprint, float] = OrderedDict()
        self._causes: OrderedDict[Fingerprint, _ExoneratedCause] = OrderedDict()

    @property
    def causes(self) -> list[CrashCause]:
        """Exonerated suspects that a gateway named as causes, the latest ones first."""
        return self._describe(-math.inf)

    @property
    def repeated_causes(self) -> list[CrashCause]:
        """Those that a gateway was known to refuse recently."""
        return self._describe(self._clock.now() - REPEAT_SECONDS)

    def get_time(self, fingerprint: Fingerprint) -> float:
        """Return when a suspect was exonerated last; minus infinity if it wasn't."""
        cause = self._causes.get(fingerprint)
        if cause is not None:
            return cause.at
        return self._suspects.get(fingerprint, -math.inf)

    def record(self, fingerprint: Fingerprint, at: float, *, is_cause: bool) -> bool:
        """
        Record that a replica has responded completely to a suspect.

        Parameters
        ----------
        fingerprint : Fingerprint
        at : float
            Clock reading in seconds.
        is_cause : bool
            Whether a gateway took it for a cause.

        Returns
        -------
        bool
            Whether no later one of this suspect was known.
        """
        if not (math.isfinite(at) and at >= self.get_time(fingerprint)):
            return False
        if fingerprint in self._causes:
            self._causes[fingerprint].at = at
            return True
        self._suspects[fingerprint] = at
        self._suspects.move_to_end(fingerprint)
        if is_cause:
            self._mark_named(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return True

    def contradicts(self, cause: CrashCause) -> bool:
        """
        Return whether a suspect was exonerated after what made it a cause.

        The exoneration is then repeated, as the gateway that named the cause, or
        another one that it was told by, lacks it.
        """
        at = self.get_time(cause.fingerprint)
        if at == -math.inf:
            return False
        age = cause.age_seconds
        if age is not None and self._clock.now() - max(age, 0.0) > at:
            return False
        self._mark_named(cause.fingerprint)
        return True

    def expire(self) -> None:
        """Forget exonerations of suspects that nobody can still take for causes."""
        oldest = self._clock.now() - EXPLAINED_TTL_SECONDS
        for fingerprint in [key for key, at in self._suspects.items() if at < oldest]:
            del self._suspects[fingerprint]
        for fingerprint in [
            key for key, cause in self._causes.items() if cause.at < oldest
        ]:
            del self._causes[fingerprint]

    def _mark_named(self, fingerprint: Fingerprint) -> None:
        now = self._clock.now()
        at = self.get_time(fingerprint)
        self._suspects.pop(fingerprint, None)
        self._causes[fingerprint] = _ExoneratedCause(at=at, named_at=now)
        self._causes.move_to_end(fingerprint)
        if len(self._causes) > MAX_CAUSES:
            self._causes.popitem(last=False)

    def _describe(self, oldest: float) -> list[CrashCause]:
        now = self._clock.now()
        described = [
            CrashCause(
                fingerprint, 0.0, EXONERATED_CRASH_COUNT, max(now - cause.at, 0.0)
            )
            for fingerprint, cause in reversed(self._causes.items())
            if cause.named_at >= oldest
        ]
        return described[:MAX_REPORTED_CAUSES]
