"""
Findings
========

Problems in files, each with its location, collected to be reported together.
"""

import difflib
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["Finding", "Findings", "find_closest_match"]


class Finding(msgspec.Struct, kw_only=True, frozen=True, order=True):
    """
    One problem at one location of a file.

    Attributes
    ----------
    file : str
        Name of the file as the caller gave it.
    line, column : int
        Location in the text, both counted from 1.
    path : str
        Location in the document, such as ``classes[0].tier``; empty for the whole
        document.
    message : str
        Description of the problem.
    """

    file: str
    line: int
    column: int
    path: str
    message: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}:{self.column}"
        return (
            f"{location}: {self.path}: {self.message}"
            if self.path
            else f"{location}: {self.message}"
        )


class Findings:
    """The findings of any number of files, in the order of their locations."""

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


def find_closest_match(word: str, known: Iterable[str]) -> str | None:
    """
    Return the known word that is most similar to a misspelt one, if any is similar.

    Examples
    --------
    >>> find_closest_match("teir", ["name", "tier"])
    'tier'
    >>> find_closest_match("zzz", ["name", "tier"]) is None
    True
    """
    matches = difflib.get_close_matches(word, list(known), n=1)
    return matches[0] if matches else None
