"""Figures and bounds of the benchmarks."""

import types
import unittest

from carobramp_testing.bench.report import check_lines
from carobramp_testing.bench.run import goodput_back
from carobramp_testing.bench.scenarios import SCENARIOS, SITES, VARIANTS, capacity_of
from carobramp_testing.load.plan import Stream
from carobramp_testing.load.result import JobResult, LoadResult


def job(at, response_ms=100.0, reason=""):
    """Build the result of one job."""
    return JobResult("check", "id", 1, reason, False, response_ms, 100.0, at)


class BoundTests(unittest.TestCase):
    """Bounds are checked, never adapted."""

    def test_a_missed_bound_is_reported(self):
        """Guards against a figure over its bound that passes."""
        run = types.SimpleNamespace(
            scenario=SCENARIOS["steady-70"],
            values={"mean": 1.26, "p99": 2.0, "waste": 0.0, "failures": 0},
        )
        missed = [line for line in check_lines(run) if line.startswith("MISSED")]
        self.assertEqual(missed, ["MISSED: mean 1.26, bound 1.25"])

    def test_goodput_is_back_when_answers_keep_up(self):
        """Guards against a burst whose aftermath is not seen."""
        result = LoadResult()
        for number in range(100):
            at = number / 10
            slow = 5.0 <= at < 6.0
            result.add(job(at, reason="queue_full" if slow else ""))
        burst = Stream("burst", 1.0, start_s=3.0, end_s=5.0)
        self.assertEqual(goodput_back(result, burst), 1.0)

    def test_streams_have_their_part_of_the_capacity(self):
        """Guards against a load that is not the one that a scenario names."""
        for site in SITES.values():
            for name, part in (("steady-50", 0.5), ("steady-90", 0.9)):
                scenario = SCENARIOS[name]
                capacity = capacity_of(scenario, site)
                [stream] = scenario.streams(site, capacity, 10.0)
                work = sum(stream.tasks) / 2 * sum(stream.run_ms) / 2
                self.assertAlmostEqual(stream.jobs_per_s * work / capacity, part)

    def test_variants_have_no_bounds(self):
        """Guards against bounds on ways of deciding that are not in use."""
        self.assertTrue(all(not item.bounds for item in VARIANTS.values()))


if __name__ == "__main__":
    unittest.main()
