"""Tests of admission and team quotas."""

import unittest

from carobramp_core.dispatch.engine import REFRESH_WAITING_S
from carobramp_core.dispatch.messages import LiveVmsUpdated, TeamLoad
from carobramp_core.dispatch.tests.support import Driver, upstream_state
from carobramp_core.outcomes import JobRefused, Reason
from carobramp_schema.generated.ticket import TeamState


class RefusalTests(unittest.TestCase):
    """A refused job starts no task and states the reason."""

    def submit_refused(self, driver, **fields):
        """Submit a job, check that it is refused, return its outcome."""
        driver.submit("refused", **fields)
        self.assertEqual(driver.starts(), [])
        [outcome] = driver.finished()
        self.assertIsInstance(outcome, JobRefused)
        self.assertNotIn("refused", driver.dispatcher.jobs)
        return outcome

    def test_unknown_names_are_refused(self):
        """Guards against jobs that wait for something that does not exist."""
        for field, reason in (
            ("service", Reason.UNKNOWN_SERVICE),
            ("priority_class", Reason.UNKNOWN_CLASS),
            ("team", Reason.UNKNOWN_TEAM),
        ):
            with self.subTest(field=field):
                outcome = self.submit_refused(Driver(), **{field: "none"})
                self.assertEqual(outcome.reason, reason)

    def test_deadline_over_the_limit_of_the_class_is_refused(self):
        """Guards against jobs that outlast the longest possible drain."""
        outcome = self.submit_refused(Driver(), deadline=601)
        self.assertEqual(outcome.reason, Reason.MALFORMED_REQUEST)

    def test_job_that_exceeds_the_queue_limit_is_refused(self):
        """Guards against an unbounded queue."""
        driver = Driver(queue_limit=5)
        driver.submit("first", tasks=5)
        outcome = self.submit_refused(driver, tasks=3)
        self.assertEqual(outcome.reason, Reason.QUEUE_FULL)
        self.assertGreater(outcome.retry_after, 0)

    def test_service_without_upstreams_refuses(self):
        """Guards against jobs that wait for upstreams that a service does not have."""
        outcome = self.submit_refused(Driver(upstreams={}))
        self.assertEqual(outcome.reason, Reason.NO_UPSTREAM)

    def test_job_behind_too_much_work_is_refused(self):
        """Guards against work whose answer is late in any case."""
        driver = Driver()
        driver.submit("first", tasks=40, run_ms=100)
        outcome = self.submit_refused(driver, deadline=1.0)
        self.assertEqual(outcome.reason, Reason.DEADLINE_UNMEETABLE)
        self.assertGreater(outcome.retry_after, 0)

    def test_task_longer_than_its_deadline_is_refused(self):
        """Guards against the start of a task that cannot finish in time."""
        outcome = self.submit_refused(Driver(), run_ms=2000, deadline=1.0)
        self.assertEqual(outcome.reason, Reason.DEADLINE_UNMEETABLE)

    def test_interval_with_few_starts_refuses_short_jobs(self):
        """Guards against short jobs refused while long tasks hold the slots."""
        driver = Driver()
        driver.submit("long", tasks=2, run_ms=1500)
        first, _ = driver.starts()
        driver.submit("short", tasks=60, run_ms=20)
        driver.advance(REFRESH_WAITING_S)
        driver.advance(REFRESH_WAITING_S)
        driver.answer(first)
        driver.advance(REFRESH_WAITING_S)
        driver.advance(REFRESH_WAITING_S)
        driver.submit("next", run_ms=20, deadline=5.0)
        self.assertEqual(driver.finished(), [])

    def test_batch_work_does_not_refuse_interactive_jobs(self):
        """Guards against refusals because of work that is placed later."""
        driver = Driver()
        driver.submit("b", tasks=40, priority_class="batch", deadline=60)
        driver.submit("i", deadline=1.0)
        self.assertEqual(driver.finished(), [])


class QuotaTests(unittest.TestCase):
    """Quotas limit only the number of concurrent tasks."""

    def setUp(self):
        """Build the dispatcher of each test."""
        teams = {"bakery": TeamState(2), "club": TeamState(100)}
        upstreams = {"up-0": upstream_state(slots=8)}
        self.driver = Driver(upstreams=upstreams, teams=teams)

    def test_a_team_at_its_quota_waits_without_blocking_others(self):
        """Guards against a team at its quota that delays other teams."""
        self.driver.submit("first", tasks=5)
        self.assertEqual(len(self.driver.starts()), 2)
        running = self.driver.starts()
        self.driver.submit("other", tasks=3, team="club")
        self.assertEqual(len(self.driver.starts()), 3)
        self.driver.answer(running[0])
        self.assertEqual(len(self.driver.starts()), 1)

    def test_refused_only_when_the_backlog_of_the_team_is_too_long(self):
        """Guards against refusals of a team with a short backlog."""
        self.driver.submit("first", tasks=20, run_ms=100)
        self.driver.submit("second", deadline=2)
        self.assertEqual(self.driver.finished(), [])
        self.driver.submit("third", deadline=0.5)
        [outcome] = self.driver.finished()
        self.assertEqual(outcome.reason, Reason.TEAM_OVER_QUOTA)

    def test_the_quota_is_divided_between_vms_by_demand(self):
        """Guards against VMs that each use the whole quota."""
        loads = (TeamLoad("club", 30, 30),)
        self.driver.handle(LiveVmsUpdated(2, 2, loads))
        self.driver.submit("big", tasks=200, team="club", deadline=100)
        usage = self.driver.dispatcher.quotas.teams["club"]
        self.assertEqual(usage.limit, 50)
        for _ in range(2):
            self.driver.handle(LiveVmsUpdated(2, 2, (TeamLoad("club", 10, 0),)))
        self.assertEqual(usage.limit, 90)
        for _ in range(2):
            self.driver.handle(LiveVmsUpdated(2, 2, (TeamLoad("club", 50, 150),)))
        self.assertEqual(usage.limit, 50)

    def test_a_task_of_an_ended_job_counts_until_it_finishes(self):
        """Guards against a quota exceeded by cancelled tasks that still run."""
        self.driver.submit("first", tasks=2, run_ms=1000)
        first, _ = self.driver.starts()
        self.driver.answer_failed(first)
        self.driver.submit("second", tasks=2)
        self.assertEqual(len(self.driver.starts()), 1)


if __name__ == "__main__":
    unittest.main()
