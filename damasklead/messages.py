"""
Messages between entries
========================

Messages that entries exchange, encoded as MessagePack arrays.

Every message carries the sender's configuration version and recent gossip, so that
neither needs messages of its own.
"""

import msgspec

from damasklead.decoding import decode_msgpack
from damasklead.ids import Fingerprint, Incarnation, InstanceId, PoolId
from damasklead.rate_limits import RateLimit
from damasklead.stores.base import InstanceRecord

__all__ = [
    "ConfigurationQuery",
    "ConfigurationResponse",
    "CrashNotice",
    "Demand",
    "GossipItem",
    "Grant",
    "LeavingNotice",
    "PeerMessage",
    "QuarantineNotice",
    "ReleaseNotice",
    "SoundPartNotice",
    "ReplicaLoad",
    "decode_message",
    "encode_message",
]


class Demand(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=1):
    """
    Load of an entry on one pool.

    Attributes
    ----------
    running, waiting : tuple of int
        Number of running and of queued requests in each tier, from tier 1.
    """

    pool: PoolId
    running: tuple[int, ...]
    waiting: tuple[int, ...]


class ReplicaLoad(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """
    Load of a replica by its latest report to the pool's coordinator.

    Attributes
    ----------
    key : int
        ``hash_name`` of the replica's id.
    load : int
        Number of requests that run or are queued at the replica.
    limit : int
        Number of requests that it can run within the latency targets.
    hard_limit : int
        Number of requests that it can run at all.
    token_gap_us : int
        Microseconds between the tokens of a response, 0 when unknown.
    models : tuple of int
        ``hash_name`` of each loaded model, empty when the replica serves any model.
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
        Number of requests that the entry may run in each tier, from tier 1; a tier may
        also use the slots of all lower tiers.
    ttl_ms : int
        Milliseconds for which the grant is valid.
    preempting_tier : int
        The lowest tier with queued requests at any entry while lower tiers use more
        than their slots, 0 when there is none.  Entries preempt running requests of
        the tiers below it until they use no more than the granted slots.
    replicas : tuple of ReplicaLoad
        Load of the pool's replicas.
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
    Request for a peer's configuration if it is newer than ``known_version``.

    ``reply_to`` is the sender's address for messages of peers.  The peer may not know
    it yet.  ``known_list`` is the version of the instance list that the sender has, if
    it can't read the list: it then also requests the members, if the peer has read
    another version.  Entries of older versions ignore it.
    """

    known_version: int
    reply_to: str
    known_list: str | None = None


class ConfigurationResponse(
    msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=4
):
    """
    The files of a configuration by name, and the members that the sender knows.

    There are no files if the receiver has the configuration already.  ``list_version``
    is the version of the instance list that the sender has read last; entries of older
    versions leave it out.
    """

    version: int
    files: dict[str, str]
    members: tuple[InstanceRecord, ...]
    list_version: str = ""


class LeavingNotice(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=11):
    """An instance is leaving; this is final for the incarnation."""

    instance: InstanceId
    incarnation: Incarnation


class CrashNotice(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=12):
    """
    A replica crashed while it executed requests with these fingerprints.

    Attributes
    ----------
    prompts : tuple
        For each of these requests the shared parts of its prompt.
    """

    instance: InstanceId
    incarnation: Incarnation
    fingerprints: tuple[Fingerprint, ...]
    prompts: tuple[tuple[Fingerprint, ...], ...] = ()


class QuarantineNotice(
    msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=13
):
    """Requests with this fingerprint crash upstreams and must be refused."""

    fingerprint: Fingerprint


class ReleaseNotice(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=14):
    """
    An operator lifted a quarantine.

    Attributes
    ----------
    number : int
        Rises with each release of the same fingerprint.
    """

    fingerprint: Fingerprint
    number: int


class SoundPartNotice(
    msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=15
):
    """
    A replica responded completely to a request with a part that crashes had.

    Attributes
    ----------
    number : int
        Distinguishes the notices of an entry.
    """

    part: Fingerprint
    sender: InstanceId
    number: int


GossipItem = (
    LeavingNotice | CrashNotice | QuarantineNotice | ReleaseNotice | SoundPartNotice
)
Body = Demand | Grant | ConfigurationQuery | ConfigurationResponse


class PeerMessage(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """
    One message between entries.

    Attributes
    ----------
    sender : str
        Id of the sending instance.
    incarnation : int
        Incarnation of the sender.
    configuration_version : int
        Version of the configuration that the sender has.
    gossip : tuple
        Gossip items that the sender has not sent to this peer before.
    body : tuple
        The demands, grants, queries and responses that the message carries.
    rate_limits : tuple
        Gossip about limits of upstreams, in a field of its own: entries of older
        versions ignore it, and would not decode a new kind of gossip item.
    """

    sender: InstanceId
    incarnation: Incarnation
    configuration_version: int
    gossip: tuple[GossipItem, ...] = ()
    body: tuple[Body, ...] = ()
    rate_limits: tuple[RateLimit, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the encoded message."""
    return _ENCODER.encode(message)


def decode_message(content: bytes) -> PeerMessage:
    """
    Return the message that ``content`` encodes.

    Raises
    ------
    msgspec.DecodeError
        When ``content`` is not a valid message.
    """
    message: PeerMessage = decode_msgpack(content, decoder=_DECODER)
    return message
