"""Tests of how owners and entries count the upstreams that are lost under a task."""

import unittest

from carobramp_core.cells.crash_records import (
    MAX_CRASHES,
    MAX_JOBS,
    RETENTION_S,
    CrashRecords,
)
from carobramp_core.cells.entry import Entry
from carobramp_core.cells.entry_events import (
    AnswerCaller,
    JobReceived,
    OwnerLinkClosed,
    OwnerLinkOpened,
    OwnerMessageReceived,
)
from carobramp_core.cells.messages import (
    CancelJob,
    Failed,
    Interrupted,
    LossEvidence,
    NoResultReason,
    Offer,
    Placement,
    ReturnReason,
    TasksReturned,
    TasksStarted,
    UpstreamLosses,
)
from carobramp_core.cells.orders import (
    ActiveRun,
    RunId,
    SendToAllEntries,
    SendToOwner,
    UpstreamsListed,
    UpstreamState,
)
from carobramp_core.cells.tests.support import (
    LIMITS,
    OwnerHarness,
    ended,
    job,
    loss,
    messages,
    starts,
    upstream,
)

JOB_ID = "5c0e7a21d94b36f8"
LEASE_OVER_S = LIMITS.lease_expiry_s() + LIMITS.tick_s


def losses(effects):
    """Return the losses that effects send to all entries."""
    sent = [e.message for e in effects if isinstance(e, SendToAllEntries)]
    return [loss for message in sent for loss in message.losses]


class EvidenceTests(unittest.TestCase):
    """A run on an upstream that no longer answers."""

    def setUp(self):
        """Start a task."""
        self.harness = OwnerHarness(upstream(), upstream("i-2"))
        self.harness.answer_poll()
        (self.order,) = starts(self.harness.offer(job()))
        self.harness.accept(self.order)

    def lose_upstream(self, refused):
        """Leave polls unanswered until the lease is over."""
        self.harness.fail_poll(refused=refused)
        return self.harness.tick(LEASE_OVER_S)

    def test_refused_connection_counts_as_crash(self):
        """Guards against crashes that count only when the upstream is back."""
        (lost,) = losses(self.lose_upstream(refused=True))
        self.assertEqual(lost, loss(run=self.order.run_id.run))

    def test_silence_counts_as_crash_once_another_incarnation_answers(self):
        """Guards against crashes of a whole machine that count as partitions."""
        (lost,) = losses(self.lose_upstream(refused=False))
        self.assertEqual(lost.evidence, LossEvidence.SILENT)
        (lost,) = losses(self.harness.answer_poll(born_ms=2))
        self.assertEqual(lost.evidence, LossEvidence.CRASHED)

    def test_partitions_of_upstreams_give_a_task_up(self):
        """Guards against jobs that fail although no upstream has crashed."""
        for refused in (False, True):
            with self.subTest(refused=refused):
                self.setUp()
                records = CrashRecords()
                silent = loss(run=2, evidence=LossEvidence.SILENT)
                records.record([loss(run=1), silent], 0.0)
                records.record(self.lose_upstream_for_a_while(refused), 0.0)
                self.assertIsNone(records.given_up_task(JOB_ID))

    def test_task_runs_alone_after_a_partition(self):
        """Guards against tasks that wait for idle upstreams without a reason."""
        records = CrashRecords()
        records.record(self.lose_upstream_for_a_while(refused=True), 0.0)
        self.assertFalse(records.is_suspect(JOB_ID, 0))

    def lose_upstream_for_a_while(self, refused):
        """Let the same incarnation answer after its lease; return all losses."""
        effects = self.lose_upstream(refused)
        return losses([*effects, *self.harness.answer_poll(born_ms=1)])

    def test_cancelled_run_counts(self):
        """Guards against crashes that are forgotten with the job's cancellation."""
        self.harness.cancel(JOB_ID)
        (lost,) = losses(self.lose_upstream(refused=True))
        self.assertEqual(lost.run, self.order.run_id.run)

    def test_departure_counts_as_crash(self):
        """Guards against a task that is given up for upstreams that left by plan."""
        leaving = upstream(state=UpstreamState.LEAVING)
        self.harness.handle(UpstreamsListed((leaving, upstream("i-2"))))
        self.assertEqual(losses(self.lose_upstream(refused=True)), [])

    def test_restart_counts_for_each_run(self):
        """Guards against an upstream that is back before its lease is over."""
        (lost,) = losses(self.harness.answer_poll(born_ms=2))
        self.assertEqual(lost.evidence, LossEvidence.CRASHED)


class LateRestartTests(unittest.TestCase):
    """Tasks whose upstream refuses connections before its lease is over."""

    def lose_upstream(self, refused=True, **fields):
        """Start a job of two tasks, leave a poll unanswered and return what is told."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        for order in starts(harness.offer(job(tasks=2, **fields))):
            harness.accept(order)
        effects = [*harness.fail_poll(refused=refused), *harness.fail_poll()]
        return messages(effects, TasksReturned)

    def test_job_that_cannot_end_in_time_is_not_held_until_the_lease_ends(self):
        """Guards against callers that wait for a restart that would be too late."""
        returned = TasksReturned(JOB_ID, (), ReturnReason.UPSTREAM_LOST)
        self.assertEqual(self.lose_upstream(), [returned])

    def test_job_that_can_end_in_time_goes_on(self):
        """Guards against the failure of a job whose tasks can start again in time."""
        self.assertEqual(self.lose_upstream(target_ms=1000.0), [])

    def test_silent_upstream_may_answer_again(self):
        """Guards against the failure of a job whose upstream is only cut off."""
        self.assertEqual(self.lose_upstream(refused=False), [])

    def test_cancelled_job_still_counts_the_loss(self):
        """Guards against crashes that are forgotten as their jobs end early."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        harness.fail_poll(refused=True)
        harness.cancel(JOB_ID)
        (lost,) = losses(harness.tick(LEASE_OVER_S))
        self.assertEqual(lost, loss(run=order.run_id.run))


class OwnerTests(unittest.TestCase):
    """Tasks with losses that reach an owner."""

    def test_unanswered_start_is_not_repeated_after_the_last_crash(self):
        """Guards against crashes that an owner repeats without telling the entry."""
        harness = OwnerHarness(upstream(), upstream("i-2"))
        harness.answer_poll()
        (order,) = starts(harness.offer(job(), losses=[loss(run=1)]))
        harness.lose_start(order)
        harness.answer_poll("i-2")
        harness.fail_poll(refused=True)
        harness.now += LEASE_OVER_S
        effects = [*harness.answer_poll("i-2"), *harness.tick()]
        self.assertEqual(starts(effects), [])
        self.assertEqual(len(losses(effects)), 1)

    def test_offer_of_an_entry_that_does_not_know_the_losses(self):
        """Guards against a restarted entry whose job crashes more upstreams."""
        known = [loss(run=number) for number in range(MAX_CRASHES)]
        harness = OwnerHarness(upstream(), losses=known)
        harness.answer_poll()
        effects = harness.offer(job())
        self.assertEqual(starts(effects), [])
        (message,) = messages(effects, UpstreamLosses)
        self.assertEqual(list(message.losses), known)

    def test_waiting_task_is_dropped_when_its_crashes_are_confirmed(self):
        """Guards against a start in the event that gives the task up."""
        harness = OwnerHarness(upstream(), upstream("i-2"))
        harness.answer_poll()
        (order,) = starts(harness.offer(job(), losses=[loss(run=1)]))
        harness.accept(order)
        harness.fail_poll(refused=False)
        harness.tick(LEASE_OVER_S)
        harness.offer(job())
        self.assertEqual(starts(harness.answer_poll(born_ms=2)), [])


class IsolationTests(unittest.TestCase):
    """Tasks under which one upstream has crashed."""

    def setUp(self):
        """Poll an upstream with room for two tasks."""
        self.harness = OwnerHarness(upstream())
        self.harness.answer_poll()

    def offer(self, job_id, **fields):
        """Offer a job of one task and return the start orders."""
        return starts(self.harness.offer(job(job_id, target_ms=5000), **fields))

    def offer_suspect(self, job_id):
        """Offer a task under which an upstream has crashed."""
        return self.offer(job_id, losses=[loss(job_id)])

    def end(self, order):
        """Let a run end and return the start orders."""
        return starts(self.harness.answer_poll(ended=[ended(order)]))

    def test_two_suspects_do_not_share_an_upstream(self):
        """Guards against a task that is given up for the crashes of its neighbour."""
        (first,) = self.offer_suspect("a" * 16)
        self.assertEqual(self.offer_suspect("b" * 16), [])
        (second,) = self.end(first)
        self.assertEqual(second.run_id.job_id, "b" * 16)

    def test_nothing_starts_beside_a_suspect(self):
        """Guards against tasks that end with the second upstream of a crashing one."""
        self.offer_suspect("a" * 16)
        self.assertEqual(self.offer("b" * 16), [])

    def test_suspect_waits_until_an_upstream_is_idle(self):
        """Guards against the crash of an upstream that runs other tasks."""
        (other,) = self.offer("a" * 16)
        self.assertEqual(self.offer_suspect("b" * 16), [])
        (start,) = self.end(other)
        self.assertEqual(start.run_id.job_id, "b" * 16)

    def test_suspect_is_not_overtaken_without_end(self):
        """Guards against a suspect that waits for an upstream that never gets idle."""
        (first,) = self.offer("a" * 16)
        self.offer_suspect("b" * 16)
        self.harness.now += 0.1
        self.assertEqual(self.offer("c" * 16), [])
        (start,) = self.end(first)
        self.assertEqual(start.run_id.job_id, "b" * 16)

    def test_adopted_suspect_stays_alone(self):
        """Guards against neighbours that a takeover gives to a suspect."""
        harness = OwnerHarness(upstream(), taken_over=True)
        harness.answer_poll(running=[ActiveRun(RunId(JOB_ID, 0, 7), 10)])
        harness.offer(job(), resumed=True, losses=[loss()])
        self.assertEqual(starts(harness.offer(job("b" * 16))), [])


class TakeoverTests(unittest.TestCase):
    """A resumed task, whose upstream was lost before its new owner polled it."""

    def resume(self, born_ms):
        """Offer a task that ran in the first life of an upstream."""
        harness = OwnerHarness(upstream(), taken_over=True)
        placement = Placement(0, 7, "i-1", 1)
        harness.offer(job(), resumed=True, members=("i-1",), placements=[placement])
        return harness.answer_poll(born_ms=born_ms)

    def test_restarted_upstream_counts(self):
        """Guards against crashes that are forgotten with the owner."""
        self.assertEqual(losses(self.resume(born_ms=2)), [loss(run=7)])

    def test_same_incarnation_does_not_count(self):
        """Guards against losses that a takeover invents."""
        self.assertEqual(losses(self.resume(born_ms=1)), [])

    def test_partition_that_ends_after_a_takeover_counts(self):
        """Guards against evidence of a former owner that the next one cannot clear."""
        harness = OwnerHarness(upstream(), taken_over=True)
        harness.fail_poll(refused=True)
        placement = Placement(0, 7, "i-1", 1)
        effects = harness.offer(job(), resumed=True, placements=[placement])
        effects += harness.tick(LEASE_OVER_S + LIMITS.link_timeout_s)
        (lost,) = losses(effects)
        self.assertEqual(lost, loss(run=7))
        (lost,) = losses(harness.answer_poll(born_ms=1))
        self.assertEqual(lost, loss(run=7, evidence=LossEvidence.ALIVE))

    def test_adopted_run_does_not_count(self):
        """Guards against losses of runs that go on."""
        harness = OwnerHarness(upstream(), taken_over=True)
        harness.answer_poll(running=[ActiveRun(RunId(JOB_ID, 0, 7), 10)])
        placement = Placement(0, 7, "i-1", 1)
        effects = harness.offer(job(), resumed=True, placements=[placement])
        self.assertEqual(losses(effects), [])


class EntryTests(unittest.TestCase):
    """An entry that learns of losses."""

    def setUp(self):
        """Open a link to one owner."""
        self.entry = Entry("tilburg", LIMITS)
        self.entry.handle(OwnerLinkOpened("tilburg", 1), 0.0)

    def receive(self, message, cell="tilburg"):
        """Let the entry handle a message of an owner."""
        return self.entry.handle(OwnerMessageReceived(cell, message), 0.0)

    def give_up(self):
        """Report enough crashes to give the task up."""
        crashes = tuple(loss(run=number) for number in range(MAX_CRASHES))
        return self.receive(UpstreamLosses(crashes))

    def test_open_job_fails_and_is_cancelled(self):
        """Guards against other tasks that run on for a job without a result."""
        self.entry.handle(JobReceived(job(tasks=2)), 0.0)
        effects = self.give_up()
        sent = [e.message for e in effects if isinstance(e, SendToOwner)]
        (answer,) = [e for e in effects if isinstance(e, AnswerCaller)]
        self.assertEqual(sent, [CancelJob(JOB_ID)])
        self.assertEqual(answer.outcome, Failed())

    def test_job_that_is_sent_again_fails_at_once(self):
        """Guards against crashes that are forgotten with the request."""
        self.give_up()
        (answer,) = self.entry.handle(JobReceived(job()), 0.0)[-1:]
        self.assertEqual(answer.outcome, Failed())

    def test_job_without_a_timely_restart_is_interrupted(self):
        """Guards against an answer that says that nothing has run."""
        self.entry.handle(JobReceived(job(tasks=2)), 0.0)
        effects = self.receive(TasksReturned(JOB_ID, (), ReturnReason.UPSTREAM_LOST))
        sent = [e.message for e in effects if isinstance(e, SendToOwner)]
        (answer,) = [e for e in effects if isinstance(e, AnswerCaller)]
        self.assertEqual(sent, [CancelJob(JOB_ID)])
        self.assertEqual(answer.outcome, Interrupted(NoResultReason.UPSTREAM_LOST))

    def test_resumed_offer_names_the_last_placement(self):
        """Guards against a new owner that does not know where the task has run."""
        self.entry.handle(JobReceived(job()), 0.0)
        placement = Placement(0, 7, "i-1", 1)
        self.receive(TasksStarted(JOB_ID, (0,), (placement,)))
        self.entry.handle(OwnerLinkClosed("tilburg", 0.0), 0.0)
        effects = self.entry.handle(OwnerLinkOpened("tilburg", 2), 0.5)
        (offer,) = [e.message for e in effects if isinstance(e, SendToOwner)]
        self.assertIsInstance(offer, Offer)
        self.assertEqual(offer.placements, (placement,))


class CrashRecordsTests(unittest.TestCase):
    """Records of losses."""

    def test_records_are_bounded_in_time_and_number(self):
        """Guards against memory that grows with each crash."""
        records = CrashRecords()
        for number in range(MAX_JOBS + 1):
            records.record([loss(f"{number:016x}")], 0.0)
        self.assertEqual(len(records.jobs), MAX_JOBS)
        records.record([loss("f" * 16)], RETENTION_S)
        self.assertEqual(list(records.jobs), ["f" * 16])

    def test_loss_of_a_sibling_does_not_count(self):
        """Guards against a wide job that fails for one crash under each task."""
        records = CrashRecords()
        records.record([loss(index=0), loss(index=1, run=2)], 0.0)
        self.assertIsNone(records.given_up_task(JOB_ID))


if __name__ == "__main__":
    unittest.main()
