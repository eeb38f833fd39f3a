"""
Trials of direct connections
============================

Sends replicas requests over direct connections while this process is isolated, which
ends that, or while they are silent, which shows whether it is.
"""

from collections.abc import Callable, Sequence

import gevent
from gevent.pool import Group

from damasklead.tunnels.dialer import TunnelDialer
from damasklead.tunnels.reachability import Reachability

__all__ = ["run_trials"]

INTERVAL_SECONDS = 0.3
# Replicas that are tried at once while they are silent; the failure of one alone is no
# isolation.
SILENT_COUNT = 2


def run_trials(
    *,
    dialer: TunnelDialer,
    reachability: Reachability,
    list_addresses: Callable[[], Sequence[str]],
) -> None:
    """
    Try replicas until the task is stopped.

    Parameters
    ----------
    dialer : TunnelDialer
    reachability : Reachability
    list_addresses : callable
        Returns the addresses of all replicas, ``ip:port``.
    """
    trials = Group()
    try:
        while True:
            gevent.sleep(INTERVAL_SECONDS)
            if reachability.is_isolated:
                dialer.try_replicas(list_addresses(), count=1)
            elif reachability.should_try:
                reachability.record_trial()
                # The next one asks other gateways, which these may be waiting for.
                trials.spawn(dialer.try_replicas, list_addresses(), count=SILENT_COUNT)
    finally:
        trials.kill(block=False)
