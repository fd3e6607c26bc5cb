"""Tests of the placement of tasks on upstreams."""

import time
import unittest

from carobramp_core.cells.tests.support import OwnerHarness, job, starts, upstream

UPSTREAMS = 58
WAITING = 300
# CPU time of one event; an owner has to handle 500 events per second.
EVENT_BUDGET_S = 0.002


class CostTests(unittest.TestCase):
    """CPU time of decisions under overload."""

    def test_long_queue_takes_little_cpu_time(self):
        """Guards against an owner that is saturated by its own queue.

        When each event examined all 58 upstreams for every waiting task, owners fell
        behind, lost ownership of their cells and served only 5 to 20% of the jobs.
        """
        names = [f"i-{number}" for number in range(UPSTREAMS)]
        harness = OwnerHarness(*(upstream(name) for name in names))
        for name in names:
            harness.answer_poll(name)
        for number in range(WAITING):
            item = job(f"{number:016x}", 1, cpu=6000 + number, target_ms=1e6)
            harness.offer(item)
        harness.offer(job("e" * 16, 1, cpu=16000, target_ms=1e6))
        started_at = time.process_time()
        for _ in range(100):
            harness.tick()
        self.assertLess((time.process_time() - started_at) / 100, EVENT_BUDGET_S)


class ChoiceTests(unittest.TestCase):
    """Choice of an upstream."""

    def test_long_task_avoids_a_slow_upstream(self):
        """Guards against a task that misses its objective on a slow upstream."""
        harness = OwnerHarness(upstream("i-slow"), upstream("i-fast", cpu=7000))
        for name in ("i-slow", "i-fast"):
            harness.answer_poll(name)
        harness.owner.upstreams["i-slow"].learn_speed(0.4)
        first = starts(harness.offer(job("0" * 16)))
        self.assertEqual([order.upstream for order in first], ["i-fast"])
        self.assertEqual(starts(harness.offer(job("1" * 16))), [])
