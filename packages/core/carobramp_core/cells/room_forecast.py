"""When tasks of a size can start in a cell, from what fits on each upstream.

Explanation
===========

Answers load that exceeds the room of a cell: how long a task would wait decides whether
its job is admitted, and where an entry offers it. Cores that are free in sum but on no
single upstream count for nothing. The forecast is list scheduling: a task starts at the
earliest time at which one fits, and frees that place when it is expected to end.
"""

import dataclasses
import heapq
import math
from collections.abc import Iterable

from carobramp_core.cells.messages import Job
from carobramp_core.cells.upstreams import Run, Upstream

# Remaining time of a run that has lasted longer than expected, as a fraction of its
# expected run time.
OVERDUE_FRACTION = 0.25


@dataclasses.dataclass(slots=True)
class RoomForecast:
    """Places for tasks of one size, each with the time from which it is free.

    Parameters
    ==========

    places : heap of pairs of a time and the relative speed of the upstream

    Examples
    ========

    >>> forecast = RoomForecast([(10.0, 1.0), (10.2, 2.0)], now=10.0)
    >>> forecast.startable
    1
    >>> forecast.take(0.5), forecast.take(0.5), forecast.take(0.5)
    (10.0, 10.2, 10.45)
    """

    places: list[tuple[float, float]]
    now: float

    def __post_init__(self):
        heapq.heapify(self.places)

    @property
    def startable(self) -> int:
        """Return the number of tasks that can start at once."""
        return sum(at <= self.now for at, _ in self.places)

    def take(self, expected_s) -> float:
        """Return the start time of the next task and occupy its place.

        `expected_s` is the run time at speed 1. The result is infinite without places.
        """
        if not self.places:
            return math.inf
        at, speed = self.places[0]
        heapq.heapreplace(self.places, (at + expected_s / speed, speed))
        return at

    def wait_s(self) -> float:
        """Return the time until the next task could start; infinite without places."""
        return max(0.0, self.places[0][0] - self.now) if self.places else math.inf


def forecast_room(upstreams: Iterable[Upstream], job: Job, now) -> RoomForecast:
    """Return the forecast for tasks of the size of a job's.

    `upstreams` are those of the job's service; unusable ones provide no places.
    """
    places: list[tuple[float, float]] = []
    for upstream in upstreams:
        if upstream.is_usable(now) and upstream.is_large_enough_for(job):
            add_places(places, upstream, job, now)
    return RoomForecast(places, now)


def add_places(places, upstream: Upstream, job: Job, now):
    """Add the places of one upstream, soonest first."""
    free_cpu = upstream.record.cpu - upstream.used_cpu
    free_memory_mb = upstream.record.memory_mb - upstream.used_memory_mb
    speed = upstream.relative_speed
    count = task_count(free_cpu, free_memory_mb, job)
    places.extend([(now, speed)] * count)
    for end_at, run in sorted(
        ((run_end_at(run, speed, now), run) for run in upstream.runs.values()),
        key=lambda pair: pair[0],
    ):
        if run.job is None:
            continue
        free_cpu += run.job.cpu
        free_memory_mb += run.job.memory_mb
        fitting = task_count(free_cpu, free_memory_mb, job)
        places.extend([(end_at, speed)] * (fitting - count))
        count = max(count, fitting)


def task_count(free_cpu, free_memory_mb, job: Job) -> int:
    """Return how many tasks of a job fit into free resources, not below 0."""
    counts = []
    if job.cpu:
        counts.append(free_cpu // job.cpu)
    if job.memory_mb:
        counts.append(free_memory_mb // job.memory_mb)
    return max(0, int(min(counts, default=1)))


def run_end_at(run: Run, speed, now) -> float:
    """Return the time at which a run is expected to end, later than `now`."""
    expected_s = run.expected_s / speed
    end_at = run.started_at + expected_s
    return end_at if end_at > now else now + OVERDUE_FRACTION * expected_s
