"""Tests of the admission of whole jobs under replayed loads."""

import unittest

from carobramp_core.cells.messages import ReturnReason
from carobramp_core.cells.orders import EntriesPaused
from carobramp_core.cells.tests.load_support import LoadHarness
from carobramp_core.cells.tests.support import running


class BurstTests(unittest.TestCase):
    """A burst of one queue beyond what can be in time."""

    def test_burst_of_one_queue(self):
        """Guards against a queue in which every job is late.

        Of 60 jobs of 50 ms at once, 8 places serve two rounds within the objective.
        """
        harness = LoadHarness(4)
        items = [harness.submit(f"job-{n:02}", 0.05) for n in range(60)]
        received_at = harness.now
        rejected = set(harness.returned)
        harness.advance(1.0)
        in_time = [i for i in items if harness.is_in_time(i, received_at)]
        self.assertEqual(len(in_time), 16)
        self.assertEqual(len(rejected), 44)
        for message in harness.returned.values():
            self.assertEqual(message.reason, ReturnReason.OVERLOADED)

    def test_wave_above_the_capacity(self):
        """Guards against jobs that wait for seconds and answer nobody in time.

        For 3 s, 1.6 times as much arrives as 8 places serve.
        """
        harness = LoadHarness(4)
        items = []
        for number in range(192):
            item = harness.submit(f"job-{number:03}", 0.2, 2 if number % 4 else 1)
            items.append((item, harness.now))
            harness.advance(0.0275)
        harness.advance(2.0)
        in_time = sum(i.tasks for i, at in items if harness.is_in_time(i, at))
        done = sum(map(len, harness.ended_at.values()))
        self.assertGreater(in_time, 0.95 * done)
        self.assertGreater(done * 0.2, 0.9 * 8 * 192 * 0.0275)

    def test_committed_job_waits(self):
        """Guards against the rejection of a job for lateness whose tasks have run."""
        harness = LoadHarness(1)
        harness.submit("running", 0.2, 2)
        harness.submit("waiting", 0.05, 1, {"committed": True})
        self.assertNotIn("waiting", harness.returned)

    def test_single_late_job_waits_while_nothing_else_does(self):
        """Guards against cores that idle as late answers are rejected without need."""
        harness = LoadHarness(1)
        harness.submit("running", 0.15, 2)
        harness.submit("late", 0.05)
        self.assertNotIn("late", harness.returned)
        harness.submit("later", 0.05)
        self.assertIn("later", harness.returned)

    def test_admitted_job_is_not_displaced(self):
        """Guards against tight jobs that make an admitted long one late."""
        harness = LoadHarness(1)
        harness.submit("running", 0.09, 2)
        received_at = harness.now
        item = harness.submit("long", 0.1, 2)
        harness.submit("tight", 0.03, 2, target_ms=90.0)
        self.assertEqual(harness.returned["tight"].reason, ReturnReason.OVERLOADED)
        harness.advance(1.0)
        self.assertTrue(harness.is_in_time(item, received_at))

    def test_wide_job_does_not_start_in_part_while_others_wait(self):
        """Guards against a job that takes cores here and cannot be whole in time."""
        harness = LoadHarness(1)
        harness.submit("running", 0.1)
        harness.submit("waiting", 0.1, cpu=20000)
        harness.submit("wide", 0.1, 4, {"may_wait": False})
        self.assertNotIn("wide", harness.started_at)
        self.assertEqual(harness.returned["wide"].reason, ReturnReason.NO_CAPACITY)


class LogTests(unittest.TestCase):
    """What operators see of decisions."""

    def test_wait_and_its_estimate_are_logged(self):
        """Guards against a forecast whose error nobody can see."""
        harness = LoadHarness(1)
        harness.submit("running", 0.08, 2)
        harness.submit("waiting", 0.1, 2)
        (admitted,) = harness.lines("job admitted")
        self.assertEqual(admitted["estimated_wait_ms"], 80)
        self.assertEqual((admitted["tasks_ahead"], admitted["startable"]), (0, 0))
        harness.advance(0.2)
        started = harness.lines("tasks started")[-1]
        self.assertEqual(started["estimated_wait_ms"], 80)
        self.assertEqual(started["waited_ms"], 80)

    def test_rejection_is_logged_and_counted(self):
        """Guards against rejections without the reason and the expected wait."""
        harness = LoadHarness(1)
        harness.submit("running", 0.3, 2)
        harness.submit("waiting", 0.3)
        harness.submit("rejected", 0.05, 3)
        (returned,) = harness.lines("tasks returned")
        self.assertEqual(returned["decision"], "would_be_late")
        self.assertEqual(returned["estimated_wait_ms"], 350)
        self.assertEqual(returned["tasks_ahead"], 0)
        self.assertEqual(harness.counts, {"at_once": 1, "late": 1, "would_be_late": 1})
        self.assertAlmostEqual(harness.returned["rejected"].retry_after_s, 0.5)


class HalfwayTests(unittest.TestCase):
    """Failures between the admission of a job and its start."""

    def test_owner_is_lost_after_the_admission(self):
        """Guards against an admitted job that the next owner rejects or starts twice.

        The entry offers all tasks as resumed and committed; one has been started.
        """
        first = LoadHarness(1)
        first.submit("other", 0.1)
        first.submit("admitted", 0.1, 2)
        (run,) = first.owner.runs_by_job["admitted"]
        order = first.active["i-00"][run.run_id][0]
        second = LoadHarness(1, taken_over=True)
        second.answer_poll("i-00", running=[running(order)])
        fields = {"resumed": True, "committed": True, "members": ("i-00",)}
        second.submit("admitted", 0.1, 2, fields)
        self.assertNotIn("admitted", second.returned)
        self.assertEqual(len(second.started_at["admitted"]), 1)
        runs = second.owner.runs_by_job["admitted"]
        self.assertEqual({item.run_id.index for item in runs}, {0, 1})

    def test_entry_is_paused_after_the_admission(self):
        """Guards against the start of a task whose entry has ended its job."""
        harness = LoadHarness(1)
        harness.submit("running", 0.08, 2)
        harness.submit("admitted", 0.1)
        harness.handle(EntriesPaused(("front-1",)))
        harness.advance(0.5)
        self.assertNotIn("admitted", harness.started_at)

    def test_link_closes_after_a_rejection(self):
        """Guards against a rejected job that starts after all."""
        harness = LoadHarness(1)
        harness.submit("running", 0.3, 2)
        harness.submit("waiting", 0.3)
        harness.submit("rejected", 0.05, 3)
        self.assertIn("rejected", harness.returned)
        harness.close_link("front-1")
        harness.advance(1.0)
        self.assertNotIn("rejected", harness.started_at)

    def test_wrong_estimate_shifts_the_forecast(self):
        """Guards against a place that counts as free while its run is overdue."""
        harness = LoadHarness(1)
        harness.submit("overdue", 3.0, 2, estimate_ms=100.0)
        harness.advance(1.0)
        harness.submit("next", 0.1)
        (admitted,) = harness.lines("job admitted")
        self.assertEqual(admitted["estimated_wait_ms"], 25)
        harness.advance(0.2)
        harness.submit("tight", 0.03)
        self.assertEqual(set(harness.started_at), {"overdue"})
        self.assertEqual(len(harness.started_at["overdue"]), 2)


class ReturnTests(unittest.TestCase):
    """Callers of rejected jobs that send them again."""

    def test_caller_that_returns_as_told_goes_first(self):
        """Guards against a caller that was sent away with a time and finds new ones.

        The job returns when it was told to and starts before one that waits already.
        """
        harness = LoadHarness(1, spread_returns=True)
        harness.submit("running", 0.3, 2)
        harness.submit("late", 0.05)
        harness.submit("tight", 0.05)
        told_s = harness.returned.pop("tight").retry_after_s
        harness.advance(told_s)
        harness.submit("running-2", 0.05, 2)
        harness.submit("waiting", 0.1)
        harness.submit("waiting-2", 0.1)
        harness.submit("tight", 0.1)
        harness.advance(0.5)
        first = harness.started_at["tight"][0]
        self.assertLessEqual(first, harness.started_at["waiting"][0])
        self.assertLess(first, harness.started_at.get("waiting-2", [harness.now])[0])

    def test_caller_that_returns_early_gets_no_advantage(self):
        """Guards against callers that are served first because they ask more often."""
        harness = LoadHarness(1, spread_returns=True)
        harness.submit("running", 0.3, 2)
        harness.submit("late", 0.05)
        harness.submit("tight", 0.05)
        told_s = harness.returned.pop("tight").retry_after_s
        self.assertFalse(
            harness.owner.return_times.returns_as_told("tight", harness.now)
        )
        self.assertGreaterEqual(told_s, 1)
