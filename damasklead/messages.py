"""
Messages between entries
========================

What entries tell one another, as MessagePack arrays.

Every message carries the sender's configuration version and the latest gossip, so that
neither needs messages of its own.
"""

import msgspec

from damasklead.ids import Fingerprint, Incarnation, InstanceId, PoolId
from damasklead.stores.base import InstanceRecord

__all__ = [
    "ConfigurationResponse",
    "ConfigurationQuery",
    "CrashNotice",
    "Demand",
    "GossipItem",
    "Grant",
    "LeavingNotice",
    "PeerMessage",
    "QuarantineNotice",
    "ReleaseNotice",
    "ReplicaLoad",
    "decode_message",
    "encode_message",
]


class Demand(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=1):
    """Requests that run and wait at an entry for one pool, by tier from 1 up."""

    pool: PoolId
    running: tuple[int, ...]
    waiting: tuple[int, ...]


class ReplicaLoad(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """
    A replica's load as its coordinator last saw it.

    Attributes
    ----------
    key : int
        ``short_key`` of the replica's id.
    load, limit, hard_limit : int
        Requests that run or wait there, may run within targets, and may run at all.
    token_gap_us : int
        Microseconds between tokens, 0 when unknown.
    models : tuple of int
        ``short_key`` of each loaded model, empty when the replica runs any.
    """

    key: int
    load: int
    limit: int
    hard_limit: int
    token_gap_us: int
    models: tuple[int, ...] = ()


class Grant(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=2):
    """
    An entry's share of a pool.

    Attributes
    ----------
    slots : tuple of int
        Slots by tier; a tier may use those of all lower tiers too.
    ttl_ms : int
        How long the grant holds.
    preempting_tier : int
        The lowest tier that must wait somewhere, 0 when none does: running requests of
        tiers below it are preempted down to the grant.
    """

    pool: PoolId
    slots: tuple[int, ...]
    ttl_ms: int
    preempting_tier: int
    replicas: tuple[ReplicaLoad, ...]


class ConfigurationQuery(
    msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=3
):
    """
    Asks a peer for its configuration if it is newer than ``known_version``.

    ``reply_to`` is the asker's peers' address, which the peer may not know.
    """

    known_version: int
    reply_to: str


class ConfigurationResponse(
    msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=4
):
    """A configuration's files by name, and the members that the peer knows."""

    version: int
    files: dict[str, str]
    members: tuple[InstanceRecord, ...]


class LeavingNotice(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=11):
    """An instance is leaving; final for this incarnation."""

    instance: InstanceId
    incarnation: Incarnation


class CrashNotice(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=12):
    """A replica crashed while it ran requests with these fingerprints."""

    instance: InstanceId
    incarnation: Incarnation
    fingerprints: tuple[Fingerprint, ...]


class QuarantineNotice(
    msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=13
):
    """Requests with this fingerprint crash upstreams and are refused."""

    fingerprint: Fingerprint


class ReleaseNotice(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=14):
    """
    An operator lifted a quarantine; ``number`` tells releases of one fingerprint apart.
    """

    fingerprint: Fingerprint
    number: int


GossipItem = LeavingNotice | CrashNotice | QuarantineNotice | ReleaseNotice
Body = Demand | Grant | ConfigurationQuery | ConfigurationResponse


class PeerMessage(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """One message between entries."""

    sender: InstanceId
    incarnation: Incarnation
    configuration_version: int
    gossip: tuple[GossipItem, ...] = ()
    body: tuple[Body, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return a message's bytes."""
    return _ENCODER.encode(message)


def decode_message(content: bytes) -> PeerMessage:
    """
    Return the message in ``content``.

    Raises
    ------
    msgspec.DecodeError
        When the bytes are not a message.
    """
    return _DECODER.decode(content)
