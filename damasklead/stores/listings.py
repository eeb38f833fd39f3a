"""
Listings
========

Decoder of the instance list.  Records that another writer has left and that can't be
decoded are left out; the others hold.
"""

from collections.abc import Iterator

import msgspec

from damasklead import logs
from damasklead.decoding import decode_json
from damasklead.stores.base import InstanceRecord, Listing

__all__ = ["decode_listing"]


class _RawListing(msgspec.Struct):
    version: str
    records: list[msgspec.Raw] | None


class _Head(msgspec.Struct):
    version: str = ""


def decode_listing(content: bytes) -> Listing:
    """
    Decode the response to a read of the instance list.

    Raises
    ------
    msgspec.DecodeError
        If the response is no listing, apart from records in it.
    """
    try:
        return decode_json(content, type=Listing)
    except msgspec.DecodeError as error:
        logs.warning("odd-listing", detail=str(error))
    version, items = _split_listing(content)
    records: list[InstanceRecord] = []
    for item in items:
        try:
            records.append(decode_json(item, type=InstanceRecord))
        except msgspec.DecodeError as error:
            logs.warning("odd-instance", detail=str(error))
    return Listing(version=version, records=tuple(records))


def _split_listing(content: bytes) -> tuple[str, list[bytes]]:
    """Return the version of a listing and the bytes of its records."""
    try:
        listing = decode_json(content, type=_RawListing)
    except msgspec.DecodeError:
        return _split_nested_listing(content)
    return listing.version, [bytes(item) for item in listing.records or ()]


def _split_nested_listing(content: bytes) -> tuple[str, list[bytes]]:
    """
    Split a listing that nests too deeply for a decoder.

    Raises
    ------
    msgspec.DecodeError
        If it has no list of records.
    """
    key = content.find(b'"records"')
    start = content.find(b"[", key)
    if key < 0 or start < 0:
        raise msgspec.DecodeError("no list of records")
    spans = list(_find_items(content, start))
    end = spans[-1][1] if spans else start + 1
    rest = content[:start] + b"null" + content[content.find(b"]", end) + 1 :]
    items = [content[first:last].strip() for first, last in spans]
    return decode_json(rest, type=_Head).version, [item for item in items if item]


def _find_items(content: bytes, start: int) -> Iterator[tuple[int, int]]:
    """
    Yield the spans of the items of the JSON list that begins at an offset.

    Raises
    ------
    msgspec.DecodeError
        If the list doesn't end.
    """
    depth, first, is_text, is_escaped = 0, start + 1, False, False
    for position in range(start, len(content)):
        byte = content[position : position + 1]
        if is_text:
            is_text = is_escaped or byte != b'"'
            is_escaped = byte == b"\\" and not is_escaped
        elif byte == b'"':
            is_text = True
        elif byte in b"[{":
            depth += 1
        elif byte in b"]}":
            depth -= 1
            if not depth:
                yield first, position
                return
        elif byte == b"," and depth == 1:
            yield first, position
            first = position + 1
    raise msgspec.DecodeError("the list of records is cut off")
