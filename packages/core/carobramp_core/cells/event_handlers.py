"""Handlers of the events of a cell's owner.

Each handler receives the event, the owner, the current time and the list to which it
appends its effects.
"""

import functools
import math

from carobramp_core.cells.abandonment import abandon_hopeless_jobs
from carobramp_core.cells.admission import return_tasks, return_unsuitable_tasks
from carobramp_core.cells.cell_evacuation import apply_evacuations
from carobramp_core.cells.evacuation import Evacuations, EvacuationsRead
from carobramp_core.cells.losses import (
    log_lost_runs,
    record_answer,
    record_evidence,
    record_expired_lease,
    record_restart,
)
from carobramp_core.cells.messages import (
    CancelJob,
    CancelRequest,
    JobCancelled,
    Offer,
    Placement,
    ReturnReason,
    TaskResult,
    TasksStarted,
)
from carobramp_core.cells.orders import (
    Accepted,
    EntriesPaused,
    EntryLinksClosed,
    EntryMessageReceived,
    Listing,
    LogEvent,
    NoAnswer,
    OwnershipLost,
    OwnerTick,
    PollAnswered,
    Rejected,
    RejectReason,
    RunEndKind,
    SendToAllEntries,
    SendToEntry,
    StartAnswered,
    StopAnswered,
    UpstreamsListed,
)
from carobramp_core.cells.placement import WaitingTask, ends_too_late
from carobramp_core.cells.resumed_offers import resume_offers
from carobramp_core.cells.upstreams import Run, RunPhase, Upstream

MS_PER_S = 1000
# Retention of results for which no entry waited; entries ask for them after a takeover.
RESULT_RETENTION_S = 3.0
# Reasons of a rejected start after which the upstream gets no starts for a moment.
BACKOFF_REASONS = (
    RejectReason.NO_CAPACITY,
    RejectReason.UNHEALTHY,
    RejectReason.DEADLINE_PASSED,
)


@functools.singledispatch
def on_event(event, owner, now, effects):
    """Update the owner's state for an event and append the effects."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: EntryMessageReceived, owner, now, effects):
    on_message(event.message, event.entry, owner, now, effects)


@functools.singledispatch
def on_message(message, entry, owner, now, effects):
    """Update the owner's state for a message of an entry and append the effects."""
    raise TypeError(f"unknown message {message!r}")


@on_message.register
def _(message: Offer, entry, owner, now, effects):
    owner.handle_offer(entry, message, now, effects)


@on_message.register
def _(message: CancelJob, entry, owner, now, effects):
    if owner.entry_by_job.get(message.job_id) == entry:
        latest_end = now + owner.limits.lease_end_after_cancel_s()
        owner.limit_leases_of_job(message.job_id, latest_end)
        owner.release_job(message.job_id, now, effects)


@on_message.register
def _(message: CancelRequest, entry, owner, now, effects):
    if message.to_entries and message.job_id not in owner.entry_by_job:
        effects.append(SendToAllEntries(JobCancelled(message.job_id)))
    owner.cancel_job(message.job_id, now, effects)


@on_message.register
def _(message: Evacuations, entry, owner, now, effects):
    apply_evacuations(owner, message, entry, effects)


@on_event.register
def _(event: EvacuationsRead, owner, now, effects):
    apply_evacuations(owner, event.evacuations, "store", effects)


@on_event.register
def _(event: EntryLinksClosed, owner, now, effects):
    for link in event.links:
        jobs = {job for job, name in owner.entry_by_job.items() if name == link.entry}
        if not jobs:
            continue
        owner.waiting = [task for task in owner.waiting if task.job.job_id not in jobs]
        owner.disconnected_entries[link.entry] = now + owner.limits.entry_reconnect_s
        latest_end = link.last_echo_at + owner.limits.lease_end_before_retry_s()
        for job_id in jobs:
            owner.limit_leases_of_job(job_id, latest_end)
        fields = {"entry": link.entry, "jobs": len(jobs)}
        effects.append(LogEvent("link to an entry closed", fields))


@on_event.register
def _(event: EntriesPaused, owner, now, effects):
    owner.waiting = [task for task in owner.waiting if task.entry not in event.entries]
    owner.resumed_offers = [
        pending for pending in owner.resumed_offers if pending[0] not in event.entries
    ]
    for run in owner.runs.values():
        if run.entry in event.entries:
            run.requeue = False


@on_event.register
def _(event: UpstreamsListed, owner, now, effects):
    owner.upstreams_listed = True
    records = {record.name: record for record in event.upstreams}
    for name, record in records.items():
        upstream = owner.upstreams.get(name)
        if upstream is None:
            owner.upstreams[name] = Upstream(record, owner.limits, now)
            fields = {"upstream": name, "state": record.state}
            effects.append(LogEvent("upstream added", fields))
            continue
        if upstream.record.state != record.state:
            fields = {"upstream": name, "state": record.state}
            effects.append(LogEvent("upstream changed its state", fields))
        upstream.record = record
        upstream.missing_since = None
    for upstream in owner.upstreams.values():
        if upstream.name not in records and upstream.missing_since is None:
            upstream.missing_since = now
    owner.index_services()
    return_unsuitable_tasks(owner, now, effects)


@on_event.register
def _(event: PollAnswered, owner, now, effects):
    upstream = owner.upstreams.get(event.order.upstream)
    if upstream is None or owner.ownership_lost:
        return
    on_poll_outcome(event.outcome, upstream, owner, event, now, effects)
    resume_offers(owner, now, effects)


@functools.singledispatch
def on_poll_outcome(outcome, upstream, owner, event, now, effects):
    """Update the state of an upstream for the outcome of a poll order."""
    raise TypeError(f"unknown outcome {outcome!r}")


@on_poll_outcome.register
def _(outcome: Listing, upstream: Upstream, owner, event, now, effects):
    upstream.record_clock(outcome.clock_ms, now)
    if not upstream.answered or upstream.suspect:
        fields = {"upstream": upstream.name, "born_ms": outcome.born_ms}
        effects.append(LogEvent("upstream answers", fields))
    upstream.answered = True
    upstream.suspect = False
    upstream.process_gone = False
    if not upstream.born_ms:
        upstream.born_ms = outcome.born_ms
    record_answer(owner, upstream, outcome.born_ms, now, effects)
    if outcome.born_ms != upstream.born_ms:
        fields = {"upstream": upstream.name, "born_ms": outcome.born_ms}
        effects.append(
            LogEvent(
                "upstream restarted", {**fields, "lives": upstream.incarnation_count}
            )
        )
        record_restart(owner, upstream, now, effects)
        upstream.start_incarnation(outcome.born_ms, now)
        if upstream.runs:
            owner.request_listing(upstream, effects)
            return
    for end in outcome.ended:
        record_end(end, upstream, owner, now, effects)
    if outcome.clock_ms <= upstream.listing_ms:
        # Answers may arrive out of order; an older listing may contain ended runs.
        return
    upstream.listing_ms = outcome.clock_ms
    active = {active_run.run_id: active_run for active_run in outcome.running}
    adopted = [item for item in outcome.running if item.run_id not in upstream.runs]
    for active_run in adopted:
        adopt_run(active_run, upstream, owner, now, effects)
    if adopted:
        lease_left_s = upstream.lease_limit() - now
        fields = {"upstream": upstream.name, "runs": len(adopted)}
        fields["lease_left_ms"] = round_ms(lease_left_s)
        effects.append(LogEvent("runs of an earlier owner adopted", fields))
    for run in list(upstream.runs.values()):
        compare_with_listing(
            run, active.get(run.run_id), owner, event.sent_at, now, effects
        )


def round_ms(seconds) -> int | None:
    """Return a time in whole milliseconds, or None if it is infinite."""
    return round(seconds * MS_PER_S) if math.isfinite(seconds) else None


def record_end(end, upstream: Upstream, owner, now, effects):
    """Process one listed end of a run, unless an earlier listing contained it."""
    if end.number <= upstream.acknowledged:
        return
    upstream.acknowledged = end.number
    run = upstream.runs.get(end.run_id)
    if run is None:
        key = end.run_id.job_id, end.run_id.index
        if end.kind == RunEndKind.DONE:
            owner.results[key] = (TaskResult.DONE, upstream.name, now)
        return
    learn_from_end(end, run, upstream, owner, now, effects)
    result = {RunEndKind.DONE: TaskResult.DONE, RunEndKind.FAILED: TaskResult.FAILED}
    owner.finish_run(run, result.get(end.kind, TaskResult.LOST), now, effects)


def learn_from_end(end, run: Run, upstream: Upstream, owner, now, effects):
    """Update run times, the upstream's speed and its failures from the end of a run."""
    if end.kind == RunEndKind.FAILED:
        failed_elsewhere = any(
            upstream is not other and run.run_id.job_id in other.failed_jobs
            for other in owner.upstreams.values()
        )
        if not failed_elsewhere and upstream.record_failure(run.run_id.job_id, now):
            fields = {"upstream": upstream.name, "seconds": upstream.quarantine_s}
            effects.append(
                LogEvent("upstream quarantined after repeated failures", fields)
            )
    if end.kind != RunEndKind.DONE or run.job is None or not run.expected_s:
        return
    upstream.record_success()
    elapsed_s = max(0.001, now - run.started_at)
    upstream.learn_speed(run.expected_s / elapsed_s)
    work_ms = elapsed_s * MS_PER_S * upstream.relative_speed
    owner.run_time_estimator(run.job.queue).learn(run.job.estimate_ms, work_ms)


def adopt_run(active_run, upstream: Upstream, owner, now, effects):
    """Adopt a run of an earlier owner, to be claimed by an entry.

    The run is stopped if its task has another run. If its task waits, the run takes its
    place: an earlier owner that has not noticed its successor may have started it on an
    upstream that has restarted and forgotten the fencing token.
    """
    run = Run(
        active_run.run_id, upstream.name, None, None, started_at=now, progress_at=now
    )
    run.phase = RunPhase.RUNNING
    upstream.add_run(run)
    upstream.record_unknown_lease(now)
    owner.limit_unclaimed_lease(run, now)
    if (run.run_id.job_id, run.run_id.index) in owner.runs:
        owner.stop_run(run, now, effects)
        return
    owner.index_run(run)
    for task in owner.waiting:
        if (task.job.job_id, task.index) == (run.run_id.job_id, run.run_id.index):
            replace_waiting_task(task, run, upstream, owner, effects)
            return


def replace_waiting_task(task, run: Run, upstream: Upstream, owner, effects):
    """Let a waiting task continue as a run that has been adopted."""
    owner.waiting = [other for other in owner.waiting if other is not task]
    job_id, index = run.run_id.job_id, run.run_id.index
    owner.attach_earlier_run(task.entry, task.job, index, task.received_at, effects)
    run.stalled_runs = task.stalled_runs
    placement = Placement(index, run.run_id.run, upstream.name, upstream.born_ms)
    message = TasksStarted(job_id, (index,), (placement,))
    effects.append(SendToEntry(task.entry, message))
    fields = {"upstream": upstream.name, "job_id": job_id, "index": index}
    effects.append(LogEvent("run of a waiting task adopted", fields))


def compare_with_listing(run: Run, active_run, owner, requested_at, now, effects):
    """Update a run from a listing that was requested at `requested_at`.

    `active_run` is the listed run, or None if the listing lacks it.
    """
    if active_run is not None:
        run.record_progress(active_run.percent, now)
        if run.phase in (RunPhase.STARTING, RunPhase.UNKNOWN):
            run.phase = RunPhase.RUNNING
            run.resolved_at = now
            run.requeue = False
        elif run.phase == RunPhase.STOPPING:
            overdue = now - run.stop_sent_at > owner.limits.order_timeout_s
            if overdue:
                owner.stop_run(run, now, effects)
        elif run.job is not None and run.is_stalled(now):
            restart_stalled_run(run, owner, now, effects)
        return
    # The absence proves that the run is over if the listing was requested after the
    # outcome of an order was known, or after the deadline of the start order, which
    # the upstream rejects from then on. Before that, a start order may still be under
    # way; if it or a stop order was not answered, a stop order prevents a later start.
    if requested_at < min(
        run.resolved_at, run.started_at + owner.limits.lease_expiry_s()
    ):
        unresolved = run.phase in (RunPhase.UNKNOWN, RunPhase.STOPPING)
        if unresolved and requested_at > run.stop_sent_at and run.resolved_at > now:
            owner.stop_run(run, now, effects)
        return
    owner.finish_run(run, TaskResult.LOST, now, effects)


def restart_stalled_run(run: Run, owner, now, effects):
    """Stop a stalled run; quarantine its upstream unless it is blocked already.

    The upstream is not quarantined if the task has stalled elsewhere too. The task is
    queued again once the run is over.
    """
    upstream = owner.upstreams[run.upstream]
    if now >= upstream.blocked_until and not run.stalled_runs:
        upstream.quarantine(now)
    run.stalled_runs += 1
    fields = {
        "upstream": upstream.name,
        "job_id": run.run_id.job_id,
        "index": run.run_id.index,
        "percent": run.percent,
        "still_ms": round((now - run.progress_at) * MS_PER_S),
        "stalled_runs": run.stalled_runs,
        "quarantine_s": upstream.quarantine_s,
    }
    effects.append(LogEvent("run stalled", fields))
    run.requeue = run.entry is not None
    owner.stop_run(run, now, effects)


@on_poll_outcome.register
def _(outcome: NoAnswer, upstream: Upstream, owner, event, now, effects):
    upstream.last_poll_error = outcome.detail
    record_evidence(owner, upstream, outcome.refused, now, effects)
    if not upstream.suspect and event.order.deadline_ms is not None:
        fields = {"upstream": upstream.name, "detail": outcome.detail}
        effects.append(LogEvent("upstream does not answer", fields))
        upstream.suspect = True


@on_poll_outcome.register
def _(outcome: Rejected, upstream: Upstream, owner, event, now, effects):
    if outcome.reason == RejectReason.FENCED:
        on_fenced_order(event.order, owner, upstream, effects)
        return
    upstream.suspect = True
    replaced = outcome.reason == RejectReason.OTHER_INCARNATION
    record_evidence(owner, upstream, replaced, now, effects)
    fields = {"upstream": upstream.name, "refusal": outcome.reason}
    effects.append(LogEvent("upstream rejected a poll", fields))


def on_fenced_order(order, owner, upstream, effects):
    """Give up the ownership if an upstream has received the token of another owner.

    An order to an earlier incarnation of the upstream is ignored: the higher token may
    be that of this owner's orders to the current incarnation.
    """
    if order.token == upstream.fencing_token(owner.token) and not owner.ownership_lost:
        owner.ownership_lost = True
        effects.append(OwnershipLost(upstream.name))


@on_event.register
def _(event: StartAnswered, owner, now, effects):
    upstream = owner.upstreams.get(event.order.upstream)
    run = upstream.runs.get(event.order.run_id) if upstream else None
    if run is None or run.phase == RunPhase.RUNNING:
        return
    if is_fenced(event.outcome):
        on_fenced_order(event.order, owner, upstream, effects)
    on_start_outcome(event.outcome, run, upstream, owner, now, effects)


def is_fenced(outcome) -> bool:
    """Return whether an order was rejected because of its fencing token."""
    return isinstance(outcome, Rejected) and outcome.reason == RejectReason.FENCED


@functools.singledispatch
def on_start_outcome(outcome, run, upstream, owner, now, effects):
    """Update a run for the outcome of its start order."""
    raise TypeError(f"unknown outcome {outcome!r}")


@on_start_outcome.register
def _(outcome: Accepted, run: Run, upstream, owner, now, effects):
    if run.phase == RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    run.resolved_at = now


@on_start_outcome.register
def _(outcome: Rejected, run: Run, upstream, owner, now, effects):
    if owner.ownership_lost:
        return
    if outcome.reason in BACKOFF_REASONS:
        upstream.back_off(now)
    fields = {
        "upstream": upstream.name,
        "job_id": run.run_id.job_id,
        "index": run.run_id.index,
        "refusal": outcome.reason,
    }
    effects.append(LogEvent("start order rejected", fields))
    if outcome.reason == RejectReason.INVALID:
        owner.finish_run(run, TaskResult.FAILED, now, effects)
        return
    run.requeue = run.entry is not None
    owner.finish_run(run, TaskResult.LOST, now, effects)


@on_start_outcome.register
def _(outcome: NoAnswer, run: Run, upstream: Upstream, owner, now, effects):
    if run.phase == RunPhase.STARTING:
        run.phase = RunPhase.UNKNOWN
        run.requeue = run.entry is not None
        run.stop_sent_at = now
        owner.request_listing(upstream, effects)
    upstream.back_off(now)
    fields = {
        "upstream": upstream.name,
        "job_id": run.run_id.job_id,
        "index": run.run_id.index,
        "detail": outcome.detail,
    }
    effects.append(LogEvent("start order not answered", fields))


@on_event.register
def _(event: StopAnswered, owner, now, effects):
    upstream = owner.upstreams.get(event.order.upstream)
    run = upstream.runs.get(event.order.run_id) if upstream else None
    if run is None:
        return
    if isinstance(event.outcome, Accepted):
        run.resolved_at = min(run.resolved_at, now)
        if run.requeue:
            # A run that never started has no listed end; only a listing shows that it
            # is over.
            owner.request_listing(upstream, effects)
    elif isinstance(event.outcome, Rejected):
        if is_fenced(event.outcome):
            on_fenced_order(event.order, owner, upstream, effects)
    elif now - event.sent_at >= owner.limits.order_timeout_s and not upstream.suspect:
        # The order may be lost or delayed; the run would continue as polls renew the
        # lease.
        owner.stop_run(run, now, effects)
    else:
        run.stop_sent_at = now


@on_event.register
def _(event: OwnerTick, owner, now, effects):
    for upstream in list(owner.upstreams.values()):
        if upstream.runs and is_lease_over(upstream, now):
            if upstream.suspect:
                record_expired_lease(owner, upstream, now, effects)
            else:
                log_lost_runs(upstream, "lease limited", effects)
            for run in list(upstream.runs.values()):
                owner.finish_run(run, TaskResult.LOST, now, effects)
        if is_gone(upstream, now):
            effects.append(LogEvent("upstream removed", {"upstream": upstream.name}))
            owner.remove_upstream(upstream, now, effects)
            continue
        for run in list(upstream.runs.values()):
            if is_unclaimed(run, upstream, now):
                owner.stop_run(run, now, effects)
    release_disconnected_entries(owner, now, effects)
    remove_expired(owner, now, effects)
    resume_offers(owner, now, effects)


def is_lease_over(upstream: Upstream, now) -> bool:
    """Return whether the lease of an upstream was not renewed and has expired.

    An upstream that answers lists the ends of its runs itself, unless renewals have
    ended because of a limit: a later poll may be lost then without being noticed.
    """
    renewals_ended = upstream.suspect or upstream.lease_limit() <= now
    return renewals_ended and now > upstream.leased_until


def is_unclaimed(run: Run, upstream: Upstream, now) -> bool:
    """Return whether no entry has claimed a run of an earlier owner in time.

    The time ends early enough for the run to be stopped before the leases beside it
    end. A run that is already being stopped does not count.
    """
    if run.job is not None or run.phase == RunPhase.STOPPING:
        return False
    limits = upstream.limits
    stop_by = upstream.lease_limits[run.run_id] - limits.stop_allowance_s()
    return now - run.started_at > limits.orphan_claim_s or now > stop_by


def release_disconnected_entries(owner, now, effects):
    """Release the jobs of entries that did not reconnect in time."""
    for entry in [name for name, at in owner.disconnected_entries.items() if now >= at]:
        del owner.disconnected_entries[entry]
        jobs = [job for job, name in owner.entry_by_job.items() if name == entry]
        for job_id in jobs:
            owner.release_job(job_id, now, effects)
        if jobs:
            fields = {"entry": entry, "jobs": len(jobs)}
            effects.append(LogEvent("runs of a disconnected entry stopped", fields))


def is_gone(upstream: Upstream, now) -> bool:
    """Return whether an upstream is unlisted, silent and without lease and runs."""
    return (
        upstream.missing_since is not None
        and upstream.suspect
        and not upstream.runs
        and now > upstream.leased_until
    )


def remove_expired(owner, now, effects):
    """Return tasks that are too late to be useful; drop old results and idle jobs."""
    if owner.scheduling.job_admission:
        abandon_hopeless_jobs(owner, now, effects)
    else:
        return_late_tasks(owner, now, effects)
    active = {task.job.job_id for task in owner.waiting}
    active.update(offer.job.job_id for _, offer, _ in owner.resumed_offers)
    active.update(owner.runs_by_job)
    owner.entry_by_job = {k: v for k, v in owner.entry_by_job.items() if k in active}
    recent = now - owner.limits.cancel_retention_s
    owner.cancelled_jobs = {k: v for k, v in owner.cancelled_jobs.items() if v > recent}
    oldest = now - RESULT_RETENTION_S
    owner.results = {k: v for k, v in owner.results.items() if v[2] > oldest}


def return_late_tasks(owner, now, effects):
    """Return the tasks of jobs without runs here that are too late to be useful."""
    useless: dict[str, list[WaitingTask]] = {}
    for task in owner.waiting:
        if ends_too_late(task, now) and task.job.job_id not in owner.runs_by_job:
            useless.setdefault(task.job.job_id, []).append(task)
    for tasks in useless.values():
        return_tasks(owner, tasks, now, effects, ReturnReason.OVERLOADED)
