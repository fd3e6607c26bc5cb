"""Tests of the routing policies."""

import unittest

from carobramp_core.dispatch.messages import LiveVmsUpdated, UpstreamReport
from carobramp_core.dispatch.routing import POLICIES
from carobramp_core.dispatch.tests.support import Driver, upstream_state
from carobramp_core.outcomes import JobDone, RetryReason


class PolicyTests(unittest.TestCase):
    """Properties of all policies."""

    def test_every_policy_serves_a_job(self):
        """Guards against a policy that raises an error or leaves tasks waiting."""
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
        """Guards against policies whose names differ from those of the schema."""
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
    """The default policy `earliest_finish`."""

    def test_the_faster_upstream_is_used_first(self):
        """Guards against starts on a slow upstream while a fast one is free."""
        upstreams = {
            "slow": upstream_state(speed_hint=0.5),
            "fast": upstream_state(speed_hint=2.0),
        }
        driver = Driver(upstreams=upstreams)
        driver.submit()
        self.assertEqual([s.upstream for s in driver.starts()], ["fast"])

    def test_waits_for_a_much_faster_upstream(self):
        """Guards against a start that finishes later than after a short wait."""
        upstreams = {
            "slow": upstream_state(speed_hint=0.1),
            "fast": upstream_state(speed_hint=2.0),
        }
        driver = Driver(upstreams=upstreams)
        driver.submit("first", tasks=2)
        starts = driver.starts()
        driver.advance(0.1)
        driver.submit("second")
        self.assertEqual(driver.starts(), [])
        driver.answer(starts[0])
        self.assertEqual([s.upstream for s in driver.starts()], ["fast"])

    def test_a_retry_does_not_wait_for_an_excluded_upstream(self):
        """Guards against a task that waits for an upstream that it must not use.

        After the only local upstream had crashed, tasks waited until their deadline
        although a remote upstream was free.
        """
        upstreams = {"local": upstream_state(), "remote": upstream_state("breda")}
        for reason in RetryReason:
            with self.subTest(reason=reason):
                driver = Driver(upstreams=upstreams, retry_percent=100)
                driver.submit("first", tasks=4, run_ms=1000.0, deadline=60.0)
                starts = driver.starts()
                local, other, remote = starts[0], starts[1], starts[-1]
                self.assertEqual([local.upstream, remote.upstream], ["local", "remote"])
                driver.answer(other)
                driver.answer_not_started(local, reason)
                self.assertEqual(driver.starts(), [])
                # The back-off of the local upstream ends in this time.
                for _ in range(20):
                    driver.advance(0.5)
                driver.answer(remote)
                self.assertEqual([s.upstream for s in driver.starts()], ["remote"])

    def test_a_long_queue_also_uses_slow_upstreams(self):
        """Guards against slow upstreams that stay idle while many tasks wait."""
        upstreams = {
            "slow": upstream_state(speed_hint=0.5),
            "fast": upstream_state(speed_hint=2.0),
        }
        driver = Driver(upstreams=upstreams)
        driver.submit(tasks=50)
        self.assertEqual({s.upstream for s in driver.starts()}, {"slow", "fast"})

    def test_speed_is_learned(self):
        """Guards against a slow upstream that gets as many tasks as a fast one."""
        upstreams = {f"up-{n}": upstream_state(slots=8) for n in range(2)}
        driver = Driver(upstreams=upstreams)
        for number in range(60):
            driver.submit(f"job-{number}")
            [start] = driver.starts()
            driver.now += 0.4 if start.upstream == "up-0" else 0.1
            driver.answer(start)
        driver.advance(0.5)
        driver.submit("next")
        self.assertEqual(driver.starts()[0].upstream, "up-1")
        speeds = {u.name: u.speed for u in driver.dispatcher.upstream_status(0)}
        self.assertGreater(speeds["up-1"] / speeds["up-0"], 2)

    def test_declared_run_times_are_corrected(self):
        """Guards against estimates from declared run times that are always wrong."""
        driver = Driver()
        for number in range(30):
            driver.submit(f"job-{number}", run_ms=100.0)
            driver.now += 1.0
            driver.answer(driver.starts()[0])
        estimator = driver.dispatcher.pools["desk"].estimator("interactive")
        self.assertAlmostEqual(estimator.expected_ms(100), 1000, delta=50)

    def test_slots_of_other_vms_are_left_free(self):
        """Guards against tasks that queue at upstreams loaded by other VMs."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=8)})
        driver.handle(LiveVmsUpdated(zone_vms=4, all_vms=4))
        driver.submit("first")
        driver.answer(driver.starts()[0], report=UpstreamReport(6, 8, False))
        driver.submit("second", tasks=5)
        self.assertEqual(len(driver.starts()), 2)

    def test_each_vm_may_use_its_equal_share_of_the_slots(self):
        """Guards against a VM that gets no slots because others use all."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=8)})
        driver.handle(LiveVmsUpdated(zone_vms=2, all_vms=2))
        driver.submit("first")
        driver.answer(driver.starts()[0], report=UpstreamReport(20, 8, False))
        driver.submit("second", tasks=9)
        self.assertEqual(len(driver.starts()), 4)

    def test_a_straggling_upstream_gets_no_new_work(self):
        """Guards against tasks for an upstream that no longer makes progress."""
        upstreams = {f"up-{n}": upstream_state(slots=4) for n in range(2)}
        driver = Driver(upstreams=upstreams)
        driver.submit("first", tasks=2, deadline=30)
        stuck, fine = driver.starts()
        self.assertNotEqual(stuck.upstream, fine.upstream)
        driver.now += 0.1
        driver.answer(fine)
        driver.advance(1.0)
        driver.submit("second", tasks=3)
        self.assertEqual({s.upstream for s in driver.starts()}, {fine.upstream})


class ZoneTests(unittest.TestCase):
    """Local upstreams first; remote ones when earlier by the spill threshold."""

    def setUp(self):
        """Build the dispatcher of each test."""
        self.upstreams = {
            "local": upstream_state(slots=2),
            "remote": upstream_state("breda", slots=8),
        }

    def test_the_local_zone_is_used_first(self):
        """Guards against unnecessary traffic between zones."""
        driver = Driver(upstreams=self.upstreams)
        driver.submit(tasks=2)
        self.assertEqual([s.upstream for s in driver.starts()], ["local", "local"])

    def test_remote_upstreams_are_used_when_the_local_ones_are_full(self):
        """Guards against tasks that wait while remote upstreams are idle."""
        driver = Driver(upstreams=self.upstreams)
        driver.submit(tasks=8)
        names = [s.upstream for s in driver.starts()]
        self.assertIn("remote", names)

    def test_a_high_spill_threshold_keeps_tasks_in_the_local_zone(self):
        """Guards against the use of remote upstreams for a small advantage."""
        driver = Driver(upstreams=self.upstreams, spill_threshold_ms=5000)
        driver.submit(tasks=8)
        self.assertEqual({s.upstream for s in driver.starts()}, {"local"})

    def test_remote_upstreams_serve_when_there_is_no_local_one(self):
        """Guards against a VM that fails together with its local upstreams."""
        driver = Driver(upstreams={"remote": self.upstreams["remote"]})
        driver.submit()
        self.assertEqual([s.upstream for s in driver.starts()], ["remote"])

    def test_upstreams_of_an_unreachable_zone_are_not_tried_one_by_one(self):
        """Guards against a retry for each upstream of an unreachable zone."""
        remote = {f"remote-{n}": upstream_state("breda") for n in range(40)}
        driver = Driver(upstreams=remote | {"local": upstream_state(slots=1)})
        driver.submit("first", tasks=6, run_ms=1000, deadline=300)
        pending = [s for s in driver.starts() if s.upstream != "local"]
        self.assertGreaterEqual(len(pending), 3)
        driver.submit("second", tasks=1, run_ms=1000, deadline=300)
        while pending:
            driver.answer_not_started(pending.pop(), RetryReason.CONNECT_FAILED)
            pending += [s for s in driver.starts() if s.upstream != "local"]
        driver.submit("third", tasks=60, run_ms=1000, deadline=300)
        self.assertEqual(driver.starts(), [])
        self.assertEqual(driver.finished(), [])


if __name__ == "__main__":
    unittest.main()
