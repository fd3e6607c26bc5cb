"""Guards, retries and back-off."""

import random
import unittest

from carobramp_core.dispatch.messages import TaskOutcomeUnknown
from carobramp_core.dispatch.tests.support import Driver, upstream_state
from carobramp_core.outcomes import JobFailed, Reason, RetryReason
from carobramp_schema.generated.ticket import GuardSettings


class GuardTests(unittest.TestCase):
    """Failing upstreams get no work; failing jobs harm no upstream."""

    def setUp(self):
        """Build the dispatcher of each test."""
        self.driver = Driver(
            upstreams={f"up-{n}": upstream_state(slots=4) for n in range(4)}
        )
        self.job = 0

    def run_one(self, bad=frozenset(), fails=False):
        """Run one job; tasks at the upstreams in `bad` fail at once."""
        self.job += 1
        self.driver.submit(f"job-{self.job}")
        [start] = self.driver.starts()
        if fails or start.upstream in bad:
            self.driver.now += 0.001
            self.driver.fail(start)
        else:
            self.driver.now += 0.1
            self.driver.answer(start)
        return start.upstream

    def guard(self, name):
        """Return the state of a guard."""
        upstream = self.driver.dispatcher.upstreams[name]
        return upstream.guard.state(self.driver.now)

    def test_a_failing_upstream_does_not_attract_work(self):
        """Guards against fast failures that make an upstream look free."""
        for _ in range(50):
            self.run_one()
        hits = [self.run_one(bad={"up-1"}) for _ in range(1000)]
        self.assertLess(hits.count("up-1"), 10)

    def test_jobs_that_fail_everywhere_trip_no_guard(self):
        """Guards against good upstreams shut out by bad jobs."""
        for seed in range(12):
            self.setUp()
            rng = random.Random(seed)
            for _ in range(600):
                self.run_one(fails=rng.random() < 1 / 3)
                self.assertEqual(self.driver.counted("guard_trips"), [], seed)

    def test_one_job_trips_no_guard(self):
        """Guards against a guard that a single job trips."""
        self.driver.submit("bad", tasks=16, run_ms=10)
        for start in self.driver.starts():
            self.driver.fail(start)
            self.assertEqual(self.driver.counted("guard_trips"), [])

    def trip(self):
        """Let a guard trip by lost connections; return the upstream's name."""
        for _ in range(100):
            self.run_one()
        lost = []
        for number in range(16):
            self.driver.submit(f"lost-{number}", run_ms=1000)
            lost += [s for s in self.driver.starts() if s.upstream == "up-1"]
        trips = []
        for start in lost:
            self.driver.lose(start)
            trips += self.driver.counted("guard_trips")
        self.assertEqual(trips, ["desk"])

    def test_opens_probes_and_closes(self):
        """Guards against an upstream that stays shut out after it recovered."""
        self.trip()
        self.assertEqual(self.guard("up-1"), "open")
        self.driver.after(1.1)
        self.assertEqual(self.guard("up-1"), "probing")
        upstream = self.driver.dispatcher.upstreams["up-1"]
        room = upstream.room(
            self.driver.now, self.driver.dispatcher.pools["desk"].totals
        )
        self.assertEqual(room, 1)

    def test_lost_connections_open_longer_each_time(self):
        """Guards against probes that come as often as the first one."""
        self.trip()
        guard = self.driver.dispatcher.upstreams["up-1"].guard
        settings, totals = GuardSettings(), self.driver.dispatcher.pools["desk"].totals
        times = []
        for _ in range(8):
            now = guard.open_until + 0.01
            guard.record(True, "probe", now, now, settings, totals)
            times.append(guard.open_s)
        self.assertEqual(times, [2, 4, 8, 16, 32, 60, 60, 60])
        now = guard.open_until + 0.01
        guard.record(False, "probe", now, now, settings, totals)
        self.assertEqual(guard.state(now), "closed")

    def test_an_old_answer_does_not_end_a_probe(self):
        """Guards against tasks from before the trip that decide on it."""
        self.trip()
        guard = self.driver.dispatcher.upstreams["up-1"].guard
        totals = self.driver.dispatcher.pools["desk"].totals
        now = guard.open_until + 0.01
        guard.record(False, "old", now - 5, now, GuardSettings(), totals)
        self.assertEqual(guard.state(now), "probing")

    def test_a_disabled_guard_never_trips(self):
        """Guards against a setting without effect."""
        driver = Driver(guard=GuardSettings(enabled=False))
        for number in range(20):
            driver.submit(f"job-{number}")
            driver.lose(driver.starts()[0])
            self.assertEqual(driver.counted("guard_trips"), [])

    def test_a_short_deadline_is_not_the_upstreams_failure(self):
        """Guards against guards that jobs with short deadlines trip."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=40)})
        for number in range(20):
            driver.submit(f"job-{number}", run_ms=100, deadline=0.11)
        starts = [s for s in driver.all_effects if hasattr(s, "payload")]
        driver.now += 0.11
        for start in starts:
            driver.answer(start, TaskOutcomeUnknown("time-out"))
            self.assertEqual(driver.counted("guard_trips"), [])


class RetryTests(unittest.TestCase):
    """Retries only after a certain non-start, elsewhere, within the budget."""

    def setUp(self):
        """Build the dispatcher of each test."""
        upstreams = {f"up-{n}": upstream_state(slots=1) for n in range(3)}
        self.driver = Driver(upstreams=upstreams)

    def test_retried_elsewhere_and_counted(self):
        """Guards against a retry at the upstream that just refused."""
        self.driver.submit()
        [first] = self.driver.starts()
        self.driver.refuse(first, RetryReason.REFUSED_BUSY)
        [second] = self.driver.starts()
        self.assertNotEqual(first.upstream, second.upstream)
        self.assertEqual(self.driver.counted("retries"), ["refused_busy"])
        wasted = sorted(self.driver.counted("wasted_messages"))
        self.assertEqual(wasted, ["refused_start", "retry"])

    def test_waits_for_another_upstream(self):
        """Guards against a second try at the only free upstream."""
        self.driver.submit("others", tasks=2, run_ms=1000)
        self.driver.submit("job")
        [first] = self.driver.starts()
        self.driver.refuse(first)
        self.driver.after(1.0)
        self.assertEqual(self.driver.starts(), [])

    def test_the_only_upstream_is_tried_again(self):
        """Guards against a job that waits though its upstream recovered."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=1)})
        driver.submit()
        driver.refuse(driver.starts()[0], RetryReason.CONNECT_FAILED)
        self.assertEqual(driver.starts(), [])
        driver.after(0.3)
        self.assertEqual(len(driver.starts()), 1)

    def test_the_budget_ends_retries(self):
        """Guards against a storm of retries."""
        self.driver.dispatcher.pools["desk"].budget.tokens = 0.0
        self.driver.dispatcher.pools["desk"].budget.filled_at = self.driver.now
        self.driver.submit()
        self.driver.refuse(self.driver.starts()[0])
        [outcome] = self.driver.finished()
        self.assertIsInstance(outcome, JobFailed)
        self.assertEqual(outcome.reason, Reason.RETRY_BUDGET_SPENT)
        self.assertTrue(outcome.not_run)

    def test_a_spent_budget_is_not_a_certain_non_run(self):
        """Guards against `not_run` for a job of which a task runs."""
        self.driver.dispatcher.pools["desk"].budget.tokens = 0.0
        self.driver.dispatcher.pools["desk"].budget.filled_at = self.driver.now
        self.driver.submit(tasks=2)
        self.driver.refuse(self.driver.starts()[0])
        self.assertFalse(self.driver.finished()[0].not_run)

    def test_connect_failures_back_off(self):
        """Guards against tasks for an upstream that cannot be reached."""
        driver = Driver(
            upstreams={f"up-{n}": upstream_state(slots=8) for n in range(2)}
        )
        driver.submit()
        [first] = driver.starts()
        driver.refuse(first, RetryReason.CONNECT_FAILED)
        driver.submit("more", tasks=6)
        self.assertNotIn(first.upstream, {s.upstream for s in driver.starts()})
        driver.after(0.25)
        driver.submit("again", tasks=6)
        names = [s.upstream for s in driver.starts()]
        self.assertEqual(names.count(first.upstream), 1)


if __name__ == "__main__":
    unittest.main()
