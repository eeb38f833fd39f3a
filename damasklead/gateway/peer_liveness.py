"""
Liveness of peers
=================

Decides which other gateways are asked for a sign of life, and which have ended.  No
I/O.

Most gateways have nothing to say to each other for minutes, so that a silence alone
says nothing: only pings without an answer count.  They count neither while no other
gateway answers, since this one may be cut off, in one direction or both, nor for a time
in which its process was suspended.

Load pattern: hundreds of quiet gateways, of which another one takes over the checks
when the broadcaster is lost.
"""

import math
from collections.abc import Collection

import msgspec

from damasklead.clock import Clock

__all__ = ["LivenessCheck", "PeerLiveness"]

# A gateway that sends nothing for this long is pinged.
PING_TIMEOUT_SECONDS = 15.0
# A gateway that is silent for this long, and answers no ping in the time after
# ``PING_TIMEOUT_SECONDS``, has ended.
REMOVAL_TIMEOUT_SECONDS = 60.0
# Longest time between two checks that counts.
MAX_STEP_SECONDS = 10.0
# A gateway whose pings no other one has answered for this long may be cut off.
IN_TOUCH_SECONDS = 2 * PING_TIMEOUT_SECONDS


class LivenessCheck(msgspec.Struct, kw_only=True, frozen=True):
    """
    The result of a check.

    Attributes
    ----------
    pinged : list of str
        Gateways to ping.
    ended : list of str
        Gateways that have answered no ping for long, though another one did.
    """

    pinged: list[str]
    ended: list[str]


class _Unanswered(msgspec.Struct):
    """
    Pings that a gateway has not answered.

    Attributes
    ----------
    since : float
        Clock reading in seconds of the first of them.
    seconds : float
        Time in which an answer could have been received.
    """

    since: float
    seconds: float = 0.0


class PeerLiveness:
    """
    When the other gateways were heard, and which of them answer no pings.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> clock = ManualClock(start=0.0)
    >>> liveness = PeerLiveness(clock=clock)
    >>> for name in ("a", "b"):
    ...     liveness.record_message(name)
    >>> clock.advance(300.0)
    >>> liveness.check(["a", "b"])
    LivenessCheck(pinged=['a', 'b'], ended=[])
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._heard_at: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}
        self._unanswered: dict[str, _Unanswered] = {}
        self._checked_at: float | None = None

    def record_message(self, name: str) -> None:
        """Record that a message of a gateway was received."""
        self._heard_at[name] = self._clock.now()

    def record_announcement(self, name: str) -> None:
        """Record that a gateway has announced itself, the answer to a ping."""
        self._heard_at[name] = self._answered_at[name] = self._clock.now()

    def forget(self, name: str) -> None:
        """Forget a gateway that is no member any more."""
        for times in (self._heard_at, self._answered_at):
            times.pop(name, None)
        self._unanswered.pop(name, None)

    def get_silence(self, name: str) -> float:
        """Return the seconds since a gateway was heard, infinite if it never was."""
        return self._clock.now() - self._heard_at.get(name, -math.inf)

    def check(self, names: Collection[str]) -> LivenessCheck:
        """
        Return which gateways to ping, and which have ended.

        Parameters
        ----------
        names : collection of str
            The other gateways.
        """
        now = self._clock.now()
        step = 0.0 if self._checked_at is None else now - self._checked_at
        self._checked_at = now
        silent = [
            name for name in names if self.get_silence(name) > PING_TIMEOUT_SECONDS
        ]
        for name in silent:
            self._count_unanswered(name, min(step, MAX_STEP_SECONDS))
        ended = [name for name in silent if self._has_ended(name, names)]
        pinged = [name for name in silent if name not in ended]
        if silent:
            pinged += self._choose_witness(
                [item for item in names if item not in silent]
            )
        return LivenessCheck(pinged=pinged, ended=ended)

    def _choose_witness(self, names: Collection[str]) -> list[str]:
        """Return the gateway whose answer shows that pings arrive, if there is one."""
        return sorted(names, key=lambda name: self._answered_at.get(name, -math.inf))[
            :1
        ]

    def _count_unanswered(self, name: str, step: float) -> None:
        pings = self._unanswered.get(name)
        if pings is None or self._heard_at.get(name, -math.inf) > pings.since:
            self._unanswered[name] = _Unanswered(since=self._clock.now())
        else:
            pings.seconds += step

    def _has_ended(self, name: str, names: Collection[str]) -> bool:
        required = REMOVAL_TIMEOUT_SECONDS - PING_TIMEOUT_SECONDS
        if self._unanswered[name].seconds < required:
            return False
        # Between two gateways nothing tells which one is cut off.
        others = [other for other in names if other != name]
        last_answered = self._clock.now() - IN_TOUCH_SECONDS
        return not others or any(
            self._answered_at.get(other, -math.inf) >= last_answered for other in others
        )
