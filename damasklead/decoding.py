"""
Decoding
========

Decoders of what other programs have written.  Whatever the bytes are, they either give
a value or fail with ``msgspec.DecodeError``.
"""

import ipaddress
from typing import Annotated, Any, TypeVar

import msgspec

__all__ = [
    "Count",
    "Milliseconds",
    "PositiveCount",
    "Seconds",
    "UnixMilliseconds",
    "decode_json",
    "decode_msgpack",
    "is_ip_address",
    "is_token",
]

T = TypeVar("T")

# Numbers that gateways and entries can also exchange: their messages hold 64 bits.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=2**31 - 1)]
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
MAX_PORT = 65_535
# Longest id, as of a row's key.
MAX_TOKEN_BYTES = 200
# What decoders of msgspec raise besides ``DecodeError``, for text that is not UTF-8,
# numbers that are too large and documents that nest too deeply.
_OTHER_ERRORS = (ValueError, OverflowError, RecursionError, MemoryError)


def decode_json(data: bytes | str, *, type: type[T]) -> T:
    """
    Decode JSON.

    Raises
    ------
    msgspec.DecodeError
        If the data is not valid JSON of the type.

    Examples
    --------
    >>> decode_json(b"5", type=int)
    5
    >>> decode_json(b"[" * 100_000, type=list)
    Traceback (most recent call last):
    ...
    msgspec.DecodeError: RecursionError
    """
    try:
        return msgspec.json.decode(data, type=type)
    except msgspec.DecodeError:
        raise
    except _OTHER_ERRORS as error:
        raise msgspec.DecodeError(error.__class__.__name__) from error


def decode_msgpack(data: bytes, *, decoder: msgspec.msgpack.Decoder[Any]) -> Any:
    """
    Decode MessagePack.

    Raises
    ------
    msgspec.DecodeError
        If the data is not valid MessagePack of the decoder's type.
    """
    try:
        return decoder.decode(data)
    except msgspec.DecodeError:
        raise
    except _OTHER_ERRORS as error:
        raise msgspec.DecodeError(error.__class__.__name__) from error


def is_ip_address(address: str) -> bool:
    """
    Return whether a text is ``ip:port``, with a port to which one can connect.

    Examples
    --------
    >>> is_ip_address("127.0.0.1:80"), is_ip_address("[::1]:80")
    (True, True)
    >>> is_ip_address("127.0.0.1:65536"), is_ip_address("localhost:80")
    (False, False)
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    try:
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def is_token(text: str) -> bool:
    """
    Return whether a text can stand in a header and in a log line as it is.

    Examples
    --------
    >>> is_token("i-7f3a91c2"), is_token("a b"), is_token("")
    (True, False, False)
    """
    return (
        0 < len(text) <= MAX_TOKEN_BYTES
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )
