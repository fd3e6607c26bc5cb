"""Admission: refuses a job before any of its tasks is started.

Explanation
===========

A job that fails at its deadline has used the slots of its tasks for nothing, while
a refusal at admission costs nothing. The estimated time to finish is therefore
compared with the deadline before a job is queued. The estimates assume that this VM
can place work at the rate that the free slots and speeds of its upstreams allow.
"""

from carobramp_core.dispatch.jobs import JobState
from carobramp_core.dispatch.messages import Job
from carobramp_core.outcomes import JobRefused, Reason
from carobramp_core.tickets.state import DeploymentState

MS_PER_S = 1000
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


def check_request(job: Job, state: DeploymentState, now) -> JobRefused | None:
    """Refuse a job with an unknown service, class or team or an invalid deadline."""
    service = state.service(job.service)
    if service is None:
        return JobRefused(Reason.UNKNOWN_SERVICE, f"there is no service {job.service}")
    matching_classes = [
        item for item in service.classes if item.name == job.priority_class
    ]
    if not matching_classes:
        detail = f"service {job.service} has no class {job.priority_class}"
        return JobRefused(Reason.UNKNOWN_CLASS, detail)
    if state.team(job.team) is None:
        return JobRefused(Reason.UNKNOWN_TEAM, f"there is no team {job.team}")
    max_deadline_ms = matching_classes[0].max_deadline_ms
    if (job.deadline - job.received_at) * MS_PER_S > max_deadline_ms + 1:
        detail = f"deadline_ms is over the {max_deadline_ms} ms that its class allows"
        return JobRefused(Reason.MALFORMED_REQUEST, detail)
    if job.deadline <= now:
        return JobRefused(Reason.DEADLINE_UNMEETABLE, "the deadline has passed")
    return None


def check_load(job: JobState, quota_slots, now) -> JobRefused | None:
    """Refuse a job that does not fit the queue or cannot meet its deadline."""
    pool = job.pool
    if not any(may_take_tasks(upstream) for upstream in pool.members()):
        reason, detail = why_no_tasks(pool)
        return JobRefused(reason, detail, MIN_RETRY_AFTER_S)
    wait = expected_wait_s(job, now)
    if pool.queue.waiting_tasks() + len(job.waiting) > pool.state.queue_limit:
        detail = f"over {pool.state.queue_limit} tasks would wait"
        return JobRefused(Reason.QUEUE_FULL, detail, clamp_retry_after(wait))
    remaining_s = job.job.deadline - now
    run_s = unloaded_run_s(job, now)
    late_by_s = wait + run_s - remaining_s
    if late_by_s > 0:
        detail = (
            f"expected {late_by_s:.3f} s after the deadline, after a wait of "
            f"{wait:.3f} s and a run time of {run_s:.3f} s"
        )
        return JobRefused(
            Reason.DEADLINE_UNMEETABLE, detail, clamp_retry_after(late_by_s)
        )
    late_by_s = team_backlog_s(job, quota_slots) - remaining_s
    if late_by_s > 0:
        detail = f"team {job.team.name} has {quota_slots} slots at this entry VM"
        return JobRefused(Reason.TEAM_OVER_QUOTA, detail, clamp_retry_after(late_by_s))
    return None


def may_take_tasks(upstream):
    """Whether an upstream takes tasks, if need be after a guard or back-off ends."""
    return not (upstream.evacuated or upstream.leaving())


def why_no_tasks(pool) -> tuple[Reason, str]:
    """Return the reason and detail for a service without upstreams that take tasks.

    It is `EVACUATED` only if an upstream would take tasks but for an evacuation.
    """
    evacuated_zones = {
        upstream.state.availability_zone
        for upstream in pool.members()
        if upstream.evacuated and not upstream.leaving()
    }
    if not evacuated_zones:
        return (
            Reason.NO_UPSTREAM,
            f"service {pool.name} has no upstream that takes tasks",
        )
    zones = ", ".join(sorted(evacuated_zones))
    detail = f"all upstreams of service {pool.name} are evacuated, in {zones}"
    return Reason.EVACUATED, detail


def is_evacuated(pool) -> bool:
    """Whether no upstream of a service takes tasks, one of them for an evacuation."""
    if any(may_take_tasks(upstream) for upstream in pool.members()):
        return False
    return why_no_tasks(pool)[0] == Reason.EVACUATED


def expected_wait_s(job: JobState, now):
    """Return the expected seconds until the work ahead of a job is placed.

    Teams share the rate by weight, so a job waits no longer than the team's own
    waiting work takes at the team's share of the rate.
    """
    rate = job.pool.expected_rate(now)
    if rate <= 0:
        return 0.0
    total_work_ms = job.pool.queue.work_ms_ahead(job.queue)
    team_work_ms = job.team.waiting_work_ms / job.queue.share_of(job.team)
    return min(total_work_ms, team_work_ms) / rate / MS_PER_S


def unloaded_run_s(job: JobState, now):
    """Return the expected seconds that a job takes without other load.

    While slots are free, the longest task is estimated at the speed of the fastest
    upstream, so that no job is refused that could just meet its deadline. While
    tasks wait for upstreams, it is estimated at the mean speed.
    """
    pool = job.pool
    rate = pool.expected_rate(now)
    speed = max(pool.local.top_speed, pool.remote.top_speed)
    if pool.saturated:
        speed = pool.mean_speed()
    if rate <= 0 or speed <= 0:
        return 0.0
    longest = job.expected_ms[job.waiting[-1]] / speed
    return max(longest, job.waiting_ms / rate) / MS_PER_S


def team_backlog_s(job: JobState, quota_slots):
    """Return the seconds that a team's work takes in its quota slots, with this job."""
    speed = job.pool.mean_speed()
    work_ms = job.team.waiting_work_ms + job.waiting_ms
    return work_ms / (max(1, quota_slots) * speed) / MS_PER_S


def clamp_retry_after(seconds):
    """Limit the seconds after which the caller may retry to the allowed range."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
