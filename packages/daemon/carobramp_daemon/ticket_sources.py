"""Fetches tickets and whole states from peers and from the platform."""

import asyncio
import dataclasses

from carobramp_core.platform import Unavailable
from carobramp_core.tickets.propagation import InvalidRecord, apply_record
from carobramp_core.tickets.rows import (
    SNAPSHOT_KEY,
    TICKET_PREFIX,
    read_record,
    ticket_key,
)
from carobramp_core.tickets.state import DeploymentState, decode_state
from carobramp_daemon.peers import PeerUnreachable
from carobramp_schema import InvalidInput, decode
from carobramp_schema.generated import peer_pb2
from carobramp_schema.generated.ticket import TicketRecord

SCAN_LIMIT = 128
"""Rows of one scan, so that a reply stays below 128 times the ticket size."""

MAX_RECORD_BYTES = 2 << 20
"""Above the largest request body that carries a ticket, 1 MiB by default."""

MAX_STATE_BYTES = 32 << 20
"""Above the largest state document: 5,376 objects of about 4 KB at most."""

STATE_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class NothingFetched:
    """A source gave nothing new; `invalid` when it gave data that breaks a rule."""

    detail: str
    invalid: bool = False


class PeerSource:
    """Tickets and states of other entry VMs.

    Parameters
    ==========

    control_channels : clients for control calls
    address_of : function from VM name to address
    timeout : longest wait for a call, in seconds
    """

    def __init__(self, control_channels, address_of, timeout):
        self.control_channels = control_channels
        self.address_of = address_of
        self.timeout = timeout

    async def tickets(self, vm, after, limit):
        """Return the records after a number; None when the peer no longer has them."""
        address = self.address_of(vm)
        if address is None:
            return NothingFetched("no address")
        request = peer_pb2.FetchTicketsRequest(after=after, limit=limit)
        reply = await self.control_channels.call(
            address, "FetchTickets", request, self.timeout
        )
        if isinstance(reply, PeerUnreachable):
            return NothingFetched(reply.detail)
        if reply.too_old:
            return None
        return decode_records(reply.records, limit)

    async def state(self, vm):
        """Return the peer's whole state, checked by its digest."""
        address = self.address_of(vm)
        if address is None:
            return NothingFetched("no address")
        request = peer_pb2.FetchStateRequest()
        chunks = await self.control_channels.call_streaming(
            address, "FetchState", request, STATE_TIMEOUT_S, MAX_STATE_BYTES
        )
        if isinstance(chunks, PeerUnreachable):
            return NothingFetched(chunks.detail)
        if not chunks:
            return NothingFetched("no state")
        data = b"".join(chunk.data for chunk in chunks)
        return await decode_checked_state(data, chunks[0].number, chunks[0].digest)


def decode_records(encoded, limit):
    """Return the records of a reply, or why they cannot be used."""
    if len(encoded) > limit:
        return NothingFetched(
            f"{len(encoded)} records, {limit} asked for", invalid=True
        )
    records = []
    for data in encoded:
        if len(data) > MAX_RECORD_BYTES:
            return NothingFetched(f"a record of {len(data)} bytes", invalid=True)
        record = decode(data, TicketRecord)
        if isinstance(record, InvalidInput):
            return NothingFetched(str(record), invalid=True)
        records.append(record)
    return records


async def decode_checked_state(data, number, digest):
    """Decode a state and check number and digest, off the event loop.

    Decoding and hashing 1,800 upstreams takes tens of milliseconds; a thread gives
    the event loop its turns meanwhile.
    """
    if len(data) > MAX_STATE_BYTES:
        return NothingFetched(f"a state of {len(data)} bytes", invalid=True)
    state = await asyncio.to_thread(decode_state, data, digest)
    if isinstance(state, InvalidInput):
        return NothingFetched(str(state), invalid=True)
    if state.number != number:
        return NothingFetched(f"state {state.number} sent as {number}", invalid=True)
    return state


class TableSource:
    """Tickets and states on the platform."""

    def __init__(self, platform):
        self.platform = platform

    async def tickets(self, after):
        """Return the records after a number, some at a time."""
        rows = await self.platform.scan(
            TICKET_PREFIX, ticket_key(after), SCAN_LIMIT, "tickets"
        )
        if isinstance(rows, Unavailable):
            return NothingFetched(rows.detail)
        records = []
        for row in rows:
            record = decode(row.value, TicketRecord)
            if isinstance(record, InvalidInput):
                return NothingFetched(f"row {row.key}: {record}", invalid=True)
            records.append(record)
        return records

    async def state(self):
        """Rebuild the newest state from the snapshot and the ticket rows."""
        state = await self.snapshot()
        while True:
            records = await self.tickets(state.number)
            if isinstance(records, NothingFetched):
                return records
            if not records:
                return state
            for record in records:
                after = apply_record(state, record)
                if isinstance(after, InvalidRecord):
                    return NothingFetched(after.detail, invalid=True)
                state = after
                await asyncio.sleep(0)

    async def snapshot(self) -> DeploymentState:
        """Return the state of the newest snapshot, or the empty one.

        A snapshot counts only if it has the digest in the row of its ticket.
        """
        data = await self.platform.get(SNAPSHOT_KEY, "snapshot")
        if data is None or isinstance(data, Unavailable):
            return DeploymentState()
        number = snapshot_number(data)
        rows = await self.platform.read((ticket_key(number),), "snapshot")
        if isinstance(rows, Unavailable):
            return DeploymentState()
        record = read_record(rows, number)
        if record is None:
            return DeploymentState()
        document = data[NUMBER_BYTES:]
        state = await decode_checked_state(document, number, record.state_digest)
        return state if isinstance(state, DeploymentState) else DeploymentState()


NUMBER_BYTES = 8
"""A snapshot object starts with its ticket number, big-endian."""


def snapshot_number(data: bytes) -> int:
    """Return the ticket number at the start of a snapshot object."""
    return int.from_bytes(data[:NUMBER_BYTES], "big")


def snapshot_object(number: int, document: bytes) -> bytes:
    """Return the snapshot object of a state document."""
    return number.to_bytes(NUMBER_BYTES, "big") + document
