"""Which offered tasks an owner queues, and which it returns to their entries."""

from carobramp_core.cells.evacuation import is_evacuated
from carobramp_core.cells.job_admission import Decision, decide_admission
from carobramp_core.cells.losses import record_placement_losses
from carobramp_core.cells.messages import (
    Offer,
    ReturnReason,
    TasksReturned,
    UpstreamLosses,
)
from carobramp_core.cells.orders import CountEvent, LogEvent, SendToEntry
from carobramp_core.cells.placement import (
    WaitingTask,
    ends_too_late,
    queueing_delay_s,
    unsuitable_reason,
    urgency_key,
)

RETRY_AFTER_MIN_S = 0.5
MS_PER_S = 1000


def admit_tasks(owner, entry, offer: Offer, indexes, received_at, now, effects):
    """Queue the tasks `indexes` of an offer; return those that must not wait here.

    A job with a task that is given up is not queued; the losses that are sent
    instead let the entry end it.
    """
    job = offer.job
    record_placement_losses(owner, offer, indexes, now, effects)
    if owner.crash_records.given_up_task(job.job_id) is not None:
        losses = UpstreamLosses(owner.crash_records.losses_of(job.job_id))
        effects.append(SendToEntry(entry, losses))
        return
    reason = cell_unsuitable_reason(owner, job)
    if reason is not None:
        effects.append(
            SendToEntry(entry, TasksReturned(job.job_id, tuple(indexes), reason))
        )
        return
    tasks = [
        owner.enqueue_task(job, index, entry, received_at, offer.avoid)
        for index in indexes
    ]
    if owner.scheduling.job_admission:
        admit_job(owner, offer, tasks, now, effects)
        return
    if offer.committed and offer.may_wait:
        return
    if offer.may_wait:
        return_useless_tasks(owner, tasks, now, effects)
        return
    owner.place_tasks(now, effects)
    return_tasks(owner, [t for t in tasks if t in owner.waiting], now, effects)


def admit_job(owner, offer: Offer, tasks, now, effects):
    """Let the queued tasks of an offer start or wait, or return them, as a whole.

    Those that may not wait start as far as they fit, unless other jobs wait.
    """
    core_s = offer.job.tasks * tasks[0].core_s()
    band = owner.fair_share.band(offer.job.queue, core_s)
    favoured = owner.fair_share.is_favoured(band) or owner.return_times.returns_as_told(
        offer.job.job_id, tasks[0].received_at
    )
    for task in tasks:
        task.started = offer.committed or offer.job.job_id in owner.runs_by_job
        task.band, task.favoured = band, favoured
    yields = owner.fair_share.has_to_yield(band)
    admission = decide_admission(owner, offer, tasks, now, yields)
    if offer.may_wait or admission.decision == Decision.AT_ONCE:
        owner.fair_share.add_size(offer.job.queue, core_s)
        core_s = len(tasks) * tasks[0].core_s()
        owner.fair_share.record(band, core_s, not admission.rejected, now)
    effects.append(CountEvent("job_admissions", admission.decision))
    waits = offer.may_wait and admission.decision != Decision.AT_ONCE
    fields = {
        "estimated_wait_ms": round(admission.wait_s * MS_PER_S),
        "tasks_ahead": admission.tasks_ahead,
        "startable": admission.startable,
        "decision": admission.decision,
    }
    if admission.rejected:
        reason = ReturnReason.OVERLOADED if waits else ReturnReason.NO_CAPACITY
        return_tasks(owner, tasks, now, effects, reason, admission.wait_s, fields)
    elif waits:
        for task in tasks:
            task.admitted_at, task.estimated_wait_s = now, admission.wait_s
        fields |= {"job_id": offer.job.job_id, "tasks": len(tasks)}
        effects.append(LogEvent("job admitted", fields))
    else:
        owner.place_tasks(now, effects)
        if not offer.may_wait:
            return_tasks(owner, [t for t in tasks if t in owner.waiting], now, effects)


def cell_unsuitable_reason(owner, job) -> ReturnReason | None:
    """Return why the cell could not run a task even if it were idle, or None.

    None as well while the list of upstreams has not been read.
    """
    if is_evacuated(owner.cell, owner.evacuations):
        return ReturnReason.EVACUATED
    if not owner.upstreams_listed:
        return None
    return unsuitable_reason(job, owner.upstreams_by_service.get(job.service, ()))


def return_unsuitable_tasks(owner, now, effects):
    """Return the waiting tasks that no upstream could run any more.

    Those of a job with runs here wait for the runs to end.
    """
    waiting_by_job: dict[str, list[WaitingTask]] = {}
    for task in owner.waiting:
        if task.job.job_id not in owner.runs_by_job:
            waiting_by_job.setdefault(task.job.job_id, []).append(task)
    for tasks in waiting_by_job.values():
        reason = cell_unsuitable_reason(owner, tasks[0].job)
        if reason is not None:
            return_tasks(owner, tasks, now, effects, reason)


def return_useless_tasks(owner, tasks, now, effects):
    """Return the tasks of a job that would end too late to be useful."""
    first = tasks[0]
    key = urgency_key(first, now)
    ahead = [w for w in owner.waiting if w not in tasks and urgency_key(w, now) < key]
    delay_s = queueing_delay_s(ahead, owner.total_cpu(first.job.service, now))
    if ends_too_late(first, now + delay_s):
        return_tasks(owner, tasks, now, effects, ReturnReason.OVERLOADED, delay_s)


def return_tasks(
    owner,
    tasks,
    now,
    effects,
    reason=ReturnReason.NO_CAPACITY,
    delay_s=0.0,
    log_fields=None,
):
    """Return waiting tasks of one job to its entry.

    `delay_s` is the expected wait for capacity; `log_fields` are logged in addition.
    """
    if not tasks:
        return
    owner.waiting = [task for task in owner.waiting if task not in tasks]
    job_id, entry = tasks[0].job.job_id, tasks[0].entry
    indexes = tuple(task.index for task in tasks)
    retry_after_s = max(RETRY_AFTER_MIN_S, delay_s)
    if reason == ReturnReason.OVERLOADED and owner.scheduling.spread_returns:
        retry_after_s = spread_return_s(owner, tasks[0], retry_after_s, now)
    effects.append(
        SendToEntry(entry, TasksReturned(job_id, indexes, reason, retry_after_s))
    )
    if reason != ReturnReason.NO_CAPACITY:
        fields = {
            "job_id": job_id,
            "tasks": len(indexes),
            "reason": reason,
            "delay_s": round(delay_s, 3),
            "retry_after_s": round(retry_after_s, 3),
            "waiting": len(owner.waiting),
            **(log_fields or {}),
        }
        effects.append(LogEvent("tasks returned", fields))


def spread_return_s(owner, task, wait_s, now):
    """Return the time until the caller of a rejected job should return, in seconds.

    `task` is one of the equal tasks of the job, `wait_s` the least result.
    """
    usable_cpu = sum(u.record.cpu for u in owner.upstreams.values() if u.is_usable(now))
    job = task.job
    work_core_s = task.core_s() * job.tasks
    return owner.return_times.reject(
        job.job_id, work_core_s, usable_cpu / 1000, wait_s, now
    )
