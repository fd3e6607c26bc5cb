"""Invariants of the dispatcher that hold for any order of events."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies as st

from carobramp_core.dispatch.messages import (
    JobCancelled,
    JobFinished,
    LeavingUpstreamsUpdated,
    LiveVmsUpdated,
    StartTask,
    TaskDone,
    TaskFailed,
    TaskNotStarted,
    TaskOutcomeUnknown,
    TeamLoad,
    UpstreamReport,
)
from carobramp_core.dispatch.routing import POLICIES
from carobramp_core.dispatch.tests.support import (
    CLASSES,
    Driver,
    ticket,
    upstream_state,
)
from carobramp_core.outcomes import JobDone, JobFailed, JobRefused, Reason, RetryReason
from carobramp_schema.generated.ticket import TeamState, Ticket, UpstreamChange

PROFILE = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)
QUOTAS = {"bakery": 5, "club": 50}
SLOTS = 3
UPSTREAMS = ("up-0", "up-1", "remote-0")
OUTCOMES = ("done", "failed", "unknown", "refused_busy", "connect_failed")

events = st.lists(
    st.one_of(
        st.tuples(
            st.just("submit"),
            st.integers(1, 12),
            st.sampled_from(sorted(QUOTAS)),
            st.sampled_from([item.name for item in CLASSES]),
            st.sampled_from([0.2, 2.0, 30.0]),
        ),
        st.tuples(st.just("answer"), st.integers(0, 1000), st.sampled_from(OUTCOMES)),
        st.tuples(st.just("duplicate"), st.integers(0, 1000)),
        st.tuples(st.just("cancel"), st.integers(0, 40)),
        st.tuples(st.just("advance"), st.sampled_from([0.001, 0.1, 1.0, 40.0])),
        st.tuples(st.just("leave"), st.sampled_from(UPSTREAMS)),
        st.tuples(st.just("remove"), st.sampled_from(UPSTREAMS)),
        st.tuples(st.just("live_vms"), st.integers(1, 4), st.integers(0, 9)),
    ),
    max_size=80,
)


def outcome_of(name):
    """Build the task outcome that a name of `OUTCOMES` stands for."""
    if name == "done":
        return TaskDone("result", 50.0)
    if name == "failed":
        return TaskFailed("error", 50.0)
    if name == "unknown":
        return TaskOutcomeUnknown("lost")
    return TaskNotStarted(RetryReason(name), "not started")


class InvariantChecker:
    """Drives a dispatcher by generated events and checks effects and state.

    Attributes
    ==========

    open_starts : starts without outcome by task id
    answered_starts : starts with an outcome, in order
    not_restartable : ids of tasks that may have run
    jobs : deadline of each submitted job by submission id
    finished : outcome of each finished job by submission id
    may_have_run : ids of jobs of which a task may have run
    """

    def __init__(self, test, policy):
        upstreams = {
            "up-0": upstream_state(slots=SLOTS),
            "up-1": upstream_state(slots=SLOTS, speed_hint=0.5),
            "remote-0": upstream_state("breda", slots=SLOTS),
        }
        teams = {name: TeamState(quota) for name, quota in QUOTAS.items()}
        self.test = test
        self.policy = policy
        self.driver = Driver(upstreams=upstreams, teams=teams, policy=policy)
        self.open_starts: dict = {}
        self.answered_starts: list = []
        self.not_restartable: set = set()
        self.jobs: dict = {}
        self.finished: dict = {}
        self.may_have_run: set = set()
        self.removed_upstreams: set = set()

    def step(self, event):
        """Handle one event of a generated history; its first item names a method."""
        getattr(self, "do_" + event[0])(*event[1:])
        self.check_state()

    def do_submit(self, tasks, team, name, deadline):
        """Submit a job."""
        job = f"job-{len(self.jobs)}"
        self.jobs[job] = self.driver.now + deadline
        self.check_effects(
            self.driver.submit(
                job, tasks=tasks, team=team, priority_class=name, deadline=deadline
            )
        )

    def do_answer(self, number, name):
        """Answer one task without outcome."""
        if not self.open_starts:
            return
        start = sorted(self.open_starts.values(), key=lambda s: str(s.task_id))[
            number % len(self.open_starts)
        ]
        del self.open_starts[start.task_id]
        self.answered_starts.append(start)
        outcome = outcome_of(name)
        if not isinstance(outcome, TaskNotStarted):
            self.not_restartable.add(start.task_id)
            self.may_have_run.add(start.task_id.submission_id)
        report = UpstreamReport(number % 7, SLOTS, False)
        self.check_effects(self.driver.answer(start, outcome, report))

    def do_duplicate(self, number):
        """Answer a task again that already has an outcome."""
        answered = [
            s for s in self.answered_starts if s.task_id not in self.open_starts
        ]
        if answered:
            self.check_effects(self.driver.answer(answered[number % len(answered)]))

    def do_cancel(self, number):
        """Cancel a job."""
        self.check_effects(
            self.driver.handle(JobCancelled(f"job-{number}", Reason.CANCELLED))
        )

    def do_advance(self, seconds):
        """Advance the clock."""
        self.check_effects(self.driver.advance(seconds))

    def do_leave(self, name):
        """Let the membership list name just this upstream as leaving."""
        self.check_effects(
            self.driver.handle(LeavingUpstreamsUpdated(frozenset({name})))
        )

    def do_remove(self, name):
        """Remove an upstream by ticket."""
        if name in self.removed_upstreams:
            return
        self.removed_upstreams.add(name)
        number = self.driver.state.number
        change = UpstreamChange(name, number, None)
        self.check_effects(
            self.driver.apply_ticket(Ticket(number + 1, "anna", upstreams=[change]))
        )

    def do_live_vms(self, vms, load):
        """Report live VMs and the load of a team at another VM."""
        loads = (TeamLoad("bakery", load, load),)
        self.check_effects(self.driver.handle(LiveVmsUpdated(vms, vms, loads)))

    def check_effects(self, effects):
        """Check the task starts and job outcomes among the effects."""
        for effect in effects:
            if isinstance(effect, StartTask):
                self.check_start(effect)
            elif isinstance(effect, JobFinished):
                self.check_finish(effect)

    def check_start(self, start):
        """Check that a task may start now at its upstream."""
        job = start.task_id.submission_id
        self.test.assertNotIn(start.task_id, self.open_starts)
        self.test.assertNotIn(start.task_id, self.not_restartable)
        self.test.assertNotIn(job, self.finished)
        self.test.assertLess(self.driver.now, self.jobs[job])
        self.test.assertNotIn(start.upstream, self.removed_upstreams)
        self.open_starts[start.task_id] = start

    def check_finish(self, effect):
        """Check that an outcome is the only one of its job and matches its tasks."""
        job, outcome = effect.submission_id, effect.outcome
        self.test.assertNotIn(job, self.finished)
        self.finished[job] = outcome
        ran = job in self.may_have_run or any(
            task_id.submission_id == job for task_id in self.open_starts
        )
        if isinstance(outcome, JobRefused):
            self.test.assertFalse(ran)
        if isinstance(outcome, JobFailed):
            self.test.assertFalse(ran and outcome.not_run)
        if isinstance(outcome, JobDone):
            self.test.assertNotIn(None, outcome.results)

    def check_state(self):
        """Check occupied slots, quotas and counts of waiting tasks."""
        dispatcher = self.driver.dispatcher
        self.test.assertEqual(set(dispatcher.running), set(self.open_starts))
        teams = collections.Counter(r.team.name for r in dispatcher.running.values())
        for name, usage in dispatcher.quotas.teams.items():
            self.test.assertEqual(usage.running, teams[name])
            self.test.assertLessEqual(usage.running, QUOTAS[name])
        for upstream in dispatcher.upstreams.values():
            if self.policy in ("earliest_finish", "static_share"):
                self.test.assertLessEqual(len(upstream.running), SLOTS)
        waiting = sum(len(job.waiting) for job in dispatcher.jobs.values())
        queued = sum(usage.waiting for usage in dispatcher.quotas.teams.values())
        self.test.assertEqual(waiting, queued)
        for pool in dispatcher.pools.values():
            self.test.assertEqual(pool.queue.waiting_tasks(), waiting)

    def finish(self):
        """Let all deadlines pass and check that every job has its outcome."""
        self.driver.advance(1000.0)
        self.check_effects(self.driver.effects)
        self.test.assertEqual(set(self.finished), set(self.jobs))
        self.test.assertEqual(self.driver.dispatcher.jobs, {})


class PropertyTests(unittest.TestCase):
    """Generated histories of submissions, answers, faults and changes."""

    @PROFILE
    @hypothesis.given(events, st.sampled_from(sorted(POLICIES)))
    def test_invariants_hold_for_every_history(self, history, policy):
        """Guards against two runs of a task, lost jobs, wrong counts and `not_run`."""
        checker = InvariantChecker(self, policy)
        for event in history:
            checker.step(event)
        checker.finish()

    @hypothesis.settings(PROFILE, max_examples=15)
    @hypothesis.given(st.integers(0, 10_000))
    def test_no_job_starves(self, seed):
        """Guards against a job that waits while later ones always go first."""
        rng = random.Random(seed)
        driver = Driver(upstreams={"up-0": upstream_state(slots=2)})
        classes = [item.name for item in CLASSES]
        driver.submit("first", tasks=6, priority_class="batch", deadline=300)
        pending = driver.starts()
        done: set = set()
        for number in range(900):
            if len(driver.dispatcher.jobs) < 12:
                driver.submit(
                    f"job-{number}",
                    tasks=rng.randint(1, 3),
                    team=rng.choice(("bakery", "club")),
                    priority_class=rng.choice(classes),
                    deadline=300,
                )
                pending += driver.starts()
            driver.now += 0.1
            driver.answer(pending.pop(rng.randrange(len(pending))))
            pending += driver.starts()
            done |= {
                e.submission_id for e in driver.effects if isinstance(e, JobFinished)
            }
        self.assertIn("first", done)

    def test_a_new_ticket_keeps_waiting_jobs(self):
        """Guards against jobs lost by a change of the deployment state."""
        driver = Driver(upstreams={"up-0": upstream_state(slots=1)})
        driver.submit(tasks=3)
        [start] = driver.starts()
        driver.apply_ticket(ticket(2, upstreams={"up-1": upstream_state(slots=2)}))
        names = [s.upstream for s in driver.starts()]
        self.assertEqual(names, ["up-1", "up-1"])
        driver.answer(start)
        self.assertEqual(driver.finished(), [])


if __name__ == "__main__":
    unittest.main()
