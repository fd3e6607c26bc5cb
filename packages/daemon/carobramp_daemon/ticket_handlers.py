"""Handles calls of other entry VMs that fetch or announce tickets."""

import asyncio

from carobramp_core.tickets.propagation import PeerReported
from carobramp_core.tickets.rows import MAX_TICKET_NUMBER
from carobramp_core.tickets.state import encode_state
from carobramp_daemon.ticket_sources import SCAN_LIMIT
from carobramp_schema import encode
from carobramp_schema.generated import peer_pb2

CHUNK_BYTES = 64 << 10
REPLY_BYTES = 1 << 20


class TicketHandlers:
    """Serves tickets and states of the ticket service to other entry VMs."""

    def __init__(self, tickets):
        self.tickets = tickets

    async def on_fetch_tickets(self, request):
        """Return the records after a number, up to about `REPLY_BYTES`.

        `too_old` is set if the next record is no longer in memory.
        """
        reply = peer_pb2.FetchTicketsReply()
        if request.after >= self.tickets.current_state.number:
            return reply
        records = self.tickets.recent_records.records_after(
            request.after, min(request.limit, SCAN_LIMIT)
        )
        if not records:
            reply.too_old = True
        size = 0
        for record in records:
            data = encode(record)
            size += len(data)
            if reply.records and size > REPLY_BYTES:
                break
            reply.records.append(data)
        return reply

    async def on_fetch_state(self, request):
        """Return the state in force as chunks; none if there is no state yet."""
        state, digest = self.tickets.current_state, self.tickets.digest
        if state.number == 0:
            return []
        data = await asyncio.to_thread(encode_state, state)
        return [
            peer_pb2.StateChunk(
                number=state.number,
                digest=digest,
                data=data[start : start + CHUNK_BYTES],
            )
            for start in range(0, len(data), CHUNK_BYTES)
        ]

    async def on_notify(self, request):
        """Process the notification of a newer ticket by a known VM."""
        member = self.tickets.membership.view.members.get(request.vm)
        if member is not None and request.number <= MAX_TICKET_NUMBER:
            same_zone = member.zone == self.tickets.membership.view.zone
            event = PeerReported(member.name, same_zone, request.number, request.number)
            self.tickets.observe(event)
        return peer_pb2.NotifyTicketReply()
