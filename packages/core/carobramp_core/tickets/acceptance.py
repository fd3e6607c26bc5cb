"""Decides whether a change ticket is accepted.

Explanation
===========

A ticket is checked whole against the state before it. It is accepted by one
transaction on condition that the head row is unchanged and that the ticket's row is
absent; the transaction is also the only proof of acceptance. Ticket rows are never
changed, so every later reading of the row gives the same verdict.
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
from carobramp_schema.generated.ticket import HeadRow, Ticket
from carobramp_schema.generated.ticket import TicketRecord as Record


@dataclasses.dataclass(frozen=True)
class TicketAccepted:
    """The ticket is accepted under its number, by this or an earlier request."""

    record: Record


@dataclasses.dataclass(frozen=True)
class ValidationPassed:
    """The ticket would be accepted; nothing was written."""


@dataclasses.dataclass(frozen=True)
class NumberTaken:
    """Another ticket was accepted under the number."""

    number: int
    author: str


@dataclasses.dataclass(frozen=True)
class NumberGap:
    """The number is not the next one."""

    next_number: int


@dataclasses.dataclass(frozen=True)
class AcceptanceFailed:
    """The platform did not answer; this request accepted nothing."""

    detail: str


@dataclasses.dataclass(frozen=True)
class AcceptanceUnknown:
    """The platform did not answer; the ticket may be accepted."""

    detail: str


@dataclasses.dataclass(frozen=True)
class ReadBackRequired:
    """The transaction may have taken effect; the ticket's row tells."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Prepared:
    """Transaction that accepts a ticket, and the state after it."""

    record: Record
    after: DeploymentState
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
) -> Prepared:
    """Build the transaction that accepts `ticket` as the successor of `state`.

    Parameters
    ==========

    ticket : checked ticket
    state : state at the number before the ticket's
    head_version : version of the head row that names this state; 0 when absent
    wall_now : time of acceptance, seconds since the epoch
    """
    after = state.apply(ticket)
    digest = after.digest()
    record = Record(ticket, content_digest(ticket), digest, int(wall_now * 1000))
    key = ticket_key(ticket.number)
    transaction = Transaction(
        (Condition(HEAD_KEY, head_version), Condition(key, 0)),
        (
            Write(key, encode(record)),
            Write(HEAD_KEY, encode(HeadRow(ticket.number, digest))),
        ),
    )
    return Prepared(record, after, transaction)


def verdict_from_rows(
    ticket: Ticket, rows: tuple[Row, ...]
) -> TicketAccepted | NumberTaken | None:
    """Decide by the ticket's row; None when `rows` do not have it."""
    record = read_record(rows, ticket.number)
    return None if record is None else verdict_from_record(ticket, record)


def verdict_from_record(ticket: Ticket, record: Record) -> TicketAccepted | NumberTaken:
    """Decide by the record that was accepted under the ticket's number."""
    if record.content_digest == content_digest(ticket):
        return TicketAccepted(record)
    return NumberTaken(record.ticket.number, record.ticket.author)


@functools.singledispatch
def verdict_from_outcome(outcome, prepared: Prepared):
    """Decide by the outcome of the transaction.

    The result is a verdict, or `ReadBackRequired` when the transaction may have taken
    effect, or None when neither this ticket nor another one has the number.
    """
    raise TypeError(f"unknown outcome {outcome!r}")


@verdict_from_outcome.register
def _(outcome: Committed, prepared: Prepared):
    return TicketAccepted(prepared.record)


@verdict_from_outcome.register
def _(outcome: Conflict, prepared: Prepared):
    return verdict_from_rows(prepared.record.ticket, outcome.rows)


@verdict_from_outcome.register
def _(outcome: Unavailable, prepared: Prepared):
    if outcome.maybe_applied:
        return ReadBackRequired(outcome.detail)
    return AcceptanceFailed(outcome.detail)
