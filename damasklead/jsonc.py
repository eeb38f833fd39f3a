"""
JSON with comments
==================

Parses JSON that may hold comments and keeps the place of every value.
"""

import json
from typing import Any, TypeVar

import msgspec
import tree_sitter
import tree_sitter_json

from damasklead.findings import Finding, Findings

__all__ = ["Document", "Path", "convert", "format_path", "parse"]

Path = tuple[str | int, ...]
T = TypeVar("T")

_PARSER = tree_sitter.Parser(tree_sitter.Language(tree_sitter_json.language()))
_CONSTANTS = {"true": True, "false": False, "null": None}


class Document(msgspec.Struct, kw_only=True):
    """
    A parsed file.

    Attributes
    ----------
    file : str
        The file's name.
    value : Any
        The plain Python value.
    places : dict
        Line and column of each path, counted from 1; a key's place stands for its
        value.
    """

    file: str
    value: Any
    places: dict[Path, tuple[int, int]]

    def finding(self, path: Path, message: str) -> Finding:
        """Return a finding at a path, or at its nearest parent with a known place."""
        known = path
        while known and known not in self.places:
            known = known[:-1]
        line, column = self.places.get(known, (1, 1))
        return Finding(
            file=self.file,
            line=line,
            column=column,
            path=format_path(path),
            message=message,
        )


def format_path(path: Path) -> str:
    """
    Write a path as operators read it.

    Examples
    --------
    >>> format_path(("classes", 0, "tier"))
    'classes[0].tier'
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def parse(text: str, *, file: str, findings: Findings) -> Document | None:
    """
    Parse one document.

    Parameters
    ----------
    text : str
        The file's content.
    file : str
        The name to report.
    findings : Findings
        Where syntax errors and repeated keys are added.

    Returns
    -------
    Document or None
        ``None`` when the text is not valid JSON with comments.
    """
    root = _PARSER.parse(text.encode()).root_node
    reader = _Reader(file=file, findings=findings)
    if root.has_error:
        reader.report_syntax(root)
        return None
    values = [node for node in root.named_children if node.type != "comment"]
    if len(values) != 1:
        findings.add(
            reader.finding(root, (), f"expected one JSON value, found {len(values)}")
        )
        return None
    value = reader.read(values[0], ())
    return Document(file=file, value=value, places=reader.places)


def convert(text: str, kind: type[T], *, file: str, findings: Findings) -> T | None:
    """
    Parse one document into a type of ``msgspec``.

    Returns
    -------
    object or None
        ``None`` when anything is wrong, which is added to ``findings``.
    """
    document = parse(text, file=file, findings=findings)
    if document is None:
        return None
    try:
        return msgspec.convert(document.value, kind)
    except msgspec.ValidationError as error:
        message, _, where = str(error).partition(" - at `$")
        path = tuple(part for part in where.rstrip("`").split(".") if part)
        findings.add(document.finding(path, message))
        return None


class _Reader:
    """Turns syntax nodes into values and remembers their places."""

    def __init__(self, *, file: str, findings: Findings) -> None:
        self.places: dict[Path, tuple[int, int]] = {}
        self._file = file
        self._findings = findings

    def finding(self, node: tree_sitter.Node, path: Path, message: str) -> Finding:
        """Return a finding at a syntax node."""
        row, column = node.start_point
        return Finding(
            file=self._file,
            line=row + 1,
            column=column + 1,
            path=format_path(path),
            message=message,
        )

    def report_syntax(self, node: tree_sitter.Node) -> None:
        """Report every error node below ``node``."""
        if node.is_missing:
            self._findings.add(self.finding(node, (), f"missing {node.type!r}"))
            return
        if node.is_error:
            sample = (node.text or b"").decode(errors="replace").split("\n")[0][:40]
            self._findings.add(
                self.finding(node, (), f"not valid JSON near {sample!r}")
            )
            return
        for child in node.children:
            if child.has_error or child.is_missing:
                self.report_syntax(child)

    def read(self, node: tree_sitter.Node, path: Path) -> Any:
        """Return the value of a node."""
        row, column = node.start_point
        self.places.setdefault(path, (row + 1, column + 1))
        if node.type == "object":
            return self._read_object(node, path)
        if node.type == "array":
            items = [child for child in node.named_children if child.type != "comment"]
            return [
                self.read(child, (*path, index)) for index, child in enumerate(items)
            ]
        if node.type in _CONSTANTS:
            return _CONSTANTS[node.type]
        return json.loads((node.text or b"").decode())

    def _read_object(self, node: tree_sitter.Node, path: Path) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for pair in node.named_children:
            if pair.type != "pair":
                continue
            key_node = pair.child_by_field_name("key")
            value_node = pair.child_by_field_name("value")
            assert key_node is not None and value_node is not None
            key = json.loads((key_node.text or b"").decode())
            child_path = (*path, key)
            if key in result:
                self._findings.add(
                    self.finding(key_node, child_path, "this key is repeated")
                )
            row, column = key_node.start_point
            self.places[child_path] = (row + 1, column + 1)
            result[key] = self.read(value_node, child_path)
        return result
