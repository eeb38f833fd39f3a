"""
Identifiers
===========

Distinct types for the identifiers that the components exchange.
"""

from typing import NewType

__all__ = [
    "AttemptId",
    "ClassName",
    "DataCentre",
    "Fingerprint",
    "Incarnation",
    "InstanceId",
    "PoolId",
    "RequestId",
    "ServiceName",
    "StoreEra",
    "WorkspaceId",
]

InstanceId = NewType("InstanceId", str)
Incarnation = NewType("Incarnation", int)
DataCentre = NewType("DataCentre", str)
ServiceName = NewType("ServiceName", str)
WorkspaceId = NewType("WorkspaceId", str)
ClassName = NewType("ClassName", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
PoolId = NewType("PoolId", str)
Fingerprint = NewType("Fingerprint", str)
# Increases each time the platform's store is restored from a backup.
StoreEra = NewType("StoreEra", int)
