"""Interfaces of the platform's services and the outcomes of calls to them.

Parameters named `purpose` label the calls in metrics.
"""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True)
class Row:
    """Row of the table; `version` rises with each write to the key."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True)
class Condition:
    """Condition that a row has a version; version 0 means that there is no row."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Write:
    """Write of a row in a transaction; the value None deletes the row."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that are applied atomically if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True)
class Committed:
    """The writes of the transaction were applied."""


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A condition did not hold, so nothing was written.

    `rows` are the current rows with the keys of the conditions.
    """

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """No usable reply was received.

    `maybe_applied` is false only if the call certainly had no effect.
    """

    detail: str
    maybe_applied: bool


@dataclasses.dataclass(frozen=True)
class VmEntry:
    """Entry of the platform's membership list; `leaving` VMs are about to stop."""

    name: str
    host: str
    peer_port: int
    availability_zone: str
    leaving: bool


@dataclasses.dataclass(frozen=True)
class LeaseHeld:
    """The lease belongs to `holder` and expires `seconds` after the call."""

    holder: str
    seconds: float


class Table(Protocol):
    """Transactional table service."""

    async def transact(
        self, transaction: Transaction, purpose: str
    ) -> Committed | Conflict | Unavailable:
        """Apply the writes atomically if every condition holds."""

    async def read(
        self, keys: tuple[str, ...], purpose: str
    ) -> tuple[Row, ...] | Unavailable:
        """Return the existing rows among `keys`."""

    async def scan(
        self, prefix: str, after: str, limit: int, purpose: str
    ) -> tuple[Row, ...] | Unavailable:
        """Return the first `limit` rows whose key has `prefix` and is above `after`."""


class ObjectStore(Protocol):
    """Store of byte strings by key."""

    async def put(self, key: str, data: bytes, purpose: str) -> None | Unavailable:
        """Store `data` under `key`."""

    async def get(self, key: str, purpose: str) -> bytes | None | Unavailable:
        """Return the object under `key`, or None if there is none."""


class MembershipList(Protocol):
    """List of live and leaving VMs, which may be out of date."""

    async def list_vms(self, purpose: str) -> tuple[VmEntry, ...] | Unavailable:
        """Return the VMs in the list."""


class Leases(Protocol):
    """Named leases; they avoid duplicate work, and correctness never relies on them."""

    async def acquire(
        self, name: str, holder: str, seconds: float, purpose: str
    ) -> LeaseHeld | Unavailable:
        """Acquire or renew a lease; the answer names its holder, maybe another one."""

    async def release(self, name: str, holder: str, purpose: str) -> None | Unavailable:
        """Release a lease that `holder` has."""
