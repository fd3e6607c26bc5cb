"""Service that owns the deployment state in force."""

import asyncio
import time

from aiohttp import web
from mode import Service

from carobramp_core.dispatch.messages import StateInForce
from carobramp_core.outcomes import Reason
from carobramp_core.platform import (
    Committed,
    Condition,
    Conflict,
    Transaction,
    Unavailable,
    Write,
)
from carobramp_core.tickets.state import DeploymentState, content_digest
from carobramp_daemon.problems import problem, problem_response
from carobramp_schema import InvalidInput, decode, encode
from carobramp_schema.generated.settings import Settings
from carobramp_schema.generated.ticket import HeadRow, Ticket, TicketRecord

HEAD_KEY = "head"
TICKET_PREFIX = "ticket/"
SCAN_LIMIT = 500


def ticket_key(number):
    """Return the key of a ticket row; keys sort by number."""
    return f"{TICKET_PREFIX}{number:012d}"


class TicketService(Service):
    """Accepts tickets and brings accepted ones into force in order."""

    def __init__(self, settings: Settings, platform, dispatch, metrics, log):
        super().__init__()
        self.settings = settings
        self.platform = platform
        self.dispatch = dispatch
        self.metrics = metrics
        self.log_line = log
        self.in_force = DeploymentState()
        self.ready = False
        self.not_ready_reason = "no_state"

    def add_routes(self, router):
        """Add the operators' routes."""
        router.add_put("/v1/tickets/{number}", self.put_ticket)

    @Service.task
    async def follow_head(self):
        """Read new tickets from the table at intervals."""
        while not self.should_stop:
            await self.catch_up()
            await asyncio.sleep(self.settings.tickets.head_poll_ms / 1000)

    async def catch_up(self):
        """Apply every ticket that the table has after the present number."""
        rows = await self.platform.scan(
            TICKET_PREFIX, ticket_key(self.in_force.number), SCAN_LIMIT, "tickets"
        )
        if isinstance(rows, Unavailable):
            return
        for row in rows:
            record = decode(row.value, TicketRecord)
            if record.ticket.number == self.in_force.number + 1:
                self.bring_into_force(record)
        self.ready = True

    def bring_into_force(self, record):
        """Apply one accepted ticket."""
        self.in_force = self.in_force.apply(record.ticket)
        self.metrics.set("state_number", self.in_force.number)
        self.log_line.info("in force", number=self.in_force.number)
        self.dispatch.send(StateInForce(self.in_force))

    async def put_ticket(self, request):
        """Accept a ticket by one transaction."""
        ticket = decode(await request.read(), Ticket)
        if isinstance(ticket, InvalidInput):
            details = problem(Reason.TICKET_INVALID, str(ticket), invalid=ticket)
            return problem_response(details)
        await self.catch_up()
        if ticket.number != self.in_force.number + 1:
            details = problem(
                Reason.TICKET_NUMBER_GAP,
                f"the next number is {self.in_force.number + 1}",
            )
            return problem_response(details)
        after = self.in_force.apply(ticket)
        record = TicketRecord(
            ticket, content_digest(ticket), after.digest(), int(time.time() * 1000)
        )
        head = HeadRow(ticket.number, record.state_digest)
        transaction = Transaction(
            (Condition(HEAD_KEY, self.in_force.number),),
            (
                Write(ticket_key(ticket.number), encode(record)),
                Write(HEAD_KEY, encode(head)),
            ),
        )
        outcome = await self.platform.transact(transaction, "accept")
        if isinstance(outcome, Committed):
            await self.catch_up()
            return web.json_response({"number": ticket.number, "accepted": True})
        reason = Reason.TICKET_NUMBER_TAKEN
        if not isinstance(outcome, Conflict):
            reason = Reason.ACCEPTANCE_UNKNOWN
        return problem_response(problem(reason, "the ticket was not accepted"))
