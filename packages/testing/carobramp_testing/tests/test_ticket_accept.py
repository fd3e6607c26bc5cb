"""Acceptance of tickets on a platform that loses replies, lags or is down."""

import unittest

from carobramp_core.platform import Unavailable
from carobramp_core.tickets.acceptance import (
    AcceptanceFailed,
    AcceptanceUnknown,
    NumberGap,
    NumberTaken,
    TicketAccepted,
    ValidationPassed,
)
from carobramp_core.tickets.checks import BaseOutdated, InvalidTicket
from carobramp_core.tickets.propagation import apply_record
from carobramp_core.tickets.state import DeploymentState
from carobramp_daemon.ticket_acceptor import TicketAcceptor
from carobramp_schema.generated.ticket import TeamChange, TeamState, Ticket
from carobramp_testing.standins.store import Store

LOST = Unavailable("reply lost", maybe_applied=True)
DOWN = Unavailable("connection refused", maybe_applied=False)


class Platform:
    """Platform calls on a `Store`, with a list of faults for the next calls.

    A fault is "lost" (takes effect, no reply), "never" (no effect, no reply),
    "down" (certainly no effect) or "ok".
    """

    def __init__(self, store):
        self.store = store
        self.stale = None
        self.transacts = []
        self.reads = []

    async def transact(self, transaction, purpose):
        """Apply a transaction with the next fault."""
        fault = self.transacts.pop(0) if self.transacts else "ok"
        if fault in ("never", "down"):
            return LOST if fault == "never" else DOWN
        outcome = self.store.transact(transaction)
        return LOST if fault == "lost" else outcome

    async def read(self, keys, purpose):
        """Read rows, from an older copy when there is one."""
        if self.reads and self.reads.pop(0) != "ok":
            return DOWN
        return (self.stale or self.store).read(keys)


class Tickets:
    """State in force that follows the store's rows on demand."""

    def __init__(self):
        self.current_state = DeploymentState()
        self.kept = {}

    def recent_record(self, number):
        """Return a record applied before."""
        return self.kept.get(number)

    async def wait_for_state_number(self, number, timeout):
        """Nothing arrives while waiting."""

    def apply(self, record):
        """Bring a record into force."""
        self.current_state = apply_record(self.current_state, record)
        self.kept[record.ticket.number] = record


def ticket(number, author="anna", based_on=None, quota=8):
    """Build a ticket that sets one team."""
    based_on = number - 1 if based_on is None else based_on
    change = TeamChange("bakery", based_on, TeamState(quota))
    return Ticket(number, author, teams=[change])


def copy_of(store):
    """Return a copy of a store's rows."""
    copied = Store()
    copied.rows = dict(store.rows)
    return copied


class AcceptorTests(unittest.IsolatedAsyncioTestCase):
    """Exactly one ticket wins a number, and every verdict is true."""

    def setUp(self):
        """Start two VMs on one platform."""
        self.store = Store()
        self.platform = Platform(self.store)
        self.tickets = Tickets()
        self.acceptor = TicketAcceptor(self.platform, self.tickets)

    async def accept(self, *args, **fields):
        """Put a ticket and bring it into force when it is accepted."""
        verdict = await self.acceptor.accept(ticket(*args, **fields))
        if isinstance(verdict, TicketAccepted):
            self.tickets.apply(verdict.record)
        return verdict

    def accepted_rows(self):
        """Return the number of ticket rows."""
        return sum(key.startswith("ticket/") for key in self.store.rows)

    async def test_sequence(self):
        """Guards against refusing the next ticket."""
        for number in (1, 2, 3):
            self.assertIsInstance(await self.accept(number), TicketAccepted)
        self.assertEqual(self.accepted_rows(), 3)

    async def test_lost_reply(self):
        """Guards against an accepted ticket that is reported as refused."""
        self.platform.transacts = ["lost"]
        self.assertIsInstance(await self.accept(1), TicketAccepted)
        self.assertEqual(self.accepted_rows(), 1)

    async def test_lost_reply_and_stale_read_back(self):
        """Guards against taking a missing row of a stale read as a refusal."""
        self.platform.stale = copy_of(self.store)
        self.platform.transacts = ["lost"]
        self.assertIsInstance(await self.accept(1), TicketAccepted)

    async def test_lost_request(self):
        """Guards against giving up a ticket that never arrived."""
        self.platform.transacts = ["never", "never"]
        self.assertIsInstance(await self.accept(1), TicketAccepted)

    async def test_every_reply_lost(self):
        """Guards against claiming to know what cannot be known."""
        self.platform.transacts = ["lost"] * 4
        self.platform.reads = ["ok"] + ["down"] * 4
        self.assertIsInstance(await self.accept(1), AcceptanceUnknown)
        self.platform.reads = []
        again = await self.accept(1)
        self.assertIsInstance(again, TicketAccepted)
        self.assertEqual(self.accepted_rows(), 1)

    async def test_platform_down(self):
        """Guards against "unknown" for a ticket that certainly was not accepted."""
        self.platform.reads = ["down"]
        self.assertIsInstance(await self.accept(1), AcceptanceFailed)
        self.platform.transacts = ["down"] * 4
        self.assertIsInstance(await self.accept(1), AcceptanceFailed)
        self.assertEqual(self.accepted_rows(), 0)

    async def test_number_taken(self):
        """Guards against two tickets under one number."""
        await self.accept(1)
        other = TicketAcceptor(self.platform, Tickets())
        self.assertEqual(await other.accept(ticket(1, "bob")), NumberTaken(1, "anna"))
        self.assertIsInstance(await other.accept(ticket(1)), TicketAccepted)

    async def test_race_decided_by_the_transaction(self):
        """Guards against two winners when both read before either wrote."""
        self.platform.stale = copy_of(self.store)
        await self.accept(1)
        other = TicketAcceptor(self.platform, Tickets())
        self.assertEqual(await other.accept(ticket(1, "bob")), NumberTaken(1, "anna"))
        self.assertEqual(self.accepted_rows(), 1)

    async def test_lost_reply_of_a_lost_race(self):
        """Guards against taking the winner's row for one's own."""
        self.platform.stale = copy_of(self.store)
        await self.accept(1)
        other = TicketAcceptor(self.platform, Tickets())
        self.platform.transacts = ["lost"]
        self.assertEqual(await other.accept(ticket(1, "bob")), NumberTaken(1, "anna"))

    async def test_gap(self):
        """Guards against numbers that are left out."""
        self.assertEqual(await self.accept(2), NumberGap(1))

    async def test_stale_read_is_no_gap(self):
        """Guards against refusing the next ticket because a read was stale."""
        self.platform.stale = copy_of(self.store)
        await self.accept(1)
        self.assertIsInstance(await self.accept(2), TicketAccepted)

    async def test_known_ticket_while_the_platform_is_down(self):
        """Guards against doubt about a ticket that is in force here."""
        await self.accept(1)
        self.platform.reads = ["down"] * 4
        self.assertIsInstance(await self.acceptor.accept(ticket(1)), TicketAccepted)
        verdict = await self.acceptor.accept(ticket(1, "bob"))
        self.assertEqual(verdict, NumberTaken(1, "anna"))

    async def test_state_not_at_hand(self):
        """Guards against checking a ticket against an older state."""
        await self.accept(1)
        other = TicketAcceptor(self.platform, Tickets())
        self.assertIsInstance(await other.accept(ticket(2)), AcceptanceFailed)

    async def test_refusals_write_nothing(self):
        """Guards against an effect of a refused or only checked ticket."""
        await self.accept(1)
        verdict = await self.accept(2, based_on=0)
        self.assertIsInstance(verdict, BaseOutdated)
        removal = Ticket(2, "anna", teams=[TeamChange("club", 0, None)])
        self.assertIsInstance(await self.acceptor.accept(removal), InvalidTicket)
        checked = await self.acceptor.accept(ticket(2), dry_run=True)
        self.assertEqual(checked, ValidationPassed())
        self.assertEqual(self.accepted_rows(), 1)


if __name__ == "__main__":
    unittest.main()
