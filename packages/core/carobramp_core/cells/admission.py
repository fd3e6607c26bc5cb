"""Which offered tasks an owner queues, and which it returns to their entries."""

from carobramp_core.cells.evacuation import is_evacuated
from carobramp_core.cells.losses import record_placement_losses
from carobramp_core.cells.messages import (
    Offer,
    ReturnReason,
    TasksReturned,
    UpstreamLosses,
)
from carobramp_core.cells.orders import LogEvent, SendToEntry
from carobramp_core.cells.placement import (
    WaitingTask,
    ends_too_late,
    queueing_delay_s,
    unsuitable_reason,
    urgency_key,
)

RETRY_AFTER_MIN_S = 0.5


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
    if offer.committed and offer.may_wait:
        return
    if offer.may_wait:
        return_useless_tasks(owner, tasks, now, effects)
        return
    owner.place_tasks(now, effects)
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
    owner, tasks, now, effects, reason=ReturnReason.NO_CAPACITY, delay_s=0.0
):
    """Return waiting tasks of one job to its entry.

    `delay_s` is the expected wait for capacity.
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
