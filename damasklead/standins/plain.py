"""
Stand-in for a plain service
============================

Accepts orders and stock queries, and records each execution of an order.
"""

import gevent
import msgspec

from damasklead.sharing import LoadReport
from damasklead.standins.base import (
    HttpRequest,
    HttpResponse,
    StandinServer,
    make_json_response,
)
from damasklead.stores.base import InstanceRecord, Platform
from damasklead.upstreams.base import UpstreamStatus

__all__ = ["PlainStandin"]

PROCESSING_SECONDS = 0.005
SLOT_COUNT = 64


class PlainStandin(StandinServer):
    """
    A stand-in for a plain HTTP service.

    Attributes
    ----------
    executed_orders : list of str
        References of the executed orders, one for each execution.
    """

    def __init__(
        self,
        *,
        record: InstanceRecord,
        platform: Platform | None = None,
        exits_on_crash: bool = False,
    ) -> None:
        super().__init__(
            record=record, platform=platform, exits_on_crash=exits_on_crash
        )
        self.executed_orders: list[str] = []
        self._running_count = 0

    def handle_request(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        if request.path == "/orders" and request.method == "POST":
            return self._handle_order(request)
        if request.path == "/orders" and request.method == "GET":
            return make_json_response(self.executed_orders)
        if request.path.startswith("/stock/"):
            return self._process_request(
                request, {"item": request.path[len("/stock/") :], "in_stock": 7}
            )
        return super().handle_request(request)

    def build_status(self) -> UpstreamStatus:
        """Return the status with a load report."""
        load = LoadReport(running=self._running_count, waiting=0, slots=SLOT_COUNT)
        return UpstreamStatus(
            incarnation=self.record.incarnation, leaving=self.is_leaving, load=load
        )

    def _handle_order(self, request: HttpRequest) -> HttpResponse:
        if self.is_leaving:
            return self.make_refusal(request)
        reference = str(msgspec.json.decode(request.body)["reference"])
        self.executed_orders.append(reference)
        return self._process_request(
            request, {"reference": reference, "accepted": True}
        )

    def _process_request(self, request: HttpRequest, content: object) -> HttpResponse:
        if self.is_leaving:
            return self.make_refusal(request)
        self._running_count += 1
        gevent.sleep(PROCESSING_SECONDS)
        self._running_count -= 1
        return make_json_response(
            content, headers=(("X-Request-ID", request.request_id),)
        )
