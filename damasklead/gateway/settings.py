"""
Gateway settings
================

The settings file of one gateway process: its identity, addresses and limits.
"""

from typing import Annotated

import msgspec

from damasklead import jsonc
from damasklead.findings import Findings
from damasklead.gateway.coordination.remote_share import RemoteTraffic

__all__ = [
    "DutyBounds",
    "GatewaySettings",
    "ListenSettings",
    "OperationalLimits",
    "PlatformApiSettings",
    "check_gateway_settings",
]

Address = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$")
]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Port = Annotated[int, msgspec.Meta(gt=0, lt=65536)]


class ListenSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """
    Addresses on which the process listens, as ``ip:port``.

    Attributes
    ----------
    callers, ready : str
        For callers' requests, and for readiness probes.
    operators : str or None
        For operators: the gateway's state and metrics.
    metrics_port : int or None
        A further port for metrics, on the callers' IP address.
    """

    callers: Address
    ready: Address
    operators: Address | None = None
    metrics_port: Port | None = None


class OperationalLimits(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """
    Limits that operators set for all gateways.

    Attributes
    ----------
    retry_ratio, retry_allowance, retry_window_seconds : float
        Retry budget for each service over all gateways: within a window, retries are
        at most ``retry_ratio`` times the requests plus ``retry_allowance``.
    stop_seconds : float
        Seconds from SIGTERM to SIGKILL.
    """

    retry_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    retry_allowance: Annotated[float, msgspec.Meta(ge=0)] = 20.0
    retry_window_seconds: Seconds = 10.0
    stop_seconds: Seconds = 8.0


class PlatformApiSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """
    The platform's API for the duties of one gateway at a time.

    Attributes
    ----------
    address : str
        Address of the API, as ``ip:port``.
    duties : list of str
        Names of the duties that the deployment asks for; unknown ones are ignored.
    calls_per_second : float
        Calls that the API accepts from all gateways together.
    """

    address: Address
    duties: list[str] = []
    calls_per_second: Annotated[float, msgspec.Meta(gt=0)] = 50.0


class DutyBounds(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """
    Bounds of the platform on the duties.

    Attributes
    ----------
    handover_seconds : float
        Within this time, no instance may act again after another one has acted.
    usage_window_seconds : float
        Length of the windows of usage reports.
    usage_delay_seconds : float
        Time after the end of a window by which its report is due.
    """

    handover_seconds: Seconds = 3.0
    usage_window_seconds: Seconds = 5.0
    usage_delay_seconds: Seconds = 10.0


class GatewaySettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """
    The settings of a gateway.

    Attributes
    ----------
    instance, data_centre : str
        The gateway's instance id, and the data centre that it runs in.
    listen : ListenSettings
        Addresses on which the gateway listens.
    platform : str
        Address of the platform's store, as ``ip:port``.
    peer_ports : tuple of int
        First and last port of the range that gateways use among themselves.
    seeds : list
        Operators' addresses of some gateways to start from; any of them may be down.
    cores : float
        Processor cores that the gateway may use; those with more coordinate a larger
        share of the requests.
    bounds : OperationalLimits
        Limits that operators set for all gateways.
    memory_megabytes : float or None
        Memory of the instance in megabytes; ``None`` if it is not known.
    max_descriptors : int or None
        Descriptors that the process may open; ``None`` if the number is not known.
    link_megabits : float or None
        Rate of the instance's network link in megabits per second; ``None`` if it is
        not known.
    send_stall_seconds : float or None
        Seconds without an accepted byte after which a caller that reads a response is
        disconnected; ``None`` for the configured idle timeout where the memory is
        known, and for no such limit otherwise.
    platform_api : PlatformApiSettings or None
        ``None`` for a deployment without duties.
    duty_bounds : DutyBounds
        Bounds of the platform on the duties.
    remote_traffic : RemoteTraffic or None
        What traffic between data centres costs; ``None`` for requests that spill over
        by a threshold only.
    """

    instance: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    data_centre: str
    listen: ListenSettings
    platform: Address
    peer_ports: tuple[Port, Port] | None = None
    seeds: list[Address] = []
    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    bounds: OperationalLimits = msgspec.field(default_factory=OperationalLimits)
    memory_megabytes: Annotated[float, msgspec.Meta(gt=0)] | None = None
    max_descriptors: Annotated[int, msgspec.Meta(gt=0)] | None = None
    link_megabits: Annotated[float, msgspec.Meta(gt=0)] | None = None
    send_stall_seconds: Seconds | None = None
    platform_api: PlatformApiSettings | None = None
    duty_bounds: DutyBounds = msgspec.field(default_factory=DutyBounds)
    remote_traffic: RemoteTraffic | None = None


def check_gateway_settings(
    text: str, *, file: str, findings: Findings
) -> GatewaySettings | None:
    """
    Parse and validate a settings file.

    Parameters
    ----------
    text : str
        Content of the file, JSON with comments.
    file : str
        Name of the file, for the findings.
    findings : Findings
        Every problem is added here.

    Returns
    -------
    GatewaySettings or None
        ``None`` when the file is invalid.
    """
    return jsonc.convert(text, GatewaySettings, file=file, findings=findings)
