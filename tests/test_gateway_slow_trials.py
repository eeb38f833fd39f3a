"""
Tests of trials on machines where everything responds late
==========================================================

Each process waits long for its turn.  Neither that nor a slow replica may decide
whether a gateway is cut off.
"""

import time
from collections.abc import Callable, Iterable, Iterator

import gevent
import pytest
from gevent import socket

from damasklead.clock import ManualClock
from damasklead.tunnels.dialer import (
    ANSWER_ELSEWHERE_SECONDS,
    ANSWER_SECONDS,
    HELPER_RESPONSE_SECONDS,
)
from damasklead.tunnels.helpers import HelperAddress
from damasklead.tunnels.reachability import MIN_TRIAL_INTERVAL_SECONDS
from damasklead.tunnels.trials import run_trials
from damasklead.util import split_address
from tests.gateway_kit import wait_until
from tests.test_gateway_tunnel_probes import (
    RESPONSE,
    Site,
    end,
    open_nothing,
    stay_silent,
)
from tests.tunnel_kit import Helper, echo, isolate

LATE_SECONDS = 1.5 * max(ANSWER_SECONDS, HELPER_RESPONSE_SECONDS)


@pytest.fixture
def site() -> Iterator[Site]:
    created_site = Site()
    yield created_site
    created_site.stop()


def respond_late(raw: socket.socket) -> None:
    raw.recv(65_536)
    gevent.sleep(LATE_SECONDS)
    raw.sendall(RESPONSE)


def make_late(helper: Helper) -> Callable[[socket.socket], None]:
    """Return a way to a helper whose responses come late."""

    def pass_on_late(raw: socket.socket) -> None:
        with socket.create_connection(split_address(helper.address)) as connection:
            requests = gevent.spawn(pass_on, raw, connection)
            gevent.sleep(LATE_SECONDS)
            responses = gevent.spawn(pass_on, connection, raw)
            gevent.joinall([requests, responses], count=1)
            gevent.killall([requests, responses])

    return pass_on_late


def pass_on(source: socket.socket, sink: socket.socket) -> None:
    while data := source.recv(65_536):
        sink.sendall(data)


def test_trials_decide_although_replicas_answer_late(site: Site) -> None:
    """They answer other gateways alone."""
    site.add_replicas(respond_late)
    site.cut(stay_silent)
    site.run_trial(site.make_dialer(site.add_helper()))
    assert site.changes == [True]


def test_trials_decide_although_other_gateways_respond_late(site: Site) -> None:
    site.add_replicas()
    site.cut(stay_silent)
    late = site.add_server(make_late(site.add_helper()))
    site.run_trial(site.make_dialer(late, site.add_server(open_nothing)))
    assert site.changes == [True]


def test_a_busy_process_gives_others_the_whole_time_to_answer(site: Site) -> None:
    """The limit began when the event loop had last read the clock."""
    site.add_replicas()
    site.cut(stay_silent)
    helper = site.add_helper()
    dialer = site.make_dialer(helper)
    list_peers = dialer._get_peers
    delays = [ANSWER_ELSEWHERE_SECONDS]

    def compute_and_list_peers() -> Iterable[HelperAddress]:
        time.sleep(delays.pop() if delays else 0.0)
        return list_peers()

    dialer._get_peers = compute_and_list_peers
    site.run_trial(dialer)
    assert site.changes == [True]


def test_late_replicas_that_start_again_isolate_no_gateway(site: Site) -> None:
    """They answer a second request directly as late as one of another gateway."""
    ended: set[int] = set()

    def end_first(raw: socket.socket) -> None:
        port = raw.getsockname()[1]
        if port in ended:
            respond_late(raw)
        ended.add(port)

    site.add_replicas(end_first)
    site.run_trial(site.make_dialer(site.add_helper()))
    assert len(ended) == 2
    assert not site.changes


def test_a_late_answer_ends_the_questions_to_other_gateways(site: Site) -> None:
    site.add_replicas(respond_late)
    others = [site.add_server(open_nothing) for _ in range(2)]
    site.run_trial(site.make_dialer(*others))
    assert not site.changes
    assert not site.reachability.should_try
    gevent.sleep(0.05)
    assert [item.ended_count for item in others] == [2, 2]


def test_trials_that_nobody_answers_do_not_delay_the_next(site: Site) -> None:
    """It asks other gateways, among them some that aren't cut off."""
    site.add_replicas(stay_silent)
    others = [site.add_server(open_nothing) for _ in range(4)]
    clock = site.reachability._clock
    assert isinstance(clock, ManualClock)
    trials = gevent.spawn(
        run_trials,
        dialer=site.make_dialer(*others),
        reachability=site.reachability,
        list_addresses=lambda: [item.address for item in site.replicas],
    )
    site.reachability.record_unanswered()
    wait_until(lambda: sum(item.connection_count for item in others) == 8)
    clock.advance(MIN_TRIAL_INTERVAL_SECONDS)
    wait_until(lambda: sum(item.connection_count for item in others) == 16)
    assert not any(item.ended_count for item in others)
    trials.kill()
    wait_until(lambda: sum(item.ended_count for item in others) == 16)


def test_replicas_that_end_and_answer_nobody_isolate_no_gateway(site: Site) -> None:
    site.add_replicas(end)
    site.run_trial(site.make_dialer(site.add_helper()))
    assert not site.changes


def test_a_tunnel_opens_through_a_gateway_that_responds_late(site: Site) -> None:
    site.add_replicas()
    isolate(site.reachability)
    helper = site.add_helper()
    dialer = site.make_dialer(site.add_server(make_late(helper)))
    for _ in range(2):
        link = dialer.dial(site.replicas[0].address)
        assert link.is_tunnel
        link.raw.close()
    assert helper.server.opened_count == 2


def test_a_late_gateway_delays_a_tunnel_through_another_one_once(site: Site) -> None:
    site.add_replicas()
    isolate(site.reachability)
    late = site.add_server(make_late(site.add_helper()))
    sound = site.add_helper()
    dialer = site.make_dialer(late, sound)
    for _ in range(4):
        assert dialer.dial(site.replicas[0].address).is_tunnel
    assert sound.server.opened_count == 4
    assert late.connection_count <= 1


def test_tunnels_that_open_after_another_one_are_closed(site: Site) -> None:
    site.add_replicas(echo)
    isolate(site.reachability)
    helper = site.add_helper()
    late = [site.add_server(make_late(helper)) for _ in range(2)]
    link = site.make_dialer(*late).dial(site.replicas[0].address)
    assert link.is_tunnel
    gevent.sleep(LATE_SECONDS)
    assert helper.server.open_count == 1
    link.raw.close()
