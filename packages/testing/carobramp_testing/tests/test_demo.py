"""Tests of the demonstration's verdict and of a short run."""

import unittest

from carobramp_testing.demo import STREAMS, Report, faults_of, run_demo, summary
from carobramp_testing.load import LoadResult, Plan
from carobramp_testing.load.result import JobResult

SHORT_S = 1.5


def report(reason="", not_run=False, starts=None, status=0):
    """Build the report of a run with one job of two tasks."""
    result = LoadResult()
    result.add(JobResult("calls", "c", 2, reason, not_run, 10.0, 5.0, 0.0))
    starts = {"c:0": 1, "c:1": 1} if starts is None else starts
    return Report(result, starts, {}, {}, {"vm": status})


class VerdictTests(unittest.TestCase):
    """Each broken guarantee is a fault."""

    def test_run_without_faults(self):
        """Guards against a verdict that fails every run."""
        self.assertEqual(faults_of(report()), [])
        self.assertEqual(faults_of(report("task_failed")), [])

    def test_broken_guarantees(self):
        """Guards against a demonstration that passes whatever happens."""
        reports = {
            "no answer": report("no_answer"),
            "wrong answer": report("wrong_answer"),
            "status without a reason": report("status_500"),
            "doubled start": report(starts={"c:0": 1, "c:1": 2}),
            "doubled start of another job": report(
                starts={"c:0": 1, "c:1": 1, "d:0": 2}
            ),
            "never ran": report(starts={"c:0": 1}),
            "ran, stated as not run": report("queue_full", not_run=True),
            "exit status": report(status=1),
            "killed": report(status=-15),
        }
        for name, item in reports.items():
            with self.subTest(name=name):
                self.assertEqual(len(faults_of(item)), 1, faults_of(item))


class ShortRunTests(unittest.IsolatedAsyncioTestCase):
    """The demonstration itself, with less load."""

    async def test_short_run(self):
        """Guards against a demonstration that no longer starts or stops."""
        seen = await run_demo(Plan(STREAMS, SHORT_S))
        self.assertEqual(faults_of(seen), [])
        self.assertGreater(len(seen.result.jobs), 10)
        self.assertIn("doubled starts      0", summary(seen))


if __name__ == "__main__":
    unittest.main()
