"""Seeded schedule of faults for a chaos run."""

import dataclasses
import itertools
import random

MEAN_GAP_S = 0.6


@dataclasses.dataclass(frozen=True)
class Kind:
    """Kind of fault: what it concerns and how long it lasts, in seconds."""

    scope: str
    shortest: float
    longest: float


KINDS = {
    "kill_vm": Kind("vm", 0.1, 3.0),
    "freeze_vm": Kind("vm", 0.2, 4.0),
    "stop_vm": Kind("vm", 0.0, 0.5),
    "cut_zones": Kind("zones", 0.5, 8.0),
    "cut_platform": Kind("zone_platform", 0.5, 8.0),
    "cut_upstreams": Kind("zone_upstreams", 0.5, 3.0),
    "hold_zones": Kind("zones", 0.5, 4.0),
    "hold_platform": Kind("zone_platform", 0.5, 4.0),
    "hold_upstreams": Kind("zone_upstreams", 0.5, 3.0),
    "kill_upstreams": Kind("zone_upstreams", 0.1, 3.0),
    "platform_down": Kind("platform", 0.5, 6.0),
    "platform_slow": Kind("platform", 0.5, 6.0),
    "platform_lossy": Kind("platform", 0.5, 3.0),
    "platform_stale": Kind("platform", 0.5, 6.0),
    "upstream_slow": Kind("upstream", 0.5, 4.0),
    "upstream_refuse": Kind("upstream", 0.5, 4.0),
    "upstream_close": Kind("upstream", 0.5, 2.0),
    "upstream_truncate": Kind("upstream", 0.5, 2.0),
    "upstream_late": Kind("upstream", 0.5, 2.0),
    "upstream_twice": Kind("upstream", 0.5, 4.0),
    "upstream_other": Kind("upstream", 0.5, 2.0),
    "upstream_fail": Kind("upstream", 0.5, 4.0),
    "upstream_leave": Kind("upstream", 0.5, 4.0),
    "cancel_wave": Kind("callers", 0.0, 0.0),
}


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of some kind at one target, from `at` for `seconds`."""

    at: float
    kind: str
    target: str
    seconds: float


@dataclasses.dataclass(frozen=True)
class Topology:
    """Names of what faults can concern."""

    zones: tuple[str, ...]
    vms: tuple[str, ...]
    upstreams_per_zone: int

    def targets(self, scope):
        """Return the targets of a scope.

        Examples
        ========

        >>> Topology(("a", "b", "c"), (), 1).targets("zones")
        ['a+b', 'a+c', 'b+c']
        """
        upstreams = range(self.upstreams_per_zone)
        return {
            "vm": list(self.vms),
            "zones": ["+".join(p) for p in itertools.combinations(self.zones, 2)],
            "zone_platform": list(self.zones),
            "zone_upstreams": list(self.zones),
            "platform": ["platform"],
            "upstream": [f"{z}/{n}" for z in self.zones for n in upstreams],
            "callers": ["callers"],
        }[scope]


def schedule(seed, seconds, topology: Topology) -> list[Fault]:
    """Return the faults of a run, the same for each seed, in order of time.

    Explanation
    ===========

    Each kind occurs once in random order before kinds are drawn freely. Faults
    of different targets overlap; two faults of one target and scope do not, since
    the end of one would undo the other.
    """
    rng = random.Random(f"chaos:{seed}")
    pending = list(KINDS)
    rng.shuffle(pending)
    busy_until: dict[tuple[str, str], float] = {}
    faults = []
    at = rng.expovariate(1 / MEAN_GAP_S)
    while at < seconds:
        kinds = pending or [rng.choice(list(KINDS))]
        made = (_fault(at, kind, seconds, topology, busy_until, rng) for kind in kinds)
        fault = next((fault for fault in made if fault is not None), None)
        if fault is not None:
            faults.append(fault)
            pending = [kind for kind in pending if kind != fault.kind]
        at += rng.expovariate(1 / MEAN_GAP_S)
    return faults


def _fault(at, kind, seconds, topology, busy_until, rng):
    scope = KINDS[kind].scope
    free = [
        target
        for target in topology.targets(scope)
        if busy_until.get((scope, target), 0.0) <= at
    ]
    if not free:
        return None
    target = rng.choice(free)
    lasts = rng.uniform(KINDS[kind].shortest, KINDS[kind].longest)
    lasts = min(lasts, seconds - at)
    busy_until[scope, target] = at + lasts
    return Fault(at, kind, target, lasts)
