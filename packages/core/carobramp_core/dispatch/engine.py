"""Dispatcher of one entry VM: turns events into effects.

Explanation
===========

The dispatcher holds the active jobs of one entry VM. Only one asyncio task may use
it: each call of `handle` takes an event and the current time and returns the effects
to carry out. Expired deadlines are handled before the event, so that no task of a
job starts after the job's deadline, however late the call is.
"""

import dataclasses
import functools
import heapq
import random

from carobramp_core.dispatch import deployment, results
from carobramp_core.dispatch.admission import check_load, check_request, is_evacuated
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
from carobramp_core.dispatch.routing import RoutingRequest, choose_upstream
from carobramp_core.dispatch.status import ServiceStatus, UpstreamStatus
from carobramp_core.dispatch.upstreams import RunningTask, Upstream
from carobramp_core.outcomes import JobFailed, JobRefused, Reason
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema.generated.settings import DispatchSettings

REFRESH_WAITING_S = 0.1
REFRESH_RUNNING_S = 0.5
REMOTE_REFRESH_S = 0.5
MAX_STALE_DEADLINES = 1000
# Keeps the jitter of network and event loop from making a short task a straggler.
STRAGGLER_MIN_S = 0.05
MS_PER_S = 1000


class Dispatcher:
    """Queues the jobs of one entry VM and starts their tasks at upstreams.

    Parameters
    ==========

    settings : dispatch settings
    rng : source of random choices
    zone : availability zone of this VM; when empty, every upstream counts as local
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
        self.changed_services: set[str] = set()
        self.refreshed_at = float("-inf")

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event at time `now`; return the effects to carry out."""
        effects: list[Effect] = []
        self.fail_expired_jobs(now, effects)
        on_event(event, self, now, effects)
        # An idle VM updates its estimates only with its next job: updating those of
        # 1,800 upstreams each second took 2% of a core.
        busy = self.jobs or self.running
        if busy and now - self.refreshed_at >= self.refresh_interval():
            self.refresh(now)
        self.start_waiting(now, effects)
        return effects

    def next_wakeup(self, now: float) -> float | None:
        """Return the time at which the next `Tick` is due, or None when idle."""
        while self.deadlines and self.deadlines[0][1] not in self.jobs:
            heapq.heappop(self.deadlines)
        if not self.deadlines and not self.running:
            return None
        refresh = self.refreshed_at + self.refresh_interval()
        return min(refresh, self.deadlines[0][0]) if self.deadlines else refresh

    def refresh_interval(self):
        """Return the seconds between two refreshes; fewer while tasks wait."""
        waiting = any(pool.queue.waiting_tasks() for pool in self.pools.values())
        return REFRESH_WAITING_S if waiting else REFRESH_RUNNING_S

    def fail_expired_jobs(self, now, effects):
        """Fail the jobs whose deadline has passed."""
        while self.deadlines and self.deadlines[0][0] <= now:
            job = self.jobs.get(heapq.heappop(self.deadlines)[1])
            if job is not None:
                detail = "the deadline passed before the whole answer was there"
                self.fail(job, Reason.DEADLINE_EXCEEDED, detail, now, effects)

    def refresh(self, now):
        """Update what changes with time: estimates, stragglers and blocked teams."""
        elapsed = now - self.refreshed_at
        self.refreshed_at = now
        if len(self.deadlines) > 2 * len(self.jobs) + MAX_STALE_DEADLINES:
            self.drop_stale_deadlines()
        for pool in self.pools.values():
            self.refresh_pool(pool, now, elapsed)
        for usage in self.quotas.teams.values():
            self.unblock_team(usage)

    def drop_stale_deadlines(self):
        """Remove the deadlines of finished jobs, which may lie ten minutes ahead."""
        self.deadlines = [entry for entry in self.deadlines if entry[1] in self.jobs]
        heapq.heapify(self.deadlines)

    def refresh_pool(self, pool: ServicePool, now, elapsed):
        """Update speeds, stragglers and candidates of one service."""
        remote_due = now - pool.remote_refreshed_at >= REMOTE_REFRESH_S
        groups = [pool.local, pool.remote] if remote_due else [pool.local]
        pool.measure_start_rate(now, elapsed)
        pool.normalize_speeds()
        pool.evacuated = is_evacuated(pool)
        for group in groups:
            for upstream in group.members.values():
                upstream.update_slowdown(now)
                upstream.decay_speed(now, min(elapsed, REMOTE_REFRESH_S))
            group.refresh(now)
        if remote_due:
            pool.remote_refreshed_at = now
        self.changed_services.add(pool.name)

    def unblock_team(self, usage):
        """Let the waiting tasks of a team start again when its quota has free slots."""
        if usage.blocked_queues and usage.has_capacity():
            for queue in usage.blocked_queues:
                queue.unblock_team(usage.name)
                self.changed_services.add(queue.service)
            usage.blocked_queues.clear()

    def start_waiting(self, now, effects):
        """Start waiting tasks of the services that changed since the last call."""
        while self.changed_services:
            pool = self.pools.get(self.changed_services.pop())
            if pool is not None:
                self.start_tasks(pool, now, effects)

    def start_tasks(self, pool: ServicePool, now, effects):
        """Start waiting tasks of one service until no class finds an upstream.

        If all its upstreams are evacuated, jobs with waiting tasks end at once.
        """
        if pool.evacuated and pool.queue.waiting_tasks():
            deployment.end_jobs_of_evacuated_service(pool, self, now, effects)
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
            upstream = choose_upstream(pool, self.routing_request(job), now, self.rng)
            if upstream is None:
                blocked.add(queue.name)
                pool.saturated |= not queue.reserve_percent
                continue
            self.start(job, queue.pop_task(job), upstream, now, effects)

    def routing_request(self, job: JobState):
        """Build the input of the routing policy for a job's next task."""
        index = job.waiting[-1]
        return RoutingRequest(
            work_ms=job.expected_ms[index],
            mean_ms=job.pool.estimator(job.job.priority_class).mean_ms(),
            tasks_ahead=job.pool.queue.tasks_ahead(job.queue),
            reserve_percent=job.queue.reserve_percent,
            exclude=job.tried_upstreams.get(index, frozenset()),
            network_ms=self.settings.network_ms,
            remote_network_ms=self.settings.far_network_ms,
        )

    def start(self, job: JobState, index, upstream: Upstream, now, effects):
        """Record a task as running and add the effects that start it."""
        task_id = TaskId(job.job.submission_id, index)
        state = upstream.state
        running = self.new_running_task(job, task_id, upstream, now)
        self.running[task_id] = job.running[index] = running
        upstream.running[task_id] = running
        job.team.running += 1
        job.pool.started_work_ms += job.expected_ms[index]
        job.pool.retry_budget.add_start(job.pool.state.retry_percent)
        job.pool.group(upstream).update_candidate(upstream, now)
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

    def new_running_task(self, job: JobState, task_id, upstream, now):
        """Build the record of a task that starts now."""
        estimator = job.pool.estimator(job.job.priority_class)
        expected_s = job.expected_ms[task_id.index] / upstream.speed / MS_PER_S
        return RunningTask(
            task_id=task_id,
            upstream=upstream,
            host=upstream.state.host,
            port=upstream.state.port,
            started_at=now,
            expected_s=expected_s,
            timeout=job.job.deadline - now,
            straggler_after_s=max(
                STRAGGLER_MIN_S, expected_s * estimator.straggler_factor()
            ),
            team=job.team,
            estimator=estimator,
            declared_run_ms=job.job.declared_run_ms[task_id.index],
            job=job,
        )

    def fail(self, job: JobState, reason, detail, now, effects):
        """End a job as failed; `not_run` is set when no task can have started."""
        self.finish(job, JobFailed(reason, detail, job.not_run()), now, effects)

    def finish(self, job: JobState, outcome, now, effects):
        """End a job: remove its waiting tasks and detach the running ones."""
        job.ended = True
        del self.jobs[job.job.submission_id]
        job.queue.remove_job(job)
        self.changed_services.add(job.pool.name)
        for running in job.running.values():
            self.detach_task(running, now, effects)
        job.running.clear()
        effects.append(JobFinished(job.job.submission_id, outcome))

    def detach_task(self, running: RunningTask, now, effects):
        """Detach a running task from its job; cancel it unless it is about to finish.

        The task occupies its slot until its outcome is received.
        """
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
        """Return what this VM knows of each upstream at `now`."""
        return [
            UpstreamStatus(
                name=upstream.name,
                service=upstream.state.service,
                availability_zone=upstream.state.availability_zone,
                slots=upstream.slots(),
                running=len(upstream.running),
                others=round(upstream.estimate_other_vm_tasks(now), 1),
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
        """Return the number of waiting tasks of each service, by class."""
        return [
            ServiceStatus(
                name, {c.name: c.waiting_tasks for c in pool.queue.classes.values()}
            )
            for name, pool in self.pools.items()
        ]


@functools.singledispatch
def on_event(event, dispatcher, now, effects):
    """Update the dispatcher for one event and append the effects."""
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
    """Queue a job and return None, or return why the load does not allow it."""
    pool = dispatcher.pools[job.service]
    queue = pool.queue.classes[job.priority_class]
    team_state = dispatcher.state.team(job.team)
    usage = dispatcher.quotas.team(job.team, team_state.quota_slots, team_state.weight)
    state = new_job_state(job, pool, queue, usage)
    if pool.rate() <= 0:
        pool.local.refresh(now)
        pool.remote.refresh(now)
    quota_slots = dispatcher.quotas.slots_with_demand(usage, len(state.waiting))
    refused = check_load(state, quota_slots, now)
    if refused is not None:
        return refused
    dispatcher.jobs[job.submission_id] = state
    heapq.heappush(dispatcher.deadlines, (job.deadline, job.submission_id))
    queue.add(state, pool.rate())
    dispatcher.changed_services.add(pool.name)
    return None


@on_event.register
def _(event: TaskOutcomeReceived, dispatcher, now, effects):
    results.handle_task_outcome(event, dispatcher, now, effects)


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
    dispatcher.quotas.update_demands(event)
    if event.zone_vms != dispatcher.zone_vms:
        deployment.set_zone_vms(dispatcher, event.zone_vms)
    for usage in dispatcher.quotas.teams.values():
        dispatcher.unblock_team(usage)


@on_event.register
def _(event: LeavingUpstreamsUpdated, dispatcher, now, effects):
    deployment.set_listed_leaving(dispatcher, event.names)


@on_event.register
def _(event: Tick, dispatcher, now, effects):
    """Deadlines and refreshes are handled with every event."""
