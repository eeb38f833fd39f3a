"""
Local deployment
================

Addresses, instance records, settings and configuration for deployments on loopback.
"""

import itertools
from collections.abc import Iterator
from importlib import resources
from typing import Any

import msgspec
from gevent import socket

from damasklead.configuration import digest_key
from damasklead.ids import (
    DataCentre,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
)
from damasklead.stores.base import InstanceRecord

__all__ = [
    "WORKSPACE_KEYS",
    "PortBlocks",
    "make_configuration_files",
    "find_free_address",
    "make_local_record",
    "make_settings_text",
]

WORKSPACE_KEYS = {  # bearer keys by workspace
    "skippers": "skippers.quay",
    "gumming-line": "gumming-line.folder",
    "processors": "processors.fish",
    "planning": "planning.paper",
}
KEY_SALT = "00" * 8
LOCATION = "local"
SERVICE_FILES = ("demo-llm.damasklead.json", "demo-app.damasklead.json")
FIRST_PORT = 12_000
LAST_PORT = 32_000
# Number of consecutive ports that one process claims at a time.
BLOCK_PORTS = 50


class PortBlocks:
    """
    Ports that no other process of this program uses.

    A process claims a block of ports by keeping the first of them bound, so that two
    test runs on one machine never choose the same port.
    """

    def __init__(self) -> None:
        self._holders: list[socket.socket] = []

    def iterate_ports(self) -> Iterator[int]:
        """Yield the ports of one block after the other, then those blocks again."""
        claimed: list[int] = []
        for first in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
            if self._claim_block(first):
                block = range(first + 1, first + BLOCK_PORTS)
                claimed.extend(block)
                yield from block
        yield from itertools.cycle(claimed)

    def _claim_block(self, first: int) -> bool:
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", first))
        except OSError:
            holder.close()
            return False
        self._holders.append(holder)
        return True


_PORT_BLOCKS = PortBlocks()
_CANDIDATE_PORTS = _PORT_BLOCKS.iterate_ports()


def make_local_record(name: str, service: str) -> InstanceRecord:
    """Return the instance record of an upstream, with a free loopback address."""
    return InstanceRecord(
        instance=InstanceId(name),
        incarnation=Incarnation(1),
        service=ServiceName(service),
        address=find_free_address(),
        data_centre=DataCentre(LOCATION),
        region=LOCATION,
        version=SoftwareVersion("1"),
    )


def make_settings_text(
    name: str, listen: dict[str, str], platform: dict[str, Any], **more_settings: Any
) -> str:
    """
    Return the settings file of an entry that registers in the instance list.

    Parameters
    ----------
    name : str
        Name of the entry.
    listen : dict
        Listening addresses (``host:port``) by kind: callers, operators, peers.
    platform : dict
        Where the platform is, as in the settings file.
    **more_settings
        Further settings at the top level of the file.

    Returns
    -------
    str
        The settings as JSON.
    """
    settings = {
        "instance": name,
        "data_centre": LOCATION,
        "region": LOCATION,
        "listen": listen,
        "platform": {**platform, "announce": True},
        **more_settings,
    }
    return msgspec.json.encode(settings).decode()


def make_configuration_files() -> dict[str, str]:
    """Return the texts of the demonstration's configuration files by file name."""
    folder = resources.files("damasklead.demo")
    files = {name: (folder / name).read_text() for name in SERVICE_FILES}
    workspaces = [
        {"name": name, "key_digests": [digest_key(key, salt=KEY_SALT)]}
        for name, key in WORKSPACE_KEYS.items()
    ]
    content = msgspec.json.encode({"workspaces": workspaces})
    files["workspaces.damasklead.json"] = content.decode()
    return files


def find_free_address() -> str:
    """
    Return a loopback address whose TCP and UDP ports are free at the moment.

    The ports lie below the range of ephemeral ports, so that no outgoing connection
    takes one before its server listens.
    """
    while True:
        port = next(_CANDIDATE_PORTS)
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            return f"127.0.0.1:{port}"


def _is_free(port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
