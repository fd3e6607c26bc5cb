"""Events of an owner of a cell: what upstreams, entries and time bring about.

Each handler takes the event, the owner, the present time and the list to which it
adds effects.
"""

import functools

from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import CancelJob, Offer, ReturnReason, TaskResult
from carobramp_core.cells.orders import (
    Accepted,
    EntryLinkClosed,
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
    StartAnswered,
    StopAnswered,
    UpstreamsListed,
)
from carobramp_core.cells.placement import Waiting, is_hopeless
from carobramp_core.cells.upstreams import Run, RunPhase, Upstream

MS = 1000
# Results of runs that nobody waited for, kept for entries that ask after a takeover.
KEPT_RESULTS_S = 3.0
# Refusals after which the upstream gets nothing for a moment.
BACKOFF_REFUSALS = (
    RejectReason.NO_CAPACITY,
    RejectReason.UNHEALTHY,
    RejectReason.DEADLINE_PASSED,
)


@functools.singledispatch
def on_event(event, owner, now, effects):
    """Carry out one event."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: EntryMessageReceived, owner, now, effects):
    on_message(event.message, event.entry, owner, now, effects)


@functools.singledispatch
def on_message(message, entry, owner, now, effects):
    """Carry out one message of an entry."""
    raise TypeError(f"unknown message {message!r}")


@on_message.register
def _(message: Offer, entry, owner, now, effects):
    owner.take_offer(entry, message, now, effects)


@on_message.register
def _(message: CancelJob, entry, owner, now, effects):
    if owner.entries.get(message.job_id) == entry:
        owner.release(message.job_id, now, effects)


@on_event.register
def _(event: EntryLinkClosed, owner, now, effects):
    lost = {job for job, entry in owner.entries.items() if entry == event.entry}
    if not lost:
        return
    owner.waiting = [task for task in owner.waiting if task.job.job_id not in lost]
    owner.lost_entries[event.entry] = now + owner.limits.entry_reconnect_s
    note = {"entry": event.entry, "jobs": len(lost)}
    effects.append(LogEvent("entry lost", note))


@on_event.register
def _(event: UpstreamsListed, owner, now, effects):
    owner.listed = True
    listed = {upstream.name: upstream for upstream in event.upstreams}
    for name, item in listed.items():
        upstream = owner.upstreams.get(name)
        if upstream is None:
            owner.upstreams[name] = Upstream(item, owner.limits, now)
            note = {"upstream": name, "state": item.state}
            effects.append(LogEvent("upstream listed", note))
            continue
        if upstream.record.state != item.state:
            note = {"upstream": name, "state": item.state}
            effects.append(LogEvent("upstream changed its state", note))
        upstream.record = item
        upstream.missing_since = None
    for upstream in owner.upstreams.values():
        if upstream.name not in listed and upstream.missing_since is None:
            upstream.missing_since = now
    owner.index_services()


@on_event.register
def _(event: PollAnswered, owner, now, effects):
    upstream = owner.upstreams.get(event.order.upstream)
    if upstream is None or owner.ownership_lost:
        return
    on_hold(event.outcome, upstream, owner, event, now, effects)
    owner.resume(now, effects)


@functools.singledispatch
def on_hold(outcome, upstream, owner, event, now, effects):
    """Take the outcome of a hold order."""
    raise TypeError(f"unknown outcome {outcome!r}")


@on_hold.register
def _(outcome: Listing, upstream: Upstream, owner, event, now, effects):
    upstream.heard(outcome.clock_ms, now)
    if not upstream.answered or upstream.suspect:
        note = {"upstream": upstream.name, "born_ms": outcome.born_ms}
        effects.append(LogEvent("upstream answers", note))
    upstream.answered = True
    upstream.suspect = False
    if not upstream.born_ms:
        upstream.born_ms = outcome.born_ms
    if outcome.born_ms != upstream.born_ms:
        note = {"upstream": upstream.name, "born_ms": outcome.born_ms}
        effects.append(
            LogEvent("upstream lives again", {**note, "lives": upstream.lives})
        )
        upstream.reborn(outcome.born_ms, now)
        if upstream.runs:
            owner.list_runs(upstream, effects)
            return
    for end in outcome.ended:
        take_end(end, upstream, owner, now, effects)
    if outcome.clock_ms <= upstream.listing_ms:
        # Answers overtake each other: an older listing has runs that are over.
        return
    upstream.listing_ms = outcome.clock_ms
    listed = {entry.run_id: entry for entry in outcome.running}
    for entry in outcome.running:
        if entry.run_id not in upstream.runs:
            adopt(entry, upstream, owner, now, effects)
    for run in list(upstream.runs.values()):
        compare(run, listed.get(run.run_id), owner, event.sent_at, now, effects)


def take_end(end, upstream: Upstream, owner, now, effects):
    """Take note of one listed end."""
    if end.number <= upstream.acknowledged:
        return
    upstream.acknowledged = end.number
    run = upstream.runs.get(end.run_id)
    if run is None:
        key = end.run_id.job_id, end.run_id.index
        if end.kind == RunEndKind.DONE:
            owner.results[key] = (TaskResult.DONE, upstream.name, now)
        return
    learn(end, run, upstream, owner, now, effects)
    result = {RunEndKind.DONE: TaskResult.DONE, RunEndKind.FAILED: TaskResult.FAILED}
    owner.finish(run, result.get(end.kind, TaskResult.LOST), now, effects)


def learn(end, run: Run, upstream: Upstream, owner, now, effects):
    """Learn run times, speeds and failures from an end."""
    if end.kind == RunEndKind.FAILED:
        elsewhere = any(
            upstream is not other and run.run_id.job_id in other.failed_jobs
            for other in owner.upstreams.values()
        )
        if not elsewhere and upstream.failed(run.run_id.job_id, now):
            note = {"upstream": upstream.name, "seconds": upstream.quarantine_s}
            effects.append(LogEvent("upstream quarantined after failures", note))
    if end.kind != RunEndKind.DONE or run.job is None or not run.expected_s:
        return
    upstream.succeeded()
    elapsed_s = max(0.001, now - run.started_at)
    upstream.learn_speed(run.expected_s / elapsed_s)
    work_ms = elapsed_s * MS * upstream.relative_speed()
    owner.times(run.job.queue).learn(run.job.estimate_ms, work_ms)


def adopt(entry, upstream: Upstream, owner, now, effects):
    """Keep a run of an earlier owner until an entry claims it."""
    run = Run(entry.run_id, upstream.name, None, None, started_at=now, progress_at=now)
    run.phase = RunPhase.RUNNING
    upstream.add(run)
    if (run.run_id.job_id, run.run_id.index) in owner.runs:
        owner.stop(run, now, effects)
        return
    owner.track(run)


def compare(run: Run, listed, owner, asked_at, now, effects):
    """Compare a run with a listing that was asked for at `asked_at`."""
    if listed is not None:
        run.progressed(listed.percent, now)
        if run.phase in (RunPhase.STARTING, RunPhase.UNKNOWN):
            run.phase = RunPhase.RUNNING
            run.settled_at = now
            run.requeue = False
        elif run.phase == RunPhase.STOPPING:
            overdue = now - run.stop_sent_at > owner.limits.order_timeout_s
            if overdue:
                owner.stop(run, now, effects)
        elif run.job is not None and run.stalled(now):
            restart(run, owner, now, effects)
        return
    if asked_at < min(run.settled_at, run.started_at + owner.limits.lease_expiry_s()):
        unsettled = run.phase in (RunPhase.UNKNOWN, RunPhase.STOPPING)
        if unsettled and asked_at > run.stop_sent_at and run.settled_at > now:
            owner.stop(run, now, effects)
        return
    owner.finish(run, TaskResult.LOST, now, effects)


def restart(run: Run, owner, now, effects):
    """Stop a run that stands still; its task waits again once it is over."""
    upstream = owner.upstreams[run.upstream]
    if now >= upstream.blocked_until:
        upstream.quarantine(now)
    note = {
        "upstream": upstream.name,
        "job_id": run.run_id.job_id,
        "index": run.run_id.index,
        "percent": run.percent,
        "still_ms": round((now - run.progress_at) * MS),
        "quarantine_s": upstream.quarantine_s,
    }
    effects.append(LogEvent("run stands still", note))
    run.requeue = run.entry is not None
    owner.stop(run, now, effects)


@on_hold.register
def _(outcome: NoAnswer, upstream: Upstream, owner, event, now, effects):
    if not upstream.suspect and event.order.deadline_ms is not None:
        note = {"upstream": upstream.name, "detail": outcome.detail}
        effects.append(LogEvent("upstream does not answer", note))
        upstream.suspect = True


@on_hold.register
def _(outcome: Rejected, upstream: Upstream, owner, event, now, effects):
    if outcome.reason == RejectReason.FENCED:
        take_fence(event.order, owner, upstream, effects)
        return
    upstream.suspect = True
    note = {"upstream": upstream.name, "refusal": outcome.reason}
    effects.append(LogEvent("upstream refuses to be held", note))


def take_fence(order, owner, upstream, effects):
    """Give the cell up if an upstream has seen the token of another owner.

    An order for an earlier life of the upstream is fenced off by this owner itself.
    """
    if order.token == upstream.fence(owner.token) and not owner.ownership_lost:
        owner.ownership_lost = True
        effects.append(OwnershipLost(upstream.name))


@on_event.register
def _(event: StartAnswered, owner, now, effects):
    upstream = owner.upstreams.get(event.order.upstream)
    run = upstream.runs.get(event.order.run_id) if upstream else None
    if run is None or run.phase == RunPhase.RUNNING:
        return
    if is_fenced(event.outcome):
        take_fence(event.order, owner, upstream, effects)
    on_start(event.outcome, run, upstream, owner, now, effects)


def is_fenced(outcome) -> bool:
    """Whether an order was refused for its token."""
    return isinstance(outcome, Rejected) and outcome.reason == RejectReason.FENCED


@functools.singledispatch
def on_start(outcome, run, upstream, owner, now, effects):
    """Take the outcome of a start order."""
    raise TypeError(f"unknown outcome {outcome!r}")


@on_start.register
def _(outcome: Accepted, run: Run, upstream, owner, now, effects):
    if run.phase == RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    run.settled_at = now


@on_start.register
def _(outcome: Rejected, run: Run, upstream, owner, now, effects):
    if owner.ownership_lost:
        return
    if outcome.reason in BACKOFF_REFUSALS:
        upstream.no_room(now)
    note = {
        "upstream": upstream.name,
        "job_id": run.run_id.job_id,
        "index": run.run_id.index,
        "refusal": outcome.reason,
    }
    effects.append(LogEvent("start refused", note))
    if outcome.reason == RejectReason.INVALID:
        owner.finish(run, TaskResult.FAILED, now, effects)
        return
    run.requeue = run.entry is not None
    owner.finish(run, TaskResult.LOST, now, effects)


@on_start.register
def _(outcome: NoAnswer, run: Run, upstream: Upstream, owner, now, effects):
    if run.phase == RunPhase.STARTING:
        run.phase = RunPhase.UNKNOWN
        run.requeue = run.entry is not None
        run.stop_sent_at = now
        owner.list_runs(upstream, effects)
    upstream.no_room(now)
    note = {
        "upstream": upstream.name,
        "job_id": run.run_id.job_id,
        "index": run.run_id.index,
        "detail": outcome.detail,
    }
    effects.append(LogEvent("start not answered", note))


@on_event.register
def _(event: StopAnswered, owner, now, effects):
    upstream = owner.upstreams.get(event.order.upstream)
    run = upstream.runs.get(event.order.run_id) if upstream else None
    if run is None:
        return
    if isinstance(event.outcome, Accepted):
        run.settled_at = min(run.settled_at, now)
        if run.requeue:
            # No end is listed of a run that was never there.
            owner.list_runs(upstream, effects)
    elif isinstance(event.outcome, Rejected):
        if is_fenced(event.outcome):
            take_fence(event.order, owner, upstream, effects)
    elif now - event.sent_at >= owner.limits.order_timeout_s and not upstream.suspect:
        # The order may be lost or late; its run would go on with the renewed lease.
        owner.stop(run, now, effects)
    else:
        run.stop_sent_at = now


@on_event.register
def _(event: OwnerTick, owner, now, effects):
    for upstream in list(owner.upstreams.values()):
        if upstream.suspect and upstream.runs and now > upstream.leased_until:
            note = {"upstream": upstream.name, "runs": len(upstream.runs)}
            effects.append(LogEvent("lease lapsed, its runs are over", note))
            for run in list(upstream.runs.values()):
                owner.finish(run, TaskResult.LOST, now, effects)
        if gone(upstream, now):
            effects.append(LogEvent("upstream gone", {"upstream": upstream.name}))
            owner.drop_upstream(upstream, now, effects)
            continue
        for run in list(upstream.runs.values()):
            if unclaimed(run, owner.limits, now):
                owner.stop(run, now, effects)
    release_lost(owner, now, effects)
    expire(owner, now, effects)
    owner.resume(now, effects)


def unclaimed(run: Run, limits: CellLimits, now) -> bool:
    """Whether no entry has claimed a run of an earlier owner in time."""
    late = now - run.started_at > limits.orphan_claim_s
    return run.job is None and late and run.phase != RunPhase.STOPPING


def release_lost(owner, now, effects):
    """Stop the runs of entries that did not come back."""
    for entry in [name for name, at in owner.lost_entries.items() if now >= at]:
        del owner.lost_entries[entry]
        jobs = [job for job, name in owner.entries.items() if name == entry]
        for job_id in jobs:
            owner.release(job_id, now, effects)
        if jobs:
            note = {"entry": entry, "jobs": len(jobs)}
            effects.append(LogEvent("runs of a lost entry are stopped", note))


def gone(upstream: Upstream, now) -> bool:
    """Whether an upstream is neither listed nor answering, and its lease is over."""
    return (
        upstream.missing_since is not None
        and upstream.suspect
        and not upstream.runs
        and now > upstream.leased_until
    )


def expire(owner, now, effects):
    """Return what has become useless and forget old results."""
    hopeless: dict[str, list[Waiting]] = {}
    for task in owner.waiting:
        if is_hopeless(task, now) and task.job.job_id not in owner.job_runs:
            hopeless.setdefault(task.job.job_id, []).append(task)
    for tasks in hopeless.values():
        owner.give_back(tasks, now, effects, ReturnReason.OVERLOADED)
    active = {task.job.job_id for task in owner.waiting}
    active.update(offer.job.job_id for _, offer, _ in owner.resuming)
    active.update(owner.job_runs)
    owner.entries = {k: v for k, v in owner.entries.items() if k in active}
    oldest = now - KEPT_RESULTS_S
    owner.results = {k: v for k, v in owner.results.items() if v[2] > oldest}
