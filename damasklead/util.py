"""
Utilities
=========

Functions for addresses, hashes and identifiers.
"""

import hashlib
import uuid
from collections.abc import Iterable
from functools import lru_cache

__all__ = [
    "hash_name",
    "new_id",
    "split_address",
    "stable_hash",
    "stable_hash_pieces",
]

# The names of replicas and prompt parts recur; an entry takes about 150 bytes.
HASH_CACHE_ENTRIES = 4_096


def split_address(address: str) -> tuple[str, int]:
    """
    Split ``ip:port`` into the host and the port.

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
    """
    Return a 64-bit hash of some texts.

    Unlike ``hash``, it is the same in every process.
    """
    return stable_hash_pieces(["\x00".join(parts)])


def stable_hash_pieces(pieces: Iterable[str]) -> int:
    r"""
    Return a 64-bit hash of a text that is given in pieces, like ``stable_hash``.

    Examples
    --------
    >>> stable_hash_pieces(["a\x00", "b"]) == stable_hash("a", "b")
    True
    """
    hasher = hashlib.blake2b(digest_size=8)
    for piece in pieces:
        hasher.update(piece.encode())
    return int.from_bytes(hasher.digest(), "big")


@lru_cache(maxsize=HASH_CACHE_ENTRIES)
def hash_name(name: str) -> int:
    """
    Return the 32-bit hash of a name.

    Messages and tables hold it instead of the longer name of a replica, model or
    prompt part.
    """
    return stable_hash(name) & 0xFFFF_FFFF


def new_id() -> str:
    """Return a random identifier of 32 hexadecimal digits."""
    return uuid.uuid4().hex
