"""
A deployment on this machine
============================

Addresses, records, settings and configuration for trials on loopback.
"""

import itertools
import os
from importlib import resources
from typing import Any

import msgspec
from gevent import socket

from damasklead.configuration import digest_key
from damasklead.ids import DataCentre, Incarnation, InstanceId, ServiceName
from damasklead.stores.base import InstanceRecord

__all__ = [
    "KEYS",
    "configuration_files",
    "free_address",
    "local_record",
    "settings_text",
]

KEYS = {
    "skippers": "skippers.quay",
    "gumming-line": "gumming-line.folder",
    "processors": "processors.fish",
    "planning": "planning.paper",
}
SALT = "00" * 8
PLACE = "local"
SERVICE_FILES = ("demo-llm.damasklead.json", "demo-app.damasklead.json")
FIRST_PORT = 12_000
PORTS = 10_000

_PORTS = itertools.cycle(
    range(FIRST_PORT + os.getpid() * 50 % PORTS, FIRST_PORT + 2 * PORTS)
)


def local_record(name: str, service: str) -> InstanceRecord:
    """Return the record of an upstream at a free address."""
    return InstanceRecord(
        instance=InstanceId(name),
        incarnation=Incarnation(1),
        service=ServiceName(service),
        address=free_address(),
        data_centre=DataCentre(PLACE),
        region=PLACE,
    )


def settings_text(
    name: str, listen: dict[str, str], platform: dict[str, Any], **more: Any
) -> str:
    """Return the settings of an entry that announces itself."""
    settings = {
        "instance": name,
        "data_centre": PLACE,
        "region": PLACE,
        "listen": listen,
        "platform": {**platform, "announce": True},
        **more,
    }
    return msgspec.json.encode(settings).decode()


def configuration_files() -> dict[str, str]:
    """Return the demonstration's files by name, its workspaces among them."""
    folder = resources.files("damasklead.demo")
    files = {name: (folder / name).read_text() for name in SERVICE_FILES}
    workspaces = [
        {"name": name, "key_digests": [digest_key(key, salt=SALT)]}
        for name, key in KEYS.items()
    ]
    content = msgspec.json.encode({"workspaces": workspaces})
    files["workspaces.damasklead.json"] = content.decode()
    return files


def free_address() -> str:
    """
    Return a loopback address whose port is free at the moment.

    The ports are below those that the system gives to outgoing connections, so that
    none of these takes one before its server listens.
    """
    while True:
        port = next(_PORTS)
        with socket.socket() as listener:
            try:
                listener.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
