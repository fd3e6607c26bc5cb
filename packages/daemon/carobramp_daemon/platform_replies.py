"""Validates replies of the platform's services and converts them to core types.

Unknown fields are ignored, since the platform may add fields.
"""

import ipaddress
from typing import Annotated

import msgspec

from carobramp_core.platform import (
    Committed,
    Conflict,
    LeaseHeld,
    Row,
    VmEntry,
)
from carobramp_schema import InvalidInput, decode

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Version = Annotated[int, msgspec.Meta(ge=1)]
RowReply = tuple[Name, bytes, Version]
MAX_LISTED_VMS = 4096


class EmptyReply(msgspec.Struct, frozen=True):
    """Reply without content."""


class TransactReply(msgspec.Struct, frozen=True):
    """Reply of `table/transact`."""

    committed: bool
    rows: tuple[RowReply, ...] = ()


class RowsReply(msgspec.Struct, frozen=True):
    """Reply of `table/read` and `table/scan`."""

    rows: tuple[RowReply, ...]


class DataReply(msgspec.Struct, frozen=True):
    """Reply of `objects/get`."""

    data: bytes | None


class VmReply(msgspec.Struct, frozen=True):
    """Entry of the VM list."""

    name: Name
    host: Annotated[str, msgspec.Meta(max_length=45)]
    peer_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    availability_zone: Name
    leaving: bool


class VmsReply(msgspec.Struct, frozen=True):
    """Reply of `members/list`."""

    vms: Annotated[tuple[VmReply, ...], msgspec.Meta(max_length=MAX_LISTED_VMS)]


class LeaseReply(msgspec.Struct, frozen=True):
    """Reply of `leases/acquire`."""

    holder: Name
    seconds: Annotated[float, msgspec.Meta(ge=0, le=86400)]


def decode_reply(data: bytes, reply_type):
    """Return the decoded reply of type `reply_type`, or `InvalidInput`."""
    try:
        data.decode()  # The JSON decoder does not validate unknown fields.
    except UnicodeDecodeError as error:
        return InvalidInput("$", "UTF-8", str(error)[:80])
    reply = decode(data, reply_type)
    return _find_invalid_host(reply) or reply if isinstance(reply, VmsReply) else reply


def _find_invalid_host(reply: VmsReply):
    for index, entry in enumerate(reply.vms):
        try:
            ipaddress.ip_address(entry.host)
        except ValueError:
            return InvalidInput(f"$.vms[{index}].host", "an IP number", entry.host)
    return None


def transact_outcome(reply: TransactReply):
    """Return `Committed`, or `Conflict` with the rows of the reply."""
    return Committed() if reply.committed else Conflict(rows_of(reply.rows))


def rows_of(rows) -> tuple[Row, ...]:
    """Return the rows of a reply as `Row` objects of the core."""
    return tuple(Row(key, value, version) for key, value, version in rows)


def requested_rows(reply: RowsReply, keys) -> tuple[Row, ...] | InvalidInput:
    """Return the rows of a read; each must have a requested key, once."""
    remaining_keys = set(keys)
    for key, _, _ in reply.rows:
        if key not in remaining_keys:
            return InvalidInput("$.rows", "requested rows, each once", key)
        remaining_keys.remove(key)
    return rows_of(reply.rows)


def scanned_rows(reply: RowsReply, prefix, after, limit):
    """Return the rows of a scan; their keys must be in order and in its range."""
    last = after
    for key, _, _ in reply.rows:
        if not key.startswith(prefix) or key <= last:
            expected = f"keys in order, with prefix {prefix}, above {after}"
            return InvalidInput("$.rows", expected, key)
        last = key
    if len(reply.rows) > limit:
        return InvalidInput("$.rows", f"at most {limit} rows", str(len(reply.rows)))
    return rows_of(reply.rows)


def vm_entries(reply: VmsReply) -> tuple[VmEntry, ...]:
    """Return the entries of the VM list."""
    return tuple(
        VmEntry(e.name, e.host, e.peer_port, e.availability_zone, e.leaving)
        for e in reply.vms
    )


def lease_held(reply: LeaseReply) -> LeaseHeld:
    """Return the holder of a lease and the time for which it is held."""
    return LeaseHeld(reply.holder, reply.seconds)
