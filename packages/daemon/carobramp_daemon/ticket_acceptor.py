"""Accepts change tickets by transactions on the platform's table."""

import asyncio
import time

from carobramp_core.platform import Conflict, Unavailable
from carobramp_core.tickets.acceptance import (
    AcceptanceFailed,
    AcceptanceUnknown,
    NumberGap,
    ReadBackRequired,
    ValidationPassed,
    prepare,
    verdict_from_outcome,
    verdict_from_record,
    verdict_from_rows,
)
from carobramp_core.tickets.checks import validate_ticket
from carobramp_core.tickets.rows import (
    HEAD_KEY,
    consistent_read,
    find_row,
    read_head,
    ticket_key,
)
from carobramp_schema import InvalidInput

MAX_ATTEMPTS = 4
"""Transactions sent for one ticket before its acceptance is given up."""

RETRY_PAUSE_S = 0.1
CATCH_UP_TIMEOUT_S = 3.0
PURPOSE = "accept"


class TicketAcceptor:
    """Validates tickets and stores them in the platform's table.

    Parameters
    ==========

    platform : client of the platform
    tickets : `TicketService` that holds the state in force
    """

    def __init__(self, platform, tickets):
        self.platform = platform
        self.tickets = tickets

    async def accept(self, ticket, dry_run=False):
        """Accept a ticket, or only validate it on a dry run; return the verdict."""
        record = self.tickets.recent_record(ticket.number)
        if record is not None:
            return verdict_from_record(ticket, record)
        rows = await self.read_rows(ticket)
        if isinstance(rows, AcceptanceFailed):
            return rows
        verdict = verdict_from_rows(ticket, rows)
        if verdict is not None:
            return verdict
        head = read_head(rows)
        if isinstance(head, InvalidInput):
            return AcceptanceFailed(f"the head row is not valid: {head}")
        if ticket.number != head.number + 1:
            return NumberGap(head.number + 1)
        state = await self.state_at(head.number)
        if state is None:
            return AcceptanceFailed(f"the state at number {head.number} is not at hand")
        fault = validate_ticket(ticket, state)
        if fault is not None:
            return fault
        if dry_run:
            return ValidationPassed()
        row = find_row(rows, HEAD_KEY)
        version = row.version if row else 0
        return await self.commit(prepare(ticket, state, version, time.time()))

    async def read_rows(self, ticket):
        """Return the head row and the ticket's row, or `AcceptanceFailed`.

        A plain read may be stale. It is enough if it has the ticket's row, which never
        changes, or if the ticket has the next number, which the transaction checks
        again. Otherwise the rows are read by a transaction, which is not stale.
        """
        keys = (HEAD_KEY, ticket_key(ticket.number))
        rows = await self.platform.read(keys, PURPOSE)
        if isinstance(rows, Unavailable):
            return AcceptanceFailed(rows.detail)
        head = read_head(rows)
        is_next = (
            not isinstance(head, InvalidInput) and head.number + 1 == ticket.number
        )
        if is_next or find_row(rows, keys[1]):
            return rows
        outcome = await self.platform.transact(consistent_read(ticket.number), PURPOSE)
        if isinstance(outcome, Unavailable):
            return AcceptanceFailed(outcome.detail)
        return outcome.rows if isinstance(outcome, Conflict) else ()

    def is_next(self, ticket, head):
        """Whether the ticket follows a head that may be stale."""
        if isinstance(head, InvalidInput):
            return False
        known = self.tickets.current_state.number
        return known <= head.number and ticket.number == head.number + 1

    async def state_at(self, number):
        """Return the state at `number`, or None if another one is in force here.

        Waits up to `CATCH_UP_TIMEOUT_S` for a lower state to reach the number.
        """
        await self.tickets.wait_for_state_number(number, CATCH_UP_TIMEOUT_S)
        state = self.tickets.current_state
        return state if state.number == number else None

    async def commit(self, prepared):
        """Send the transaction until its outcome is known, `MAX_ATTEMPTS` times.

        Sending it again is safe, as its conditions let it take effect once at most.
        """
        detail = ""
        maybe_applied = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_PAUSE_S * attempt)
            outcome = await self.platform.transact(prepared.transaction, PURPOSE)
            verdict = verdict_from_outcome(outcome, prepared)
            if isinstance(verdict, ReadBackRequired):
                maybe_applied = True
                verdict = await self.read_back(prepared.record.ticket)
            if verdict is None or isinstance(verdict, AcceptanceFailed):
                detail = getattr(outcome, "detail", "the head row changed")
                continue
            return verdict
        return AcceptanceUnknown(detail) if maybe_applied else AcceptanceFailed(detail)

    async def read_back(self, ticket):
        """Return the verdict by the ticket's row, or None if there is no row.

        A missing row does not mean that the transaction failed: the read may be stale,
        or the write may be applied later.
        """
        rows = await self.platform.read((ticket_key(ticket.number),), PURPOSE)
        return (
            None if isinstance(rows, Unavailable) else verdict_from_rows(ticket, rows)
        )
