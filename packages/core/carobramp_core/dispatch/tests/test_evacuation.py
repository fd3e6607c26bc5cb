"""Tests of evacuated availability zones in the dispatcher."""

import unittest

from carobramp_core.dispatch.messages import TaskNotStarted
from carobramp_core.dispatch.routing import POLICIES
from carobramp_core.dispatch.tests.support import ZONE, Driver, upstream_state
from carobramp_core.outcomes import JobDone, JobFailed, JobRefused, Reason, RetryReason
from carobramp_schema.generated.ticket import (
    Ticket,
    UpstreamChange,
    ZoneChange,
    ZoneState,
)

OTHER_ZONE = "breda"
REFUSED = TaskNotStarted(RetryReason.REFUSED_BUSY, "busy")


class EvacuationCase(unittest.TestCase):
    """Builds dispatchers whose state evacuates zones."""

    def start(self, slots=2, zones=(ZONE, OTHER_ZONE), **fields):
        """Build a dispatcher with one upstream in each zone."""
        upstreams = {f"up-{zone}": upstream_state(zone, slots) for zone in zones}
        self.driver = Driver(upstreams=upstreams, **fields)

    def set_zone(self, state, zone=ZONE):
        """Put a ticket into force that sets the state of a zone."""
        number = self.driver.state.number + 1
        last = self.driver.state.availability_zones.get(zone)
        change = ZoneChange(zone, last.number if last else 0, state)
        self.driver.apply_ticket(Ticket(number, "anna", availability_zones=[change]))

    def evacuate(self, zone=ZONE):
        """Put a ticket into force that evacuates a zone."""
        self.set_zone(ZoneState(evacuated=True), zone)

    def upstreams_of(self, starts):
        """Return the names of the upstreams of task starts."""
        return {start.upstream for start in starts}


class StartTests(EvacuationCase):
    """Upstreams of evacuated zones get no new task."""

    def test_tasks_go_to_other_zones(self):
        """Guards against a policy that still chooses an evacuated upstream."""
        for policy in POLICIES:
            with self.subTest(policy=policy):
                self.start(policy=policy, spill_threshold_ms=0)
                self.evacuate()
                self.driver.submit(tasks=2)
                found = self.upstreams_of(self.driver.starts())
                self.assertEqual(found, {f"up-{OTHER_ZONE}"})

    def test_waiting_tasks_run_elsewhere_and_active_runs_go_on(self):
        """Guards against waiting tasks that stay, and against runs that are stopped."""
        self.start(slots=3, spill_threshold_ms=600_000)
        self.driver.submit(tasks=5)
        runs = self.driver.starts()
        self.assertEqual(self.upstreams_of(runs), {f"up-{ZONE}"})
        self.evacuate()
        self.assertEqual(self.driver.cancels(), [])
        moved = self.driver.starts()
        self.assertEqual(self.upstreams_of(moved), {f"up-{OTHER_ZONE}"})
        self.assertEqual(len(runs) + len(moved), 5)
        for start in runs + moved:
            self.driver.answer(start)
        [done] = self.driver.finished()
        self.assertIsInstance(done, JobDone)

    def test_end_of_the_evacuation(self):
        """Guards against a zone that stays empty after the request is withdrawn."""
        for ended in (None, ZoneState(evacuated=False)):
            with self.subTest(ended=ended):
                self.start(zones=(ZONE,))
                self.evacuate()
                self.set_zone(ended)
                self.driver.submit()
                self.assertEqual(len(self.driver.starts()), 1)
                self.evacuate()
                self.driver.submit("late")
                self.assertEqual(self.driver.finished()[0].reason, Reason.EVACUATED)

    def test_new_upstream_of_an_evacuated_zone(self):
        """Guards against tasks for upstreams that come during the evacuation."""
        self.start()
        self.evacuate()
        change = UpstreamChange("new", 0, upstream_state(ZONE, slots=8))
        self.driver.apply_ticket(Ticket(3, "anna", upstreams=[change]))
        self.driver.submit(tasks=1)
        found = self.upstreams_of(self.driver.starts())
        self.assertEqual(found, {f"up-{OTHER_ZONE}"})


class EndTests(EvacuationCase):
    """Jobs that fit nowhere end at once, truthfully."""

    def test_submission_is_refused(self):
        """Guards against a job that waits until its deadline, or a vague reason."""
        self.start()
        self.evacuate()
        self.evacuate(OTHER_ZONE)
        self.driver.submit()
        [outcome] = self.driver.finished()
        self.assertIsInstance(outcome, JobRefused)
        self.assertEqual(outcome.reason, Reason.EVACUATED)
        self.assertGreater(outcome.retry_after, 0)
        self.assertIn(f"{OTHER_ZONE}, {ZONE}", outcome.detail)

    def test_leaving_upstreams_are_no_evacuation(self):
        """Guards against the reason evacuated where its end would not help."""
        self.start(zones=(ZONE,))
        leaving = upstream_state(ZONE, leaving=True)
        change = UpstreamChange(f"up-{ZONE}", 1, leaving)
        self.driver.apply_ticket(Ticket(2, "anna", upstreams=[change]))
        self.evacuate()
        self.driver.submit()
        self.assertEqual(self.driver.finished()[0].reason, Reason.NO_UPSTREAM)

    def test_waiting_jobs_end_at_once(self):
        """Guards against "not run" for a job of which a task runs."""
        self.start(zones=(ZONE,))
        self.driver.submit("running", tasks=1)
        runs = self.driver.starts()
        self.driver.submit("partial", tasks=3)
        runs += self.driver.starts()
        self.driver.submit("waiting", tasks=1)
        self.evacuate()
        failed, refused = self.driver.finished()
        self.assertIsInstance(failed, JobFailed)
        self.assertEqual((failed.reason, failed.not_run), (Reason.EVACUATED, False))
        self.assertIsInstance(refused, JobRefused)
        self.assertEqual(refused.reason, Reason.EVACUATED)
        self.assertEqual(set(self.driver.dispatcher.jobs), {"running"})
        self.driver.answer(runs[0])
        self.assertIsInstance(self.driver.finished()[0], JobDone)

    def test_task_that_was_refused_during_the_evacuation(self):
        """Guards against a task that comes back to a service without any zone."""
        self.start(zones=(ZONE,), retry_percent=100)
        self.driver.submit()
        [start] = self.driver.starts()
        self.evacuate()
        self.assertEqual(self.driver.finished(), [])
        self.driver.answer(start, REFUSED)
        [outcome] = self.driver.finished()
        self.assertIsInstance(outcome, JobRefused)
        self.assertEqual(outcome.reason, Reason.EVACUATED)


if __name__ == "__main__":
    unittest.main()
