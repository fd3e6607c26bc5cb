"""Tests of the owner and the entry of cells whose zone is evacuated."""

import unittest

from carobramp_core.cells.evacuation import Evacuations, EvacuationsRead
from carobramp_core.cells.messages import ReturnReason, TasksReturned, TasksStarted
from carobramp_core.cells.orders import EntryMessageReceived, RunEndKind
from carobramp_core.cells.tests.support import (
    OwnerHarness,
    ended,
    job,
    messages,
    running,
    starts,
    stops,
    upstream,
)

JOB_ID = "5c0e7a21d94b36f8"
NONE = frozenset()
OWN = frozenset({"tilburg"})


class OwnerCase(unittest.TestCase):
    """The owner of tilburg with one upstream, which has room for two tasks."""

    def setUp(self):
        """Let the upstream answer."""
        self.cell = OwnerHarness(upstream())
        self.cell.answer_poll()

    def read(self, version, zones):
        """Let the owner's process read the requests."""
        return self.cell.handle(EvacuationsRead(Evacuations(version, zones)))

    def tell(self, version, zones, entry="front-2"):
        """Let an entry tell the owner."""
        message = Evacuations(version, zones)
        return self.cell.handle(EntryMessageReceived(entry, message))

    def assert_returned(self, effects, *indexes):
        """Check that tasks went back as evacuated, and that nothing started."""
        (returned,) = messages(effects, TasksReturned)
        self.assertEqual(
            (returned.indexes, returned.reason), (indexes, ReturnReason.EVACUATED)
        )
        self.assertEqual((starts(effects), self.cell.owner.waiting), ([], []))


class EvacuatedOwnerTests(OwnerCase):
    """An owner whose zone is evacuated."""

    def test_offer_starts_after_the_owner_learned(self):
        """Guards against a start in an evacuated zone, whether or not it may wait."""
        self.read(1, OWN)
        for may_wait in (False, True):
            effects = self.cell.offer(job(tasks=2), may_wait=may_wait)
            self.assert_returned(effects, 0, 1)
            self.assertEqual(messages(effects, TasksStarted), [])

    def test_waiting_tasks_stay(self):
        """Guards against tasks that wait until the zone is taken back.

        Those that run go on.
        """
        first = self.cell.offer(job(tasks=3))
        self.assertEqual(len(starts(first)), 2)
        effects = self.read(1, OWN)
        self.assert_returned(effects, 2)
        self.assertEqual(stops(effects), [])

    def test_requeued_task_starts(self):
        """Guards against the restart of a task whose start was not answered."""
        (order,) = starts(self.cell.offer(job()))
        self.cell.lose_start(order)
        self.read(1, OWN)
        self.cell.now += 2.0
        self.assert_returned(self.cell.answer_poll(), 0)

    def test_resumed_offer_starts(self):
        """Guards against a start when the runs of the earlier owner are resolved.

        Its active run is attached and goes on; the other task goes back.
        """
        (order,) = starts(self.cell.offer(job()))
        self.cell = OwnerHarness(upstream(), upstream("i-2"), taken_over=True)
        self.read(1, OWN)
        self.cell.answer_poll(running=[running(order)])
        effects = self.cell.offer(job(tasks=2), resumed=True)
        self.assertEqual(messages(effects, TasksReturned), [])
        effects = self.cell.answer_poll("i-2")
        self.assert_returned(effects, 1)
        self.assertIn((JOB_ID, 0), self.cell.owner.runs)

    def test_report_shows_room(self):
        """Guards against entries that offer tasks to an evacuated cell."""
        self.read(4, OWN)
        report = self.cell.owner.capacity_report(self.cell.now)
        self.assertEqual(
            (report.free_cpu, report.evacuated, report.evacuations_version),
            (0, True, 4),
        )

    def test_other_zone_stops_this_one(self):
        """Guards against an evacuation that reaches too far."""
        self.read(1, frozenset({"breda"}))
        self.assertEqual(len(starts(self.cell.offer(job()))), 1)


class KnowledgeTests(OwnerCase):
    """What an owner knows of the requests, and from where."""

    def test_owner_that_the_store_rejects_starts(self):
        """Guards against an owner that hears of evacuations from the store alone."""
        self.tell(2, OWN)
        self.assert_returned(self.cell.offer(job()), 0)

    def test_older_set_replaces_a_newer_one(self):
        """Guards against an entry that lags behind and opens an evacuated zone."""
        self.read(5, OWN)
        self.tell(4, NONE)
        self.assert_returned(self.cell.offer(job()), 0)
        self.tell(6, NONE)
        self.read(5, OWN)
        self.assertEqual(len(starts(self.cell.offer(job()))), 1)

    def test_new_owner_starts_before_it_has_read(self):
        """Guards against starts of a process that does not know the requests."""
        self.cell.owner.evacuations = None
        effects = self.cell.offer(job())
        self.assertEqual((starts(effects), messages(effects, TasksReturned)), ([], []))
        self.assertEqual(self.cell.owner.capacity_report(self.cell.now).free_cpu, 0)
        self.cell.handle(EvacuationsRead(None))
        self.assertEqual(len(starts(self.read(1, NONE))), 1)

    def test_second_request_is_missed(self):
        """Guards against a zone that stays open when it is requested again."""
        for version, zones, count in ((1, OWN, 0), (2, NONE, 1), (3, OWN, 0)):
            self.read(version, zones)
            effects = self.cell.offer(job(f"{version:016x}"))
            self.assertEqual(len(starts(effects)), count, version)


class ColdUpstreamTests(OwnerCase):
    """Upstreams after the end of an evacuation."""

    def test_cold_upstream_gets_several_runs(self):
        """Guards against many jobs that are lost on upstreams that are cold."""
        owner = self.cell.owner
        owner.upstreams["i-1"].learn_speed(4.0)
        self.read(1, OWN)
        self.read(2, NONE)
        self.assertEqual(owner.upstreams["i-1"].relative_speed, 1.0)
        self.assertEqual(owner.upstreams["i-1"].speed_samples, 0)
        (order,) = starts(self.cell.offer(job(tasks=3)))
        self.cell.now += 0.01
        self.assertEqual(starts(self.cell.answer_poll(running=[running(order)])), [])
        self.cell.now += 0.09
        effects = self.cell.answer_poll(ended=[ended(order, RunEndKind.DONE)])
        self.assertEqual(len(starts(effects)), 2)


if __name__ == "__main__":
    unittest.main()
