"""Rows in the platform's store: addresses of daemons and owners of cells."""

from typing import Annotated

import msgspec

from carobramp_core.cells.ports import CoordinationTable
from carobramp_core.platform import Condition, Row, Transaction, Write
from carobramp_schema.decode import InvalidInput, decode

CELL_PREFIX = "cell/"
VM_PREFIX = "vm/"

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class VmRow(msgspec.Struct, frozen=True):
    """Row of a daemon: its addresses, its incarnation and the size of its VM."""

    vm: str
    availability_zone: str
    host: str
    port: Port
    link_port: Port
    incarnation: str
    cores: float = 1.0

    def candidate_sort_key(self):
        """Return the key that sorts candidates for owning a cell, largest VM first."""
        return -self.cores, self.vm


class CellRow(msgspec.Struct, frozen=True):
    """Row of a cell: the row of its owner and the fencing token of the claim."""

    vm: str
    availability_zone: str
    host: str
    port: Port
    link_port: Port
    incarnation: str
    token: int
    cores: float = 1.0


class CoordinationRows:
    """Reads and writes rows of the table of daemons and cells.

    Parameters
    ==========

    own_row : row of this daemon
    """

    def __init__(self, table: CoordinationTable, own_row: VmRow, metrics, log):
        self.table = table
        self.own_row = own_row
        self.metrics = metrics
        self.event_log = log

    def cell(self, cell) -> tuple[CellRow | None, int]:
        """Return the row of a cell and its version; None and 0 if there is no row."""
        row = self.table.rows().get(CELL_PREFIX + cell)
        if row is None:
            return None, 0
        return self.decode(row, CellRow), row.version

    def vms(self) -> dict[str, VmRow]:
        """Return the rows of all daemons, by VM; invalid rows are left out."""
        rows = self.table.rows()
        decoded = [
            self.decode(row, VmRow)
            for key, row in rows.items()
            if key.startswith(VM_PREFIX)
        ]
        return {row.vm: row for row in decoded if row is not None}

    def decode(self, row: Row, kind):
        """Return the decoded value of a row; log an invalid one and return None."""
        decoded = decode(row.value, kind)
        if isinstance(decoded, InvalidInput):
            self.metrics.increment("platform_invalid", "fleet")
            self.event_log.info(
                "row could not be decoded", key=row.key, detail=str(decoded)
            )
            return None
        return decoded

    async def announce(self):
        """Write the row of this daemon unconditionally; return the store's answer."""
        key = VM_PREFIX + self.own_row.vm
        write = Transaction((), (Write(key, msgspec.json.encode(self.own_row)),))
        return await self.table.transact(write, "announce")

    async def claim(self, cell, token, version):
        """Write the row of a cell with this daemon as its owner.

        The store rejects the write if the row no longer has `version`.
        """
        cell_row = CellRow(
            self.own_row.vm,
            self.own_row.availability_zone,
            self.own_row.host,
            self.own_row.port,
            self.own_row.link_port,
            self.own_row.incarnation,
            token,
            self.own_row.cores,
        )
        key = CELL_PREFIX + cell
        write = Transaction(
            (Condition(key, version),), (Write(key, msgspec.json.encode(cell_row)),)
        )
        return await self.table.transact(write, "claim")
