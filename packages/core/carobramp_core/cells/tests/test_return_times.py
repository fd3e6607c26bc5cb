"""Tests of the return times of rejected callers."""

import unittest

from carobramp_core.cells.messages import ReturnReason, TasksReturned
from carobramp_core.cells.return_times import (
    MAX_REJECTED_JOBS,
    MAX_RETURN_S,
    RETENTION_S,
    ReturnTimes,
)
from carobramp_core.cells.tests.support import OwnerHarness, job, messages, upstream
from carobramp_schema.generated.scheduling import SchedulingSettings

NOW = 100.0
CORES = 50.0
WORK_CORE_S = 5.0
WAIT_S = 0.5
# Jobs rejected in one second, whose work takes 20 s of the cell.
JOBS = 200
REJECTED = [f"{number:016x}" for number in range(100, 130)]


class ScheduleTests(unittest.TestCase):
    """Returns are spread over the time in which capacity becomes free."""

    def setUp(self):
        """Start without rejected jobs."""
        self.times = ReturnTimes()

    def reject(self, job_id, now=NOW, cores=CORES, wait_s=WAIT_S, work=WORK_CORE_S):
        """Reject a job; return the seconds that its caller is told."""
        return self.times.reject(job_id, work, cores, wait_s, now)

    def test_callers_of_one_second_are_spread(self):
        """Guards against rejected callers who return as the next wave."""
        returns = []
        for index in range(JOBS):
            now = NOW + index / JOBS
            returns.append(now + self.reject(f"job-{index}", now))
        for second in range(1, 22):
            end = NOW + second
            work = WORK_CORE_S * sum(at <= end for at in returns)
            self.assertLessEqual(work, CORES * second)
        total_s = JOBS * WORK_CORE_S / CORES
        self.assertGreaterEqual(max(returns), NOW + total_s - 1)
        self.assertLessEqual(max(returns), NOW + total_s + 2)

    def test_estimated_wait_is_the_least(self):
        """Guards against callers who are sent into the queue that rejected them."""
        self.assertEqual(self.reject("first", wait_s=3.2), 4)
        self.assertEqual(self.reject("second"), 4)

    def test_less_capacity(self):
        """Guards against a schedule that relies on capacity that was lost."""
        for index in range(40):
            self.reject(f"job-{index}")
        full_s = self.reject("full")
        reduced_s = self.reject("reduced", cores=CORES / 4)
        self.assertGreaterEqual(reduced_s, 3 * full_s)

    def test_without_capacity(self):
        """Guards against division by zero, and against time that passes as capacity."""
        self.assertEqual(self.reject("unknown", cores=0.0), 1)
        for index in range(40):
            self.reject(f"job-{index}")
        before_s = self.reject("before")
        self.assertGreaterEqual(self.reject("later", NOW + 10, cores=0.0), before_s - 1)

    def test_bounds(self):
        """Guards against times and memory that grow with the load."""
        for index in range(2 * MAX_REJECTED_JOBS):
            told_s = self.reject(f"job-{index}", NOW + index / 1000)
            self.assertLessEqual(told_s, MAX_RETURN_S)
        self.assertLessEqual(len(self.times.due_at), MAX_REJECTED_JOBS)
        self.reject("last", NOW + 3 * MAX_RETURN_S)
        self.assertEqual(set(self.times.due_at), {"last"})


class ReturnTests(unittest.TestCase):
    """Jobs that return at their time are recognized."""

    def setUp(self):
        """Reject jobs, the last of them with a return time of several seconds."""
        self.times = ReturnTimes()
        for index in range(50):
            self.told_s = self.reject(f"job-{index}")
        self.due_at = NOW + self.told_s

    def reject(self, job_id, now=NOW):
        """Reject a job; return the seconds that its caller is told."""
        return self.times.reject(job_id, WORK_CORE_S, CORES, WAIT_S, now)

    def test_return_in_time(self):
        """Guards against callers who wait as told and have no advantage from it."""
        for late_s in (0.0, 0.3, RETENTION_S):
            received_at = self.due_at + late_s
            self.assertTrue(self.times.returns_as_told("job-49", received_at))

    def test_early_or_very_late_return(self):
        """Guards against an advantage for callers who do not wait as told."""
        for received_at in (NOW, self.due_at - 0.01, self.due_at + RETENTION_S + 0.01):
            self.assertFalse(self.times.returns_as_told("job-49", received_at))
        self.assertFalse(self.times.returns_as_told("other", self.due_at))

    def test_early_return_gains_nothing(self):
        """Guards against an earlier place by repeating, and a cost to others."""
        work_core_s = self.times.schedule.work_core_s
        for step in range(1, 10):
            now = NOW + 0.2 * step
            told_s = self.reject("job-49", now)
            self.assertGreaterEqual(now + told_s, self.due_at)
            self.assertFalse(self.times.returns_as_told("job-49", self.due_at - 0.01))
        self.assertEqual(self.times.schedule.work_core_s, work_core_s)

    def test_rejected_again_at_its_time(self):
        """Guards against a second rejection that sends the caller back at once."""
        told_s = self.reject("job-49", self.due_at)
        self.assertGreaterEqual(told_s, 1)
        self.assertFalse(self.times.returns_as_told("job-49", self.due_at))
        self.assertTrue(self.times.returns_as_told("job-49", self.due_at + told_s))


class OwnerTests(unittest.TestCase):
    """Owners tell return times with `spread_returns` only."""

    def start(self, spread_returns):
        """Start an owner with an upstream of 16 cores and 8 s of waiting work."""
        harness = OwnerHarness(upstream())
        harness.owner.scheduling = SchedulingSettings(spread_returns=spread_returns)
        harness.answer_poll()
        for number in range(20):
            harness.offer(job(f"{number:016x}", 8, target_ms=1e6))
        return harness

    def reject(self, harness, job_id):
        """Offer a job that cannot end in time; return the message about it."""
        effects = harness.offer(job(job_id, 8, target_ms=1.0, stretch=1.0))
        (returned,) = messages(effects, TasksReturned)
        self.assertEqual(returned.reason, ReturnReason.OVERLOADED)
        return returned

    def test_switched_on(self):
        """Guards against equal return times, and jobs that are not recognized."""
        harness = self.start(spread_returns=True)
        times = [self.reject(harness, name).retry_after_s for name in REJECTED]
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[-1], times[0] + 8)
        due_at = harness.now + times[0]
        self.assertTrue(harness.owner.return_times.returns_as_told(REJECTED[0], due_at))

    def test_switched_off(self):
        """Guards against new behaviour where no setting calls for it."""
        harness = self.start(spread_returns=False)
        times = {self.reject(harness, name).retry_after_s for name in REJECTED}
        self.assertEqual(len(times), 1)
        self.assertEqual(harness.owner.return_times.due_at, {})

    def test_lost_owner(self):
        """Guards against a next owner that needs the schedule of a lost one."""
        first = self.start(spread_returns=True)
        for name in REJECTED:
            told = self.reject(first, name)
        second = self.start(spread_returns=True)
        second.now = first.now + told.retry_after_s
        times = second.owner.return_times
        self.assertFalse(times.returns_as_told(told.job_id, second.now))
        again = self.reject(second, told.job_id)
        self.assertLess(again.retry_after_s, told.retry_after_s)


if __name__ == "__main__":
    unittest.main()
