"""Tests of the offers of an entry that follows the rooms in reports."""

import collections
import random
import unittest

from carobramp_core.cells.entry import Entry
from carobramp_core.cells.entry_events import (
    EntryTick,
    JobReceived,
    OwnerLinkClosed,
    OwnerLinkOpened,
    OwnerMessageReceived,
)
from carobramp_core.cells.messages import (
    CapacityReport,
    Completed,
    ReturnReason,
    ServiceRoom,
    TaskEnded,
    TaskResult,
    TasksReturned,
    TasksStarted,
)
from carobramp_core.cells.tests.support import LIMITS, SERVICE, job
from carobramp_core.cells.tests.test_entry import JOB_ID, answers, offers
from carobramp_schema.generated.scheduling import SchedulingSettings

TOTAL_CPU = 640000


def room_report(cell, startable, wait_s=0.0, speed=1.0, task_cpu=8000, free_cpu=None):
    """Build a report with one room; the free cores are those of the room."""
    room = ServiceRoom(SERVICE, task_cpu, startable, wait_s, speed)
    free_cpu = startable * task_cpu if free_cpu is None else free_cpu
    return CapacityReport(cell, 1, free_cpu, TOTAL_CPU, 0.0, rooms=(room,))


class RoutingCase(unittest.TestCase):
    """An entry in tilburg with links to three cells, of which breda is large."""

    def setUp(self):
        """Open links whose owners report room for 3, 20 and 5 tasks."""
        self.now = 50.0
        scheduling = SchedulingSettings(expected_end_routing=True)
        self.entry = Entry("tilburg", LIMITS, scheduling, rng=random.Random(1))
        for cell, startable in (("tilburg", 3), ("breda", 20), ("delft", 5)):
            self.handle(OwnerLinkOpened(cell, 1))
            self.report(room_report(cell, startable))

    def handle(self, event):
        """Let the entry handle an event and return the effects."""
        return self.entry.handle(event, self.now)

    def receive(self, cell, message):
        """Let the entry handle a message of a cell's owner."""
        return self.handle(OwnerMessageReceived(cell, message))

    def report(self, message):
        """Let the owner of a cell send a report."""
        return self.receive(message.cell, message)

    def submit(self, tasks, job_id=JOB_ID, **fields):
        """Submit a job; return cell, number of tasks and `may_wait` of each offer."""
        item = job(job_id, tasks, **({"target_ms": 2000} | fields))
        return summary(self.handle(JobReceived(item)))

    def return_tasks(self, cell, *indexes):
        """Let a cell return tasks for which it has no room now."""
        reason = ReturnReason.NO_CAPACITY
        return summary(self.receive(cell, TasksReturned(JOB_ID, indexes, reason)))


def summary(effects):
    """Return cell, number of tasks and `may_wait` of each offer among effects."""
    return [(cell, len(o.indexes), o.may_wait) for cell, o in offers(effects)]


class OfferTests(RoutingCase):
    """First and further offers of a job."""

    def test_own_offers_since_the_report(self):
        """Guards against jobs that all go to the places of the same report."""
        cells = [self.submit(3, f"job-{i}")[0][0] for i in range(3)]
        self.assertEqual(cells[0], "tilburg")
        self.assertNotIn("tilburg", cells[1:])
        self.now += 0.1
        self.report(room_report("tilburg", 3))
        self.assertEqual(self.submit(3, "job-4"), [("tilburg", 3, False)])

    def test_offer_that_a_report_does_not_contain(self):
        """Guards against counting places twice when a report and an offer cross."""
        self.submit(3, "job-1")
        self.now += 0.001
        self.report(room_report("tilburg", 3))
        self.assertNotEqual(self.submit(3, "job-2")[0][0], "tilburg")

    def test_many_upstreams_with_small_free_remainders(self):
        """Guards against offers in vain where free cores fit no task."""
        for cell in ("tilburg", "breda", "delft"):
            wait_s = 0.01 if cell == "tilburg" else 0.2
            self.report(room_report(cell, 0, wait_s, free_cpu=60000))
        self.assertEqual(self.submit(2), [("tilburg", 2, True)])

    def test_rest_of_a_split_job_goes_to_an_idle_cell(self):
        """Guards against a job that waits half at a full cell while another is idle."""
        self.report(room_report("breda", 4))
        first = self.submit(10)
        self.assertEqual(sum(tasks for _, tasks, _ in first), 10)
        self.assertFalse(any(may_wait for _, _, may_wait in first))
        self.now += 0.1
        self.report(room_report("tilburg", 0, 0.5))
        self.report(room_report("breda", 20))
        self.assertEqual(self.return_tasks("tilburg", 0, 1, 2), [("breda", 3, False)])

    def test_third_offer_may_wait(self):
        """Guards against a job that goes round the cells without ever waiting."""
        self.report(room_report("delft", 20))
        self.assertEqual(self.submit(3), [("tilburg", 3, False)])
        ((second, _, may_wait),) = self.return_tasks("tilburg", 0, 1, 2)
        self.assertFalse(may_wait)
        ((_, tasks, may_wait),) = self.return_tasks(second, 0, 1, 2)
        self.assertEqual((tasks, may_wait), (3, True))

    def test_larger_task_than_reported(self):
        """Guards against the room of small tasks counted for larger ones."""
        self.assertEqual(self.submit(3, cpu=16000), [("breda", 3, False)])

    def test_report_of_an_earlier_version(self):
        """Guards against a cell that is left out during a rolling update."""
        self.report(CapacityReport("tilburg", 1, 0, TOTAL_CPU, 5.0))
        self.report(CapacityReport("breda", 1, 0, TOTAL_CPU, 5.0))
        self.report(CapacityReport("delft", 1, 40000, TOTAL_CPU, 0.0))
        self.assertEqual(self.submit(2), [("delft", 2, False)])


class FailureTests(RoutingCase):
    """Links, owners and reports that fail halfway."""

    def test_link_closes_while_a_split_job_runs(self):
        """Guards against a lost part that ends the job or starts twice at once."""
        self.report(room_report("breda", 4))
        self.submit(7)
        self.receive("breda", TasksStarted(JOB_ID, (3, 4, 5, 6)))
        effects = self.handle(OwnerLinkClosed("breda", self.now))
        self.assertEqual((offers(effects), answers(effects)), ([], []))
        for index in range(3):
            done = TaskEnded(JOB_ID, index, TaskResult.DONE, "i-1")
            self.receive("tilburg", done)
        self.now += LIMITS.run_end_after_link_loss_s() + 0.1
        self.report(room_report("tilburg", 20))
        self.assertEqual(summary(self.handle(EntryTick())), [("tilburg", 4, False)])
        for index in range(3, 7):
            done = TaskEnded(JOB_ID, index, TaskResult.DONE, "i-1")
            effects = self.receive("tilburg", done)
        self.assertEqual(answers(effects), [Completed()])

    def test_owner_is_replaced_between_report_and_offer(self):
        """Guards against a new owner that is judged by the former one's room."""
        self.handle(OwnerLinkClosed("breda", self.now))
        self.handle(OwnerLinkOpened("breda", 2))
        self.report(room_report("tilburg", 0, 0.01))
        self.assertEqual(self.submit(4), [("delft", 4, False)])
        self.assertEqual(self.submit(4, "job-2"), [("tilburg", 4, True)])

    def test_report_that_stops(self):
        """Guards against offers to an owner that has been silent for long.

        Forty entries would all follow its last report.
        """
        self.now += LIMITS.report_max_age_s() + 0.01
        self.report(room_report("tilburg", 0, 0.3))
        self.report(room_report("delft", 40))
        cells = collections.Counter()
        for i in range(40):
            entry_job = self.submit(4, f"job-{i}")
            cells.update({cell: tasks for cell, tasks, _ in entry_job})
        self.assertNotIn("breda", cells)
        self.assertEqual(sum(cells.values()), 160)

    def test_zone_that_is_cut_off(self):
        """Guards against jobs that are held for cells that cannot be reached."""
        self.now += LIMITS.report_max_age_s() + 0.01
        self.report(room_report("tilburg", 2, 0.05))
        self.assertEqual(self.submit(4), [("tilburg", 4, True)])

    def test_no_cell_has_reported(self):
        """Guards against a job that is held until the next report has come."""
        self.now += 0.1
        self.report(room_report("breda", 20))
        self.now += LIMITS.report_max_age_s() + 0.01
        self.assertEqual(self.submit(4), [("tilburg", 4, False)])
        ((second, _, _),) = self.return_tasks("tilburg", 0, 1, 2, 3)
        self.assertEqual(second, "breda")

    def test_new_owner_before_its_first_report(self):
        """Guards against a new owner that counts as full until it has reported."""
        for cell in ("tilburg", "breda", "delft"):
            self.handle(OwnerLinkClosed(cell, self.now))
        self.handle(OwnerLinkOpened("breda", 2))
        self.assertEqual(self.submit(4), [("breda", 4, False)])

    def test_decision_that_is_switched_off(self):
        """Guards against a change of behaviour without the setting."""
        self.entry.scheduling = SchedulingSettings()
        self.report(room_report("tilburg", 0, 0.5))
        self.assertEqual(self.submit(4), [("tilburg", 4, False)])
        self.assertEqual(self.return_tasks("tilburg", 0), [("breda", 1, False)])
