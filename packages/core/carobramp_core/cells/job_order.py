"""Order of whole jobs that wait for capacity at an owner.

Explanation
===========

Answers demand above the capacity of a cell: an answer needs the last task of its job,
so that tasks in time of a job that is late as a whole take cores in vain. Jobs that
have started and can still be in time come first, since their work is lost otherwise;
then other jobs in time, jobs that can only be late, and hopeless ones.
"""

import dataclasses
import enum
from collections.abc import Iterable

from carobramp_core.cells.placement import WaitingTask
from carobramp_core.cells.room_forecast import run_end_at
from carobramp_core.cells.upstreams import Run

# Slacks that differ by less are equal, so that the priority of the queue decides;
# round trips to an upstream vary by some milliseconds.
SLACK_RESOLUTION_S = 0.005


class JobGroup(enum.IntEnum):
    """Groups of waiting jobs, the first to start first.

    PROTECTED: in time, and started or of a band with less than its share. ON_TIME: in
    time. LATE: after the objective, but useful. HOPELESS: useless to the caller.
    """

    PROTECTED = 0
    ON_TIME = 1
    LATE = 2
    HOPELESS = 3


@dataclasses.dataclass(slots=True)
class WaitingJob:
    """The waiting tasks of one job and its rank.

    Parameters
    ==========

    expected_s : longest expected run time of a waiting task
    slack_s : time by which the last task could start later and still meet the
        objective, for a late job the limit of its use
    """

    tasks: list[WaitingTask]
    expected_s: float
    group: JobGroup
    slack_s: float
    objective_at: float

    def key(self):
        """Return the sort key of the job."""
        job = self.tasks[0].job
        slack = int(self.slack_s / SLACK_RESOLUTION_S)
        return self.group, slack, job.priority, self.tasks[0].received_at

    def is_on_time(self) -> bool:
        """Return whether the job meets its objective if its tasks start now."""
        return self.group <= JobGroup.ON_TIME


def rank_jobs(waiting: Iterable[WaitingTask], runs_by_job, upstreams, now):
    """Return the jobs of waiting tasks as `WaitingJob`, the first to start first.

    Parameters
    ==========

    runs_by_job : active runs of the cell by id of the job
    upstreams : upstreams of the cell by name
    """
    tasks_by_job: dict[str, list[WaitingTask]] = {}
    for task in waiting:
        tasks_by_job.setdefault(task.job.job_id, []).append(task)
    jobs = [
        rank_job(tasks, runs_by_job.get(job_id, ()), upstreams, now)
        for job_id, tasks in tasks_by_job.items()
    ]
    jobs.sort(key=WaitingJob.key)
    return jobs


def rank_job(tasks, runs: Iterable[Run], upstreams, now) -> WaitingJob:
    """Return a job with the rank that it has if its waiting tasks start now."""
    expected_s, protected = 0.0, bool(runs)
    for task in tasks:
        if task.expected_s > expected_s:
            expected_s = task.expected_s
        if task.started or task.favoured:
            protected = True
    end_at = now + expected_s
    for run in runs:
        upstream = upstreams.get(run.upstream)
        if upstream is not None and run.job is not None:
            end_at = max(end_at, run_end_at(run, upstream.relative_speed, now))
    objective_at = tasks[0].objective_at()
    slack_s = objective_at - end_at
    if slack_s >= 0:
        group = JobGroup.PROTECTED if protected else JobGroup.ON_TIME
        return WaitingJob(tasks, expected_s, group, slack_s, objective_at)
    slack_s = tasks[0].useless_at() - end_at
    group = JobGroup.LATE if slack_s >= 0 else JobGroup.HOPELESS
    return WaitingJob(tasks, expected_s, group, slack_s, objective_at)
