"""Tests of the ticket service without sockets."""

import random
import unittest

from carobramp_core.platform import Unavailable
from carobramp_core.tickets.propagation import HeadRead
from carobramp_core.tickets.state import DeploymentState, content_digest
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.ticket_handlers import TicketHandlers
from carobramp_daemon.tickets import TicketService
from carobramp_schema import convert
from carobramp_schema.generated import peer_pb2
from carobramp_schema.generated.settings import Settings
from carobramp_schema.generated.ticket import (
    TeamChange,
    TeamState,
    Ticket,
    TicketRecord,
)


class RecordingDispatch:
    """Records the numbers of the states that are sent to dispatch."""

    def __init__(self):
        self.numbers = []

    def send(self, event):
        """Record the number of a state."""
        self.numbers.append(event.state.number)


class EmptyMembership:
    """Membership without other VMs."""

    def address_of(self, vm):
        """Return no address."""
        return None

    def live_peers(self, now):
        """Return no peers."""
        return []


class UnavailablePlatform:
    """Platform whose calls fail."""

    async def read(self, keys, purpose):
        """Return `Unavailable`."""
        return Unavailable("down", maybe_applied=False)


class DiscardingLog:
    """Log that discards its lines."""

    def info(self, message, **fields):
        """Discard a line."""


def consecutive_records(count, quota=1):
    """Build `count` records with consecutive numbers and the state after them."""
    state, records = DeploymentState(), []
    for number in range(1, count + 1):
        change = TeamChange("bakery", number - 1, TeamState(quota))
        ticket = Ticket(number, "anna", teams=[change])
        state = state.apply(ticket)
        digest = content_digest(ticket)
        records.append(TicketRecord(ticket, digest, state.digest(), 0))
    return records, state


class TicketServiceTests(unittest.IsolatedAsyncioTestCase):
    """The state never reverts, and dispatch gets the newest one."""

    async def asyncSetUp(self):
        """Build a service that is not started."""
        vm = {"name": "vm-1", "region": "r", "availability_zone": "z"}
        body = {"vm": vm, "platform": {"url": "http://127.0.0.1:1"}}
        self.dispatch = RecordingDispatch()
        self.service = TicketService(
            convert(body, Settings),
            UnavailablePlatform(),
            EmptyMembership(),
            None,
            self.dispatch,
            random.Random(1),
            Metrics(),
            DiscardingLog(),
        )

    async def test_dispatch_gets_the_last_state_of_a_batch(self):
        """Guards against an event loop that is blocked while a VM catches up."""
        records, state = consecutive_records(5)
        self.assertIsNone(await self.service.apply_all(records))
        self.assertEqual(self.dispatch.numbers, [5])
        self.assertEqual(self.service.digest, state.digest())

    async def test_dispatch_gets_the_state_before_an_invalid_record(self):
        """Guards against a state in force that dispatch does not have."""
        records, _ = consecutive_records(3)
        ticket = consecutive_records(4)[0][3].ticket
        altered = TicketRecord(ticket, content_digest(ticket), "0" * 64, 0)
        fault = await self.service.apply_all([*records, altered])
        self.assertTrue(fault.invalid)
        self.assertEqual(self.service.current_state.number, 3)
        self.assertEqual(self.dispatch.numbers, [3])

    async def test_older_state_is_not_installed(self):
        """Guards against a stale snapshot that reverts tickets."""
        records, _ = consecutive_records(3)
        await self.service.apply_all(records)
        self.assertIsNotNone(self.service.replace_state(consecutive_records(2)[1]))
        self.assertEqual(self.service.current_state.number, 3)
        self.assertEqual(self.dispatch.numbers, [3])

    async def test_diverged_state_is_replaced_at_the_same_number(self):
        """Guards against a diverged state that stays until a whole state is fetched."""
        await self.service.apply_all(consecutive_records(3, quota=9)[0])
        correct_state = consecutive_records(3)[1]
        self.assertIsNotNone(self.service.replace_state(correct_state))
        self.service.observe(HeadRead(3, correct_state.digest()))
        self.assertIsNone(self.service.replace_state(correct_state))
        self.assertEqual(self.service.digest, correct_state.digest())

    async def test_start_without_platform_and_peers(self):
        """Guards against a VM that becomes ready without a state."""
        self.assertFalse(self.service.ready)
        self.assertIsNone(await self.service.poll_head())
        self.assertEqual(self.service.status()["not_ready_reason"], "no_state")

    async def test_calls_of_peers(self):
        """Guards against replies with missing records, and against empty states."""
        handlers = TicketHandlers(self.service)
        self.assertEqual(
            await handlers.on_fetch_state(peer_pb2.FetchStateRequest()), []
        )
        records, state = consecutive_records(4)
        await self.service.apply_all(records)
        request = peer_pb2.FetchTicketsRequest(after=1, limit=2)
        reply = await handlers.on_fetch_tickets(request)
        self.assertEqual(len(reply.records), 2)
        self.service.recent_records.clear()
        reply = await handlers.on_fetch_tickets(request)
        self.assertTrue(reply.too_old)
        chunks = await handlers.on_fetch_state(peer_pb2.FetchStateRequest())
        self.assertEqual({chunk.digest for chunk in chunks}, {state.digest()})


if __name__ == "__main__":
    unittest.main()
