"""Fetches ticket records and whole states from peers and from the platform."""

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
"""Records per fetch, so that a reply stays below 128 times the ticket size."""

MAX_RECORD_BYTES = 2 << 20
"""Above the largest request body that carries a ticket, 1 MiB by default."""

MAX_STATE_BYTES = 32 << 20
"""Above the largest state document: 5,376 objects of about 4 KB at most."""

STATE_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class NothingFetched:
    """A fetch got nothing new; `invalid` if the source sent invalid data."""

    detail: str
    invalid: bool = False


class PeerSource:
    """Fetches records and states from other entry VMs.

    Parameters
    ==========

    control_channels : channel pool for control calls to peers
    address_of : returns the (host, port) of a VM name, or None
    timeout : longest wait for a call, in seconds
    """

    def __init__(self, control_channels, address_of, timeout):
        self.control_channels = control_channels
        self.address_of = address_of
        self.timeout = timeout

    async def tickets(self, vm, after, limit):
        """Return the records after a number; None if the peer no longer has them."""
        address = self.address_of(vm)
        if address is None:
            return NothingFetched("the address of the peer is not known")
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
        """Return the peer's whole state, verified by its digest."""
        address = self.address_of(vm)
        if address is None:
            return NothingFetched("the address of the peer is not known")
        request = peer_pb2.FetchStateRequest()
        chunks = await self.control_channels.call_streaming(
            address, "FetchState", request, STATE_TIMEOUT_S, MAX_STATE_BYTES
        )
        if isinstance(chunks, PeerUnreachable):
            return NothingFetched(chunks.detail)
        if not chunks:
            return NothingFetched("the peer has no state")
        data = b"".join(chunk.data for chunk in chunks)
        return await decode_checked_state(data, chunks[0].number, chunks[0].digest)


def decode_records(encoded, limit):
    """Return the records of a reply, or `NothingFetched` if one is invalid."""
    if len(encoded) > limit:
        return NothingFetched(
            f"{len(encoded)} records, {limit} requested", invalid=True
        )
    records = []
    for data in encoded:
        if len(data) > MAX_RECORD_BYTES:
            return NothingFetched(
                f"a record is too large: {len(data)} bytes", invalid=True
            )
        record = decode(data, TicketRecord)
        if isinstance(record, InvalidInput):
            return NothingFetched(str(record), invalid=True)
        records.append(record)
    return records


async def decode_checked_state(data, number, digest):
    """Decode a state and verify its number and digest, in a thread.

    Decoding and hashing 1,800 upstreams takes tens of milliseconds, which would block
    the event loop.
    """
    if len(data) > MAX_STATE_BYTES:
        return NothingFetched(
            f"the state is too large: {len(data)} bytes", invalid=True
        )
    state = await asyncio.to_thread(decode_state, data, digest)
    if isinstance(state, InvalidInput):
        return NothingFetched(str(state), invalid=True)
    if state.number != number:
        return NothingFetched(f"state {state.number} sent as {number}", invalid=True)
    return state


class TableSource:
    """Fetches records from the platform's table and rebuilds states from them."""

    def __init__(self, platform):
        self.platform = platform

    async def tickets(self, after):
        """Return up to `SCAN_LIMIT` records after a number."""
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
                next_state = apply_record(state, record)
                if isinstance(next_state, InvalidRecord):
                    return NothingFetched(next_state.detail, invalid=True)
                state = next_state
                await asyncio.sleep(0)

    async def snapshot(self) -> DeploymentState:
        """Return the state of the newest snapshot, or the empty state.

        A snapshot is used only if its digest is the one in the row of its ticket.
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
"""Length of the big-endian ticket number at the start of a snapshot object."""


def snapshot_number(data: bytes) -> int:
    """Return the ticket number at the start of a snapshot object."""
    return int.from_bytes(data[:NUMBER_BYTES], "big")


def snapshot_object(number: int, document: bytes) -> bytes:
    """Return the snapshot object of a state document."""
    return number.to_bytes(NUMBER_BYTES, "big") + document
