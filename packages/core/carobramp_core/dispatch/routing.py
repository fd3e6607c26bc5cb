"""Which upstream a task goes to: policies behind one interface.

Explanation
===========

A policy returns the upstream for the next task of a class, or None when the task
waits. Policies are registered by the name that a service's `policy` field gives.
`earliest_finish` and `static_share` bind late: a task starts only where a slot is
free by the estimate. The other baselines bind at once, as a balancer without
queue does, and tasks wait at the upstream.
"""

import dataclasses
import random
from collections.abc import Callable

from carobramp_core.dispatch.pool import Group, ServicePool
from carobramp_core.dispatch.upstreams import Upstream

# A faster upstream is waited for only when it is clearly faster; learned speeds
# vary by a few percent.
FASTER = 1.15
# Expected advantage of waiting, relative to starting now, from which it pays. With
# 1.1, the simulated mean ratio at 70% load was 0.92 instead of 0.80 with 2: the
# expected wait leaves out what other VMs start meanwhile.
HOLD_ADVANTAGE = 2.0
RANDOM_TRIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """What a policy decides on.

    Attributes
    ==========

    work_ms : expected run time of the task at speed 1
    mean_ms : mean run time of the class at speed 1
    before : tasks that wait in classes that go first and in this one, with this one
    percent : reserve that the class has to keep free
    exclude : upstreams that did not start this task
    network_ms, far_network_ms : round trips
    """

    work_ms: float
    mean_ms: float
    before: int
    percent: int
    exclude: frozenset[str] | set[str]
    network_ms: float
    far_network_ms: float


Policy = Callable[[ServicePool, Choice, float, random.Random], Upstream | None]
POLICIES: dict[str, Policy] = {}


def policy(function):
    """Register a policy under its name."""
    POLICIES[function.__name__] = function
    return function


def choose(pool: ServicePool, choice: Choice, now, rng) -> Upstream | None:
    """Return the upstream for a task, or None when it waits."""
    upstream = POLICIES[pool.state.policy](pool, choice, now, rng)
    if upstream is None and choice.exclude and only_tried(pool, choice):
        again = dataclasses.replace(choice, exclude=frozenset())
        return POLICIES[pool.state.policy](pool, again, now, rng)
    return upstream


def only_tried(pool, choice):
    """Whether every usable upstream already refused the task."""
    usable = (u.name for group in (pool.near, pool.far) for u in group.usable)
    return all(name in choice.exclude for name in usable)


@policy
def earliest_finish(pool, choice: Choice, now, rng):
    """Take the earliest expected finish; wait briefly for a faster upstream."""
    near = pool.near.pick(choice.percent, now, choice.exclude)
    if near is None and choice.exclude:
        # The slots that come free next may be those that the task must not use.
        finish = float("inf")
    elif near is None:
        finish = waiting_finish(pool.near, choice)
    else:
        finish = choice.work_ms / near.speed + choice.network_ms
    far = spill(pool, choice, finish, now)
    if far is not None:
        return far
    if near is None or choice.exclude or not worth_waiting(pool.near, choice, near):
        return near
    return None


def waiting_finish(group: Group, choice: Choice):
    """Return the expected time to the finish when all slots of a group are taken."""
    if group.rate <= 0:
        return float("inf")
    wait = choice.before * choice.mean_ms / group.rate
    return wait + choice.work_ms / group.mean_speed() + choice.network_ms


def spill(pool, choice, finish, now):
    """Return an upstream of another zone when it is earlier by the threshold."""
    if not pool.far.usable:
        return None
    limit = finish - pool.state.spill_threshold_ms - choice.far_network_ms
    if choice.work_ms / pool.far.top_speed > limit:
        return None
    far = pool.far.pick(choice.percent, now, choice.exclude)
    if far is not None and choice.work_ms / far.speed <= limit:
        return far
    return None


def worth_waiting(group, choice, upstream):
    """Whether all waiting tasks would soon be served by faster upstreams."""
    if upstream.speed * HOLD_ADVANTAGE >= group.top_speed:
        return False
    rate = group.rate_above(upstream.speed * FASTER)
    if rate <= 0:
        return False
    wait = choice.before * choice.mean_ms / rate
    later = wait + choice.work_ms / group.top_speed
    return later * HOLD_ADVANTAGE < choice.work_ms / upstream.speed


def candidates(pool, choice):
    """Return the usable upstreams of the own zone, or else of the other zones."""
    for group in (pool.near, pool.far):
        if group.usable:
            return group.usable, group
    return [], pool.near


def may_queue(upstream, group, choice, now):
    """Whether an early-binding policy may send a task."""
    if upstream.name in choice.exclude or not upstream.usable(now):
        return False
    if upstream.cautious(now, group.totals):
        return not upstream.running
    return len(upstream.running) < upstream.state.connections


@policy
def random_choice(pool, choice, now, rng):
    """Take any usable upstream."""
    usable, group = candidates(pool, choice)
    for _ in range(RANDOM_TRIES if usable else 0):
        upstream = rng.choice(usable)
        if may_queue(upstream, group, choice, now):
            return upstream
    return first_open(usable, group, choice, now)


def first_open(upstreams, group, choice, now):
    """Return the first upstream that may get a task, or None."""
    for upstream in upstreams:
        if may_queue(upstream, group, choice, now):
            return upstream
    return None


@policy
def round_robin(pool, choice, now, rng):
    """Take the usable upstreams in turn."""
    usable, group = candidates(pool, choice)
    usable = sorted(usable, key=lambda upstream: upstream.name)
    pool.turn += 1
    start = pool.turn % max(1, len(usable))
    return first_open(usable[start:] + usable[:start], group, choice, now)


@policy
def least_outstanding(pool, choice, now, rng):
    """Take the upstream with the fewest own tasks."""
    usable, group = candidates(pool, choice)
    usable = sorted(usable, key=lambda upstream: len(upstream.running))
    return first_open(usable, group, choice, now)


@policy
def two_choices(pool, choice, now, rng):
    """Take the one with fewer own tasks of two random upstreams."""
    usable, group = candidates(pool, choice)
    for _ in range(RANDOM_TRIES if usable else 0):
        pair = [rng.choice(usable), rng.choice(usable)]
        pair.sort(key=lambda upstream: len(upstream.running))
        found = first_open(pair, group, choice, now)
        if found is not None:
            return found
    return first_open(usable, group, choice, now)


@policy
def static_share(pool, choice, now, rng):
    """Use only an equal share of each upstream's slots; wait when it is used up."""
    usable, group = candidates(pool, choice)
    open_ones = [
        upstream
        for upstream in usable
        if len(upstream.running) < upstream.share
        and may_queue(upstream, group, choice, now)
    ]
    return min(open_ones, key=lambda u: len(u.running), default=None)


POLICIES["random"] = POLICIES.pop("random_choice")
