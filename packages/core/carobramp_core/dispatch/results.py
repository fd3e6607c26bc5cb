"""Applies the outcomes of tasks to upstreams, learned values and jobs."""

import functools

from carobramp_core.dispatch.messages import (
    IncrementCounter,
    TaskDone,
    TaskFailed,
    TaskNotStarted,
    TaskOutcomeReceived,
    TaskOutcomeUnknown,
)
from carobramp_core.dispatch.upstreams import RunningTask
from carobramp_core.outcomes import JobDone, Reason, RetryReason, WastedMessageKind

MS_PER_S = 1000
# Multiple of its expected time from which a task without answer counts as a failure
# of its upstream: a timeout because of a short deadline is none.
TIMEOUT_FACTOR = 2.0
# The client's timeout may fire slightly before the deadline.
DEADLINE_TOLERANCE_S = 0.005


def handle_task_outcome(event: TaskOutcomeReceived, dispatcher, now, effects):
    """Free the slot of a task and apply its outcome; a duplicate is only counted."""
    running = dispatcher.running.get(event.task_id)
    if running is None or running.upstream.name != event.upstream:
        effects.append(
            IncrementCounter("wasted_messages", WastedMessageKind.DUPLICATE_ANSWER)
        )
        return
    del dispatcher.running[event.task_id]
    upstream = running.upstream
    del upstream.running[event.task_id]
    running.team.running -= 1
    dispatcher.unblock_team(running.team)
    if event.report is not None:
        upstream.apply_report(event.report, now)
    pool = dispatcher.pools.get(upstream.state.service)
    if pool is not None:
        update_upstream(event, running, pool, now, effects, dispatcher)
        pool.group(upstream).update_candidate(upstream, now)
        dispatcher.changed_services.add(pool.name)
    update_job(event, running, dispatcher, now, effects)


def update_upstream(event, running, pool, now, effects, dispatcher):
    """Update guard, back-off, run times and speed of the task's upstream."""
    outcome, upstream = event.outcome, running.upstream
    if isinstance(outcome, TaskNotStarted):
        back_off_upstream(outcome, running, pool, now, effects)
        return
    if not isinstance(outcome, TaskOutcomeUnknown):
        upstream.record_answer()
        upstream.finished_at = now
        pool.group(upstream).record_answer(upstream)
    failed = counts_as_failure(outcome, running, now)
    if failed is None:
        return
    settings = pool.state.guard
    job = running.task_id.submission_id
    pool.service_counts.add(failed, job, now, settings.window_ms / MS_PER_S)
    if upstream.guard.record(
        failed, job, running.started_at, now, settings, pool.service_counts
    ):
        effects.append(IncrementCounter("guard_trips", pool.name))
    if not failed:
        learn_run_time(event, running, now, dispatcher.settings)


def counts_as_failure(outcome, running: RunningTask, now):
    """Return whether an outcome is a failure of the upstream; None if undecided."""
    if isinstance(outcome, TaskDone):
        return False
    if running.cancelled:
        return None
    if isinstance(outcome, TaskFailed):
        return True
    elapsed = now - running.started_at
    timed_out = elapsed >= running.timeout - DEADLINE_TOLERANCE_S
    if timed_out and elapsed < TIMEOUT_FACTOR * running.expected_s:
        return None
    return True


def learn_run_time(event, running: RunningTask, now, settings):
    """Learn run time and speed from a task that is done.

    Measured is the time from start to answer less the network time, as callers wait
    for it, or the reported run time when the task may have queued at the upstream.
    """
    outcome, upstream, estimator = event.outcome, running.upstream, running.estimator
    network = settings.network_ms if upstream.local else settings.far_network_ms
    measured = (now - running.started_at) * MS_PER_S - network
    report = event.report
    if report and outcome.run_ms > 0 and report.busy >= upstream.slots():
        measured = outcome.run_ms
    measured = max(measured, outcome.run_ms)
    expected = estimator.expected_ms(running.declared_run_ms)
    enough_samples = estimator.has_enough_samples()
    estimator.learn(running.declared_run_ms, measured * upstream.learned_speed())
    if enough_samples:
        upstream.learn_speed(expected, measured, estimator.log_variance(), now)


def back_off_upstream(outcome: TaskNotStarted, running, pool, now, effects):
    """Back off from an upstream that was unreachable or rejected a task."""
    upstream = running.upstream
    if now >= running.started_at + running.timeout:
        return
    if outcome.reason == RetryReason.CONNECT_FAILED:
        upstream.record_connect_failure(now)
        pool.group(upstream).record_connect_failure(upstream, now)
        return
    effects.append(IncrementCounter("wasted_messages", WastedMessageKind.REFUSED_START))
    if outcome.reason == RetryReason.REFUSED_LEAVING:
        upstream.leaving_reported = True
    upstream.record_rejection(now)


def update_job(event, running: RunningTask, dispatcher, now, effects):
    """Apply the outcome of a task to its job, unless the job has ended."""
    job, outcome = running.job, event.outcome
    if job is None:
        if isinstance(outcome, TaskDone | TaskFailed):
            effects.append(
                IncrementCounter("wasted_messages", WastedMessageKind.LATE_ANSWER)
            )
        return
    del job.running[event.task_id.index]
    if not isinstance(outcome, TaskNotStarted):
        job.may_have_run = True
    on_outcome(outcome, dispatcher, job, event, now, effects)


@functools.singledispatch
def on_outcome(outcome, dispatcher, job, event, now, effects):
    """Store a result, requeue the task or fail the job, by the type of outcome."""
    raise TypeError(f"unknown outcome {outcome!r}")


@on_outcome.register
def _(outcome: TaskDone, dispatcher, job, event, now, effects):
    job.results[event.task_id.index] = outcome.result
    job.done_count += 1
    if job.done_count == len(job.results):
        run_ms = (now - job.job.received_at) * MS_PER_S
        done = JobDone(tuple(job.results), run_ms)
        dispatcher.finish(job, done, now, effects)


@on_outcome.register
def _(outcome: TaskFailed, dispatcher, job, event, now, effects):
    detail = f"task {event.task_id.index} failed: {outcome.error}"
    dispatcher.fail(job, Reason.TASK_FAILED, detail, now, effects)


@on_outcome.register
def _(outcome: TaskNotStarted, dispatcher, job, event, now, effects):
    index = event.task_id.index
    if not job.pool.retry_budget.try_spend(now):
        detail = f"task {index} did not start at {event.upstream}: {outcome.detail}"
        dispatcher.fail(job, Reason.RETRY_BUDGET_SPENT, detail, now, effects)
        return
    effects.append(IncrementCounter("retries", outcome.reason))
    effects.append(IncrementCounter("wasted_messages", WastedMessageKind.RETRY))
    job.tried_upstreams.setdefault(index, set()).add(event.upstream)
    job.queue.requeue_task(job, index)


@on_outcome.register
def _(outcome: TaskOutcomeUnknown, dispatcher, job, event, now, effects):
    index = event.task_id.index
    if now >= job.job.deadline - DEADLINE_TOLERANCE_S:
        reason = Reason.DEADLINE_EXCEEDED
        detail = f"task {index} had no answer at the deadline"
    else:
        reason = Reason.OUTCOME_UNKNOWN
        detail = f"task {index} may have run: {outcome.detail}"
    dispatcher.fail(job, reason, detail, now, effects)
