"""Quotas of teams: concurrent slots over the whole deployment.

Explanation
===========

Each VM may always use an equal part of a quota. Slots that VMs do not need of their
equal parts are divided among the others in proportion to their demand beyond the
equal part. All VMs compute the division from the demands that heartbeats announced,
including their own, so that they agree as soon as they have received each other's
heartbeats. A VM uses more than its equal part only for a demand that it announced at
least one heartbeat ago. docs/decisions/ states the error bound.
"""

import dataclasses
import math

from carobramp_core.dispatch.messages import LiveVmsUpdated


@dataclasses.dataclass(slots=True, eq=False)
class TeamUsage:
    """Tasks of one team at this VM.

    Attributes
    ==========

    announced_demands : demand at the last two heartbeats, newest first
    peer_demands : latest demands of the other VMs
    limit : tasks that may run at once at this VM
    blocked_queues : class queues in which the team waits for free quota slots
    """

    name: str
    quota: int
    weight: float = 1.0
    running: int = 0
    waiting: int = 0
    waiting_work_ms: float = 0.0
    announced_demands: tuple[int, int] = (0, 0)
    peer_demands: list[int] = dataclasses.field(default_factory=list)
    limit: int = 1
    blocked_queues: list = dataclasses.field(default_factory=list)

    def demand(self):
        """Return the number of running and waiting tasks."""
        return self.running + self.waiting

    def has_capacity(self) -> bool:
        """Whether another task of the team may start."""
        return self.running < self.limit


class Quotas:
    """Tasks of all teams and the parts of their quotas that this VM may use.

    Examples
    ========

    >>> quotas = Quotas()
    >>> update = LiveVmsUpdated(zone_vms=2, all_vms=4)
    >>> quotas.update_demands(update)
    >>> team = quotas.team("bakery", quota=8)
    >>> team.waiting = 20
    >>> team.limit
    2
    >>> quotas.update_demands(update)
    >>> quotas.update_demands(update)
    >>> team.limit
    8
    """

    def __init__(self):
        self.teams: dict[str, TeamUsage] = {}
        self.all_vms = 1

    def team(self, name, quota=1, weight=1.0) -> TeamUsage:
        """Return the usage of a team after setting its quota and weight."""
        usage = self.teams.setdefault(name, TeamUsage(name, 0))
        usage.weight = weight
        if usage.quota != quota:
            usage.quota = quota
            usage.limit = announced_part(usage, self.all_vms)
        return usage

    def update_demands(self, update: LiveVmsUpdated):
        """Set the demands of the other VMs and recompute the limit of each team."""
        self.all_vms = max(1, update.all_vms)
        for usage in self.teams.values():
            usage.peer_demands.clear()
            usage.announced_demands = (usage.demand(), usage.announced_demands[0])
        for load in update.loads:
            usage = self.teams.setdefault(load.team, TeamUsage(load.team, 1))
            usage.peer_demands.append(load.running + load.waiting)
        for usage in self.teams.values():
            usage.limit = announced_part(usage, self.all_vms)

    def slots_with_demand(self, usage: TeamUsage, more) -> int:
        """Return the slots that a team can reach here with `more` tasks waiting."""
        demand = usage.demand() + more
        return max(
            usage.limit,
            quota_part(usage.quota, demand, usage.peer_demands, self.all_vms),
        )

    def loads(self):
        """Return (team, running, waiting) of each team with tasks."""
        return [
            (usage.name, usage.running, usage.waiting)
            for usage in self.teams.values()
            if usage.demand()
        ]


def announced_part(usage: TeamUsage, all_vms) -> int:
    """Return the part of a quota for this VM according to the announced demands."""
    equal = max(1, usage.quota // all_vms)
    if min(usage.announced_demands) <= equal:
        return equal
    return quota_part(
        usage.quota, usage.announced_demands[0], usage.peer_demands, all_vms
    )


def quota_part(quota, demand, peer_demands, all_vms) -> int:
    """Return the slots of a quota for a VM with `demand` running and waiting tasks.

    Examples
    ========

    >>> quota_part(quota=12, demand=30, peer_demands=[1, 15], all_vms=3)
    6
    """
    equal = max(1, quota // all_vms)
    if demand <= equal:
        return equal
    demands = [demand, *peer_demands]
    rest = quota - sum(min(each, equal) for each in demands)
    beyond = sum(max(0, each - equal) for each in demands)
    return equal + max(0, math.floor(rest * (demand - equal) / beyond))
