"""
Identifiers
===========

Distinct types for the identifiers that the components exchange.
"""

from typing import NewType

__all__ = [
    "UNKNOWN_VERSION",
    "AttemptId",
    "ClassName",
    "DataCentre",
    "Fingerprint",
    "Incarnation",
    "InstanceId",
    "PoolId",
    "RequestId",
    "ServiceName",
    "SoftwareVersion",
    "StoreEra",
    "WorkspaceId",
]

InstanceId = NewType("InstanceId", str)
# Increases with each start of an instance; entries use milliseconds since 1970.
Incarnation = NewType("Incarnation", int)
DataCentre = NewType("DataCentre", str)
ServiceName = NewType("ServiceName", str)
WorkspaceId = NewType("WorkspaceId", str)
ClassName = NewType("ClassName", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
# The upstreams of a service in one region or data centre, ``service@place``.
PoolId = NewType("PoolId", str)
# Version of a replica's software; versions have no order.
SoftwareVersion = NewType("SoftwareVersion", str)
# Version of an instance that doesn't name one.  It equals no version.
UNKNOWN_VERSION = SoftwareVersion("")
# Hash of the content of a request, by which the quarantine recognizes repetitions.
Fingerprint = NewType("Fingerprint", str)
# Increases each time the platform's store is restored from a backup.
StoreEra = NewType("StoreEra", int)
