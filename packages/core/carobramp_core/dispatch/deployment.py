"""Applies changes of the deployment to the dispatcher.

These are a new deployment state, the number of live VMs of the zone and the list
of leaving upstreams.
"""

from carobramp_core.dispatch.admission import MIN_RETRY_AFTER_S, why_no_tasks
from carobramp_core.dispatch.pool import ServicePool
from carobramp_core.dispatch.upstreams import Upstream
from carobramp_core.outcomes import JobRefused, Reason
from carobramp_core.tickets.state import DeploymentState


def apply_state(state: DeploymentState, dispatcher, now, effects):
    """Replace the deployment state in force by `state`.

    Running tasks of removed upstreams and services finish. Jobs of removed services
    that still have waiting tasks end: refused when no task started, else failed.
    """
    previous, dispatcher.state = dispatcher.state, state
    apply_services(state, dispatcher)
    for name in previous.upstreams.keys() - state.upstreams.keys():
        remove_upstream(name, dispatcher)
    for name, versioned in state.upstreams.items():
        if previous.upstreams.get(name) is not versioned:
            set_upstream(name, versioned.state, dispatcher)
    attach_upstreams(dispatcher)
    set_evacuated_zones(state, dispatcher)
    set_zone_vms(dispatcher, dispatcher.zone_vms)
    apply_teams(state, dispatcher)
    end_jobs_of_removed_services(state, dispatcher, now, effects)
    for pool in dispatcher.pools.values():
        pool.remote_refreshed_at = float("-inf")
    dispatcher.refresh(now)


def apply_services(state, dispatcher):
    """Add, change and remove service pools to match the state."""
    for name, versioned in state.services.items():
        pool = dispatcher.pools.get(name)
        if pool is None:
            dispatcher.pools[name] = ServicePool(name, versioned.state, dispatcher.rng)
        elif pool.state is not versioned.state:
            pool.set_state(versioned.state)
    for name in dispatcher.pools.keys() - state.services.keys():
        del dispatcher.pools[name]


def set_upstream(name, state, dispatcher):
    """Add or change an upstream; a new service or zone replaces its whole record."""
    upstream = dispatcher.upstreams.get(name)
    if upstream is not None:
        before = upstream.state
        same_zone = before.availability_zone == state.availability_zone
        if before.service == state.service and same_zone:
            upstream.set_state(state)
            return
        remove_upstream(name, dispatcher)
    local = not dispatcher.zone or state.availability_zone == dispatcher.zone
    upstream = Upstream(name, state, local)
    upstream.leaving_listed = name in dispatcher.listed_leaving
    dispatcher.upstreams[name] = upstream


def remove_upstream(name, dispatcher):
    """Remove an upstream; its running tasks keep their reference to it."""
    upstream = dispatcher.upstreams.pop(name, None)
    if upstream is None:
        return
    upstream.removed = True
    pool = dispatcher.pools.get(upstream.state.service)
    if pool is not None:
        pool.group(upstream).members.pop(name, None)


def attach_upstreams(dispatcher):
    """Add each upstream to the local or remote group of its service."""
    for name, upstream in dispatcher.upstreams.items():
        pool = dispatcher.pools.get(upstream.state.service)
        if pool is not None:
            pool.group(upstream).members[name] = upstream


def set_evacuated_zones(state, dispatcher):
    """Mark the upstreams of evacuated zones, whose running tasks finish."""
    zones = state.evacuated_zones()
    for upstream in dispatcher.upstreams.values():
        upstream.evacuated = upstream.state.availability_zone in zones


def set_zone_vms(dispatcher, zone_vms):
    """Set the number of live VMs of the zone and each upstream's equal slot share."""
    dispatcher.zone_vms = max(1, zone_vms)
    for upstream in dispatcher.upstreams.values():
        upstream.slot_share = max(1, upstream.state.slots // dispatcher.zone_vms)


def set_listed_leaving(dispatcher, names):
    """Set the upstreams that the membership list names as leaving.

    When a name is no longer listed, the upstream has been replaced, so that the
    leaving state that its own answers reported is cleared, too.
    """
    for name in dispatcher.listed_leaving - names:
        upstream = dispatcher.upstreams.get(name)
        if upstream is not None:
            upstream.leaving_listed = upstream.leaving_reported = False
    for name in names:
        upstream = dispatcher.upstreams.get(name)
        if upstream is not None:
            upstream.leaving_listed = True
    dispatcher.listed_leaving = names


def apply_teams(state, dispatcher):
    """Set the quota and weight of each team."""
    for name, versioned in state.teams.items():
        team = versioned.state
        usage = dispatcher.quotas.team(name, team.quota_slots, team.weight)
        dispatcher.unblock_team(usage)


def end_jobs_of_evacuated_service(pool, dispatcher, now, effects):
    """Refuse or fail the jobs with waiting tasks of a service without other zones.

    Jobs whose tasks have all started go on.
    """
    jobs = [j for j in dispatcher.jobs.values() if j.pool is pool and j.waiting]
    for job in jobs:
        reason, detail = why_no_tasks(pool)
        if job.not_run():
            refused = JobRefused(reason, detail, MIN_RETRY_AFTER_S)
            dispatcher.finish(job, refused, now, effects)
        else:
            dispatcher.fail(job, reason, detail, now, effects)


def end_jobs_of_removed_services(state, dispatcher, now, effects):
    """Refuse or fail the jobs with waiting tasks of services that were removed."""
    affected_jobs = [
        j for j in dispatcher.jobs.values() if j.job.service not in state.services
    ]
    for job in affected_jobs:
        detail = f"service {job.job.service} was removed"
        if job.not_run():
            refused = JobRefused(Reason.UNKNOWN_SERVICE, detail)
            dispatcher.finish(job, refused, now, effects)
        elif job.waiting:
            dispatcher.fail(job, Reason.NO_UPSTREAM, detail, now, effects)
