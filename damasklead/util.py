"""
Utilities
=========

Small functions that several modules use.
"""

import hashlib
import uuid
from functools import lru_cache

__all__ = ["new_id", "short_key", "split_address", "stable_hash"]

# Names of replicas and prompt parts come again and again; about 150 bytes each.
KEPT_KEYS = 4_096


def split_address(address: str) -> tuple[str, int]:
    """
    Split ``ip:port``.

    Examples
    --------
    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    >>> split_address("[::1]:8080")
    ('::1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b("\x00".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@lru_cache(maxsize=KEPT_KEYS)
def short_key(name: str) -> int:
    """Return 32 bits that stand for a replica or model where a name is too long."""
    return stable_hash(name) & 0xFFFF_FFFF


def new_id() -> str:
    """Return a random identifier of 32 hexadecimal digits."""
    return uuid.uuid4().hex
