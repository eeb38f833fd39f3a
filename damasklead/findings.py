"""
Findings
========

Problems found in files, collected with their place and reported together.
"""

import difflib
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["Finding", "Findings", "nearest"]


class Finding(msgspec.Struct, kw_only=True, frozen=True, order=True):
    """
    One problem at one place.

    Attributes
    ----------
    file : str
        The file's name as it was given.
    line, column : int
        The place, both counted from 1.
    path : str
        The place inside the document, such as ``classes[0].tier``.
    message : str
        What is wrong.
    """

    file: str
    line: int
    column: int
    path: str
    message: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}:{self.column}"
        return (
            f"{where}: {self.path}: {self.message}"
            if self.path
            else f"{where}: {self.message}"
        )


class Findings:
    """A growing list of findings over any number of files."""

    def __init__(self) -> None:
        self._items: list[Finding] = []

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[Finding]:
        return iter(sorted(self._items))

    def add(self, finding: Finding) -> None:
        """Add one finding."""
        self._items.append(finding)

    def extend(self, findings: Iterable[Finding]) -> None:
        """Add several findings."""
        self._items.extend(findings)


def nearest(word: str, known: Iterable[str]) -> str | None:
    """
    Return the known word that is closest to a misspelt one.

    Examples
    --------
    >>> nearest("teir", ["name", "tier"])
    'tier'
    >>> nearest("zzz", ["name", "tier"]) is None
    True
    """
    matches = difflib.get_close_matches(word, list(known), n=1)
    return matches[0] if matches else None
