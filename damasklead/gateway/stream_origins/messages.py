"""
Messages on stream origins
==========================

Each may be lost: several keepers get each origin, and the platform's store has it, too.
"""

import msgspec

from damasklead.gateway.stream_origins.origins import StreamOrigin
from damasklead.ids import AttemptId

__all__ = ["OriginQuery", "OriginReply", "OriginReport"]


class OriginReport(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """
    Reports the origin of a stream to one of its keepers.

    Attributes
    ----------
    origin : StreamOrigin
    is_writer : bool
        Whether the keeper writes it to the platform's store.
    """

    origin: StreamOrigin
    is_writer: bool


class OriginQuery(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """Asks a keeper for the origin of an attempt's stream."""

    attempt: AttemptId


class OriginReply(msgspec.Struct, array_like=True, frozen=True, tag=17):
    """
    Answers an ``OriginQuery``.

    Attributes
    ----------
    attempt : AttemptId
    origin : StreamOrigin or None
        ``None`` if the keeper doesn't know it.
    is_ambiguous : bool
        Whether the keeper knows two origins that differ.
    """

    attempt: AttemptId
    origin: StreamOrigin | None
    is_ambiguous: bool = False
