"""
Service
=======

One entry process: its supervisor tree, start and graceful stop.
"""

import signal

import gevent
from gevent.event import Event

from damasklead import logs
from damasklead.daemon.caller_server import CallerServer
from damasklead.daemon.duty_task import DutyTask
from damasklead.daemon.entry import Entry
from damasklead.daemon.operators import OperatorServer
from damasklead.daemon.peers import Peers
from damasklead.daemon.share_tasks import ShareTasks
from damasklead.daemon.watchers import Watchers
from damasklead.loop import LoopClock
from damasklead.settings import Settings
from damasklead.sharing import Coordinator
from damasklead.stores import Platform
from damasklead.stores.base import InstanceState
from damasklead.supervision import Child, ServerChild, Supervisor, TaskChild

__all__ = ["EntryService"]

# Time for the final answers of the requests that have not ended in a stop.
ANSWER_SECONDS = 0.2
POLL_INTERVAL_SECONDS = 0.05
# Time during which the entry still accepts connections after it is marked as leaving.
LEAVE_PROPAGATION_SECONDS = 1.0


class EntryService:
    """
    An entry with the supervisor tree of its tasks and listeners.

    Parameters
    ----------
    settings : Settings
        Settings of the entry.
    platform : Platform
        Table service, object store and instance list.

    Attributes
    ----------
    entry : Entry
        State of the entry.
    tree : Supervisor
        Root of the supervisor tree.
    """

    def __init__(self, *, settings: Settings, platform: Platform) -> None:
        clock = LoopClock()
        self.entry = Entry(settings=settings, platform=platform, clock=clock)
        coordinators: dict[str, Coordinator] = {}
        self._peers = Peers(entry=self.entry, coordinators=coordinators)
        self._watchers = Watchers(entry=self.entry, peers=self._peers)
        self._shares = ShareTasks(
            entry=self.entry, peers=self._peers, coordinators=coordinators
        )
        self._duties = DutyTask(entry=self.entry)
        self._callers = CallerServer(entry=self.entry)
        self._operators = OperatorServer(entry=self.entry)
        self._clock = clock
        self._stop_requested = Event()
        self.tree = self._build_tree()

    def start(self) -> None:
        """Register the entry, start its tasks and listeners, and return."""
        self._watchers.register_entry()
        self.tree.start(self._handle_tree_failure)
        logs.event(
            "started", instance=self.entry.instance, incarnation=self.entry.incarnation
        )

    def run(self) -> int:
        """
        Run until SIGTERM, SIGINT or a failure of the supervisor tree, then stop.

        Returns the exit code, 1 after a failure.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop_requested.set)
        self.start()
        self._stop_requested.wait()
        self.stop()
        return 1 if self.tree.failed.is_set() else 0

    def stop(self) -> None:
        """
        Stop gracefully.

        The entry is marked as leaving, stops accepting connections, waits up to
        ``stop_seconds`` for the requests in progress, and then stops its tasks.
        Requests that have not ended by then get their final answer.
        """
        entry = self.entry
        entry.is_stopping = True
        logs.event("stopping", requests=len(entry.exchanges))
        self._watchers.register_entry(InstanceState.LEAVING)
        entry.mark_leaving(
            entry.instance, entry.incarnation, why="it was asked to stop"
        )
        self._clock.sleep(LEAVE_PROPAGATION_SECONDS)
        self._callers.stop_accepting()
        deadline = self._clock.now() + entry.settings.limits.stop_seconds
        while (
            entry.exchanges or (entry.tunnels is not None and entry.tunnels.open_count)
        ) and self._clock.now() < deadline - ANSWER_SECONDS:
            self._clock.sleep(POLL_INTERVAL_SECONDS)
        unfinished = list(entry.exchanges.values())
        for exchange in unfinished:
            entry.end_exchange(exchange)
        if unfinished:
            self._clock.sleep(ANSWER_SECONDS)
        self._duties.release_leases()
        entry.run_protocol(entry.audit.flush_events())
        self.tree.stop()
        self._peers.close()
        entry.connections.close()
        logs.event(
            "stopped",
            instance=entry.instance,
            ended=len(unfinished),
            cut_off=len(entry.exchanges),
        )

    def _handle_tree_failure(self, child: Child, cause: BaseException | None) -> None:
        """Stop the process after the root supervisor has failed."""
        self._stop_requested.set()

    def _make_tunnel_children(self) -> list[Child]:
        """Return the tasks and the listener of tunnels, if there are any."""
        tunnels = self.entry.tunnels
        if tunnels is None:
            return []
        return [
            TaskChild(name="reachability", function=tunnels.run_trials),
            TaskChild(name="idle-connections", function=tunnels.run_close_loop),
            ServerChild(
                name="tunnels", start_server=tunnels.start, stop_server=tunnels.stop
            ),
        ]

    def _build_tree(self) -> Supervisor:
        """Return the supervisor tree, the listener for callers last."""
        return Supervisor(
            name="entry",
            clock=self._clock,
            children=[
                Supervisor(
                    name="platform",
                    clock=self._clock,
                    children=[
                        TaskChild(
                            name="members", function=self._watchers.run_member_loop
                        ),
                        TaskChild(
                            name="configuration",
                            function=self._watchers.run_configuration_loop,
                        ),
                        TaskChild(
                            name="configuration-queries",
                            function=self._watchers.run_configuration_query_loop,
                        ),
                        TaskChild(
                            name="records", function=self._watchers.run_record_loop
                        ),
                        TaskChild(name="duties", function=self._duties.run),
                        TaskChild(name="stalls", function=self.entry.stalls.run),
                    ],
                ),
                Supervisor(
                    name="sharing",
                    clock=self._clock,
                    children=[
                        TaskChild(name="peers", function=self._peers.run_receive_loop),
                        TaskChild(
                            name="coordinator",
                            function=self._shares.run_coordinator_loop,
                        ),
                        TaskChild(
                            name="demands", function=self._shares.run_demand_loop
                        ),
                    ],
                ),
                Supervisor(
                    name="traffic",
                    clock=self._clock,
                    children=[
                        TaskChild(
                            name="ticks", function=self._watchers.run_timeout_loop
                        ),
                        TaskChild(
                            name="memory", function=self._watchers.run_memory_loop
                        ),
                        TaskChild(name="crowds", function=self._callers.run_crowd_loop),
                        TaskChild(
                            name="callers-gone",
                            function=self._watchers.run_caller_check_loop,
                        ),
                        *self._make_tunnel_children(),
                        ServerChild(
                            name="operators",
                            start_server=self._operators.start,
                            stop_server=self._operators.stop,
                        ),
                        ServerChild(
                            name="callers",
                            start_server=self._callers.start,
                            stop_server=self._callers.stop,
                        ),
                    ],
                ),
            ],
        )
