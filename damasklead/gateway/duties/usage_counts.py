"""
Usage counts
============

Counts of the requests that replicas began to execute, by window of true time and
workspace: those of this gateway, and the sum over all gateways.  No I/O.

Load pattern: hundreds of gateways each count a part of every window, their messages
are lost, repeated or reordered, and they and the holder may be killed.  Counts are
cumulative, so that the largest one that was received is the right one.
"""

from collections.abc import Iterable, Mapping

from damasklead.clock import Clock
from damasklead.gateway.duties.messages import WindowCounts
from damasklead.gateway.duties.true_time import TrueTime
from damasklead.ids import WorkspaceId

__all__ = ["UsageCounter", "UsageLedger", "compute_window"]

# Messages that hold a window after its last change, since datagrams may be lost.
TRANSMISSIONS = 3
# Windows that are kept while no holder closes them, one minute of them.
MAX_OPEN_WINDOWS = 12
# Requests that are kept until the true time is known.
MAX_UNDATED_REQUESTS = 20_000


def compute_window(unix_time: float, window_seconds: float) -> int:
    """
    Return the number of the window that contains a time.

    >>> compute_window(1767225604.9, 5.0)
    353445120
    """
    return int(unix_time // window_seconds)


class UsageCounter:
    """
    The counts of one gateway.

    Parameters
    ----------
    window_seconds : float
        Length of a window.
    clock : Clock
    true_time : TrueTime
    """

    def __init__(
        self, *, window_seconds: float, clock: Clock, true_time: TrueTime
    ) -> None:
        self._window_seconds = window_seconds
        self._clock = clock
        self._true_time = true_time
        self._closed_window = 0
        self._undated: list[tuple[float, WorkspaceId]] = []
        self._windows: dict[int, dict[WorkspaceId, int]] = {}
        self._transmissions_left: dict[int, int] = {}
        self._uncounted = 0

    @property
    def uncounted_requests(self) -> int:
        """Requests of windows that were closed before they were counted."""
        return self._uncounted

    def record(self, workspace: WorkspaceId) -> None:
        """Count a request that a replica has just begun to execute."""
        now = self._clock.now()
        if self._true_time.is_settled:
            self._count(now, workspace)
        elif len(self._undated) < MAX_UNDATED_REQUESTS:
            self._undated.append((now, workspace))

    def set_closed(self, window: int) -> None:
        """Forget the windows up to a closed one."""
        if window <= self._closed_window:
            return
        self._closed_window = window
        for number in [item for item in self._windows if item <= window]:
            del self._windows[number]
            self._transmissions_left.pop(number, None)

    def schedule_all(self) -> None:
        """Send all windows again, since another gateway collects the counts."""
        self._transmissions_left = dict.fromkeys(self._windows, TRANSMISSIONS)

    def take_changes(self) -> list[WindowCounts]:
        """Return the windows to send now."""
        if self._undated and self._true_time.is_settled:
            undated, self._undated = self._undated, []
            for at, workspace in undated:
                self._count(at, workspace)
        changes: list[WindowCounts] = []
        for window, left in sorted(self._transmissions_left.items()):
            changes.append(WindowCounts(window, dict(self._windows[window])))
            if left > 1:
                self._transmissions_left[window] = left - 1
            else:
                del self._transmissions_left[window]
        return changes

    def _count(self, at: float, workspace: WorkspaceId) -> None:
        unix_time = self._true_time.convert(at)
        window = compute_window(unix_time, self._window_seconds)
        if window <= self._closed_window:
            self._uncounted += 1
            return
        counts = self._windows.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        self._transmissions_left[window] = TRANSMISSIONS
        if len(self._windows) > MAX_OPEN_WINDOWS:
            oldest = min(self._windows)
            del self._windows[oldest]
            self._transmissions_left.pop(oldest, None)


class UsageLedger:
    """
    The counts of all gateways, at the holder and its deputy.

    Examples
    --------
    >>> ledger = UsageLedger()
    >>> for sender, count in [("a", 2), ("b", 3), ("a", 1)]:
    ...     counts = [WindowCounts(7, {WorkspaceId("w"): count})]
    ...     ledger.record(sender, 1, counts, latest_window=7)
    >>> ledger.sum_counts(7)
    {'w': 5}
    """

    def __init__(self) -> None:
        self._closed_window = 0
        self._windows: dict[int, dict[tuple[str, int], dict[WorkspaceId, int]]] = {}

    @property
    def windows(self) -> Iterable[int]:
        """The windows that are not closed."""
        return self._windows.keys()

    def record(
        self,
        sender: str,
        incarnation: int,
        windows: Iterable[WindowCounts],
        *,
        latest_window: int,
    ) -> None:
        """
        Record the cumulative counts of one incarnation of a gateway.

        Parameters
        ----------
        sender, incarnation
        windows : iterable
        latest_window : int
            Later windows are ignored; their sender's clock is wrong.
        """
        for item in windows:
            if not self._closed_window < item.window <= latest_window:
                continue
            senders = self._windows.setdefault(item.window, {})
            counts = senders.setdefault((sender, incarnation), {})
            for workspace, count in item.counts.items():
                counts[workspace] = max(count, counts.get(workspace, 0))
        while len(self._windows) > MAX_OPEN_WINDOWS:
            del self._windows[min(self._windows)]

    def set_closed(self, window: int) -> None:
        """Forget the windows up to a closed one."""
        if window <= self._closed_window:
            return
        self._closed_window = window
        for number in [item for item in self._windows if item <= window]:
            del self._windows[number]

    def sum_counts(self, window: int) -> dict[WorkspaceId, int]:
        """Return the requests of a window by workspace."""
        total: dict[WorkspaceId, int] = {}
        senders: Mapping[tuple[str, int], Mapping[WorkspaceId, int]] = (
            self._windows.get(window, {})
        )
        for counts in senders.values():
            for workspace, count in counts.items():
                total[workspace] = total.get(workspace, 0) + count
        return total
