"""
Messages between gateways
=========================

Datagrams for membership and for the distribution of state; ``coordination.messages``
has those of request assignment.  Each may be lost without harm, since the next one of
its kind repeats what is still current.
"""

import msgspec

from damasklead.crash_evidence import CrashSummary
from damasklead.gateway.crash_reports import CrashCause, CrashReport, Exoneration
from damasklead.gateway.departures import Departure
from damasklead.gateway.directory import ListedRow
from damasklead.gateway.poll_schedule import ListReport
from damasklead.gateway.store_positions import INITIAL_POSITION, Position
from damasklead.rate_limits import RateLimit
from damasklead.rejection_limits import RejectionLimit

__all__ = ["Announcement", "Broadcast", "LeaveNotice", "PeerReport", "Ping"]


class Announcement(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """
    Announces a gateway to its peers, at its start and in reply to a ``Ping``.

    Attributes
    ----------
    instance : str
        Name of the gateway.
    address : str
        ``ip:port`` on which it receives datagrams.
    incarnation : int
        Start of its process in milliseconds of Unix time.
    data_centre : str
    cores : float
        Processor cores that it may use.
    operators : str
        Address of its operators' listener; empty without one.
    """

    instance: str
    address: str
    incarnation: int
    data_centre: str
    cores: float
    operators: str = ""


class LeaveNotice(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """Announces that a gateway stops and coordinates no requests any more."""

    instance: str
    incarnation: int


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Requests the ``Announcement`` of a gateway."""


class Broadcast(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """
    What the broadcaster sends to all other gateways.

    Attributes
    ----------
    sender : str
        Name of the broadcaster.
    incarnation : int
        Start of the sender's process in milliseconds of Unix time.
    sequence_number : int
        Counts the broadcasts of one incarnation of the sender.
    lists : list
        State of the platform's lists at the sender, in the order of ``ListName``.
    base, cursor : Position
        ``rows`` are all changes of the list of replicas after ``base`` up to
        ``cursor``.
    rows : list
        Changed entries of the list of replicas.
    routing : bytes
        The active configuration as compressed MessagePack.  Empty when it doesn't fit
        a broadcast or has been sent already.
    crashes : list
        Replica crashes that were reported recently.
    departures : list
        Replicas that recently announced that they leave.
    rate_limits : list
        Limits of replicas that changed recently.
    exonerations : list
        Suspects of crashes that were found to be sound recently.
    causes : list or None
        The causes of crashes that are refused; ``None`` when they have not changed and
        were sent recently.
    rejection_limits : list
        Rejection limits of brittle replicas that changed recently.
    withdrawn_causes : list
        Causes that were reported and that others explain, by all known crashes.
    differences : bytes
        Differences that lead to the active configuration as compressed MessagePack, if
        it doesn't fit a broadcast itself.
    exonerated_causes : list
        Exonerated causes that a gateway was known to refuse recently; sent with
        ``causes``.
    crash_summaries : list
        How much the sender knows of each recent crash; sent with ``causes``.
    field_differences : bytes
        Instead of ``differences``, if some replace fields of items, which earlier
        builds can't apply.
    """

    sender: str
    incarnation: int
    sequence_number: int
    lists: list[ListReport]
    base: Position
    cursor: Position
    rows: list[ListedRow]
    routing: bytes
    crashes: list[CrashReport]
    departures: list[Departure]
    rate_limits: list[RateLimit] = []
    exonerations: list[Exoneration] = []
    causes: list[CrashCause] | None = None
    rejection_limits: list[RejectionLimit] = []
    withdrawn_causes: list[CrashCause] = []
    differences: bytes = b""
    exonerated_causes: list[CrashCause] = []
    crash_summaries: list[CrashSummary] = []
    field_differences: bytes = b""


class PeerReport(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """
    What another gateway reports to the broadcaster.

    Attributes
    ----------
    sender : str
        Name of the reporting gateway.
    crashes : list
        Replica crashes that it observed.
    departures : list
        Replicas that announced to it that they leave.
    routing : Position
        Position of its configuration when that is newer than the broadcaster's, else
        ``INITIAL_POSITION``.
    rate_limits : list
        Changed limits of replicas that it observed.
    exonerations : list
        Suspects of crashes that it found to be sound.
    causes : list
        Causes of crashes that the broadcaster's list lacks.
    rejection_limits : list
        Changed rejection limits of brittle replicas that it observed.
    withdrawn_causes : list
        Causes that it reported and that others explain, by all known crashes.
    exonerated_causes : list
        Causes in the broadcaster's list that were exonerated later.
    """

    sender: str
    crashes: list[CrashReport]
    departures: list[Departure]
    routing: Position = INITIAL_POSITION
    rate_limits: list[RateLimit] = []
    exonerations: list[Exoneration] = []
    causes: list[CrashCause] = []
    rejection_limits: list[RejectionLimit] = []
    withdrawn_causes: list[CrashCause] = []
    exonerated_causes: list[CrashCause] = []
