"""Which waiting task goes first, where it starts, and what is refused.

Explanation
===========

Tasks that can still end within their objective go before those that cannot; among
each, the one with the least time to spare goes first. A task does not start on an
upstream that is too slow for its objective while a faster one could still make it.
A job is refused when it would end after `LATE_FACTOR` objectives, as it is then of
no use to its caller.
"""

import dataclasses
import math

from carobramp_core.cells.messages import LATE_FACTOR, Job
from carobramp_core.cells.upstreams import Upstream

# Part of the cores that waiting tasks get in practice, as tasks do not fill an
# upstream exactly: two of 6.8 cores occupy 13.6 of 16.
PACKING = 0.8
# Round trips between caller, entry, owner and upstream that are part of the response.
OVERHEAD_S = 0.012


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """A task that waits for room.

    Parameters
    ==========

    received_at : time at which the entry received the job
    expected_s : expected run time on an upstream of mean speed
    """

    job: Job
    index: int
    entry: str
    received_at: float
    expected_s: float
    avoid: tuple[str, ...] = ()

    def objective_at(self) -> float:
        """Return the time at which the job should have ended."""
        objective_s = self.job.objective_s(self.expected_s * 1000)
        return self.received_at + objective_s - OVERHEAD_S

    def useless_at(self) -> float:
        """Return the time after which the end of the job is worth nothing."""
        objective_s = self.job.objective_s(self.expected_s * 1000)
        return self.received_at + LATE_FACTOR * objective_s - OVERHEAD_S

    def core_s(self) -> float:
        """Return the expected work in core-seconds."""
        return self.expected_s * self.job.cpu / 1000


def order_key(task: Waiting, now: float):
    """Return the sort key of a waiting task; the lowest goes first."""
    spare_s = task.objective_at() - now - task.expected_s
    if spare_s >= 0:
        return 0, spare_s
    return 1, task.useless_at() - now - task.expected_s


def has_room(upstream: Upstream, least_cpu, now: float) -> bool:
    """Whether an upstream may take a task of at least `least_cpu`."""
    return upstream.record.cpu - upstream.used_cpu >= least_cpu and upstream.usable(now)


def choose_upstream(task: Waiting, upstreams, top_speed, now: float) -> Upstream | None:
    """Return the upstream on which a task starts now, or None if it should wait.

    Parameters
    ==========

    upstreams : usable upstreams of the task's service that have some room
    top_speed : highest speed of the service's usable upstreams
    """
    best: Upstream | None = None
    best_key = (math.inf, math.inf)
    for upstream in upstreams:
        if not upstream.fits(task.job) or upstream.name in task.avoid:
            continue
        left = upstream.record.cpu - upstream.used_cpu - task.job.cpu
        key = (task.expected_s / upstream.relative_speed(), left)
        if key < best_key:
            best, best_key = upstream, key
    if best is None:
        return None
    in_time = now + best_key[0] <= task.objective_at()
    faster_makes_it = now + task.expected_s / top_speed <= task.objective_at()
    if not in_time and faster_makes_it:
        return None
    return best


def delay_s(waiting, total_cpu) -> float:
    """Return the expected time until new work starts behind the waiting tasks."""
    if total_cpu <= 0:
        return 0.0
    work = sum(task.core_s() for task in waiting)
    return work / (total_cpu / 1000 * PACKING)


def is_hopeless(task: Waiting, start_at: float) -> bool:
    """Whether a task that starts at `start_at` ends too late to be of use."""
    return start_at + task.expected_s > task.useless_at()
