"""Choice of an upstream while more tasks wait than can start.

Explanation
===========

Answers demand above the capacity of a cell, for tasks that differ in cores: two tasks
fill an upstream only if they fit together. The upstream with the least cores left gets
a task, so that large remainders stay for wide tasks, and of equal ones the slowest, so
that fast upstreams stay for long tasks. Without scarcity the fastest upstream is best.
"""

import math
from collections.abc import Callable, Iterable

from carobramp_core.cells.placement import WaitingTask, choose_upstream
from carobramp_core.cells.upstreams import Upstream


def services_in_scarcity(waiting: Iterable[WaitingTask], candidates_by_service):
    """Return the services of which more tasks wait than can start.

    `candidates_by_service` holds the upstreams with free cores.
    """
    counts: dict[str, int] = {}
    least_cpu: dict[str, int] = {}
    for task in waiting:
        service, cpu = task.job.service, max(1, task.job.cpu)
        counts[service] = counts.get(service, 0) + 1
        least_cpu[service] = min(least_cpu.get(service, cpu), cpu)
    return {
        service
        for service, count in counts.items()
        if count
        > sum(
            (upstream.record.cpu - upstream.used_cpu) // least_cpu[service]
            for upstream in candidates_by_service.get(service, ())
        )
    }


def choose_best_fit(
    task: WaitingTask, upstreams, top_speed: Callable[[], float], now: float
) -> Upstream | None:
    """Return the upstream on which a task leaves the least cores and is in time.

    If it is in time nowhere, `choose_upstream` decides.
    """
    best: Upstream | None = None
    best_key = (math.inf, math.inf)
    latest_s = task.objective_at() - now
    for upstream in upstreams:
        if not upstream.has_capacity_for(task.job) or upstream.name in task.avoid:
            continue
        if task.expected_s / upstream.relative_speed > latest_s:
            continue
        remaining_cpu = upstream.record.cpu - upstream.used_cpu - task.job.cpu
        key = (remaining_cpu, upstream.relative_speed)
        if key < best_key:
            best, best_key = upstream, key
    return best or choose_upstream(task, upstreams, top_speed, now)
