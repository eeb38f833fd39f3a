"""
Platform over HTTP
==================

A client of the platform's services, which posts each call as a JSON document.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from damasklead.decoding import decode_json
from damasklead.ids import InstanceId, StoreEra
from damasklead.stores.base import (
    Commit,
    Committed,
    Conflict,
    InstanceList,
    InstanceRecord,
    Listing,
    ObjectStore,
    Platform,
    Row,
    StoreError,
    TableService,
)
from damasklead.stores.listings import decode_listing
from damasklead.upstreams.calls import fetch_response
from damasklead.upstreams.transport import ConnectionPool, UpstreamError

__all__ = [
    "ERA_HEADER",
    "AnnounceCall",
    "CommitCall",
    "GetCall",
    "HttpPlatformClient",
    "ListCall",
    "PutCall",
    "ReadCall",
    "ScanCall",
    "WithdrawCall",
    "make_http_platform",
]

RESPONSE_TIMEOUT_SECONDS = 2.0
# Time for a complete response, also a long one.
CALL_TIMEOUT_SECONDS = 6.0
MAX_RESPONSE_BYTES = 67_108_864
# Response header with the number of the tables' restores from a backup.
ERA_HEADER = "X-Store-Era"
T = TypeVar("T")


class ReadCall(msgspec.Struct, kw_only=True, tag="read"):
    """Arguments of ``TableService.read``."""

    table: str
    keys: tuple[str, ...]


class ScanCall(msgspec.Struct, kw_only=True, tag="scan"):
    """Arguments of ``TableService.scan``."""

    table: str
    prefix: str
    after: str
    limit: int


class CommitCall(msgspec.Struct, kw_only=True, tag="commit"):
    """Arguments of ``TableService.commit``."""

    commit: Commit


class PutCall(msgspec.Struct, kw_only=True, tag="put-object"):
    """Arguments of ``ObjectStore.put``."""

    name: str
    content: bytes


class GetCall(msgspec.Struct, kw_only=True, tag="get-object"):
    """Arguments of ``ObjectStore.get``."""

    name: str


class ListCall(msgspec.Struct, kw_only=True, tag="list-instances"):
    """Arguments of ``InstanceList.list_instances``."""

    known: str = ""


class AnnounceCall(msgspec.Struct, kw_only=True, tag="announce"):
    """Arguments of ``InstanceList.register_instance``."""

    record: InstanceRecord


class WithdrawCall(msgspec.Struct, kw_only=True, tag="withdraw"):
    """Arguments of ``InstanceList.deregister_instance``."""

    instance: InstanceId


Call = (
    ReadCall
    | ScanCall
    | CommitCall
    | PutCall
    | GetCall
    | ListCall
    | AnnounceCall
    | WithdrawCall
)


class HttpPlatformClient:
    """
    Posts calls to the platform over pooled connections.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool(body_limit=MAX_RESPONSE_BYTES)
        self._era = StoreEra(0)

    @property
    def era(self) -> StoreEra:
        """The highest era that a response has named; 0 before."""
        return self._era

    def post_call(
        self,
        call: Call,
        response_type: Any,
        *,
        decode: Callable[[bytes], Any] | None = None,
    ) -> Result[Any, StoreError]:
        """
        Post one call.

        Parameters
        ----------
        call : Call
            The call.
        response_type : type
            Type as which the JSON response is decoded.
        decode : callable, optional
            Decodes the response instead; raises ``msgspec.DecodeError``.

        Returns
        -------
        Result
            ``Err(UNAVAILABLE)`` if the connection was refused or the platform responded
            with status 503; ``Err(UNKNOWN)`` if the call failed in any other way.
        """
        body = msgspec.json.encode(call)
        try:
            response, content = fetch_response(
                self._pool,
                self._address,
                method="POST",
                path="/call",
                headers=(("Content-Type", "application/json"),),
                body=body,
                read_timeout=RESPONSE_TIMEOUT_SECONDS,
                total_timeout=CALL_TIMEOUT_SECONDS,
                limit=MAX_RESPONSE_BYTES,
            )
        except UpstreamError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Err(StoreError.UNAVAILABLE)
            return Err(StoreError.UNKNOWN)
        self._record_era(response.get_header(ERA_HEADER))
        if response.status == 503:
            return Err(StoreError.UNAVAILABLE)
        if response.status != 200:
            return Err(StoreError.UNKNOWN)
        try:
            if decode is not None:
                return Ok(decode(content))
            return Ok(decode_json(content, type=response_type))
        except msgspec.DecodeError:
            return Err(StoreError.UNKNOWN)

    def _record_era(self, value: str) -> None:
        if value.isdecimal():
            self._era = StoreEra(max(self._era, int(value)))


class HttpTableService(TableService):
    """Tables over HTTP."""

    def __init__(self, *, client: HttpPlatformClient) -> None:
        self._client = client

    @property
    def era(self) -> StoreEra:
        """The highest era that a response of the platform has named; 0 before."""
        return self._client.era

    def read(
        self, table: str, keys: tuple[str, ...]
    ) -> Result[tuple[Row, ...], StoreError]:
        """Return the rows that exist among ``keys``."""
        return self._client.post_call(ReadCall(table=table, keys=keys), tuple[Row, ...])

    def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> Result[tuple[Row, ...], StoreError]:
        """Return up to ``limit`` rows in key order whose key starts with ``prefix``."""
        call = ScanCall(table=table, prefix=prefix, after=after, limit=limit)
        return self._client.post_call(call, tuple[Row, ...])

    def commit(self, commit: Commit) -> Result[Committed | Conflict, StoreError]:
        """Apply a commit."""
        return self._client.post_call(CommitCall(commit=commit), Committed | Conflict)


class HttpObjectStore(ObjectStore):
    """Objects over HTTP."""

    def __init__(self, *, client: HttpPlatformClient) -> None:
        self._client = client

    def put(self, name: str, content: bytes) -> Result[None, StoreError]:
        """Store an object."""
        return self._client.post_call(PutCall(name=name, content=content), None)

    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object's content, or ``None`` when there is none."""
        return self._client.post_call(GetCall(name=name), bytes | None)


class HttpInstanceList(InstanceList):
    """The instance list over HTTP."""

    def __init__(self, *, client: HttpPlatformClient) -> None:
        self._client = client

    def list_instances(self, *, known_version: str = "") -> Result[Listing, StoreError]:
        """Return all instances, unless the list still has the known version."""
        call = ListCall(known=known_version)
        return self._client.post_call(call, Listing, decode=decode_listing)

    def register_instance(self, record: InstanceRecord) -> Result[None, StoreError]:
        """Add or update an instance."""
        return self._client.post_call(AnnounceCall(record=record), None)

    def deregister_instance(self, instance: InstanceId) -> Result[None, StoreError]:
        """Remove an instance."""
        return self._client.post_call(WithdrawCall(instance=instance), None)


def make_http_platform(*, address: str) -> Platform:
    """Return the platform at ``address``, given as ``ip:port``."""
    client = HttpPlatformClient(address=address)
    return Platform(
        tables=HttpTableService(client=client),
        objects=HttpObjectStore(client=client),
        instances=HttpInstanceList(client=client),
    )
