"""Routing policies, which choose the upstream of a task.

Explanation
===========

A policy returns the upstream for the next task of a class, or None when the task
has to wait. A service's `policy` field names its policy. `earliest_finish` and
`static_share` bind late: they start a task only at an upstream whose slot is
estimated to be free. The other policies serve as baselines and bind early, as a load
balancer without a queue does, so that tasks wait at the upstream.
"""

import dataclasses
import random
from collections.abc import Callable

from carobramp_core.dispatch.pool import ServicePool, UpstreamGroup
from carobramp_core.dispatch.upstreams import Upstream

# Least ratio of speeds from which it may pay to wait for a faster upstream; learned
# speeds vary by a few percent.
MIN_SPEED_RATIO = 1.15
# Ratio of the expected run time when started now to the expected time with waiting,
# above which a task waits. At 70% load the simulated mean ratio of response time to
# ideal time was 0.92 with 1.1 and 0.80 with 2, as the expected wait ignores tasks that
# other VMs start in the meantime.
MIN_WAIT_ADVANTAGE = 2.0
RANDOM_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Input of a policy: the task to route and its limits.

    Attributes
    ==========

    work_ms : expected run time of the task at speed 1
    mean_ms : mean run time of the tasks of its class at speed 1
    tasks_ahead : waiting tasks of this class and those ahead of it, with this task
    reserve_percent : percentage of slots that the class has to keep free
    exclude : names of upstreams that did not start this task
    network_ms, remote_network_ms : round trip times to local and remote upstreams
    """

    work_ms: float
    mean_ms: float
    tasks_ahead: int
    reserve_percent: int
    exclude: frozenset[str] | set[str]
    network_ms: float
    remote_network_ms: float


Policy = Callable[[ServicePool, RoutingRequest, float, random.Random], Upstream | None]
POLICIES: dict[str, Policy] = {}


def policy(function):
    """Register a policy under the name of its function."""
    POLICIES[function.__name__] = function
    return function


def choose_upstream(
    pool: ServicePool, request: RoutingRequest, now, rng
) -> Upstream | None:
    """Return the upstream for a task, or None when it has to wait.

    When every usable upstream is excluded, the exclusions are ignored.
    """
    upstream = POLICIES[pool.state.policy](pool, request, now, rng)
    if upstream is None and request.exclude and all_usable_excluded(pool, request):
        without_exclusions = dataclasses.replace(request, exclude=frozenset())
        return POLICIES[pool.state.policy](pool, without_exclusions, now, rng)
    return upstream


def all_usable_excluded(pool, request):
    """Whether no usable upstream remains that has not already been tried."""
    usable = (u.name for group in (pool.local, pool.remote) for u in group.usable)
    return all(name in request.exclude for name in usable)


@policy
def earliest_finish(pool, request: RoutingRequest, now, rng):
    """Choose the earliest expected finish; may wait for a faster local upstream.

    A remote upstream is chosen only when it is earlier by the spill threshold.
    """
    local = pool.local.pick(request.reserve_percent, now, request.exclude)
    if local is None and request.exclude:
        # The slots that become free next may be those of excluded upstreams.
        finish = float("inf")
    elif local is None:
        finish = waiting_finish(pool.local, request)
    else:
        finish = request.work_ms / local.speed + request.network_ms
    remote = choose_remote_upstream(pool, request, finish, now)
    if remote is not None:
        return remote
    if (
        local is None
        or request.exclude
        or not worth_waiting(pool.local, request, local)
    ):
        return local
    return None


def waiting_finish(group: UpstreamGroup, request: RoutingRequest):
    """Return the expected ms to the finish when all slots of a group are taken."""
    if group.rate <= 0:
        return float("inf")
    wait = request.tasks_ahead * request.mean_ms / group.rate
    return wait + request.work_ms / group.mean_speed() + request.network_ms


def choose_remote_upstream(pool, request, finish, now):
    """Return a remote upstream that is earlier by the spill threshold, or None."""
    if not pool.remote.usable:
        return None
    limit = finish - pool.state.spill_threshold_ms - request.remote_network_ms
    if request.work_ms / pool.remote.top_speed > limit:
        return None
    remote = pool.remote.pick(request.reserve_percent, now, request.exclude)
    if remote is not None and request.work_ms / remote.speed <= limit:
        return remote
    return None


def worth_waiting(group, request, upstream):
    """Whether a task finishes much earlier by waiting for a faster upstream."""
    if upstream.speed * MIN_WAIT_ADVANTAGE >= group.top_speed:
        return False
    rate = group.completion_rate_above(upstream.speed * MIN_SPEED_RATIO)
    if rate <= 0:
        return False
    wait = request.tasks_ahead * request.mean_ms / rate
    later = wait + request.work_ms / group.top_speed
    return later * MIN_WAIT_ADVANTAGE < request.work_ms / upstream.speed


def candidates(pool, request):
    """Return the usable local upstreams, or else the remote ones, and their group."""
    for group in (pool.local, pool.remote):
        if group.usable:
            return group.usable, group
    return [], pool.local


def may_send(upstream, group, request, now):
    """Whether an early-binding policy may send a task, even if no slot is free."""
    if upstream.name in request.exclude or not upstream.usable(now):
        return False
    if upstream.limited_to_one_task(now, group.service_counts):
        return not upstream.running
    return len(upstream.running) < upstream.state.connections


@policy
def random_choice(pool, request, now, rng):
    """Make a random choice among the usable upstreams."""
    usable, group = candidates(pool, request)
    for _ in range(RANDOM_ATTEMPTS if usable else 0):
        upstream = rng.choice(usable)
        if may_send(upstream, group, request, now):
            return upstream
    return first_available(usable, group, request, now)


def first_available(upstreams, group, request, now):
    """Return the first upstream for which `may_send` is true, or None."""
    for upstream in upstreams:
        if may_send(upstream, group, request, now):
            return upstream
    return None


@policy
def round_robin(pool, request, now, rng):
    """Choose the usable upstreams in turn, by name."""
    usable, group = candidates(pool, request)
    usable = sorted(usable, key=lambda upstream: upstream.name)
    pool.round_robin_index += 1
    start = pool.round_robin_index % max(1, len(usable))
    return first_available(usable[start:] + usable[:start], group, request, now)


@policy
def least_outstanding(pool, request, now, rng):
    """Choose the upstream with the fewest running tasks of this VM."""
    usable, group = candidates(pool, request)
    usable = sorted(usable, key=lambda upstream: len(upstream.running))
    return first_available(usable, group, request, now)


@policy
def two_choices(pool, request, now, rng):
    """Choose of two random upstreams the one with fewer running tasks of this VM."""
    usable, group = candidates(pool, request)
    for _ in range(RANDOM_ATTEMPTS if usable else 0):
        pair = [rng.choice(usable), rng.choice(usable)]
        pair.sort(key=lambda upstream: len(upstream.running))
        found = first_available(pair, group, request, now)
        if found is not None:
            return found
    return first_available(usable, group, request, now)


@policy
def static_share(pool, request, now, rng):
    """Use only this VM's equal share of each upstream's slots; else wait."""
    usable, group = candidates(pool, request)
    available = [
        upstream
        for upstream in usable
        if len(upstream.running) < upstream.slot_share
        and may_send(upstream, group, request, now)
    ]
    return min(available, key=lambda u: len(u.running), default=None)


POLICIES["random"] = POLICIES.pop("random_choice")
