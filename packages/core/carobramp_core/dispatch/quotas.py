"""Quotas of teams: concurrent slots over the whole deployment.

Explanation
===========

Each VM may always use an equal part of a quota. What the VMs do not need of their
equal parts is divided in proportion to the demand beyond them. All VMs compute the
division from the demands that heartbeats announced, their own included, so that
they agree on it as soon as they have heard each other; a VM goes beyond its equal
part only with a demand that it announced at least one heartbeat ago.
docs/decisions/ states the error bound.
"""

import dataclasses
import math

from carobramp_core.dispatch.messages import LiveVmsUpdated


@dataclasses.dataclass(slots=True, eq=False)
class TeamUse:
    """Tasks of one team at this VM.

    Attributes
    ==========

    announced : demand at the last two heartbeats, newest first
    peers : demands of the other VMs
    limit : tasks that may run at once at this VM
    parked_in : class queues in which the team waits for its quota
    """

    name: str
    quota: int
    weight: float = 1.0
    running: int = 0
    waiting: int = 0
    waiting_work_ms: float = 0.0
    announced: tuple[int, int] = (0, 0)
    peers: list[int] = dataclasses.field(default_factory=list)
    limit: int = 1
    parked_in: list = dataclasses.field(default_factory=list)

    def demand(self):
        """Tasks that run or wait."""
        return self.running + self.waiting

    def has_room(self) -> bool:
        """Whether another task of the team may start."""
        return self.running < self.limit


class Quotas:
    """Uses of all teams and the parts of their quotas for this VM.

    Examples
    ========

    >>> quotas = Quotas()
    >>> seen = LiveVmsUpdated(zone_vms=2, all_vms=4)
    >>> quotas.seen(seen)
    >>> team = quotas.team("bakery", quota=8)
    >>> team.waiting = 20
    >>> team.limit
    2
    >>> quotas.seen(seen)
    >>> quotas.seen(seen)
    >>> team.limit
    8
    """

    def __init__(self):
        self.teams: dict[str, TeamUse] = {}
        self.all_vms = 1

    def team(self, name, quota=1, weight=1.0) -> TeamUse:
        """Return the use of a team, with quota and weight of the state in force."""
        use = self.teams.setdefault(name, TeamUse(name, 0))
        use.weight = weight
        if use.quota != quota:
            use.quota = quota
            use.limit = divide(use, self.all_vms)
        return use

    def seen(self, peers: LiveVmsUpdated):
        """Take the loads of the other VMs."""
        self.all_vms = max(1, peers.all_vms)
        for use in self.teams.values():
            use.peers.clear()
            use.announced = (use.demand(), use.announced[0])
        for load in peers.loads:
            use = self.teams.setdefault(load.team, TeamUse(load.team, 1))
            use.peers.append(load.running + load.waiting)
        for use in self.teams.values():
            use.limit = divide(use, self.all_vms)

    def possible(self, use: TeamUse, more) -> int:
        """Return the slots a team may come to have with `more` tasks waiting."""
        demand = use.demand() + more
        return max(use.limit, part(use.quota, demand, use.peers, self.all_vms))

    def loads(self):
        """Return (team, running, waiting) of each team with tasks."""
        return [
            (use.name, use.running, use.waiting)
            for use in self.teams.values()
            if use.demand()
        ]


def divide(use: TeamUse, all_vms) -> int:
    """Return the part of a quota for this VM, by the announced demands."""
    equal = max(1, use.quota // all_vms)
    if min(use.announced) <= equal:
        return equal
    return part(use.quota, use.announced[0], use.peers, all_vms)


def part(quota, demand, peers, all_vms) -> int:
    """Return the part of a quota for a VM with `demand`.

    Examples
    ========

    >>> part(quota=12, demand=30, peers=[1, 15], all_vms=3)
    6
    """
    equal = max(1, quota // all_vms)
    if demand <= equal:
        return equal
    demands = [demand, *peers]
    rest = quota - sum(min(each, equal) for each in demands)
    beyond = sum(max(0, each - equal) for each in demands)
    return equal + max(0, math.floor(rest * (demand - equal) / beyond))
