"""Tests of the order in which waiting jobs start."""

import unittest

from carobramp_core.cells.job_order import JobGroup, rank_job, rank_jobs
from carobramp_core.cells.placement import WaitingTask
from carobramp_core.cells.tests.load_support import LoadHarness
from carobramp_core.cells.tests.support import job


def waiting_task(job_id, expected_s, received_at=0.0, index=0, **fields) -> WaitingTask:
    """Build a waiting task whose objective is 1.6 times its run time and 60 ms."""
    return WaitingTask(job(job_id, 2, **fields), index, "e", received_at, expected_s)


class JobOrderTests(unittest.TestCase):
    """Rank of whole jobs."""

    def order(self, *tasks, now=0.0):
        """Return the ids of the jobs in order."""
        jobs = rank_jobs(tasks, {}, {}, now)
        return [item.tasks[0].job.job_id for item in jobs]

    def test_started_job_is_first(self):
        """Guards against the loss of the work of a job whose other tasks are done."""
        started = waiting_task("started", 0.5)
        started.started = True
        tight = waiting_task("tight", 0.05)
        self.assertEqual(self.order(tight, started), ["started", "tight"])

    def test_late_jobs_follow_those_in_time(self):
        """Guards against cores for jobs that are late while others become late."""
        late = waiting_task("late", 0.1, received_at=-0.2)
        hopeless = waiting_task("hopeless", 0.1, received_at=-1.0)
        hopeless.started = True
        in_time = waiting_task("in-time", 0.8)
        order = self.order(hopeless, late, in_time)
        self.assertEqual(order, ["in-time", "late", "hopeless"])

    def test_priority_breaks_ties(self):
        """Guards against an order of arrival between equal slacks."""
        first = waiting_task("low", 0.1, priority=2)
        second = waiting_task("high", 0.1, priority=0)
        self.assertEqual(self.order(first, second), ["high", "low"])

    def test_job_with_an_overdue_run_is_late(self):
        """Guards against a task in time that takes cores for a job that is late.

        The other task of the job still runs when its objective is over.
        """
        harness = LoadHarness(1)
        harness.submit("overdue", 0.1, 2, cpu=32000)
        owner, now = harness.owner, harness.now + 0.09
        (task,), runs = owner.waiting, owner.runs_by_job["overdue"]
        rank = rank_job([task], runs, owner.upstreams, now)
        self.assertEqual(rank.group, JobGroup.PROTECTED)
        next(iter(runs)).expected_s = 0.5
        rank = rank_job([task], runs, owner.upstreams, now)
        self.assertEqual(rank.group, JobGroup.LATE)

    def test_placement_follows_the_order(self):
        """Guards against tasks that start by their own slack.

        A started job of long tasks waits beside a tight one when a place becomes free.
        """
        harness = LoadHarness(1)
        harness.submit("running", 0.05, 2, cpu=16000)
        harness.submit("started", 0.2, 2, {"committed": True})
        harness.submit("tight", 0.04, 1)
        harness.advance(0.06)
        self.assertEqual(len(harness.started_at["started"]), 2)
        self.assertNotIn("tight", harness.started_at)
