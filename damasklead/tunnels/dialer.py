"""
Opening of tunnels
==================

Opens connections to replicas directly, and through other gateways while this one is
isolated.
"""

from collections import deque
from collections.abc import Callable, Generator, Iterable, Sequence
from contextlib import closing

import gevent
from gevent import socket

from damasklead.clock import Clock
from damasklead.ids import InstanceId
from damasklead.logs import EventLog
from damasklead.sockets import UNACKNOWLEDGED_TIMEOUT_MS
from damasklead.time_limits import time_limit
from damasklead.tunnels.dialing import Link, ObservedDialer, connect_to_replica
from damasklead.tunnels.helpers import HelperAddress, Helpers
from damasklead.tunnels.probes import Probe
from damasklead.tunnels.reachability import Reachability
from damasklead.tunnels.requests import (
    TunnelRequest,
    UnexpectedDataError,
    UnreachableReplicaError,
    request_tunnel,
)

__all__ = ["TunnelDialer", "UnreachableReplicaError"]

# Time after which another helper is asked as well; a helper needs a round trip and the
# time until its own connection is open or fails.
HELPER_RESPONSE_SECONDS = 0.45
# Helpers that are asked for one connection, and the time for all of them.
MAX_ASKED = 8
MAX_SECONDS = 0.9
# Time in which a replica must answer a request for its report; it needs no slot for it.
ANSWER_SECONDS = 0.3
# Other gateways that are asked at once for an answer of a replica, and the time after
# which they are given up, as connections without acknowledgements are.  An answer
# counts by its order, not by this time.
ASKED_FOR_ANSWER = 4
ANSWER_ELSEWHERE_SECONDS = UNACKNOWLEDGED_TIMEOUT_MS / 1000
# Helpers that must have failed to reach a replica until it counts as unreachable; the
# first may be cut off without having noticed.
REQUIRED_OPINIONS = 2


class _TunnelLink(Link):
    """A connection through another gateway."""

    is_tunnel = True

    def __init__(self, *, raw: socket.socket, is_wanted: Callable[[], bool]) -> None:
        super().__init__(raw=raw)
        self._is_wanted = is_wanted

    @property
    def is_usable(self) -> bool:
        """Whether the gateway is still isolated and its helper still there."""
        return self._is_wanted()


class TunnelDialer(ObservedDialer):
    """
    Opens connections to replicas, while this gateway is isolated through others.

    Parameters
    ----------
    reachability : Reachability
    helpers : Helpers
    get_peers : callable
        Returns the other gateways.
    clock : Clock
    journal : EventLog
    on_tunnel : callable
        Called with each opened tunnel's helper.
    probe_target : str
        Request target of replicas that answers without a slot.
    open_connection : callable
        Opens a direct TCP connection to an address; raises ``OSError``.
    """

    def __init__(
        self,
        *,
        reachability: Reachability,
        helpers: Helpers,
        get_peers: Callable[[], Iterable[HelperAddress]],
        clock: Clock,
        journal: EventLog,
        on_tunnel: Callable[[InstanceId], None] = lambda _: None,
        probe_target: str = "/",
        open_connection: Callable[[str], socket.socket] = connect_to_replica,
    ) -> None:
        super().__init__(reachability=reachability, open_connection=open_connection)
        self._helpers = helpers
        self._get_peers = get_peers
        self._clock = clock
        self._journal = journal
        self._on_tunnel = on_tunnel
        self._probe_target = probe_target
        self._next_tried = 0
        self._next_asked = 0

    def dial(self, address: str) -> Link:
        """
        Open a connection, directly or through another gateway.

        Raises
        ------
        OSError
            When neither is possible; ``UnreachableReplicaError`` if other gateways
            found that the replica can't be reached.
        """
        was_isolated = self._reachability.is_isolated
        if was_isolated:
            link = self._open_tunnel(address)
            if link is not None:
                return link
        try:
            return super().dial(address)
        except OSError:
            if was_isolated or not self._reachability.is_isolated:
                raise
            link = self._open_tunnel(address)
            if link is None:
                raise
            return link

    def try_replicas(self, addresses: Sequence[str], *, count: int) -> None:
        """
        Send some replicas a request at once, each over a new direct connection.

        If one doesn't answer, while this gateway isn't isolated, other gateways are
        asked whether it answers them.  Returns when all are decided, which may take
        seconds.

        Parameters
        ----------
        addresses : sequence of str
            Addresses of all replicas; those after the last tried ones are tried.
        count : int
            Number of replicas to try.
        """
        if not addresses:
            return
        chosen = [
            addresses[(self._next_tried + offset) % len(addresses)]
            for offset in range(min(count, len(addresses)))
        ]
        self._next_tried += len(chosen)
        gevent.joinall([gevent.spawn(self._try_replica, item) for item in chosen])

    def _try_replica(self, address: str) -> None:
        try:
            probe = self._start_probe(address)
        except OSError:
            return  # the failure was recorded
        try:
            if probe.wait(ANSWER_SECONDS):
                return
            self._reachability.record_unanswered()
            if self._reachability.is_isolated:
                return
            peer = self._find_answered_peer(address, probe)
            # The replica may have paused, or have started again, between the requests.
            if (
                peer is not None
                and self._is_answered_first_at(peer, address)
                and not probe.has_answer
            ):
                self._reachability.record_answered_elsewhere(address)
        finally:
            probe.close()

    def _start_probe(self, address: str) -> Probe:
        """Send a request over a new direct connection; raises ``OSError``."""
        return Probe(
            link=super().dial(address), address=address, target=self._probe_target
        )

    def _find_answered_peer(self, address: str, probe: Probe) -> HelperAddress | None:
        """
        Return another gateway that a replica answers.

        Returns
        -------
        HelperAddress or None
            ``None`` if the replica answers none of those that are asked, or answers the
            request of this gateway meanwhile.
        """
        candidates = self._helpers.list_candidates(self._get_peers())
        first = self._next_asked % max(1, len(candidates))
        asked = [*candidates[first:], *candidates[:first]][:ASKED_FOR_ANSWER]
        self._next_asked += len(asked)
        questions = {
            gevent.spawn(self._is_answered_at, peer, address): peer for peer in asked
        }
        try:
            with time_limit(ANSWER_ELSEWHERE_SECONDS):
                for ended in gevent.iwait([probe.exchange, *questions]):
                    if probe.has_answer:
                        return None
                    if ended in questions and ended.value:
                        return questions[ended]
            return None
        finally:
            gevent.killall(questions)

    def _is_answered_first_at(self, peer: HelperAddress, address: str) -> bool:
        """
        Return whether a replica answers another gateway before this one.

        Both requests start together, and the direct one has the shorter way, so that
        neither slow replicas nor busy machines look like a cut.
        """
        question = gevent.spawn(self._is_answered_at, peer, address)
        try:
            probe = self._start_probe(address)
        except OSError:
            question.kill()
            return False  # the failure was recorded
        try:
            if probe.wait(ANSWER_SECONDS):
                return False
            with time_limit(ANSWER_ELSEWHERE_SECONDS):
                for _ in gevent.iwait([probe.exchange, question]):
                    if probe.has_answer or question.ready():
                        break
            return question.value is True and not probe.has_answer
        finally:
            probe.close()
            question.kill()

    def _is_answered_at(self, peer: HelperAddress, address: str) -> bool:
        """Return whether a replica answers a request through another gateway."""
        try:
            raw = request_tunnel(peer.address, address)
        except UnexpectedDataError:
            return True
        except UnreachableReplicaError:
            return False
        except OSError as error:
            self._record_failure(peer, error)
            return False
        probe = Probe(link=Link(raw=raw), address=address, target=self._probe_target)
        try:
            has_answer = probe.wait(ANSWER_ELSEWHERE_SECONDS)
        finally:
            probe.close()
        if has_answer:
            self._helpers.record_opened(peer.instance)
        return has_answer

    def _record_failure(self, peer: HelperAddress, error: OSError) -> None:
        """Record that another gateway opened no tunnel."""
        self._helpers.record_refusal(peer.instance)
        self._journal.event("tunnel-refused", helper=peer.instance, cause=str(error))

    def open_elsewhere(self, address: str) -> Link | None:
        """
        Open a connection through another gateway, whether or not this one is isolated.

        Raises
        ------
        UnreachableReplicaError
            If other gateways can't reach the replica.
        OSError
            If it sends data before a request.

        Returns
        -------
        Link or None
            ``None`` if no other gateway opens tunnels at present.
        """
        return self._open_tunnel(address)

    def _record_silence(self, peer: HelperAddress) -> None:
        """Record that another gateway has not responded in time, and may yet."""
        self._helpers.record_silence(peer.instance)
        self._journal.event("tunnel-refused", helper=peer.instance, cause="no response")

    def is_reached_by_others(self, address: str) -> bool | None:
        """
        Return whether another gateway can connect to a replica.

        One that pauses accepts connections without an answer, and has not crashed.

        Returns
        -------
        bool or None
            ``None`` if no other gateway could tell.
        """
        try:
            link = self._open_tunnel(address)
        except UnreachableReplicaError:
            return False
        except UnexpectedDataError:
            return True
        if link is None:
            return None
        link.raw.close()
        return True

    def _open_tunnel(self, address: str) -> Link | None:
        """
        Open a connection through one of the other gateways.

        Returns
        -------
        Link or None
            ``None`` if none of them opens tunnels at present.

        Raises
        ------
        UnreachableReplicaError
            If they can't reach the replica either.
        OSError
            If it sends data before a request.
        """
        failures: list[str] = []
        with closing(self._ask_in_turn(address)) as requests:
            for request in requests:
                peer = request.peer
                try:
                    raw = request.take_connection()
                except UnreachableReplicaError as error:
                    failures.append(f"{peer.instance}: {error}")
                    if len(failures) >= REQUIRED_OPINIONS:
                        break
                except UnexpectedDataError:
                    self._helpers.record_opened(peer.instance)
                    raise
                except OSError as error:
                    self._record_failure(peer, error)
                else:
                    self._helpers.record_opened(peer.instance)
                    self._on_tunnel(peer.instance)
                    return self._make_link(raw, peer)
        if failures:
            raise UnreachableReplicaError("; ".join(failures))
        return None

    def _ask_in_turn(self, address: str) -> Generator[TunnelRequest]:
        """
        Ask other gateways for a connection to a replica.

        Another one is asked when a request has ended, or isn't answered in time; those
        that were asked before may still answer.

        Yields
        ------
        TunnelRequest
            Each request that has ended.
        """
        ends_at = self._clock.now() + MAX_SECONDS
        candidates = self._helpers.list_candidates(self._get_peers())
        waiting = deque(candidates[:MAX_ASKED])
        requests: list[TunnelRequest] = []
        try:
            while waiting or requests:
                rest = ends_at - self._clock.now()
                if rest <= 0:
                    break
                if waiting:
                    peer = waiting.popleft()
                    requests.append(TunnelRequest(peer=peer, address=address))
                seconds = min(rest, HELPER_RESPONSE_SECONDS) if waiting else rest
                TunnelRequest.wait_for_one(requests, seconds=seconds)
                ended = next((item for item in requests if item.has_ended), None)
                if ended is not None:
                    requests.remove(ended)
                    yield ended
                    continue
                self._record_silence(requests[-1].peer)
                if not waiting:
                    break
        finally:
            for request in requests:
                request.close()

    def _make_link(self, raw: socket.socket, helper: HelperAddress) -> Link:
        def is_wanted() -> bool:
            return self._reachability.is_isolated and any(
                peer.instance == helper.instance for peer in self._get_peers()
            )

        return _TunnelLink(raw=raw, is_wanted=is_wanted)
