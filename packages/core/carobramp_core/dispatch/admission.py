"""Admission: refuses a job before any of its tasks is started.

Explanation
===========

A refusal is cheap and true; a job that would fail at its deadline costs the slots
of its tasks. Estimates are therefore compared with the deadline at admission. They
assume that this VM can place work at the rate that its views of the upstreams give.
"""

from carobramp_core.dispatch.jobs import JobState
from carobramp_core.dispatch.messages import Job
from carobramp_core.outcomes import JobRefused, Reason
from carobramp_core.tickets.state import DeploymentState

MS_PER_S = 1000
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


def check_request(job: Job, state: DeploymentState, now) -> JobRefused | None:
    """Refuse a job whose service, class, team or deadline is not in order."""
    service = state.service(job.service)
    if service is None:
        return JobRefused(Reason.UNKNOWN_SERVICE, f"there is no service {job.service}")
    found = [item for item in service.classes if item.name == job.priority_class]
    if not found:
        detail = f"service {job.service} has no class {job.priority_class}"
        return JobRefused(Reason.UNKNOWN_CLASS, detail)
    if state.team(job.team) is None:
        return JobRefused(Reason.UNKNOWN_TEAM, f"there is no team {job.team}")
    allowed = found[0].max_deadline_ms
    if (job.deadline - job.received_at) * MS_PER_S > allowed + 1:
        detail = f"deadline_ms is over the {allowed} ms that its class allows"
        return JobRefused(Reason.MALFORMED_REQUEST, detail)
    if job.deadline <= now:
        return JobRefused(Reason.DEADLINE_UNMEETABLE, "the deadline has passed")
    return None


def check_load(job: JobState, quota_slots, now) -> JobRefused | None:
    """Refuse a job that does not fit the queue or cannot meet its deadline."""
    pool = job.pool
    if not any(can_return(upstream) for upstream in pool.members()):
        detail = f"service {pool.name} has no upstream that takes tasks"
        return JobRefused(Reason.NO_UPSTREAM, detail, MIN_RETRY_AFTER_S)
    wait = wait_s(job, now)
    if pool.queue.tasks() + len(job.waiting) > pool.state.queue_limit:
        detail = f"over {pool.state.queue_limit} tasks would wait"
        return JobRefused(Reason.QUEUE_FULL, detail, retry_after(wait))
    left = job.job.deadline - now
    late = wait + alone_s(job, now) - left
    if late > 0:
        detail = f"expected {late:.3f} s after the deadline"
        return JobRefused(Reason.DEADLINE_UNMEETABLE, detail, retry_after(late))
    late = team_backlog_s(job, quota_slots) - left
    if late > 0:
        detail = f"team {job.team.name} has {quota_slots} slots at this entry VM"
        return JobRefused(Reason.TEAM_OVER_QUOTA, detail, retry_after(late))
    return None


def can_return(upstream):
    """Whether an upstream may take tasks, now or after a guard or back-off ends."""
    leaving = upstream.leaving_listed or upstream.leaving_reported
    return not (upstream.state.leaving or leaving)


def wait_s(job: JobState, now):
    """Return the expected time until the work that goes before a job is placed.

    Teams share by weight, so a job waits no longer than its own team's work takes
    with the team's share of the rate.
    """
    rate = job.pool.sure_rate(now)
    if rate <= 0:
        return 0.0
    everything = job.pool.queue.work_before(job.queue)
    own = job.team.waiting_work_ms / job.queue.share_of(job.team)
    return min(everything, own) / rate / MS_PER_S


def alone_s(job: JobState, now):
    """Return the expected time of a job without other load.

    While slots are free, the fastest upstream bounds a single task, so that no job
    is refused that could just be done; in a queue, tasks get any upstream.
    """
    pool = job.pool
    rate = pool.sure_rate(now)
    speed = max(pool.near.top_speed, pool.far.top_speed)
    if pool.saturated:
        speed = pool.mean_speed()
    if rate <= 0 or speed <= 0:
        return 0.0
    longest = job.expected_ms[job.waiting[-1]] / speed
    return max(longest, job.waiting_ms / rate) / MS_PER_S


def team_backlog_s(job: JobState, quota_slots):
    """Return the time in which the slots of its quota let a team's work finish."""
    speed = job.pool.mean_speed()
    work_ms = job.team.waiting_work_ms + job.waiting_ms
    return work_ms / (max(1, quota_slots) * speed) / MS_PER_S


def retry_after(seconds):
    """Return the time after which another attempt makes sense."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
