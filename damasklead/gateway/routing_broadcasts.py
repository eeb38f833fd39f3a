"""
Configuration in broadcasts
===========================

Encodes the configuration, or what has changed of it, for broadcasts, and applies it.

Load pattern: the broadcaster sends each datagram to hundreds of gateways at once, and
its link may be slow, so that datagrams beyond the link's queue are lost.
"""

import math
import zlib
from collections.abc import Callable

import msgspec

from damasklead.gateway.configuration_differences import RoutingDifference
from damasklead.gateway.list_follower import (
    ConfigurationFollower,
    ConfigurationSource,
)
from damasklead.gateway.routing import RoutingContent, RoutingTable

__all__ = ["EncodedRouting", "RoutingBroadcasts"]

# The configuration is in this number of broadcasts, since datagrams may be lost.
MAX_TRANSMISSIONS = 2
BYTES_PER_MEGABIT = 125_000
# Largest compressed configuration in a broadcast; a larger one is read from the store.
MAX_ROUTING_BYTES = 8_192
# Time in which the link must be able to carry a configuration to all gateways; what is
# sent beyond the queue of the link is lost.
MAX_LINK_SECONDS = 0.05
# Largest configuration that a broadcast may hold, before compression.
MAX_ENCODED_ROUTING_BYTES = 1_048_576
# Versions before the active one from which differences may lead to it.
MAX_BASES = 4

_DIFFERENCES_DECODER = msgspec.msgpack.Decoder(list[RoutingDifference])


class EncodedRouting(msgspec.Struct, kw_only=True, frozen=True):
    """
    The configuration in a broadcast.

    Attributes
    ----------
    content : bytes
        The compressed configuration; empty if it is too long.
    differences : bytes
        The compressed differences from the versions before, if ``content`` is empty;
        empty if they are too long, too.
    field_differences : bytes
        Instead of ``differences``, if some replace fields of items.
    """

    content: bytes = b""
    differences: bytes = b""
    field_differences: bytes = b""


class RoutingBroadcasts:
    """
    The part of broadcasts that carries the configuration.

    Parameters
    ----------
    configuration : ConfigurationFollower
    count_receivers : callable
        Returns the number of other gateways.
    link_megabits : float or None
        Rate of this gateway's link in megabits per second; ``None`` if it is not known.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationFollower,
        count_receivers: Callable[[], int],
        link_megabits: float | None = None,
    ) -> None:
        self._configuration = configuration
        self._count_receivers = count_receivers
        self._max_link_bytes = (
            math.inf
            if link_megabits is None
            else MAX_LINK_SECONDS * link_megabits * BYTES_PER_MEGABIT
        )
        self._version = 0
        self._encoded = EncodedRouting()
        self._transmissions = 0

    def encode(self) -> EncodedRouting:
        """
        Return what the next broadcast holds of the configuration: nothing if it is too
        long, or has been sent ``MAX_TRANSMISSIONS`` times.
        """
        table = self._configuration.table
        if table is None:
            return EncodedRouting()
        if self._version != table.version:
            self._version, self._transmissions = table.version, 0
            content = self._compress(table.content)
            self._encoded = (
                EncodedRouting(content=content) if content else self._encode_changes()
            )
        self._transmissions += 1
        if self._transmissions > MAX_TRANSMISSIONS:
            return EncodedRouting()
        return self._encoded

    def apply(self, encoded: EncodedRouting, age_seconds: float) -> None:
        """
        Apply what a broadcast holds of the configuration.

        Parameters
        ----------
        encoded : EncodedRouting
        age_seconds : float
            Seconds since the store confirmed the version to the broadcaster.
        """
        if encoded.content:
            content = msgspec.msgpack.decode(
                _decompress(encoded.content), type=RoutingContent
            )
            self._configuration.apply_peer_configuration(
                RoutingTable(content=content),
                source=ConfigurationSource.BROADCAST,
                age_seconds=age_seconds,
            )
        elif data := encoded.differences or encoded.field_differences:
            self._configuration.apply_peer_differences(
                _DIFFERENCES_DECODER.decode(_decompress(data)),
                source=ConfigurationSource.BROADCAST,
                age_seconds=age_seconds,
            )

    def _encode_changes(self) -> EncodedRouting:
        """Return differences from as many earlier versions as a broadcast carries."""
        differences = self._configuration.history.differences[-MAX_BASES:]
        while differences:
            if data := self._compress(differences):
                if any(difference.changes_fields for difference in differences):
                    return EncodedRouting(field_differences=data)
                return EncodedRouting(differences=data)
            differences = differences[1:]
        return EncodedRouting()

    def _compress(self, value: object) -> bytes:
        """Return an encoded value, empty if it is too long."""
        encoded = msgspec.msgpack.encode(value)
        compressed = zlib.compress(encoded, 1)
        fits = (
            len(encoded) <= MAX_ENCODED_ROUTING_BYTES
            and len(compressed) <= MAX_ROUTING_BYTES
            and len(compressed) * self._count_receivers() <= self._max_link_bytes
        )
        return compressed if fits else b""


def _decompress(data: bytes) -> bytes:
    return zlib.decompressobj().decompress(data, MAX_ENCODED_ROUTING_BYTES)
