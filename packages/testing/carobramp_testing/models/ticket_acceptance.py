"""Specification of ticket acceptance.

Explanation
===========

Two operators put different tickets, each under number 1 or 2. Reads may be stale,
requests and replies of transactions get lost, and a transaction may take effect after
its sender gave up. An operator that was told "unknown" puts the same ticket again.
Verdicts are decided by `carobramp_core.tickets.acceptance`; the table is a model.
"""

import functools
from typing import NamedTuple

from minicheck import Protocol

from carobramp_core.platform import Committed, Conflict, Row, Unavailable
from carobramp_core.tickets.acceptance import (
    NumberTaken,
    ReadBackRequired,
    TicketAccepted,
    prepare,
    verdict_from_outcome,
    verdict_from_rows,
)
from carobramp_core.tickets.rows import HEAD_KEY, ticket_key
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema import encode
from carobramp_schema.generated.ticket import HeadRow, TeamChange, TeamState, Ticket

AUTHORS = ("anna", "bob")
MAX_NUMBER = 2
ATTEMPTS = 2
PUTS = 2
LOST = Unavailable("lost", maybe_applied=True)
REFUSED = Unavailable("refused", maybe_applied=False)
SAFEGUARDS = (
    "conditions of the transaction",
    "comparison of the content digest",
    "doubt about a missing row",
)


class Operator(NamedTuple):
    """One operator's ticket; `told` is the last verdict."""

    phase: str = "idle"
    number: int = 0
    version: int = 0
    attempts: int = 0
    puts: int = 0
    maybe_sent: bool = False
    told: tuple = ()


class World(NamedTuple):
    """Table, late transactions and operators; a row is an author.

    `overwritten` says that a row was replaced.
    """

    table: tuple = ()
    late: frozenset = frozenset()
    anna: Operator = Operator()
    bob: Operator = Operator()
    overwritten: bool = False


@functools.cache
def ticket_of(author, number):
    """Return an operator's ticket."""
    change = TeamChange(author, 0, TeamState(8))
    return Ticket(number, author, teams=[change])


@functools.cache
def state_after(table):
    """Return the state after the tickets of a table."""
    state = DeploymentState()
    for number, author in enumerate(table, 1):
        change = TeamChange(f"{author}-{number}", 0, TeamState(8))
        state = state.apply(Ticket(number, author, teams=[change]))
    return state


@functools.cache
def prepared_for(author, number, version, before):
    """Return the real transaction for a ticket after the table `before`."""
    return prepare(ticket_of(author, number), state_after(before), version, 0.0)


@functools.cache
def rows_of(table, number):
    """Return head row and ticket row as the table holds them."""
    if not table:
        return ()
    rows = (Row(HEAD_KEY, encode(HeadRow(len(table), "")), len(table)),)
    if number > len(table):
        return rows
    author = table[number - 1]
    record = prepared_for(author, number, number - 1, table[: number - 1]).record
    return (*rows, Row(ticket_key(number), encode(record), 1))


def holds(world, author, number, version):
    """Whether the conditions of the real transaction hold in the table."""
    prepared = prepared_for(author, number, version, world.table[: number - 1])
    versions = {row.key: row.version for row in rows_of(world.table, number)}
    conditions = prepared.transaction.conditions
    return all(versions.get(c.key, 0) == c.version for c in conditions)


def apply_transaction(world, author, number, version, without):
    """Return the world after a transaction arrived, and its outcome."""
    conditional = without != "conditions of the transaction"
    if conditional and not holds(world, author, number, version):
        return world, Conflict(rows_of(world.table, number))
    overwritten = number <= len(world.table)
    table = (*world.table[: number - 1], author, *world.table[number:])
    world = world._replace(table=table, overwritten=world.overwritten or overwritten)
    return world, Committed()


def judged(author, number, table, without):
    """Return the verdict by the ticket's row in a copy of the table."""
    verdict = verdict_from_rows(ticket_of(author, number), rows_of(table, number))
    if without == "comparison of the content digest" and verdict is not None:
        return TicketAccepted(None)
    return verdict


def told(verdict):
    """Return a verdict in the form that the state keeps."""
    if isinstance(verdict, TicketAccepted):
        return ("accepted",)
    if isinstance(verdict, NumberTaken):
        return ("taken", verdict.author)
    return (verdict,)


def answer(operator, verdict):
    """End a request with a verdict."""
    return operator._replace(phase="done", told=told(verdict))


def retry(operator, without):
    """Send again, or give up when the attempts are used."""
    if without == "doubt about a missing row" and operator.maybe_sent:
        return answer(operator, "refused")
    if operator.attempts < ATTEMPTS:
        return operator._replace(phase="send")
    return answer(operator, "unknown" if operator.maybe_sent else "refused")


def steps(author, world, without):
    """Yield the steps of one operator."""
    operator = getattr(world, author)

    def moved(label, operator, world=world):
        return f"{author}: {label}", world._replace(**{author: operator})

    if operator.phase == "idle":
        for number in range(1, MAX_NUMBER + 1):
            yield moved(
                f"puts {number}",
                operator._replace(phase="read", number=number, puts=1),
            )
    unknown = operator.phase == "done" and operator.told == ("unknown",)
    if unknown and operator.puts < PUTS:
        again = Operator("read", operator.number, puts=operator.puts + 1)
        yield moved("puts again", again)
    if operator.phase == "read":
        for known in range(len(world.table) + 1):
            yield moved(f"reads {known}", read(author, operator, world, known, without))
    if operator.phase == "send":
        yield from send(author, operator, world, without)
    if operator.phase == "lost":
        for known in range(len(world.table) + 1):
            verdict = judged(author, operator.number, world.table[:known], without)
            after = answer(operator, verdict) if verdict else retry(operator, without)
            yield moved(f"reads back {known}", after)


def read(author, operator, world, known, without):
    """Return the operator after a read of the first `known` rows."""
    verdict = judged(author, operator.number, world.table[:known], without)
    if verdict is not None:
        return answer(operator, verdict)
    if known + 1 != operator.number:
        known = len(world.table)
        verdict = judged(author, operator.number, world.table, without)
        if verdict is not None:
            return answer(operator, verdict)
    if known + 1 != operator.number:
        return answer(operator, "gap")
    return operator._replace(phase="send", version=known, attempts=0)


def send(author, operator, world, without):
    """Yield what can become of a transaction that is sent."""
    key = (author, operator.number, operator.version)
    sent = operator._replace(attempts=operator.attempts + 1)
    maybe = sent._replace(phase="lost", maybe_sent=True)
    changed, outcome = apply_transaction(world, *key, without)
    prepared = prepared_for(*key, world.table[: operator.number - 1])
    results = [
        ("commits or conflicts", changed, outcome),
        ("loses the reply", changed, LOST),
        ("loses the request", world, LOST),
        ("is late", world._replace(late=world.late | {key}), LOST),
        ("is refused", world, REFUSED),
    ]
    for label, next_world, seen in results:
        verdict = verdict_from_outcome(seen, prepared)
        if isinstance(verdict, ReadBackRequired):
            after = maybe
        elif isinstance(verdict, TicketAccepted | NumberTaken):
            after = answer(sent, verdict)
        else:
            after = retry(sent, without)
        yield f"{author}: {label}", next_world._replace(**{author: after})


def transitions(world, without):
    """Return every next state."""
    if not all(rule(world._asdict()) for rule in INVARIANTS.values()):
        return []
    found = [step for author in AUTHORS for step in steps(author, world, without)]
    for key in world.late:
        rest = world._replace(late=world.late - {key})
        found.append((f"{key[0]}: late", apply_transaction(rest, *key, without)[0]))
    return found


def operators(view):
    """Yield author, operator and the author who has the operator's number."""
    for author in AUTHORS:
        operator = view[author]
        table = view["table"]
        has = table[operator.number - 1 : operator.number] if operator.number else ()
        yield author, operator, has


def accepted_is_true(view):
    """A ticket that was told accepted has its number."""
    return all(
        has == (author,)
        for author, operator, has in operators(view)
        if operator.told == ("accepted",)
    )


def taken_is_true(view):
    """A number that was told taken belongs to the author that was named."""
    return all(
        has == operator.told[1:] and has != (author,)
        for author, operator, has in operators(view)
        if operator.told[:1] == ("taken",)
    )


def refused_is_true(view):
    """A ticket that was told refused is not accepted, and never will be."""
    late = {key[0] for key in view["late"]}
    return all(
        has != (author,) and not (author in late and is_next(operator, view))
        for author, operator, has in operators(view)
        if operator.told in (("refused",), ("gap",)) and operator.puts == 1
    )


def is_next(operator, view):
    """Whether a late transaction of the operator could still take effect."""
    return operator.number == len(view["table"]) + 1


INVARIANTS = {
    "a row is never replaced": lambda view: not view["overwritten"],
    "accepted is true": accepted_is_true,
    "taken is true": taken_is_true,
    "refused is true": refused_is_true,
}


def build(without: str | None = None) -> Protocol:
    """Return the machine, without the named safeguard."""
    return Protocol(
        name="ticket acceptance",
        candidate=False,
        fields=World._fields,
        initial=World(),
        transitions=lambda world: transitions(world, without),
        invariants=INVARIANTS,
    )
