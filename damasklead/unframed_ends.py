"""
Ends of responses without a length
==================================

A response that has neither a length nor chunks ends with its connection.  The same
bytes arrive if its replica has crashed, if the replica cut it off because nobody read
it or because the deadline had passed, or if a process on the way has ended.  That
nothing bad is known about the replica proves nothing: gateways and entries take such a
response for complete only if all of this holds, and for broken otherwise.

* The connection was ended in order, by the replica and not by a tunnel.
* The start of the replica that ran the request has answered another request, sent after
  the end.  Its report names the start; a replica that reports none must have answered
  over a connection that was opened before the request was sent, and that only the same
  process can have.  An open connection, a listening socket or another start at the same
  address is not enough.
* The deadline that the replica was given has not passed.
* The body arrived without a long interruption before the end, and this process did not
  stand still before its start.  Replicas cut off what stays unread for some seconds,
  whether the caller, this process or the network has held it up.

``find_end_doubt`` is this rule.
"""

from enum import Enum

__all__ = ["INTERRUPTION_SECONDS", "BodyFlow", "EndDoubt", "find_end_doubt"]

# Time without data after which a body may have been cut off.  Replicas cut off after
# some seconds, and healthy readers stop for less.
INTERRUPTION_SECONDS = 1.0


class EndDoubt(Enum):
    """
    Why the end of a connection isn't shown to be the end of the response.

    Attributes
    ----------
    TUNNEL
        It may be the end of the tunnel.
    NO_REPORT
        The replica has not answered since.
    OTHER_START
        Another start has answered at its address, or it isn't known which one ran the
        request.
    LATE
        The deadline has passed.
    INTERRUPTED
        The body was held up, or nothing arrived for some time.
    """

    TUNNEL = "tunnel"
    NO_REPORT = "no-report"
    OTHER_START = "other-start"
    LATE = "late"
    INTERRUPTED = "interrupted"


def find_end_doubt(
    *,
    is_tunnel: bool,
    incarnation: int,
    reported: int | None,
    is_same_process: bool = False,
    is_late: bool,
    is_interrupted: bool,
) -> EndDoubt | None:
    """
    Return why a response without a length isn't shown to be complete.

    Parameters
    ----------
    is_tunnel : bool
        Whether its connection goes through another instance.
    incarnation : int
        Start of the replica that ran the request; 0 if it is not known.
    reported : int or None
        Start that has answered a request which was sent after the end; ``None`` if none
        has.
    is_same_process : bool
        Whether such a request was answered over a connection that was opened before
        the request at issue was sent.
    is_late : bool
        Whether the deadline of the request has passed.
    is_interrupted : bool
        Whether the body was held up shortly before its end.

    Examples
    --------
    >>> evidence = {"is_tunnel": False, "is_late": False, "is_interrupted": False}
    >>> find_end_doubt(incarnation=17, reported=17, **evidence)
    >>> find_end_doubt(incarnation=17, reported=18, **evidence)
    <EndDoubt.OTHER_START: 'other-start'>
    >>> find_end_doubt(incarnation=17, reported=None, **evidence)
    <EndDoubt.NO_REPORT: 'no-report'>
    """
    if is_tunnel:
        return EndDoubt.TUNNEL
    if not is_same_process:
        if reported is None:
            return EndDoubt.NO_REPORT
        if not incarnation or reported != incarnation:
            return EndDoubt.OTHER_START
    if is_late:
        return EndDoubt.LATE
    return EndDoubt.INTERRUPTED if is_interrupted else None


class BodyFlow:
    """
    Whether a body was interrupted shortly before its present end.

    What was queued while nobody read it arrives without a pause afterwards.  So an
    interruption counts until the other side has been waited for, and has sent data, for
    as long again.

    Parameters
    ----------
    started_at : float
        Clock time in seconds at which the body begins.
    stalled_seconds : float
        Time for which this process stood still while it waited for the body.

    Examples
    --------
    >>> flow = BodyFlow(started_at=5.0)
    >>> flow.record(waited_since=5.0, received_at=5.1)
    >>> flow.is_interrupted
    False
    >>> flow.record(waited_since=6.1, received_at=6.1)
    >>> flow.is_interrupted
    True
    >>> for second in (6.1, 6.6):
    ...     flow.record(waited_since=second, received_at=second + 0.5)
    >>> flow.is_interrupted
    False
    """

    def __init__(self, *, started_at: float, stalled_seconds: float = 0.0) -> None:
        self._received_at = started_at
        self._flowing_seconds = 0.0
        self._interrupted_seconds = stalled_seconds

    @property
    def is_interrupted(self) -> bool:
        """Whether nothing arrived for some time shortly before."""
        return self._interrupted_seconds > 0.0

    def record(self, *, waited_since: float, received_at: float) -> None:
        """
        Record that data, or the end, have arrived.

        Parameters
        ----------
        waited_since, received_at : float
            Clock times in seconds at which the read began and returned.
        """
        pause = received_at - self._received_at
        self._received_at = received_at
        if pause >= INTERRUPTION_SECONDS:
            self._interrupted_seconds = max(self._interrupted_seconds, pause)
            self._flowing_seconds = 0.0
            return
        self._flowing_seconds += received_at - waited_since
        if self._flowing_seconds >= self._interrupted_seconds:
            self._interrupted_seconds = 0.0
