"""
Odd values
==========

JSON that other writers may leave in the platform's lists and tables.
"""

import json
from collections.abc import Iterator

__all__ = ["ODD_ADDRESSES", "ODD_DOCUMENTS", "ODD_IDS", "ODD_VALUES", "replace_fields"]

DEPTH = 100_000
NESTED_LIST = b"[" * DEPTH + b"]" * DEPTH
NESTED_OBJECT = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
ODD_VALUES = (
    b"null", b"true", b'""', b"-1", b"1.5", b"1e400", b"-1e400", b"1e308", b"NaN",
    b"9223372036854775808", b"18446744073709551616", b"1" + b"0" * 30,
    b"-1" + b"0" * 30, b"1" + b"0" * 5_000, b"[]", b"{}", b'["x"]', NESTED_LIST,
    NESTED_OBJECT, b'"' + b"x" * 100_000 + b'"', b'"\\ud800"', b'"\xff"',
    b'"a\\u0000b"', b'"a\\r\\nb: c"',
)  # fmt: skip
ODD_ADDRESSES = (
    "", ":", "80", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1:+80", "127.0.0.1: 80",
    "127.0.0.1:8_0", "127.0.0.1:80:80", "127.0.0.1:\u0663", "127.0.0.1:\u00b2",
    "256.1.1.1:80", "127.1:80", "1:80", "localhost:80", "a b:80", "a\r\nb:80",
    "127.0.0.1/8:80", "\ud7ff:80",
)  # fmt: skip
ODD_IDS = ("", " ", "a b", "a\r\nb: c", "\x00", "\u20ac", "x" * 201)
ODD_DOCUMENTS = (
    b"", b"\xff\xfe", b"null", b"[]", b"{", NESTED_LIST, NESTED_OBJECT, b'{"a":1}',
    b"1" + b"0" * 5_000,
)  # fmt: skip


def replace_fields(document: dict) -> Iterator[tuple[str, bytes]]:
    """
    Yield a document with each odd value in each field, and in one that nobody knows.

    Yields
    ------
    tuple
        The field, and the encoded document.
    """
    for field in (*document, "unknown"):
        for value in ODD_VALUES:
            fields = {
                name: json.dumps(item).encode() for name, item in document.items()
            }
            fields[field] = value
            yield field, encode_fields(fields)
    for field in document:
        pairs = [(name, json.dumps(item).encode()) for name, item in document.items()]
        duplicates = [*pairs, (field, b'"other"'), (field, b"7")]
        yield field, b"{" + b",".join(encode_pair(*pair) for pair in duplicates) + b"}"
        yield field, encode_fields({n: v for n, v in pairs if n != field})


def encode_fields(fields: dict[str, bytes]) -> bytes:
    return b"{" + b",".join(encode_pair(*pair) for pair in fields.items()) + b"}"


def encode_pair(name: str, value: bytes) -> bytes:
    return json.dumps(name).encode() + b":" + value
