"""
Platform interfaces
===================

The platform's services for durable state (tables and objects) and for service
discovery (the instance list).

Every call returns a ``Result``.  The error of a failed commit indicates whether it
certainly had no effect (``UNAVAILABLE``) or may have had one (``UNKNOWN``).
"""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from result import Result

from damasklead.ids import (
    UNKNOWN_VERSION,
    DataCentre,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
    StoreEra,
)

__all__ = [
    "ABSENT",
    "Commit",
    "Committed",
    "Condition",
    "Conflict",
    "Delete",
    "InstanceList",
    "InstanceRecord",
    "InstanceState",
    "Listing",
    "ObjectStore",
    "Platform",
    "Put",
    "Row",
    "StoreError",
    "TableService",
]

ABSENT = 0


class StoreError(Enum):
    """
    Reason why a call to the platform failed.

    ``UNAVAILABLE`` calls had no effect; ``UNKNOWN`` ones may have had one.
    """

    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class Row(msgspec.Struct, kw_only=True, frozen=True):
    """
    A stored row.

    Attributes
    ----------
    version : int
        Version of the table service at the row's last write; it grows with every commit
        to any table.
    """

    table: str
    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, kw_only=True, frozen=True):
    """
    A version that a commit requires of a row; ``ABSENT`` requires that there is no row.
    """

    table: str
    key: str
    version: int


class Put(msgspec.Struct, kw_only=True, frozen=True, tag="put"):
    """A write that inserts or replaces a row."""

    table: str
    key: str
    value: bytes


class Delete(msgspec.Struct, kw_only=True, frozen=True, tag="delete"):
    """A write that deletes a row if there is one."""

    table: str
    key: str


class Commit(msgspec.Struct, kw_only=True, frozen=True):
    """A transaction: writes that take effect together if all conditions are met."""

    conditions: tuple[Condition, ...]
    writes: tuple[Put | Delete, ...]


class Committed(msgspec.Struct, kw_only=True, frozen=True, tag="committed"):
    """The commit took effect; ``version`` is the version of the rows it wrote."""

    version: int


class Conflict(msgspec.Struct, kw_only=True, frozen=True, tag="conflict"):
    """
    A condition was not met; ``rows`` are the current rows of the conditions' keys.
    """

    rows: tuple[Row, ...]


class InstanceState(Enum):
    """State of an instance in the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(msgspec.Struct, kw_only=True, frozen=True):
    """
    The record of an instance (a replica or an entry) in the instance list.

    Attributes
    ----------
    incarnation : int
        Number that grows each time the instance starts.
    service : str
        The service to which the instance belongs.
    address : str
        ``ip:port``; for an entry the address at which it listens for its peers.
    version : SoftwareVersion
        Version of its software; ``UNKNOWN_VERSION`` if the record has none.
    tunnels : str
        ``ip:port`` at which an entry serves tunnels to upstreams; empty for none.
    """

    instance: InstanceId
    incarnation: Incarnation
    service: ServiceName
    address: str
    data_centre: DataCentre
    region: str
    state: InstanceState = InstanceState.LIVE
    version: SoftwareVersion = UNKNOWN_VERSION
    tunnels: str = ""


class Listing(msgspec.Struct, kw_only=True, frozen=True):
    """
    The response to a read of the instance list.

    Attributes
    ----------
    version : str
        Opaque identifier of the list's state, like an entity tag.
    records : tuple or None
        The instances, ``None`` if the list still has the version known to the reader.
    """

    version: str
    records: tuple[InstanceRecord, ...] | None


class TableService(ABC):
    """Tables of versioned rows with conditional, atomic commits."""

    @property
    def era(self) -> StoreEra:
        """
        Number of the tables' restores from a backup, as of the last response; 0 for
        services that don't report it.

        Within one era a version stands for one change only.
        """
        return StoreEra(0)

    @abstractmethod
    def read(
        self, table: str, keys: tuple[str, ...]
    ) -> Result[tuple[Row, ...], StoreError]:
        """Return the rows that exist among ``keys``."""

    @abstractmethod
    def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> Result[tuple[Row, ...], StoreError]:
        """Return up to ``limit`` rows in key order whose key starts with ``prefix``."""

    @abstractmethod
    def commit(self, commit: Commit) -> Result[Committed | Conflict, StoreError]:
        """Apply a commit; after ``Err(UNKNOWN)`` it may have taken effect."""


class ObjectStore(ABC):
    """Storage of immutable objects by name."""

    @abstractmethod
    def put(self, name: str, content: bytes) -> Result[None, StoreError]:
        """Store an object; storing the same object again is allowed."""

    @abstractmethod
    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object's content, or ``None`` when there is none."""


class InstanceList(ABC):
    """The platform's list of instances, which lags behind their actual state."""

    @abstractmethod
    def list_instances(self, *, known_version: str = "") -> Result[Listing, StoreError]:
        """
        Return all instances that the platform considers live or leaving.

        Parameters
        ----------
        known_version : str
            The version that the reader has, empty if none; if the list still has this
            version, the records are left out.
        """

    @abstractmethod
    def register_instance(self, record: InstanceRecord) -> Result[None, StoreError]:
        """
        Add or update an instance, for platforms that do not register instances
        themselves.
        """

    @abstractmethod
    def deregister_instance(self, instance: InstanceId) -> Result[None, StoreError]:
        """Remove an instance, for platforms that do not remove instances themselves."""


class Platform(msgspec.Struct, kw_only=True):
    """The services of one platform."""

    tables: TableService
    objects: ObjectStore
    instances: InstanceList
