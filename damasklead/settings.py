"""
Settings
========

The settings file of an entry: its addresses, its data centre and its platform.
"""

from typing import Annotated, Literal

import pydantic

from damasklead.checking import CheckedModel, check_text
from damasklead.findings import Findings

__all__ = [
    "Address",
    "Limits",
    "PlatformSettings",
    "Settings",
    "TlsSettings",
    "check_settings",
]

Address = Annotated[
    str, pydantic.Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$")
]


class TlsSettings(CheckedModel):
    """File names of the certificate and private key of the callers' listener."""

    certificate: str
    key: str


class ListenSettings(CheckedModel):
    """
    Addresses on which the entry listens.

    Attributes
    ----------
    callers : str
        For requests.
    operators : str
        For state, metrics and probes.
    peers : str
        For messages of other entries.
    tunnels : str or None
        For connections to upstreams that other entries open through this one while they
        are cut off from all upstreams; ``None`` for no tunnels in either direction.
    """

    callers: Address
    operators: Address
    peers: Address
    tunnels: Address | None = None


class PlatformSettings(CheckedModel):
    """
    Where the table service, the object store and the instance list are.

    Attributes
    ----------
    kind : str
        ``http`` for a platform at ``address``, ``memory`` for one in the process.
    address : str or None
        Required for ``http``.
    announce : bool
        Whether the entry adds itself to the instance list.
    """

    kind: Literal["http", "memory"]
    address: Address | None = None
    announce: bool = False


class Limits(CheckedModel):
    """
    Bounds on requests, responses and connections.

    Attributes
    ----------
    connections : int
        Largest number of connections of callers.
    header_bytes, body_bytes : int
        Largest head and body of a request.
    answer_bytes : int
        Largest response that is buffered as a whole.
    idle_seconds : float
        Time without data after which a caller's connection is closed.
    send_stall_seconds : float or None
        Time without an accepted byte of a response after which a caller is
        disconnected, with ``memory_megabytes``; by default ``idle_seconds``.
    upstream_idle_seconds : float
        Time without data after which an attempt at an upstream fails.
    stop_seconds : float
        Time that running requests get to end when the entry stops.
    """

    connections: Annotated[int, pydantic.Field(ge=1)] = 1000
    header_bytes: Annotated[int, pydantic.Field(ge=1024)] = 16_384
    body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 4_194_304
    answer_bytes: Annotated[int, pydantic.Field(ge=1024)] = 16_777_216
    idle_seconds: Annotated[float, pydantic.Field(gt=0)] = 60.0
    send_stall_seconds: Annotated[float, pydantic.Field(gt=0)] | None = None
    upstream_idle_seconds: Annotated[float, pydantic.Field(gt=0)] = 30.0
    stop_seconds: Annotated[float, pydantic.Field(gt=0)] = 300.0


class PeerKeys(CheckedModel):
    """The CURVE key pair that all entries of a deployment share, in Z85 encoding."""

    public_key: Annotated[str, pydantic.Field(min_length=40, max_length=40)]
    secret_key: Annotated[str, pydantic.Field(min_length=40, max_length=40)]


class Settings(CheckedModel):
    """
    The settings of an entry.

    Attributes
    ----------
    instance : str
        Unique name of the entry.
    data_centre, region : str
        Where the entry runs.
    listen : ListenSettings
        Addresses on which it listens.
    platform : PlatformSettings
        Address and kind of the platform.
    tls : TlsSettings or None
        TLS for callers; ``None`` for plain HTTP.
    peer_keys : PeerKeys or None
        Encryption between entries; ``None`` for none.
    seeds : list of str
        Peers' addresses from which the configuration is fetched while the platform is
        unavailable. A few that are likely to be up suffice.
    limits : Limits
        Bounds on requests, responses and connections.
    memory_megabytes : float or None
        Memory of the instance in units of 1,000,000 bytes, from which the limit on
        what is held for callers is derived; ``None`` for no such limit.
    max_descriptors : int or None
        File descriptors that the process may open; ``None`` if the number is not known.
    """

    instance: Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    data_centre: str
    region: str
    listen: ListenSettings
    platform: PlatformSettings
    tls: TlsSettings | None = None
    peer_keys: PeerKeys | None = None
    seeds: list[Address] = []
    limits: Limits = Limits()
    memory_megabytes: Annotated[float, pydantic.Field(gt=0)] | None = None
    max_descriptors: Annotated[int, pydantic.Field(gt=0)] | None = None


def check_settings(text: str, *, file: str, findings: Findings) -> Settings | None:
    """
    Check a settings file; every problem is added to ``findings``.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for findings.
    findings : Findings
        Receives all problems of the file.

    Returns
    -------
    Settings or None
        ``None`` when the file has a finding.
    """
    checked = check_text(Settings, text, file=file, findings=findings)
    if checked is None:
        return None
    settings, document = checked
    if settings.platform.kind == "http" and settings.platform.address is None:
        findings.add(
            document.make_finding(
                ("platform", "address"), "an http platform needs an address"
            )
        )
        return None
    return settings
