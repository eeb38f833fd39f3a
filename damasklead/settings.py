"""
Settings
========

What one process is told about itself: its addresses, its data centre and its platform.
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
    """The certificate and private key of the callers' listener, as file names."""

    certificate: str
    key: str


class ListenSettings(CheckedModel):
    """
    Where the process listens; ``peers`` is for other entries, ``operators`` for people.
    """

    callers: Address
    operators: Address
    peers: Address


class PlatformSettings(CheckedModel):
    """Where the table service, the object store and the instance list are."""

    kind: Literal["http", "memory"]
    address: Address | None = None
    announce: bool = False


class Limits(CheckedModel):
    """Bounds on what callers may send."""

    connections: Annotated[int, pydantic.Field(ge=1)] = 1000
    header_bytes: Annotated[int, pydantic.Field(ge=1024)] = 16_384
    body_bytes: Annotated[int, pydantic.Field(ge=1024)] = 4_194_304
    answer_bytes: Annotated[int, pydantic.Field(ge=1024)] = 16_777_216
    idle_seconds: Annotated[float, pydantic.Field(gt=0)] = 60.0
    upstream_idle_seconds: Annotated[float, pydantic.Field(gt=0)] = 30.0
    stop_seconds: Annotated[float, pydantic.Field(gt=0)] = 300.0


class PeerKeys(CheckedModel):
    """The CURVE key pair that all entries of a deployment share, in Z85."""

    public_key: Annotated[str, pydantic.Field(min_length=40, max_length=40)]
    secret_key: Annotated[str, pydantic.Field(min_length=40, max_length=40)]


class Settings(CheckedModel):
    """
    The settings of an entry.

    ``seeds`` are peers' addresses to ask for the configuration while the platform is
    out; any few that are likely to be up will do.
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


def check_settings(text: str, *, file: str, findings: Findings) -> Settings | None:
    """
    Check a settings file; every problem is added to ``findings``.

    Returns
    -------
    Settings or None
        ``None`` when anything is wrong.
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
