"""
Checked documents
=================

Validates parsed files against their models and turns every error into a finding.
"""

from typing import Any, TypeVar

import pydantic
from pydantic_core import ErrorDetails

from damasklead import jsonc
from damasklead.findings import Findings, nearest

__all__ = ["CheckedModel", "check_text"]

ModelT = TypeVar("ModelT", bound="CheckedModel")


class CheckedModel(pydantic.BaseModel):
    """Base of every model of a file: immutable, strict, without unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


def check_text(
    model: type[ModelT], text: str, *, file: str, findings: Findings
) -> tuple[ModelT, jsonc.Document] | None:
    """
    Parse and validate one file.

    Parameters
    ----------
    model : type
        The model of the file.
    text : str
        The file's content.
    file : str
        The name to report.
    findings : Findings
        Where all problems are added.

    Returns
    -------
    tuple or None
        The validated model and the parsed document, or ``None`` when anything is wrong.
    """
    before = len(findings)
    document = jsonc.parse(text, file=file, findings=findings)
    if document is None:
        return None
    try:
        value = model.model_validate(document.value)
    except pydantic.ValidationError as error:
        for detail in error.errors():
            path, message = _describe(model, detail, document.value)
            findings.add(document.finding(path, message))
        return None
    return (value, document) if len(findings) == before else None


def _describe(
    model: type[pydantic.BaseModel], detail: ErrorDetails, value: Any
) -> tuple[jsonc.Path, str]:
    path = _document_path(detail["loc"], value)
    if detail["type"] != "extra_forbidden":
        return path, detail["msg"]
    known = _known_keys(model, path[:-1])
    hint = nearest(str(path[-1]), known)
    return path, "unknown key" + (f"; did you mean {hint!r}?" if hint else "")


def _document_path(loc: tuple[int | str, ...], value: Any) -> jsonc.Path:
    """Drop the parts of an error's location that name a union member, not a key."""
    path: list[str | int] = []
    for position, part in enumerate(loc):
        last = position == len(loc) - 1
        if isinstance(value, dict) and (part in value or last):
            path.append(part)
            value = value.get(part)
        elif isinstance(value, list) and isinstance(part, int) and part < len(value):
            path.append(part)
            value = value[part]
    return tuple(path)


def _known_keys(model: type[pydantic.BaseModel], path: jsonc.Path) -> list[str]:
    """Return the keys that the object at ``path`` may have."""
    found = [model]
    for part in path:
        if isinstance(part, str):
            found = [inner for outer in found for inner in _models_of(outer, part)]
    return [key for item in found for key in item.model_fields]


def _models_of(
    model: type[pydantic.BaseModel], key: str
) -> list[type[pydantic.BaseModel]]:
    field = model.model_fields.get(key)
    return _models_in(field.annotation) if field is not None else []


def _models_in(annotation: Any) -> list[type[pydantic.BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        return [annotation]
    arguments = getattr(annotation, "__args__", ())
    return [model for argument in arguments for model in _models_in(argument)]
