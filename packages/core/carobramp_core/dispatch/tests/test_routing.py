"""Which upstream a task goes to."""

import unittest

from carobramp_core.dispatch.messages import LiveVmsUpdated, UpstreamReport
from carobramp_core.dispatch.routing import POLICIES
from carobramp_core.dispatch.tests.support import Driver, upstream_state
from carobramp_core.outcomes import JobDone, RetryReason


class PolicyTests(unittest.TestCase):
    """All policies behind the one interface."""

    def test_every_policy_serves_a_job(self):
        """Guards against a policy name that no code stands behind."""
        upstreams = {f"up-{n}": upstream_state() for n in range(3)}
        for name in POLICIES:
            with self.subTest(policy=name):
                driver = Driver(upstreams=upstreams, policy=name)
                driver.submit(tasks=8)
                pending = driver.starts()
                while pending:
                    driver.answer(pending.pop(0))
                    pending += driver.starts()
                self.assertIsInstance(driver.finished()[0], JobDone)

    def test_the_schema_names_all_policies(self):
        """Guards against a policy that no ticket can choose."""
        names = {
            "earliest_finish",
            "random",
            "round_robin",
            "least_outstanding",
            "two_choices",
            "static_share",
        }
        self.assertEqual(set(POLICIES), names)


class EarliestFinishTests(unittest.TestCase):
    """The default policy."""

    def test_the_faster_upstream_first(self):
        """Guards against starts on a slow upstream while a fast one is free."""
        upstreams = {
            "slow": upstream_state(speed_hint=0.5),
            "fast": upstream_state(speed_hint=2.0),
        }
        driver = Driver(upstreams=upstreams)
        driver.submit()
        self.assertEqual([s.upstream for s in driver.starts()], ["fast"])

    def test_waits_for_a_much_faster_upstream(self):
        """Guards against a start that ends later than a short wait would."""
        upstreams = {
            "slow": upstream_state(speed_hint=0.1),
            "fast": upstream_state(speed_hint=2.0),
        }
        driver = Driver(upstreams=upstreams)
        driver.submit("first", tasks=2)
        starts = driver.starts()
        driver.after(0.1)
        driver.submit("second")
        self.assertEqual(driver.starts(), [])
        driver.answer(starts[0])
        self.assertEqual([s.upstream for s in driver.starts()], ["fast"])

    def test_a_retry_does_not_wait_for_the_upstream_that_refused(self):
        """Guards against a task that waits for what it must not use again.

        After the upstream of the own zone had died, tasks waited until their
        deadline while the upstream of another zone was free.
        """
        upstreams = {"near": upstream_state(), "far": upstream_state("breda")}
        for reason in RetryReason:
            with self.subTest(reason=reason):
                driver = Driver(upstreams=upstreams, retry_percent=100)
                driver.submit("first", tasks=4, run_ms=1000.0, deadline=60.0)
                starts = driver.starts()
                near, other, far = starts[0], starts[1], starts[-1]
                self.assertEqual([near.upstream, far.upstream], ["near", "far"])
                driver.answer(other)
                driver.refuse(near, reason)
                self.assertEqual(driver.starts(), [])
                # The back-off of the own zone's upstream ends meanwhile.
                for _ in range(20):
                    driver.after(0.5)
                driver.answer(far)
                self.assertEqual([s.upstream for s in driver.starts()], ["far"])

    def test_a_slow_upstream_helps_with_a_long_queue(self):
        """Guards against slow upstreams that stay idle under load."""
        upstreams = {
            "slow": upstream_state(speed_hint=0.5),
            "fast": upstream_state(speed_hint=2.0),
        }
        driver = Driver(upstreams=upstreams)
        driver.submit(tasks=50)
        self.assertEqual({s.upstream for s in driver.starts()}, {"slow", "fast"})

    def test_speed_is_learned(self):
        """Guards against a slow upstream that keeps getting tasks."""
        upstreams = {f"up-{n}": upstream_state(slots=8) for n in range(2)}
        driver = Driver(upstreams=upstreams)
        for number in range(60):
            driver.submit(f"job-{number}")
            [start] = driver.starts()
            driver.now += 0.4 if start.upstream == "up-0" else 0.1
            driver.answer(start)
        driver.after(0.5)
        driver.submit("next")
        self.assertEqual(driver.starts()[0].upstream, "up-1")
        speeds = {u.name: u.speed for u in driver.dispatcher.upstream_status(0)}
        self.assertGreater(speeds["up-1"] / speeds["up-0"], 2)

    def test_declared_run_times_are_corrected(self):
        """Guards against estimates from run times that are off by ten."""
        driver = Driver()
        for number in range(30):
            driver.submit(f"job-{number}", run_ms=100.0)
            driver.now += 1.0
            driver.answer(driver.starts()[0])
        times = driver.dispatcher.pools["desk"].runtimes("interactive")
        self.assertAlmostEqual(times.expected_ms(100), 1000, delta=50)

    def test_slots_of_other_vms_are_left_free(self):
        """Guards against queueing at upstreams that other VMs fill."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=8)})
        driver.event(LiveVmsUpdated(zone_vms=4, all_vms=4))
        driver.submit("first")
        driver.answer(driver.starts()[0], report=UpstreamReport(6, 8, False))
        driver.submit("second", tasks=5)
        self.assertEqual(len(driver.starts()), 2)

    def test_an_equal_share_is_always_kept(self):
        """Guards against a VM that others crowd out."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=8)})
        driver.event(LiveVmsUpdated(zone_vms=2, all_vms=2))
        driver.submit("first")
        driver.answer(driver.starts()[0], report=UpstreamReport(20, 8, False))
        driver.submit("second", tasks=9)
        self.assertEqual(len(driver.starts()), 4)

    def test_a_straggling_upstream_gets_no_new_work(self):
        """Guards against tasks for an upstream that has come to a halt."""
        upstreams = {f"up-{n}": upstream_state(slots=4) for n in range(2)}
        driver = Driver(upstreams=upstreams)
        driver.submit("first", tasks=2, deadline=30)
        stuck, fine = driver.starts()
        self.assertNotEqual(stuck.upstream, fine.upstream)
        driver.now += 0.1
        driver.answer(fine)
        driver.after(1.0)
        driver.submit("second", tasks=3)
        self.assertEqual({s.upstream for s in driver.starts()}, {fine.upstream})


class ZoneTests(unittest.TestCase):
    """Own zone first; other zones when they are earlier by the threshold."""

    def setUp(self):
        """Build the dispatcher of each test."""
        self.upstreams = {
            "near": upstream_state(slots=2),
            "far": upstream_state("breda", slots=8),
        }

    def test_own_zone_first(self):
        """Guards against traffic between zones without need."""
        driver = Driver(upstreams=self.upstreams)
        driver.submit(tasks=2)
        self.assertEqual([s.upstream for s in driver.starts()], ["near", "near"])

    def test_spills_when_the_own_zone_is_full(self):
        """Guards against a queue beside idle upstreams of another zone."""
        driver = Driver(upstreams=self.upstreams)
        driver.submit(tasks=8)
        names = [s.upstream for s in driver.starts()]
        self.assertIn("far", names)

    def test_a_high_threshold_keeps_tasks_in_the_zone(self):
        """Guards against a spill for a small advantage."""
        driver = Driver(upstreams=self.upstreams, spill_threshold_ms=5000)
        driver.submit(tasks=8)
        self.assertEqual({s.upstream for s in driver.starts()}, {"near"})

    def test_works_without_its_own_zone(self):
        """Guards against a VM that stops with its zone's upstreams."""
        driver = Driver(upstreams={"far": self.upstreams["far"]})
        driver.submit()
        self.assertEqual([s.upstream for s in driver.starts()], ["far"])

    def test_a_zone_that_is_cut_off_is_not_tried_one_by_one(self):
        """Guards against a retry for each upstream of an unreachable zone."""
        far = {f"far-{n}": upstream_state("breda") for n in range(40)}
        driver = Driver(upstreams=far | {"near": upstream_state(slots=1)})
        driver.submit("first", tasks=6, run_ms=1000, deadline=300)
        pending = [s for s in driver.starts() if s.upstream != "near"]
        self.assertGreaterEqual(len(pending), 3)
        driver.submit("second", tasks=1, run_ms=1000, deadline=300)
        while pending:
            driver.refuse(pending.pop(), RetryReason.CONNECT_FAILED)
            pending += [s for s in driver.starts() if s.upstream != "near"]
        driver.submit("third", tasks=60, run_ms=1000, deadline=300)
        self.assertEqual(driver.starts(), [])
        self.assertEqual(driver.finished(), [])


if __name__ == "__main__":
    unittest.main()
