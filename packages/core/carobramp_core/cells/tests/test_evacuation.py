"""Tests of the owner and the entry of cells whose zone is evacuated."""

import unittest

from carobramp_core.cells.entry_events import JobReceived, OwnerLinkOpened
from carobramp_core.cells.evacuation import Evacuations, EvacuationsRead
from carobramp_core.cells.messages import (
    CapacityReport,
    Interrupted,
    NoResultReason,
    Refused,
    ReturnReason,
    TasksReturned,
    TasksStarted,
)
from carobramp_core.cells.orders import EntryMessageReceived, RunEndKind, SendToOwner
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
from carobramp_core.cells.tests.test_entry import EntryCase, answers, offers

JOB_ID = "5c0e7a21d94b36f8"
NONE: frozenset[str] = frozenset()
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


class EvacuatedEntryTests(EntryCase):
    """An entry in tilburg with links to the owners of tilburg and breda."""

    def read(self, version, *zones):
        """Let the entry's process read the requests."""
        return self.handle(EvacuationsRead(Evacuations(version, frozenset(zones))))

    def report(self, cell, evacuated, version):
        """Let an owner report that its cell is evacuated, or not."""
        free = 0 if evacuated else 16000
        return self.receive(
            cell, CapacityReport(cell, 1, free, 16000, 0.0, evacuated, version)
        )

    def give_back(self, cell, *indexes):
        """Let an owner return tasks as evacuated."""
        return self.receive(
            cell, TasksReturned(JOB_ID, indexes, ReturnReason.EVACUATED)
        )

    def test_evacuated_cell_gets_offers(self):
        """Guards against offers to the home cell that come back."""
        self.read(1, "tilburg")
        self.assertEqual(self.submit().cell, "breda")

    def test_job_waits_at_an_evacuated_cell(self):
        """Guards against a job that waits where nothing starts, as the least loaded."""
        self.read(1, "tilburg")
        self.submit()
        message = TasksReturned(JOB_ID, (0, 1), ReturnReason.NO_CAPACITY)
        ((cell, offer),) = offers(self.receive("breda", message))
        self.assertEqual((cell, offer.may_wait), ("breda", True))

    def test_job_waits_while_all_zones_are_evacuated(self):
        """Guards against a job that is held although nothing can run it."""
        self.read(1, "tilburg", "breda")
        (outcome,) = answers(self.handle(JobReceived(job(JOB_ID))))
        self.assertEqual(outcome, Refused(NoResultReason.EVACUATED, 1.0))

    def test_job_with_a_started_task_is_said_not_to_have_run(self):
        """Guards against an untrue refusal when the other task comes back."""
        self.submit()
        self.receive("tilburg", TasksStarted(JOB_ID, (0,)))
        self.read(1, "tilburg", "breda")
        (outcome,) = answers(self.give_back("tilburg", 1))
        self.assertEqual(outcome, Interrupted(NoResultReason.EVACUATED))

    def test_returned_tasks_end_the_job(self):
        """Guards against a job that is given up although another zone could run it."""
        self.submit()
        ((cell, offer),) = offers(self.give_back("tilburg", 0, 1))
        self.assertEqual((cell, offer.indexes), ("breda", (0, 1)))
        (outcome,) = answers(self.give_back("breda", 0, 1))
        self.assertEqual(outcome, Refused(NoResultReason.EVACUATED, 1.0))

    def test_owner_hears_nothing(self):
        """Guards against an owner that the store rejects and that is not told.

        It has to hear before the first offer on its link, and of every change.
        """
        known = Evacuations(3, frozenset({"breda"}))
        sent = [SendToOwner(cell, known) for cell in ("breda", "tilburg")]
        self.assertEqual([e for e in self.read(3, "breda") if e in sent], sent)
        self.assertEqual(self.read(4, "breda"), [])
        present = Evacuations(4, frozenset({"breda"}))
        effects = self.handle(OwnerLinkOpened("breda", 2))
        self.assertEqual(effects, [SendToOwner("breda", present)])

    def test_owner_keeps_an_older_set(self):
        """Guards against an owner that believes an entry that lags behind."""
        self.read(5)
        effects = self.report("breda", True, 4)
        self.assertEqual(effects, [SendToOwner("breda", Evacuations(5, frozenset()))])
        self.assertEqual(self.report("breda", True, 6), [])

    def test_entry_that_the_store_rejects_makes_offers(self):
        """Guards against offers that come back while the entry cannot read the store.

        Of owner and store, the newer one is right, in both directions.
        """
        self.report("tilburg", True, 3)
        self.assertEqual(self.submit().cell, "breda")
        self.entry.jobs.clear()
        self.read(4)
        self.assertEqual(self.submit().cell, "tilburg")

    def test_open_job_does_not_come_back(self):
        """Guards against an open job that is refused after the end of an evacuation."""
        self.submit()
        self.give_back("tilburg", 0, 1)
        self.report("tilburg", True, 3)
        self.report("tilburg", False, 4)
        ((cell, _),) = offers(self.give_back("breda", 0, 1))
        self.assertEqual(cell, "tilburg")

    def test_older_set_replaces_a_newer_one(self):
        """Guards against a process that goes back to an earlier version."""
        self.read(5, "tilburg")
        self.read(4)
        self.assertEqual(self.submit().cell, "breda")


if __name__ == "__main__":
    unittest.main()
