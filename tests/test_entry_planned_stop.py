"""
Tests of requests that come during a planned stop of an entry
=============================================================
"""

from collections.abc import Iterator

import gevent
import pytest

from damasklead.daemon.callers import OUTCOME_HEADER
from damasklead.standins.base import HttpRequest, HttpResponse
from damasklead.upstreams import UpstreamResponse
from tests.test_daemon import EntryHarness

STOP_SECONDS = 2.0


class Stop(EntryHarness):
    """An entry whose plain service and engines never answer."""

    def start(self) -> None:
        super().start()
        limits = self.service.entry.settings.limits
        object.__setattr__(limits, "stop_seconds", STOP_SECONDS)
        for standin in (*self.engines, self.shop):
            standin.handle_request = self._never_answer  # type: ignore[method-assign]

    def _never_answer(self, _request: HttpRequest) -> HttpResponse:
        gevent.sleep(60.0)
        raise AssertionError("the stop ends before")


@pytest.fixture
def stop() -> Iterator[Stop]:
    stop = Stop()
    stop.start()
    yield stop
    stop.stop()


def send_order(stop: Stop) -> UpstreamResponse:
    return stop.send(
        "POST",
        "/services/demo-app/orders",
        b'{"reference": "o1"}',
        Idempotency_Key="k1",
    )


def send_lookup(stop: Stop) -> UpstreamResponse:
    return stop.send("GET", "/services/demo-app/stock/ice")


def send_completion(stop: Stop) -> UpstreamResponse:
    return stop.send_completion("ice?", stream=False)[0]


@pytest.mark.parametrize("send", [send_order, send_lookup, send_completion])
def test_requests_that_do_not_end_get_an_answer(stop: Stop, send: object) -> None:
    request = gevent.spawn(send, stop)
    stop.wait_until(
        lambda: any(
            exchange.was_attempted for exchange in stop.service.entry.exchanges.values()
        )
    )
    stop.service.stop()
    response = request.get(timeout=10)
    assert response.status == 502
    assert response.get_header(OUTCOME_HEADER) == "unknown"
    assert response.read_body(limit=10_000)


@pytest.mark.parametrize("send", [send_order, send_lookup, send_completion])
def test_requests_that_come_during_the_stop_are_refused(
    stop: Stop, send: object
) -> None:
    first = gevent.spawn(send_lookup, stop)
    stop.wait_until(lambda: len(stop.service.entry.exchanges) == 1)
    stopping = gevent.spawn(stop.service.stop)
    gevent.sleep(0.1)
    response = send(stop)
    assert response.status == 503
    assert response.get_header(OUTCOME_HEADER) == "not-run"
    stopping.get(timeout=20)
    assert first.get(timeout=10).status == 502
