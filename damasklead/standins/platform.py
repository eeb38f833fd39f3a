"""
Stand-in for the platform
=========================

Serves the in-memory platform over HTTP, with fault injection.
"""

from typing import Any

import gevent
import msgspec
from result import Err, Ok, Result

from damasklead.standins.base import (
    HttpRequest,
    HttpResponse,
    StandinServer,
    make_json_response,
)
from damasklead.stores.base import InstanceRecord, Platform, StoreError, TableService
from damasklead.stores.http import (
    ERA_HEADER,
    AnnounceCall,
    Call as PlatformCall,
    CommitCall,
    GetCall,
    ListCall,
    PutCall,
    ReadCall,
    ScanCall,
    WithdrawCall,
)
from damasklead.stores.memory import Faults, make_memory_platform

__all__ = ["PlatformStandin"]


class PlatformStandin(StandinServer):
    """
    A stand-in for the platform.

    Attributes
    ----------
    faults : Faults
        Injected faults in effect; ``POST /faults`` replaces them.
    call_counts : dict
        Platform calls by the class name of the call, served at ``/counts``.
    """

    def __init__(self, *, record: InstanceRecord) -> None:
        super().__init__(record=record)
        self.faults = Faults()
        self.call_counts: dict[str, int] = {}
        self._services: Platform = make_memory_platform(faults=self.faults)

    @property
    def tables(self) -> TableService:
        """The tables that the stand-in serves."""
        return self._services.tables

    def handle_request(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        if request.path == "/faults" and request.method == "POST":
            return self._set_faults(request)
        if request.path == "/counts":
            return make_json_response(self.call_counts)
        if request.path != "/call":
            return super().handle_request(request)
        if self.faults.delay:
            gevent.sleep(self.faults.delay)
        platform_call = msgspec.json.decode(request.body, type=PlatformCall)
        name = type(platform_call).__name__
        self.call_counts[name] = self.call_counts.get(name, 0) + 1
        result = self._execute_call(platform_call)
        headers = ((ERA_HEADER, str(self._services.tables.era)),)
        if isinstance(result, Ok):
            return make_json_response(result.ok_value, headers=headers)
        status = 503 if result.err_value is StoreError.UNAVAILABLE else 504
        content = {"error": result.err_value.value}
        return make_json_response(content, status=status, headers=headers)

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        requested = msgspec.json.decode(request.body, type=Faults)
        for field in Faults.__struct_fields__:
            setattr(self.faults, field, getattr(requested, field))
        return make_json_response(requested)

    def _execute_call(self, platform_call: PlatformCall) -> Result[Any, StoreError]:
        services = self._services
        match platform_call:
            case ReadCall():
                return services.tables.read(platform_call.table, platform_call.keys)
            case ScanCall():
                return services.tables.scan(
                    platform_call.table,
                    prefix=platform_call.prefix,
                    after=platform_call.after,
                    limit=platform_call.limit,
                )
            case CommitCall():
                return services.tables.commit(platform_call.commit)
            case PutCall():
                return services.objects.put(platform_call.name, platform_call.content)
            case GetCall():
                return services.objects.get(platform_call.name)
            case ListCall():
                return services.instances.list_instances(
                    known_version=platform_call.known
                )
            case AnnounceCall():
                return services.instances.register_instance(platform_call.record)
            case WithdrawCall():
                return services.instances.deregister_instance(platform_call.instance)
        return Err(StoreError.UNAVAILABLE)
