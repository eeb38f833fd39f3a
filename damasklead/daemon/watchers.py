"""
Watchers
========

Tasks that follow the platform: configuration, instance list, drains, quarantines and
audit trail.
"""

import random
from collections.abc import Callable

import msgspec
from gevent import socket
from gevent.select import select
from result import Err, Ok

from damasklead import logs
from damasklead.daemon.entry import ENTRY_SERVICE, Entry
from damasklead.daemon.peers import Peers
from damasklead.drains import DRAINS_TABLE, Drain
from damasklead.duties import read_generation
from damasklead.ids import DataCentre, InstanceId
from damasklead.manifest import (
    decode_manifest,
    fetch,
    read_manifest,
    report_version,
)
from damasklead.messages import ConfigurationQuery
from damasklead.quarantine_rows import (
    QUARANTINE_TABLE,
    apply_quarantine_row,
    decode_quarantine_row,
)
from damasklead.stores.base import (
    InstanceRecord,
    InstanceState,
    Listing,
    Row,
    StoreError,
)

__all__ = ["Watchers"]

TICK_SECONDS = 0.05
WAKE_SECONDS = 0.2
CALLER_CHECK_SECONDS = 0.25
MIN_POLL_SECONDS = 1.0
READS_PER_SECOND = 20.0  # of all entries together, for each polled thing
AUDIT_SECONDS = 1.0
BACK_OFF_LIMIT = 30.0  # seconds


class Watchers:
    """
    The periodic tasks of an entry.

    Parameters
    ----------
    entry : Entry
    peers : Peers
    """

    def __init__(self, *, entry: Entry, peers: Peers) -> None:
        self._entry = entry
        self._peers = peers
        self._random = random.Random(entry.instance)
        self._failures = 0
        self._list_version = ""
        self._listed: tuple[InstanceRecord, ...] = ()

    def run_ticks(self) -> None:
        """Let time pass in the pools."""
        while True:
            self._entry.clock.sleep(TICK_SECONDS)
            self._entry.tick()

    def run_configuration(self) -> None:
        """Follow the published configuration."""
        while True:
            self._follow_configuration()
            self._wait(
                lambda: self._peers.newer_version[0] > self._entry.holder.version
            )

    def run_members(self) -> None:
        """Follow the instance list and the drains that operators ask for."""
        while True:
            self._follow_members()
            self._wait(lambda: False)

    def run_callers(self) -> None:
        """
        Give up requests whose caller has gone before the answer began, and attempts
        whose upstream is silent.
        """
        while True:
            self._entry.clock.sleep(CALLER_CHECK_SECONDS)
            for exchange in list(self._entry.exchanges.values()):
                exchange.check_silence()
                waits = not exchange.streaming and not (
                    exchange.claim and exchange.sent
                )
                if waits and exchange.caller is not None and _has_gone(exchange.caller):
                    exchange.caller = None
                    self._entry.caller_gone(exchange)

    def run_records(self) -> None:
        """
        Store audit events and the ends of claims, with back-off while the store is out.
        """
        while True:
            self._entry.clock.sleep(self._back_off(AUDIT_SECONDS))
            self._entry.claims.retry()
            pending = len(self._entry.audit)
            if pending:
                stored = self._entry.run_protocol(self._entry.audit.flush_events())
                self._failures = 0 if stored else self._failures + 1

    def announce(self, state: InstanceState = InstanceState.LIVE) -> None:
        """Enter this process into the instance list, for platforms that need that."""
        settings = self._entry.settings
        if not settings.platform.announce:
            return
        record = InstanceRecord(
            instance=self._entry.instance,
            incarnation=self._entry.incarnation,
            service=ENTRY_SERVICE,
            address=settings.listen.peers,
            data_centre=DataCentre(settings.data_centre),
            region=settings.region,
            state=state,
        )
        result = self._entry.platform.instances.register_instance(record)
        if isinstance(result, Err):
            logs.warning("announce", result=result.err_value.value)

    def _follow_configuration(self) -> None:
        entry = self._entry
        row = entry.run_protocol(read_manifest())
        if isinstance(row, Row):
            manifest = decode_manifest(row)
            if manifest.version > entry.holder.version:
                files = entry.run_protocol(
                    fetch(manifest, texts_by_digest=entry.holder.get_texts_by_digest())
                )
                if files is not None:
                    entry.take_configuration(files, version=manifest.version)
        if isinstance(row, StoreError):
            self._ask_peers()
        self._report_version()

    def _ask_peers(self) -> None:
        """Ask peers for their configuration while the platform is out."""
        version, sender = self._peers.newer_version
        own = self._entry.settings.listen.peers
        query = ConfigurationQuery(
            known_version=self._entry.holder.version, reply_to=own
        )
        if version > self._entry.holder.version:
            self._peers.send(sender, query)
        elif self._entry.holder.version == 0:
            known = {item.instance: item.address for item in self._entry.live_entries()}
            seeds = {InstanceId(seed): seed for seed in self._entry.settings.seeds}
            for peer, address in (known or seeds).items():
                if address != own:
                    self._peers.send_to(peer, address, query)

    def _report_version(self) -> None:
        """Tell publishers which version this entry has in force."""
        entry = self._entry
        if entry.holder.version == entry.reported_version:
            return
        report = report_version(entry.instance, entry.incarnation, entry.holder.version)
        if entry.run_protocol(report):
            entry.reported_version = entry.holder.version

    def _follow_members(self) -> None:
        entry = self._entry
        before = entry.membership.generation
        result = entry.platform.instances.list_instances(
            known_version=self._list_version
        )
        if isinstance(result, Ok):
            entry.platform_seen_at = entry.clock.now()
            self._take_listing(result.ok_value)
        drains = entry.platform.tables.scan(DRAINS_TABLE, limit=1000)
        if isinstance(drains, Ok):
            for row in drains.ok_value:
                drain = msgspec.json.decode(row.value, type=Drain)
                entry.mark_leaving(
                    drain.instance, drain.incarnation, why="an operator drains it"
                )
        generation = entry.run_protocol(read_generation())
        if generation is not None:
            entry.generation = generation[0]
        named = entry.platform.tables.scan(QUARANTINE_TABLE, limit=1000)
        if isinstance(named, Ok):
            for row in named.ok_value:
                apply_quarantine_row(decode_quarantine_row(row), entry.quarantine)
        if entry.membership.generation != before:
            entry.arrange_members()

    def _take_listing(self, listing: Listing) -> None:
        """Merge a reading of the instance list; one without news repeats the last."""
        if listing.records is not None:
            self._list_version = listing.version
            self._listed = listing.records
        self._entry.membership.merge_list(self._listed)

    def _wait(self, wake: Callable[[], bool]) -> None:
        entries = max(1, len(self._entry.live_entries()))
        period = max(MIN_POLL_SECONDS, entries / READS_PER_SECOND)
        deadline = self._entry.clock.now() + period * self._random.uniform(0.8, 1.2)
        while self._entry.clock.now() < deadline:
            self._entry.clock.sleep(WAKE_SECONDS)
            if wake():
                return

    def _back_off(self, base: float) -> float:
        grown = min(BACK_OFF_LIMIT, base * 2.0 ** min(self._failures, 6))
        return grown * self._random.uniform(0.5, 1.0) if self._failures else base


def _has_gone(caller: socket.socket) -> bool:
    """Tell whether the caller closed its connection."""
    try:
        if not select([caller], [], [], 0)[0]:
            return False
        data = caller.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
    return not data
