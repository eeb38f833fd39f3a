"""
Differences between configurations
==================================

What each version of the configuration changes, for gateways that have an earlier one.

Load pattern: most versions add, change or remove one of thousands of routes, some
replace one field of all of them, and many gateways fetch them at the same moment from
one with a slow link.  No I/O.
"""

import zlib
from collections import deque
from collections.abc import Sequence

import msgspec

from damasklead.gateway.list_pieces import (
    MAX_CHANGED_ITEMS,
    DifferenceError,
    ListPiece,
    assemble_list,
    compare_lists,
    count_changed_items,
)
from damasklead.gateway.routing import (
    CallerLimits,
    Route,
    RoutingContent,
    ServiceSpec,
    Workspace,
)

__all__ = [
    "ConfigurationHistory",
    "RoutingDifference",
    "apply_differences",
    "compute_difference",
]

# Differences that are kept, and the length of one that is about as long as a
# configuration.
MAX_DIFFERENCES = 64
MAX_DIFFERENCE_BYTES = 8_192


class RoutingDifference(msgspec.Struct, kw_only=True, frozen=True):
    """
    What replaces one version of the configuration by a later one.

    Attributes
    ----------
    base, version : int
        Version before and after.
    checksum : int
        CRC-32 of the later version, encoded.
    routes, services, workspaces : list of ListPiece
        ``workspaces`` is ``None`` when no request needs an API key.
    limits : CallerLimits
    """

    base: int
    version: int
    checksum: int
    routes: list[ListPiece[Route]]
    services: list[ListPiece[ServiceSpec]]
    workspaces: list[ListPiece[Workspace]] | None
    limits: CallerLimits

    @property
    def changes_fields(self) -> bool:
        """Whether it replaces fields of items, which earlier builds can't apply."""
        return self.changed_items > 0

    @property
    def changed_items(self) -> int:
        """Number of items of which it replaces fields."""
        return (
            count_changed_items(self.routes)
            + count_changed_items(self.services)
            + count_changed_items(self.workspaces or [])
        )


class ConfigurationHistory:
    """
    The differences between the versions that this gateway has had.

    Each one begins with the version that the one before ends with.
    """

    def __init__(self) -> None:
        self._differences: deque[RoutingDifference] = deque(maxlen=MAX_DIFFERENCES)
        # Length of the active version, encoded.
        self._content_bytes = 0

    @property
    def differences(self) -> list[RoutingDifference]:
        """Differences that lead to the active version, the oldest first."""
        return list(self._differences)

    def record_change(
        self, before: RoutingContent | None, after: RoutingContent
    ) -> None:
        """Record that a version has replaced another one, or is the first one."""
        encoded = msgspec.msgpack.encode(after)
        self._content_bytes = len(encoded)
        difference = (
            None
            if before is None
            else _compute_short_difference(before, after, zlib.crc32(encoded))
        )
        if difference is None or _measure([difference]) > MAX_DIFFERENCE_BYTES:
            self._differences.clear()
        else:
            self._differences.append(difference)

    def refine(self, differences: Sequence[RoutingDifference]) -> None:
        """Replace the last difference by those of others between its versions."""
        if not self._differences:
            return
        last = self._differences[-1]
        selected = _select_from(differences, last.base)
        if selected and selected[-1].version == last.version:
            self._differences.pop()
            self._differences.extend(selected)

    def get_differences(self, version: int) -> list[RoutingDifference]:
        """Return the differences from a version to the newest; empty if unknown."""
        return _select_from(self.differences, version)

    def get_short_differences(
        self, version: int, *, accepts_fields: bool
    ) -> list[RoutingDifference]:
        """
        Return the differences from a version to the newest.

        Parameters
        ----------
        version : int
        accepts_fields : bool
            Whether the receiver applies those that replace fields of items.

        Returns
        -------
        list of RoutingDifference
            Empty if they are unknown, can't be applied, or are longer than the newest
            version, as many changes of a short one are.
        """
        differences = self.get_differences(version)
        changed_items = sum(item.changed_items for item in differences)
        is_usable = (
            changed_items <= (MAX_CHANGED_ITEMS if accepts_fields else 0)
            and _measure(differences) < self._content_bytes
        )
        return differences if is_usable else []


def compute_difference(
    before: RoutingContent, after: RoutingContent, *, with_fields: bool = False
) -> RoutingDifference:
    """
    Return what replaces one version by another one.

    Parameters
    ----------
    before, after : RoutingContent
    with_fields : bool
        Whether fields of items are replaced, where items keep their names.
    """
    return _compute_difference(
        before, after, checksum=_compute_checksum(after), with_fields=with_fields
    )


def _compute_short_difference(
    before: RoutingContent, after: RoutingContent, checksum: int
) -> RoutingDifference:
    """Return a difference that all builds can apply unless it is too long."""
    difference = _compute_difference(
        before, after, checksum=checksum, with_fields=False
    )
    if _measure([difference]) <= MAX_DIFFERENCE_BYTES:
        return difference
    return _compute_difference(before, after, checksum=checksum, with_fields=True)


def _compute_difference(
    before: RoutingContent,
    after: RoutingContent,
    *,
    checksum: int,
    with_fields: bool,
) -> RoutingDifference:
    return RoutingDifference(
        base=before.version,
        version=after.version,
        checksum=checksum,
        routes=compare_lists(before.routes, after.routes, with_fields=with_fields),
        services=compare_lists(
            before.services, after.services, with_fields=with_fields
        ),
        workspaces=(
            None
            if after.workspaces is None
            else compare_lists(
                before.workspaces or [], after.workspaces, with_fields=with_fields
            )
        ),
        limits=after.limits,
    )


def apply_differences(
    content: RoutingContent, differences: Sequence[RoutingDifference]
) -> RoutingContent | None:
    """
    Return the version to which differences lead.

    Parameters
    ----------
    content : RoutingContent
        The version to start from.
    differences : sequence of RoutingDifference
        In order; those that lead to ``content`` are skipped.

    Returns
    -------
    RoutingContent or None
        ``None`` if no difference starts from ``content``.

    Raises
    ------
    DifferenceError
        If the result isn't the version that was compared, or if there are more than
        ``MAX_DIFFERENCES``, or ``MAX_CHANGED_ITEMS``.
    """
    selected = _select_from(differences, content.version)
    if not selected:
        return None
    # Other programs may send some that copy a long list each.
    if len(selected) > MAX_DIFFERENCES:
        raise DifferenceError(f"more than {MAX_DIFFERENCES} differences")
    if sum(difference.changed_items for difference in selected) > MAX_CHANGED_ITEMS:
        raise DifferenceError(f"more than {MAX_CHANGED_ITEMS} changed items")
    for difference in selected:
        if difference.base != content.version:
            raise DifferenceError(f"a difference before {difference.base} is missing")
        workspaces = difference.workspaces
        content = RoutingContent(
            version=difference.version,
            routes=assemble_list(content.routes, difference.routes),
            services=assemble_list(content.services, difference.services),
            workspaces=(
                None
                if workspaces is None
                else assemble_list(content.workspaces or [], workspaces)
            ),
            limits=difference.limits,
        )
    if _compute_checksum(content) != selected[-1].checksum:
        raise DifferenceError(f"checksum of version {content.version} differs")
    return content


def _select_from(
    differences: Sequence[RoutingDifference], version: int
) -> list[RoutingDifference]:
    for index, difference in enumerate(differences):
        if difference.base == version:
            return list(differences[index:])
    return []


def _measure(differences: Sequence[RoutingDifference]) -> int:
    return len(msgspec.msgpack.encode(differences))


def _compute_checksum(content: RoutingContent) -> int:
    return zlib.crc32(msgspec.msgpack.encode(content))
