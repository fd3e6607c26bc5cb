"""Which waiting jobs an owner gives up, as their results would be useless.

Explanation
===========

Answers a cell that has lost capacity after it admitted jobs, and runs that last longer
than expected. A job that can only be late and, behind the jobs ahead of it, ends too
late to be useful goes back to its entry at once instead of being held until then. A
started job keeps its runs while nothing else needs their cores.
"""

from carobramp_core.cells.admission import return_tasks
from carobramp_core.cells.job_admission import MAX_FORECAST_TASKS, place_job
from carobramp_core.cells.job_order import JobGroup, WaitingJob, rank_jobs
from carobramp_core.cells.messages import ReturnReason
from carobramp_core.cells.orders import CountEvent
from carobramp_core.cells.room_forecast import forecast_room


def abandon_hopeless_jobs(owner, now, effects):
    """Return the waiting tasks of hopeless jobs, and stop their runs.

    Those of a job with runs here stay while no other job waits for the service.
    """
    tasks_by_service: dict[str, list] = {}
    for task in owner.waiting:
        tasks_by_service.setdefault(task.job.service, []).append(task)
    for service, tasks in tasks_by_service.items():
        upstreams = owner.upstreams_by_service.get(service, ())
        jobs = rank_jobs(tasks, owner.runs_by_job, owner.upstreams, now)
        for job in jobs:
            if job.group >= JobGroup.LATE:
                withdraw_share(owner, job, now)
        for job in hopeless_jobs(jobs, upstreams, now):
            if len(jobs) > 1 or job.tasks[0].job.job_id not in owner.runs_by_job:
                abandon_job(owner, job, now, effects)


def hopeless_jobs(jobs: list[WaitingJob], upstreams, now) -> list[WaitingJob]:
    """Return the jobs whose results would be useless, of ordered ones of a service.

    Without a place that is known, only time decides.
    """
    hopeless = [job for job in jobs if job.group == JobGroup.HOPELESS]
    if not any(job.group == JobGroup.LATE for job in jobs):
        return hopeless
    sizes = sorted((job.tasks[0].job for job in jobs), key=lambda item: item.cpu)
    forecast = forecast_room(upstreams, sizes[len(sizes) // 2], now)
    if not forecast.places:
        return hopeless
    max_tasks = MAX_FORECAST_TASKS
    for job in jobs:
        if job.group == JobGroup.HOPELESS or max_tasks <= 0:
            break
        max_tasks -= len(job.tasks)
        untouched = forecast.copy() if job.group == JobGroup.LATE else forecast
        _, end_at = place_job(job, forecast)
        if job.group == JobGroup.LATE and end_at > job.tasks[0].useless_at():
            hopeless.append(job)
            forecast = untouched
    return hopeless


def withdraw_share(owner, job: WaitingJob, now):
    """Count a job that has become late as not admitted, once.

    Otherwise a queue whose admitted jobs make way for others would count as served.
    """
    band = job.tasks[0].band
    if band is None:
        return
    core_s = sum(task.core_s() for task in job.tasks)
    owner.fair_share.record_withdrawn(band, core_s, now)
    for task in job.tasks:
        task.band = None


def abandon_job(owner, job: WaitingJob, now, effects):
    """Return the waiting tasks of a job, and stop its runs as those of a cancelled one.

    The entry answers that the job may have run if any of its tasks was started.
    """
    job_id = job.tasks[0].job.job_id
    runs = len(owner.runs_by_job.get(job_id, ()))
    effects.append(CountEvent("job_admissions", "abandoned"))
    log_fields = {"decision": "abandoned", "runs": runs}
    return_tasks(
        owner, job.tasks, now, effects, ReturnReason.OVERLOADED, 0.0, log_fields
    )
    if not runs:
        return
    latest_end = now + owner.limits.lease_end_after_cancel_s()
    owner.limit_leases_of_job(job_id, latest_end)
    owner.release_job(job_id, now, effects)
