"""
API
===

Client of the platform's API for duties.
"""

from collections.abc import Callable, Mapping

import gevent
import msgspec

from damasklead.clock import Clock
from damasklead.gateway.duties.base import (
    ApiError,
    ApiFault,
    CallIdentity,
    PlatformApi,
    UsageReport,
)
from damasklead.gateway.upstream_http import Connection, ConnectionPool, SendError
from damasklead.ids import DataCentre, ServiceName

__all__ = ["DutyApi"]

# A call takes some ten milliseconds, up to fifty times as long when the API is slow.
# It has to end before the lease, which is valid for 1.5 s at least while it is renewed
# every second.
TIMEOUT_SECONDS = 1.2
MAX_RESPONSE_BYTES = 65_536
_FAULTS = {409: ApiFault.UNAVAILABLE, 429: ApiFault.LIMITED}


class DutyApi(PlatformApi):
    """
    The API at one address.

    Each call has a connection of its own: one that was kept may have been cut.

    Parameters
    ----------
    address : str
        Address of the API as ``ip:port``.
    clock : Clock
    """

    def __init__(self, *, address: str, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._connections = ConnectionPool(clock=clock)

    @property
    def timeout_seconds(self) -> float:
        """Longest time from the start of a call until it has taken effect or failed."""
        return TIMEOUT_SECONDS

    def report_usage(
        self,
        report: UsageReport,
        *,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        """Report the usage of a window; raises ``ApiError``."""
        content = {"window_id": report.window, "counts": report.counts}
        self._post("/usage", content, identity, may_send)

    def order_replicas(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        *,
        count: int,
        preemptible: bool,
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        """Order a number of replicas of one kind; raises ``ApiError``."""
        content: dict[str, object] = {
            "service": service,
            "zone": data_centre,
            "desired": count,
        }
        if preemptible:
            content["preemptible"] = True
        self._post("/scale", content, identity, may_send)

    def _post(
        self,
        target: str,
        content: Mapping[str, object],
        identity: CallIdentity,
        may_send: Callable[[float], bool],
    ) -> None:
        body = msgspec.json.encode(content)
        deadline = self._clock.now() + TIMEOUT_SECONDS
        timeout_error = ApiError(
            ApiFault.UNREACHABLE, f"no response in {TIMEOUT_SECONDS} s"
        )
        connection: Connection | None = None
        try:
            with gevent.Timeout(TIMEOUT_SECONDS, timeout_error):
                connection = self._connections.acquire(self._address)
                # The process may have been suspended before or during this call, so
                # that the lease may belong to another one.
                remaining_seconds = deadline - self._clock.now()
                if remaining_seconds <= 0.0:
                    raise timeout_error
                if not may_send(remaining_seconds):
                    raise ApiError(
                        ApiFault.UNREACHABLE, "the lease ended before the call was sent"
                    )
                connection.send_request(
                    method="POST",
                    target=target,
                    headers=[
                        (b"Host", self._address.encode()),
                        (b"Content-Type", b"application/json"),
                        (b"Lease-Owner", identity.holder.encode("latin-1")),
                        (b"Fencing-Token", b"%d" % identity.token),
                    ],
                    body=body,
                )
                status = connection.read_head().status_code
                connection.read_body(limit=MAX_RESPONSE_BYTES)
        except SendError as error:
            raise ApiError(ApiFault.UNREACHABLE, str(error)) from error
        finally:
            if connection is not None:
                connection.close()
        if status != 200:
            fault = _FAULTS.get(status, ApiFault.REFUSED)
            raise ApiError(fault, f"status {status}")
