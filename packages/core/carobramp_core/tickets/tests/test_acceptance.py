"""Tests of the verdicts on tickets."""

import unittest

from carobramp_core.platform import Committed, Conflict, Row, Unavailable
from carobramp_core.tickets.acceptance import (
    AcceptanceFailed,
    NumberTaken,
    ReadBackRequired,
    TicketAccepted,
    prepare,
    verdict_from_outcome,
    verdict_from_rows,
)
from carobramp_core.tickets.rows import HEAD_KEY, consistent_read, ticket_key
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema import encode
from carobramp_schema.generated.ticket import TeamChange, TeamState, Ticket


def prepared(author="anna"):
    """Prepare the acceptance of ticket 1 on an empty state."""
    ticket = Ticket(1, author, teams=[TeamChange("bakery", 0, TeamState(8))])
    return prepare(ticket, DeploymentState(), 0, 1.5)


def row_of(accepted):
    """Build the row of an accepted ticket."""
    return Row(ticket_key(1), encode(accepted.record), 1)


class VerdictTests(unittest.TestCase):
    """The transaction and the verdict for each of its outcomes."""

    def test_transaction(self):
        """Guards against acceptance without conditions on the head and ticket rows."""
        transaction = prepared().transaction
        conditions = {c.key: c.version for c in transaction.conditions}
        self.assertEqual(conditions, {HEAD_KEY: 0, ticket_key(1): 0})
        self.assertEqual({w.key for w in transaction.writes}, set(conditions))

    def test_outcomes(self):
        """Guards against a wrong verdict after a lost reply or a conflict."""
        own, other = prepared(), prepared("bob")
        same_later = prepare(own.record.ticket, DeploymentState(), 0, 9.0)
        cases = [
            (Committed(), TicketAccepted(own.record)),
            (Conflict((row_of(same_later),)), TicketAccepted(same_later.record)),
            (Conflict((row_of(other),)), NumberTaken(1, "bob")),
            (Conflict(()), None),
            (Unavailable("refused", False), AcceptanceFailed("refused")),
            (Unavailable("time-out", True), ReadBackRequired("time-out")),
        ]
        for outcome, expected in cases:
            with self.subTest(outcome=outcome):
                self.assertEqual(verdict_from_outcome(outcome, own), expected)

    def test_row_of_another_number(self):
        """Guards against a verdict from the row of another ticket."""
        row = Row(ticket_key(2), encode(prepared().record), 1)
        self.assertIsNone(verdict_from_rows(prepared().record.ticket, (row,)))

    def test_consistent_read_writes_nothing(self):
        """Guards against writes in a transaction that is meant to read."""
        self.assertEqual(consistent_read(3).writes, ())


if __name__ == "__main__":
    unittest.main()
