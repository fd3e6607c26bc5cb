"""One pass over the waiting tasks of an owner that starts those that fit."""

import functools

from carobramp_core.cells.best_fit import choose_best_fit, services_in_scarcity
from carobramp_core.cells.cell_evacuation import return_evacuated_tasks
from carobramp_core.cells.evacuation import is_evacuated
from carobramp_core.cells.job_order import rank_jobs
from carobramp_core.cells.messages import Placement, TasksStarted
from carobramp_core.cells.orders import LogEvent, SendToEntry
from carobramp_core.cells.placement import (
    choose_idle_upstream,
    choose_upstream,
    has_free_cpu,
    urgency_key,
)

# Number of waiting tasks that one pass tries to start; the others are less urgent.
PLACED_PER_PASS = 64
MS_PER_S = 1000


def place_tasks(owner, now, effects):
    """Start waiting tasks, the most urgent first.

    Every start passes here. In an evacuated zone the tasks are returned instead.
    """
    if not owner.waiting or owner.ownership_lost:
        return
    if not owner.may_start():
        if is_evacuated(owner.cell, owner.evacuations):
            return_evacuated_tasks(owner, now, effects)
        return
    candidates_by_service = upstreams_with_free_cpu(owner, now)
    if not any(candidates_by_service.values()):
        return
    # Calculated at most once a service, as it examines every upstream.
    top_speeds = {
        service: functools.cache(functools.partial(top_speed, owner, service, now))
        for service in candidates_by_service
    }
    sort_waiting(owner, now)
    scarce = set()
    if owner.scheduling.job_admission:
        scarce = services_in_scarcity(owner.waiting, candidates_by_service)
    still_waiting, started = [], {}
    for position, task in enumerate(owner.waiting):
        service = task.job.service
        candidates = candidates_by_service.get(service)
        if not candidates or position >= PLACED_PER_PASS:
            still_waiting.append(task)
            continue
        alone = owner.crash_records.is_suspect(task.job.job_id, task.index)
        if alone:
            upstream, reserved = choose_idle_upstream(
                task, candidates, top_speeds[service], now
            )
            candidates_by_service[service] = [
                u for u in candidates if u is not reserved
            ]
        else:
            choose = choose_best_fit if service in scarce else choose_upstream
            upstream = choose(task, candidates, top_speeds[service], now)
        if upstream is None:
            still_waiting.append(task)
            continue
        run_id = owner.start_task(task, upstream, now, effects)
        if upstream.runs_one_at_a_time():
            # The list of candidates was made before this start.
            candidates_by_service[service] = [
                u for u in candidates_by_service[service] if u is not upstream
            ]
        if alone:
            upstream.isolated_runs.add(run_id)
        started.setdefault((task.entry, task.job.job_id), []).append(
            (task, upstream, run_id)
        )
    owner.waiting = still_waiting
    report_starts(owner, started, now, effects)


def report_starts(owner, started, now, effects):
    """Tell the entries which tasks have started where, and log it.

    `started` has tasks, upstreams and run ids by entry and job id.
    """
    for (entry, job_id), placed in started.items():
        indexes = tuple(task.index for task, _, _ in placed)
        placements = tuple(
            Placement(task.index, run_id.run, upstream.name, upstream.born_ms)
            for task, upstream, run_id in placed
        )
        message = TasksStarted(job_id, indexes, placements)
        effects.append(SendToEntry(entry, message))
        effects.append(placement_log_event(owner, job_id, placed, now))


def sort_waiting(owner, now):
    """Sort the waiting tasks, the first to start first."""
    if owner.scheduling.job_admission:
        jobs = rank_jobs(owner.waiting, owner.runs_by_job, owner.upstreams, now)
        owner.waiting = [task for job in jobs for task in job.tasks]
        return
    owner.waiting.sort(key=lambda task: urgency_key(task, now))


def upstreams_with_free_cpu(owner, now):
    """Return the upstreams that can take the smallest waiting task, by service.

    With a long queue few upstreams have free cores; examining each of 58 for every
    waiting task took more than one core of the owner.
    """
    smallest_cpu: dict[str, int] = {}
    for task in owner.waiting:
        job = task.job
        smallest_cpu[job.service] = min(smallest_cpu.get(job.service, job.cpu), job.cpu)
    return {
        service: [
            u
            for u in owner.upstreams_by_service.get(service, ())
            if has_free_cpu(u, cpu, now)
        ]
        for service, cpu in smallest_cpu.items()
    }


def top_speed(owner, service, now):
    """Return the highest relative speed of the usable upstreams of a service."""
    usable = (
        u for u in owner.upstreams_by_service.get(service, ()) if u.is_usable(now)
    )
    return max((u.relative_speed for u in usable), default=1.0)


def placement_log_event(owner, job_id, placed, now) -> LogEvent:
    """Return the log event of started tasks, with the inputs of the decision."""
    first, _, run_id = placed[0]
    runs = " ".join(f"{task.index}@{upstream.name}" for task, upstream, _ in placed)
    fields = {
        "job_id": job_id,
        "runs": runs,
        "first_run": run_id.run,
        "age_ms": round((now - first.received_at) * MS_PER_S),
        "expected_ms": round(first.expected_s * MS_PER_S),
        "waiting": len(owner.waiting),
        "token": owner.token,
    }
    is_last = all(task.job.job_id != job_id for task in owner.waiting)
    if first.estimated_wait_s is not None and is_last:
        fields["estimated_wait_ms"] = round(first.estimated_wait_s * MS_PER_S)
        fields["waited_ms"] = round((now - first.admitted_at) * MS_PER_S)
    return LogEvent("tasks started", fields)
