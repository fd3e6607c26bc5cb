"""Refusals at admission and quotas."""

import unittest

from carobramp_core.dispatch.messages import LiveVmsUpdated, TeamLoad
from carobramp_core.dispatch.tests.support import Driver, upstream_state
from carobramp_core.outcomes import JobRefused, Reason
from carobramp_schema.generated.ticket import TeamState


class RefusalTests(unittest.TestCase):
    """Each refusal has its reason and starts nothing."""

    def refused(self, driver, **fields):
        """Submit a job that is refused; return the refusal."""
        driver.submit("refused", **fields)
        self.assertEqual(driver.starts(), [])
        [outcome] = driver.finished()
        self.assertIsInstance(outcome, JobRefused)
        self.assertNotIn("refused", driver.dispatcher.jobs)
        return outcome

    def test_names_that_do_not_exist(self):
        """Guards against jobs that wait for something that does not exist."""
        for field, reason in (
            ("service", Reason.UNKNOWN_SERVICE),
            ("priority_class", Reason.UNKNOWN_CLASS),
            ("team", Reason.UNKNOWN_TEAM),
        ):
            with self.subTest(field=field):
                outcome = self.refused(Driver(), **{field: "none"})
                self.assertEqual(outcome.reason, reason)

    def test_deadline_over_that_of_the_class(self):
        """Guards against a drain that cannot end by the longest deadline."""
        outcome = self.refused(Driver(), deadline=601)
        self.assertEqual(outcome.reason, Reason.MALFORMED_REQUEST)

    def test_queue_full(self):
        """Guards against an unbounded queue."""
        driver = Driver(queue_limit=5)
        driver.submit("first", tasks=5)
        outcome = self.refused(driver, tasks=3)
        self.assertEqual(outcome.reason, Reason.QUEUE_FULL)
        self.assertGreater(outcome.retry_after, 0)

    def test_no_upstream(self):
        """Guards against waiting for upstreams that a service does not have."""
        outcome = self.refused(Driver(upstreams={}))
        self.assertEqual(outcome.reason, Reason.NO_UPSTREAM)

    def test_deadline_unmeetable(self):
        """Guards against work whose answer comes too late in any case."""
        driver = Driver()
        driver.submit("first", tasks=40, run_ms=100)
        outcome = self.refused(driver, deadline=1.0)
        self.assertEqual(outcome.reason, Reason.DEADLINE_UNMEETABLE)
        self.assertGreater(outcome.retry_after, 0)

    def test_a_task_longer_than_its_deadline(self):
        """Guards against a start that cannot end in time."""
        outcome = self.refused(Driver(), run_ms=2000, deadline=1.0)
        self.assertEqual(outcome.reason, Reason.DEADLINE_UNMEETABLE)

    def test_batch_work_does_not_refuse_interactive_jobs(self):
        """Guards against refusals because of work that would go later."""
        driver = Driver()
        driver.submit("b", tasks=40, priority_class="batch", deadline=60)
        driver.submit("i", deadline=1.0)
        self.assertEqual(driver.finished(), [])


class QuotaTests(unittest.TestCase):
    """Quotas bound concurrent tasks and nothing else."""

    def setUp(self):
        """Build the dispatcher of each test."""
        teams = {"bakery": TeamState(2), "club": TeamState(100)}
        upstreams = {"up-0": upstream_state(slots=8)}
        self.driver = Driver(upstreams=upstreams, teams=teams)

    def test_a_team_at_its_quota_waits_and_does_not_block(self):
        """Guards against one team that holds up another."""
        self.driver.submit("first", tasks=5)
        self.assertEqual(len(self.driver.starts()), 2)
        running = self.driver.starts()
        self.driver.submit("other", tasks=3, team="club")
        self.assertEqual(len(self.driver.starts()), 3)
        self.driver.answer(running[0])
        self.assertEqual(len(self.driver.starts()), 1)

    def test_refused_only_when_the_own_backlog_is_too_long(self):
        """Guards against refusals of a team whose waiting is short."""
        self.driver.submit("first", tasks=20, run_ms=100)
        self.driver.submit("second", deadline=2)
        self.assertEqual(self.driver.finished(), [])
        self.driver.submit("third", deadline=0.5)
        [outcome] = self.driver.finished()
        self.assertEqual(outcome.reason, Reason.TEAM_OVER_QUOTA)

    def test_the_quota_is_divided_by_demand(self):
        """Guards against VMs that each use the whole quota."""
        loads = (TeamLoad("club", 30, 30),)
        self.driver.event(LiveVmsUpdated(2, 2, loads))
        self.driver.submit("big", tasks=200, team="club", deadline=100)
        use = self.driver.dispatcher.quotas.teams["club"]
        self.assertEqual(use.limit, 50)
        for _ in range(2):
            self.driver.event(LiveVmsUpdated(2, 2, (TeamLoad("club", 10, 0),)))
        self.assertEqual(use.limit, 90)
        for _ in range(2):
            self.driver.event(LiveVmsUpdated(2, 2, (TeamLoad("club", 50, 150),)))
        self.assertEqual(use.limit, 50)

    def test_a_slot_of_a_late_task_counts(self):
        """Guards against a quota that cancelled tasks exceed."""
        self.driver.submit("first", tasks=2, run_ms=1000)
        first, _ = self.driver.starts()
        self.driver.fail(first)
        self.driver.submit("second", tasks=2)
        self.assertEqual(len(self.driver.starts()), 1)


if __name__ == "__main__":
    unittest.main()
