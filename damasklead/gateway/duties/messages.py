"""
Messages of duties
==================

Datagrams between the holder of the duties' lease and the other gateways.  Each may be
lost or duplicated: notices and counts are repeated, and counts are cumulative.
"""

from typing import Annotated

import msgspec

from damasklead.ids import WorkspaceId

__all__ = ["HolderNotice", "Number", "ReportCopies", "UsageCounts", "WindowCounts"]

# Anybody may send a datagram, whose numbers must not end calculations.
Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class WindowCounts(msgspec.Struct, array_like=True, frozen=True):
    """
    Requests of one window by workspace.

    Attributes
    ----------
    window : int
        Number of the window, which begins this many window lengths after 1970.
    counts : dict
    """

    window: Number
    counts: dict[WorkspaceId, Number]


class HolderNotice(msgspec.Struct, array_like=True, frozen=True, tag=20):
    """
    Announces that its sender holds the lease of the duties.

    Attributes
    ----------
    token : int
        Fencing token of the lease.
    deputy : str
        Gateway that gets the same reports as the holder; empty without one.
    version : int
        Version of the lease's row after the last renewal; 0 if the lease was released.
    unix_time : float
        The holder's estimate of the true time in seconds since 1970.
    has_majority : bool
        Whether the clocks of most gateways agree on that estimate.
    closed_window : int
        Newest window whose counts are final; 0 without one.
    handovers : int
        Number of holders in turn that released the lease because they did not reach the
        API, the sender included if it does so.
    """

    token: Number
    deputy: str
    version: Number
    unix_time: float = 0.0
    has_majority: bool = False
    closed_window: Number = 0
    handovers: Number = 0


class UsageCounts(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """
    Reports requests that replicas began to execute to the holder and its deputy.

    Attributes
    ----------
    incarnation : int
        Start of the sender's process in milliseconds of Unix time.
    unix_time : float
        Wall-clock time of the sender in seconds since 1970.
    windows : list
        Cumulative counts of the sender's incarnation.
    """

    incarnation: int
    unix_time: float
    windows: list[WindowCounts]


class ReportCopies(msgspec.Struct, array_like=True, frozen=True, tag=22):
    """
    Tells the deputy the final counts of windows.

    Attributes
    ----------
    token : int
        Fencing token of the sender's lease.
    windows : list
        Windows that the API may not have accepted yet.
    """

    token: Number
    windows: list[WindowCounts]
