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
from damasklead.daemon.crashes import CrashWatch
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

NOTICE_INTERVALS = 2.5  # share intervals that gossip may take to reach all entries
SILENT_INTERVALS = 4  # share intervals without a grant after which it is passed over
SILENT_SECONDS = 60.0  # for which it is passed over unless it is heard


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
        self.holder = ConfigurationHolder()
        self.membership = Membership(clock=clock)
        self.gossip = GossipBuffer(clock=clock)
        self.quarantine = Quarantine(clock=clock)
        self.audit = AuditBuffer()
        self.crashes = CrashWatch(
            instance=self.instance,
            quarantine=self.quarantine,
            gossip=self.gossip,
            record=self.record,
        )
        self.metrics = Metrics()
        self.claims = ClaimKeeper(run=self.run_protocol, clock=clock)
        self.connections = ConnectionPool()
        self.pools: dict[ServiceName, Pool] = {}
        self.stopping = False
        self.generation = 0
        self.reported_version = 0
        self._costs = CostModel()
        self._random = random.Random(
            stable_hash(settings.instance, str(self.incarnation))
        )
        self._exchanges: dict[RequestId, Exchange] = {}
        self._attempt_number = 0
        self._silent: dict[InstanceId, float] = {}
        self.platform_seen_at = clock.now()
        self.metrics.platform_age.set_function(
            lambda: clock.now() - self.platform_seen_at
        )

    @property
    def exchanges(self) -> dict[RequestId, Exchange]:
        """The requests in progress."""
        return self._exchanges

    @property
    def ready(self) -> bool:
        """Whether the entry can take requests."""
        return self.holder.configuration is not None and not self.stopping

    def run_protocol(self, steps: Steps[T]) -> T:
        """Drive a protocol against the platform."""
        return run(steps, self.platform)

    def record(
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

    def take_configuration(self, files: dict[str, str], *, version: int) -> bool:
        """Put a configuration into force if it is newer than the present one."""
        before = self.holder.version
        if not self.holder.activate_if_newer(files, version=version):
            return False
        logs.event("configuration", before=before, version=version)
        self.metrics.configuration_version.set(version)
        self._arrange_pools()
        return True

    def arrange_members(self) -> None:
        """Let the pools see the present members."""
        entries = self.live_entries()
        self.quarantine.set_propagation_time(
            NOTICE_INTERVALS * compute_share_interval(len(entries))
        )
        heard = [entry for entry in entries if entry.instance not in self._silent]
        for scope in PoolScope:
            peers = [item.instance for item in heard if self._in_scope(item, scope)]
            self._arrange_scope(scope, peers)

    def check_coordinators(self) -> None:
        """
        Pass over coordinators that have sent no grant for some intervals.

        The list may show an entry long after it has gone.
        """
        now = self.clock.now()
        patience = SILENT_INTERVALS * compute_share_interval(len(self.live_entries()))
        before = set(self._silent)
        for pool in self.pools.values():
            own = pool.coordinator in (None, self.instance)
            if own or pool.dispatcher.share.has_grant:
                pool.granted_at = now
            elif now - pool.granted_at > patience:
                assert pool.coordinator is not None
                self._silent[pool.coordinator] = now + SILENT_SECONDS
        for instance in [item for item, until in self._silent.items() if until < now]:
            del self._silent[instance]
        if set(self._silent) != before:
            logs.event("silent-coordinators", entries=", ".join(sorted(self._silent)))
            self.arrange_members()

    def heard_from(self, instance: InstanceId) -> None:
        """Take in that a peer has sent something."""
        if self._silent.pop(instance, None) is not None:
            self.arrange_members()

    def live_entries(self) -> list[Member]:
        """Return the live entries, this one included."""
        return self.membership.find_live_members(ENTRY_SERVICE)

    def pool_members(self, service: Service) -> list[Member]:
        """
        Return the upstreams in this entry's scope, or the nearest others when it has
        none.
        """
        members = self.membership.find_live_members(service.name)
        own = [
            member for member in members if self._in_scope(member, service.pool_scope)
        ]
        if own:
            return own
        region = [member for member in members if member.region == self.settings.region]
        candidates = region or members
        centres = {member.data_centre for member in candidates}
        nearest = max(
            centres,
            key=lambda item: stable_hash(self.pool_id(service), item),
            default="",
        )
        return [member for member in candidates if member.data_centre == nearest]

    def pool_id(self, service: Service) -> PoolId:
        """Return the id of the pool from which this entry serves a service."""
        in_region = service.pool_scope is PoolScope.REGION
        place = self.settings.region if in_region else self.settings.data_centre
        return PoolId(f"{service.name}@{place}")

    def address_of(self, instance: InstanceId) -> str | None:
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
            self.record("leaving", instance, before="live", after=f"leaving: {why}")
            self.arrange_members()

    def hear(self, items: Iterable[GossipItem]) -> None:
        """Take in gossip from a peer."""
        for item in items:
            if not self.gossip.add_item(item):
                continue
            match item:
                case LeavingNotice():
                    if self.membership.mark_leaving(item.instance, item.incarnation):
                        self.arrange_members()
                case CrashNotice():
                    self.crashes.observe(item)
                case QuarantineNotice():
                    self.quarantine.add_fingerprint(item.fingerprint)
                case ReleaseNotice():
                    self.quarantine.release_fingerprint(
                        item.fingerprint, number=item.number
                    )

    def submit(self, pool: Pool, exchange: Exchange) -> None:
        """Let the pool's dispatcher take in an exchange's request."""
        request = exchange.request
        self._exchanges[request.id] = exchange
        actions = pool.dispatcher.submit_request(
            request, is_preemptable=exchange.preemptable
        )
        self.apply(pool, actions)

    def forget(self, pool: Pool, exchange: Exchange, *, finished: bool) -> None:
        """Drop an exchange whose caller has its final answer or has gone."""
        if self._exchanges.pop(exchange.request.id, None) is None:
            return
        if not finished:
            request = exchange.request
            name = request.request_class.name
            self.metrics.wasted_tokens.labels(name).inc(request.generated_tokens)
            actions = pool.dispatcher.cancel_request(exchange.request.id)
            for action in actions:
                if isinstance(action, Cancel):
                    exchange.deliver(action)
            self.apply(pool, actions)

    def caller_gone(self, exchange: Exchange) -> None:
        """Give up a request whose caller has gone."""
        refuse = Refuse(
            request=exchange.request, reason=Reason.CALLER_GONE, outcome=Outcome.UNKNOWN
        )
        actions = exchange.pool.dispatcher.cancel_request(exchange.request.id)
        self.apply(exchange.pool, actions)
        exchange.deliver(refuse)

    def withdraw(self, pool: Pool, exchange: Exchange) -> None:
        """Take a request back whose attempt is not to be sent."""
        self.apply(pool, pool.dispatcher.cancel_request(exchange.request.id))

    def apply(self, pool: Pool, actions: list[Action]) -> None:
        """Carry out a dispatcher's actions."""
        for action in actions:
            exchange = self._exchanges.get(action.request.id)
            self._count(action)
            if exchange is not None:
                exchange.deliver(action)
            elif isinstance(action, Start):
                late = pool.dispatcher.cancel_request(action.request.id)
                gevent.spawn(self.apply, pool, late)

    def attempt_finished(self, pool: Pool, exchange: Exchange, start: Start) -> None:
        """Take in that an attempt's answer is whole."""
        self.metrics.attempts.labels(pool.service.name, "finished").inc()
        self.apply(pool, pool.dispatcher.complete_attempt(start.attempt))

    def attempt_failed(self, pool: Pool, start: Start, error: UpstreamError) -> None:
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
            self.crashes.suspect(pool, start, member)
        self.apply(pool, pool.dispatcher.fail_attempt(start.attempt, error.failure))

    def first_event(self, exchange: Exchange) -> None:
        """Count the time to a request's first event."""
        waited = self.clock.now() - exchange.request.arrival
        self.metrics.first_token.labels(exchange.request.request_class.name).observe(
            waited
        )

    def cancel_attempt(self, pool: Pool, cancel: Cancel) -> None:
        """Tell an upstream that an attempt's answer is not wanted any more."""
        address = self.address_of(cancel.replica)
        if address is not None:
            pool.upstream.cancel_attempt(address, cancel.attempt)

    def tick(self) -> None:
        """Let time pass in all pools."""
        self.crashes.tick()
        for pool in self.pools.values():
            self.apply(pool, pool.dispatcher.process_timeouts())

    def new_attempt_id(self) -> AttemptId:
        """Return an id that no other attempt has."""
        self._attempt_number += 1
        return AttemptId(
            f"{self.instance}-{self.incarnation:x}-{self._attempt_number:x}"
        )

    def _arrange_pools(self) -> None:
        configuration = self.holder.configuration
        assert configuration is not None
        for name, service in configuration.services.items():
            pool = self.pools.get(ServiceName(name))
            if pool is None:
                self.pools[ServiceName(name)] = self._new_pool(service)
            else:
                pool.service = service
                pool.dispatcher.update_service(service)
        for name in list(self.pools):
            if (
                name not in configuration.services
                and not self.pools[name].dispatcher.attempts
            ):
                del self.pools[name]
        self.arrange_members()

    def _arrange_scope(self, scope: PoolScope, peers: list[InstanceId]) -> None:
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
                for member in self.pool_members(pool.service)
            ]
            self.apply(
                pool, pool.dispatcher.set_replicas(infos, entry_count=len(peers))
            )

    def _new_pool(self, service: Service) -> Pool:
        dispatcher = PoolDispatcher(
            pool=self.pool_id(service),
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

    def _in_scope(self, member: Member, scope: PoolScope) -> bool:
        if scope is PoolScope.DATA_CENTRE:
            return member.data_centre == self.settings.data_centre
        return member.region == self.settings.region

    def _count(self, action: Action) -> None:
        name = action.request.request_class.name
        if isinstance(action, Refuse):
            self.metrics.refusals.labels(name, action.reason.value).inc()
            self.metrics.requests.labels(name, action.outcome.value).inc()
        elif isinstance(action, Finish):
            self._count_finish(action)
        elif isinstance(action, Start) and action.request.start_count == 1:
            waited = self.clock.now() - action.request.arrival
            self.metrics.queue_wait.labels(name).observe(waited)

    def _count_finish(self, finish: Finish) -> None:
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
