"""Spreading decisions."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies as st

from carobramp_core.tickets.propagation import (
    BAD_SOURCE_S,
    READY,
    RETRY_S,
    TABLE_SOURCE,
    FetchFailed,
    FetchState,
    FetchTickets,
    HeadRead,
    InvalidRecord,
    NumberReported,
    PeerReported,
    PeerSourceRemoved,
    ReportedNumbers,
    StateInstalled,
    TicketPropagation,
    apply_record,
    newer_state,
    not_ready_reason,
)
from carobramp_core.tickets.recent_records import KEPT_BYTES, RecentRecords
from carobramp_core.tickets.state import (
    DeploymentState,
    content_digest,
    decode_state,
    encode_state,
)
from carobramp_schema import InvalidInput
from carobramp_schema.generated.ticket import (
    TeamChange,
    TeamState,
    Ticket,
    TicketRecord,
)

DERANDOMIZED = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
MAX_GAP = 512


def record_after(state, quota=1, note=""):
    """Build the record of a ticket that follows `state`."""
    last = state.teams.get("bakery")
    change = TeamChange("bakery", last.number if last else 0, TeamState(quota))
    ticket = Ticket(state.number + 1, "anna", note, teams=[change])
    after = state.apply(ticket)
    return TicketRecord(ticket, content_digest(ticket), after.digest(), 0)


def chain(count):
    """Build `count` records and the state after them."""
    state, records = DeploymentState(), []
    for quota in range(1, count + 1):
        records.append(record_after(state, quota))
        state = state.apply(records[-1].ticket)
    return state, records


class SourceTests(unittest.TestCase):
    """What is fetched, and from where."""

    def setUp(self):
        """Start with nothing known."""
        self.propagation = TicketPropagation(MAX_GAP, 0.0)

    def test_nothing_to_fetch(self):
        """Guards against reads when nothing newer is known."""
        self.propagation.handle(HeadRead(0, ""), 1.0)
        self.assertIsNone(self.propagation.next_fetch(1.0))

    def test_near_peer_before_far_peer_before_table(self):
        """Guards against reading the table for what a peer has."""
        self.propagation.handle(HeadRead(3, "d"), 1.0)
        self.assertEqual(
            self.propagation.next_fetch(1.0), FetchTickets(TABLE_SOURCE, 0)
        )
        self.propagation.handle(PeerReported("far", False, 3, 3), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchTickets("far", 0))
        self.propagation.handle(PeerReported("near", True, 2, 2), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchTickets("near", 0))

    def test_wide_gap(self):
        """Guards against a long run of single tickets after an absence."""
        self.propagation.handle(PeerReported("near", True, MAX_GAP + 1, 0), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchState("near"))

    def test_failed_source_is_paused(self):
        """Guards against asking a source without news in a loop."""
        self.propagation.handle(PeerReported("near", True, 3, 3), 1.0)
        self.propagation.handle(FetchFailed("near"), 1.0)
        self.assertEqual(
            self.propagation.next_fetch(1.0), FetchTickets(TABLE_SOURCE, 0)
        )
        self.propagation.handle(FetchFailed(TABLE_SOURCE), 1.0)
        self.assertIsNone(self.propagation.next_fetch(1.0))
        self.assertEqual(self.propagation.next_wakeup(1.0), 1.0 + RETRY_S)
        found = self.propagation.next_fetch(1.0 + RETRY_S)
        self.assertEqual(found, FetchTickets("near", 0))

    def test_invalid_source_is_paused_longer(self):
        """Guards against taking bad data again and again."""
        self.propagation.handle(PeerReported("near", True, 3, 3), 1.0)
        self.propagation.handle(FetchFailed("near", invalid=True), 1.0)
        found = self.propagation.next_fetch(1.0 + BAD_SOURCE_S - 0.1)
        self.assertEqual(found.source, TABLE_SOURCE)

    def test_heard_number_without_a_source_is_read_from_the_table(self):
        """Guards against a number that is heard of and never fetched."""
        self.propagation.handle(PeerReported("near", True, 0, 4), 1.0)
        self.assertEqual(
            self.propagation.next_fetch(1.0), FetchTickets(TABLE_SOURCE, 0)
        )

    def test_state_that_differs_from_the_table_is_rebuilt(self):
        """Guards against a wrong state that stays in force for ever."""
        self.propagation.handle(StateInstalled(3, "wrong"), 1.0)
        self.propagation.handle(HeadRead(3, "right"), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchState(TABLE_SOURCE))

    def test_table_rows_that_do_not_follow_put_the_state_in_doubt(self):
        """Guards against a wrong state that refuses every later ticket."""
        self.propagation.handle(StateInstalled(3, "wrong"), 1.0)
        self.propagation.handle(NumberReported(4), 1.0)
        self.propagation.handle(FetchFailed(TABLE_SOURCE, invalid=True), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchState(TABLE_SOURCE))

    def test_forgotten_peer_is_no_source(self):
        """Guards against asking a VM that is gone."""
        self.propagation.handle(PeerReported("near", True, 3, 3), 1.0)
        self.propagation.handle(PeerSourceRemoved("near"), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0).source, TABLE_SOURCE)

    def test_impossible_number(self):
        """Guards against a number that no ticket can have."""
        self.propagation.handle(PeerReported("near", True, 10**15, 10**15), 1.0)
        self.assertEqual(self.propagation.highest_known_number, 0)
        self.assertIsNone(self.propagation.next_fetch(1.0))

    def test_age(self):
        """Guards against an old state that is reported as confirmed."""
        self.propagation.handle(StateInstalled(2, "d"), 1.0)
        self.propagation.handle(HeadRead(2, "d"), 5.0)
        self.propagation.handle(HeadRead(1, "c"), 9.0)
        self.assertEqual(self.propagation.confirmation_age(10.0), 5.0)


class ApplyTests(unittest.TestCase):
    """Records are applied in order and only when their digests agree."""

    def test_altered_records(self):
        """Guards against bringing altered tickets into force."""
        state, _ = chain(2)
        good = record_after(state, 7)
        others = record_after(state, 8)
        altered = [
            replaced(good, ticket=others.ticket),
            replaced(good, state_digest=others.state_digest),
            replaced(good, content_digest=others.content_digest),
            record_after(chain(3)[0]),
        ]
        for record in altered:
            self.assertIsInstance(apply_record(state, record), InvalidRecord)
        self.assertEqual(apply_record(state, good).number, 3)

    @DERANDOMIZED
    @hypothesis.given(st.lists(st.integers(0, 9), max_size=30))
    def test_any_order_of_arrival(self, order):
        """Guards against a number that falls or skips when records are mixed up."""
        final, records = chain(10)
        state = DeploymentState()
        for index in order + list(range(10)):
            after = apply_record(state, records[index])
            if not isinstance(after, InvalidRecord):
                self.assertIn(after.number - state.number, (0, 1))
                state = after
        self.assertEqual(state.digest(), final.digest())

    def test_older_whole_state(self):
        """Guards against a stale snapshot that takes the place of a newer state."""
        old, new = chain(2)[0], chain(3)[0]
        self.assertIs(newer_state(new, old), new)
        self.assertIs(newer_state(old, new), new)

    def test_document(self):
        """Guards against a state that changes on its way to a peer."""
        state, _ = chain(4)
        data = encode_state(state)
        self.assertEqual(decode_state(data, state.digest()), state)
        self.assertIsInstance(decode_state(data, "0" * 64), InvalidInput)
        self.assertIsInstance(decode_state(data[:-9], state.digest()), InvalidInput)


def replaced(record, **fields):
    """Return a record with some fields replaced."""
    values = {name: getattr(record, name) for name in record.__struct_fields__}
    return TicketRecord(**(values | fields))


class KeptTests(unittest.TestCase):
    """Kept records are consecutive and bounded."""

    def test_bound_and_gap(self):
        """Guards against handing out records with some missing."""
        _, records = chain(6)
        kept = RecentRecords(4)
        for record in records:
            kept.add(record)
        self.assertEqual(kept.records_after(1, 10), [])
        self.assertEqual(kept.records_after(2, 2), records[2:4])
        self.assertEqual(kept.get(6), records[5])
        self.assertIsNone(kept.get(7))
        kept.clear()
        self.assertEqual(kept.records_after(5, 1), [])

    def test_bound_in_bytes(self):
        """Guards against large tickets that fill the memory."""
        kept = RecentRecords(10**6)
        state = DeploymentState()
        for _ in range(1100):
            record = record_after(state, note="x" * 4096)
            state = state.apply(record.ticket)
            kept.add(record)
        self.assertLessEqual(kept.size, KEPT_BYTES)
        self.assertEqual(kept.get(1100), record)


class StartTests(unittest.TestCase):
    """Whether a starting VM may serve."""

    def test_rules(self):
        """Guards against serving a state that is known to be old."""
        cases = [
            (5, 5, None, (), READY),
            (4, 5, None, (), "state_behind"),
            (0, 0, None, (), READY),
            (0, None, None, (), "no_state"),
            (5, None, None, (ReportedNumbers(5, 5),), READY),
            (
                5,
                None,
                None,
                (ReportedNumbers(5, 5), ReportedNumbers(3, 6)),
                "state_behind",
            ),
            (5, None, 6, (ReportedNumbers(5, 5),), "state_behind"),
            (0, None, None, (ReportedNumbers(0, 3),), "no_state"),
        ]
        for number, head, seen, peers, expected in cases:
            with self.subTest(number=number, head=head, seen=seen, peers=peers):
                found = not_ready_reason(number, head, seen, peers)
                self.assertEqual(found, expected)


@dataclasses.dataclass(frozen=True)
class Numbers:
    """Numbers of one generated observation."""

    kind: int
    number: int
    heard: int


class SpreadPropertyTests(unittest.TestCase):
    """Rules that hold after any observations."""

    @DERANDOMIZED
    @hypothesis.given(
        st.lists(
            st.builds(Numbers, st.integers(0, 3), st.integers(0, 9), st.integers(0, 9)),
            max_size=40,
        )
    )
    def test_heard_number_never_falls(self, observations):
        """Guards against stale reads and peers that take a number back."""
        propagation = TicketPropagation(MAX_GAP, 0.0)
        for now, seen in enumerate(observations):
            before = propagation.highest_known_number
            events = (
                HeadRead(seen.number, ""),
                PeerReported("a", True, seen.number, seen.heard),
                NumberReported(seen.heard),
                FetchFailed("a"),
            )
            propagation.handle(events[seen.kind], float(now))
            self.assertGreaterEqual(propagation.highest_known_number, before)
            if propagation.highest_known_number > 0:
                later = now + BAD_SOURCE_S
                self.assertIsNotNone(propagation.next_fetch(later))


if __name__ == "__main__":
    unittest.main()
