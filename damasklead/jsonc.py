"""
JSON with comments
==================

Parses JSON with comments and records the location of every value.
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
        Name of the file, for findings.
    value : Any
        Content as dictionaries, lists and scalars.
    locations : dict
        Line and column of each path, counted from 1. A member of an object has the
        location of its key.
    """

    file: str
    value: Any
    locations: dict[Path, tuple[int, int]]

    def make_finding(self, path: Path, message: str) -> Finding:
        """
        Return a finding at a path.

        The location is that of the path or of its closest ancestor in the file.
        """
        ancestor = path
        while ancestor and ancestor not in self.locations:
            ancestor = ancestor[:-1]
        line, column = self.locations.get(ancestor, (1, 1))
        return Finding(
            file=self.file,
            line=line,
            column=column,
            path=format_path(path),
            message=message,
        )


def format_path(path: Path) -> str:
    """
    Format a path for findings.

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
        Content of the file.
    file : str
        Name of the file, for findings.
    findings : Findings
        Receives syntax errors and repeated keys.

    Returns
    -------
    Document or None
        ``None`` unless the text holds exactly one valid value. A document with
        repeated keys is returned.
    """
    root = _PARSER.parse(text.encode()).root_node
    reader = _SyntaxTreeReader(file=file, findings=findings)
    if root.has_error:
        reader.report_syntax_errors(root)
        return None
    values = [node for node in root.named_children if node.type != "comment"]
    if len(values) != 1:
        findings.add(
            reader.make_finding(
                root, (), f"expected one JSON value, found {len(values)}"
            )
        )
        return None
    value = reader.read_value(values[0], ())
    return Document(file=file, value=value, locations=reader.locations)


def convert(text: str, kind: type[T], *, file: str, findings: Findings) -> T | None:
    """
    Parse one document and convert it to a type that ``msgspec`` supports.

    Parameters
    ----------
    text : str
        Content of the file.
    kind : type
        Type of the result.
    file : str
        Name of the file, for findings.
    findings : Findings
        Receives syntax errors, repeated keys and the first value of a wrong type.

    Returns
    -------
    object or None
        ``None`` when the text is not valid or a value has the wrong type.
    """
    document = parse(text, file=file, findings=findings)
    if document is None:
        return None
    try:
        return msgspec.convert(document.value, kind)
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(" - at `$")
        path = tuple(part for part in location.rstrip("`").split(".") if part)
        findings.add(document.make_finding(path, message))
        return None


class _SyntaxTreeReader:
    """Converts the nodes of a syntax tree to values and records their locations."""

    def __init__(self, *, file: str, findings: Findings) -> None:
        self.locations: dict[Path, tuple[int, int]] = {}
        self._file = file
        self._findings = findings

    def make_finding(self, node: tree_sitter.Node, path: Path, message: str) -> Finding:
        """Return a finding at a syntax node."""
        row, column = node.start_point
        return Finding(
            file=self._file,
            line=row + 1,
            column=column + 1,
            path=format_path(path),
            message=message,
        )

    def report_syntax_errors(self, node: tree_sitter.Node) -> None:
        """Add a finding for each syntax error at or below ``node``."""
        if node.is_missing:
            self._findings.add(self.make_finding(node, (), f"missing {node.type!r}"))
            return
        if node.is_error:
            excerpt = (node.text or b"").decode(errors="replace").split("\n")[0][:40]
            self._findings.add(
                self.make_finding(node, (), f"not valid JSON near {excerpt!r}")
            )
            return
        for child in node.children:
            if child.has_error or child.is_missing:
                self.report_syntax_errors(child)

    def read_value(self, node: tree_sitter.Node, path: Path) -> Any:
        """Return the value of a node, and record the locations in it."""
        row, column = node.start_point
        self.locations.setdefault(path, (row + 1, column + 1))
        if node.type == "object":
            return self._read_object(node, path)
        if node.type == "array":
            items = [child for child in node.named_children if child.type != "comment"]
            return [
                self.read_value(child, (*path, index))
                for index, child in enumerate(items)
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
                    self.make_finding(key_node, child_path, "this key is repeated")
                )
            row, column = key_node.start_point
            self.locations[child_path] = (row + 1, column + 1)
            result[key] = self.read_value(value_node, child_path)
        return result
