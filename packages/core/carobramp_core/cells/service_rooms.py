"""What an owner reports of when tasks can start, by service and size of a task.

Explanation
===========

Answers free cores that are spread over many upstreams: 12 upstreams with 5 free cores
each were reported as 60, and entries offered tasks of 8 cores in vain. The rooms are
those of the sizes that entries offer, after the places of the tasks that wait.

Tasks of a service differ in size. The room of the largest one alone would hide most of
the capacity: where two tasks of 16 cores fit, one of 20 does. So the room of the median
size follows, as far as a report has place for more rooms.
"""

import collections
import math

from carobramp_core.cells.messages import (
    MAX_SERVICE_ROOMS,
    ROOM_WAIT_MAX_S,
    Job,
    ServiceRoom,
)
from carobramp_core.cells.room_forecast import forecast_room
from carobramp_core.cells.upstreams import Upstream

# Time for which the size of an offered task counts, and number of offers that count for
# each service.
SIZE_RETENTION_S = 2.0
MAX_SIZES = 64
# Waiting tasks that take their places in the forecast, so that the cost of a report is
# bounded; the wait behind more of them is extrapolated.
MAX_SIMULATED = 256


class OfferedSizes:
    """Jobs that were offered in the last seconds, for the sizes of their tasks."""

    def __init__(self):
        # Pairs of the time of the offer and the job, by service.
        self.offers: dict[str, collections.deque[tuple[float, Job]]] = {}

    def record(self, job: Job, now):
        """Record a job that was offered at time `now`."""
        if job.service not in self.offers:
            self.offers[job.service] = collections.deque(maxlen=MAX_SIZES)
        self.offers[job.service].append((now, job))

    def forget_old(self, now):
        """Remove what was offered too long ago."""
        for service, offers in list(self.offers.items()):
            while offers and now - offers[0][0] > SIZE_RETENTION_S:
                offers.popleft()
            if not offers:
                del self.offers[service]

    def jobs(self, service) -> list[Job]:
        """Return the recently offered jobs of a service."""
        return [job for _, job in self.offers.get(service, ())]


def service_rooms(owner, now) -> tuple[ServiceRoom, ...]:
    """Return the rooms that an owner reports, the busiest service first.

    The largest size of each service goes before the median sizes.
    """
    owner.offered_sizes.forget_old(now)
    waiting: dict[str, list] = {}
    for task in owner.waiting:
        waiting.setdefault(task.job.service, []).append(task)
    largest, median = [], []
    for service in busiest_services(owner, waiting):
        upstreams = owner.upstreams_by_service.get(service, ())
        jobs = owner.offered_sizes.jobs(service)
        jobs = jobs or [task.job for task in waiting.get(service, ())]
        sizes = sample_sizes(jobs, upstreams)
        largest += sizes[:1]
        median += sizes[1:]
    return tuple(
        service_room(
            owner.upstreams_by_service[job.service],
            job,
            waiting.get(job.service, ()),
            now,
        )
        for job in (largest + median)[:MAX_SERVICE_ROOMS]
    )


def busiest_services(owner, waiting) -> list[str]:
    """Return the services of offered or waiting tasks, most cores in demand first."""
    services = set(owner.offered_sizes.offers) | set(waiting)

    def demanded_cpu(service):
        members = owner.upstreams_by_service.get(service, ())
        used = sum(upstream.used_cpu for upstream in members)
        return used + sum(task.job.cpu for task in waiting.get(service, ()))

    ranked = sorted(services, key=lambda name: (-demanded_cpu(name), name))
    return ranked[:MAX_SERVICE_ROOMS]


def sample_sizes(jobs, upstreams) -> list[Job]:
    """Return the job with the largest tasks and, if smaller, one of median size.

    Tasks that fit on no upstream do not count; they would hide what others could use.
    """
    fitting = sorted(
        (job for job in jobs if any(u.is_large_enough_for(job) for u in upstreams)),
        key=lambda job: job.cpu,
    )
    if not fitting or not fitting[-1].cpu:
        return []
    largest, median = fitting[-1], fitting[(len(fitting) - 1) // 2]
    return [largest, median] if 0 < median.cpu < largest.cpu else [largest]


def service_room(upstreams, job: Job, waiting, now) -> ServiceRoom:
    """Return the room for tasks of the size of a job's behind `waiting` tasks."""
    forecast = forecast_room(upstreams, job, now)
    for task in waiting[:MAX_SIMULATED]:
        forecast.take(task.expected_s)
    wait_s = forecast.wait_s() * max(1.0, len(waiting) / MAX_SIMULATED)
    return ServiceRoom(
        job.service,
        job.cpu,
        forecast.startable,
        math.ceil(min(wait_s, ROOM_WAIT_MAX_S) * 1000) / 1000,
        round(speed_with_room(upstreams, job, now), 2),
    )


def speed_with_room(upstreams, job: Job, now) -> float:
    """Return the mean speed of the upstreams that can start a task of a job now.

    Without any, the mean of those that could start one if they were idle, and 1
    without these.
    """
    free = [u for u in upstreams if has_room(u, job) and u.is_usable(now)]
    chosen = free or [
        u for u in upstreams if u.is_large_enough_for(job) and u.is_usable(now)
    ]
    speeds = [upstream.relative_speed for upstream in chosen]
    return sum(speeds) / len(speeds) if speeds else 1.0


def has_room(upstream: Upstream, job: Job) -> bool:
    """Return whether a task of a job fits into the free cores and memory."""
    free_cpu = upstream.record.cpu - upstream.used_cpu
    free_memory_mb = upstream.record.memory_mb - upstream.used_memory_mb
    return free_cpu >= job.cpu and free_memory_mb >= job.memory_mb
