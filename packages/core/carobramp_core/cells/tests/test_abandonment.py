"""Tests of jobs that are given up as their results would be useless."""

import unittest

from carobramp_core.cells.messages import ReturnReason
from carobramp_core.cells.orders import UpstreamsListed, UpstreamState
from carobramp_core.cells.tests.load_support import LoadHarness
from carobramp_core.cells.tests.support import upstream


class LostCapacityTests(unittest.TestCase):
    """Waiting jobs of a cell that can no longer serve them."""

    def test_third_of_the_upstreams_leaves(self):
        """Guards against jobs that are held until they are useless, untried.

        Of 12 places 4 go while runs end that last four times as long as declared.
        """
        harness = LoadHarness(6)
        for number in range(12):
            harness.submit(f"running-{number}", 0.2, estimate_ms=50.0, target_ms=500.0)
        items = [harness.submit(f"waiting-{n:02}", 0.06, 2) for n in range(12)]
        received_at = harness.now
        waited = [i for i in items if i.job_id not in harness.returned]
        self.assertGreaterEqual(len(waited), 6)
        records = [
            upstream(
                name,
                cpu=32000,
                state=UpstreamState.LEAVING if n < 2 else UpstreamState.READY,
            )
            for n, name in enumerate(harness.names)
        ]
        harness.handle(UpstreamsListed(tuple(records)))
        harness.advance(2.0)
        given_up = [i for i in waited if i.job_id in harness.returned]
        self.assertTrue(given_up)
        for item in given_up:
            self.assertNotIn(item.job_id, harness.started_at)
            objective_s = item.objective_s(60.0)
            returned_at = harness.returned_at[item.job_id]
            self.assertLess(returned_at - received_at, 2 * objective_s)
        for item in waited:
            if item not in given_up:
                last_at = max(harness.ended_at[item.job_id])
                self.assertLess(last_at - received_at, 3 * item.objective_s(60.0))

    def hopeless_started_job(self):
        """Return a harness with a job whose one run holds all cores, and whose other
        task waits, when it has become useless.
        """
        harness = LoadHarness(1)
        harness.submit("hopeless", 5.0, 2, cpu=32000, estimate_ms=100.0)
        harness.advance(0.6)
        return harness

    def test_started_job_goes_on_while_nothing_else_waits(self):
        """Guards against a late answer that is lost without need."""
        harness = self.hopeless_started_job()
        harness.advance(0.5)
        self.assertNotIn("hopeless", harness.returned)
        self.assertEqual(harness.stopped, [])

    def test_started_job_makes_way(self):
        """Guards against runs of a useless job for which jobs in time are late."""
        harness = self.hopeless_started_job()
        item = harness.submit("in-time", 0.1, target_ms=200.0)
        received_at = harness.now
        harness.advance(0.5)
        returned = harness.returned["hopeless"]
        self.assertEqual(returned.reason, ReturnReason.OVERLOADED)
        self.assertEqual([run.job_id for run in harness.stopped], ["hopeless"])
        self.assertTrue(harness.is_in_time(item, received_at))

    def test_callers_that_leave_early(self):
        """Guards against jobs that are rejected for cores that will be free at once.

        All cores run a job whose caller leaves while its runs are being stopped.
        """
        harness = LoadHarness(2)
        harness.submit("left", 2.0, 4)
        harness.submit("early", 0.1)
        harness.cancel("left")
        harness.submit("next", 0.1)
        self.assertEqual(set(harness.returned), {"early"})
        harness.advance(0.1)
        self.assertIn("next", harness.started_at)
