"""
Stand-in for a plain service
============================

Takes orders and answers stock checks, and keeps a record of each order that it ran.
"""

import gevent
import msgspec

from damasklead.sharing import LoadReport
from damasklead.standins.base import Call, Reply, StandinServer, json_reply
from damasklead.stores.base import InstanceRecord, Platform
from damasklead.upstreams.base import UpstreamStatus

__all__ = ["PlainStandin"]

WORK_SECONDS = 0.005
SLOTS = 64


class PlainStandin(StandinServer):
    """
    An ordinary service.

    Attributes
    ----------
    orders : list of str
        The references of the orders that were run, one for each run.
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
        self.orders: list[str] = []
        self._running = 0

    def handle(self, call: Call) -> Reply:
        """Answer a call."""
        if call.path == "/orders" and call.method == "POST":
            return self._order(call)
        if call.path == "/orders" and call.method == "GET":
            return json_reply(self.orders)
        if call.path.startswith("/stock/"):
            return self._work(
                call, {"item": call.path[len("/stock/") :], "in_stock": 7}
            )
        return super().handle(call)

    def status(self) -> UpstreamStatus:
        """Return the load report."""
        load = LoadReport(running=self._running, waiting=0, slots=SLOTS)
        return UpstreamStatus(
            incarnation=self.record.incarnation, leaving=self.leaving, load=load
        )

    def _order(self, call: Call) -> Reply:
        if self.leaving:
            return self.refusal(call)
        reference = str(msgspec.json.decode(call.body)["reference"])
        self.orders.append(reference)
        return self._work(call, {"reference": reference, "accepted": True})

    def _work(self, call: Call, content: object) -> Reply:
        if self.leaving:
            return self.refusal(call)
        self._running += 1
        gevent.sleep(WORK_SECONDS)
        self._running -= 1
        return json_reply(content, headers=(("X-Request-ID", call.request_id),))
