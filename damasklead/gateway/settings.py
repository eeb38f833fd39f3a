"""
Gateway settings
================

What one gateway process is told about itself and its surroundings.
"""

from typing import Annotated

import msgspec

from damasklead import jsonc
from damasklead.findings import Findings

__all__ = [
    "GatewaySettings",
    "ListenSettings",
    "OperationalLimits",
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
    Where the process listens.

    Attributes
    ----------
    callers, ready : str
        For requests, and for the question whether it is ready.
    operators : str or None
        For people: state and metrics.
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
    What the operators bind the fleet to.

    Attributes
    ----------
    retry_ratio, retry_allowance, retry_window_seconds : float
        Over all gateways, retries to a service in a window are at most the ratio
        times its requests, and the allowance.
    stop_seconds : float
        From SIGTERM to SIGKILL.
    """

    retry_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    retry_allowance: Annotated[float, msgspec.Meta(ge=0)] = 20.0
    retry_window_seconds: Seconds = 10.0
    stop_seconds: Seconds = 8.0


class GatewaySettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """
    The settings of a gateway.

    Attributes
    ----------
    instance, data_centre : str
    platform : str
        Address of the platform's store.
    peer_ports : tuple of int
        First and last port that gateways may use among themselves.
    seeds : list
        Operators' addresses of some gateways; any of them may be down.
    cores : float
        Processor that the gateway may use; those with more coordinate more.
    """

    instance: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    data_centre: str
    listen: ListenSettings
    platform: Address
    peer_ports: tuple[Port, Port] | None = None
    seeds: list[Address] = []
    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    bounds: OperationalLimits = msgspec.field(default_factory=OperationalLimits)


def check_gateway_settings(
    text: str, *, file: str, findings: Findings
) -> GatewaySettings | None:
    """
    Check a settings file; every problem is added to ``findings``.

    Returns
    -------
    GatewaySettings or None
        ``None`` when anything is wrong.
    """
    return jsonc.convert(text, GatewaySettings, file=file, findings=findings)
