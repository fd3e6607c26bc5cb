"""Tests of jobs from submission to outcome."""

import unittest

from carobramp_core.dispatch.messages import (
    JobCancelled,
    LeavingUpstreamsUpdated,
    TaskDone,
    TaskOutcomeReceived,
    UpstreamReport,
)
from carobramp_core.dispatch.tests.support import Driver, ticket, upstream_state
from carobramp_core.outcomes import JobDone, JobFailed, JobRefused, Reason
from carobramp_schema.generated.ticket import Ticket, UpstreamChange


class OutcomeTests(unittest.TestCase):
    """A job ends with all results or with one failure."""

    def test_results_are_in_order_of_the_request(self):
        """Guards against results in the order in which the tasks finished."""
        driver = Driver()
        driver.submit(tasks=2)
        first, second = driver.starts()
        driver.answer(second)
        self.assertEqual(driver.finished(), [])
        driver.answer(first)
        self.assertEqual(driver.finished()[0].results, (0, 1))

    def test_a_failed_task_fails_the_job_and_cancels_the_others(self):
        """Guards against partial results and work for a job that has ended."""
        driver = Driver()
        driver.submit(tasks=4, run_ms=500)
        first, second = driver.starts()
        driver.answer_failed(first)
        outcome = JobFailed(Reason.TASK_FAILED, "task 0 failed: no")
        self.assertEqual(driver.finished(), [outcome])
        self.assertEqual([c.task_id for c in driver.cancels()], [second.task_id])
        self.assertEqual(driver.starts(), [])

    def test_a_task_about_to_finish_is_not_cancelled(self):
        """Guards against cancel messages that save no work."""
        driver = Driver()
        driver.submit(tasks=2, run_ms=90)
        driver.answer_failed(driver.starts()[0])
        self.assertEqual(driver.cancels(), [])

    def test_a_late_answer_is_counted_and_frees_its_slot(self):
        """Guards against a slot that is freed while its task still runs."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=1)})
        driver.submit("first", run_ms=50)
        [start] = driver.starts()
        driver.handle(JobCancelled("first", Reason.CANCELLED))
        self.assertFalse(driver.finished()[0].not_run)
        driver.submit("second")
        self.assertEqual(driver.starts(), [])
        driver.answer(start)
        self.assertEqual(driver.counted_labels("wasted_messages"), ["late_answer"])
        self.assertEqual(len(driver.starts()), 1)

    def test_a_duplicate_answer_is_only_counted(self):
        """Guards against a negative number of occupied slots."""
        driver = Driver()
        driver.submit(tasks=2)
        start = driver.starts()[0]
        driver.answer(start)
        driver.answer(start)
        self.assertEqual(driver.counted_labels("wasted_messages"), ["duplicate_answer"])
        self.assertEqual(len(driver.dispatcher.running), 1)

    def test_an_unknown_outcome_fails_the_job_without_a_retry(self):
        """Guards against two runs of a task."""
        driver = Driver()
        driver.submit()
        driver.answer_unknown(driver.starts()[0])
        self.assertEqual(driver.finished()[0].reason, Reason.OUTCOME_UNKNOWN)
        self.assertFalse(driver.finished()[0].not_run)
        self.assertEqual(driver.starts(), [])

    def test_a_cancelled_waiting_job_is_reported_as_not_run(self):
        """Guards against a wrong `not_run` for a job that never started."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=1)})
        driver.submit("first")
        driver.submit("second")
        driver.handle(JobCancelled("second", Reason.CANCELLED))
        self.assertTrue(driver.finished()[0].not_run)

    def test_queue_time_is_recorded(self):
        """Guards against a task start without a recorded queue time."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=1)})
        driver.submit("first")
        [start] = driver.starts()
        driver.submit("second")
        driver.now += 0.1
        recorded = [e for e in driver.answer(start) if hasattr(e, "histogram")]
        self.assertEqual(
            [(r.histogram, r.label) for r in recorded], [("queue_ms", "interactive")]
        )
        self.assertAlmostEqual(recorded[0].value, 100)


class DeadlineTests(unittest.TestCase):
    """Jobs end at their deadline."""

    def test_a_passed_deadline_fails_the_job(self):
        """Guards against a job that waits forever."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=1)})
        driver.submit("first", deadline=5)
        driver.submit("second", deadline=1)
        driver.advance(1)
        [outcome] = driver.finished()
        self.assertEqual(outcome.reason, Reason.DEADLINE_EXCEEDED)
        self.assertTrue(outcome.not_run)

    def test_a_paused_process_starts_no_expired_job(self):
        """Guards against late task starts when a paused process resumes."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=1)})
        driver.submit("first", deadline=60)
        [start] = driver.starts()
        driver.submit("second", deadline=2)
        driver.now += 30
        driver.answer(start)
        self.assertEqual(driver.starts(), [])
        reasons = {getattr(o, "reason", None) for o in driver.finished()}
        self.assertEqual(reasons, {None, Reason.DEADLINE_EXCEEDED})

    def test_a_wakeup_is_scheduled_by_the_deadline(self):
        """Guards against a deadline that passes unnoticed without other events."""
        driver = Driver()
        self.assertIsNone(driver.dispatcher.next_wakeup(driver.now))
        driver.submit(deadline=0.3)
        wakeup = driver.dispatcher.next_wakeup(driver.now)
        self.assertLessEqual(wakeup, driver.now + 0.3)

    def test_an_answer_at_the_deadline_is_too_late(self):
        """Guards against a result that is reported after the deadline."""
        driver = Driver()
        driver.submit(deadline=1)
        [start] = driver.starts()
        driver.now += 1
        driver.answer(start)
        self.assertEqual(driver.finished()[0].reason, Reason.DEADLINE_EXCEEDED)


class LeavingTests(unittest.TestCase):
    """Leaving and removed upstreams get no new tasks."""

    def setUp(self):
        """Build the dispatcher of each test."""
        self.driver = Driver(upstreams={"up-0": upstream_state(slots=4)})

    def test_leaving_by_ticket(self):
        """Guards against new tasks for an upstream that a ticket marks as leaving."""
        leaving = UpstreamChange("up-0", 1, upstream_state(slots=4, leaving=True))
        self.driver.apply_ticket(Ticket(2, "anna", upstreams=[leaving]))
        self.driver.submit("later")
        self.assertEqual(self.driver.finished()[0].reason, Reason.NO_UPSTREAM)

    def test_leaving_by_membership_list_and_back(self):
        """Guards against a replaced upstream that never gets tasks again."""
        self.driver.handle(LeavingUpstreamsUpdated(frozenset({"up-0"})))
        self.driver.submit("refused")
        self.assertEqual(self.driver.finished()[0].reason, Reason.NO_UPSTREAM)
        self.driver.handle(LeavingUpstreamsUpdated(frozenset()))
        self.driver.submit("started")
        self.assertEqual(len(self.driver.starts()), 1)

    def test_leaving_by_own_answer(self):
        """Guards against new tasks for an upstream that reports that it is leaving."""
        self.driver.submit(tasks=6)
        start = self.driver.starts()[0]
        self.driver.answer(start, report=UpstreamReport(3, 4, True))
        self.assertEqual(self.driver.starts(), [])

    def test_tasks_of_a_removed_upstream_finish(self):
        """Guards against lost answers of an upstream that a ticket removed."""
        self.driver.submit(tasks=2, run_ms=5000)
        first, second = self.driver.starts()
        self.driver.apply_ticket(
            Ticket(2, "anna", upstreams=[UpstreamChange("up-0", 1, None)])
        )
        self.driver.answer(first)
        self.driver.handle(JobCancelled("job", Reason.CANCELLED))
        [cancel] = self.driver.cancels()
        self.assertEqual((cancel.host, cancel.port), ("127.0.0.1", 9000))
        self.driver.answer(second)
        self.assertEqual(self.driver.dispatcher.running, {})
        self.assertEqual(self.driver.dispatcher.team_loads(), [])

    def test_waiting_jobs_of_a_removed_service_are_refused(self):
        """Guards against jobs that wait for a service that no longer exists."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=1)})
        driver.submit("first")
        driver.submit("second")
        change = ticket(2).services[0]
        removed = type(change)("desk", 1, None)
        driver.apply_ticket(Ticket(2, "anna", services=[removed]))
        [outcome] = driver.finished()
        self.assertIsInstance(outcome, JobRefused)
        self.assertEqual(outcome.reason, Reason.UNKNOWN_SERVICE)


class MemoryTests(unittest.TestCase):
    """Finished jobs keep no memory."""

    def test_finished_jobs_are_removed_from_all_collections(self):
        """Guards against memory that grows with the number of long deadlines."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=2)})
        driver.submit("long", run_ms=1, deadline=600)
        driver.submit("batch", tasks=9, priority_class="batch", deadline=600)
        pending = driver.starts()
        for number in range(5000):
            driver.submit(f"job-{number}", run_ms=1, deadline=600)
            pending += driver.starts()
            driver.now += 0.002
            driver.answer(pending.pop())
            pending += driver.starts()
        dispatcher = driver.dispatcher
        self.assertLess(len(dispatcher.jobs), 20)
        self.assertLess(len(dispatcher.deadlines), 2000)
        for queue in dispatcher.pools["desk"].queue.classes.values():
            for team in queue.teams.values():
                self.assertLess(len(team.jobs_by_age) + len(team.jobs_by_finish), 200)


class StatusTests(unittest.TestCase):
    """Values for heartbeats and the status page."""

    def test_loads_and_status(self):
        """Guards against wrong loads in heartbeats and on the status page."""
        driver = Driver()
        driver.submit(tasks=5)
        self.assertEqual(driver.dispatcher.team_loads(), [("bakery", 2, 3)])
        [upstream] = driver.dispatcher.upstream_status(driver.now)
        self.assertEqual((upstream.slots, upstream.running), (2, 2))
        self.assertEqual(upstream.guard, "closed")
        [service] = driver.dispatcher.service_status()
        self.assertEqual(service.waiting, {"interactive": 3, "batch": 0})

    def test_an_answer_from_another_upstream_changes_nothing(self):
        """Guards against a slot freed at the wrong upstream."""
        driver = Driver()
        driver.submit()
        [start] = driver.starts()
        driver.handle(TaskOutcomeReceived(start.task_id, "other", TaskDone(0, 1.0)))
        self.assertEqual(driver.finished(), [])
        driver.answer(start)
        self.assertIsInstance(driver.finished()[0], JobDone)


if __name__ == "__main__":
    unittest.main()
