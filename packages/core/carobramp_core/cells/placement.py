"""Order in which waiting tasks start, choice of the upstream, and load shedding.

Explanation
===========

Tasks that can still meet their objective precede those that cannot; within each group
the task with the least slack is first. A task does not start on an upstream that is
too slow for its objective while a faster one could still meet it. A job that would end
after `LATE_FACTOR` objectives is refused, since its result is useless to the caller.
"""

import dataclasses
import math
from collections.abc import Callable

from carobramp_core.cells.messages import LATE_FACTOR, Job, ReturnReason
from carobramp_core.cells.orders import UpstreamState
from carobramp_core.cells.upstreams import Upstream

# Fraction of the cores that tasks can occupy, as they rarely fill an upstream: two
# tasks of 6.8 cores occupy 13.6 of 16 cores.
PACKING_EFFICIENCY = 0.8
# Part of the response time that round trips between caller, entry, owner and upstream
# take.
RESPONSE_OVERHEAD_S = 0.012


@dataclasses.dataclass(slots=True, eq=False)
class WaitingTask:
    """A task that waits for capacity.

    Parameters
    ==========

    entry : entry that offered the task
    received_at : time at which the entry received the job
    expected_s : expected run time on an upstream of mean speed
    avoid : upstreams on which the task must not run
    stalled_runs : number of runs of the task that were stopped as stalled
    started : whether another task of the job may have run, or this one before
    band : queue and size band that the job was admitted in, see `FairShare`
    favoured : whether this band gets less than its share, or the caller returns at the
        time that it was told when the job was rejected
    admitted_at, estimated_wait_s : when the job was admitted to wait, and the forecast
        of the time until its last task starts; None if it was not forecast
    """

    job: Job
    index: int
    entry: str
    received_at: float
    expected_s: float
    avoid: tuple[str, ...] = ()
    stalled_runs: int = 0
    started: bool = False
    band: tuple | None = None
    favoured: bool = False
    admitted_at: float = 0.0
    estimated_wait_s: float | None = None

    def objective_at(self) -> float:
        """Return the time by which the task must end to meet the job's objective."""
        objective_s = self.job.objective_s(self.expected_s * 1000)
        return self.received_at + objective_s - RESPONSE_OVERHEAD_S

    def useless_at(self) -> float:
        """Return the time after which the result is useless to the caller."""
        objective_s = self.job.objective_s(self.expected_s * 1000)
        return self.received_at + LATE_FACTOR * objective_s - RESPONSE_OVERHEAD_S

    def core_s(self) -> float:
        """Return the expected work in core-seconds."""
        return self.expected_s * self.job.cpu / 1000


def urgency_key(task: WaitingTask, now: float):
    """Return the sort key of a waiting task; the task with the lowest key is first."""
    slack_s = task.objective_at() - now - task.expected_s
    if slack_s >= 0:
        return 0, slack_s
    return 1, task.useless_at() - now - task.expected_s


def has_free_cpu(upstream: Upstream, least_cpu, now: float) -> bool:
    """Return whether an upstream accepts runs and has at least `least_cpu` free."""
    return upstream.record.cpu - upstream.used_cpu >= least_cpu and upstream.is_usable(
        now
    )


def choose_upstream(
    task: WaitingTask, upstreams, top_speed: Callable[[], float], now: float
) -> Upstream | None:
    """Return the upstream on which a task starts now, or None if it should wait.

    Parameters
    ==========

    upstreams : usable upstreams of the task's service that have free cores
    top_speed : returns the highest relative speed of the service's usable upstreams;
        called only if the chosen upstream would miss the objective, since it examines
        every upstream
    """
    best: Upstream | None = None
    best_key = (math.inf, math.inf)
    for upstream in upstreams:
        if not upstream.has_capacity_for(task.job) or upstream.name in task.avoid:
            continue
        remaining_cpu = upstream.record.cpu - upstream.used_cpu - task.job.cpu
        key = (task.expected_s / upstream.relative_speed, remaining_cpu)
        if key < best_key:
            best, best_key = upstream, key
    if best is None:
        return None
    if now + best_key[0] <= task.objective_at():
        return best
    fastest_meets_it = now + task.expected_s / top_speed() <= task.objective_at()
    return None if fastest_meets_it else best


def choose_idle_upstream(
    task: WaitingTask, upstreams, top_speed: Callable[[], float], now: float
) -> tuple[Upstream | None, Upstream | None]:
    """Return where a task that has to run alone starts, and what is reserved for it.

    The first is the upstream on which the task starts now, or None. The second takes no
    less urgent task now: the same upstream, or the one with the fewest cores in use if
    none is idle, so that it gets idle; None if the task waits for another reason.
    """
    idle = [upstream for upstream in upstreams if not upstream.runs]
    if idle:
        chosen = choose_upstream(task, idle, top_speed, now)
        return chosen, chosen
    fitting = [
        upstream
        for upstream in upstreams
        if upstream.is_large_enough_for(task.job) and upstream.name not in task.avoid
    ]
    return None, min(fitting, key=lambda item: item.used_cpu, default=None)


def unsuitable_reason(job: Job, upstreams) -> ReturnReason | None:
    """Return why no task of a job could run here even if nothing else ran.

    `upstreams` are those of the job's service; the result is None if one of them could
    run a task.
    """
    ready = [u for u in upstreams if u.record.state == UpstreamState.READY]
    if not ready:
        return ReturnReason.NO_SERVICE
    if not any(upstream.is_large_enough_for(job) for upstream in ready):
        return ReturnReason.TOO_LARGE
    return None


def queueing_delay_s(waiting, total_cpu) -> float:
    """Return the expected time in seconds until a task behind `waiting` ones starts.

    `total_cpu` is in thousandths of a core.
    """
    if total_cpu <= 0:
        return 0.0
    work_core_s = sum(task.core_s() for task in waiting)
    return work_core_s / (total_cpu / 1000 * PACKING_EFFICIENCY)


def ends_too_late(task: WaitingTask, start_at: float) -> bool:
    """Return whether a task that starts at `start_at` ends too late to be useful."""
    return start_at + task.expected_s > task.useless_at()
