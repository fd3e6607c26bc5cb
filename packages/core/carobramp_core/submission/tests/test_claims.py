"""Tests of the claim batcher and of the removal of claim rows."""

import unittest

import hypothesis
from hypothesis import strategies as st

from carobramp_core.platform import Committed, Conflict, Row, Unavailable
from carobramp_core.submission.claims import (
    MAX_SEND_ATTEMPTS,
    ClaimBatcher,
    ClaimDecided,
    ClaimHeld,
    ClaimRequested,
    ClaimTaken,
    ClaimUnknown,
    GroupTimerExpired,
    ReadEnded,
    ReadRows,
    SendTransaction,
    TransactionEnded,
    claim_key,
    removal_transaction,
    select_expired_rows,
)
from carobramp_core.submission.tests.support import (
    OTHER_INCARNATION,
    PROFILE,
    WALL_NOW,
    FakeTable,
    caller_made,
    claim,
    claim_row,
)
from carobramp_schema import decode, encode
from carobramp_schema.generated.claim import ClaimRow
from carobramp_schema.generated.settings import SubmissionSettings

SETTINGS = SubmissionSettings(claim_group_ms=5, claim_group_max=3)
REPLY_LOST = Unavailable("no reply", maybe_applied=True)
NOT_SENT = Unavailable("refused", maybe_applied=False)


def row_of(requested, **fields):
    """Build a row at the key of a claim."""
    return Row(requested.key, encode(claim_row(**fields)), 1)


def batcher_with(*claims):
    """Build a batcher that handled the claims; return it and the last effects."""
    batcher = ClaimBatcher(SETTINGS)
    for requested in claims:
        effects = batcher.handle(ClaimRequested(requested), 0.0)
    if not effects:
        effects = batcher.handle(GroupTimerExpired(), 1.0)
    return batcher, effects


def verdicts(effects):
    """Return the verdicts among effects, by submission."""
    return {e.submission_id: e.verdict for e in effects if isinstance(e, ClaimDecided)}


def sent_keys(effects):
    """Return the keys of the transactions among effects."""
    return [
        [condition.key for condition in effect.transaction.conditions]
        for effect in effects
        if isinstance(effect, SendTransaction)
    ]


class GroupTests(unittest.TestCase):
    """Which claims go into a transaction, and when."""

    def test_claims_are_grouped(self):
        """Guards against one platform write for each claim."""
        batcher = ClaimBatcher(SETTINGS)
        requested = [claim(number) for number in range(2)]
        for one in requested:
            self.assertEqual(batcher.handle(ClaimRequested(one), 0.0), [])
        self.assertEqual(batcher.next_wakeup(), 0.005)
        effects = batcher.handle(GroupTimerExpired(), 0.005)
        self.assertEqual(sent_keys(effects), [[one.key for one in requested]])

    def test_full_group_is_sent_at_once(self):
        """Guards against groups beyond the bound and full groups that wait."""
        requested = [claim(number) for number in range(3)]
        _, effects = batcher_with(*requested)
        self.assertEqual(sent_keys(effects), [[one.key for one in requested]])

    def test_one_transaction_at_a_time(self):
        """Guards against more frequent calls when the store is slow."""
        batcher, _ = batcher_with(claim(0))
        for number in range(1, 9):
            self.assertEqual(batcher.handle(ClaimRequested(claim(number)), 2.0), [])
        self.assertIsNone(batcher.next_wakeup())
        effects = batcher.handle(TransactionEnded(Committed()), 3.0)
        self.assertEqual([len(keys) for keys in sent_keys(effects)], [3])


class VerdictTests(unittest.TestCase):
    """Verdicts on the claims of a group by the outcome of its transaction."""

    def test_committed(self):
        """Guards against a committed claim that is not held."""
        batcher, _ = batcher_with(claim(0), claim(1))
        effects = batcher.handle(TransactionEnded(Committed()), 1.0)
        self.assertEqual(set(verdicts(effects).values()), {ClaimHeld()})

    def test_conflict_on_one_row(self):
        """Guards against claims that fail because another one in the group is taken."""
        first, second, third = (claim(number) for number in range(3))
        batcher, _ = batcher_with(first, second, third)
        taken = row_of(second, nonce="other", incarnation=OTHER_INCARNATION)
        effects = batcher.handle(TransactionEnded(Conflict((taken,))), 1.0)
        row = decode(taken.value, ClaimRow)
        self.assertEqual(verdicts(effects), {second.submission_id: ClaimTaken(row)})
        self.assertEqual(sent_keys(effects), [[first.key, third.key]])
        effects = batcher.handle(TransactionEnded(Committed()), 1.0)
        self.assertEqual(
            verdicts(effects),
            {first.submission_id: ClaimHeld(), third.submission_id: ClaimHeld()},
        )

    def test_lost_reply_is_read_back(self):
        """Guards against a verdict without a read after a lost reply."""
        requested = claim()
        cases = {
            "own": (row_of(requested), ClaimHeld),
            "other nonce": (row_of(requested, nonce="other"), ClaimTaken),
            "other process": (
                row_of(requested, incarnation=OTHER_INCARNATION),
                ClaimTaken,
            ),
            "malformed": (Row(requested.key, b"{}", 1), ClaimUnknown),
        }
        for name, (row, expected) in cases.items():
            with self.subTest(name):
                batcher, _ = batcher_with(requested)
                effects = batcher.handle(TransactionEnded(REPLY_LOST), 1.0)
                self.assertEqual(effects, [ReadRows((requested.key,))])
                effects = batcher.handle(ReadEnded((row,)), 1.0)
                self.assertIsInstance(
                    verdicts(effects)[requested.submission_id], expected
                )

    def test_absent_row_leaves_claim_unknown(self):
        """Guards against a wrong verdict while the insertion may still be applied."""
        requested = claim()
        batcher, first = batcher_with(requested)
        for _ in range(MAX_SEND_ATTEMPTS - 1):
            batcher.handle(TransactionEnded(REPLY_LOST), 1.0)
            again = batcher.handle(ReadEnded(()), 1.0)
            self.assertEqual(again, first)
        batcher.handle(TransactionEnded(REPLY_LOST), 1.0)
        effects = batcher.handle(ReadEnded(()), 1.0)
        self.assertIsInstance(verdicts(effects)[requested.submission_id], ClaimUnknown)

    def test_unavailable(self):
        """Guards against a claim that is held without a row after failed calls."""
        requested = claim()
        for events in (
            [TransactionEnded(NOT_SENT)],
            [TransactionEnded(REPLY_LOST), None],
        ):
            batcher, _ = batcher_with(requested)
            effects = batcher.handle(events[0], 1.0)
            if len(events) > 1:
                effects = batcher.handle(ReadEnded(REPLY_LOST), 1.0)
            verdict = verdicts(effects)[requested.submission_id]
            self.assertIsInstance(verdict, ClaimUnknown)

    def test_claim_past_send_deadline_is_not_sent(self):
        """Guards against claims for jobs whose deadline has passed."""
        late = claim(0, send_deadline=0.5)
        batcher, effects = batcher_with(late)
        self.assertIsInstance(verdicts(effects)[late.submission_id], ClaimUnknown)
        self.assertEqual(sent_keys(effects), [])
        self.assertEqual(batcher.group, ())


FAULTS = ("none", "none", "lost after", "lost before", "not sent", "stale", "read lost")


class Simulation:
    """Two processes that claim the same ids in one table, with injected faults."""

    def __init__(self, faults):
        self.faults = faults
        self.table = FakeTable()
        self.now = 0.0
        self.batchers = [ClaimBatcher(SETTINGS), ClaimBatcher(SETTINGS)]
        self.decided: list[tuple[int, ClaimDecided]] = []

    def next_fault(self):
        """Return the next scheduled fault, or "none" after the last one."""
        return self.faults.pop() if self.faults else "none"

    def handle(self, at, event):
        """Let process `at` handle an event and carry out all effects."""
        events = [event]
        while events:
            for effect in self.batchers[at].handle(events.pop(0), self.now):
                if isinstance(effect, ClaimDecided):
                    self.decided.append((at, effect))
                else:
                    events.append(self.carry_out(effect))

    def carry_out(self, effect):
        """Carry out a call to the table and return the resulting event."""
        fault = self.next_fault()
        if isinstance(effect, SendTransaction):
            if fault == "not sent":
                return TransactionEnded(NOT_SENT)
            if fault == "lost before":
                return TransactionEnded(REPLY_LOST)
            outcome = self.table.transact(effect.transaction)
            return TransactionEnded(REPLY_LOST if fault == "lost after" else outcome)
        if fault == "read lost":
            return ReadEnded(REPLY_LOST)
        return ReadEnded(() if fault == "stale" else self.table.read(effect.keys))


class ClaimPropertyTests(unittest.TestCase):
    """Properties of two processes that claim the same ids, with any faults."""

    @PROFILE
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 1), st.integers(0, 3), st.booleans()), max_size=20
        ),
        st.lists(st.sampled_from(FAULTS), max_size=20),
    )
    def test_one_holder_of_each_id(self, requested, faults):
        """Guards against two holders of an id and claims without a verdict."""
        simulation = Simulation(faults)
        for index, (at, number, due) in enumerate(requested):
            one = claim(number, nonce=f"{at}-{index}", vm=f"vm-{at}")
            simulation.handle(at, ClaimRequested(one))
            if due:
                simulation.now += 1.0
                simulation.handle(at, GroupTimerExpired())
        simulation.now += 1.0
        for at in (0, 1):
            while simulation.batchers[at].waiting:
                simulation.handle(at, GroupTimerExpired())
        self.assertEqual(len(simulation.decided), len(requested))
        self.check_holders(simulation)

    def check_holders(self, simulation):
        """Check the verdicts against the rows in the table."""
        holders = set()
        for at, decided in simulation.decided:
            row = simulation.table.rows.get(f"claim/{decided.submission_id}")
            if isinstance(decided.verdict, ClaimHeld):
                self.assertNotIn(decided.submission_id, holders)
                holders.add(decided.submission_id)
                self.assertEqual(decode(row.value, ClaimRow).vm, f"vm-{at}")
            if isinstance(decided.verdict, ClaimTaken):
                self.assertEqual(decode(row.value, ClaimRow), decided.verdict.row)


class RemovalTests(unittest.TestCase):
    """Which claim rows are removed."""

    RETENTION_S = 86400.0

    def row(self, age, number=1):
        """Build a row of an id of the given age."""
        return Row(claim_key(caller_made(number, WALL_NOW - age)), b"", number)

    def test_only_expired_rows(self):
        """Guards against removing the row of an id that can still start a job."""
        old = self.row(self.RETENTION_S + 1, 1)
        young = self.row(self.RETENTION_S - 1, 2)
        removal = select_expired_rows((old, young), 2, WALL_NOW, self.RETENTION_S)
        self.assertEqual((removal.rows, removal.next_scan_key), ((old,), None))

    def test_scan_continues_after_a_full_page(self):
        """Guards against old rows that no scan reaches."""
        rows = tuple(self.row(self.RETENTION_S + 10 - n, n) for n in range(1, 4))
        self.assertEqual(
            select_expired_rows(rows, 3, WALL_NOW, self.RETENTION_S).next_scan_key,
            rows[-1].key,
        )
        self.assertIsNone(
            select_expired_rows(rows, 4, WALL_NOW, self.RETENTION_S).next_scan_key
        )

    def test_unknown_keys_are_kept(self):
        """Guards against removing rows that are not claims."""
        row = Row("claim/other", b"", 1)
        removal = select_expired_rows((row,), 5, WALL_NOW, self.RETENTION_S)
        self.assertEqual(removal.rows, ())

    def test_removal_is_conditional(self):
        """Guards against removing a row that was inserted again since the scan."""
        transaction = removal_transaction((self.row(self.RETENTION_S + 1, 7),))
        self.assertEqual(transaction.conditions[0].version, 7)
        self.assertIsNone(transaction.writes[0].value)


if __name__ == "__main__":
    unittest.main()
