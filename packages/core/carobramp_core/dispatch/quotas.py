"""Quotas of teams: concurrent slots over the whole deployment.

Explanation
===========

Each VM may always use an equal part of a quota. Beyond it, a VM uses a part in
proportion to its share of the team's demand, as heartbeats report it, once its own
demand has been above the equal part for `BORROW_DELAY_S`; by then the VMs of its
zone have reported theirs. docs/decisions/ states the error bound.
"""

import dataclasses
import math

from carobramp_core.dispatch.messages import PeersSeen

# Longer than one heartbeat within a zone (1 s), so that peers with demand of their
# own have been heard before their part is used.
BORROW_DELAY_S = 1.5


@dataclasses.dataclass(slots=True, eq=False)
class TeamUse:
    """Tasks of one team at this VM."""

    name: str
    quota: int
    weight: float = 1.0
    running: int = 0
    waiting: int = 0
    waiting_work_ms: float = 0.0
    peer_running: int = 0
    peer_demand: int = 0
    above_since: float | None = None
    parked_in: list = dataclasses.field(default_factory=list)

    def demand(self):
        """Tasks that run or wait."""
        return self.running + self.waiting


class Quotas:
    """Uses of all teams and the parts of their quotas for this VM.

    Examples
    ========

    >>> quotas = Quotas()
    >>> quotas.seen(PeersSeen(zone_vms=2, all_vms=4))
    >>> team = quotas.team("bakery", quota=8)
    >>> team.waiting = 20
    >>> quotas.limit(team, now=0.0), quotas.limit(team, now=2.0)
    (2, 8)
    """

    def __init__(self):
        self.teams: dict[str, TeamUse] = {}
        self.all_vms = 1

    def team(self, name, quota=1, weight=1.0) -> TeamUse:
        """Return the use of a team, with quota and weight of the state in force."""
        use = self.teams.get(name)
        if use is None:
            use = self.teams[name] = TeamUse(name, quota)
        use.quota, use.weight = quota, weight
        return use

    def seen(self, peers: PeersSeen):
        """Take the loads of the other VMs."""
        self.all_vms = max(1, peers.all_vms)
        for use in self.teams.values():
            use.peer_running = use.peer_demand = 0
        for load in peers.loads:
            use = self.teams.setdefault(load.team, TeamUse(load.team, 1))
            use.peer_running += load.running
            use.peer_demand += load.running + load.waiting

    def limit(self, use: TeamUse, now) -> int:
        """Return the tasks of a team that may run at once at this VM."""
        equal = max(1, use.quota // self.all_vms)
        if use.demand() <= equal:
            use.above_since = None
            return equal
        if use.above_since is None:
            use.above_since = now
        if now - use.above_since < BORROW_DELAY_S and self.all_vms > 1:
            return equal
        return max(equal, self.borrowed_limit(use))

    def possible(self, use: TeamUse, more) -> int:
        """Return the slots a team may come to have with `more` tasks waiting."""
        return max(1, use.quota // self.all_vms, self.borrowed_limit(use, more))

    def borrowed_limit(self, use: TeamUse, more=0) -> int:
        """Return the part in proportion to demand, less what peers still use."""
        demand = use.demand() + more
        share = demand / max(1, demand + use.peer_demand)
        return min(math.floor(use.quota * share), use.quota - use.peer_running)

    def has_room(self, use: TeamUse, now) -> bool:
        """Whether another task of the team may start."""
        return use.running < self.limit(use, now)

    def loads(self):
        """Return (team, running, waiting) of each team with tasks."""
        return [
            (u.name, u.running, u.waiting) for u in self.teams.values() if u.demand()
        ]
