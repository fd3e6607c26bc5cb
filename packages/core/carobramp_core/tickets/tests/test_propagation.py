"""Tests of ticket propagation and of the recent records."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies as st

from carobramp_core.tickets.propagation import (
    FAILED_SOURCE_PAUSE_S,
    INVALID_SOURCE_PAUSE_S,
    READY,
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
from carobramp_core.tickets.recent_records import MAX_TOTAL_BYTES, RecentRecords
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
        """Start without any known ticket number."""
        self.propagation = TicketPropagation(MAX_GAP, 0.0)

    def test_nothing_to_fetch(self):
        """Guards against fetches when no newer number is known."""
        self.propagation.handle(HeadRead(0, ""), 1.0)
        self.assertIsNone(self.propagation.next_fetch(1.0))

    def test_local_peer_before_remote_peer_before_table(self):
        """Guards against reading the table for what a peer has."""
        self.propagation.handle(HeadRead(3, "d"), 1.0)
        self.assertEqual(
            self.propagation.next_fetch(1.0), FetchTickets(TABLE_SOURCE, 0)
        )
        self.propagation.handle(PeerReported("remote", False, 3, 3), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchTickets("remote", 0))
        self.propagation.handle(PeerReported("local", True, 2, 2), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchTickets("local", 0))

    def test_large_gap(self):
        """Guards against fetching many single tickets after a long outage."""
        self.propagation.handle(PeerReported("local", True, MAX_GAP + 1, 0), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchState("local"))

    def test_failed_source_is_paused(self):
        """Guards against repeated fetches from a source that has nothing new."""
        self.propagation.handle(PeerReported("local", True, 3, 3), 1.0)
        self.propagation.handle(FetchFailed("local"), 1.0)
        self.assertEqual(
            self.propagation.next_fetch(1.0), FetchTickets(TABLE_SOURCE, 0)
        )
        self.propagation.handle(FetchFailed(TABLE_SOURCE), 1.0)
        self.assertIsNone(self.propagation.next_fetch(1.0))
        self.assertEqual(self.propagation.next_wakeup(1.0), 1.0 + FAILED_SOURCE_PAUSE_S)
        found = self.propagation.next_fetch(1.0 + FAILED_SOURCE_PAUSE_S)
        self.assertEqual(found, FetchTickets("local", 0))

    def test_invalid_source_is_paused_longer(self):
        """Guards against frequent fetches from a source with invalid data."""
        self.propagation.handle(PeerReported("local", True, 3, 3), 1.0)
        self.propagation.handle(FetchFailed("local", invalid=True), 1.0)
        found = self.propagation.next_fetch(1.0 + INVALID_SOURCE_PAUSE_S - 0.1)
        self.assertEqual(found.source, TABLE_SOURCE)

    def test_known_number_without_a_peer_is_fetched_from_the_table(self):
        """Guards against a ticket whose number is known and that is never fetched."""
        self.propagation.handle(PeerReported("local", True, 0, 4), 1.0)
        self.assertEqual(
            self.propagation.next_fetch(1.0), FetchTickets(TABLE_SOURCE, 0)
        )

    def test_state_that_differs_from_the_table_is_rebuilt(self):
        """Guards against a wrong state that stays in force."""
        self.propagation.handle(StateInstalled(3, "wrong"), 1.0)
        self.propagation.handle(HeadRead(3, "right"), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchState(TABLE_SOURCE))

    def test_invalid_table_rows_make_the_state_diverged(self):
        """Guards against a wrong state to which no later ticket can be applied."""
        self.propagation.handle(StateInstalled(3, "wrong"), 1.0)
        self.propagation.handle(NumberReported(4), 1.0)
        self.propagation.handle(FetchFailed(TABLE_SOURCE, invalid=True), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0), FetchState(TABLE_SOURCE))

    def test_removed_peer_is_not_a_source(self):
        """Guards against fetches from a VM that was removed."""
        self.propagation.handle(PeerReported("local", True, 3, 3), 1.0)
        self.propagation.handle(PeerSourceRemoved("local"), 1.0)
        self.assertEqual(self.propagation.next_fetch(1.0).source, TABLE_SOURCE)

    def test_impossible_number(self):
        """Guards against a number that no ticket can have."""
        self.propagation.handle(PeerReported("local", True, 10**15, 10**15), 1.0)
        self.assertEqual(self.propagation.highest_known_number, 0)
        self.assertIsNone(self.propagation.next_fetch(1.0))

    def test_confirmation_age(self):
        """Guards against an outdated state that is reported as confirmed."""
        self.propagation.handle(StateInstalled(2, "d"), 1.0)
        self.propagation.handle(HeadRead(2, "d"), 5.0)
        self.propagation.handle(HeadRead(1, "c"), 9.0)
        self.assertEqual(self.propagation.confirmation_age(10.0), 5.0)


class ApplyTests(unittest.TestCase):
    """Records are applied in order and only if their digests match."""

    def test_altered_records(self):
        """Guards against applying altered tickets."""
        state, _ = chain(2)
        good = record_after(state, 7)
        others = record_after(state, 8)
        altered = [
            replace_fields(good, ticket=others.ticket),
            replace_fields(good, state_digest=others.state_digest),
            replace_fields(good, content_digest=others.content_digest),
            record_after(chain(3)[0]),
        ]
        for record in altered:
            self.assertIsInstance(apply_record(state, record), InvalidRecord)
        self.assertEqual(apply_record(state, good).number, 3)

    @DERANDOMIZED
    @hypothesis.given(st.lists(st.integers(0, 9), max_size=30))
    def test_any_order_of_arrival(self, order):
        """Guards against a state number that falls or skips with reordered records."""
        final, records = chain(10)
        state = DeploymentState()
        for index in order + list(range(10)):
            result = apply_record(state, records[index])
            if not isinstance(result, InvalidRecord):
                self.assertIn(result.number - state.number, (0, 1))
                state = result
        self.assertEqual(state.digest(), final.digest())

    def test_older_whole_state(self):
        """Guards against replacing a newer state by a stale snapshot."""
        old, new = chain(2)[0], chain(3)[0]
        self.assertIs(newer_state(new, old), new)
        self.assertIs(newer_state(old, new), new)

    def test_state_document(self):
        """Guards against a state that changes when it is encoded and decoded."""
        state, _ = chain(4)
        data = encode_state(state)
        self.assertEqual(decode_state(data, state.digest()), state)
        self.assertIsInstance(decode_state(data, "0" * 64), InvalidInput)
        self.assertIsInstance(decode_state(data[:-9], state.digest()), InvalidInput)


def replace_fields(record, **fields):
    """Return a record with some fields replaced."""
    values = {name: getattr(record, name) for name in record.__struct_fields__}
    return TicketRecord(**(values | fields))


class RecentRecordTests(unittest.TestCase):
    """Recent records are consecutive and bounded."""

    def test_bound_and_gap(self):
        """Guards against returning records with a gap."""
        _, records = chain(6)
        recent_records = RecentRecords(4)
        for record in records:
            recent_records.add(record)
        self.assertEqual(recent_records.records_after(1, 10), [])
        self.assertEqual(recent_records.records_after(2, 2), records[2:4])
        self.assertEqual(recent_records.get(6), records[5])
        self.assertIsNone(recent_records.get(7))
        recent_records.clear()
        self.assertEqual(recent_records.records_after(5, 1), [])

    def test_bound_in_bytes(self):
        """Guards against unbounded memory use by large tickets."""
        recent_records = RecentRecords(10**6)
        state = DeploymentState()
        for _ in range(1100):
            record = record_after(state, note="x" * 4096)
            state = state.apply(record.ticket)
            recent_records.add(record)
        self.assertLessEqual(recent_records.total_bytes, MAX_TOTAL_BYTES)
        self.assertEqual(recent_records.get(1100), record)


class ReadinessTests(unittest.TestCase):
    """Whether a VM may serve after its start."""

    def test_rules(self):
        """Guards against serving with a state that is known to be outdated."""
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
        for number, current_head, stale_head, peers, expected in cases:
            with self.subTest(
                number=number,
                current_head=current_head,
                stale_head=stale_head,
                peers=peers,
            ):
                found = not_ready_reason(number, current_head, stale_head, peers)
                self.assertEqual(found, expected)


@dataclasses.dataclass(frozen=True)
class Observation:
    """Generated event: the index of its type and its numbers."""

    event_index: int
    number: int
    highest_known_number: int


class PropagationPropertyTests(unittest.TestCase):
    """Properties that hold after any sequence of events."""

    @DERANDOMIZED
    @hypothesis.given(
        st.lists(
            st.builds(
                Observation, st.integers(0, 3), st.integers(0, 9), st.integers(0, 9)
            ),
            max_size=40,
        )
    )
    def test_highest_known_number_never_decreases(self, observations):
        """Guards against stale reads and peers that lower the known number."""
        propagation = TicketPropagation(MAX_GAP, 0.0)
        for now, observation in enumerate(observations):
            before = propagation.highest_known_number
            events = (
                HeadRead(observation.number, ""),
                PeerReported(
                    "a", True, observation.number, observation.highest_known_number
                ),
                NumberReported(observation.highest_known_number),
                FetchFailed("a"),
            )
            propagation.handle(events[observation.event_index], float(now))
            self.assertGreaterEqual(propagation.highest_known_number, before)
            if propagation.highest_known_number > 0:
                later = now + INVALID_SOURCE_PAUSE_S
                self.assertIsNotNone(propagation.next_fetch(later))


if __name__ == "__main__":
    unittest.main()
