"""When rejected callers return, and which of them return as told.

Explanation
===========

Answers a wave of demand that exceeds the capacity of a cell: if all rejected callers
returned after the same time, they would be the next wave. The work of the rejected jobs
is therefore laid one after the other into a schedule that advances with the capacity of
the cell, as in a virtual queue with first-come-first-served order. Each caller is told
the time at which its place in that queue is reached.

The schedule and the record of rejected jobs are kept by the owner of a cell alone. They
are only advice: a new owner starts without them, and nothing else depends on them.
"""

import dataclasses
import math

# Longest time that the schedule tells a caller; the load after that is unknown.
MAX_RETURN_S = 60.0
# Time after its return time in which a job counts as returned as told.
RETENTION_S = 10.0
# Largest number of rejected jobs that are remembered, about 1 MB. An owner that rejects
# 250 jobs a second remembers those of 16 s.
MAX_REJECTED_JOBS = 4096


def whole_seconds(seconds) -> int:
    """Return a time rounded up to whole seconds, 1 at least, as callers are told it.

    Examples
    ========

    >>> whole_seconds(0.2), whole_seconds(1.0), whole_seconds(1.4)
    (1, 1, 2)
    """
    return max(1, math.ceil(seconds))


@dataclasses.dataclass(slots=True)
class ReturnSchedule:
    """Work of rejected jobs that the cell could not have done yet.

    Parameters
    ==========

    work_core_s : work that is laid into the schedule, in core-seconds
    cores : usable cores of the cell, the last number above 0
    advanced_at : time up to which the schedule has advanced

    Examples
    ========

    >>> schedule = ReturnSchedule()
    >>> [schedule.add(80.0, 40.0, 0.5, now=100.0) for _ in range(3)]
    [0.5, 2.5, 4.5]
    >>> schedule.add(80.0, 40.0, 0.5, now=106.0)
    0.5
    """

    work_core_s: float = 0.0
    cores: float = 0.0
    advanced_at: float = -math.inf

    def add(self, work_core_s, cores, wait_s, now) -> float:
        """Add the work of a job and return the time until its caller should return.

        Parameters
        ==========

        work_core_s : expected work of the whole job, in core-seconds
        cores : usable cores of the cell now
        wait_s : estimated wait in seconds, the least result
        """
        self.advance(cores, now)
        if self.cores <= 0:
            return wait_s
        return_s = max(wait_s, self.work_core_s / self.cores)
        self.work_core_s = min(
            return_s * self.cores + work_core_s, MAX_RETURN_S * self.cores
        )
        return return_s

    def advance(self, cores, now):
        """Remove the work that the cell could do since the schedule last advanced."""
        if cores > 0:
            self.cores = cores
        if self.work_core_s:
            done_core_s = (now - self.advanced_at) * cores
            self.work_core_s = max(0.0, self.work_core_s - done_core_s)
        self.advanced_at = now


class ReturnTimes:
    """Schedule of a cell, and the jobs that it has told when to return.

    Attributes
    ==========

    schedule : schedule of the cell
    due_at : time from which each rejected job may return, in the order of rejection
    """

    def __init__(self):
        self.schedule = ReturnSchedule()
        self.due_at: dict[str, float] = {}

    def reject(self, job_id, work_core_s, cores, wait_s, now) -> int:
        """Record that a job is rejected; return the seconds until it should return.

        A job that returns before its time keeps its place in the schedule, and its work
        is not added again. The parameters are those of `ReturnSchedule.add`.
        """
        due_at = self.due_at.pop(job_id, -math.inf)
        if now < due_at:
            return_s = max(wait_s, due_at - now)
        else:
            return_s = self.schedule.add(work_core_s, cores, wait_s, now)
        told_s = whole_seconds(return_s)
        self.due_at[job_id] = now + told_s
        self.forget_old_jobs(now)
        return told_s

    def returns_as_told(self, job_id, received_at) -> bool:
        """Return whether a job that was rejected has returned at its time.

        `received_at` is the time at which the job was received again. It is at most
        `RETENTION_S` after the time that its caller was told, and not before that time.
        """
        due_at = self.due_at.get(job_id, math.inf)
        return due_at <= received_at <= due_at + RETENTION_S

    def forget_old_jobs(self, now):
        """Drop the oldest jobs while they are too old or there are too many.

        A job behind one with a later time is kept for at most `MAX_RETURN_S` longer.
        """
        while self.due_at:
            job_id, due_at = next(iter(self.due_at.items()))
            expired = now > due_at + RETENTION_S
            if not expired and len(self.due_at) <= MAX_REJECTED_JOBS:
                return
            del self.due_at[job_id]
