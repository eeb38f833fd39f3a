"""
Entry
=====

The state of one entry process: its configuration, the known instances, its pools and
the exchanges in progress.
"""

import random
from collections.abc import Iterable
from functools import partial

import gevent

from damasklead import logs
from damasklead.audit import AuditBuffer, AuditEvent
from damasklead.configuration import PoolScope, Service, ServiceKind
from damasklead.configuration_sources import ConfigurationSources
from damasklead.cost_model import CostModel
from damasklead.daemon.claim_keeper import ClaimKeeper
from damasklead.daemon.crashes import CrashDetector
from damasklead.daemon.exchange import Exchange, ExchangeHost
from damasklead.daemon.metrics import Metrics
from damasklead.daemon.pools import Pool
from damasklead.daemon.rate_limit_keeper import RateLimitKeeper
from damasklead.daemon.tunnels import EntryTunnels
from damasklead.descriptor_budget import make_descriptor_budget
from damasklead.dispatching import PoolDispatcher
from damasklead.gossip import GossipBuffer
from damasklead.ids import (
    AttemptId,
    DataCentre,
    Incarnation,
    InstanceId,
    PoolId,
    RequestId,
    ServiceName,
)
from damasklead.loop import LoopClock
from damasklead.manifest import ConfigurationHolder
from damasklead.membership import Member, Membership
from damasklead.memory_budget import BODY_MEMORY_BYTES, HeldKind, MemoryAccount
from damasklead.memory_shortage import compute_memory_limit
from damasklead.messages import (
    CrashNotice,
    GossipItem,
    LeavingNotice,
    QuarantineNotice,
    ReleaseNotice,
    SoundPartNotice,
)
from damasklead.process_memory import read_resident_bytes
from damasklead.protocol import Steps, T, run
from damasklead.quarantine import Quarantine
from damasklead.replicas import ReplicaInfo
from damasklead.requests import (
    Action,
    Cancel,
    Failure,
    Finish,
    Outcome,
    Reason,
    Refuse,
    Start,
)
from damasklead.settings import Settings
from damasklead.sharing import choose_coordinators, compute_share_interval
from damasklead.stall_meter import StallMeter
from damasklead.stores import Platform
from damasklead.stores.base import Put
from damasklead.upstreams import UPSTREAMS, ConnectionPool, UpstreamError
from damasklead.util import new_id, stable_hash

__all__ = ["ENTRY_SERVICE", "Entry"]

ENTRY_SERVICE = ServiceName("damasklead")

BYTES_PER_MEGABYTE = 1_000_000
# Part of the instance's memory from which the limit is derived.  Without the rest, what
# the account doesn't see let crowds of trickling streams reach up to 102 % of it.
COUNTED_FRACTION = 0.95
# Share intervals that gossip may take to reach all entries.
PROPAGATION_INTERVALS = 2.5
# Share intervals without a grant after which a coordinator is suspected.
GRANT_TIMEOUT_INTERVALS = 4
# Time for which a suspected coordinator is skipped unless it sends a message.
SUSPICION_TTL_SECONDS = 60.0


class Entry(ExchangeHost):
    """
    The state that the tasks and listeners of one process share.

    Parameters
    ----------
    settings : Settings
        Settings of the entry.
    platform : Platform
        Table service, object store and instance list.
    clock : LoopClock
        Clock of the process.

    Attributes
    ----------
    incarnation : int
        Start of the process in milliseconds since 1970, which distinguishes it from
        earlier processes of the same instance.
    is_stopping : bool
        Whether a graceful stop has begun.
    configuration_sources : ConfigurationSources
        The other entries from which the configuration can be had.
    generation : int
        Current generation of claims, by which expired claims are found.
    reported_version : int
        Configuration version that was last reported to the platform, 0 for none.
    memory : MemoryAccount
        What is held for callers; its limit is infinite without ``memory_megabytes``.
    descriptors : DescriptorBudget
        Largest numbers of connections from callers and to upstreams.
    tunnels : EntryTunnels or None
        Connections to upstreams through other entries, ``None`` without an address for
        tunnels.
    platform_last_read_at : float
        Clock reading in seconds of the last successful read of the instance list.
    list_version : str
        Version of the instance list that was read last, empty before the first one.
    peer_list_version : str
        Version of the instance list whose members another entry has sent; empty if the
        list was read from the platform since.
    is_list_readable : bool
        Whether the last read of the instance list succeeded.
    """

    def __init__(
        self, *, settings: Settings, platform: Platform, clock: LoopClock
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.instance = InstanceId(settings.instance)
        self.incarnation = Incarnation(int(clock.get_unix_time() * 1000))
        self.configuration_holder = ConfigurationHolder()
        self.membership = Membership(clock=clock)
        self.gossip = GossipBuffer(clock=clock)
        self.rate_limits = RateLimitKeeper(
            clock=clock,
            instance=self.instance,
            membership=self.membership,
            gossip=self.gossip,
        )
        self.quarantine = Quarantine(clock=clock)
        self.audit = AuditBuffer()
        self.crash_detector = CrashDetector(
            instance=self.instance,
            quarantine=self.quarantine,
            gossip=self.gossip,
            record_change=self.record_change,
            may_be_alive=self._may_be_alive,
        )
        self.metrics = Metrics()
        self.claims = ClaimKeeper(run_protocol=self.run_protocol, clock=clock)
        self.memory = MemoryAccount(clock=clock)
        self.descriptors = make_descriptor_budget(settings.max_descriptors)
        body_limit = max(BODY_MEMORY_BYTES, settings.limits.answer_bytes)
        self.tunnels = self._make_tunnels(body_limit)
        self.connections = (
            self.tunnels.connections
            if self.tunnels is not None
            else ConnectionPool(
                max_connections=self.descriptors.upstream_connections,
                body_limit=body_limit,
            )
        )
        self.stalls = StallMeter(clock=clock)
        self.connections.get_stall = self.stalls.get_stall
        self.update_memory_limit()
        self.pools: dict[ServiceName, Pool] = {}
        self.is_stopping = False
        self.generation = 0
        self.reported_version = 0
        self._costs = CostModel()
        self._random = random.Random(
            stable_hash(settings.instance, str(self.incarnation))
        )
        self.configuration_sources = ConfigurationSources(
            clock=clock, source=self._random
        )
        self._exchanges: dict[RequestId, Exchange] = {}
        self._attempt_number = 0
        self._suspected_until: dict[InstanceId, float] = {}
        self.platform_last_read_at = clock.now()
        self.list_version = ""
        self.peer_list_version = ""
        self.is_list_readable = True
        self.metrics.limited_upstreams.set_function(
            lambda: self.rate_limits.limited_count
        )
        for kind in HeldKind:
            self.metrics.held_bytes.labels(kind.value).set_function(
                partial(self.memory.used_by_kind.__getitem__, kind)
            )
        self.metrics.platform_age.set_function(
            lambda: clock.now() - self.platform_last_read_at
        )

    @property
    def exchanges(self) -> dict[RequestId, Exchange]:
        """Exchanges in progress by request id."""
        return self._exchanges

    @property
    def is_ready(self) -> bool:
        """Whether the entry has a configuration and is not stopping."""
        return (
            self.configuration_holder.configuration is not None and not self.is_stopping
        )

    @property
    def may_be_outdated(self) -> bool:
        """Whether another entry has a newer configuration, as far as is known."""
        sources = self.configuration_sources
        return sources.is_starting or sources.is_outdated(
            self.configuration_holder.version
        )

    def run_protocol(self, steps: Steps[T]) -> T:
        """Run a protocol against the platform and return its result."""
        return run(steps, self.platform)

    def update_memory_limit(self) -> None:
        """Derive the limit on what is held for callers from the instance's memory."""
        if self.settings.memory_megabytes is None:
            return
        self.memory.limit_bytes = compute_memory_limit(
            memory_bytes=COUNTED_FRACTION
            * self.settings.memory_megabytes
            * BYTES_PER_MEGABYTE,
            resident_bytes=read_resident_bytes(),
            peak_held_bytes=self.memory.peak_bytes,
        )

    def record_change(
        self, action: str, subject: str, *writes: Put, before: str = "", after: str = ""
    ) -> None:
        """
        Log a change and add it to the audit trail.

        Parameters
        ----------
        action : str
            Name of the action.
        subject : str
            The instance, fingerprint or other object that is changed.
        *writes : Put
            Rows that are written in the same commit as the audit event.
        before, after : str
            State before and after the change, in words.
        """
        logs.event("change", action=action, subject=subject, before=before, after=after)
        event = AuditEvent(
            id=new_id(),
            at=self.clock.get_unix_time(),
            who=self.instance,
            action=action,
            subject=subject,
            before=before,
            after=after,
        )
        self.audit.add_event(event, *writes)

    def activate_configuration(self, files: dict[str, str], *, version: int) -> bool:
        """
        Activate a configuration if it is newer than the active one.

        Returns whether it was activated.
        """
        before = self.configuration_holder.version
        if not self.configuration_holder.activate_if_newer(files, version=version):
            return False
        logs.event("configuration", before=before, version=version)
        self.metrics.configuration_version.set(version)
        self._update_pools()
        return True

    def update_members(self) -> None:
        """Update the coordinators and replicas of the pools from the membership."""
        entries = self.find_live_entries()
        self.quarantine.set_propagation_time(
            PROPAGATION_INTERVALS * compute_share_interval(len(entries))
        )
        trusted = [
            entry for entry in entries if entry.instance not in self._suspected_until
        ]
        for scope in PoolScope:
            peers = [
                item.instance for item in trusted if self._is_in_scope(item, scope)
            ]
            self._update_scope(scope, peers)

    def check_coordinators(self) -> None:
        """
        Suspect coordinators that have sent no grant for some share intervals.

        The pools of a suspected coordinator go to another entry. This matters since the
        instance list may contain an entry long after it has stopped.
        """
        now = self.clock.now()
        grant_timeout = GRANT_TIMEOUT_INTERVALS * compute_share_interval(
            len(self.find_live_entries())
        )
        before = set(self._suspected_until)
        for pool in self.pools.values():
            is_own = pool.coordinator in (None, self.instance)
            if is_own or pool.dispatcher.share.has_grant:
                pool.granted_at = now
            elif now - pool.granted_at > grant_timeout:
                assert pool.coordinator is not None
                self._suspected_until[pool.coordinator] = now + SUSPICION_TTL_SECONDS
        for instance in [
            item for item, until in self._suspected_until.items() if until < now
        ]:
            del self._suspected_until[instance]
        if set(self._suspected_until) != before:
            logs.event(
                "silent-coordinators", entries=", ".join(sorted(self._suspected_until))
            )
            self.update_members()

    def record_contact(self, instance: InstanceId) -> None:
        """Record a message from a peer, which ends a suspicion."""
        if self._suspected_until.pop(instance, None) is not None:
            self.update_members()

    def find_live_entries(self) -> list[Member]:
        """Return the live entries, this one included."""
        return self.membership.find_live_members(ENTRY_SERVICE)

    def find_pool_members(self, service: Service) -> list[Member]:
        """
        Return the upstreams from which this entry serves a service.

        These are the live ones in the pool's data centre or region. If there are none,
        they are those of one other data centre, within the region if possible.
        """
        members = self.membership.find_live_members(service.name)
        local_members = [
            member
            for member in members
            if self._is_in_scope(member, service.pool_scope)
        ]
        if local_members:
            return local_members
        region_members = [
            member for member in members if member.region == self.settings.region
        ]
        candidates = region_members or members
        data_centres = {member.data_centre for member in candidates}
        chosen_data_centre = max(
            data_centres,
            key=lambda item: stable_hash(self.make_pool_id(service), item),
            default="",
        )
        return [
            member for member in candidates if member.data_centre == chosen_data_centre
        ]

    def make_pool_id(self, service: Service) -> PoolId:
        """Return the id of the pool: the service and its data centre or region."""
        in_region = service.pool_scope is PoolScope.REGION
        location = self.settings.region if in_region else self.settings.data_centre
        return PoolId(f"{service.name}@{location}")

    def get_member(self, instance: InstanceId) -> Member | None:
        """Return what is known of an instance, ``None`` when it is unknown."""
        return self.membership.get_member(instance)

    def get_address(self, instance: InstanceId) -> str | None:
        """Return an instance's address, ``None`` when the instance is unknown."""
        member = self.get_member(instance)
        return None if member is None else member.address

    def mark_leaving(
        self, instance: InstanceId, incarnation: Incarnation, *, why: str
    ) -> None:
        """
        Mark an upstream or entry as leaving, and spread this by gossip if it is new.

        Parameters
        ----------
        instance, incarnation
            The leaving process.
        why : str
            Reason for the audit trail.
        """
        if self.membership.mark_leaving(instance, incarnation):
            self.gossip.add_item(
                LeavingNotice(instance=instance, incarnation=incarnation)
            )
            self.record_change(
                "leaving", instance, before="live", after=f"leaving: {why}"
            )
            self.update_members()

    def apply_gossip(self, items: Iterable[GossipItem]) -> None:
        """Apply the items of a peer's gossip that this entry has not seen yet."""
        for item in items:
            if not self.gossip.add_item(item):
                continue
            match item:
                case LeavingNotice():
                    if self.membership.mark_leaving(item.instance, item.incarnation):
                        self.update_members()
                case CrashNotice():
                    self.crash_detector.record_crash_notice(item)
                case QuarantineNotice():
                    self.quarantine.add_fingerprint(item.fingerprint)
                case SoundPartNotice():
                    self.quarantine.record_sound_parts([item.part])
                case ReleaseNotice():
                    self.quarantine.release_fingerprint(
                        item.fingerprint, number=item.number
                    )

    def submit_exchange(self, pool: Pool, exchange: Exchange) -> None:
        """Submit an exchange's request to the pool's dispatcher."""
        request = exchange.request
        self._exchanges[request.id] = exchange
        actions = pool.dispatcher.submit_request(
            request, is_preemptable=exchange.is_preemptable
        )
        self.apply_actions(pool, actions)

    def remove_exchange(
        self, pool: Pool, exchange: Exchange, *, is_complete: bool
    ) -> None:
        """
        Remove an exchange that has ended; its request is cancelled unless the response
        is complete.
        """
        if self._exchanges.pop(exchange.request.id, None) is None:
            return
        if not is_complete:
            request = exchange.request
            name = request.request_class.name
            self.metrics.wasted_tokens.labels(name).inc(request.generated_tokens)
            actions = pool.dispatcher.cancel_request(exchange.request.id)
            for action in actions:
                if isinstance(action, Cancel):
                    exchange.handle_action(action)
            self.apply_actions(pool, actions)

    def handle_caller_disconnect(self, exchange: Exchange) -> None:
        """Cancel a request whose caller disconnected before the response began."""
        refuse = Refuse(
            request=exchange.request, reason=Reason.CALLER_GONE, outcome=Outcome.UNKNOWN
        )
        actions = exchange.pool.dispatcher.cancel_request(exchange.request.id)
        self.apply_actions(exchange.pool, actions)
        exchange.handle_action(refuse)

    def end_exchange(self, exchange: Exchange) -> None:
        """Give a request its final answer, since this entry stops."""
        if exchange.was_attempted:
            reason, outcome = Reason.STOPPING, Outcome.UNKNOWN
        else:
            reason, outcome = Reason.WAITED_TOO_LONG, Outcome.NOT_RUN
        actions = exchange.pool.dispatcher.cancel_request(exchange.request.id)
        self.apply_actions(exchange.pool, actions)
        exchange.handle_action(
            Refuse(request=exchange.request, reason=reason, outcome=outcome)
        )

    def cancel_request(self, pool: Pool, exchange: Exchange) -> None:
        """Cancel an exchange's request before its started attempt is sent."""
        self.apply_actions(pool, pool.dispatcher.cancel_request(exchange.request.id))

    def apply_actions(self, pool: Pool, actions: list[Action]) -> None:
        """
        Pass a dispatcher's actions to the exchanges and count them.

        An attempt whose exchange has been removed is cancelled.
        """
        for action in actions:
            exchange = self._exchanges.get(action.request.id)
            self._count_action(action)
            if exchange is not None:
                exchange.handle_action(action)
            elif isinstance(action, Start):
                cancel_actions = pool.dispatcher.cancel_request(action.request.id)
                gevent.spawn(self.apply_actions, pool, cancel_actions)

    def complete_attempt(
        self, pool: Pool, start: Start, *, is_successful: bool
    ) -> None:
        """Report to the pool's dispatcher that an attempt's response is complete."""
        self.metrics.attempts.labels(pool.service.name, "finished").inc()
        if is_successful:
            self.crash_detector.record_success(start.request)
        self.apply_actions(pool, pool.dispatcher.complete_attempt(start.attempt))

    def fail_attempt(self, pool: Pool, start: Start, error: UpstreamError) -> None:
        """
        Log a failed attempt and report it to the pool's dispatcher.

        The upstream is marked as leaving when its response indicates this, and a broken
        connection to an engine is examined as a possible crash.
        """
        logs.warning(
            "attempt-failed",
            attempt=start.attempt,
            request=start.request.id,
            upstream=start.replica,
            failure=error.failure.value,
            detail=str(error),
        )
        self.metrics.attempts.labels(pool.service.name, error.failure.value).inc()
        if error.failure is Failure.REFUSED:
            self.record_rate_limit(start, error.rate_limit, is_success=False)
        member = self.membership.get_member(start.replica)
        if error.leaving and member is not None:
            self.mark_leaving(
                member.instance, member.incarnation, why="it refused work"
            )
        if error.failure is Failure.BROKEN and pool.service.kind is ServiceKind.ENGINE:
            self.crash_detector.record_broken_connection(pool, start, member)
        self.apply_actions(
            pool, pool.dispatcher.fail_attempt(start.attempt, error.failure)
        )

    def record_rate_limit(
        self, start: Start, limit: float | None, *, is_success: bool
    ) -> None:
        """Record the limit that an upstream's response names, ``None`` without one."""
        self.rate_limits.record_response(start.replica, limit, is_success=is_success)

    def record_first_event(self, exchange: Exchange) -> None:
        """Record the time from arrival to the first event in the metrics."""
        latency = self.clock.now() - exchange.request.arrival
        self.metrics.first_token.labels(exchange.request.request_class.name).observe(
            latency
        )

    def cancel_attempt(self, pool: Pool, cancel: Cancel) -> None:
        """Cancel an attempt at its upstream."""
        address = self.get_address(cancel.replica)
        if address is not None:
            pool.upstream.cancel_attempt(address, cancel.attempt)

    def process_timeouts(self) -> None:
        """Quarantine culprits of crashes and process the timeouts of all pools."""
        self.crash_detector.quarantine_culprits()
        for pool in self.pools.values():
            self.apply_actions(pool, pool.dispatcher.process_timeouts())

    def new_attempt_id(self) -> AttemptId:
        """Return an id that is unique among the attempts of all entries."""
        self._attempt_number += 1
        return AttemptId(
            f"{self.instance}-{self.incarnation:x}-{self._attempt_number:x}"
        )

    def _make_tunnels(self, body_limit: int) -> EntryTunnels | None:
        if self.settings.listen.tunnels is None:
            return None
        return EntryTunnels(
            settings=self.settings,
            entry_service=ENTRY_SERVICE,
            membership=self.membership,
            list_upstreams=lambda: [
                member
                for pool in self.pools.values()
                for member in self.find_pool_members(pool.service)
            ],
            list_services=lambda: list(self.pools),
            is_stopping=lambda: self.is_stopping,
            memory=self.memory,
            descriptors=self.descriptors,
            body_limit=body_limit,
            metrics=self.metrics,
            clock=self.clock,
        )

    def _may_be_alive(self, address: str) -> bool | None:
        """
        Return whether an upstream that can't be reached may still be alive.

        ``None`` if no other entry can be asked.
        """
        return None if self.tunnels is None else self.tunnels.may_be_alive(address)

    def _update_pools(self) -> None:
        """
        Add, update and remove pools after a change of the configuration.

        The pool of a removed service stays while it has running attempts, until a later
        change of the configuration.
        """
        configuration = self.configuration_holder.configuration
        assert configuration is not None
        for name, service in configuration.services.items():
            pool = self.pools.get(ServiceName(name))
            if pool is None:
                self.pools[ServiceName(name)] = self._make_pool(service)
            else:
                pool.service = service
                pool.dispatcher.update_service(service)
        for name in list(self.pools):
            if (
                name not in configuration.services
                and not self.pools[name].dispatcher.attempts
            ):
                del self.pools[name]
        self.update_members()

    def _update_scope(self, scope: PoolScope, peers: list[InstanceId]) -> None:
        """Update the coordinators and replicas of the pools of one scope."""
        pools = [
            pool for pool in self.pools.values() if pool.service.pool_scope is scope
        ]
        chosen = choose_coordinators((pool.dispatcher.pool for pool in pools), peers)
        for pool in pools:
            coordinator = chosen.get(pool.dispatcher.pool)
            if coordinator != pool.coordinator:
                pool.granted_at = self.clock.now()
            pool.coordinator = coordinator
            self.rate_limits.set_entries(pool.service.name, peers)
            replicas = [
                ReplicaInfo(
                    instance=member.instance,
                    data_centre=member.data_centre,
                    version=member.version,
                )
                for member in self.find_pool_members(pool.service)
            ]
            self.apply_actions(
                pool, pool.dispatcher.set_replicas(replicas, entry_count=len(peers))
            )

    def _make_pool(self, service: Service) -> Pool:
        dispatcher = PoolDispatcher(
            pool=self.make_pool_id(service),
            service=service,
            clock=self.clock,
            data_centre=DataCentre(self.settings.data_centre),
            random_source=self._random,
            costs=self._costs,
            quarantine=self.quarantine,
            new_attempt_id=self.new_attempt_id,
            get_request_rate=partial(self.rate_limits.get_request_rate, service.name),
        )
        upstream = UPSTREAMS[service.kind.value](pool=self.connections)
        return Pool(service=service, dispatcher=dispatcher, upstream=upstream)

    def _is_in_scope(self, member: Member, scope: PoolScope) -> bool:
        if scope is PoolScope.DATA_CENTRE:
            return member.data_centre == self.settings.data_centre
        return member.region == self.settings.region

    def _count_action(self, action: Action) -> None:
        """Record an action in the metrics."""
        name = action.request.request_class.name
        if isinstance(action, Refuse):
            self.metrics.refusals.labels(name, action.reason.value).inc()
            self.metrics.requests.labels(name, action.outcome.value).inc()
        elif isinstance(action, Finish):
            self._count_completion(action)
        elif isinstance(action, Start) and action.request.start_count == 1:
            queue_seconds = self.clock.now() - action.request.arrival
            self.metrics.queue_wait.labels(name).observe(queue_seconds)

    def _count_completion(self, finish: Finish) -> None:
        request_class = finish.request.request_class
        name = request_class.name
        self.metrics.requests.labels(name, Outcome.ANSWERED.value).inc()
        response_seconds = self.clock.now() - finish.request.arrival
        if (
            request_class.response_target is None
            or response_seconds <= request_class.response_target
        ):
            self.metrics.on_time.labels(name).inc()
            self.metrics.good_tokens.labels(name).inc(finish.tokens)
