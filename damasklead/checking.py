"""
Validation of files
===================

Validates files against ``pydantic`` models and reports each error as a finding.
"""

from typing import Any, TypeVar

import pydantic
from pydantic_core import ErrorDetails

from damasklead import jsonc
from damasklead.findings import Findings, find_closest_match

__all__ = ["CheckedModel", "check_text"]

ModelT = TypeVar("ModelT", bound="CheckedModel")


class CheckedModel(pydantic.BaseModel):
    """Base of the models of files: immutable, strict, rejecting unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


def check_text(
    model: type[ModelT], text: str, *, file: str, findings: Findings
) -> tuple[ModelT, jsonc.Document] | None:
    """
    Parse and validate one file.

    Parameters
    ----------
    model : type
        Model that the file must satisfy.
    text : str
        Content of the file.
    file : str
        Name of the file, for findings.
    findings : Findings
        Receives all problems of the file.

    Returns
    -------
    tuple or None
        The validated model and the parsed document, or ``None`` when the file has a
        finding.
    """
    before = len(findings)
    document = jsonc.parse(text, file=file, findings=findings)
    if document is None:
        return None
    try:
        value = model.model_validate(document.value)
    except pydantic.ValidationError as error:
        for detail in error.errors():
            path, message = _format_error(model, detail, document.value)
            findings.add(document.make_finding(path, message))
        return None
    return (value, document) if len(findings) == before else None


def _format_error(
    model: type[pydantic.BaseModel], detail: ErrorDetails, value: Any
) -> tuple[jsonc.Path, str]:
    path = _strip_union_members(detail["loc"], value)
    if detail["type"] != "extra_forbidden":
        return path, detail["msg"]
    known = _find_known_keys(model, path[:-1])
    hint = find_closest_match(str(path[-1]), known)
    return path, "unknown key" + (f"; did you mean {hint!r}?" if hint else "")


def _strip_union_members(loc: tuple[int | str, ...], value: Any) -> jsonc.Path:
    """
    Return the path of an error in the document.

    The location that ``pydantic`` gives also names members of unions; these are left
    out.
    """
    path: list[str | int] = []
    for position, part in enumerate(loc):
        is_last = position == len(loc) - 1
        if isinstance(value, dict) and (part in value or is_last):
            path.append(part)
            value = value.get(part)
        elif isinstance(value, list) and isinstance(part, int) and part < len(value):
            path.append(part)
            value = value[part]
    return tuple(path)


def _find_known_keys(model: type[pydantic.BaseModel], path: jsonc.Path) -> list[str]:
    """Return the keys that the model allows for the object at ``path``."""
    found = [model]
    for part in path:
        if isinstance(part, str):
            found = [
                inner for outer in found for inner in _find_key_models(outer, part)
            ]
    return [key for item in found for key in item.model_fields]


def _find_key_models(
    model: type[pydantic.BaseModel], key: str
) -> list[type[pydantic.BaseModel]]:
    field = model.model_fields.get(key)
    return _find_models(field.annotation) if field is not None else []


def _find_models(annotation: Any) -> list[type[pydantic.BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        return [annotation]
    arguments = getattr(annotation, "__args__", ())
    return [model for argument in arguments for model in _find_models(argument)]
