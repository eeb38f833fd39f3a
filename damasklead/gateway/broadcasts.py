"""
Broadcasts
==========

One gateway, the first by rank that is heard, tells all others what the platform's lists
hold, which replicas leave and which requests crash replicas.  The others tell it what
they see.  When it is silent, the next by rank takes over.

Load pattern: hundreds of gateways that all need each change within a second; if each
told all others, messages would grow with the square of the fleet, and if each asked the
store, calls with every change.
"""

import zlib
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event

from damasklead.clock import Clock
from damasklead.gateway.containment import Containment, CrashNote
from damasklead.gateway.departures import Departure, DepartureLog
from damasklead.gateway.following import ConfigurationFollower
from damasklead.gateway.messages import Broadcast, PeerReport
from damasklead.gateway.peers import Peers
from damasklead.gateway.positions import INITIAL_POSITION, Position
from damasklead.gateway.reading import (
    ListName,
    ListReport,
    ListReports,
    ReadPlan,
    reader_score,
)
from damasklead.gateway.replicafollowing import UpstreamFollower
from damasklead.gateway.routing import RoutingContent, RoutingTable

__all__ = ["Broadcasts"]

# Time between two broadcasts without news.
BROADCAST_SECONDS = 0.3
# Time between two with news, so that several go together.
GATHER_SECONDS = 0.15
# Each piece of news is told so often, since datagrams get lost.
MOST_TELLINGS = 2
# The next gateway by rank takes over after such a silence, others so much later each.
TAKE_OVER_SECONDS = 1.0
TAKE_OVER_STEP_SECONDS = 0.1
MOST_STEPS = 10
# Another gateway's confirmation of the lists makes one's own needless for so long.
CONFIRMED_SECONDS = 0.6
# Milliseconds since its sender's call for which a broadcast stands for one's own call.
CONFIRMED_AGE = 1_000
# What was told is remembered for so long, so that it is not told again.
REMEMBER_SECONDS = 30.0
# A configuration that is longer when it is compressed is asked of the store.
ROUTING_BYTES = 8_192


_Note = CrashNote | Departure


class _News(msgspec.Struct, kw_only=True):
    """When a note came, and how often it was told."""

    at: float
    told: int = 0


class Broadcasts:
    """
    Sends broadcasts or takes them in.

    Parameters
    ----------
    peers : Peers
    configuration : ConfigurationFollower
    upstreams : UpstreamFollower
    plans : list of ReadPlan
    reports : ListReports
    containment : Containment
    departures : DepartureLog
    take_departures : callable
        Takes what others tell of replicas that leave.
    outdated : callable
        Told of a gateway whose configuration is newer than this one's and the store's.
    clock : Clock
    own : str
    cores : float
    incarnation : int
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
        take_departures: Callable[[list[Departure]], None],
        outdated: Callable[[str], None],
        clock: Clock,
        own: str,
        cores: float,
        incarnation: int,
    ) -> None:
        self._peers = peers
        self._configuration = configuration
        self._upstreams = upstreams
        self._plans = plans
        self._reports = reports
        self._containment = containment
        self._departures = departures
        self._take_departures = take_departures
        self._outdated = outdated
        self._clock = clock
        self._own = own
        self._cores = cores
        self._incarnation = incarnation
        self._number = 0
        self._changed = Event()
        self._ranked: tuple[frozenset[str], int] | None = None
        self._heard_at = clock.now()
        self._broadcaster: str | None = None
        self._broadcaster_mark = INITIAL_POSITION
        self._orders: dict[str, tuple[int, int]] = {}
        self._news: dict[_Note, _News] = {}
        self._routing = (0, b"", 0)
        peers.register_handler(Broadcast, self._take_broadcast)
        peers.register_handler(PeerReport, self._take_notice)

    @property
    def position(self) -> int:
        """The place of this gateway by rank, 0 for the first."""
        return self._places()[1]

    @property
    def sends(self) -> bool:
        """Whether this gateway is the one that tells the others."""
        position = self.position
        steps = min(position, MOST_STEPS) * TAKE_OVER_STEP_SECONDS
        silent = self._clock.now() - self._heard_at
        return position == 0 or silent > TAKE_OVER_SECONDS + steps

    def arrange(self) -> None:
        """Take in that the gateways have changed; they are ranked when needed."""
        self._ranked = None

    def tell_soon(self) -> None:
        """Tell others at once that there is news."""
        self._changed.set()

    def run(self) -> None:
        """Tell the others, forever."""
        while True:
            self._changed.wait(timeout=BROADCAST_SECONDS)
            self._changed.clear()
            self.step()
            gevent.sleep(GATHER_SECONDS)

    def step(self) -> None:
        """Tell all others, or the one that does, what there is to tell."""
        if self.sends or self._confirms_alone():
            self._peers.send_all(self._broadcast())
            self._upstreams.change_log.record_transmission()
        else:
            self._notify_broadcaster()

    def _places(self) -> tuple[frozenset[str], int]:
        """Return the gateways before this one by rank, and how many they are."""
        if self._ranked is None:
            rank = reader_score(self._own, self._cores)
            earlier = frozenset(
                entry.instance
                for entry in self._peers.members
                if reader_score(entry.instance, entry.cores) < rank
            )
            self._ranked = (earlier, len(earlier))
        return self._ranked

    def _confirms_alone(self) -> bool:
        """Whether only this gateway reads the lists, as far as it knows."""
        now = self._clock.now()
        ages = [plan.report.age_ms for plan in self._plans]
        if not all(0 <= age < CONFIRMED_SECONDS * 1000 for age in ages):
            return False
        confirmed = min(self._reports.get_confirmation_time(name) for name in ListName)
        return now - confirmed > CONFIRMED_SECONDS

    def _notify_broadcaster(self) -> None:
        crashes, left = self._containment.notes, self._departures.recent_departures
        own = self._plans[ListName.ROUTING].report.last_change
        newer = own if own > self._broadcaster_mark else INITIAL_POSITION
        if self._broadcaster is not None and (
            crashes or left or newer != INITIAL_POSITION
        ):
            notice = PeerReport(self._own, crashes, left, newer)
            self._peers.send(self._broadcaster, notice)

    def _broadcast(self) -> Broadcast:
        self._number += 1
        now = self._clock.now()
        own: list[_Note] = [
            *self._containment.notes,
            *self._departures.recent_departures,
        ]
        for note in own:
            self._news.setdefault(note, _News(at=now))
        self._news = {
            note: news
            for note, news in self._news.items()
            if now - news.at < REMEMBER_SECONDS
        }
        untold = [n for n, news in self._news.items() if news.told < MOST_TELLINGS]
        for note in untold:
            self._news[note].told += 1
        log = self._upstreams.change_log
        return Broadcast(
            self._own,
            self._incarnation,
            self._number,
            [plan.report for plan in self._plans],
            log.base,
            log.cursor,
            log.rows,
            self._new_routing(),
            [note for note in untold if isinstance(note, CrashNote)],
            [note for note in untold if isinstance(note, Departure)],
        )

    def _new_routing(self) -> bytes:
        """Return the configuration while it is new and if it is short."""
        table = self._configuration.table
        if table is None:
            return b""
        version, data, told = self._routing
        if version != table.version:
            packed = zlib.compress(msgspec.msgpack.encode(table.content), 1)
            data = packed if len(packed) <= ROUTING_BYTES else b""
            told = 0
        self._routing = (table.version, data, told + 1)
        return data if told < MOST_TELLINGS else b""

    def _take_broadcast(self, message: Broadcast, sender: str) -> None:
        order = (message.incarnation, message.number)
        if order <= self._orders.get(sender, (0, 0)):
            return
        self._orders[sender] = order
        earlier = sender in self._places()[0]
        if earlier or not self.sends:
            self._broadcaster = sender
            self._broadcaster_mark = message.lists[ListName.ROUTING].last_change
        if earlier:
            self._heard_at = self._clock.now()
        self._containment.take(message.crashes)
        self._take_departures(message.left)
        if message.routing:
            self._take_routing(message.routing)
        news = self._reports.record_reports(message.lists)
        self._upstreams.apply_peer_changes(message.base, message.cursor, message.rows)
        self._confirm(message)
        self._look_for_newer(sender, message.lists[ListName.ROUTING].last_change)
        if news:
            self._configuration.notify()
            self._upstreams.notify()

    def _confirm(self, message: Broadcast) -> None:
        """Let the followers know that the sender has just read the lists."""
        fresh = [0 <= report.age_ms < CONFIRMED_AGE for report in message.lists]
        if fresh[ListName.ROUTING] and self._plans[ListName.ROUTING].is_caught_up:
            self._configuration.record_peer_confirmation()
        if fresh[ListName.UPSTREAMS] and self._upstreams.cursor >= message.cursor:
            self._upstreams.record_peer_confirmation()

    def _take_routing(self, data: bytes) -> None:
        content = msgspec.msgpack.decode(zlib.decompress(data), type=RoutingContent)
        self._configuration.apply_peer_configuration(RoutingTable(content=content))

    def _look_for_newer(self, sender: str, mark: Position) -> None:
        """Get a configuration that another gateway has and the store has not."""
        if self._plans[ListName.ROUTING].is_missing_from_store(mark):
            self._outdated(sender)

    def _take_notice(self, message: PeerReport, sender: str) -> None:
        if self._reports.record_reports([ListReport(message.routing, -1)]):
            self._configuration.notify()
        self._look_for_newer(sender, message.routing)
        now = self._clock.now()
        news = False
        notes: list[_Note] = [*message.crashes, *message.left]
        for note in notes:
            news = news or note not in self._news
            self._news.setdefault(note, _News(at=now))
        self._containment.take(message.crashes)
        self._take_departures(message.left)
        if news:
            self.tell_soon()
