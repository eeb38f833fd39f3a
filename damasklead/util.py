"""
Utilities
=========

Functions for addresses, hashes and identifiers.
"""

import hashlib
import uuid
from functools import lru_cache

__all__ = ["hash_name", "new_id", "split_address", "stable_hash"]

# Bytes that are hashed at once.
HASHED_PIECE_BYTES = 65_536
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


def stable_hash(*parts: str, data: bytes | None = None) -> int:
    r"""
    Return a 64-bit hash of some texts.

    Unlike ``hash``, it is the same in every process.

    Parameters
    ----------
    data : bytes or None
        Hashed like a last text that it is the Latin-1 encoding of, without a copy of
        the whole.

    Examples
    --------
    >>> stable_hash("a", data=b"\xe9" * 70_000) == stable_hash("a", "\xe9" * 70_000)
    True
    """
    texts = parts if data is None else (*parts, "")
    digest = hashlib.blake2b("\x00".join(texts).encode(), digest_size=8)
    view = memoryview(data or b"")
    for offset in range(0, len(view), HASHED_PIECE_BYTES):
        piece = bytes(view[offset : offset + HASHED_PIECE_BYTES])
        digest.update(piece.decode("latin-1").encode())
    return int.from_bytes(digest.digest(), "big")


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
