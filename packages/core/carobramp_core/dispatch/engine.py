"""Turns events into effects: the decisions of dispatch.

Explanation
===========

The dispatcher holds the jobs under way of one entry VM. It is owned by one task;
each call of `handle` takes an event and the present time and returns the effects
to carry out. Due deadlines are handled before the event, so that no task of a job
starts after its deadline, however late the call is.
"""

import dataclasses
import functools
import heapq
import random

from carobramp_core.dispatch import deployment, results
from carobramp_core.dispatch.admission import check_load, check_request
from carobramp_core.dispatch.jobs import JobState, new_job_state
from carobramp_core.dispatch.messages import (
    CancelTask,
    DeploymentStateChanged,
    Effect,
    Event,
    JobCancelled,
    JobFinished,
    JobSubmitted,
    LeavingUpstreamsUpdated,
    LiveVmsUpdated,
    RecordHistogram,
    StartTask,
    TaskId,
    TaskOutcomeReceived,
    Tick,
)
from carobramp_core.dispatch.pool import ServicePool
from carobramp_core.dispatch.quotas import Quotas
from carobramp_core.dispatch.routing import Choice, choose
from carobramp_core.dispatch.status import ServiceStatus, UpstreamStatus
from carobramp_core.dispatch.upstreams import RunningTask, Upstream
from carobramp_core.outcomes import JobFailed, JobRefused, Reason
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema.generated.settings import DispatchSettings

REFRESH_WAITING_S = 0.1
REFRESH_RUNNING_S = 0.5
FAR_REFRESH_S = 0.5
STALE_DEADLINES = 1000
# Jitter of network and event loop does not make a short task a straggler.
STRAGGLER_MIN_S = 0.05
MS_PER_S = 1000


class Dispatcher:
    """Dispatch decisions of one entry VM.

    Parameters
    ==========

    settings : dispatch settings
    rng : source of random choices
    zone : availability zone of this VM; with an empty one, every upstream counts as
        one of the own zone
    name : name of this VM
    """

    def __init__(
        self, settings: DispatchSettings, rng: random.Random, zone="", name=""
    ):
        self.settings = settings
        self.rng = rng
        self.zone = zone
        self.name = name
        self.state = DeploymentState()
        self.zone_vms = 1
        self.listed_leaving: frozenset[str] = frozenset()
        self.jobs: dict[str, JobState] = {}
        self.running: dict[TaskId, RunningTask] = {}
        self.pools: dict[str, ServicePool] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.quotas = Quotas()
        self.deadlines: list[tuple[float, str]] = []
        self.changed: set[str] = set()
        self.refreshed_at = float("-inf")

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take an event at time `now` and return the effects to carry out."""
        effects: list[Effect] = []
        self.expire(now, effects)
        on_event(event, self, now, effects)
        # Estimates of an idle VM are renewed with its next job; renewing those of
        # 1,800 upstreams each second took 2% of a core.
        busy = self.jobs or self.running
        if busy and now - self.refreshed_at >= self.refresh_interval():
            self.refresh(now)
        self.start_waiting(now, effects)
        return effects

    def next_wakeup(self, now: float) -> float | None:
        """Return the time at which a `Tick` is due, or None."""
        while self.deadlines and self.deadlines[0][1] not in self.jobs:
            heapq.heappop(self.deadlines)
        if not self.deadlines and not self.running:
            return None
        refresh = self.refreshed_at + self.refresh_interval()
        return min(refresh, self.deadlines[0][0]) if self.deadlines else refresh

    def refresh_interval(self):
        """Return the time between two refreshes of the estimates."""
        waiting = any(pool.queue.tasks() for pool in self.pools.values())
        return REFRESH_WAITING_S if waiting else REFRESH_RUNNING_S

    def expire(self, now, effects):
        """Fail the jobs whose deadline has passed."""
        while self.deadlines and self.deadlines[0][0] <= now:
            job = self.jobs.get(heapq.heappop(self.deadlines)[1])
            if job is not None:
                detail = "the deadline passed before the whole answer was there"
                self.fail(job, Reason.DEADLINE_EXCEEDED, detail, now, effects)

    def refresh(self, now):
        """Renew what changes with time: estimates, stragglers, quota parts."""
        elapsed = now - self.refreshed_at
        self.refreshed_at = now
        if len(self.deadlines) > 2 * len(self.jobs) + STALE_DEADLINES:
            self.drop_stale_deadlines()
        for pool in self.pools.values():
            self.refresh_pool(pool, now, elapsed)
        for use in self.quotas.teams.values():
            self.release(use)

    def drop_stale_deadlines(self):
        """Forget the deadlines of finished jobs; they may lie ten minutes ahead."""
        self.deadlines = [entry for entry in self.deadlines if entry[1] in self.jobs]
        heapq.heapify(self.deadlines)

    def refresh_pool(self, pool: ServicePool, now, elapsed):
        """Renew the estimates of one service."""
        far_due = now - pool.far_refreshed_at >= FAR_REFRESH_S
        groups = [pool.near, pool.far] if far_due else [pool.near]
        pool.measure_drain(now, elapsed)
        pool.normalize_speeds()
        for group in groups:
            for upstream in group.members.values():
                upstream.check_stragglers(now)
                upstream.forget_speed(now, min(elapsed, FAR_REFRESH_S))
            group.refresh(now)
        if far_due:
            pool.far_refreshed_at = now
        self.changed.add(pool.name)

    def release(self, use):
        """Let the waiting tasks of a team go on if its quota has room."""
        if use.parked_in and use.has_room():
            for queue in use.parked_in:
                queue.release(use.name)
                self.changed.add(queue.service)
            use.parked_in.clear()

    def start_waiting(self, now, effects):
        """Start waiting tasks of the services in which something changed."""
        while self.changed:
            pool = self.pools.get(self.changed.pop())
            if pool is not None:
                self.start_tasks(pool, now, effects)

    def start_tasks(self, pool: ServicePool, now, effects):
        """Start waiting tasks of one service while there is an upstream for them."""
        blocked: set[str] = set()
        pool.saturated = False
        while True:
            queue = pool.queue.next_class(blocked)
            if queue is None:
                return
            job = queue.peek()
            if job is None:
                blocked.add(queue.name)
                continue
            upstream = choose(pool, self.choice(job), now, self.rng)
            if upstream is None:
                blocked.add(queue.name)
                pool.saturated |= not queue.reserve_percent
                continue
            self.start(job, queue.take(job), upstream, now, effects)

    def choice(self, job: JobState):
        """Return what the routing policy decides on for a job's next task."""
        index = job.waiting[-1]
        return Choice(
            work_ms=job.expected_ms[index],
            mean_ms=job.pool.runtimes(job.job.priority_class).mean_ms(),
            before=job.pool.queue.tasks_before(job.queue),
            percent=job.queue.reserve_percent,
            exclude=job.tried.get(index, frozenset()),
            network_ms=self.settings.network_ms,
            far_network_ms=self.settings.far_network_ms,
        )

    def start(self, job: JobState, index, upstream: Upstream, now, effects):
        """Start one task."""
        task_id = TaskId(job.job.submission_id, index)
        state = upstream.state
        running = self.running_task(job, task_id, upstream, now)
        self.running[task_id] = job.running[index] = running
        upstream.running[task_id] = running
        job.team.running += 1
        job.pool.started_ms += job.expected_ms[index]
        job.pool.budget.started(job.pool.state.retry_percent)
        job.pool.group(upstream).push(upstream, now)
        queued_ms = (now - job.job.received_at) * MS_PER_S
        effects.append(RecordHistogram("queue_ms", job.job.priority_class, queued_ms))
        effects.append(
            StartTask(
                task_id=task_id,
                upstream=upstream.name,
                host=state.host,
                port=state.port,
                connections=state.connections,
                service=job.job.service,
                payload=job.job.payloads[index],
                declared_run_ms=job.job.declared_run_ms[index],
                timeout=running.timeout,
                deadline=job.job.deadline,
            )
        )

    def running_task(self, job: JobState, task_id, upstream, now):
        """Build the record of a task that is started."""
        runtimes = job.pool.runtimes(job.job.priority_class)
        expected_s = job.expected_ms[task_id.index] / upstream.speed / MS_PER_S
        return RunningTask(
            task_id=task_id,
            upstream=upstream,
            host=upstream.state.host,
            port=upstream.state.port,
            started=now,
            expected_s=expected_s,
            timeout=job.job.deadline - now,
            straggler_s=max(STRAGGLER_MIN_S, expected_s * runtimes.straggler_factor()),
            team=job.team,
            runtimes=runtimes,
            declared_ms=job.job.declared_run_ms[task_id.index],
            job=job,
        )

    def fail(self, job: JobState, reason, detail, now, effects):
        """Fail a job as a whole."""
        self.finish(job, JobFailed(reason, detail, job.not_run()), now, effects)

    def finish(self, job: JobState, outcome, now, effects):
        """End a job: drop its waiting tasks and cancel the running ones."""
        job.ended = True
        del self.jobs[job.job.submission_id]
        job.queue.drop(job)
        self.changed.add(job.pool.name)
        for running in job.running.values():
            self.abandon(running, now, effects)
        job.running.clear()
        effects.append(JobFinished(job.job.submission_id, outcome))

    def abandon(self, running: RunningTask, now, effects):
        """Let a running task go; it keeps its slot until its outcome comes."""
        running.job = None
        if running.remaining_s(now) * MS_PER_S <= self.settings.cancel_min_ms:
            return
        running.cancelled = True
        name = running.upstream.name
        cancel = CancelTask(running.task_id, name, running.host, running.port)
        effects.append(cancel)

    def team_loads(self) -> list[tuple[str, int, int]]:
        """Return (team, running, waiting) of each team with tasks."""
        return self.quotas.loads()

    def upstream_status(self, now) -> list[UpstreamStatus]:
        """Return what is known of each upstream."""
        return [
            UpstreamStatus(
                name=upstream.name,
                service=upstream.state.service,
                availability_zone=upstream.state.availability_zone,
                slots=upstream.slots(),
                running=len(upstream.running),
                others=round(upstream.others_now(now), 1),
                speed=round(upstream.speed, 3),
                guard=upstream.guard.state(now),
                usable=upstream.usable(now),
            )
            for upstream in self.upstreams.values()
        ]

    def view(self, now) -> dict[str, dict]:
        """Return the fields of `upstream_status` by name, for the status page."""
        rows = [dataclasses.asdict(row) for row in self.upstream_status(now)]
        return {row.pop("name"): row for row in rows}

    def service_status(self) -> list[ServiceStatus]:
        """Return the waiting tasks of each service, by class."""
        return [
            ServiceStatus(name, {c.name: c.tasks for c in pool.queue.classes.values()})
            for name, pool in self.pools.items()
        ]


@functools.singledispatch
def on_event(event, dispatcher, now, effects):
    """Carry out one event."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: JobSubmitted, dispatcher, now, effects):
    job = event.job
    if job.submission_id in dispatcher.jobs:
        return
    refused = check_request(job, dispatcher.state, now)
    if refused is None:
        refused = admit(job, dispatcher, now)
    if refused is not None:
        effects.append(JobFinished(job.submission_id, refused))


def admit(job, dispatcher, now) -> JobRefused | None:
    """Queue a job, unless the load speaks against it."""
    pool = dispatcher.pools[job.service]
    queue = pool.queue.classes[job.priority_class]
    team_state = dispatcher.state.team(job.team)
    use = dispatcher.quotas.team(job.team, team_state.quota_slots, team_state.weight)
    state = new_job_state(job, pool, queue, use)
    if pool.rate() <= 0:
        pool.near.refresh(now)
        pool.far.refresh(now)
    quota_slots = dispatcher.quotas.possible(use, len(state.waiting))
    refused = check_load(state, quota_slots, now)
    if refused is not None:
        return refused
    dispatcher.jobs[job.submission_id] = state
    heapq.heappush(dispatcher.deadlines, (job.deadline, job.submission_id))
    queue.add(state, pool.rate())
    dispatcher.changed.add(pool.name)
    return None


@on_event.register
def _(event: TaskOutcomeReceived, dispatcher, now, effects):
    results.take_answer(event, dispatcher, now, effects)


@on_event.register
def _(event: JobCancelled, dispatcher, now, effects):
    job = dispatcher.jobs.get(event.submission_id)
    if job is not None:
        dispatcher.fail(job, event.reason, "cancelled", now, effects)


@on_event.register
def _(event: DeploymentStateChanged, dispatcher, now, effects):
    deployment.apply_state(event.state, dispatcher, now, effects)


@on_event.register
def _(event: LiveVmsUpdated, dispatcher, now, effects):
    dispatcher.quotas.seen(event)
    if event.zone_vms != dispatcher.zone_vms:
        deployment.set_zone_vms(dispatcher, event.zone_vms)
    for use in dispatcher.quotas.teams.values():
        dispatcher.release(use)


@on_event.register
def _(event: LeavingUpstreamsUpdated, dispatcher, now, effects):
    deployment.set_leaving(dispatcher, event.names)


@on_event.register
def _(event: Tick, dispatcher, now, effects):
    """Deadlines and refreshes are handled with every event."""
