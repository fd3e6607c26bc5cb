"""Interfaces of the platform's services and the outcomes of their calls."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True)
class Row:
    """Row of the table; `version` rises with each write of the key."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True)
class Condition:
    """Condition of a transaction: the row's version; 0 means absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Write:
    """Write of a transaction; a value of None deletes the row."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that take effect together if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True)
class Committed:
    """The transaction took effect."""


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A condition did not hold; `rows` are the present rows of the conditions."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """No usable reply came.

    `maybe_applied` is false only when the call certainly had no effect.
    """

    detail: str
    maybe_applied: bool


@dataclasses.dataclass(frozen=True)
class VmEntry:
    """Entry of the platform's membership list."""

    name: str
    host: str
    peer_port: int
    availability_zone: str
    leaving: bool


@dataclasses.dataclass(frozen=True)
class LeaseHeld:
    """The lease is held by `holder` for `seconds` from the call."""

    holder: str
    seconds: float


class Table(Protocol):
    """Transactional table service; `purpose` names the use for counting."""

    async def transact(
        self, transaction: Transaction, purpose: str
    ) -> Committed | Conflict | Unavailable:
        """Apply the writes together if every condition holds."""

    async def read(
        self, keys: tuple[str, ...], purpose: str
    ) -> tuple[Row, ...] | Unavailable:
        """Return the existing rows among `keys`."""

    async def scan(
        self, prefix: str, after: str, limit: int, purpose: str
    ) -> tuple[Row, ...] | Unavailable:
        """Return up to `limit` rows with `prefix` and a key above `after`."""


class ObjectStore(Protocol):
    """Object store."""

    async def put(self, key: str, data: bytes, purpose: str) -> None | Unavailable:
        """Store an object."""

    async def get(self, key: str, purpose: str) -> bytes | None | Unavailable:
        """Return an object, or None when there is none."""


class MembershipList(Protocol):
    """List of live and leaving VMs, which may lag."""

    async def list_vms(self, purpose: str) -> tuple[VmEntry, ...] | Unavailable:
        """Return the VMs that the platform knows."""


class Leases(Protocol):
    """Leases, used to save work and never for correctness."""

    async def acquire(
        self, name: str, holder: str, seconds: float, purpose: str
    ) -> LeaseHeld | Unavailable:
        """Take or renew a lease; the answer names the present holder."""

    async def release(self, name: str, holder: str, purpose: str) -> None | Unavailable:
        """Give a lease up."""
