"""
Entry
=====

The state of one entry process: configuration, members, pools and the exchanges in
progress.
"""

import random
from collections.abc import Iterable

import gevent

from damasklead import logs
from damasklead.audit import AuditBuffer, AuditEvent
from damasklead.configuration import PoolScope, Service, ServiceKind
from damasklead.daemon.claimkeeper import ClaimKeeper
from damasklead.daemon.crashes import CrashDetector
from damasklead.daemon.exchange import Exchange, ExchangeHost
from damasklead.daemon.metrics import Metrics
from damasklead.daemon.pools import Pool
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
from damasklead.learning import CostModel
from damasklead.loop import LoopClock
from damasklead.manifest import ConfigurationHolder
from damasklead.membership import Member, Membership
from damasklead.messages import (
    CrashNotice,
    GossipItem,
    LeavingNotice,
    QuarantineNotice,
    ReleaseNotice,
)
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
from damasklead.stores import Platform
from damasklead.stores.base import Put
from damasklead.upstreams import UPSTREAMS, ConnectionPool, UpstreamError
from damasklead.util import new_id, stable_hash

__all__ = ["ENTRY_SERVICE", "Entry"]

ENTRY_SERVICE = ServiceName("damasklead")

PROPAGATION_INTERVALS = 2.5  # share intervals that gossip may take to reach all entries
GRANT_TIMEOUT_INTERVALS = (
    4  # share intervals without a grant after which it is passed over
)
SUSPICION_TTL_SECONDS = 60.0  # for which it is passed over unless it is heard


class Entry(ExchangeHost):
    """
    The state that the tasks and listeners of one process share.

    Parameters
    ----------
    settings : Settings
    platform : Platform
    clock : LoopClock
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
        self.quarantine = Quarantine(clock=clock)
        self.audit = AuditBuffer()
        self.crash_detector = CrashDetector(
            instance=self.instance,
            quarantine=self.quarantine,
            gossip=self.gossip,
            record_change=self.record_change,
        )
        self.metrics = Metrics()
        self.claims = ClaimKeeper(run_protocol=self.run_protocol, clock=clock)
        self.connections = ConnectionPool()
        self.pools: dict[ServiceName, Pool] = {}
        self.is_stopping = False
        self.generation = 0
        self.reported_version = 0
        self._costs = CostModel()
        self._random = random.Random(
            stable_hash(settings.instance, str(self.incarnation))
        )
        self._exchanges: dict[RequestId, Exchange] = {}
        self._attempt_number = 0
        self._suspected_until: dict[InstanceId, float] = {}
        self.platform_last_read_at = clock.now()
        self.metrics.platform_age.set_function(
            lambda: clock.now() - self.platform_last_read_at
        )

    @property
    def exchanges(self) -> dict[RequestId, Exchange]:
        """The requests in progress."""
        return self._exchanges

    @property
    def is_ready(self) -> bool:
        """Whether the entry can take requests."""
        return (
            self.configuration_holder.configuration is not None and not self.is_stopping
        )

    def run_protocol(self, steps: Steps[T]) -> T:
        """Drive a protocol against the platform."""
        return run(steps, self.platform)

    def record_change(
        self, action: str, subject: str, *writes: Put, before: str = "", after: str = ""
    ) -> None:
        """Add a change to the audit trail, with the writes that belong to it."""
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
        """Put a configuration into force if it is newer than the present one."""
        before = self.configuration_holder.version
        if not self.configuration_holder.activate_if_newer(files, version=version):
            return False
        logs.event("configuration", before=before, version=version)
        self.metrics.configuration_version.set(version)
        self._update_pools()
        return True

    def update_members(self) -> None:
        """Let the pools see the present members."""
        entries = self.find_live_entries()
        self.quarantine.set_propagation_time(
            PROPAGATION_INTERVALS * compute_share_interval(len(entries))
        )
        heard = [
            entry for entry in entries if entry.instance not in self._suspected_until
        ]
        for scope in PoolScope:
            peers = [item.instance for item in heard if self._is_in_scope(item, scope)]
            self._update_scope(scope, peers)

    def check_coordinators(self) -> None:
        """
        Pass over coordinators that have sent no grant for some intervals.

        The list may show an entry long after it has gone.
        """
        now = self.clock.now()
        patience = GRANT_TIMEOUT_INTERVALS * compute_share_interval(
            len(self.find_live_entries())
        )
        before = set(self._suspected_until)
        for pool in self.pools.values():
            own = pool.coordinator in (None, self.instance)
            if own or pool.dispatcher.share.has_grant:
                pool.granted_at = now
            elif now - pool.granted_at > patience:
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
        """Take in that a peer has sent something."""
        if self._suspected_until.pop(instance, None) is not None:
            self.update_members()

    def find_live_entries(self) -> list[Member]:
        """Return the live entries, this one included."""
        return self.membership.find_live_members(ENTRY_SERVICE)

    def find_pool_members(self, service: Service) -> list[Member]:
        """
        Return the upstreams in this entry's scope, or the nearest others when it has
        none.
        """
        members = self.membership.find_live_members(service.name)
        own = [
            member
            for member in members
            if self._is_in_scope(member, service.pool_scope)
        ]
        if own:
            return own
        region = [member for member in members if member.region == self.settings.region]
        candidates = region or members
        centres = {member.data_centre for member in candidates}
        nearest = max(
            centres,
            key=lambda item: stable_hash(self.make_pool_id(service), item),
            default="",
        )
        return [member for member in candidates if member.data_centre == nearest]

    def make_pool_id(self, service: Service) -> PoolId:
        """Return the id of the pool from which this entry serves a service."""
        in_region = service.pool_scope is PoolScope.REGION
        place = self.settings.region if in_region else self.settings.data_centre
        return PoolId(f"{service.name}@{place}")

    def get_address(self, instance: InstanceId) -> str | None:
        """Return an instance's address."""
        member = self.membership.get_member(instance)
        return None if member is None else member.address

    def mark_leaving(
        self, instance: InstanceId, incarnation: Incarnation, *, why: str
    ) -> None:
        """Take in that an upstream or entry is leaving, and tell the others."""
        if self.membership.mark_leaving(instance, incarnation):
            self.gossip.add_item(
                LeavingNotice(instance=instance, incarnation=incarnation)
            )
            self.record_change(
                "leaving", instance, before="live", after=f"leaving: {why}"
            )
            self.update_members()

    def apply_gossip(self, items: Iterable[GossipItem]) -> None:
        """Take in gossip from a peer."""
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
                case ReleaseNotice():
                    self.quarantine.release_fingerprint(
                        item.fingerprint, number=item.number
                    )

    def submit_exchange(self, pool: Pool, exchange: Exchange) -> None:
        """Let the pool's dispatcher take in an exchange's request."""
        request = exchange.request
        self._exchanges[request.id] = exchange
        actions = pool.dispatcher.submit_request(
            request, is_preemptable=exchange.is_preemptable
        )
        self.apply_actions(pool, actions)

    def remove_exchange(
        self, pool: Pool, exchange: Exchange, *, is_complete: bool
    ) -> None:
        """Drop an exchange whose caller has its final answer or has gone."""
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
        """Give up a request whose caller has gone."""
        refuse = Refuse(
            request=exchange.request, reason=Reason.CALLER_GONE, outcome=Outcome.UNKNOWN
        )
        actions = exchange.pool.dispatcher.cancel_request(exchange.request.id)
        self.apply_actions(exchange.pool, actions)
        exchange.handle_action(refuse)

    def cancel_request(self, pool: Pool, exchange: Exchange) -> None:
        """Take a request back whose attempt is not to be sent."""
        self.apply_actions(pool, pool.dispatcher.cancel_request(exchange.request.id))

    def apply_actions(self, pool: Pool, actions: list[Action]) -> None:
        """Carry out a dispatcher's actions."""
        for action in actions:
            exchange = self._exchanges.get(action.request.id)
            self._count_action(action)
            if exchange is not None:
                exchange.handle_action(action)
            elif isinstance(action, Start):
                late = pool.dispatcher.cancel_request(action.request.id)
                gevent.spawn(self.apply_actions, pool, late)

    def complete_attempt(self, pool: Pool, exchange: Exchange, start: Start) -> None:
        """Take in that an attempt's answer is whole."""
        self.metrics.attempts.labels(pool.service.name, "finished").inc()
        self.apply_actions(pool, pool.dispatcher.complete_attempt(start.attempt))

    def fail_attempt(self, pool: Pool, start: Start, error: UpstreamError) -> None:
        """Take in that an attempt failed."""
        logs.warning(
            "attempt-failed",
            attempt=start.attempt,
            request=start.request.id,
            upstream=start.replica,
            failure=error.failure.value,
            detail=str(error),
        )
        self.metrics.attempts.labels(pool.service.name, error.failure.value).inc()
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

    def record_first_event(self, exchange: Exchange) -> None:
        """Count the time to a request's first event."""
        waited = self.clock.now() - exchange.request.arrival
        self.metrics.first_token.labels(exchange.request.request_class.name).observe(
            waited
        )

    def cancel_attempt(self, pool: Pool, cancel: Cancel) -> None:
        """Tell an upstream that an attempt's answer is not wanted any more."""
        address = self.get_address(cancel.replica)
        if address is not None:
            pool.upstream.cancel_attempt(address, cancel.attempt)

    def process_timeouts(self) -> None:
        """Let time pass in all pools."""
        self.crash_detector.quarantine_culprits()
        for pool in self.pools.values():
            self.apply_actions(pool, pool.dispatcher.process_timeouts())

    def new_attempt_id(self) -> AttemptId:
        """Return an id that no other attempt has."""
        self._attempt_number += 1
        return AttemptId(
            f"{self.instance}-{self.incarnation:x}-{self._attempt_number:x}"
        )

    def _update_pools(self) -> None:
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
        """Let the pools of one scope see their coordinators and upstreams."""
        pools = [
            pool for pool in self.pools.values() if pool.service.pool_scope is scope
        ]
        chosen = choose_coordinators((pool.dispatcher.pool for pool in pools), peers)
        for pool in pools:
            coordinator = chosen.get(pool.dispatcher.pool)
            if coordinator != pool.coordinator:
                pool.granted_at = self.clock.now()
            pool.coordinator = coordinator
            infos = [
                ReplicaInfo(instance=member.instance, data_centre=member.data_centre)
                for member in self.find_pool_members(pool.service)
            ]
            self.apply_actions(
                pool, pool.dispatcher.set_replicas(infos, entry_count=len(peers))
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
        )
        upstream = UPSTREAMS[service.kind.value](pool=self.connections)
        return Pool(service=service, dispatcher=dispatcher, upstream=upstream)

    def _is_in_scope(self, member: Member, scope: PoolScope) -> bool:
        if scope is PoolScope.DATA_CENTRE:
            return member.data_centre == self.settings.data_centre
        return member.region == self.settings.region

    def _count_action(self, action: Action) -> None:
        name = action.request.request_class.name
        if isinstance(action, Refuse):
            self.metrics.refusals.labels(name, action.reason.value).inc()
            self.metrics.requests.labels(name, action.outcome.value).inc()
        elif isinstance(action, Finish):
            self._count_completion(action)
        elif isinstance(action, Start) and action.request.start_count == 1:
            waited = self.clock.now() - action.request.arrival
            self.metrics.queue_wait.labels(name).observe(waited)

    def _count_completion(self, finish: Finish) -> None:
        request_class = finish.request.request_class
        name = request_class.name
        self.metrics.requests.labels(name, Outcome.ANSWERED.value).inc()
        took = self.clock.now() - finish.request.arrival
        if (
            request_class.response_target is None
            or took <= request_class.response_target
        ):
            self.metrics.on_time.labels(name).inc()
            self.metrics.good_tokens.labels(name).inc(finish.tokens)
