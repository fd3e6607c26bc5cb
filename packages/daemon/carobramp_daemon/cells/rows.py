"""Rows about daemons and cells in the platform's store."""

import msgspec

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

    def rank_key(self):
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
