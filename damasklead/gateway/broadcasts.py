"""
Broadcasts
==========

Distributes the state of the platform's lists, and departures, crashes and rate limits
of replicas within the fleet.  One gateway, the broadcaster, sends them to all others,
and each of these reports to it what it observes itself.  The broadcaster is the gateway
of rank 0; when it is silent, the next gateway by rank takes over.

Load pattern: hundreds of gateways that all need each change within a second.  If each
sent its state to all others, messages would grow with the square of the fleet; if each
polled the store, its calls would grow with every change.
"""

import math
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.catch_up_schedule import CatchUpSchedule
from damasklead.gateway.crash_containment import Containment
from damasklead.gateway.crash_reports import CrashCause, CrashReport, Exoneration
from damasklead.gateway.departures import Departure, DepartureLog
from damasklead.gateway.list_follower import ConfigurationFollower
from damasklead.gateway.messages import Broadcast, PeerReport
from damasklead.gateway.peers import Peers
from damasklead.gateway.poll_schedule import (
    ListName,
    ListReport,
    ListReports,
    ReadPlan,
    reader_score,
)
from damasklead.gateway.replica_follower import UpstreamFollower
from damasklead.gateway.routing_broadcasts import EncodedRouting, RoutingBroadcasts
from damasklead.gateway.store_positions import INITIAL_POSITION
from damasklead.ids import Fingerprint
from damasklead.rate_limits import RateLimit, RateLimits
from damasklead.rejection_limits import RejectionLimit

__all__ = ["Broadcasts"]

# Interval of broadcasts while there is nothing new.
BROADCAST_INTERVAL_SECONDS = 0.3
# Least time between two broadcasts or reports, so that events share a datagram.
MIN_UPDATE_INTERVAL_SECONDS = 0.15
# Each event is in this number of broadcasts, since datagrams may be lost.
MAX_TRANSMISSIONS = 2
# A gateway takes over when it has received no broadcast from a lower rank for the
# timeout and a delay for each of these ranks, up to a maximum number of ranks.
TAKEOVER_TIMEOUT_SECONDS = 1.0
TAKEOVER_RANK_DELAY_SECONDS = 0.1
MAX_DELAYED_RANKS = 10
# A gateway of any rank broadcasts if it has read the lists within this time and no
# other gateway has confirmed them, which would make its own broadcast needless.
SOLE_READER_WINDOW_SECONDS = 0.6
# A broadcast replaces a poll of the store if its sender polled less than this before.
MAX_CONFIRMATION_AGE_MS = 1_000
# Events are remembered for this long, so that they are not broadcast again.
EVENT_RETENTION_SECONDS = 30.0
# The causes of crashes are sent when they change and at this interval.
CAUSES_INTERVAL_SECONDS = 0.9
# A gateway that has received no broadcast for this long may have missed events.
MAX_SILENCE_SECONDS = 2.0
# After a silence this process may have been paused, so that broadcasts which it
# receives in the next moment may have waited in the buffer of its socket.
PAUSE_SECONDS = 0.7
BUFFERED_SECONDS = 0.3


_FleetEvent = CrashReport | Departure | RateLimit | RejectionLimit | Exoneration


class _EventState(msgspec.Struct, kw_only=True):
    """
    Transmissions of an event.

    Attributes
    ----------
    first_seen_at : float
        Clock reading in seconds.
    transmissions : int
        Broadcasts that held the event.
    """

    first_seen_at: float
    transmissions: int = 0


class Broadcasts:
    """
    Sends broadcasts or reports, and applies those of other gateways.

    Parameters
    ----------
    peers : Peers
        Sends the datagrams and delivers received ones.
    configuration : ConfigurationFollower
    upstreams : UpstreamFollower
    plans : list of ReadPlan
        One for each list, in the order of ``ListName``.
    reports : ListReports
        State of the lists at other gateways.
    containment : Containment
        Source and destination of replica crashes.
    departures : DepartureLog
        Departures that this gateway observed itself.
    apply_departures : callable
        Applies departures that other gateways reported.
    rate_limits : RateLimits
        Source and destination of changed limits of replicas.
    catch_up : CatchUpSchedule
        Told which gateways have which configuration, and of missed broadcasts.
    clock : Clock
    instance : str
        Name of this gateway.
    cores : float
        Processor cores that it may use.
    incarnation : int
        Start of its process in milliseconds of Unix time.
    link_megabits : float or None
        Rate of its link in megabits per second; ``None`` if it is not known.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        configuration: ConfigurationFollower,
        upstreams: UpstreamFollower,
        plans: list[ReadPlan],
        reports: ListReports,
        containment: Containment,
        departures: DepartureLog,
        apply_departures: Callable[[list[Departure]], None],
        rate_limits: RateLimits,
        catch_up: CatchUpSchedule,
        clock: Clock,
        instance: str,
        cores: float,
        incarnation: int,
        link_megabits: float | None = None,
    ) -> None:
        self._peers = peers
        self._routing = RoutingBroadcasts(
            configuration=configuration,
            count_receivers=lambda: len(peers.members),
            link_megabits=link_megabits,
        )
        self._configuration = configuration
        self._upstreams = upstreams
        self._plans = plans
        self._reports = reports
        self._containment = containment
        self._departures = departures
        self._apply_departures = apply_departures
        self._rate_limits = rate_limits
        self._catch_up = catch_up
        self._clock = clock
        self._instance = instance
        self._cores = cores
        self._incarnation = incarnation
        self._sequence_number = 0
        self._update_due = Event()
        self._ranking: tuple[frozenset[str], int] | None = None
        self._last_broadcast_at = clock.now()
        self._broadcaster: str | None = None
        self._broadcaster_position = INITIAL_POSITION
        self._last_sequences: dict[str, tuple[int, int]] = {}
        self._last_received_at = clock.now()
        self._silence_reported_at = clock.now()
        self._buffered_until = -math.inf
        self._events: dict[_FleetEvent, _EventState] = {}
        # Causes of crashes in the last broadcast that had them, and when it was sent.
        self._sent_causes: frozenset[Fingerprint] = frozenset()
        self._causes_sent_at = clock.now()
        self._listed_causes: frozenset[Fingerprint] = frozenset()
        peers.register_handler(Broadcast, self._handle_broadcast)
        peers.register_handler(PeerReport, self._handle_report)

    @property
    def rank(self) -> int:
        """The number of gateways with a lower reader score than this one."""
        return self._rank_peers()[1]

    @property
    def is_broadcaster(self) -> bool:
        """Whether this gateway sends broadcasts, by its rank or after a timeout."""
        rank = self.rank
        delay = min(rank, MAX_DELAYED_RANKS) * TAKEOVER_RANK_DELAY_SECONDS
        silence = self._clock.now() - self._last_broadcast_at
        return rank == 0 or silence > TAKEOVER_TIMEOUT_SECONDS + delay

    def invalidate_ranking(self) -> None:
        """Discard the ranking after a change of members; it is computed when needed."""
        self._ranking = None

    def schedule_update(self) -> None:
        """Send an update without waiting for the end of the broadcast interval."""
        self._update_due.set()

    def run(self) -> None:
        """Send updates at each interval or when they are scheduled, forever."""
        while True:
            self._update_due.wait(timeout=BROADCAST_INTERVAL_SECONDS)
            self._update_due.clear()
            self.send_update()
            gevent.sleep(MIN_UPDATE_INTERVAL_SECONDS)

    def send_update(self) -> None:
        """Broadcast to all gateways, or report to the broadcaster."""
        self._check_silence()
        if self.is_broadcaster or self._is_sole_reader():
            self._peers.send_all(self._build_broadcast())
            self._upstreams.change_log.record_transmission()
        else:
            self._send_report()

    def _rank_peers(self) -> tuple[frozenset[str], int]:
        """Return the gateways that precede this one by score, and their number."""
        if self._ranking is None:
            score = reader_score(self._instance, self._cores)
            preceding = frozenset(
                entry.instance
                for entry in self._peers.members
                if reader_score(entry.instance, entry.cores) < score
            )
            self._ranking = (preceding, len(preceding))
        return self._ranking

    def _is_sole_reader(self) -> bool:
        """Return whether this gateway, and no other known one, reads the lists."""
        now = self._clock.now()
        ages = [plan.report.age_ms for plan in self._plans]
        if not all(0 <= age < SOLE_READER_WINDOW_SECONDS * 1000 for age in ages):
            return False
        confirmed_at = min(
            self._reports.get_confirmation_time(name) for name in ListName
        )
        return now - confirmed_at > SOLE_READER_WINDOW_SECONDS

    def _send_report(self) -> None:
        """Report observed events or a newer configuration to the broadcaster."""
        crashes, departures, limits, exonerations, causes, rejection_limits = (
            self._containment.recent_crashes,
            self._departures.recent_departures,
            self._rate_limits.recent_changes,
            self._containment.recent_exonerations,
            self._containment.select_unlisted_causes(self._listed_causes),
            self._rate_limits.rejections.recent_changes,
        )
        withdrawn = [
            item
            for item in self._containment.withdrawn_causes
            if item.fingerprint in self._listed_causes
        ]
        exonerated = [
            item
            for item in self._containment.exonerated_causes
            if item.fingerprint in self._listed_causes
        ]
        known = self._plans[ListName.ROUTING].report.last_change
        newer = known if known > self._broadcaster_position else INITIAL_POSITION
        if self._broadcaster is not None and (
            crashes
            or departures
            or limits
            or exonerations
            or causes
            or withdrawn
            or exonerated
            or rejection_limits
            or newer != INITIAL_POSITION
        ):
            report = PeerReport(
                self._instance,
                crashes,
                departures,
                newer,
                limits,
                exonerations,
                causes,
                rejection_limits,
                withdrawn,
                exonerated,
            )
            self._peers.send(self._broadcaster, report)

    def _build_broadcast(self) -> Broadcast:
        self._sequence_number += 1
        now = self._clock.now()
        observed: list[_FleetEvent] = [
            *self._containment.recent_crashes,
            *self._departures.recent_departures,
            *self._rate_limits.recent_changes,
            *self._rate_limits.rejections.recent_changes,
            *self._containment.recent_exonerations,
        ]
        for event in observed:
            self._events.setdefault(event, _EventState(first_seen_at=now))
        self._events = {
            event: state
            for event, state in self._events.items()
            if now - state.first_seen_at < EVENT_RETENTION_SECONDS
        }
        pending = [
            event
            for event, state in self._events.items()
            if state.transmissions < MAX_TRANSMISSIONS
        ]
        for event in pending:
            self._events[event].transmissions += 1
        change_log = self._upstreams.change_log
        routing = self._routing.encode()
        causes = self._select_causes()
        return Broadcast(
            self._instance,
            self._incarnation,
            self._sequence_number,
            [plan.report for plan in self._plans],
            change_log.base,
            change_log.cursor,
            change_log.rows,
            routing.content,
            [event for event in pending if isinstance(event, CrashReport)],
            [event for event in pending if isinstance(event, Departure)],
            [event for event in pending if isinstance(event, RateLimit)],
            [event for event in pending if isinstance(event, Exoneration)],
            causes,
            [event for event in pending if isinstance(event, RejectionLimit)],
            self._containment.withdrawn_causes,
            routing.differences,
            [] if causes is None else self._containment.exonerated_causes,
            [] if causes is None else self._containment.crash_summaries,
            routing.field_differences,
        )

    def _select_causes(self) -> list[CrashCause] | None:
        """Return the causes of crashes if they are due in a broadcast."""
        now = self._clock.now()
        refused = self._containment.refused_fingerprints
        if (
            refused == self._sent_causes
            and now - self._causes_sent_at < CAUSES_INTERVAL_SECONDS
        ):
            return None
        self._sent_causes, self._causes_sent_at = refused, now
        return self._containment.refused_causes

    def _handle_broadcast(self, message: Broadcast, sender: str) -> None:
        sequence = (message.incarnation, message.sequence_number)
        last_sequence = self._last_sequences.get(sender, (0, 0))
        if sequence <= last_sequence:
            return
        self._last_sequences[sender] = sequence
        self._check_sequence(last_sequence, sequence)
        for name, report in zip(ListName, message.lists, strict=False):
            self._catch_up.record_holder(sender, name, report.last_change)
        precedes = sender in self._rank_peers()[0]
        if precedes or not self.is_broadcaster:
            self._broadcaster = sender
            self._broadcaster_position = message.lists[ListName.ROUTING].last_change
        if precedes:
            self._last_broadcast_at = self._clock.now()
        self._containment.record_crash_reports(message.crashes)
        self._apply_departures(message.departures)
        self._rate_limits.apply_reports(message.rate_limits)
        self._rate_limits.rejections.apply_reports(message.rejection_limits)
        self._containment.record_exonerations(message.exonerations)
        self._containment.forget_causes(message.withdrawn_causes)
        if message.causes is not None:
            self._containment.adopt_causes(message.causes)
            self._listed_causes = frozenset(item.fingerprint for item in message.causes)
        self._containment.adopt_causes(message.exonerated_causes)
        if self._containment.lacks_crashes(message.crash_summaries):
            self._catch_up.record_missed_broadcasts()
        self._routing.apply(
            EncodedRouting(
                content=message.routing,
                differences=message.differences,
                field_differences=message.field_differences,
            ),
            message.lists[ListName.ROUTING].age_seconds,
        )
        lists = message.lists
        if self._clock.now() < self._buffered_until:
            lists = [ListReport(report.last_change, -1) for report in lists]
        has_changes = self._reports.record_reports(lists)
        self._upstreams.apply_peer_changes(message.base, message.cursor, message.rows)
        self._confirm_lists(message)
        if has_changes:
            self._configuration.notify()
            self._upstreams.notify()

    def _check_silence(self) -> None:
        """Report from time to time that no broadcasts arrive, if others send them."""
        now = self._clock.now()
        silent_since = max(self._last_received_at, self._silence_reported_at)
        if self.rank > 0 and now - silent_since > MAX_SILENCE_SECONDS:
            self._silence_reported_at = now
            self._catch_up.record_missed_broadcasts()

    def _check_sequence(
        self, last_sequence: tuple[int, int], sequence: tuple[int, int]
    ) -> None:
        """Report that all broadcasts with some event may have been lost."""
        now = self._clock.now()
        silence = now - self._last_received_at
        self._last_received_at = now
        if silence > PAUSE_SECONDS:
            self._buffered_until = now + BUFFERED_SECONDS
        # Broadcasts of another incarnation are counted from its first one.
        last = last_sequence[1] if last_sequence[0] == sequence[0] else 0
        is_gap = sequence[1] - last - 1 >= MAX_TRANSMISSIONS
        if is_gap or silence > MAX_SILENCE_SECONDS:
            self._catch_up.record_missed_broadcasts()

    def _confirm_lists(self, message: Broadcast) -> None:
        """Record a recent poll of the sender for each list that is up to date here."""
        is_fresh = [
            0 <= report.age_ms < MAX_CONFIRMATION_AGE_MS for report in message.lists
        ]
        if is_fresh[ListName.ROUTING] and self._plans[ListName.ROUTING].is_caught_up:
            self._configuration.record_peer_confirmation()
        if is_fresh[ListName.UPSTREAMS] and self._upstreams.cursor >= message.cursor:
            self._upstreams.record_peer_confirmation()

    def _handle_report(self, message: PeerReport, sender: str) -> None:
        if self._reports.record_reports([ListReport(message.routing, -1)]):
            self._configuration.notify()
        self._catch_up.record_holder(sender, ListName.ROUTING, message.routing)
        now = self._clock.now()
        has_new_events = False
        events: list[_FleetEvent] = [
            *message.crashes,
            *message.departures,
            *message.rate_limits,
            *message.rejection_limits,
            *self._containment.record_exonerations(message.exonerations),
        ]
        for event in events:
            has_new_events = has_new_events or event not in self._events
            self._events.setdefault(event, _EventState(first_seen_at=now))
        self._containment.record_crash_reports(message.crashes)
        self._apply_departures(message.departures)
        self._rate_limits.apply_reports(message.rate_limits)
        self._rate_limits.rejections.apply_reports(message.rejection_limits)
        self._containment.withdraw_causes(message.withdrawn_causes)
        self._containment.adopt_causes([*message.causes, *message.exonerated_causes])
        if has_new_events:
            self.schedule_update()
