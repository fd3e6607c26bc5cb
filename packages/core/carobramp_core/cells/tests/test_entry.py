"""Tests of the entry of jobs."""

import unittest

from carobramp_core.cells.entry import (
    AnswerCaller,
    CallerGone,
    Entry,
    EntryTick,
    JobReceived,
    OwnerLinkClosed,
    OwnerLinkOpened,
    OwnerMessageReceived,
    SendToOwner,
)
from carobramp_core.cells.messages import (
    CancelJob,
    CapacityReport,
    Completed,
    Failed,
    Interrupted,
    NoResultReason,
    Offer,
    Refused,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
    TasksStarted,
)
from carobramp_core.cells.tests.support import LIMITS, job

JOB_ID = "5c0e7a21d94b36f8"


class EntryCase(unittest.TestCase):
    """An entry in tilburg that has found the owners of two cells."""

    def setUp(self):
        """Bring about the situation of these tests."""
        self.now = 50.0
        self.entry = Entry("tilburg", LIMITS)
        for cell in ("breda", "tilburg"):
            self.handle(OwnerLinkOpened(cell, 1))
            self.tell(cell, CapacityReport(cell, 1, 16000, 16000, 0.0))

    def handle(self, event):
        """Handle an event now."""
        return self.entry.handle(event, self.now)

    def tell(self, cell, message):
        """Take a message of an owner."""
        return self.handle(OwnerMessageReceived(cell, message))

    def submit(self, tasks=2, **fields):
        """Submit a job and return its only offer."""
        effects = self.handle(JobReceived(job(JOB_ID, tasks, **fields)))
        (send,) = [effect for effect in effects if isinstance(effect, SendToOwner)]
        return send

    def end(self, cell, index, result=TaskResult.DONE, upstream="i-1"):
        """Let a task end."""
        return self.tell(cell, TaskEnded(JOB_ID, index, result, upstream))


def answers(effects):
    """Return the outcomes among effects."""
    return [effect.outcome for effect in effects if isinstance(effect, AnswerCaller)]


def offers(effects):
    """Return (cell, offer) of the offers among effects."""
    return [
        (effect.cell, effect.message)
        for effect in effects
        if isinstance(effect, SendToOwner) and isinstance(effect.message, Offer)
    ]


class PathTests(EntryCase):
    """Jobs that run to their end."""

    def test_home_cell_first_then_the_rest_elsewhere(self):
        """Guards against tasks that wait at home while another cell has room."""
        self.assertEqual(self.submit(tasks=3).cell, "tilburg")
        returned = TasksReturned(JOB_ID, (1, 2), ReturnReason.NO_CAPACITY)
        ((cell, offer),) = offers(self.tell("tilburg", returned))
        self.assertEqual((cell, offer.indexes), ("breda", (1, 2)))
        self.assertTrue(offer.committed)

    def test_new_owner_is_tried_before_its_first_report(self):
        """Guards against a cell that seems full until its owner reports room."""
        self.handle(OwnerLinkClosed("breda", self.now))
        self.handle(OwnerLinkOpened("breda", 2))
        self.submit()
        returned = TasksReturned(JOB_ID, (0, 1), ReturnReason.NO_CAPACITY)
        ((cell, offer),) = offers(self.tell("tilburg", returned))
        self.assertEqual((cell, offer.may_wait), ("breda", False))

    def test_answer_needs_every_task(self):
        """Guards against an answer that is only a part."""
        self.submit()
        self.assertEqual(answers(self.end("tilburg", 0)), [])
        self.assertEqual(answers(self.end("tilburg", 0)), [])
        self.assertEqual(answers(self.end("tilburg", 1)), [Completed()])

    def test_failed_only_after_all_attempts(self):
        """Guards against a job that fails before its attempts are used."""
        self.submit(tasks=1, max_attempts=2)
        effects = self.end("tilburg", 0, TaskResult.FAILED)
        ((_, offer),) = offers(effects)
        self.assertEqual(offer.avoid, ("i-1",))
        effects = self.end("tilburg", 0, TaskResult.FAILED, "i-2")
        self.assertEqual(answers(effects), [Failed()])

    def test_lost_run_is_no_attempt(self):
        """Guards against jobs that fail because upstreams died."""
        self.submit(tasks=1, max_attempts=1)
        effects = self.end("tilburg", 0, TaskResult.LOST)
        self.assertEqual((len(offers(effects)), answers(effects)), (1, []))

    def test_caller_that_leaves_withdraws_its_job(self):
        """Guards against work for callers that have gone."""
        self.submit()
        effects = self.handle(CallerGone(JOB_ID))
        cancels = [e for e in effects if isinstance(e, SendToOwner)]
        self.assertEqual([e.message for e in cancels], [CancelJob(JOB_ID)])


class RefusalTests(EntryCase):
    """Refusals that say whether the job has run."""

    def overloaded(self, cell):
        """Let a cell refuse all tasks."""
        indexes = (0, 1)
        message = TasksReturned(JOB_ID, indexes, ReturnReason.OVERLOADED, 2.0)
        return self.tell(cell, message)

    def test_untouched_job_is_refused_with_a_time(self):
        """Guards against refusals that do not say when to come back."""
        self.submit()
        (outcome,) = answers(self.overloaded("tilburg"))
        self.assertIsInstance(outcome, Refused)
        self.assertGreaterEqual(outcome.retry_after_s, 1.0)

    def test_started_job_is_never_said_not_to_have_run(self):
        """Guards against a refusal that claims that nothing ran."""
        self.submit()
        self.tell("tilburg", TasksStarted(JOB_ID, (0,)))
        (outcome,) = answers(self.overloaded("tilburg"))
        self.assertIsInstance(outcome, Interrupted)

    def test_tasks_elsewhere_count_as_started(self):
        """Guards against "not run" while another cell may start a task."""
        self.submit(tasks=2)
        self.tell("tilburg", TasksReturned(JOB_ID, (1,), ReturnReason.NO_CAPACITY))
        message = TasksReturned(JOB_ID, (1,), ReturnReason.OVERLOADED)
        (outcome,) = answers(self.tell("breda", message))
        self.assertIsInstance(outcome, Interrupted)

    def test_lost_owner_leaves_the_fate_open(self):
        """Guards against "not run" after the link to an owner was lost."""
        self.submit(target_ms=2000)
        self.handle(OwnerLinkClosed("tilburg", self.now))
        self.handle(OwnerLinkClosed("breda", self.now))
        self.now += LIMITS.run_end_after_link_loss_s() + 0.1
        self.handle(EntryTick())
        (outcome,) = answers(self.handle(EntryTick()))
        self.assertIsInstance(outcome, Interrupted)


class NoOwnerTests(unittest.TestCase):
    """An entry that has found no owner yet."""

    def setUp(self):
        """Bring about the situation of these tests."""
        self.entry = Entry("tilburg", LIMITS)
        self.effects = self.entry.handle(JobReceived(job(JOB_ID)), 50.0)

    def test_job_waits_for_an_owner(self):
        """Guards against refusals in the first moments after a start."""
        self.assertEqual(self.effects, [])
        ((cell, _),) = offers(self.entry.handle(OwnerLinkOpened("tilburg", 1), 50.04))
        self.assertEqual(cell, "tilburg")

    def test_refusal_comes_while_the_caller_has_time(self):
        """Guards against a refusal that comes too late to ask elsewhere."""
        (outcome,) = answers(self.entry.handle(EntryTick(), 50.06))
        self.assertEqual(outcome, Refused(NoResultReason.NO_OWNER, 1.0))


class OwnerLossTests(EntryCase):
    """Owners that are lost while their tasks run."""

    def test_next_owner_gets_resumed_tasks(self):
        """Guards against a second start of a task that the next owner adopts."""
        self.submit()
        self.handle(OwnerLinkClosed("tilburg", self.now))
        effects = self.handle(OwnerLinkOpened("tilburg", 2))
        ((cell, offer),) = offers(effects)
        self.assertEqual((cell, offer.resumed), ("tilburg", True))

    def test_resumed_job_is_never_said_not_to_have_run(self):
        """Guards against "not run" for a task that a former owner started.

        The message that told of the start was lost with the link; the next owner had
        no room and refused the job (soak, two of the seeds 3 to 16).
        """
        self.submit(tasks=1)
        self.handle(OwnerLinkClosed("tilburg", self.now))
        self.handle(OwnerLinkOpened("tilburg", 2))
        message = TasksReturned(JOB_ID, (0,), ReturnReason.OVERLOADED)
        (outcome,) = answers(self.tell("tilburg", message))
        self.assertIsInstance(outcome, Interrupted)

    def test_useless_job_is_given_up_at_once(self):
        """Guards against callers that wait for a job which nobody can finish in time.

        On inc-2b23 of rl-plates nine callers waited 1.3 s for a failure.
        """
        self.submit()
        self.now += LIMITS.link_timeout_s
        self.handle(OwnerLinkClosed("tilburg", self.now - LIMITS.link_timeout_s))
        self.now += 0.2
        (outcome,) = answers(self.handle(EntryTick()))
        self.assertEqual(outcome, Interrupted(NoResultReason.OWNER_LOST))

    def test_caller_that_was_given_up_asks_after_its_runs_are_over(self):
        """Guards against two runs when the caller asks again."""
        useless_s = job().useless_after_s()
        self.assertLess(
            LIMITS.run_end_after_link_loss_s(), useless_s + LIMITS.caller_retry_s
        )

    def test_elsewhere_only_when_the_runs_are_over(self):
        """Guards against two runs of a task on both sides of a cut."""
        self.submit(target_ms=2000)
        self.handle(OwnerLinkClosed("tilburg", self.now))
        self.now += LIMITS.lease_expiry_s()
        self.assertEqual(offers(self.handle(EntryTick())), [])
        self.now += LIMITS.run_end_after_link_loss_s()
        ((cell, _),) = offers(self.handle(EntryTick()))
        self.assertEqual(cell, "breda")
