"""
Order of a stream
=================

Whether the events of a resumed stream go on after those that its caller has, from this
response or from the one that it takes up.  No I/O.
"""

from collections.abc import Sequence

from damasklead.failures import Failure
from damasklead.gateway.events import continues_after
from damasklead.gateway.upstream_http import SendError

__all__ = ["StreamOrder"]


class StreamOrder:
    """
    The ids of the events that a caller has, and the checks of those that follow.

    Parameters
    ----------
    resumed_after : bytes or None
        Id of the last event that the caller has from an earlier response, if it takes
        the stream up.
    """

    def __init__(self, *, resumed_after: bytes | None) -> None:
        self._resumed_after = resumed_after
        self._last_id: bytes | None = None
        self._has_events = False
        self._ends_with_id = True
        self._has_contiguous_ids = False
        self._is_continuation = False
        self._is_checked = False

    @property
    def last_id(self) -> bytes | None:
        """Id of the last event that was sent and carried one."""
        return self._last_id

    def begin_part(self, *, is_continuation: bool) -> None:
        """
        Begin the events of an attempt.

        Parameters
        ----------
        is_continuation : bool
            Whether a part of the response was sent before.
        """
        self._is_continuation = is_continuation
        self._is_checked = False

    def check_first(self, first_id: bytes | None) -> None:
        """
        Check the first event of a resumed stream.

        Raises
        ------
        SendError
            ``BROKEN`` unless it follows the last event that the caller has.
        """
        last_id = self._last_id if self._has_events else self._resumed_after
        if not self._has_events and last_id is None:
            return  # the stream begins here
        if not self._ends_with_id or not continues_after(
            first_id, last_id, contiguous=self._has_contiguous_ids
        ):
            raise SendError(Failure.BROKEN, f"the stream resumes at event {first_id!r}")

    def check(self, ids: Sequence[bytes | None]) -> None:
        """
        Check the next events of the attempt, before they are sent.

        The events that a replica sends from the start on are its own affair.

        Parameters
        ----------
        ids : sequence
            Ids of the events; ``None`` for one without.

        Raises
        ------
        SendError
            ``BROKEN`` unless they go on with the stream.
        """
        if not ids or not (self._is_continuation or self._resumed_after is not None):
            return
        last_id = self._last_id
        # Nothing says how far the ids of a stream from elsewhere are apart.
        contiguous = self._is_continuation and self._has_contiguous_ids
        for event_id in ids:
            if not self._is_checked:
                self.check_first(event_id)
                self._is_checked = True
            elif event_id is not None and not continues_after(
                event_id, last_id, contiguous=contiguous
            ):
                raise SendError(
                    Failure.BROKEN, f"event {event_id!r} comes after {last_id!r}"
                )
            last_id = last_id if event_id is None else event_id

    def record(self, ids: Sequence[bytes | None], *, has_contiguous_ids: bool) -> None:
        """
        Record events that are sent.

        Parameters
        ----------
        ids : sequence
            Their ids.
        has_contiguous_ids : bool
            Whether the ids of all events of the attempt increase by one.
        """
        if not self._is_continuation:
            self._has_contiguous_ids = has_contiguous_ids
        if not ids:
            return
        self._has_events = True
        self._ends_with_id = ids[-1] is not None
        for event_id in ids:
            if event_id is not None:
                self._last_id = event_id
