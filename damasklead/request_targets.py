"""
Request targets
===============

Conversion of the absolute form of a request's target to the origin form, in which
routes are looked up and requests are forwarded.  No I/O.
"""

from collections.abc import Sequence

__all__ = ["to_origin_form"]

_SCHEMES = ("http://", "https://")


def to_origin_form(
    target: str, headers: Sequence[tuple[bytes, bytes]]
) -> tuple[str, list[tuple[bytes, bytes]]]:
    """
    Return the target of a request in origin form, and its headers.

    The host of a target in absolute form replaces that of the Host header (RFC 9112,
    section 3.2.2).

    Parameters
    ----------
    target : str
        Target as received.
    headers : sequence
        Headers as received.

    Examples
    --------
    >>> to_origin_form("http://ice.example:80?a=b", [(b"Host", b"x")])
    ('/?a=b', [(b'Host', b'ice.example:80')])
    >>> to_origin_form("/read/1", [(b"Host", b"ice.example")])
    ('/read/1', [(b'Host', b'ice.example')])
    """
    scheme = next((item for item in _SCHEMES if target.lower().startswith(item)), "")
    if not scheme:
        return target, list(headers)
    rest = target[len(scheme) :]
    ends = [rest.find(mark) for mark in "/?" if mark in rest]
    authority = rest[: min(ends, default=len(rest))]
    path = rest[len(authority) :]
    host = authority.rpartition("@")[2].encode("latin-1")
    return path if path.startswith("/") else f"/{path}", [
        (name, host if name.lower() == b"host" else value) for name, value in headers
    ]
