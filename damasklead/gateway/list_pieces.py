"""
List pieces
===========

Describes a list by parts of an earlier one, for differences between configurations.
Items are structs with a name.  No I/O.
"""

from collections.abc import Sequence
from typing import Any, ClassVar, Generic, Protocol, TypeVar

import msgspec

__all__ = [
    "MAX_CHANGED_ITEMS",
    "MAX_LIST_ITEMS",
    "DifferenceError",
    "ListPiece",
    "assemble_list",
    "compare_lists",
    "count_changed_items",
]

# Other programs may send pieces that repeat a list without end.
MAX_LIST_ITEMS = 100_000
# Items of which fields are replaced, in all differences that are applied at once.
MAX_CHANGED_ITEMS = 200_000


class _NamedStruct(Protocol):
    """An item of a list."""

    __struct_fields__: ClassVar[tuple[str, ...]]

    @property
    def name(self) -> str:
        """Identifies the item in its list."""


T = TypeVar("T")
S = TypeVar("S", bound=_NamedStruct)


class DifferenceError(Exception):
    """A difference doesn't give the version that it states."""


class ListPiece(msgspec.Struct, Generic[T], array_like=True, frozen=True):
    """
    Part of a list: items of the list before, followed by others.

    Attributes
    ----------
    start, count : int
        Index of the first item of the list before, and number of items.
    added : list
    fields : dict
        Values, as built-in types, that replace those of the items of the list before,
        by name of the field.  Earlier builds ignore them.
    """

    start: int
    count: int
    added: list[T] = []
    fields: dict[str, Any] = {}


def compare_lists(
    before: Sequence[S], after: Sequence[S], *, with_fields: bool
) -> list[ListPiece[S]]:
    """
    Return the pieces that make up a list.

    Parameters
    ----------
    before, after : sequence
    with_fields : bool
        Whether pieces may replace fields of items that keep their names.

    Examples
    --------
    >>> class Item(msgspec.Struct):
    ...     name: str
    ...     size: int = 0
    >>> before, after = [Item("a"), Item("b")], [Item("a", 1), Item("b", 1)]
    >>> compare_lists(before, after, with_fields=True)
    [ListPiece(start=0, count=2, added=[], fields={'size': 1})]
    """
    # Most items are the same and in the same place, and encoding all takes long.
    head = _count_equal(before, after)
    tail = _count_equal(before[head:][::-1], after[head:][::-1])
    rest = before[head : len(before) - tail]
    positions = {_encode(item): index for index, item in enumerate(rest, head)}
    by_name = (
        {item.name: index for index, item in enumerate(rest, head)}
        if with_fields
        else {}
    )
    pieces: list[ListPiece[S]] = []
    start, count = 0, head
    added: list[S] = []
    fields: dict[str, Any] = {}
    for item in after[head : len(after) - tail]:
        index = positions.get(_encode(item))
        changed: dict[str, Any] = {}
        if index is None and item.name in by_name:
            index = by_name[item.name]
            changed = _compare_fields(before[index], item)
        if index is None:
            added.append(item)
        elif not added and index == start + count and changed == fields:
            count += 1
        else:
            if count or added:
                pieces.append(ListPiece(start, count, added, fields))
            start, count, added, fields = index, 1, [], changed
    if not added and not fields and start + count == len(before) - tail:
        return [*pieces, ListPiece(start, count + tail)]
    pieces.append(ListPiece(start, count, added, fields))
    if tail:
        pieces.append(ListPiece(len(before) - tail, tail))
    return pieces


def assemble_list(before: Sequence[T], pieces: Sequence[ListPiece[T]]) -> list[T]:
    """
    Return the list that pieces make up.

    Raises
    ------
    DifferenceError
        If it has more than ``MAX_LIST_ITEMS``, if a piece is invalid, or if a field is
        unknown here or its value is invalid.

    Examples
    --------
    >>> assemble_list(["a", "b", "c"], [ListPiece(0, 1, ["x"]), ListPiece(2, 1)])
    ['a', 'x', 'c']
    """
    items: list[T] = []
    for piece in pieces:
        if piece.start < 0 or piece.count < 0:
            raise DifferenceError("invalid piece of a list")
        kept = before[piece.start : piece.start + piece.count]
        items += _replace_fields(kept, piece.fields) if piece.fields else kept
        items += piece.added
        if len(items) > MAX_LIST_ITEMS:
            raise DifferenceError(f"more than {MAX_LIST_ITEMS} items")
    return items


def count_changed_items(pieces: Sequence[ListPiece[T]]) -> int:
    """Return the number of items of which pieces replace fields."""
    return sum(max(0, piece.count) for piece in pieces if piece.fields)


def _replace_fields(items: Sequence[T], fields: dict[str, Any]) -> list[T]:
    if not items:
        return []
    first = items[0]
    try:
        example = msgspec.convert(
            {**msgspec.to_builtins(first), **fields}, type=type(first)
        )
        values = {name: getattr(example, name) for name in fields}
    except (msgspec.ValidationError, AttributeError) as error:
        raise DifferenceError(f"invalid fields: {error}") from error
    return [msgspec.structs.replace(item, **values) for item in items]  # type: ignore[type-var]


def _compare_fields(before: S, after: S) -> dict[str, Any]:
    """Return the fields with other values, as built-in types."""
    return {
        name: msgspec.to_builtins(getattr(after, name))
        for name in after.__struct_fields__
        if getattr(before, name) != getattr(after, name)
    }


def _count_equal(first: Sequence[T], second: Sequence[T]) -> int:
    """Return the number of equal items at the beginning of two lists."""
    pairs = zip(first, second, strict=False)
    unequal = (index for index, (a, b) in enumerate(pairs) if a != b)
    return next(unequal, min(len(first), len(second)))


def _encode(item: object) -> bytes:
    return msgspec.msgpack.encode(item)
