"""Applies the deployment state, peers and leaving upstreams to the dispatcher."""

from carobramp_core.dispatch.pool import ServicePool
from carobramp_core.dispatch.upstreams import Upstream
from carobramp_core.outcomes import JobRefused, Reason
from carobramp_core.tickets.state import DeploymentState


def apply_state(state: DeploymentState, dispatcher, now, effects):
    """Put a new deployment state into force.

    Running tasks of removed upstreams and services finish; waiting jobs of removed
    services fail.
    """
    previous, dispatcher.state = dispatcher.state, state
    apply_services(state, dispatcher)
    for name in previous.upstreams.keys() - state.upstreams.keys():
        remove_upstream(name, dispatcher)
    for name, versioned in state.upstreams.items():
        if previous.upstreams.get(name) is not versioned:
            set_upstream(name, versioned.state, dispatcher)
    attach_upstreams(dispatcher)
    set_zone_vms(dispatcher, dispatcher.zone_vms)
    apply_teams(state, dispatcher)
    fail_removed(state, dispatcher, now, effects)
    for pool in dispatcher.pools.values():
        pool.far_refreshed_at = float("-inf")
    dispatcher.refresh(now)


def apply_services(state, dispatcher):
    """Add, change and remove services."""
    for name, versioned in state.services.items():
        pool = dispatcher.pools.get(name)
        if pool is None:
            dispatcher.pools[name] = ServicePool(name, versioned.state, dispatcher.rng)
        elif pool.state is not versioned.state:
            pool.set_state(versioned.state)
    for name in dispatcher.pools.keys() - state.services.keys():
        del dispatcher.pools[name]


def set_upstream(name, state, dispatcher):
    """Add or change an upstream; another service or zone makes it a new one."""
    upstream = dispatcher.upstreams.get(name)
    if upstream is not None:
        before = upstream.state
        same_zone = before.availability_zone == state.availability_zone
        if before.service == state.service and same_zone:
            upstream.set_state(state)
            return
        remove_upstream(name, dispatcher)
    near = not dispatcher.zone or state.availability_zone == dispatcher.zone
    upstream = Upstream(name, state, near)
    upstream.leaving_listed = name in dispatcher.listed_leaving
    dispatcher.upstreams[name] = upstream


def remove_upstream(name, dispatcher):
    """Remove an upstream; its running tasks keep their view of it."""
    upstream = dispatcher.upstreams.pop(name, None)
    if upstream is None:
        return
    upstream.removed = True
    pool = dispatcher.pools.get(upstream.state.service)
    if pool is not None:
        pool.group(upstream).members.pop(name, None)


def attach_upstreams(dispatcher):
    """Make each upstream a member of its service's group."""
    for name, upstream in dispatcher.upstreams.items():
        pool = dispatcher.pools.get(upstream.state.service)
        if pool is not None:
            pool.group(upstream).members[name] = upstream


def set_zone_vms(dispatcher, zone_vms):
    """Take the number of live VMs of the zone, for the equal shares of slots."""
    dispatcher.zone_vms = max(1, zone_vms)
    for upstream in dispatcher.upstreams.values():
        upstream.share = max(1, upstream.state.slots // dispatcher.zone_vms)


def set_leaving(dispatcher, names):
    """Take the upstreams that the membership list names as leaving.

    A name that is no longer listed also ends a leaving that the upstream's own
    answers stated: it has been replaced.
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
    """Take quotas and weights."""
    for name, versioned in state.teams.items():
        team = versioned.state
        use = dispatcher.quotas.team(name, team.quota_slots, team.weight)
        dispatcher.release(use)


def fail_removed(state, dispatcher, now, effects):
    """Fail the jobs of services that were removed."""
    gone = [j for j in dispatcher.jobs.values() if j.job.service not in state.services]
    for job in gone:
        detail = f"service {job.job.service} was removed"
        if job.not_run():
            refused = JobRefused(Reason.UNKNOWN_SERVICE, detail)
            dispatcher.finish(job, refused, now, effects)
        elif job.waiting:
            dispatcher.fail(job, Reason.NO_UPSTREAM, detail, now, effects)
