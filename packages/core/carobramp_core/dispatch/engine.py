"""Turns events into effects: the decisions of dispatch.

Explanation
===========

The dispatcher holds the jobs under way of one entry VM. It is owned by one task;
each call of `handle` takes an event and the present time and returns the effects
to carry out.
"""

import collections
import dataclasses
import functools
import random

from carobramp_core.dispatch.messages import (
    CancelTask,
    Count,
    Effect,
    Event,
    Job,
    JobCancelled,
    JobFinished,
    JobSubmitted,
    PeersSeen,
    StartTask,
    StateInForce,
    TaskAnswered,
    TaskDone,
    TaskFailed,
    TaskId,
    TaskNotStarted,
    TaskUnknown,
    Tick,
    UpstreamsLeaving,
)
from carobramp_core.outcomes import JobDone, JobFailed, JobRefused, Reason
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema.generated.settings import DispatchSettings


@dataclasses.dataclass
class RunningJob:
    """Progress of a job."""

    job: Job
    results: dict[int, object] = dataclasses.field(default_factory=dict)
    running: dict[int, str] = dataclasses.field(default_factory=dict)
    started: bool = False


class Dispatcher:
    """Dispatch decisions of one entry VM."""

    def __init__(self, settings: DispatchSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.state = DeploymentState()
        self.jobs: dict[str, RunningJob] = {}
        self.waiting: collections.deque[TaskId] = collections.deque()
        self.outstanding: collections.Counter[str] = collections.Counter()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take an event at time `now` and return the effects to carry out."""
        effects: list[Effect] = []
        on_event(event, self, now, effects)
        self.start_waiting(now, effects)
        return effects

    def next_wakeup(self, now: float) -> float | None:
        """Return the time at which a `Tick` is due, or None."""
        deadlines = [running.job.deadline for running in self.jobs.values()]
        return min(deadlines, default=None)

    def start_waiting(self, now, effects):
        """Start waiting tasks while there are free slots."""
        while self.waiting:
            running = self.jobs.get(self.waiting[0].submission_id)
            if running is None:
                self.waiting.popleft()
                continue
            upstream = self.free_upstream(running.job.service)
            if upstream is None:
                return
            self.start(self.waiting.popleft(), running, upstream, now, effects)

    def free_upstream(self, service):
        """Return the upstream of a service with most free slots, or None."""
        best, most = None, 0
        for name, versioned in self.state.upstreams.items():
            upstream = versioned.state
            free = upstream.slots - self.outstanding[name]
            if upstream.service == service and not upstream.leaving and free > most:
                best, most = name, free
        return best

    def start(self, task_id, running, name, now, effects):
        """Start one task."""
        upstream = self.state.upstream(name)
        self.outstanding[name] += 1
        running.running[task_id.index] = name
        running.started = True
        effects.append(
            StartTask(
                task_id=task_id,
                upstream=name,
                host=upstream.host,
                port=upstream.port,
                connections=upstream.connections,
                service=running.job.service,
                payload=running.job.payloads[task_id.index],
                run_ms=running.job.run_ms[task_id.index],
                timeout=running.job.deadline - now,
            )
        )

    def finish(self, submission_id, outcome, effects):
        """End a job and cancel what still runs."""
        running = self.jobs.pop(submission_id)
        for index, name in running.running.items():
            upstream = self.state.upstream(name)
            if upstream is not None:
                task_id = TaskId(submission_id, index)
                effects.append(CancelTask(task_id, name, upstream.host, upstream.port))
        effects.append(JobFinished(submission_id, outcome))


@functools.singledispatch
def on_event(event, dispatcher, now, effects):
    """Carry out one event."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: JobSubmitted, dispatcher, now, effects):
    job = event.job
    if dispatcher.state.service(job.service) is None:
        detail = f"there is no service {job.service}"
        outcome = JobRefused(Reason.UNKNOWN_SERVICE, detail)
        effects.append(JobFinished(job.submission_id, outcome))
        return
    dispatcher.jobs[job.submission_id] = RunningJob(job)
    for index in range(len(job.payloads)):
        dispatcher.waiting.append(TaskId(job.submission_id, index))


@on_event.register
def _(event: TaskAnswered, dispatcher, now, effects):
    task_id = event.task_id
    dispatcher.outstanding[event.upstream] -= 1
    running = dispatcher.jobs.get(task_id.submission_id)
    if running is None:
        effects.append(Count("wasted_messages", "late_answer"))
        return
    del running.running[task_id.index]
    on_outcome(event.outcome, dispatcher, running, task_id, now, effects)


@on_event.register
def _(event: JobCancelled, dispatcher, now, effects):
    running = dispatcher.jobs.get(event.submission_id)
    if running is None:
        return
    outcome = JobFailed(event.reason, "cancelled", not running.started)
    dispatcher.finish(event.submission_id, outcome, effects)


@on_event.register
def _(event: StateInForce, dispatcher, now, effects):
    dispatcher.state = event.state


@on_event.register(PeersSeen)
@on_event.register(UpstreamsLeaving)
def _(event, dispatcher, now, effects):
    pass


@on_event.register
def _(event: Tick, dispatcher, now, effects):
    due = [r for r in dispatcher.jobs.values() if r.job.deadline <= now]
    for running in due:
        detail = "the deadline passed before the whole answer was there"
        outcome = JobFailed(Reason.DEADLINE_EXCEEDED, detail, not running.started)
        dispatcher.finish(running.job.submission_id, outcome, effects)


@functools.singledispatch
def on_outcome(outcome, dispatcher, running, task_id, now, effects):
    """Take the outcome of one task into its job."""
    raise TypeError(f"unknown outcome {outcome!r}")


@on_outcome.register
def _(outcome: TaskDone, dispatcher, running, task_id, now, effects):
    running.results[task_id.index] = outcome.result
    count = len(running.job.payloads)
    if len(running.results) < count:
        return
    results = tuple(running.results[index] for index in range(count))
    done = JobDone(results, (now - running.job.received) * 1000)
    dispatcher.finish(task_id.submission_id, done, effects)


@on_outcome.register
def _(outcome: TaskFailed, dispatcher, running, task_id, now, effects):
    detail = f"task {task_id.index} failed: {outcome.error}"
    failed = JobFailed(Reason.TASK_FAILED, detail)
    dispatcher.finish(task_id.submission_id, failed, effects)


@on_outcome.register
def _(outcome: TaskNotStarted, dispatcher, running, task_id, now, effects):
    effects.append(Count("retries", outcome.reason))
    dispatcher.waiting.appendleft(task_id)


@on_outcome.register
def _(outcome: TaskUnknown, dispatcher, running, task_id, now, effects):
    detail = f"task {task_id.index} may have run: {outcome.detail}"
    failed = JobFailed(Reason.OUTCOME_UNKNOWN, detail)
    dispatcher.finish(task_id.submission_id, failed, effects)
