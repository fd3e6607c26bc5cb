"""Tests of what an entry does with tasks that were returned as overloaded."""

import unittest

from carobramp_core.cells.entry import Entry
from carobramp_core.cells.entry_events import (
    JobReceived,
    OwnerLinkOpened,
    OwnerMessageReceived,
)
from carobramp_core.cells.messages import (
    CapacityReport,
    Interrupted,
    NoResultReason,
    Refused,
    ReturnReason,
    TasksReturned,
    TasksStarted,
)
from carobramp_core.cells.tests.support import LIMITS, job
from carobramp_core.cells.tests.test_entry import JOB_ID, answers, offers
from carobramp_schema.generated.scheduling import SchedulingSettings

CELLS = ("tilburg", "breda", "delft", "gouda", "leiden")
FULL, IDLE = 0, 64000


class OverloadReturnTests(unittest.TestCase):
    """A job that waits at its home cell, which then returns it as overloaded."""

    def setUp(self):
        """Open links to five cells without free cores and submit a job."""
        self.now = 50.0
        scheduling = SchedulingSettings(expected_end_routing=True)
        self.entry = Entry("tilburg", LIMITS, scheduling)
        for cell in CELLS:
            self.entry.handle(OwnerLinkOpened(cell, 1), self.now)
            self.report(cell, FULL)
        self.entry.handle(JobReceived(job(JOB_ID, 2, target_ms=2000)), self.now)

    def receive(self, cell, message):
        """Let the entry handle a message of a cell's owner."""
        return self.entry.handle(OwnerMessageReceived(cell, message), self.now)

    def report(self, cell, free_cpu):
        """Let a cell's owner report its free cores."""
        self.receive(cell, CapacityReport(cell, 1, free_cpu, IDLE, 0.0))

    def refuse(self, cell, retry_after_s=2.0):
        """Let a cell return both tasks as overloaded."""
        reason = ReturnReason.OVERLOADED
        returned = TasksReturned(JOB_ID, (0, 1), reason, retry_after_s)
        return self.receive(cell, returned)

    def first_cell(self):
        """Return the cell to which the job was offered first."""
        return next(iter(self.entry.jobs[JOB_ID].offered_by_cell))

    def test_one_full_cell_ends_the_job(self):
        """Guards against a rejection while upstreams of another cell are idle."""
        self.report("delft", IDLE)
        effects = self.refuse(self.first_cell())
        ((cell, offer),) = offers(effects)
        self.assertEqual((cell, offer.indexes, answers(effects)), ("delft", (0, 1), []))
        self.assertTrue(offer.may_wait)

    def test_rejection_without_another_cell(self):
        """Guards against a job that is held or sent to cells that are full."""
        effects = self.refuse(self.first_cell())
        refused = Refused(NoResultReason.OVERLOADED, 2.0)
        self.assertEqual((offers(effects), answers(effects)), ([], [refused]))

    def test_three_offers_at_most_and_the_shortest_delay(self):
        """Guards against a job that goes through all cells while its time passes."""
        first = self.first_cell()
        for cell in CELLS:
            self.report(cell, IDLE)
        ((second, _),) = offers(self.refuse(first, 4.0))
        ((third, _),) = offers(self.refuse(second, 2.5))
        refused = Refused(NoResultReason.OVERLOADED, 2.5)
        self.assertEqual(answers(self.refuse(third, 3.0)), [refused])
        self.assertEqual(len({first, second, third}), 3)

    def test_cell_whose_report_is_old(self):
        """Guards against a rejection that waits for an owner which may be lost."""
        first = self.first_cell()
        self.report("delft", IDLE)
        self.now += LIMITS.report_max_age_s() + 0.01
        self.assertEqual(len(answers(self.refuse(first))), 1)

    def test_job_that_can_no_longer_be_useful(self):
        """Guards against work whose result comes too late, after a late return."""
        first = self.first_cell()
        self.now += job(target_ms=2000).useless_after_s() + 0.01
        self.report("delft", IDLE)
        self.assertEqual(offers(self.refuse(first)), [])

    def test_started_job_is_never_rejected_as_not_run(self):
        """Guards against the answer "not run" after one of the tasks has started."""
        first = self.first_cell()
        self.receive(first, TasksStarted(JOB_ID, (0,)))
        self.assertEqual(
            answers(self.refuse(first)), [Interrupted(NoResultReason.OVERLOADED)]
        )

    def test_decision_that_is_switched_off(self):
        """Guards against a change of behaviour without the setting."""
        self.entry.scheduling = SchedulingSettings()
        first = self.first_cell()
        self.report("delft", IDLE)
        effects = self.refuse(first)
        self.assertEqual((offers(effects), len(answers(effects))), ([], 1))
