"""Tests of the choice of an upstream under scarcity."""

import math
import unittest

from carobramp_core.cells.tests.load_support import LoadHarness


class BestFitTests(unittest.TestCase):
    """Places of tasks of different sizes and lengths."""

    def setUp(self):
        """Run tasks of 16 and 12 of the 32 cores of two upstreams."""
        self.harness = LoadHarness(2)
        for name, cpu in zip(self.harness.names, (16000, 12000), strict=True):
            self.block(*(other for other in self.harness.names if other != name))
            self.harness.submit(f"on-{name}", 0.5, cpu=cpu)

    def block(self, *names):
        """Let nothing start on some upstreams, and allow starts on the others."""
        for name, item in self.harness.owner.upstreams.items():
            item.blocked_until = math.inf if name in names else -math.inf

    def test_wide_task_finds_its_gap(self):
        """Guards against a small task in the gap that a wider one needs."""
        self.harness.owner.upstreams["i-01"].learn_speed(2.0)
        self.block(*self.harness.names)
        self.harness.submit("small", 0.1, cpu=14000)
        self.harness.submit("wide", 0.2, 2, cpu=20000)
        self.block()
        self.harness.advance(0.05)
        self.assertEqual(self.upstreams_of("small"), {"i-00"})
        self.assertEqual(self.upstreams_of("wide"), {"i-01"})

    def test_task_starts_where_it_is_in_time(self):
        """Guards against the best fit on an upstream that is too slow."""
        self.harness.owner.upstreams["i-00"].learn_speed(0.4)
        self.harness.submit("tight", 0.1, 3, cpu=16000)
        self.assertEqual(self.upstreams_of("tight"), {"i-01"})

    def upstreams_of(self, job_id):
        """Return the names of the upstreams on which a job runs."""
        runs = self.harness.owner.runs_by_job.get(job_id, ())
        return {run.upstream for run in runs}
