"""Takes the outcomes of tasks into upstream views, learned values and jobs."""

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
# An answerless task counts against its upstream from this multiple of its expected
# time on: a short deadline is not the upstream's failure.
TIMEOUT_FACTOR = 2.0
# The client's time-out may fire slightly before the deadline.
DEADLINE_TOLERANCE_S = 0.005


def take_answer(event: TaskOutcomeReceived, dispatcher, now, effects):
    """Take the outcome of a started task; a second one is only counted."""
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
    dispatcher.release(running.team)
    if event.report is not None:
        upstream.take_report(event.report, now)
    pool = dispatcher.pools.get(upstream.state.service)
    if pool is not None:
        judge_upstream(event, running, pool, now, effects, dispatcher)
        pool.group(upstream).push(upstream, now)
        dispatcher.changed.add(pool.name)
    take_into_job(event, running, dispatcher, now, effects)


def judge_upstream(event, running, pool, now, effects, dispatcher):
    """Learn from an outcome about its upstream."""
    outcome, upstream = event.outcome, running.upstream
    if isinstance(outcome, TaskNotStarted):
        not_started(outcome, running, pool, now, effects)
        return
    if not isinstance(outcome, TaskOutcomeUnknown):
        upstream.answered()
        upstream.finished_at = now
        pool.group(upstream).answered(upstream)
    failed = is_failure(outcome, running, now)
    if failed is None:
        return
    settings = pool.state.guard
    job = running.task_id.submission_id
    pool.totals.add(failed, job, now, settings.window_ms / MS_PER_S)
    if upstream.guard.record(failed, job, running.started, now, settings, pool.totals):
        effects.append(IncrementCounter("guard_trips", pool.name))
    if not failed:
        learn_times(event, running, now, dispatcher.settings)


def is_failure(outcome, running: RunningTask, now):
    """Return whether an outcome counts as a failure; None when it says nothing."""
    if isinstance(outcome, TaskDone):
        return False
    if running.cancelled:
        return None
    if isinstance(outcome, TaskFailed):
        return True
    elapsed = now - running.started
    timed_out = elapsed >= running.timeout - DEADLINE_TOLERANCE_S
    if timed_out and elapsed < TIMEOUT_FACTOR * running.expected_s:
        return None
    return True


def learn_times(event, running: RunningTask, now, settings):
    """Learn run time and speed from a task that is done.

    The time from start to answer counts, as callers wait for it, unless the task
    had to wait for a slot at the upstream.
    """
    outcome, upstream, runtimes = event.outcome, running.upstream, running.runtimes
    network = settings.network_ms if upstream.near else settings.far_network_ms
    measured = (now - running.started) * MS_PER_S - network
    report = event.report
    if report and outcome.run_ms > 0 and report.busy >= upstream.slots():
        measured = outcome.run_ms
    measured = max(measured, outcome.run_ms)
    expected = runtimes.expected_ms(running.declared_ms)
    settled = runtimes.has_enough_samples()
    runtimes.learn(running.declared_ms, measured * upstream.learned_speed())
    if settled:
        upstream.learn_speed(expected, measured, runtimes.log_variance(), now)


def not_started(outcome: TaskNotStarted, running, pool, now, effects):
    """Keep an upstream from getting tasks that it would not start."""
    upstream = running.upstream
    if now >= running.started + running.timeout:
        return
    if outcome.reason == RetryReason.CONNECT_FAILED:
        upstream.connect_failed(now)
        pool.group(upstream).connect_failed(upstream, now)
        return
    effects.append(IncrementCounter("wasted_messages", WastedMessageKind.REFUSED_START))
    if outcome.reason == RetryReason.REFUSED_LEAVING:
        upstream.leaving_reported = True
    upstream.refused(now)


def take_into_job(event, running: RunningTask, dispatcher, now, effects):
    """Take the outcome of a task into its job."""
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
    """Take the outcome of one task into its job."""
    raise TypeError(f"unknown outcome {outcome!r}")


@on_outcome.register
def _(outcome: TaskDone, dispatcher, job, event, now, effects):
    job.results[event.task_id.index] = outcome.result
    job.done += 1
    if job.done == len(job.results):
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
    if not job.pool.budget.spend(now):
        detail = f"task {index} did not start at {event.upstream}: {outcome.detail}"
        dispatcher.fail(job, Reason.RETRY_BUDGET_SPENT, detail, now, effects)
        return
    effects.append(IncrementCounter("retries", outcome.reason))
    effects.append(IncrementCounter("wasted_messages", WastedMessageKind.RETRY))
    job.tried.setdefault(index, set()).add(event.upstream)
    job.queue.put_back(job, index)


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
