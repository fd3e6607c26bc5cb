"""Tests of the checks on callers' answers."""

import dataclasses
import unittest

from carobramp_testing.checker import MARGIN_MS, Attempt, check

WHOLE = Attempt(
    key="a",
    vm="tilburg-0",
    tokens=("x", "y"),
    deadline_ms=1000,
    elapsed_ms=100,
    status=200,
    body={
        "submission_id": "a",
        "results": [
            {"task_id": "a:0", "token": "x"},
            {"task_id": "a:1", "token": "y"},
        ],
    },
)
FAILED = dataclasses.replace(
    WHOLE,
    status=502,
    body={
        "submission_id": "a",
        "reason": "outcome_unknown",
        "status": 502,
        "not_run": False,
    },
)
STARTS = {"a:0": 1, "a:1": 1}


class CheckTests(unittest.TestCase):
    """Each kind of violation is found, and nothing else."""

    def names(self, attempt, starts=STARTS, **changes):
        """Return the invariants that one changed attempt violates."""
        changed = dataclasses.replace(attempt, **changes)
        return [violation.invariant for violation in check([changed], starts)]

    def test_sound_runs_pass(self):
        """Guards against false alarms."""
        self.assertEqual(self.names(WHOLE), [])
        self.assertEqual(self.names(FAILED), [])
        self.assertEqual(self.names(FAILED, {}), [])

    def test_second_start(self):
        """Guards against a duplicate start that goes unseen."""
        self.assertEqual(self.names(FAILED, {"a:0": 2}), ["started_once"])

    def test_incomplete_and_crossed_answers(self):
        """Guards against partial or crossed answers that go unseen."""
        results = WHOLE.body["results"]
        crossed = [results[0], {"task_id": "a:1", "token": "z"}]
        for wrong in (results[:1], results[::-1], crossed, []):
            with self.subTest(wrong=wrong):
                body = WHOLE.body | {"results": wrong}
                self.assertEqual(self.names(WHOLE, body=body), ["whole_answer"])

    def test_answer_without_start(self):
        """Guards against an invented answer that goes unseen."""
        self.assertEqual(self.names(WHOLE, {"a:0": 1}), ["whole_answer"])

    def test_false_not_run(self):
        """Guards against a refusal after a start that goes unseen."""
        body = FAILED.body | {"not_run": True}
        self.assertEqual(self.names(FAILED, body=body), ["not_run"])
        self.assertEqual(self.names(FAILED, {}, body=body), [])

    def test_unclear_failures(self):
        """Guards against failures that a caller cannot interpret."""
        changes = (
            {"reason": "oops"},
            {"status": 500},
            {"not_run": None},
            {"submission_id": "b"},
        )
        for change in changes:
            with self.subTest(change=change):
                body = FAILED.body | change
                self.assertEqual(self.names(FAILED, body=body), ["clear_failure"])
        self.assertEqual(self.names(FAILED, body=None), ["clear_failure"])

    def test_late_and_lost_answers(self):
        """Guards against late or lost answers that go unseen."""
        late = 1001 + MARGIN_MS
        self.assertEqual(self.names(WHOLE, elapsed_ms=late), ["in_time"])
        self.assertEqual(self.names(FAILED, status=0, body=None), ["answered"])
        lost = {"status": 0, "body": None, "excused": True}
        self.assertEqual(self.names(FAILED, **lost), [])


if __name__ == "__main__":
    unittest.main()
