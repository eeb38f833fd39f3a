"""
Base of duties
==============

Interfaces between the holder of the duties' lease, the duties, and the adapter of the
platform's API.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from enum import Enum

import msgspec

from damasklead.ids import DataCentre, InstanceId, ServiceName, WorkspaceId

__all__ = [
    "ApiError",
    "ApiFault",
    "Authority",
    "CallIdentity",
    "Duty",
    "DutyName",
    "PlatformApi",
    "UsageReport",
]


class DutyName(Enum):
    """The duties that a deployment may ask for."""

    USAGE_REPORT = "usage_report"
    AUTOSCALE = "autoscale"


class ApiFault(Enum):
    """
    Why a call of the platform's API failed.

    ``UNREACHABLE``: no complete response arrived in time, so that the call may have
    taken effect or may still do so.  ``LIMITED``: all gateways together have made too
    many calls.  ``UNAVAILABLE``: the replicas that were ordered can't be had now.
    ``REFUSED``: the API responded with another error status.
    """

    UNREACHABLE = "unreachable"
    LIMITED = "limited"
    UNAVAILABLE = "unavailable"
    REFUSED = "refused"


class ApiError(Exception):
    """
    A call of the platform's API failed.

    Attributes
    ----------
    fault : ApiFault
        Kind of the failure.
    """

    def __init__(self, fault: ApiFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault


class CallIdentity(msgspec.Struct, kw_only=True, frozen=True):
    """
    The holder in whose name a call is made.

    Attributes
    ----------
    holder : InstanceId
    token : int
        Fencing token of the holder's lease.
    """

    holder: InstanceId
    token: int


class UsageReport(msgspec.Struct, kw_only=True, frozen=True):
    """
    Usage of one window.

    Attributes
    ----------
    window : int
        Number of the window, which begins this many window lengths after 1970.
    counts : dict
        Requests of each workspace that replicas began to execute in the window.
    """

    window: int
    counts: Mapping[WorkspaceId, int]


class PlatformApi(ABC):
    """
    The platform's API for duties.

    All methods raise ``ApiError`` if the call fails.  Calls ask ``may_send`` directly
    before the request is sent, with the seconds until the call ends at the latest; if
    it returns false, nothing is sent.
    """

    @property
    @abstractmethod
    def timeout_seconds(self) -> float:
        """Longest time from the start of a call until it has taken effect or failed."""

    @abstractmethod
    def report_usage(
        self,
        report: UsageReport,
        *,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        """Report the usage of a window; an exact repetition is ignored."""

    @abstractmethod
    def order_replicas(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        *,
        count: int,
        preemptible: bool,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        """Order that a service has this number of replicas of one kind there."""


class Authority(ABC):
    """Proof that this gateway holds the lease of the duties."""

    @property
    @abstractmethod
    def identity(self) -> CallIdentity:
        """The name and the token for calls of the platform's API."""

    @abstractmethod
    def may_act_for(self, seconds: float) -> bool:
        """
        Return whether the lease is held and stays valid for this time.

        It must be asked directly before each call with the call's timeout.
        """

    def may_send_as(self, identity: CallIdentity, seconds: float) -> bool:
        """
        Return whether a call may still be sent in this name and take this time.

        The process may have been suspended since ``may_act_for`` was asked.
        """
        return self.identity == identity and self.may_act_for(seconds)


class Duty(ABC):
    """A task of the gateway that holds the lease of the duties."""

    @property
    @abstractmethod
    def name(self) -> DutyName:
        """The duty's name in the settings."""

    @abstractmethod
    def perform(self, authority: Authority) -> None:
        """
        Do what is due now; called at short intervals while the lease is held.

        Errors of the platform's API are handled and logged here.
        """
