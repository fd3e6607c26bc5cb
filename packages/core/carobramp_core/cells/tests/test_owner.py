"""Tests of the state machine of a cell's owner."""

import math
import unittest

from carobramp_core.cells.limits import CLOCK_DRIFT
from carobramp_core.cells.messages import (
    CancelRequest,
    JobCancelled,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
)
from carobramp_core.cells.orders import (
    ActiveRun,
    EntriesPaused,
    EntryMessageReceived,
    Listing,
    NoAnswer,
    OwnershipLost,
    PollAnswered,
    Rejected,
    RejectReason,
    RunEndKind,
    RunId,
    SendToAllEntries,
    SendToEntry,
    StartAnswered,
    StopAnswered,
    UpstreamsListed,
    UpstreamState,
)
from carobramp_core.cells.owner import RUNS_PER_TOKEN
from carobramp_core.cells.tests.support import (
    LIMITS,
    OwnerHarness,
    ended,
    job,
    messages,
    polls,
    running,
    starts,
    stops,
    upstream,
)
from carobramp_core.cells.upstreams import (
    MAX_STALLED_RUNS,
    STALL_MAX_S,
    STALL_MIN_S,
)


class ChangedCapacityTests(unittest.TestCase):
    """Upstreams whose capacity shrinks and grows again while tasks run."""

    def setUp(self):
        """Fill an upstream with two tasks and let a third one wait."""
        self.harness = OwnerHarness(upstream())
        self.harness.answer_poll()
        effects = self.harness.offer(job(tasks=3, target_ms=5000))
        self.first, self.second = starts(effects)

    def resize(self, cpu):
        """List the upstream with another capacity; return the start orders."""
        return starts(self.harness.handle(UpstreamsListed((upstream(cpu=cpu),))))

    def end(self, order, number, kind=RunEndKind.DONE):
        """List the end of a run; return the start orders."""
        others = {self.first.run_id, self.second.run_id} - {order.run_id}
        active = [ActiveRun(run_id, 10) for run_id in others if number == 1]
        return starts(
            self.harness.answer_poll(running=active, ended=[ended(order, kind, number)])
        )

    def test_start_exceeds_a_capacity_that_has_shrunk(self):
        """Guards against starts on an upstream that does not enforce its capacity."""
        self.assertEqual(self.resize(9000), [])
        self.assertEqual(self.end(self.first, 1), [])
        (third,) = self.end(self.second, 2)
        self.assertEqual(third.run_id.index, 2)

    def test_start_beside_a_run_that_is_being_stopped(self):
        """Guards against a run that counts no more before it has ended."""
        self.resize(9000)
        self.end(self.first, 1)
        self.harness.owner.stop_run(
            self.harness.owner.runs[self.second.run_id.job_id, 1], self.harness.now, []
        )
        self.assertEqual(starts(self.harness.tick(0.1)), [])

    def test_nothing_starts_without_capacity_until_it_grows_again(self):
        """Guards against starts on an upstream that has shrunk to nothing."""
        self.resize(0)
        self.assertEqual(self.end(self.first, 1), [])
        self.assertEqual(self.end(self.second, 2), [])
        self.assertEqual(len(self.resize(16000)), 1)


class UnansweredStartTests(unittest.TestCase):
    """Start orders without an answer, and the listings that resolve them."""

    def setUp(self):
        """Leave the start order of a task unanswered."""
        self.harness = OwnerHarness(upstream())
        self.harness.answer_poll()
        (self.order,) = starts(self.harness.offer(job()))
        self.harness.lose_start(self.order)

    def test_listed_run_continues(self):
        """Guards against a second run of a task when the answer to a start is lost."""
        self.harness.now += 0.2
        effects = self.harness.answer_poll(running=[running(self.order)])
        self.assertEqual((starts(effects), stops(effects)), ([], []))
        effects = self.harness.answer_poll(ended=[ended(self.order)])
        (end,) = messages(effects, TaskEnded)
        self.assertEqual(end.result, TaskResult.DONE)

    def test_unlisted_run_is_stopped_before_its_task_starts_again(self):
        """Guards against a delayed start of a task that already runs elsewhere."""
        self.harness.now += 0.2
        effects = self.harness.answer_poll()
        (stop,) = stops(effects)
        self.assertEqual(starts(effects), [])
        self.harness.accept_stop(stop)
        self.harness.now += 0.01
        (again,) = starts(self.harness.answer_poll())
        self.assertGreater(again.run_id.run, self.order.run_id.run)

    def test_listing_is_requested_at_once_after_an_unanswered_start(self):
        """Guards against a short task that is delayed until the next poll is answered.

        When one order in sixteen got no answer, only a third of the jobs was served at
        1.3 times the usual traffic.
        """
        harness = OwnerHarness(upstream(), upstream("i-2"))
        for name in ("i-1", "i-2"):
            harness.answer_poll(name)
        (order,) = starts(harness.offer(job()))
        harness.now += LIMITS.order_timeout_s
        (poll,) = polls(harness.lose_start(order))
        self.assertEqual((poll.wait_ms, poll.deadline_ms), (0, None))
        harness.now += 0.003
        (stop,) = stops(harness.answer_poll(order.upstream))
        harness.now += 0.003
        self.assertEqual(len(polls(harness.accept_stop(stop))), 1)
        harness.now += 0.003
        self.assertEqual(len(starts(harness.answer_poll(order.upstream))), 1)

    def test_older_listing_restores_no_ended_run(self):
        """Guards against adopting an ended run, which would block its upstream.

        The answers to two polls of one upstream may arrive out of order.
        """
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        early_ms = harness.clocks["i-1"] + 1
        harness.answer_poll(ended=[ended(order)])
        poll = harness.owner.next_poll("i-1", harness.now)
        listing = Listing(early_ms, 1, (running(order),), ())
        harness.handle(PollAnswered(poll, listing, harness.now))
        self.assertEqual(harness.owner.runs, {})

    def test_run_is_over_once_its_deadline_has_passed(self):
        """Guards against a capacity leak when start and stop are both unanswered."""
        self.harness.now += LIMITS.lease_expiry_s() + 0.1
        effects = self.harness.answer_poll()
        self.assertEqual(len(starts(effects)), 1)

    def test_listing_requested_before_the_start_proves_nothing(self):
        """Guards against trusting a listing that was made before the start arrived."""
        effects = self.harness.answer_poll(sent_at=self.harness.now - 0.5)
        self.assertEqual((starts(effects), stops(effects)), ([], []))


class LeaseTests(unittest.TestCase):
    """Leases, silent upstreams and upstreams that restart or drain."""

    def setUp(self):
        """Start a task on one of two upstreams."""
        self.harness = OwnerHarness(upstream("i-1"), upstream("i-2", cpu=6000))
        self.harness.answer_poll("i-1")
        self.harness.answer_poll("i-2")
        (self.order,) = starts(self.harness.offer(job()))
        self.harness.accept(self.order)

    def test_run_is_lost_only_after_its_lease_expires(self):
        """Guards against two runs of a task while its upstream is partitioned."""
        self.harness.fail_poll()
        self.assertEqual(messages(self.harness.tick(0.9), TaskEnded), [])
        (end,) = messages(self.harness.tick(0.3), TaskEnded)
        self.assertEqual(end.result, TaskResult.LOST)

    def test_lease_of_a_silent_upstream_is_not_renewed(self):
        """Guards against an endless lease when only answers are lost on the way."""
        self.harness.fail_poll()
        self.assertIsNone(
            self.harness.owner.next_poll("i-1", self.harness.now).deadline_ms
        )

    def test_slow_clock_is_allowed_for(self):
        """Guards against a lease that outlasts its deadline as a clock is 2% slow."""
        order = self.harness.owner.next_poll("i-1", self.harness.now)
        lease_s = (order.deadline_ms - self.harness.clocks["i-1"]) / 1000
        until = self.harness.owner.upstreams["i-1"].leased_until
        self.assertGreaterEqual(until, self.harness.now + lease_s / 0.98)

    def test_restart_of_an_upstream_ends_its_runs(self):
        """Guards against waiting for a run of an earlier incarnation."""
        (poll,) = polls(self.harness.answer_poll(born_ms=2))
        self.assertGreater(poll.token, self.order.token)
        self.harness.now += 0.003
        (end,) = messages(self.harness.answer_poll(born_ms=2), TaskEnded)
        self.assertEqual(end.result, TaskResult.LOST)

    def test_fenced_order_to_an_earlier_incarnation_keeps_the_ownership(self):
        """Guards against an owner that gives up its cell because of its own token."""
        self.harness.answer_poll(born_ms=2)
        fenced = StartAnswered(
            self.order, Rejected(RejectReason.FENCED), self.harness.now
        )
        self.assertFalse(
            any(isinstance(e, OwnershipLost) for e in self.harness.handle(fenced))
        )

    def test_leaving_upstream_gets_no_starts(self):
        """Guards against starts on an upstream that drains."""
        leaving = upstream("i-1", state=UpstreamState.LEAVING)
        self.harness.handle(UpstreamsListed((leaving,)))
        self.assertEqual(starts(self.harness.offer(job("0" * 16))), [])


class TakeoverTests(unittest.TestCase):
    """Runs of an earlier owner."""

    def test_running_task_is_adopted(self):
        """Guards against a second run of a task that an earlier owner started."""
        harness = OwnerHarness(upstream(), taken_over=True)
        item = job()
        self.assertEqual(starts(harness.offer(item, resumed=True)), [])
        earlier = ActiveRun(RunId(item.job_id, 0, 7), 40)
        effects = harness.answer_poll(running=[earlier])
        self.assertEqual((starts(effects), stops(effects)), ([], []))
        harness.tick(LIMITS.orphan_claim_s + 0.1)
        done = ended(earlier)
        (end,) = messages(harness.answer_poll(ended=[done]), TaskEnded)
        self.assertEqual(end.result, TaskResult.DONE)

    def test_waiting_task_starts_beside_a_run_of_the_earlier_owner(self):
        """Guards against two runs when the earlier owner still reaches an upstream.

        A restarted upstream has forgotten the fencing token of the new owner.
        """
        harness = OwnerHarness(upstream(), upstream("i-2"), taken_over=True)
        for name in ("i-1", "i-2"):
            harness.answer_poll(name)
        others = starts(harness.offer(job("a" * 16, tasks=2, cpu=16000)))
        item = job(target_ms=5000)
        self.assertEqual(starts(harness.offer(item)), [])
        late_run = ActiveRun(RunId(item.job_id, 0, 7), 1)
        # The first answer only shows the restart; the owner then asks for a listing.
        harness.answer_poll("i-2", running=[late_run], born_ms=2)
        harness.answer_poll("i-2", running=[late_run], born_ms=2)
        effects = harness.answer_poll("i-1", ended=[ended(others[0])])
        self.assertEqual(starts(effects), [])
        harness.tick(LIMITS.orphan_claim_s + 0.1)
        effects = harness.answer_poll("i-2", ended=[ended(late_run)], born_ms=2)
        ends = messages(effects, TaskEnded)
        self.assertIn(TaskEnded(item.job_id, 0, TaskResult.DONE, "i-2"), ends)

    def test_unlisted_upstream_delays_resumed_tasks(self):
        """Guards against two runs of a task whose upstream is missing from the list.

        The record of an upstream may expire in the store while its zone is partitioned;
        a task then ran twice for 0.15 s.
        """
        harness = OwnerHarness(upstream("i-1"), taken_over=True)
        item = job(target_ms=5000)
        harness.offer(item, resumed=True, members=("i-1", "i-2"))
        self.assertEqual(starts(harness.answer_poll("i-1")), [])
        harness.now += LIMITS.lease_expiry_s()
        self.assertEqual(starts(harness.answer_poll("i-1")), [])
        harness.now += LIMITS.link_timeout_s
        self.assertEqual(len(starts(harness.answer_poll("i-1"))), 1)

    def test_entry_of_another_program_delays_the_tasks_of_the_earlier_owner(self):
        """Guards against resumed tasks that wait for an answer which never comes."""
        foreign = upstream("a-1", service="label-printer")
        harness = OwnerHarness(upstream("i-1"), foreign, taken_over=True)
        harness.offer(job(target_ms=5000), resumed=True, members=("i-1", "a-1"))
        self.assertEqual(len(starts(harness.answer_poll("i-1"))), 1)

    def test_task_offered_again_over_a_new_link_starts_twice(self):
        """Guards against two runs of a task whose entry has lost its link twice."""
        harness = OwnerHarness(upstream("i-1"), upstream("i-2"), taken_over=True)
        item = job(target_ms=5000)
        harness.offer(item, "front-1/1", resumed=True)
        harness.close_link("front-1/1")
        harness.offer(item, "front-1/2", resumed=True)
        effects = [*harness.answer_poll("i-1"), *harness.answer_poll("i-2")]
        (order,) = starts([*effects, *harness.tick(0.1)])
        (started,) = [e for e in effects if isinstance(e, SendToEntry)]
        self.assertEqual((order.run_id.index, started.entry), (0, "front-1/2"))

    def test_job_sent_again_to_another_entry_overtakes_its_earlier_runs(self):
        """Guards against two runs when a second entry replaces a resumed offer."""
        harness = OwnerHarness(upstream("i-1"), upstream("i-2"), taken_over=True)
        item = job(target_ms=5000)
        harness.answer_poll("i-1")
        harness.offer(item, "front-1", resumed=True)
        self.assertEqual(starts(harness.offer(item, "front-2")), [])
        earlier = ActiveRun(RunId(item.job_id, 0, 7), 40)
        self.assertEqual(starts(harness.answer_poll("i-2", running=[earlier])), [])

    def test_pending_tasks_of_the_same_entry_are_kept(self):
        """Guards against a task that is forgotten when its entry offers another one."""
        harness = OwnerHarness(upstream("i-1"), upstream("i-2"), taken_over=True)
        item = job(tasks=2, target_ms=5000)
        harness.offer(item, resumed=True, indexes=(0,))
        harness.offer(item, indexes=(1,))
        effects = [*harness.answer_poll("i-1"), *harness.answer_poll("i-2")]
        indexes = sorted(order.run_id.index for order in starts(effects))
        self.assertEqual(indexes, [0, 1])

    def test_new_task_starts_during_a_takeover(self):
        """Guards against new jobs that wait until earlier runs are resolved."""
        harness = OwnerHarness(upstream("i-1"), upstream("i-2"), taken_over=True)
        harness.answer_poll("i-1")
        self.assertEqual(len(starts(harness.offer(job()))), 1)

    def test_run_of_unknown_size_blocks_its_upstream(self):
        """Guards against starts that are rejected for lack of capacity."""
        harness = OwnerHarness(upstream(), taken_over=True)
        earlier = ActiveRun(RunId("0" * 16, 0, 7), 40)
        harness.answer_poll(running=[earlier])
        self.assertEqual(starts(harness.offer(job())), [])
        claimed = harness.offer(job("0" * 16), resumed=True)
        self.assertEqual(len(starts(claimed)), 1)

    def test_unclaimed_run_is_stopped(self):
        """Guards against a run that continues after its caller has retried."""
        harness = OwnerHarness(upstream(), taken_over=True)
        harness.answer_poll(running=[ActiveRun(RunId("0" * 16, 0, 7), 40)])
        self.assertEqual(len(stops(harness.tick(LIMITS.orphan_claim_s + 0.1))), 1)

    def test_paused_owner_does_not_prolong_an_unclaimed_run(self):
        """Guards against two runs of a task when a new owner is paused or slow.

        An entry that has lost a cell's owner starts the tasks in another cell after
        `run_end_after_link_loss_s`. Each poll of the new owner renewed the leases of
        adopted runs for a second, so that they outlived that time if it was paused.
        """
        harness = OwnerHarness(upstream(), taken_over=True)
        adopted_at = harness.now
        harness.answer_poll(running=[ActiveRun(RunId("0" * 16, 0, 7), 40)])
        state = harness.owner.upstreams["i-1"]
        for _ in range(3):
            order = harness.owner.next_poll("i-1", harness.now)
            latest_s = adopted_at + LIMITS.unclaimed_lease_s() - harness.now
            latest_ms = state.estimated_clock_ms(harness.now) + latest_s * 1000
            self.assertLessEqual(order.deadline_ms, latest_ms)
            harness.now += LIMITS.busy_poll_wait_s
        harness.now = adopted_at + LIMITS.lease_s
        self.assertIsNone(harness.owner.next_poll("i-1", harness.now).deadline_ms)

    def test_adopted_run_counts_as_over_while_its_earlier_lease_lasts(self):
        """Guards against two runs when an upstream is lost just after a takeover.

        The earlier owner may have renewed the lease just before the adoption.
        """
        harness = OwnerHarness(upstream(), taken_over=True)
        earlier_lease_end = harness.now + LIMITS.lease_s
        harness.answer_poll(running=[ActiveRun(RunId("0" * 16, 0, 7), 40)])
        harness.fail_poll()
        harness.offer(job("0" * 16, target_ms=9000), resumed=True)
        lost = []
        while not lost:
            lost = messages(harness.tick(LIMITS.tick_s), TaskEnded)
        self.assertGreater(harness.now, earlier_lease_end)

    def test_claimed_run_gets_the_whole_lease(self):
        """Guards against adopted runs that end although an entry has claimed them."""
        harness = OwnerHarness(upstream(), taken_over=True)
        harness.answer_poll(running=[ActiveRun(RunId("0" * 16, 0, 7), 40)])
        harness.offer(job("0" * 16), resumed=True)
        harness.owner.next_poll("i-1", harness.now)
        state = harness.owner.upstreams["i-1"]
        self.assertGreater(state.leased_until, harness.now + LIMITS.lease_s - 0.01)

    def test_unclaimed_run_ends_before_its_task_starts_in_another_cell(self):
        """Guards against limits whose sum lets a run outlive its entry's patience."""
        last_adoption_s = LIMITS.lease_expiry_s()
        end_s = last_adoption_s + LIMITS.unclaimed_lease_s()
        self.assertLess(end_s, LIMITS.run_end_after_link_loss_s())

    def test_higher_token_ends_the_ownership(self):
        """Guards against two owners of a cell that both send orders."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        outcome = Rejected(RejectReason.FENCED)
        effects = harness.handle(StartAnswered(order, outcome, harness.now))
        self.assertTrue(any(isinstance(effect, OwnershipLost) for effect in effects))
        self.assertIsNone(harness.owner.next_poll("i-1", harness.now))
        self.assertEqual(starts(harness.offer(job("0" * 16))), [])


class LostStopsTests(unittest.TestCase):
    """Runs that must end although no stop order is answered, while polls are."""

    def setUp(self):
        """Begin without a lease."""
        self.granted_until = self.lapsed_at = -math.inf

    def pass_time(self, harness, seconds, *active):
        """Poll an upstream that answers no stop; return the effects.

        It lists the active runs until the lease that it was granted has expired.
        """
        effects, unanswered = [], []
        end = harness.now + seconds
        while harness.now < end:
            harness.now += LIMITS.tick_s
            if active and harness.now >= self.granted_until > -math.inf:
                self.lapsed_at, active = self.granted_until, ()
            latest = []
            for order in unanswered:
                sent_at = harness.now - LIMITS.order_timeout_s
                answer = StopAnswered(order, NoAnswer("lost"), sent_at)
                latest += harness.handle(answer)
            latest += harness.tick()
            self.renew_lease(harness)
            latest += harness.answer_poll(running=active)
            unanswered = stops(latest)
            effects += latest
        return effects

    def renew_lease(self, harness):
        """Let the slow clock of an upstream extend its lease by the next poll."""
        state = harness.owner.upstreams["i-1"]
        deadline_ms = harness.owner.next_poll("i-1", harness.now).deadline_ms
        if deadline_ms is not None:
            left_s = (deadline_ms - state.estimated_clock_ms(harness.now)) / 1000
            latest = harness.now + left_s / (1 - CLOCK_DRIFT)
            self.granted_until = max(self.granted_until, latest)

    def test_unclaimed_run_outlives_its_limit_while_stops_are_lost(self):
        """Guards against two runs of a task after the owner and its entry were lost.

        Once the stop of an adopted run was ordered, each poll renewed the lease again.
        """
        harness = OwnerHarness(upstream(), taken_over=True)
        adopted_at = harness.now
        run = ActiveRun(RunId("0" * 16, 0, 7), 40)
        harness.answer_poll(running=[run])
        effects = self.pass_time(harness, 0.8, run)
        self.assertGreater(len(stops(effects)), 1)
        drift_s = LIMITS.lease_s * CLOCK_DRIFT
        latest = adopted_at + LIMITS.unclaimed_lease_s() + drift_s
        self.assertGreater(self.lapsed_at, adopted_at)
        self.assertLessEqual(self.lapsed_at, latest)

    def test_run_adopted_late_outlives_the_wait_of_its_caller(self):
        """Guards against two runs of a task when a cell is taken over slowly.

        The callers of entries that were lost with the owner send their jobs again at a
        time that does not depend on the takeover.
        """
        harness = OwnerHarness(upstream(), taken_over=True, heard_at=100.0, now=100.7)
        run = ActiveRun(RunId("0" * 16, 0, 7), 40)
        harness.answer_poll(running=[run])
        effects = self.pass_time(harness, 0.25, run)
        self.assertNotEqual(stops(effects), [])
        self.pass_time(harness, 0.6, run)
        entry_lost_at = 100.0 - LIMITS.entry_reconnect_s
        self.assertGreater(self.lapsed_at, 100.7)
        self.assertLess(self.lapsed_at, entry_lost_at + LIMITS.caller_retry_s)

    def test_run_of_an_earlier_owner_that_nobody_heard_is_kept(self):
        """Guards against runs that go on although all daemons were restarted."""
        harness = OwnerHarness(upstream(), taken_over=True, heard_at=-math.inf)
        run = ActiveRun(RunId("0" * 16, 0, 7), 40)
        harness.answer_poll(running=[run])
        effects = self.pass_time(harness, 0.05, run)
        self.assertNotEqual(stops(effects), [])
        self.assertEqual(self.granted_until, -math.inf)

    def test_run_of_a_lost_entry_outlives_the_wait_of_its_caller(self):
        """Guards against two runs of a task after its entry was lost."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        lost_at = harness.now
        harness.close_link("front-1")
        self.pass_time(harness, 1.5, running(order))
        self.assertGreater(self.lapsed_at, 0)
        self.assertLess(self.lapsed_at, lost_at + LIMITS.caller_retry_s)

    def test_run_outlives_the_patience_of_an_entry_that_the_owner_did_not_reach(self):
        """Guards against leases whose limit is counted from the end of a pause."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        heard_at = harness.now
        harness.now += 0.9
        harness.close_link("front-1", silent_s=0.9)
        self.pass_time(harness, 1.5, running(order))
        over_at = heard_at + LIMITS.run_end_after_link_loss_s()
        self.assertGreater(self.lapsed_at, 0)
        self.assertLess(self.lapsed_at, over_at)

    def test_cancelled_run_outlives_the_wait_of_its_caller(self):
        """Guards against two runs of a task whose job the entry has given up."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        cancelled_at = harness.now
        harness.cancel(order.run_id.job_id)
        self.pass_time(harness, 1.5, running(order))
        self.assertGreater(self.lapsed_at, 0)
        self.assertLess(self.lapsed_at, cancelled_at + LIMITS.caller_retry_s)

    def test_lease_is_not_limited_once_the_run_is_claimed_or_over(self):
        """Guards against the loss of other runs after the limit was needed."""
        harness = OwnerHarness(upstream(cpu=32000))
        harness.answer_poll()
        (order,) = starts(harness.offer(job(), entry="front-1/1"))
        (ends,) = starts(harness.offer(job("0" * 16), entry="front-1/1"))
        for started in (order, ends):
            harness.accept(started)
        harness.close_link("front-1/1")
        harness.offer(job(), entry="front-1/2", resumed=True)
        harness.answer_poll(running=[running(order)], ended=[ended(ends)])
        self.renew_lease(harness)
        self.assertGreater(self.granted_until, harness.now + LIMITS.lease_s - 0.01)

    def test_nothing_starts_where_the_lease_is_nearly_over(self):
        """Guards against tasks that are lost with a lease which is not renewed."""
        harness = OwnerHarness(upstream(cpu=32000))
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        harness.close_link("front-1")
        self.pass_time(harness, 0.7, running(order))
        waiting = job("0" * 16, target_ms=9000)
        self.assertEqual(starts(harness.offer(waiting, entry="front-2")), [])

    def test_silent_upstream_keeps_runs_whose_lease_was_limited(self):
        """Guards against an upstream whose runs and limits are never removed.

        A poll that renews no lease may be lost without making its upstream suspect.
        """
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        harness.close_link("front-1")
        self.pass_time(harness, 1.3, running(order))
        for _ in range(3):
            harness.now += LIMITS.busy_poll_wait_s
            harness.fail_poll()
            harness.tick()
        self.assertEqual(harness.owner.upstreams["i-1"].runs, {})


class PausedEntryTests(unittest.TestCase):
    """The entry in the process of an owner that was paused for long."""

    def test_waiting_and_resumed_tasks_start(self):
        """Guards against a start after the entry has ended the job."""
        harness = OwnerHarness(upstream("i-1"), upstream("i-2"), taken_over=True)
        harness.answer_poll("i-1", running=[ActiveRun(RunId("0" * 16, 0, 7), 40)])
        harness.offer(job("1" * 16, target_ms=9000), entry="tilburg-0", resumed=True)
        harness.offer(job("2" * 16, target_ms=9000), entry="tilburg-0")
        harness.handle(EntriesPaused(("tilburg-0",)))
        harness.offer(job("0" * 16), entry="breda-0", resumed=True)
        self.assertEqual(starts(harness.answer_poll("i-2")), [])

    def test_task_whose_run_was_lost_is_queued_again(self):
        """Guards against a start after the entry has ended the job."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job(target_ms=9000), entry="tilburg-0"))
        harness.lose_start(order)
        harness.handle(EntriesPaused(("tilburg-0",)))
        lost = harness.answer_poll(ended=[ended(order, RunEndKind.LEASE_EXPIRED)])
        self.assertEqual(starts([*lost, *harness.tick(LIMITS.tick_s)]), [])


class CancelRequestTests(unittest.TestCase):
    """Jobs that a caller cancels at an entry that does not have them."""

    def setUp(self):
        """Start a task of a job of one entry, and let another one wait."""
        self.harness = OwnerHarness(upstream(cpu=6800))
        self.harness.answer_poll()
        self.item = job(tasks=2, target_ms=9000)
        (self.order,) = starts(self.harness.offer(self.item, entry="front-1"))
        self.harness.accept(self.order)

    def request(self, job_id):
        """Let another entry request the cancellation of a job."""
        message = CancelRequest(job_id)
        return self.harness.handle(EntryMessageReceived("front-2", message))

    def test_job_of_another_entry_runs_on(self):
        """Guards against work that nobody waits for after its cancellation."""
        effects = self.request(self.item.job_id)
        self.assertEqual([o.run_id for o in stops(effects)], [self.order.run_id])
        (told,) = [effect for effect in effects if isinstance(effect, SendToEntry)]
        expected = SendToEntry("front-1", JobCancelled(self.item.job_id))
        self.assertEqual(told, expected)
        self.assertEqual(self.harness.owner.waiting, [])

    def test_unclaimed_run_of_a_cancelled_job_runs_on(self):
        """Guards against runs of an earlier owner that outlive a cancellation."""
        harness = self.harness = OwnerHarness(upstream(), taken_over=True)
        run = ActiveRun(RunId(self.item.job_id, 0, 7), 40)
        harness.answer_poll(running=[run])
        self.assertEqual(len(stops(self.request(self.item.job_id))), 1)

    def test_job_of_an_entry_that_is_not_linked_to_the_same_owner(self):
        """Guards against a job that goes on in a cell without a link to the canceller.

        The owner does not know the entry of the job and tells all of them.
        """
        told = SendToAllEntries(JobCancelled("0" * 16))
        for to_entries in (False, True):
            message = CancelRequest("0" * 16, to_entries)
            effects = self.harness.handle(EntryMessageReceived("front-2", message))
            self.assertEqual(told in effects, to_entries)

    def test_cancelled_job_is_offered_again(self):
        """Guards against a start after the cancellation was acknowledged."""
        self.request("0" * 16)
        effects = self.harness.offer(job("0" * 16), entry="front-1")
        self.assertEqual(messages(effects, JobCancelled), [JobCancelled("0" * 16)])
        self.assertNotIn("0" * 16, self.harness.owner.entry_by_job)
        self.harness.tick(LIMITS.cancel_retention_s + 1)
        self.assertEqual(self.harness.owner.cancelled_jobs, {})


class RunNumberTests(unittest.TestCase):
    """Run numbers, which rise from owner to owner."""

    def test_numbers_stay_below_those_of_the_next_owner(self):
        """Guards against starts that an upstream rejects as older than earlier runs."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        harness.owner.start_count = 2 * RUNS_PER_TOKEN - 1
        (order,) = starts(harness.offer(job()))
        token = harness.owner.token
        self.assertGreaterEqual(order.run_id.run, token * RUNS_PER_TOKEN)
        self.assertLess(order.run_id.run, (token + 1) * RUNS_PER_TOKEN)


class UnreadListTests(unittest.TestCase):
    """An owner that has not read the list of upstreams yet."""

    def test_offer_is_not_returned(self):
        """Guards against returned tasks between a handover and the first list.

        Jobs were refused with no_service while the store was slow, although all
        upstreams were free.
        """
        harness = OwnerHarness()
        harness.owner.upstreams_listed = False
        self.assertEqual(messages(harness.offer(job()), TasksReturned), [])
        harness.clocks["i-1"] = 5000
        harness.handle(UpstreamsListed((upstream(),)))
        self.assertEqual(len(starts(harness.answer_poll())), 1)


class EntryLinkTests(unittest.TestCase):
    """Entries that disconnect, reconnect or offer a job of another entry."""

    def setUp(self):
        """Start the only task of a job."""
        self.harness = OwnerHarness(upstream())
        self.harness.answer_poll()
        self.item = job()
        (self.order,) = starts(self.harness.offer(self.item))
        self.harness.accept(self.order)

    def test_runs_of_a_disconnected_entry_are_stopped(self):
        """Guards against a run that continues while its caller asks another entry."""
        self.harness.close_link("front-1")
        self.assertEqual(stops(self.harness.tick(0.01)), [])
        self.assertEqual(len(stops(self.harness.tick(LIMITS.entry_reconnect_s))), 1)

    def test_unanswered_stop_is_sent_again(self):
        """Guards against a run that continues because its stop order was lost.

        The upstream's lease is still renewed for other runs, so that a retry of the
        caller would run the task a second time.
        """
        self.harness.close_link("front-1")
        (order,) = stops(self.harness.tick(LIMITS.entry_reconnect_s))
        sent_at = self.harness.now
        self.harness.now += LIMITS.order_timeout_s
        effects = self.harness.handle(StopAnswered(order, NoAnswer("lost"), sent_at))
        self.assertEqual([o.run_id for o in stops(effects)], [order.run_id])

    def test_run_of_a_reconnected_entry_continues(self):
        """Guards against stopping a run because a connection was reset."""
        self.harness.close_link("front-1")
        self.harness.offer(self.item, entry="front-1/2", resumed=True)
        effects = self.harness.tick(LIMITS.entry_reconnect_s + 0.01)
        self.assertEqual((starts(effects), stops(effects)), ([], []))

    def test_task_of_a_disconnected_entry_starts_when_its_run_is_lost(self):
        """Guards against a start after the entry has offered the task elsewhere."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job(target_ms=5000)))
        harness.lose_start(order)
        harness.close_link("front-1")
        lost = harness.answer_poll(ended=[ended(order, RunEndKind.LEASE_EXPIRED)])
        later = harness.tick(LIMITS.entry_reconnect_s / 2)
        self.assertEqual(starts([*lost, *later]), [])

    def test_resumed_offer_of_a_disconnected_entry_starts(self):
        """Guards against a start after the entry has offered the task elsewhere."""
        harness = OwnerHarness(upstream("i-1"), upstream("i-2"), taken_over=True)
        item = job(target_ms=5000)
        harness.answer_poll("i-1")
        harness.offer(item, "front-1/1", resumed=True)
        harness.close_link("front-1/1")
        effects = [*harness.answer_poll("i-2"), *harness.tick()]
        self.assertEqual(starts(effects), [])
        back = harness.offer(item, "front-1/2", resumed=True)
        self.assertEqual(len(starts(back)), 1)

    def test_result_for_a_disconnected_entry_is_lost(self):
        """Guards against a second run of a task that ended while its entry was away."""
        self.harness.close_link("front-1")
        self.harness.answer_poll(ended=[ended(self.order)])
        effects = self.harness.offer(self.item, entry="front-1/2", resumed=True)
        self.assertEqual(starts(effects), [])
        (end,) = messages(effects, TaskEnded)
        self.assertEqual(end.result, TaskResult.DONE)

    def test_runs_stop_before_the_caller_retries(self):
        """Guards against two runs of a task when a caller asks another entry."""
        stopped_s = LIMITS.link_timeout_s + LIMITS.entry_reconnect_s + LIMITS.run_stop_s
        self.assertLess(stopped_s, LIMITS.caller_retry_s)
        self.assertLess(LIMITS.lease_expiry_s(), LIMITS.caller_retry_s)

    def test_offer_of_a_second_entry_supersedes_the_first(self):
        """Guards against two runs of a job that its caller sent to two entries."""
        effects = self.harness.offer(self.item, entry="front-2")
        self.assertEqual(starts(effects), [])
        (returned,) = messages(effects, TasksReturned)
        self.assertEqual(returned.reason, ReturnReason.SUPERSEDED)

    def test_failed_run_is_reported(self):
        """Guards against a failed run that the owner repeats without telling."""
        end = ended(self.order, RunEndKind.FAILED)
        (message,) = messages(self.harness.answer_poll(ended=[end]), TaskEnded)
        self.assertEqual(message.result, TaskResult.FAILED)


class CapacityTests(unittest.TestCase):
    """Offers of more tasks than upstreams have capacity for."""

    def setUp(self):
        """Let the only upstream answer a poll."""
        self.harness = OwnerHarness(upstream())
        self.harness.answer_poll()

    def test_capacity_is_never_exceeded(self):
        """Guards against starts that the upstream has to reject."""
        effects = self.harness.offer(job(tasks=5))
        self.assertEqual(len(starts(effects)), 2)

    def test_tasks_that_must_not_wait_are_returned(self):
        """Guards against tasks that wait here while another cell has capacity."""
        effects = self.harness.offer(job(tasks=5), may_wait=False)
        (returned,) = messages(effects, TasksReturned)
        self.assertEqual(len(returned.indexes), 3)

    def test_job_that_would_end_too_late_is_returned_at_once(self):
        """Guards against requests that wait until their result is useless."""
        for number in range(20):
            self.harness.offer(job(f"{number:016x}", 8, target_ms=1e6))
        urgent = job("f" * 16, 8, target_ms=1.0, stretch=1.0)
        (returned,) = messages(self.harness.offer(urgent), TasksReturned)
        self.assertEqual(returned.reason, ReturnReason.OVERLOADED)

    def test_committed_job_is_not_returned(self):
        """Guards against the refusal of a job some of whose tasks have run."""
        for number in range(20):
            self.harness.offer(job(f"{number:016x}", 8, target_ms=1e6))
        urgent = job("f" * 16, 8, target_ms=1.0, stretch=1.0)
        effects = self.harness.offer(urgent, committed=True)
        self.assertEqual(messages(effects, TasksReturned), [])


class QuarantineTests(unittest.TestCase):
    """Upstreams whose runs fail or stall."""

    def test_failures_of_two_jobs_quarantine_the_upstream(self):
        """Guards against a faulty upstream that attracts tasks because it is idle."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        for number in range(2):
            (order,) = starts(harness.offer(job(f"{number:016x}")))
            harness.accept(order)
            end = ended(order, RunEndKind.FAILED, number + 1)
            harness.answer_poll(ended=[end], running=[])
        self.assertEqual(starts(harness.offer(job("f" * 16))), [])

    def test_one_run_at_a_time_after_a_quarantine(self):
        """Guards against an upstream that fails all and gets several tasks as probes.

        Two tasks that wait in one pass both started on the upstream that was probed.
        """
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        harness.owner.upstreams["i-1"].quarantine(harness.now)
        harness.now += harness.owner.upstreams["i-1"].quarantine_s
        self.assertEqual(len(starts(harness.offer(job(tasks=2)))), 1)

    def test_listed_run_of_a_pending_start_is_kept(self):
        """Guards against a second start when the listing precedes the answer."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        effects = harness.answer_poll(running=[running(order)])
        self.assertEqual((starts(effects), stops(effects)), ([], []))

    def test_task_of_a_stalled_run_starts_on_another_upstream(self):
        """Guards against jobs that wait for a stalled run until they are useless.

        Runs may stall on an upstream whose health checks pass; each occupied capacity
        and delayed its job until three objectives had passed.
        """
        harness = OwnerHarness(upstream(), upstream("i-2"))
        for name in ("i-1", "i-2"):
            harness.answer_poll(name)
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        name = order.upstream
        stalled = running(order, 0)
        harness.now += STALL_MIN_S
        self.assertEqual(stops(harness.answer_poll(name, [stalled])), [])
        harness.now += 0.1
        (stop,) = stops(harness.answer_poll(name, [stalled]))
        harness.accept_stop(stop)
        harness.now += 0.05
        stopped = ended(order, RunEndKind.STOPPED)
        (again,) = starts(harness.answer_poll(name, ended=[stopped]))
        self.assertNotEqual(again.upstream, name)
        self.assertGreater(harness.owner.upstreams[name].blocked_until, harness.now)

    def test_task_that_stalls_everywhere_quarantines_every_upstream(self):
        """Guards against upstreams that are quarantined for the fault of one task."""
        names = ("i-1", "i-2", "i-3", "i-4", "i-5")
        harness = OwnerHarness(*(upstream(name) for name in names))
        for name in names:
            harness.answer_poll(name)
        orders = starts(harness.offer(job(target_ms=10_000.0)))
        runs = 0
        while orders:
            (order,) = orders
            runs += 1
            orders = self.stall(harness, order)
        quarantined = [
            name
            for name in names
            if harness.owner.upstreams[name].blocked_until > harness.now
        ]
        self.assertEqual(len(quarantined), 1)
        self.assertEqual(runs, 1 + MAX_STALLED_RUNS)

    def stall(self, harness, order):
        """Show no progress of a run until it is stopped; return the next starts."""
        harness.accept(order)
        stalled, name = running(order, 0), order.upstream
        harness.answer_poll(name, [stalled])
        harness.now += STALL_MAX_S
        for stop in stops(harness.answer_poll(name, [stalled])):
            harness.accept_stop(stop)
            stopped = ended(order, RunEndKind.STOPPED)
            return starts(harness.answer_poll(name, ended=[stopped]))
        return []

    def test_slow_run_continues(self):
        """Guards against stopping a run because its upstream is slow."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        (order,) = starts(harness.offer(job(estimate_ms=900.0)))
        harness.accept(order)
        for percent in range(1, 60):
            harness.now += 0.1
            effects = harness.answer_poll(running=[running(order, percent)])
            self.assertEqual(stops(effects), [])


class UnfitUpstreamsTests(unittest.TestCase):
    """Tasks that no upstream of the cell could run, even if it were idle."""

    def offer(self, *records, **fields):
        """Let an owner with the listed upstreams return an offered task."""
        harness = OwnerHarness(*records)
        for record in records:
            harness.answer_poll(record.name)
        (returned,) = messages(harness.offer(job(**fields)), TasksReturned)
        return returned.reason

    def list_changed(self, **fields):
        """Let two tasks wait while a third one runs; list the upstream as changed."""
        harness = OwnerHarness(upstream())
        harness.answer_poll()
        harness.offer(job("a" * 16, cpu=16000))
        harness.offer(job("b" * 16, tasks=2, target_ms=5000))
        effects = harness.handle(UpstreamsListed((upstream(**fields),)))
        return messages(effects, TasksReturned)

    def test_job_larger_than_each_upstream_waits(self):
        """Guards against late refusals of what was known to be impossible."""
        self.assertEqual(self.offer(upstream(), cpu=16001), ReturnReason.TOO_LARGE)

    def test_task_waits_for_upstreams_that_all_leave(self):
        """Guards against tasks that wait where no upstream takes new work."""
        leaving = upstream(state=UpstreamState.LEAVING)
        self.assertEqual(self.offer(leaving), ReturnReason.NO_SERVICE)

    def test_queued_tasks_wait_on_after_the_upstreams_have_shrunk(self):
        """Guards against tasks that do not move on to a cell that could run them."""
        (returned,) = self.list_changed(cpu=6000)
        self.assertEqual(returned.indexes, (0, 1))
        self.assertEqual(returned.reason, ReturnReason.TOO_LARGE)

    def test_queued_tasks_wait_on_for_upstreams_that_leave(self):
        """Guards against tasks that wait until their upstreams have left."""
        (returned,) = self.list_changed(state=UpstreamState.LEAVING)
        self.assertEqual(returned.reason, ReturnReason.NO_SERVICE)

    def test_smaller_upstream_that_is_large_enough_keeps_the_queue(self):
        """Guards against tasks that leave the queue although they could run."""
        self.assertEqual(self.list_changed(cpu=6800), [])
