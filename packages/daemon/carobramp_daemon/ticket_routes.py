"""HTTP routes for operators: tickets and the state in force."""

import asyncio
import functools

from aiohttp import web

from carobramp_core.outcomes import Reason
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
from carobramp_core.tickets.rows import MAX_TICKET_NUMBER, read_record, ticket_key
from carobramp_core.tickets.state import OBJECT_KINDS
from carobramp_daemon.middleware import read_body
from carobramp_daemon.problems import problem, problem_response
from carobramp_schema import InvalidInput, decode, encode
from carobramp_schema.generated.ticket import Ticket

JSON = "application/json"
LIST_LIMIT = 20
LIST_LIMIT_MAX = 100


class TicketRoutes:
    """Serves tickets and the state of the ticket service to operators."""

    def __init__(self, tickets):
        self.tickets = tickets
        self.acceptances: set[asyncio.Task] = set()

    def add_to(self, router):
        """Add the routes of this class to the HTTP server's router."""
        router.add_put("/v1/tickets/{number}", self.put_ticket)
        router.add_get("/v1/tickets", self.list_tickets)
        router.add_get("/v1/tickets/{number}", self.show_ticket)
        router.add_get("/v1/state", self.show_state)

    async def put_ticket(self, request):
        """Accept a ticket, or only validate it with ``?check=1``."""
        ticket = await self.read_ticket(request)
        if isinstance(ticket, web.Response):
            return ticket
        dry_run = request.query.get("check", "") == "1"
        # The acceptance continues if the operator disconnects.
        task = asyncio.create_task(self.tickets.accept(ticket, dry_run))
        self.acceptances.add(task)
        task.add_done_callback(self.acceptances.discard)
        verdict = await asyncio.shield(task)
        return respond(verdict, ticket, self)

    async def read_ticket(self, request):
        """Return the decoded ticket of a request, or an error response."""
        try:
            timeout = self.tickets.settings.limits.body_timeout_ms / 1000
            data = await read_body(request, timeout)
        except web.HTTPRequestEntityTooLarge as error:
            return self.refuse(Reason.BODY_TOO_LARGE, error.text)
        ticket = decode(data, Ticket)
        if isinstance(ticket, InvalidInput):
            return self.refuse(Reason.TICKET_INVALID, str(ticket), ticket)
        number = request.match_info["number"]
        if number != str(ticket.number):
            fault = InvalidInput(
                "$.number", f"{number}, as in the path", str(ticket.number)
            )
            return self.refuse(Reason.TICKET_INVALID, str(fault), fault)
        if ticket.number > MAX_TICKET_NUMBER:
            seen = str(ticket.number)
            fault = InvalidInput("$.number", f"at most {MAX_TICKET_NUMBER}", seen)
            return self.refuse(Reason.TICKET_INVALID, str(fault), fault)
        return ticket

    def refuse(self, reason, detail, invalid=None):
        """Return a refusal, counted by reason."""
        self.tickets.metrics.increment("refusals", reason)
        return problem_response(problem(reason, detail, invalid=invalid))

    async def list_tickets(self, request):
        """Respond with a page of accepted tickets, newest first."""
        limit = read_count(request, "limit", LIST_LIMIT)
        after = read_count(request, "after", MAX_TICKET_NUMBER)
        for value in (limit, after):
            if isinstance(value, InvalidInput):
                return self.refuse(Reason.MALFORMED_REQUEST, str(value), value)
        newest = min(after - 1, self.tickets.current_state.number)
        oldest = max(0, newest - min(limit, LIST_LIMIT_MAX))
        records = await self.records(range(newest, oldest, -1))
        if isinstance(records, Unavailable):
            return self.refuse(Reason.PLATFORM_UNAVAILABLE, records.detail)
        body = {"tickets": records, "next_after": oldest + 1 if oldest else 0}
        return web.Response(body=encode(body), content_type=JSON)

    async def records(self, numbers):
        """Return the records of the tickets that exist, from memory or the table."""
        found = {n: self.tickets.recent_record(n) for n in numbers}
        missing = tuple(ticket_key(n) for n, record in found.items() if record is None)
        if missing:
            rows = await self.tickets.platform.read(missing, "tickets")
            if isinstance(rows, Unavailable):
                return rows
            for number in numbers:
                found[number] = found[number] or read_record(rows, number)
        return [record for record in found.values() if record is not None]

    async def show_ticket(self, request):
        """Respond with a ticket and the names of the VMs that have it in force."""
        number = read_number(request)
        records = await self.records([number]) if number else []
        if isinstance(records, Unavailable):
            return self.refuse(Reason.PLATFORM_UNAVAILABLE, records.detail)
        if not records:
            detail = f"no ticket {request.match_info['number']} is known to be accepted"
            return self.refuse(Reason.TICKET_UNKNOWN, detail)
        body = {"record": records[0]} | await self.installed_by(number)
        return web.Response(body=encode(body), content_type=JSON)

    async def installed_by(self, number):
        """Ask every known VM for its state number and group the VMs by the answer."""
        statuses = await self.tickets.membership.query_members()
        numbers = {vm: s.state_number for vm, s in statuses.items() if s is not None}
        numbers[self.tickets.settings.vm.name] = self.tickets.current_state.number
        return {
            "in_force": sorted(vm for vm, n in numbers.items() if n >= number),
            "not_in_force": sorted(vm for vm, n in numbers.items() if n < number),
            "cannot_be_asked": sorted(set(statuses) - set(numbers)),
        }

    async def show_state(self, request):
        """Respond with the state in force and the number of each object's ticket."""
        state = self.tickets.current_state
        objects = {
            kind: [
                {"name": name, "number": versioned.number, "state": versioned.state}
                for name, versioned in sorted(getattr(state, kind).items())
            ]
            for kind in OBJECT_KINDS
        }
        body = {
            "number": state.number,
            "digest": self.tickets.digest,
            "age_ms": self.tickets.age_ms(),
            "stale": self.tickets.stale,
        }
        return web.Response(body=encode(body | objects), content_type=JSON)


def read_number(request):
    """Return the ticket number in the path, or 0 if it is not a valid number."""
    text = request.match_info["number"]
    usable = text.isascii() and text.isdigit() and int(text[:20]) <= MAX_TICKET_NUMBER
    return int(text[:20]) if usable else 0


def read_count(request, name, default):
    """Return a positive number of the query, `default`, or `InvalidInput`."""
    text = request.query.get(name)
    if text is None:
        return default
    usable = (
        text.isascii() and text.isdigit() and 0 < int(text[:20]) <= MAX_TICKET_NUMBER
    )
    if not usable:
        return InvalidInput(f"query.{name}", "a positive number", text[:40])
    return int(text)


@functools.singledispatch
def respond(verdict, ticket, routes):
    """Return the HTTP response for the verdict on a ticket."""
    raise TypeError(f"unknown verdict {verdict!r}")


@respond.register
def _(verdict: TicketAccepted, ticket, routes):
    body = {
        "number": ticket.number,
        "accepted": True,
        "state_digest": verdict.record.state_digest,
        "accepted_at_ms": verdict.record.accepted_at_ms,
    }
    return web.Response(body=encode(body), content_type=JSON)


@respond.register
def _(verdict: ValidationPassed, ticket, routes):
    body = {"number": ticket.number, "accepted": False, "checked": True}
    return web.Response(body=encode(body), content_type=JSON)


@respond.register
def _(verdict: InvalidTicket, ticket, routes):
    fault = verdict.fault
    return routes.refuse(Reason.TICKET_INVALID, str(fault), fault)


@respond.register
def _(verdict: BaseOutdated, ticket, routes):
    fault = verdict.fault
    return routes.refuse(Reason.TICKET_OUT_OF_DATE, str(fault), fault)


@respond.register
def _(verdict: NumberTaken, ticket, routes):
    detail = f"ticket {verdict.number} by {verdict.author} was accepted"
    fault = InvalidInput("$.number", "a free number", str(verdict.number))
    return routes.refuse(Reason.TICKET_NUMBER_TAKEN, detail, fault)


@respond.register
def _(verdict: NumberGap, ticket, routes):
    fault = InvalidInput("$.number", str(verdict.next_number), str(ticket.number))
    detail = f"the next number is {verdict.next_number}"
    return routes.refuse(Reason.TICKET_NUMBER_GAP, detail, fault)


@respond.register
def _(verdict: AcceptanceFailed, ticket, routes):
    detail = f"this request accepted nothing: {verdict.detail}"
    return routes.refuse(Reason.PLATFORM_UNAVAILABLE, detail)


@respond.register
def _(verdict: AcceptanceUnknown, ticket, routes):
    detail = f"the ticket may be accepted, put it again to know: {verdict.detail}"
    return routes.refuse(Reason.ACCEPTANCE_UNKNOWN, detail)
