"""Decides whether a change ticket is accepted.

Explanation
===========

A ticket is validated as a whole against the state before it. One transaction
accepts it, on condition that the head row is unchanged and the ticket's row is
absent; nothing else accepts a ticket. Ticket rows never change, so every later read
of the row gives the same verdict.
"""

import dataclasses
import functools

from carobramp_core.platform import (
    Committed,
    Condition,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Write,
)
from carobramp_core.tickets.checks import BaseOutdated, InvalidTicket
from carobramp_core.tickets.rows import HEAD_KEY, read_record, ticket_key
from carobramp_core.tickets.state import DeploymentState, content_digest
from carobramp_schema import encode
from carobramp_schema.generated.ticket import HeadRow, Ticket, TicketRecord


@dataclasses.dataclass(frozen=True)
class TicketAccepted:
    """The ticket is accepted under its number, by this or an earlier request."""

    record: TicketRecord


@dataclasses.dataclass(frozen=True)
class ValidationPassed:
    """The ticket is valid; nothing was written because of the dry run."""


@dataclasses.dataclass(frozen=True)
class NumberTaken:
    """Another ticket was accepted under the number."""

    number: int
    author: str


@dataclasses.dataclass(frozen=True)
class NumberGap:
    """The ticket's number is not the next one."""

    next_number: int


@dataclasses.dataclass(frozen=True)
class AcceptanceFailed:
    """Acceptance was not possible; this request certainly accepted nothing."""

    detail: str


@dataclasses.dataclass(frozen=True)
class AcceptanceUnknown:
    """The outcome of the transaction is unknown; the ticket may be accepted."""

    detail: str


@dataclasses.dataclass(frozen=True)
class ReadBackRequired:
    """The transaction may have been applied; the ticket's row must be read."""

    detail: str


@dataclasses.dataclass(frozen=True)
class PreparedTicket:
    """Transaction that accepts a ticket, with its record and the resulting state."""

    record: TicketRecord
    state_after: DeploymentState
    transaction: Transaction


TicketVerdict = (
    TicketAccepted
    | ValidationPassed
    | InvalidTicket
    | NumberTaken
    | NumberGap
    | BaseOutdated
    | AcceptanceFailed
    | AcceptanceUnknown
)


def prepare(
    ticket: Ticket, state: DeploymentState, head_version: int, wall_now: float
) -> PreparedTicket:
    """Build the transaction that accepts `ticket` as the successor of `state`.

    Parameters
    ==========

    ticket : validated ticket
    state : state whose number is one less than the ticket's
    head_version : version of the head row for this state; 0 when it is absent
    wall_now : time of acceptance, seconds since the epoch
    """
    state_after = state.apply(ticket)
    digest = state_after.digest()
    record = TicketRecord(ticket, content_digest(ticket), digest, int(wall_now * 1000))
    key = ticket_key(ticket.number)
    transaction = Transaction(
        (Condition(HEAD_KEY, head_version), Condition(key, 0)),
        (
            Write(key, encode(record)),
            Write(HEAD_KEY, encode(HeadRow(ticket.number, digest))),
        ),
    )
    return PreparedTicket(record, state_after, transaction)


def verdict_from_rows(
    ticket: Ticket, rows: tuple[Row, ...]
) -> TicketAccepted | NumberTaken | None:
    """Return the verdict from the ticket's row, or None if `rows` lack it."""
    record = read_record(rows, ticket.number)
    return None if record is None else verdict_from_record(ticket, record)


def verdict_from_record(
    ticket: Ticket, record: TicketRecord
) -> TicketAccepted | NumberTaken:
    """Return the verdict from the record accepted under the ticket's number."""
    if record.content_digest == content_digest(ticket):
        return TicketAccepted(record)
    return NumberTaken(record.ticket.number, record.ticket.author)


@functools.singledispatch
def verdict_from_outcome(outcome, prepared: PreparedTicket):
    """Return the verdict from the outcome of the transaction.

    The result is `ReadBackRequired` if the transaction may have been applied, and
    None after a conflict in which no ticket has the number.
    """
    raise TypeError(f"unknown outcome {outcome!r}")


@verdict_from_outcome.register
def _(outcome: Committed, prepared: PreparedTicket):
    return TicketAccepted(prepared.record)


@verdict_from_outcome.register
def _(outcome: Conflict, prepared: PreparedTicket):
    return verdict_from_rows(prepared.record.ticket, outcome.rows)


@verdict_from_outcome.register
def _(outcome: Unavailable, prepared: PreparedTicket):
    if outcome.maybe_applied:
        return ReadBackRequired(outcome.detail)
    return AcceptanceFailed(outcome.detail)
