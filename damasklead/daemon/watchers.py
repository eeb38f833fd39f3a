"""
Watchers
========

Periodic tasks of an entry: they poll the platform for the configuration, the instance
list, drains and the quarantine, write audit events and the ends of claims, and process
timeouts and disconnects.
"""

import math
import random
import select
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import msgspec
from gevent import socket
from result import Err, Ok

from damasklead import logs
from damasklead.daemon.entry import ENTRY_SERVICE, Entry
from damasklead.daemon.peers import Peers
from damasklead.decoding import decode_json
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

T = TypeVar("T")

TIMEOUT_CHECK_INTERVAL_SECONDS = 0.05
EARLY_POLL_CHECK_INTERVAL_SECONDS = 0.2
QUERY_CHECK_INTERVAL_SECONDS = 0.1
MEMORY_CHECK_INTERVAL_SECONDS = 0.25
CALLER_CHECK_INTERVAL_SECONDS = 0.25
MIN_POLL_INTERVAL_SECONDS = 1.0
MAX_READS_PER_SECOND = 20.0  # of all entries together, for each kind of polled data
RECORD_INTERVAL_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
# Longest list of ids in a log line.
MAX_LOGGED_CHARACTERS = 500


class Watchers:
    """
    The periodic tasks of an entry.

    Parameters
    ----------
    entry : Entry
        State of this entry.
    peers : Peers
        Connections to the other entries.
    """

    def __init__(self, *, entry: Entry, peers: Peers) -> None:
        self._entry = entry
        self._peers = peers
        self._random = random.Random(entry.instance)
        self._failure_count = 0
        self._is_configuration_readable = True
        self._has_polled_members = False
        self._next_member_query_at = -math.inf
        self._listed_records: tuple[InstanceRecord, ...] = ()

    def run_timeout_loop(self) -> None:
        """Process the timeouts of the pools until the task is stopped."""
        while True:
            self._entry.clock.sleep(TIMEOUT_CHECK_INTERVAL_SECONDS)
            self._entry.process_timeouts()

    def run_memory_loop(self) -> None:
        """Update the limit on what is held for callers until the task is stopped."""
        while True:
            self._entry.clock.sleep(MEMORY_CHECK_INTERVAL_SECONDS)
            self._entry.update_memory_limit()

    def run_configuration_loop(self) -> None:
        """
        Poll the published configuration until the task is stopped.

        It is polled early when a peer has a newer configuration.
        """
        while True:
            self._run_poll(self._poll_configuration)
            self._wait_for_poll(
                lambda: self._entry.configuration_sources.is_outdated(
                    self._entry.configuration_holder.version
                )
            )

    def run_configuration_query_loop(self) -> None:
        """
        Request what the platform doesn't serve from other entries until the task is
        stopped.

        A call of the platform may last several seconds, so that this doesn't wait for
        polls.
        """
        while True:
            self._entry.clock.sleep(QUERY_CHECK_INTERVAL_SECONDS)
            self._request_configuration()

    def run_member_loop(self) -> None:
        """Poll instances, drains and the quarantine until the task is stopped."""
        while True:
            self._run_poll(self._poll_members)
            self._has_polled_members = True
            self._wait_for_poll(lambda: False)

    def _run_poll(self, poll: Callable[[], None]) -> None:
        """Poll once; a row that can't be decoded must not end the process."""
        try:
            poll()
        except msgspec.DecodeError as error:
            logs.warning("odd-row", detail=str(error))

    def run_caller_check_loop(self) -> None:
        """
        Cancel requests whose caller disconnected before the response began, and fail
        streams whose upstream sends nothing for the read timeout.

        A request with a claim, which may be executed only once, continues while an
        attempt runs: it can't be undone, and its response is recorded.
        """
        while True:
            self._entry.clock.sleep(CALLER_CHECK_INTERVAL_SECONDS)
            for exchange in list(self._entry.exchanges.values()):
                exchange.check_read_timeout()
                is_cancellable = not exchange.is_streaming and not (
                    exchange.claim and exchange.has_active_attempt
                )
                if (
                    is_cancellable
                    and exchange.caller_socket is not None
                    and _is_disconnected(exchange.caller_socket)
                ):
                    exchange.caller_socket = None
                    self._entry.handle_caller_disconnect(exchange)

    def run_record_loop(self) -> None:
        """
        Write audit events and the ends of claims until the task is stopped.

        The interval between writes grows while the store is unavailable.
        """
        while True:
            self._entry.clock.sleep(self._get_delay(RECORD_INTERVAL_SECONDS))
            self._entry.claims.retry_pending()
            pending = len(self._entry.audit)
            if pending:
                stored_count = self._entry.run_protocol(
                    self._entry.audit.flush_events()
                )
                self._failure_count = 0 if stored_count else self._failure_count + 1

    def register_entry(self, state: InstanceState = InstanceState.LIVE) -> None:
        """
        Add this process to the instance list if the platform's settings ask for it.

        Parameters
        ----------
        state : InstanceState
            State under which it is listed.
        """
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
            tunnels=settings.listen.tunnels or "",
        )
        result = self._entry.platform.instances.register_instance(record)
        if isinstance(result, Err):
            logs.warning("announce", result=result.err_value.value)

    def _poll_configuration(self) -> None:
        """Activate a newer published configuration and report the active version."""
        entry = self._entry
        row = entry.run_protocol(read_manifest())
        is_readable = not isinstance(row, StoreError)
        if isinstance(row, Row):
            manifest = decode_manifest(row)
            if manifest.version > entry.configuration_holder.version:
                files = entry.run_protocol(
                    fetch(
                        manifest,
                        texts_by_digest=entry.configuration_holder.get_texts_by_digest(),
                    )
                )
                is_readable = files is not None
                if files is not None:
                    entry.activate_configuration(files, version=manifest.version)
        self._is_configuration_readable = is_readable
        self._report_version()

    def _request_configuration(self) -> None:
        """Request the configuration from another entry if that is due."""
        entry = self._entry
        own_address = entry.settings.listen.peers
        addresses = {
            item.instance: item.address for item in entry.find_live_entries()
        } or {InstanceId(seed): seed for seed in entry.settings.seeds}
        peers = [peer for peer, item in addresses.items() if item != own_address]
        if not peers and not self._has_polled_members:
            return
        known_version = entry.configuration_holder.version
        peer = entry.configuration_sources.choose_peer(
            known_version,
            peers=peers,
            is_platform_readable=self._is_configuration_readable
            and entry.is_list_readable,
        )
        if peer is not None:
            is_complete = entry.configuration_sources.is_complete
            query = ConfigurationQuery(
                known_version=known_version if is_complete else 0,
                reply_to=own_address,
                known_list=self._get_known_list(),
            )
            self._peers.send_message_to_address(peer, addresses[peer], query)

    def _get_known_list(self) -> str | None:
        """
        Return the version of the instance list to ask for others, if that is due.

        Members are as long as the list, and requested no more often than it is read.
        """
        entry = self._entry
        now = entry.clock.now()
        if entry.is_list_readable or now < self._next_member_query_at:
            return None
        self._next_member_query_at = now + self._get_poll_interval()
        return entry.peer_list_version or entry.list_version

    def _report_version(self) -> None:
        """Report the active version to the platform, where publishers wait for it."""
        entry = self._entry
        if entry.configuration_holder.version == entry.reported_version:
            return
        report = report_version(
            entry.instance, entry.incarnation, entry.configuration_holder.version
        )
        if entry.run_protocol(report):
            entry.reported_version = entry.configuration_holder.version

    def _poll_members(self) -> None:
        """Read the instance list, drains, the claims' generation and the quarantine."""
        entry = self._entry
        before = entry.membership.generation
        result = entry.platform.instances.list_instances(
            known_version=entry.list_version
        )
        entry.is_list_readable = isinstance(result, Ok)
        if isinstance(result, Ok):
            entry.platform_last_read_at = entry.clock.now()
            entry.peer_list_version = ""
            self._apply_listing(result.ok_value)
        drains = entry.platform.tables.scan(DRAINS_TABLE, limit=1000)
        if isinstance(drains, Ok):
            for drain in _decode_rows(
                drains.ok_value, lambda row: decode_json(row.value, type=Drain)
            ):
                entry.mark_leaving(
                    drain.instance, drain.incarnation, why="an operator drains it"
                )
        generation = entry.run_protocol(read_generation())
        if generation is not None:
            entry.generation = generation[0]
        quarantined = entry.platform.tables.scan(QUARANTINE_TABLE, limit=1000)
        if isinstance(quarantined, Ok):
            for item in _decode_rows(quarantined.ok_value, decode_quarantine_row):
                apply_quarantine_row(item, entry.quarantine)
        if entry.membership.generation != before:
            entry.update_members()

    def _apply_listing(self, listing: Listing) -> None:
        """Merge the instance list, with the last read records if it is unchanged."""
        if listing.records is not None:
            self._entry.list_version = listing.version
            self._listed_records = listing.records
        odd = self._entry.membership.merge_list(self._listed_records)
        if odd:
            logs.warning(
                "odd-instances", instances=",".join(odd)[:MAX_LOGGED_CHARACTERS]
            )

    def _wait_for_poll(self, should_poll: Callable[[], bool]) -> None:
        """Wait until the next poll is due or ``should_poll`` returns true."""
        interval = self._get_poll_interval() * self._random.uniform(0.8, 1.2)
        deadline = self._entry.clock.now() + interval
        while self._entry.clock.now() < deadline:
            self._entry.clock.sleep(EARLY_POLL_CHECK_INTERVAL_SECONDS)
            if should_poll():
                return

    def _get_poll_interval(self) -> float:
        """
        Return the seconds between polls.

        The interval grows with the number of entries, which bounds the rate of reads of
        all entries together.
        """
        entry_count = len(self._entry.find_live_entries())
        return max(MIN_POLL_INTERVAL_SECONDS, entry_count / MAX_READS_PER_SECOND)

    def _get_delay(self, base: float) -> float:
        """Return the seconds to the next write, ``base`` unless writes have failed."""
        backoff = min(MAX_BACKOFF_SECONDS, base * 2.0 ** min(self._failure_count, 6))
        return backoff * self._random.uniform(0.5, 1.0) if self._failure_count else base


def _is_disconnected(caller: socket.socket) -> bool:
    """Return whether a caller closed its connection."""
    if caller.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(caller, select.POLLIN)
    try:
        if not poller.poll(0):
            return False
        data = caller.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
    return not data


def _decode_rows(rows: Iterable[Row], decode: Callable[[Row], T]) -> Iterator[T]:
    """Yield what rows contain; those that another writer has left are left out."""
    for row in rows:
        try:
            yield decode(row)
        except msgspec.DecodeError as error:
            logs.warning("odd-row", key=row.key, detail=str(error))
