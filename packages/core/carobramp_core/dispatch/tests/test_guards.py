"""Tests of guards, retries and back-off."""

import random
import unittest

from carobramp_core.dispatch.messages import TaskOutcomeUnknown
from carobramp_core.dispatch.tests.support import Driver, upstream_state
from carobramp_core.outcomes import JobFailed, Reason, RetryReason
from carobramp_schema.generated.ticket import GuardSettings


class GuardTests(unittest.TestCase):
    """Guards trip on failures of an upstream, not on failures of jobs."""

    def setUp(self):
        """Build the dispatcher of each test."""
        self.driver = Driver(
            upstreams={f"up-{n}": upstream_state(slots=4) for n in range(4)}
        )
        self.job_count = 0

    def run_job(self, failing_upstreams=frozenset(), fails=False):
        """Run a job of one task, which fails on request or at a failing upstream.

        Returns the name of the upstream that got the task.
        """
        self.job_count += 1
        self.driver.submit(f"job-{self.job_count}")
        [start] = self.driver.starts()
        if fails or start.upstream in failing_upstreams:
            self.driver.now += 0.001
            self.driver.answer_failed(start)
        else:
            self.driver.now += 0.1
            self.driver.answer(start)
        return start.upstream

    def guard_state(self, name):
        """Return the state of an upstream's guard."""
        upstream = self.driver.dispatcher.upstreams[name]
        return upstream.guard.state(self.driver.now)

    def test_a_failing_upstream_does_not_attract_work(self):
        """Fast failures free slots quickly, so that an upstream looks unloaded."""
        for _ in range(50):
            self.run_job()
        hits = [self.run_job(failing_upstreams={"up-1"}) for _ in range(1000)]
        self.assertLess(hits.count("up-1"), 10)

    def test_jobs_that_fail_everywhere_trip_no_guard(self):
        """Healthy upstreams must stay in use when a third of all jobs fails."""
        for seed in range(12):
            self.setUp()
            rng = random.Random(seed)
            for _ in range(600):
                self.run_job(fails=rng.random() < 1 / 3)
                self.assertEqual(self.driver.counted_labels("guard_trips"), [], seed)

    def test_failures_of_a_single_job_trip_no_guard(self):
        """A job of many tasks that all fail is no sign of a failing upstream."""
        self.driver.submit("bad", tasks=16, run_ms=10)
        for start in self.driver.starts():
            self.driver.answer_failed(start)
            self.assertEqual(self.driver.counted_labels("guard_trips"), [])

    def trip_guard(self):
        """Trip the guard of `up-1` by unknown outcomes."""
        for _ in range(100):
            self.run_job()
        lost = []
        for number in range(16):
            self.driver.submit(f"lost-{number}", run_ms=1000)
            lost += [s for s in self.driver.starts() if s.upstream == "up-1"]
        trips = []
        for start in lost:
            self.driver.answer_unknown(start)
            trips += self.driver.counted_labels("guard_trips")
        self.assertEqual(trips, ["desk"])

    def test_an_open_guard_lets_one_probe_pass_after_its_open_time(self):
        """An upstream that has recovered must get tasks again."""
        self.trip_guard()
        self.assertEqual(self.guard_state("up-1"), "open")
        self.driver.advance(1.1)
        self.assertEqual(self.guard_state("up-1"), "probing")
        upstream = self.driver.dispatcher.upstreams["up-1"]
        free_capacity = upstream.free_capacity(
            self.driver.now, self.driver.dispatcher.pools["desk"].service_counts
        )
        self.assertEqual(free_capacity, 1)

    def test_the_open_time_doubles_with_each_failed_probe(self):
        """Probes of an upstream that stays down must become rarer."""
        self.trip_guard()
        guard = self.driver.dispatcher.upstreams["up-1"].guard
        settings, service_counts = (
            GuardSettings(),
            self.driver.dispatcher.pools["desk"].service_counts,
        )
        open_durations = []
        for _ in range(8):
            now = guard.open_until + 0.01
            guard.record(True, "probe", now, now, settings, service_counts)
            open_durations.append(guard.open_duration_s)
        self.assertEqual(open_durations, [2, 4, 8, 16, 32, 60, 60, 60])
        now = guard.open_until + 0.01
        guard.record(False, "probe", now, now, settings, service_counts)
        self.assertEqual(guard.state(now), "closed")

    def test_an_answer_from_before_the_trip_does_not_end_probing(self):
        """Only tasks that started after the open time are probes."""
        self.trip_guard()
        guard = self.driver.dispatcher.upstreams["up-1"].guard
        service_counts = self.driver.dispatcher.pools["desk"].service_counts
        now = guard.open_until + 0.01
        guard.record(False, "old", now - 5, now, GuardSettings(), service_counts)
        self.assertEqual(guard.state(now), "probing")

    def test_a_disabled_guard_never_trips(self):
        """The setting `enabled` of a service's guards must have an effect."""
        driver = Driver(guard=GuardSettings(enabled=False))
        for number in range(20):
            driver.submit(f"job-{number}")
            driver.answer_unknown(driver.starts()[0])
            self.assertEqual(driver.counted_labels("guard_trips"), [])

    def test_timeouts_of_short_deadlines_trip_no_guard(self):
        """A task that had too little time is no failure of its upstream."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=40)})
        for number in range(20):
            driver.submit(f"job-{number}", run_ms=100, deadline=0.11)
        starts = [s for s in driver.all_effects if hasattr(s, "payload")]
        driver.now += 0.11
        for start in starts:
            driver.answer(start, TaskOutcomeUnknown("time-out"))
            self.assertEqual(driver.counted_labels("guard_trips"), [])


class RetryTests(unittest.TestCase):
    """A task is retried only if it did not start, elsewhere and within the budget."""

    def setUp(self):
        """Build the dispatcher of each test."""
        upstreams = {f"up-{n}": upstream_state(slots=1) for n in range(3)}
        self.driver = Driver(upstreams=upstreams)

    def test_a_rejected_task_is_retried_elsewhere_and_counted(self):
        """Guards against a retry at the upstream that just rejected the task."""
        self.driver.submit()
        [first] = self.driver.starts()
        self.driver.answer_not_started(first, RetryReason.REFUSED_BUSY)
        [second] = self.driver.starts()
        self.assertNotEqual(first.upstream, second.upstream)
        self.assertEqual(self.driver.counted_labels("retries"), ["refused_busy"])
        wasted = sorted(self.driver.counted_labels("wasted_messages"))
        self.assertEqual(wasted, ["refused_start", "retry"])

    def test_a_retry_waits_for_another_upstream(self):
        """Guards against a retry at the same upstream because only it is free."""
        self.driver.submit("others", tasks=2, run_ms=1000)
        self.driver.submit("job")
        [first] = self.driver.starts()
        self.driver.answer_not_started(first)
        self.driver.advance(1.0)
        self.assertEqual(self.driver.starts(), [])

    def test_the_only_upstream_is_tried_again(self):
        """Guards against a job that waits although its upstream has recovered."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=1)})
        driver.submit()
        driver.answer_not_started(driver.starts()[0], RetryReason.CONNECT_FAILED)
        self.assertEqual(driver.starts(), [])
        driver.advance(0.3)
        self.assertEqual(len(driver.starts()), 1)

    def test_a_job_fails_when_the_retry_budget_is_spent(self):
        """Guards against a retry storm."""
        self.driver.dispatcher.pools["desk"].retry_budget.tokens = 0.0
        self.driver.dispatcher.pools["desk"].retry_budget.refilled_at = self.driver.now
        self.driver.submit()
        self.driver.answer_not_started(self.driver.starts()[0])
        [outcome] = self.driver.finished()
        self.assertIsInstance(outcome, JobFailed)
        self.assertEqual(outcome.reason, Reason.RETRY_BUDGET_SPENT)
        self.assertTrue(outcome.not_run)

    def test_a_spent_budget_does_not_imply_not_run(self):
        """Guards against `not_run` for a job with a running task."""
        self.driver.dispatcher.pools["desk"].retry_budget.tokens = 0.0
        self.driver.dispatcher.pools["desk"].retry_budget.refilled_at = self.driver.now
        self.driver.submit(tasks=2)
        self.driver.answer_not_started(self.driver.starts()[0])
        self.assertFalse(self.driver.finished()[0].not_run)

    def test_connect_failures_back_off(self):
        """Guards against tasks for an upstream that cannot be reached."""
        driver = Driver(
            upstreams={f"up-{n}": upstream_state(slots=8) for n in range(2)}
        )
        driver.submit()
        [first] = driver.starts()
        driver.answer_not_started(first, RetryReason.CONNECT_FAILED)
        driver.submit("more", tasks=6)
        self.assertNotIn(first.upstream, {s.upstream for s in driver.starts()})
        driver.advance(0.25)
        driver.submit("again", tasks=6)
        names = [s.upstream for s in driver.starts()]
        self.assertEqual(names.count(first.upstream), 1)


if __name__ == "__main__":
    unittest.main()
