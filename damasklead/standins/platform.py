"""
Stand-in for the platform
=========================

Serves the in-memory platform over HTTP, with faults that can be switched on.
"""

from typing import Any

import gevent
import msgspec
from result import Err, Ok, Result

from damasklead.standins.base import Call, Reply, StandinServer, json_reply
from damasklead.stores.base import InstanceRecord, Platform, StoreError
from damasklead.stores.http import (
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
    The platform in one process.

    Attributes
    ----------
    faults : Faults
        What is wrong at present; ``POST /faults`` replaces it.
    """

    def __init__(self, *, record: InstanceRecord) -> None:
        super().__init__(record=record)
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self._platform_services: Platform = make_memory_platform(faults=self.faults)

    def handle(self, call: Call) -> Reply:
        """Answer a call."""
        if call.path == "/faults" and call.method == "POST":
            return self._set_faults(call)
        if call.path == "/counts":
            return json_reply(self.calls)
        if call.path != "/call":
            return super().handle(call)
        if self.faults.delay:
            gevent.sleep(self.faults.delay)
        request = msgspec.json.decode(call.body, type=PlatformCall)
        name = type(request).__name__
        self.calls[name] = self.calls.get(name, 0) + 1
        result = self._perform(request)
        if isinstance(result, Ok):
            return json_reply(result.ok_value)
        status = 503 if result.err_value is StoreError.UNAVAILABLE else 504
        return json_reply({"error": result.err_value.value}, status=status)

    def _set_faults(self, call: Call) -> Reply:
        wanted = msgspec.json.decode(call.body, type=Faults)
        for field in Faults.__struct_fields__:
            setattr(self.faults, field, getattr(wanted, field))
        return json_reply(wanted)

    def _perform(self, call: PlatformCall) -> Result[Any, StoreError]:
        services = self._platform_services
        match call:
            case ReadCall():
                return services.tables.read(call.table, call.keys)
            case ScanCall():
                return services.tables.scan(
                    call.table, prefix=call.prefix, after=call.after, limit=call.limit
                )
            case CommitCall():
                return services.tables.commit(call.commit)
            case PutCall():
                return services.objects.put(call.name, call.content)
            case GetCall():
                return services.objects.get(call.name)
            case ListCall():
                return services.instances.list_instances(known_version=call.known)
            case AnnounceCall():
                return services.instances.register_instance(call.record)
            case WithdrawCall():
                return services.instances.deregister_instance(call.instance)
        return Err(StoreError.UNAVAILABLE)
