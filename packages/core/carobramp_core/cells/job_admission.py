"""Whether an owner admits a job as a whole, from a forecast of its last task.

Explanation
===========

Answers demand above the capacity of a cell for seconds: a queue that grows until every
job in it is late serves nobody, so that a job waits only if its last task is expected
to end within the objective and no admitted job becomes late. A late answer is worth
little but better than none: one late job is admitted while nothing else waits.
"""

import dataclasses
import enum
import math

from carobramp_core.cells.job_order import WaitingJob, rank_job, rank_jobs
from carobramp_core.cells.messages import Offer
from carobramp_core.cells.placement import WaitingTask
from carobramp_core.cells.room_forecast import (
    RoomForecast,
    count_startable,
    forecast_room,
)

# Waiting tasks that one forecast places; more of them have to wait too long anyway.
MAX_FORECAST_TASKS = 256


class Decision(enum.StrEnum):
    """What becomes of an offered job; those from NO_CAPACITY are rejections.

    AT_ONCE: all offered tasks can start. IN_PART: tasks that may not wait start as far
    as they fit. ON_TIME, LATE: admitted to wait. COMMITTED: waits as it has started.
    UNKNOWN: waits as no upstream is known to be usable. NO_CAPACITY: may not wait, and
    could start only in part beside waiting jobs. WOULD_BE_LATE, WOULD_DISPLACE: it or
    an admitted job would miss its objective. OVER_SHARE: its queue and size had more
    than their share. HOPELESS: its result would be useless.
    """

    AT_ONCE = "at_once"
    IN_PART = "in_part"
    ON_TIME = "on_time"
    LATE = "late"
    COMMITTED = "committed"
    UNKNOWN = "unknown"
    NO_CAPACITY = "no_capacity"
    WOULD_BE_LATE = "would_be_late"
    WOULD_DISPLACE = "would_displace"
    OVER_SHARE = "over_share"
    HOPELESS = "hopeless"


REJECTIONS = frozenset(
    {
        Decision.NO_CAPACITY,
        Decision.WOULD_BE_LATE,
        Decision.WOULD_DISPLACE,
        Decision.OVER_SHARE,
        Decision.HOPELESS,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class JobAdmission:
    """A decision on an offered job and its inputs.

    Parameters
    ==========

    startable : offered tasks that can start at once
    wait_s : expected time until the last task of the job starts
    tasks_ahead : waiting tasks that precede the job
    """

    decision: Decision
    startable: int
    wait_s: float = 0.0
    tasks_ahead: int = 0

    @property
    def rejected(self) -> bool:
        """Return whether the tasks go back to their entry."""
        return self.decision in REJECTIONS


def decide_admission(
    owner, offer: Offer, tasks: list[WaitingTask], now, yields=False
) -> JobAdmission:
    """Return the admission of offered `tasks`, which are in `owner.waiting`.

    `yields` tells that the job must not wait, since its band has had its share.
    """
    job = offer.job
    upstreams = owner.upstreams_by_service.get(job.service, ())
    startable = count_startable(upstreams, job, now, len(tasks))
    if startable >= len(tasks):
        return JobAdmission(Decision.AT_ONCE, startable)
    others = [
        task
        for task in owner.waiting
        if task.job.service == job.service and task.job.job_id != job.job_id
    ]
    if not offer.may_wait:
        in_part = offer.committed or not others
        decision = Decision.IN_PART if in_part else Decision.NO_CAPACITY
        return JobAdmission(decision, startable)
    forecast = forecast_room(upstreams, job, now)
    if not forecast.places or not are_upstreams_known(owner, upstreams, now):
        return JobAdmission(Decision.UNKNOWN, startable)
    own = [task for task in owner.waiting if task.job.job_id == job.job_id]
    jobs = rank_jobs(others, owner.runs_by_job, owner.upstreams, now)
    runs = owner.runs_by_job.get(job.job_id, ())
    new = rank_job(own, runs, owner.upstreams, now)
    admission = decide_by_forecast(new, jobs, forecast, offer.committed, startable, now)
    if yields and admission.decision in (Decision.ON_TIME, Decision.LATE):
        return dataclasses.replace(admission, decision=Decision.OVER_SHARE)
    return admission


def are_upstreams_known(owner, upstreams, now) -> bool:
    """Return whether the forecast covers the cell.

    Right after a takeover upstreams that have not answered yet provide no places.
    """
    if now - owner.owned_since > owner.limits.link_timeout_s:
        return True
    return all(upstream.answered for upstream in upstreams)


def decide_by_forecast(
    new: WaitingJob,
    jobs: list[WaitingJob],
    forecast: RoomForecast,
    committed,
    startable,
    now,
) -> JobAdmission:
    """Return the admission of a job that has to wait.

    Parameters
    ==========

    new : the offered job
    jobs : the other waiting jobs of the service, ordered
    forecast : places for tasks of the size of the new job's; it is used up
    """
    key = new.key()
    ahead = [job for job in jobs if job.key() <= key]
    behind = jobs[len(ahead) :]
    left = place_jobs(ahead, forecast, MAX_FORECAST_TASKS)[1]
    without = forecast.copy()
    start_at, end_at = place_job(new, forecast)
    tasks_ahead = sum(len(job.tasks) for job in ahead)

    def admission(decision):
        wait_s = start_at - now if math.isfinite(start_at) else 0.0
        return JobAdmission(decision, startable, wait_s, tasks_ahead)

    if end_at > new.tasks[0].useless_at():
        return admission(Decision.HOPELESS)
    if committed:
        return admission(Decision.COMMITTED)
    if end_at > new.objective_at:
        return admission(Decision.WOULD_BE_LATE if jobs else Decision.LATE)
    favoured = new.tasks[0].favoured
    if not favoured and displaces(behind, forecast, without, left):
        return admission(Decision.WOULD_DISPLACE)
    return admission(Decision.ON_TIME)


def displaces(behind: list[WaitingJob], forecast, without, max_tasks) -> bool:
    """Return whether a job makes one that is in time without it late.

    `forecast` has the places after the job, `without` those without it.
    """
    late = place_jobs(behind, forecast, max_tasks)[0]
    if not late:
        return False
    return not late <= place_jobs(behind, without, max_tasks)[0]


def place_jobs(jobs: list[WaitingJob], forecast, max_tasks) -> tuple[set[str], int]:
    """Occupy the places of jobs, in order, up to `max_tasks` tasks.

    Returns the ids of the jobs that are late only since they wait, and the number of
    tasks that is left.
    """
    late = set()
    for job in jobs:
        if max_tasks <= 0:
            break
        max_tasks -= len(job.tasks)
        _, end_at = place_job(job, forecast)
        if job.is_on_time() and end_at > job.objective_at:
            late.add(job.tasks[0].job.job_id)
    return late, max_tasks


def place_job(job: WaitingJob, forecast) -> tuple[float, float]:
    """Occupy the places of a job; return when its last task starts, and its end."""
    return forecast.take_all(len(job.tasks), job.expected_s, job.objective_at)
