"""
Messages between entries
========================

A ZeroMQ ROUTER socket receives messages, and one DEALER socket for each peer sends
them.
"""

import msgspec
import zmq.green as zmq

from damasklead import logs
from damasklead.daemon.entry import Entry
from damasklead.ids import InstanceId
from damasklead.messages import (
    Body,
    ConfigurationQuery,
    ConfigurationResponse,
    Demand,
    Grant,
    PeerMessage,
    decode_message,
    encode_message,
)
from damasklead.rate_limits import RateLimit
from damasklead.settings import PeerKeys
from damasklead.sharing import Coordinator
from damasklead.turns import TurnBudget

__all__ = ["Peers"]

MAX_QUEUED_MESSAGES = 100  # for each peer
MAX_MESSAGE_BYTES = 4_194_304
IDLE_TIMEOUT_SECONDS = 60.0


class _PeerConnection(msgspec.Struct, kw_only=True):
    """
    A socket for sending to a peer at one address.

    Attributes
    ----------
    socket : zmq.Socket
        The DEALER socket.
    address : str
        The peer's address, ``ip:port``.
    used_at : float
        Clock reading in seconds when a message was last sent.
    """

    socket: zmq.Socket
    address: str
    used_at: float


class Peers:
    """
    Sends messages to peers, and receives and handles those of peers.

    Parameters
    ----------
    entry : Entry
        State of this entry.
    coordinators : dict
        Coordinators of the pools that this entry coordinates, by pool id.
    """

    def __init__(self, *, entry: Entry, coordinators: dict[str, Coordinator]) -> None:
        self._entry = entry
        self._coordinators = coordinators
        self._context = zmq.Context()
        self._receiver: zmq.Socket | None = None
        self._connections: dict[InstanceId, _PeerConnection] = {}

    def run_receive_loop(self) -> None:
        """Receive and handle messages until the task is stopped."""
        receiver = self._context.socket(zmq.ROUTER)
        receiver.setsockopt(zmq.LINGER, 0)
        receiver.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._enable_curve_server(receiver)
        receiver.bind(f"tcp://{self._entry.settings.listen.peers}")
        turn = TurnBudget()
        try:
            while True:
                frames = receiver.recv_multipart()
                turn.spend(size=len(frames[-1]), pieces=len(frames))
                self._entry.metrics.peer_bytes.labels("in").inc(len(frames[-1]))
                try:
                    message = decode_message(frames[-1])
                except msgspec.DecodeError as error:
                    logs.warning("peer-message", detail=str(error))
                    continue
                self._handle_message(message)
        finally:
            receiver.close()

    def send_message(self, peer: InstanceId, *body: Body) -> None:
        """
        Send a message to a peer.

        It is dropped when the peer is unknown or the message can't be queued at once.

        Parameters
        ----------
        peer : str
            Instance id of the peer.
        *body : Body
            Parts of the message. Gossip and the configuration version are added.
        """
        member = self._entry.membership.get_member(peer)
        if member is not None:
            self.send_message_to_address(peer, member.address, *body)

    def send_message_to_address(
        self, peer: InstanceId, address: str, *body: Body
    ) -> None:
        """Send a message as ``send_message`` does, to a peer at a given address."""
        items = self._entry.gossip.select_items(peer)
        message = PeerMessage(
            sender=self._entry.instance,
            incarnation=self._entry.incarnation,
            configuration_version=self._entry.configuration_holder.version,
            gossip=tuple(item for item in items if not isinstance(item, RateLimit)),
            body=body,
            rate_limits=tuple(item for item in items if isinstance(item, RateLimit)),
        )
        content = encode_message(message)
        try:
            self._get_socket(peer, address).send(content, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            logs.warning("peer-send", peer=peer, detail=str(error))
            return
        self._entry.metrics.peer_bytes.labels("out").inc(len(content))

    def close_idle_connections(self) -> None:
        """Close connections that were not used for ``IDLE_TIMEOUT_SECONDS``."""
        oldest_use = self._entry.clock.now() - IDLE_TIMEOUT_SECONDS
        for peer, connection in list(self._connections.items()):
            if connection.used_at < oldest_use:
                connection.socket.close()
                del self._connections[peer]

    def close(self) -> None:
        """Close all connections for sending."""
        for connection in self._connections.values():
            connection.socket.close()
        self._connections.clear()

    def handle_body(self, sender: InstanceId, body: Body) -> None:
        """Handle one part of a message from a peer or from this entry itself."""
        match body:
            case Demand():
                coordinator = self._coordinators.get(body.pool)
                if coordinator is not None:
                    coordinator.record_demand(sender, body)
            case Grant():
                self._apply_grant(body)
            case ConfigurationQuery():
                self._respond_to_query(sender, body)
            case ConfigurationResponse():
                self._apply_response(sender, body)

    def _handle_message(self, message: PeerMessage) -> None:
        """Handle a message: its configuration version, gossip and parts."""
        self._entry.configuration_sources.record_version(
            message.sender, message.configuration_version
        )
        self._entry.record_contact(message.sender)
        self._entry.apply_gossip(message.gossip)
        self._entry.rate_limits.apply_reports(message.rate_limits)
        for body in message.body:
            self.handle_body(message.sender, body)

    def _respond_to_query(self, sender: InstanceId, query: ConfigurationQuery) -> None:
        """Send a peer the configuration and the members, if it lacks any."""
        entry = self._entry
        holder = entry.configuration_holder
        is_newer = holder.version > query.known_version
        has_other_members = (
            query.known_list is not None
            and entry.is_list_readable
            and entry.list_version not in ("", query.known_list)
        )
        if is_newer or has_other_members:
            response = ConfigurationResponse(
                version=holder.version,
                files=holder.files if is_newer else {},
                members=entry.membership.build_records(),
                list_version=entry.list_version if entry.is_list_readable else "",
            )
            self.send_message_to_address(sender, query.reply_to, response)

    def _apply_response(
        self, sender: InstanceId, response: ConfigurationResponse
    ) -> None:
        """Apply the configuration and the members that a peer has sent."""
        entry = self._entry
        entry.configuration_sources.record_response(sender)
        before = entry.membership.generation
        entry.membership.merge_peer_records(response.members)
        if response.list_version and not entry.is_list_readable:
            entry.peer_list_version = response.list_version
        entry.activate_configuration(response.files, version=response.version)
        if entry.membership.generation != before:
            entry.update_members()

    def _apply_grant(self, grant: Grant) -> None:
        """Apply a grant to its pool, if this entry has the pool."""
        for pool in self._entry.pools.values():
            if pool.dispatcher.pool == grant.pool:
                self._entry.apply_actions(pool, pool.dispatcher.apply_grant(grant))

    def _get_socket(self, peer: InstanceId, address: str) -> zmq.Socket:
        """Return the socket for a peer, connected to its present address."""
        connection = self._connections.get(peer)
        if connection is not None and connection.address != address:
            connection.socket.close()
            connection = None
        if connection is None:
            connection = self._connect(address)
            self._connections[peer] = connection
        connection.used_at = self._entry.clock.now()
        return connection.socket

    def _connect(self, address: str) -> _PeerConnection:
        sender = self._context.socket(zmq.DEALER)
        sender.setsockopt(zmq.LINGER, 0)
        sender.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        sender.setsockopt(zmq.IMMEDIATE, 0)
        self._enable_curve_client(sender)
        sender.connect(f"tcp://{address}")
        return _PeerConnection(socket=sender, address=address, used_at=0.0)

    def _enable_curve_server(self, receiver: zmq.Socket) -> None:
        """Accept only peers with the deployment's CURVE keys, if it has any."""
        keys = self._entry.settings.peer_keys
        if keys is not None:
            receiver.curve_secretkey = keys.secret_key.encode()
            receiver.curve_publickey = keys.public_key.encode()
            receiver.curve_server = True

    def _enable_curve_client(self, sender: zmq.Socket) -> None:
        """Encrypt messages with the deployment's CURVE keys, if it has any."""
        keys: PeerKeys | None = self._entry.settings.peer_keys
        if keys is not None:
            sender.curve_secretkey = keys.secret_key.encode()
            sender.curve_publickey = keys.public_key.encode()
            sender.curve_serverkey = keys.public_key.encode()
