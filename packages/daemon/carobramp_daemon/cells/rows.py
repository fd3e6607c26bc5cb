"""Rows about daemons and cells in the platform's store."""

import msgspec

from carobramp_core.cells.ports import CoordinationTable
from carobramp_core.platform import Condition, Row, Transaction, Write

CELL_PREFIX = "cell/"
VM_PREFIX = "vm/"


class VmRow(msgspec.Struct, frozen=True):
    """Row of a daemon."""

    vm: str
    availability_zone: str
    host: str
    port: int
    link_port: int
    incarnation: str
    cores: float = 1.0

    def candidate_sort_key(self):
        """Return the key by which candidates are ordered, the best first."""
        return -self.cores, self.vm


class CellRow(msgspec.Struct, frozen=True):
    """Row of a cell: its owner and fencing token."""

    vm: str
    availability_zone: str
    host: str
    port: int
    link_port: int
    incarnation: str
    token: int
    cores: float = 1.0


class CoordinationRows:
    """Reads and writes rows of the table of daemons and cells.

    Parameters
    ==========

    me : row of this daemon
    """

    def __init__(self, table: CoordinationTable, me: VmRow, metrics, log):
        self.table = table
        self.me = me
        self.metrics = metrics
        self.event_log = log

    def cell(self, cell) -> tuple[CellRow | None, int]:
        """Return the row of a cell and its version."""
        row = self.table.rows().get(CELL_PREFIX + cell)
        if row is None:
            return None, 0
        return self.decode(row, CellRow), row.version

    def vms(self) -> dict[str, VmRow]:
        """Return the daemons that have announced themselves."""
        rows = self.table.rows()
        decoded = [
            self.decode(row, VmRow)
            for key, row in rows.items()
            if key.startswith(VM_PREFIX)
        ]
        return {row.vm: row for row in decoded if row is not None}

    def decode(self, row: Row, kind):
        """Return the content of a row, or None if it is not usable."""
        try:
            return msgspec.json.decode(row.value, type=kind)
        except msgspec.DecodeError as error:
            self.metrics.increment("platform_invalid", "fleet")
            self.event_log.info("row not usable", key=row.key, detail=str(error))
            return None

    async def announce(self):
        """Write the row of this daemon."""
        key = VM_PREFIX + self.me.vm
        write = Transaction((), (Write(key, msgspec.json.encode(self.me)),))
        return await self.table.transact(write, "announce")

    async def claim(self, cell, token, version):
        """Write the row of a cell with this daemon as its owner."""
        mine = CellRow(
            self.me.vm,
            self.me.availability_zone,
            self.me.host,
            self.me.port,
            self.me.link_port,
            self.me.incarnation,
            token,
            self.me.cores,
        )
        key = CELL_PREFIX + cell
        write = Transaction(
            (Condition(key, version),), (Write(key, msgspec.json.encode(mine)),)
        )
        return await self.table.transact(write, "claim")
