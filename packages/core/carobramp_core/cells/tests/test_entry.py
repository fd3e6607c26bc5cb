"""Tests of the entry state machine."""

import unittest

from carobramp_core.cells.entry import Entry
from carobramp_core.cells.entry_events import (
    AnswerCaller,
    CallerGone,
    CancelRequested,
    DrainStarted,
    EntryTick,
    JobReceived,
    LongPauseEnded,
    OwnerLinkClosed,
    OwnerLinkOpened,
    OwnerMessageReceived,
)
from carobramp_core.cells.messages import (
    CancelJob,
    Cancelled,
    CancelRequest,
    CapacityReport,
    Completed,
    Failed,
    Interrupted,
    JobCancelled,
    NoResultReason,
    Offer,
    Refused,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
    TasksStarted,
    UpstreamNames,
)
from carobramp_core.cells.orders import SendToOwner
from carobramp_core.cells.tests.support import LIMITS, job

JOB_ID = "5c0e7a21d94b36f8"


class EntryCase(unittest.TestCase):
    """An entry in tilburg with links to the owners of two cells."""

    def setUp(self):
        """Open links to both owners, which report free capacity."""
        self.now = 50.0
        self.entry = Entry("tilburg", LIMITS)
        for cell in ("breda", "tilburg"):
            self.handle(OwnerLinkOpened(cell, 1))
            self.receive(cell, CapacityReport(cell, 1, 16000, 16000, 0.0))

    def handle(self, event):
        """Let the entry handle an event and return the effects."""
        return self.entry.handle(event, self.now)

    def receive(self, cell, message):
        """Let the entry handle a message of a cell's owner."""
        return self.handle(OwnerMessageReceived(cell, message))

    def submit(self, tasks=2, **fields):
        """Submit a job and return the only message, its offer, with the cell."""
        effects = self.handle(JobReceived(job(JOB_ID, tasks, **fields)))
        (send,) = [effect for effect in effects if isinstance(effect, SendToOwner)]
        return send

    def end(self, cell, index, result=TaskResult.DONE, upstream="i-1"):
        """Let a cell's owner report the end of a run of a task."""
        return self.receive(cell, TaskEnded(JOB_ID, index, result, upstream))


def answers(effects):
    """Return the outcomes among effects."""
    return [effect.outcome for effect in effects if isinstance(effect, AnswerCaller)]


def offers(effects):
    """Return the offers among effects as pairs of cell and offer."""
    return [
        (effect.cell, effect.message)
        for effect in effects
        if isinstance(effect, SendToOwner) and isinstance(effect.message, Offer)
    ]


class LongPauseTests(EntryCase):
    """Jobs and requests of a process that was paused."""

    def test_job_is_kept_after_a_long_pause(self):
        """Guards against tasks that start after their caller has asked elsewhere."""
        cell = self.submit(target_ms=9000).cell
        self.now += 4.0
        effects = self.handle(LongPauseEnded())
        interrupted = Interrupted(NoResultReason.INTERRUPTED)
        self.assertEqual(answers(effects), [interrupted])
        self.assertIn(SendToOwner(cell, CancelJob(JOB_ID)), effects)

    def test_request_that_has_waited_during_the_pause_is_run(self):
        """Guards against tasks that start after their caller has asked elsewhere."""
        self.handle(LongPauseEnded())
        effects = self.handle(JobReceived(job(JOB_ID)))
        refused = Refused(NoResultReason.INTERRUPTED, 1.0)
        self.assertEqual((answers(effects), offers(effects)), ([refused], []))
        self.now += LIMITS.pause_settle_s
        self.assertIsInstance(self.submit().message, Offer)

    def test_callers_ask_elsewhere_during_a_pause_that_is_not_long(self):
        """Guards against limits that leave time for a second run."""
        pause_s = LIMITS.lease_s
        self.assertFalse(LIMITS.is_long_pause(pause_s))
        self.assertLess(pause_s + LIMITS.pause_settle_s, LIMITS.caller_retry_s)


class TakeoverInARowTests(EntryCase):
    """Cells whose owner is replaced twice within moments."""

    def replace_owner(self, token, *names):
        """Let an owner that lists some upstreams take the cell over.

        Returns the offers that it gets.
        """
        self.handle(OwnerLinkClosed("tilburg", self.now))
        effects = self.handle(OwnerLinkOpened("tilburg", token))
        self.receive("tilburg", UpstreamNames(names))
        return [offer for _, offer in offers(effects)]

    def setUp(self):
        """Start a job at an owner that lists two upstreams."""
        super().setUp()
        self.receive("tilburg", UpstreamNames(("i-1", "i-2")))
        self.submit()
        self.receive("tilburg", TasksStarted(JOB_ID, (0, 1)))

    def test_owner_with_a_short_list_hides_a_run_from_the_next_owner(self):
        """Guards against two runs of a task after two takeovers in a row.

        Entries of upstreams expire while a zone is cut off from the store, so that the
        first new owner lists few of them.
        """
        (first,) = self.replace_owner(2, "i-2")
        self.assertEqual(first.members, ("i-1", "i-2"))
        self.now += 0.3
        (second,) = self.replace_owner(3, "i-2")
        self.assertEqual(second.members, ("i-1", "i-2"))

    def test_upstream_that_is_long_gone_is_waited_for(self):
        """Guards against tasks that wait for an upstream whose runs are over."""
        self.replace_owner(2, "i-2")
        self.now += LIMITS.run_end_after_link_loss_s() + 0.1
        (offer,) = self.replace_owner(3, "i-2")
        self.assertEqual(offer.members, ("i-2",))


class CancellationTests(EntryCase):
    """Jobs that callers cancel."""

    def cancel(self):
        """Let a caller cancel the job at this entry."""
        return self.handle(CancelRequested(JOB_ID))

    def test_cancelled_job_runs_on(self):
        """Guards against work that goes on after its cancellation was acknowledged."""
        cell = self.submit().cell
        effects = self.cancel()
        self.assertEqual(answers(effects), [Cancelled()])
        self.assertIn(SendToOwner(cell, CancelJob(JOB_ID)), effects)

    def test_job_of_another_entry_is_not_cancelled(self):
        """Guards against a cancellation that only this entry knows."""
        expected = [SendToOwner(c, CancelRequest(JOB_ID)) for c in ("breda", "tilburg")]
        self.assertEqual(self.cancel(), expected)

    def test_cancellation_is_lost_with_the_owner_that_was_told(self):
        """Guards against a job that goes on at the next owner of its cell.

        The owner that was told may have been frozen or cut off already.
        """
        self.cancel()
        self.handle(OwnerLinkClosed("tilburg", self.now))
        self.now += 0.5
        effects = self.handle(OwnerLinkOpened("tilburg", 2))
        self.assertEqual(effects, [SendToOwner("tilburg", CancelRequest(JOB_ID))])
        self.now += LIMITS.cancel_retention_s
        self.handle(OwnerLinkClosed("tilburg", self.now))
        self.assertEqual(self.handle(OwnerLinkOpened("tilburg", 3)), [])

    def test_job_that_was_cancelled_elsewhere_is_kept(self):
        """Guards against a caller who waits for a job that was cancelled."""
        cell = self.submit().cell
        effects = self.receive(cell, JobCancelled(JOB_ID))
        self.assertEqual(answers(effects), [Cancelled()])
        self.assertEqual(self.entry.jobs, {})

    def test_cancelled_job_that_is_sent_again_is_offered(self):
        """Guards against a start long after the cancellation."""
        self.cancel()
        again = self.handle(JobReceived(job(JOB_ID)))
        self.assertEqual((answers(again), offers(again)), ([Cancelled()], []))
        self.now += LIMITS.cancel_retention_s + 1
        self.handle(CancelRequested("0" * 16))
        self.assertEqual(list(self.entry.cancelled_jobs), ["0" * 16])

    def test_owner_that_cannot_be_told(self):
        """Guards against an acknowledgement while a cell's owner cannot be reached."""
        self.receive("breda", UpstreamNames(()))
        self.assertTrue(self.entry.can_forward_cancellations(self.now))
        self.handle(OwnerLinkClosed("breda", self.now))
        self.assertFalse(self.entry.can_forward_cancellations(self.now))
        self.assertFalse(Entry("tilburg", LIMITS).can_forward_cancellations(self.now))

    def test_cell_that_stays_without_an_owner(self):
        """Guards against cancellations that are rejected for good.

        Nobody owns the cell of a zone that is lost with its upstreams. A request that
        its owner cannot get goes to all entries, one of which may still have a link.
        """
        self.receive("breda", UpstreamNames(()))
        self.handle(OwnerLinkClosed("breda", self.now))
        self.now += LIMITS.run_end_after_link_loss_s()
        self.assertTrue(self.entry.can_forward_cancellations(self.now))
        request = CancelRequest(JOB_ID, to_entries=True)
        self.assertEqual(self.cancel(), [SendToOwner("tilburg", request)])
        self.handle(OwnerLinkOpened("breda", 2))
        request = CancelRequest("0" * 16)
        effects = self.handle(CancelRequested("0" * 16))
        self.assertIn(SendToOwner("tilburg", request), effects)

    def test_daemon_without_a_link(self):
        """Guards against an acknowledgement by a daemon that is cut off from all."""
        for cell in ("breda", "tilburg"):
            self.receive(cell, UpstreamNames(()))
            self.handle(OwnerLinkClosed(cell, self.now))
        self.assertFalse(self.entry.can_forward_cancellations(self.now + 60.0))


class DrainTests(EntryCase):
    """Open jobs of an entry whose process is about to stop."""

    def drain(self, seconds):
        """Announce the stop; return the outcomes of jobs that end at once."""
        return answers(self.handle(DrainStarted(self.now + seconds)))

    def tick(self, seconds):
        """Let time pass and return the outcomes of the jobs that end."""
        self.now += seconds
        return answers(self.handle(EntryTick()))

    def test_planned_stop_cuts_off_a_job_that_waits(self):
        """Guards against connections that close without an answer.

        Jobs whose callers wait for longer than the grace time were open when the
        process ended.
        """
        cell = self.submit(target_ms=9000).cell
        self.assertEqual(self.drain(2.0), [])
        self.assertEqual(self.tick(1.0), [])
        self.now += 0.95
        effects = self.handle(EntryTick())
        draining = Interrupted(NoResultReason.DRAINING)
        self.assertEqual(answers(effects), [draining])
        self.assertIn(SendToOwner(cell, CancelJob(JOB_ID)), effects)

    def test_job_that_cannot_end_before_the_stop_is_kept(self):
        """Guards against callers that wait for an answer which is already known."""
        self.submit(estimate_ms=3000.0, target_ms=9000)
        self.assertEqual(self.drain(2.0), [Interrupted(NoResultReason.DRAINING)])

    def test_job_that_has_started_is_ended_before_the_last_moment(self):
        """Guards against work that is thrown away although it could end in time."""
        cell = self.submit(estimate_ms=3000.0).cell
        self.receive(cell, TasksStarted(JOB_ID, (0, 1)))
        self.assertEqual(self.drain(2.0), [])
        self.assertEqual(self.tick(1.9), [])
        self.assertEqual(self.tick(0.2), [Interrupted(NoResultReason.DRAINING)])

    def test_job_that_comes_too_late_is_offered(self):
        """Guards against a job that is interrupted although it need not have run."""
        self.drain(2.0)
        (outcome,) = answers(
            self.handle(JobReceived(job(JOB_ID, 2, estimate_ms=3000.0)))
        )
        self.assertEqual(outcome, Refused(NoResultReason.DRAINING, 1.0))


class OfferTests(EntryCase):
    """Offers of tasks to owners and the end of jobs."""

    def test_home_cell_gets_the_first_offer_and_others_the_rest(self):
        """Guards against tasks that wait at the home cell despite free capacity."""
        self.assertEqual(self.submit(tasks=3).cell, "tilburg")
        returned = TasksReturned(JOB_ID, (1, 2), ReturnReason.NO_CAPACITY)
        ((cell, offer),) = offers(self.receive("tilburg", returned))
        self.assertEqual((cell, offer.indexes), ("breda", (1, 2)))
        self.assertTrue(offer.committed)

    def test_new_owner_is_tried_before_its_first_report(self):
        """Guards against a cell that counts as full until its owner has reported."""
        self.handle(OwnerLinkClosed("breda", self.now))
        self.handle(OwnerLinkOpened("breda", 2))
        self.submit()
        returned = TasksReturned(JOB_ID, (0, 1), ReturnReason.NO_CAPACITY)
        ((cell, offer),) = offers(self.receive("tilburg", returned))
        self.assertEqual((cell, offer.may_wait), ("breda", False))

    def test_job_completes_when_every_task_is_done(self):
        """Guards against an answer before all tasks are done, also on duplicates."""
        self.submit()
        self.assertEqual(answers(self.end("tilburg", 0)), [])
        self.assertEqual(answers(self.end("tilburg", 0)), [])
        self.assertEqual(answers(self.end("tilburg", 1)), [Completed()])

    def test_job_fails_only_after_all_attempts(self):
        """Guards against a job that fails before its attempts are used up."""
        self.submit(tasks=1, max_attempts=2)
        effects = self.end("tilburg", 0, TaskResult.FAILED)
        ((_, offer),) = offers(effects)
        self.assertEqual(offer.avoid, ("i-1",))
        effects = self.end("tilburg", 0, TaskResult.FAILED, "i-2")
        self.assertEqual(answers(effects), [Failed()])

    def test_lost_run_does_not_count_as_an_attempt(self):
        """Guards against jobs that fail because upstreams crashed."""
        self.submit(tasks=1, max_attempts=1)
        effects = self.end("tilburg", 0, TaskResult.LOST)
        self.assertEqual((len(offers(effects)), answers(effects)), (1, []))

    def test_job_is_cancelled_when_its_caller_disconnects(self):
        """Guards against work for callers that have disconnected."""
        self.submit()
        effects = self.handle(CallerGone(JOB_ID))
        cancels = [e for e in effects if isinstance(e, SendToOwner)]
        self.assertEqual([e.message for e in cancels], [CancelJob(JOB_ID)])


class RefusalTests(EntryCase):
    """Outcomes that tell the caller whether the job may have run."""

    def return_overloaded(self, cell):
        """Let a cell's owner return both tasks as overloaded."""
        indexes = (0, 1)
        message = TasksReturned(JOB_ID, indexes, ReturnReason.OVERLOADED, 2.0)
        return self.receive(cell, message)

    def test_refusal_contains_a_retry_delay(self):
        """Guards against refusals that do not tell the caller when to retry."""
        self.submit()
        (outcome,) = answers(self.return_overloaded("tilburg"))
        self.assertIsInstance(outcome, Refused)
        self.assertGreaterEqual(outcome.retry_after_s, 1.0)

    def test_started_job_is_interrupted_instead_of_refused(self):
        """Guards against the answer "not run" for a job with a started task."""
        self.submit()
        self.receive("tilburg", TasksStarted(JOB_ID, (0,)))
        (outcome,) = answers(self.return_overloaded("tilburg"))
        self.assertIsInstance(outcome, Interrupted)

    def test_job_with_tasks_at_another_cell_is_interrupted(self):
        """Guards against the answer "not run" while another cell may start a task."""
        self.submit(tasks=2)
        self.receive("tilburg", TasksReturned(JOB_ID, (1,), ReturnReason.NO_CAPACITY))
        message = TasksReturned(JOB_ID, (1,), ReturnReason.OVERLOADED)
        (outcome,) = answers(self.receive("breda", message))
        self.assertIsInstance(outcome, Interrupted)

    def test_closed_owner_link_makes_the_outcome_unknown(self):
        """Guards against the answer "not run" after the link to an owner closed."""
        self.submit(target_ms=2000)
        self.handle(OwnerLinkClosed("tilburg", self.now))
        self.handle(OwnerLinkClosed("breda", self.now))
        self.now += LIMITS.run_end_after_link_loss_s() + 0.1
        self.handle(EntryTick())
        (outcome,) = answers(self.handle(EntryTick()))
        self.assertIsInstance(outcome, Interrupted)


class NoOwnerTests(unittest.TestCase):
    """An entry without a link to any owner."""

    def setUp(self):
        """Submit a job to an entry without links."""
        self.entry = Entry("tilburg", LIMITS)
        self.effects = self.entry.handle(JobReceived(job(JOB_ID)), 50.0)

    def test_job_waits_for_a_link_to_an_owner(self):
        """Guards against refusals just after the daemon has started."""
        self.assertEqual(self.effects, [])
        ((cell, _),) = offers(self.entry.handle(OwnerLinkOpened("tilburg", 1), 50.04))
        self.assertEqual(cell, "tilburg")

    def test_refusal_leaves_the_caller_time_to_retry(self):
        """Guards against a refusal that is too late to send the job elsewhere."""
        (outcome,) = answers(self.entry.handle(EntryTick(), 50.06))
        self.assertEqual(outcome, Refused(NoResultReason.NO_OWNER, 1.0))


class OwnerLinkClosedTests(EntryCase):
    """Links to owners that close while tasks run."""

    def test_next_owner_gets_resumed_tasks(self):
        """Guards against a second start of a task that the next owner adopts."""
        self.submit()
        self.handle(OwnerLinkClosed("tilburg", self.now))
        effects = self.handle(OwnerLinkOpened("tilburg", 2))
        ((cell, offer),) = offers(effects)
        self.assertEqual((cell, offer.resumed), ("tilburg", True))

    def test_resumed_job_is_interrupted_instead_of_refused(self):
        """Guards against the answer "not run" for a task that an earlier owner started.

        The message about the start is lost when the link closes, and the next owner
        has no capacity and returns the tasks.
        """
        self.submit(tasks=1)
        self.handle(OwnerLinkClosed("tilburg", self.now))
        self.handle(OwnerLinkOpened("tilburg", 2))
        message = TasksReturned(JOB_ID, (0,), ReturnReason.OVERLOADED)
        (outcome,) = answers(self.receive("tilburg", message))
        self.assertIsInstance(outcome, Interrupted)

    def test_job_that_cannot_end_in_time_is_interrupted_at_once(self):
        """Guards against callers that wait for a result that will be useless.

        Without this limit callers waited 1.3 s for a failure.
        """
        self.submit()
        self.now += LIMITS.link_timeout_s
        self.handle(OwnerLinkClosed("tilburg", self.now - LIMITS.link_timeout_s))
        self.now += 0.2
        (outcome,) = answers(self.handle(EntryTick()))
        self.assertEqual(outcome, Interrupted(NoResultReason.OWNER_LOST))

    def test_runs_of_an_interrupted_job_end_before_the_caller_retries(self):
        """Guards against two runs of a task when the caller sends the job again."""
        useless_s = job().useless_after_s()
        self.assertLess(
            LIMITS.run_end_after_link_loss_s(), useless_s + LIMITS.caller_retry_s
        )

    def test_tasks_move_to_another_cell_only_after_their_runs_are_over(self):
        """Guards against two runs of a task on both sides of a partition."""
        self.submit(target_ms=2000)
        self.handle(OwnerLinkClosed("tilburg", self.now))
        self.now += LIMITS.lease_expiry_s()
        self.assertEqual(offers(self.handle(EntryTick())), [])
        self.now += LIMITS.run_end_after_link_loss_s()
        ((cell, _),) = offers(self.handle(EntryTick()))
        self.assertEqual(cell, "breda")


class UnsuitableCellTests(EntryCase):
    """Cells none of whose upstreams could run a task."""

    def setUp(self):
        """Submit a job of one task; the home cell has waiting work."""
        super().setUp()
        self.receive("tilburg", CapacityReport("tilburg", 1, 0, 16000, 5.0))
        self.submit(tasks=1)

    def return_task(self, cell, reason):
        """Let a cell's owner return the task."""
        return self.receive(cell, TasksReturned(JOB_ID, (0,), reason))

    def test_job_is_refused_although_another_cell_can_queue_it(self):
        """Guards against the last cell that is tried deciding for all of them."""
        self.return_task("tilburg", ReturnReason.NO_CAPACITY)
        effects = self.return_task("breda", ReturnReason.NO_SERVICE)
        ((cell, offer),) = offers(effects)
        self.assertEqual((cell, offer.may_wait), ("tilburg", True))

    def test_job_waits_at_a_cell_without_usable_upstreams(self):
        """Guards against a cell without cores that counts as the least loaded."""
        self.receive("breda", CapacityReport("breda", 1, 0, 0, 0.0))
        self.return_task("tilburg", ReturnReason.NO_CAPACITY)
        ((cell, _),) = offers(self.return_task("breda", ReturnReason.NO_CAPACITY))
        self.assertEqual(cell, "tilburg")

    def test_job_that_no_cell_can_run_is_held(self):
        """Guards against callers that wait for what cannot be served."""
        self.return_task("tilburg", ReturnReason.NO_SERVICE)
        (outcome,) = answers(self.return_task("breda", ReturnReason.NO_SERVICE))
        self.assertEqual(outcome, Refused(NoResultReason.NO_SERVICE, 1.0))

    def test_cell_stays_unsuitable_under_its_next_owner(self):
        """Guards against a new owner that is judged by what the former one said."""
        self.return_task("tilburg", ReturnReason.NO_SERVICE)
        self.handle(OwnerLinkClosed("tilburg", self.now))
        self.handle(OwnerLinkOpened("tilburg", 2))
        ((cell, _),) = offers(self.return_task("breda", ReturnReason.NO_SERVICE))
        self.assertEqual(cell, "tilburg")
