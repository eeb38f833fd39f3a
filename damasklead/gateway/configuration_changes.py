"""
Changes of the configuration
============================

Describes for the log which routes and API keys a version of the configuration adds and
removes, so that a request that was refused can be compared with the versions in force
at other gateways.  No I/O.
"""

from collections.abc import Iterable

from damasklead.gateway.routing import ApiKey, RoutingTable
from damasklead.util import stable_hash

__all__ = ["describe_changes", "hash_key"]

# Names of one kind in a log line.
MAX_NAMES = 20


def hash_key(key: ApiKey | None) -> str:
    """
    Return a hash of an API key for the log; empty without a key.

    Examples
    --------
    >>> hash_key(ApiKey("secret"))
    '456477a1'
    >>> hash_key(None)
    ''
    """
    return "" if key is None else f"{stable_hash('api key', key) & 0xFFFF_FFFF:08x}"


def describe_changes(
    before: RoutingTable | None, after: RoutingTable
) -> dict[str, object]:
    """
    Return the differences between two versions as pairs for a log line.

    Parameters
    ----------
    before : RoutingTable or None
        The version that was active; ``None`` before the first one.
    after : RoutingTable
        The version that replaces it.

    Returns
    -------
    dict
        Names of the routes, and hashes of the API keys, that were added and removed;
        empty for the first version.
    """
    if before is None:
        return {}
    routes_before = {route.name for route in before.routes}
    routes_after = {route.name for route in after.routes}
    return {
        "routes_added": _join(routes_after - routes_before),
        "routes_removed": _join(routes_before - routes_after),
        "keys_added": _join(map(hash_key, after.keys - before.keys)),
        "keys_removed": _join(map(hash_key, before.keys - after.keys)),
    }


def _join(names: Iterable[str]) -> str:
    """Join at most ``MAX_NAMES`` names and state how many more there are."""
    ordered = sorted(names)
    shown = " ".join(ordered[:MAX_NAMES])
    more = len(ordered) - MAX_NAMES
    return f"{shown} and {more} more" if more > 0 else shown
