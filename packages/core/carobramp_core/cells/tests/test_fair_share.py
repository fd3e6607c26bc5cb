"""Tests of the shares of queues and size bands under sustained overload."""

import random
import unittest

from carobramp_core.cells.fair_share import FairShare, SizeBand
from carobramp_core.cells.tests.load_support import LoadHarness

SECONDS = 5.0
# Tasks of a job, run time of a task and jobs a second of each queue; together 1.7 times
# what 64 places serve.
QUEUES = {"tight": (4, 0.05, 170), "middle": (2, 0.17, 120), "long": (3, 0.7, 17)}


class ShareTests(unittest.TestCase):
    """Core-seconds admitted of those offered."""

    def test_band_below_its_share_is_favoured_under_overload_only(self):
        """Guards against a preference for a queue while everything is admitted."""
        share = FairShare()
        wide, small = ("q", SizeBand.LARGEST_TENTH), ("q", SizeBand.REST)
        share.record(wide, 1.0, False, now=0.0)
        share.record(small, 99.0, True, now=0.0)
        self.assertFalse(share.is_favoured(wide))
        share.record(small, 99.0, False, now=0.1)
        self.assertTrue(share.is_favoured(wide))
        self.assertFalse(share.is_favoured(small))

    def test_earlier_overload_is_forgotten(self):
        """Guards against a queue that is favoured long after its rejections."""
        share = FairShare()
        wide, small = ("q", SizeBand.LARGEST_TENTH), ("q", SizeBand.REST)
        share.record(wide, 10.0, False, now=0.0)
        share.record(small, 10.0, True, now=0.0)
        self.assertTrue(share.is_favoured(wide))
        share.record(small, 10.0, True, now=30.0)
        self.assertFalse(share.is_favoured(wide))

    def test_size_bands_follow_the_recent_jobs(self):
        """Guards against bands that stay those of a load that is over."""
        share = FairShare()
        for number in range(400):
            share.add_size("q", number % 100)
        self.assertEqual(share.band("q", 95.0)[1], SizeBand.LARGEST_TENTH)
        self.assertEqual(share.band("q", 75.0)[1], SizeBand.NEXT_FIFTH)
        self.assertEqual(share.band("q", 50.0)[1], SizeBand.REST)
        for number in range(400):
            share.add_size("q", number % 100 / 10)
        self.assertEqual(share.band("q", 50.0)[1], SizeBand.LARGEST_TENTH)

    def test_job_that_became_late_has_had_no_share(self):
        """Guards against a queue that counts as served while its jobs make way."""
        harness = LoadHarness(1)
        harness.submit("overdue", 3.0, 2, estimate_ms=50.0, queue="other")
        harness.submit("waiting", 0.1, queue="q")
        share = harness.owner.fair_share.shares["q", SizeBand.REST]
        self.assertEqual(share.admitted_part(), 1.0)
        harness.advance(0.2)
        self.assertNotIn("waiting", harness.returned)
        self.assertAlmostEqual(share.admitted_part(), 0.0)


class OverloadTests(unittest.TestCase):
    """A tight queue beside longer ones for seconds of overload."""

    @classmethod
    def setUpClass(cls):
        """Replay the load, and keep the jobs of each queue by work."""
        chance = random.Random(5)
        arrivals = []
        for queue, (tasks, run_s, rate) in QUEUES.items():
            at = chance.expovariate(rate)
            while at < SECONDS:
                width = max(
                    1, min(4 * tasks, round(tasks * chance.lognormvariate(0, 0.4)))
                )
                arrivals.append((at, queue, width, run_s))
                at += chance.expovariate(rate)
        cls.harness = LoadHarness(32)
        cls.jobs = {queue: [] for queue in QUEUES}
        started_at = cls.harness.now
        for number, (at, queue, width, run_s) in enumerate(sorted(arrivals)):
            cls.harness.advance(started_at + at - cls.harness.now)
            item = cls.harness.submit(f"{queue}-{number}", run_s, width, queue=queue)
            if at > 2.0:
                cls.jobs[queue].append(item)
        for items in cls.jobs.values():
            items.sort(key=lambda item: item.tasks)

    def rate(self, items):
        """Return the part of the tasks of jobs whose jobs were not returned."""
        admitted = (i for i in items if i.job_id not in self.harness.returned)
        return sum(i.tasks for i in admitted) / sum(i.tasks for i in items)

    def test_no_queue_starves(self):
        """Guards against a queue that bears the overload for all others."""
        overall = self.rate([item for items in self.jobs.values() for item in items])
        for queue, items in self.jobs.items():
            self.assertGreater(self.rate(items), 0.8 * overall, queue)

    def test_largest_jobs_do_not_starve(self):
        """Guards against wide jobs that never find all their places at once."""
        overall = self.rate([item for items in self.jobs.values() for item in items])
        for queue, items in self.jobs.items():
            largest = items[-len(items) // 10 :]
            self.assertGreater(self.rate(largest), 0.8 * overall, queue)
