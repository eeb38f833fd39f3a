"""
Platform interfaces
===================

The services of the platform that hold whatever must last: tables, objects and the
instance list.

Every call returns a ``Result``.  A failed commit says whether the write surely had no
effect (``UNAVAILABLE``) or may have had one (``UNKNOWN``).
"""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from result import Result

from damasklead.ids import DataCentre, Incarnation, InstanceId, ServiceName

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
    """Why a call to the platform failed."""

    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class Row(msgspec.Struct, kw_only=True, frozen=True):
    """A stored row; ``version`` grows with every write of the table service."""

    table: str
    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, kw_only=True, frozen=True):
    """
    A row's version that a commit requires; ``ABSENT`` requires that there is no row.
    """

    table: str
    key: str
    version: int


class Put(msgspec.Struct, kw_only=True, frozen=True, tag="put"):
    """A row to write."""

    table: str
    key: str
    value: bytes


class Delete(msgspec.Struct, kw_only=True, frozen=True, tag="delete"):
    """A row to remove."""

    table: str
    key: str


class Commit(msgspec.Struct, kw_only=True, frozen=True):
    """Writes that take effect together if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Put | Delete, ...]


class Committed(msgspec.Struct, kw_only=True, frozen=True, tag="committed"):
    """The commit took effect at ``version``."""

    version: int


class Conflict(msgspec.Struct, kw_only=True, frozen=True, tag="conflict"):
    """
    A condition did not hold; ``rows`` are the present rows of the conditions' keys.
    """

    rows: tuple[Row, ...]


class InstanceState(Enum):
    """What the instance list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(msgspec.Struct, kw_only=True, frozen=True):
    """
    One entry of the instance list.

    Attributes
    ----------
    incarnation : int
        Grows each time the instance starts anew.
    address : str
        ``ip:port``; for an entry the address of its peers' listener.
    """

    instance: InstanceId
    incarnation: Incarnation
    service: ServiceName
    address: str
    data_centre: DataCentre
    region: str
    state: InstanceState = InstanceState.LIVE


class Listing(msgspec.Struct, kw_only=True, frozen=True):
    """
    A reading of the instance list.

    Attributes
    ----------
    version : str
        Names this state of the list, like an entity tag.
    records : tuple or None
        ``None`` when the list still has the version that the reader knows.
    """

    version: str
    records: tuple[InstanceRecord, ...] | None


class TableService(ABC):
    """Transactional tables."""

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
        """Apply a commit; ``Err(UNKNOWN)`` leaves open whether it took effect."""


class ObjectStore(ABC):
    """Immutable objects by name."""

    @abstractmethod
    def put(self, name: str, content: bytes) -> Result[None, StoreError]:
        """Store an object; writing the same object again does no harm."""

    @abstractmethod
    def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object's content, or ``None`` when there is none."""


class InstanceList(ABC):
    """The platform's lagging list of instances."""

    @abstractmethod
    def list_instances(self, *, known_version: str = "") -> Result[Listing, StoreError]:
        """
        Return all instances that the platform believes live or leaving.

        Parameters
        ----------
        known_version : str
            The version that the reader has; if it is the present one, no records come.
        """

    @abstractmethod
    def register_instance(self, record: InstanceRecord) -> Result[None, StoreError]:
        """
        Enter or update an instance, for platforms that do not do so by themselves.
        """

    @abstractmethod
    def deregister_instance(self, instance: InstanceId) -> Result[None, StoreError]:
        """Remove an instance, for platforms that do not do so by themselves."""


class Platform(msgspec.Struct, kw_only=True):
    """The three services of one platform."""

    tables: TableService
    objects: ObjectStore
    instances: InstanceList
