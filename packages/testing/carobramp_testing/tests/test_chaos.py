"""The schedule of chaos runs, and a short run."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carobramp_testing.chaos import Topology, run_chaos, schedule
from carobramp_testing.chaos.leaving import Leaving, Start, check_leaving
from carobramp_testing.chaos.schedule import KINDS, MEAN_GAP_S
from carobramp_testing.processes import ZONES

TOPOLOGY = Topology(ZONES, tuple(f"{z}-{n}" for z in ZONES for n in range(2)), 2)
SECONDS = 30.0
SHORT_RUN_S = 15.0
SHORT_RUN_SEED = 7


class ScheduleTests(unittest.TestCase):
    """The schedule of faults is repeatable and well formed."""

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(st.integers(0, 10**6))
    def test_faults_fit(self, seed):
        """Guards against faults outside the run, or that undo each other."""
        faults = schedule(seed, SECONDS, TOPOLOGY)
        self.assertEqual(faults, schedule(seed, SECONDS, TOPOLOGY))
        self.assertEqual(faults, sorted(faults, key=lambda fault: fault.at))
        for fault in faults:
            self.assertIn(fault.target, TOPOLOGY.targets(KINDS[fault.kind].scope))
            self.assertLessEqual(fault.at + fault.seconds, SECONDS + 1e-9)
        for first, second in itertools.combinations(faults, 2):
            same = KINDS[first.kind].scope == KINDS[second.kind].scope
            if same and first.target == second.target:
                self.assertLessEqual(first.at + first.seconds, second.at)

    def test_every_kind_occurs(self):
        """Guards against a kind of fault that a long run never injects."""
        faults = schedule(1, 3 * MEAN_GAP_S * len(KINDS), TOPOLOGY)
        self.assertEqual({fault.kind for fault in faults}, set(KINDS))


class LeavingTests(unittest.TestCase):
    """Work for a leaving upstream is found."""

    def check(self, received_at, upstream="up-00"):
        """Return violations and checked time for one start."""
        leavings = [Leaving("up-00", 2, returned_at=20.0)]
        samples = {("a", 1): [(1.0, 1), (2.0, 2)], ("b", 2): [(1.0, 1), (4.0, 2)]}
        starts = [Start("a:0", upstream, received_at)]
        return check_leaving(leavings, starts, samples, allowed_s=3.0, unseen_s=1.0)

    def test_late_work(self):
        """Guards against work for a leaving upstream that goes unseen."""
        violations, checked_s = self.check(received_at=7.5)
        self.assertEqual([v.subject for v in violations], ["up-00"])
        self.assertEqual(checked_s, 13.0)

    def test_allowed_work(self):
        """Guards against false alarms."""
        self.assertEqual(self.check(6.9)[0], [])
        self.assertEqual(self.check(20.5)[0], [])
        self.assertEqual(self.check(7.5, "up-01")[0], [])


class ShortRunTests(unittest.IsolatedAsyncioTestCase):
    """All kinds of failures together, for a short time."""

    async def test_short_run(self):
        """Guards against violated invariants when failures occur together."""
        report = await run_chaos(SHORT_RUN_SEED, SHORT_RUN_S)
        self.assertEqual(report.violations, (), "\n".join(report.lines()))
        self.assertTrue(report.tasks_started)


if __name__ == "__main__":
    unittest.main()
