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

from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import Job
from carobramp_core.cells.upstreams import Run, RunPhase, Upstream

# Remaining time of a run that has lasted longer than expected, as a fraction of its
# expected run time.
OVERDUE_FRACTION = 0.25


@dataclasses.dataclass(slots=True)
class RoomForecast:
    """Places for tasks of one size, each with the time from which it is free.

    Parameters
    ==========

    places : pairs of a time and the relative speed of the upstream; kept as a heap
        with negated speeds, so that the fastest of the places of one time comes first

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
    top_speed: float = dataclasses.field(init=False)

    def __post_init__(self):
        self.places = [(at, -speed) for at, speed in self.places]
        heapq.heapify(self.places)
        self.top_speed = max((-slow for _, slow in self.places), default=1.0)

    @property
    def startable(self) -> int:
        """Return the number of tasks that can start at once."""
        return sum(at <= self.now for at, _ in self.places)

    def take(self, expected_s) -> float:
        """Return the start time of the next task and occupy its place.

        `expected_s` is the run time at speed 1. The result is infinite without places.
        """
        return self.take_all(1, expected_s, math.inf)[0]

    def take_all(self, count, expected_s, end_by) -> tuple[float, float]:
        """Occupy the places of `count` tasks; return the latest start and end.

        Places that are too slow for an end at `end_by` are passed over while a faster
        one meets it. Both times are infinite without places.
        """
        places, top_s = self.places, expected_s / self.top_speed
        last_start_at = last_end_at = -math.inf if places else math.inf
        for _ in range(count if places else 0):
            at, slow = places[0]
            end_at = at - expected_s / slow
            if end_at <= end_by or at + top_s > end_by:
                heapq.heapreplace(places, (end_at, slow))
            else:
                at, end_at = self.take_faster(expected_s, end_by)
            if at > last_start_at:
                last_start_at = at
            if end_at > last_end_at:
                last_end_at = end_at
        return last_start_at, last_end_at

    def take_faster(self, expected_s, end_by) -> tuple[float, float]:
        """Occupy the first place that meets `end_by`, or the first of all."""
        passed_over = []
        while self.places:
            at, slow = heapq.heappop(self.places)
            if at - expected_s / slow <= end_by:
                break
            passed_over.append((at, slow))
        else:
            at, slow = passed_over.pop(0)
        end_at = at - expected_s / slow
        for place in (*passed_over, (end_at, slow)):
            heapq.heappush(self.places, place)
        return at, end_at

    def wait_s(self) -> float:
        """Return the time until the next task could start; infinite without places."""
        return max(0.0, self.places[0][0] - self.now) if self.places else math.inf

    def copy(self) -> "RoomForecast":
        """Return a forecast with the same places, to be occupied separately."""
        forecast = RoomForecast([], self.now)
        forecast.places = list(self.places)
        forecast.top_speed = self.top_speed
        return forecast


def forecast_room(upstreams: Iterable[Upstream], job: Job, now) -> RoomForecast:
    """Return the forecast for tasks of the size of a job's.

    `upstreams` are those of the job's service; unusable ones provide no places.
    """
    places: list[tuple[float, float]] = []
    for upstream in upstreams:
        if upstream.is_usable(now) and upstream.is_large_enough_for(job):
            add_places(places, upstream, job, now)
    return RoomForecast(places, now)


def count_startable(upstreams: Iterable[Upstream], job: Job, now, enough) -> int:
    """Return how many tasks of a job can start at once, at most `enough`."""
    count = 0
    for upstream in upstreams:
        if upstream.has_capacity_for(job) and upstream.is_usable(now):
            free_cpu = upstream.record.cpu - upstream.used_cpu
            free_memory_mb = upstream.record.memory_mb - upstream.used_memory_mb
            fitting = task_count(free_cpu, free_memory_mb, job)
            count += min(1, fitting) if upstream.runs_one_at_a_time() else fitting
            if count >= enough:
                return enough
    return count


def add_places(places, upstream: Upstream, job: Job, now):
    """Add the places of one upstream, soonest first."""
    speed = upstream.relative_speed
    free_cpu = upstream.record.cpu - upstream.used_cpu
    free_memory_mb = upstream.record.memory_mb - upstream.used_memory_mb
    count = task_count(free_cpu, free_memory_mb, job)
    if upstream.runs_one_at_a_time():
        places.append((now, speed))
        return
    if count:
        places.extend([(now, speed)] * count)
    ends = [
        (run_end_at(run, speed, now), run.job.cpu, run.job.memory_mb)
        for run in upstream.runs.values()
        if run.job is not None
    ]
    ends.sort()
    for end_at, cpu, memory_mb in ends:
        free_cpu += cpu
        free_memory_mb += memory_mb
        fitting = task_count(free_cpu, free_memory_mb, job)
        if fitting > count:
            places.extend([(end_at, speed)] * (fitting - count))
            count = fitting


def task_count(free_cpu, free_memory_mb, job: Job) -> int:
    """Return how many tasks of a job fit into free resources, not below 0."""
    if not job.cpu and not job.memory_mb:
        return 1
    count = free_cpu // job.cpu if job.cpu else free_memory_mb // job.memory_mb
    if job.memory_mb:
        count = min(count, free_memory_mb // job.memory_mb)
    return max(0, int(count))


def run_end_at(run: Run, speed, now) -> float:
    """Return the time at which a run is expected to end, later than `now`."""
    expected_s = run.expected_s / speed
    end_at = run.started_at + expected_s
    if end_at <= now:
        end_at = now + OVERDUE_FRACTION * expected_s
    if run.phase == RunPhase.STOPPING:
        return min(end_at, now + CellLimits.run_stop_s)
    return end_at
