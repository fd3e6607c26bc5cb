"""Scenarios of the dispatch benchmarks and the bounds that they check.

Bounds come from the targets of docs/design.md and the task list, never from
measured figures.
"""

import dataclasses
from collections.abc import Callable, Mapping

from carobramp_schema.generated.ticket import GuardSettings, PriorityClass
from carobramp_testing.load.plan import Stream

SLOTS = 8
MS_PER_S = 1000
# Long enough that the machine is not the bottleneck: half of this took 87% of 10 cores
# beside other work and raised the ratios.
RUN_MS = (200.0, 800.0)
MEAN_RUN_MS = sum(RUN_MS) / 2
TASKS = (1, 4)
# Speeds of the eight upstreams of a zone; the fastest is four times the slowest.
MIXED = (0.5, 0.75, 1.0, 1.0, 1.0, 1.25, 1.5, 2.0)
EQUAL = (1.0,) * 8
LARGE_JOB = (390, 390)
BATCH_DEADLINE_MS = 120_000
WASTE_STEADY = 0.01
WASTE_FAULT = 0.05


@dataclasses.dataclass(frozen=True)
class Site:
    """One of the two deployments: names of zones, service and job kinds."""

    name: str
    zones: tuple[str, ...]
    service: str
    interactive: str
    batch: str


SITES = {
    "de-klep": Site(
        "de-klep",
        ("tilburg", "breda", "eindhoven"),
        "order-desk",
        "stitch-preview",
        "machine-file",
    ),
    "rendszam": Site(
        "rendszam",
        ("gyor-press", "sopron-film", "pannon-lab"),
        "plate-verifier",
        "text-check",
        "registry-batch",
    ),
}


@dataclasses.dataclass(frozen=True)
class Fault:
    """Fault at a part of the run's length, until another part.

    `kind` is ``faults`` (stand-in faults `fields` at the upstream with index
    `upstream` of the first zone), ``kill`` or ``freeze`` (all upstreams of the first
    zone).
    """

    at: float
    kind: str
    until: float = 1.0
    upstream: int = 7
    fields: Mapping = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One run: streams as a function of site and capacity, faults, bounds.

    Capacity is given in milliseconds of work per second. `service` and `settings`
    change fields of the service's state and the dispatch settings.
    """

    name: str
    streams: Callable
    speeds: tuple[float, ...] = MIXED
    faults: tuple[Fault, ...] = ()
    vm_weights: tuple[float, ...] = ()
    quota: int = 0
    bounds: Mapping[str, float] = dataclasses.field(default_factory=dict)
    service: Mapping = dataclasses.field(default_factory=dict)
    settings: Mapping = dataclasses.field(default_factory=dict)


def capacity_of(scenario: Scenario, site: Site):
    """Return the milliseconds of work that all slots do in a second."""
    return sum(scenario.speeds) * len(site.zones) * SLOTS * MS_PER_S


def interactive(part, name="", **fields):
    """Return a function that gives a stream with a part of the capacity."""

    def stream(site: Site, capacity, seconds):
        tasks = fields.get("tasks", TASKS)
        run_ms = fields.get("run_ms", RUN_MS)
        work = sum(tasks) / 2 * sum(run_ms) / 2
        defaults = {
            "name": name or site.interactive,
            "jobs_per_s": part * capacity / work,
            "tasks": tasks,
            "run_ms": run_ms,
            "service": site.service,
        }
        return Stream(**(defaults | timed(fields, seconds)))

    return stream


def timed(fields, seconds):
    """Return the fields with start and end in seconds."""
    result = dict(fields)
    for key in ("start_s", "end_s"):
        if key in result:
            result[key] *= seconds
    return result


def batch(part):
    """Return a function that gives a stream of jobs of 390 tasks."""

    def stream(site: Site, capacity, seconds):
        return Stream(
            name=site.batch,
            jobs_per_s=part * capacity / (LARGE_JOB[0] * MEAN_RUN_MS),
            tasks=LARGE_JOB,
            run_ms=RUN_MS,
            service=site.service,
            priority_class="batch",
            deadline_ms=BATCH_DEADLINE_MS,
        )

    return stream


def mix(*functions):
    """Return a function that gives all streams."""

    def streams(site, capacity, seconds):
        return tuple(function(site, capacity, seconds) for function in functions)

    return streams


STEADY = {"waste": WASTE_STEADY, "failures": 0}
FAULTY = {"waste": WASTE_FAULT}

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady-50", mix(interactive(0.5)), bounds=STEADY),
        Scenario(
            "steady-70",
            mix(interactive(0.7)),
            bounds=STEADY | {"mean": 1.25, "p99": 2.0},
        ),
        Scenario("steady-90", mix(interactive(0.9)), bounds=STEADY | {"mean": 1.6}),
        Scenario(
            "burst",
            mix(interactive(0.5), interactive(3.0, "burst", start_s=0.3, end_s=0.5)),
            bounds={"waste": WASTE_STEADY, "late": 0, "goodput_back_s": 2.0},
        ),
        Scenario(
            "declared-x10",
            mix(interactive(0.7, declared_factor=10.0)),
            bounds=STEADY | {"mean": 1.25, "p99": 2.0},
        ),
        Scenario(
            "declared-x0.1",
            mix(interactive(0.7, declared_factor=0.1)),
            bounds=STEADY | {"mean": 1.25, "p99": 2.0},
        ),
        Scenario(
            "straggler",
            mix(interactive(0.7)),
            faults=(Fault(0.4, "faults", fields={"slow": 20.0}),),
            bounds=FAULTY,
        ),
        Scenario(
            "failing-upstream",
            mix(interactive(0.7)),
            faults=(Fault(0.4, "faults", fields={"fail": True}),),
            bounds=FAULTY | {"failing_share": 0.01},
        ),
        Scenario(
            "refusing-upstream",
            mix(interactive(0.7)),
            faults=(Fault(0.4, "faults", fields={"refuse": True}),),
            bounds=FAULTY,
        ),
        Scenario(
            "rack-lost",
            mix(interactive(0.5)),
            faults=(Fault(0.4, "kill"),),
            bounds=FAULTY,
        ),
        Scenario(
            "zone-frozen",
            mix(interactive(0.5)),
            faults=(Fault(0.4, "freeze", until=0.7),),
            bounds=FAULTY,
        ),
        Scenario("interactive-alone", mix(interactive(0.1, tasks=(1, 1)))),
        Scenario(
            "beside-batch",
            mix(interactive(0.1, tasks=(1, 1)), batch(1.0)),
            bounds={"waste": WASTE_STEADY, "p99_factor": 1.5},
        ),
        Scenario(
            "team-over-quota",
            mix(interactive(0.6), interactive(0.2, "other-team", team="club")),
            quota=48,
            bounds={"waste": WASTE_STEADY},
        ),
        Scenario(
            "cancellations",
            mix(
                interactive(0.6),
                interactive(
                    1.0, "cancelled", cancel_after_ms=150, start_s=0.4, end_s=0.6
                ),
            ),
        ),
        Scenario(
            "uneven-balancing",
            mix(interactive(0.7)),
            vm_weights=(5.0, 1.0, 1.0, 1.0, 1.0, 1.0),
            bounds=STEADY,
        ),
    )
}


UNEVEN_ZONES = (4.0, 4.0, 1.0, 1.0, 1.0, 1.0)
NEVER_MS = 600_000
CLASSES_ALIKE = [
    PriorityClass("interactive", max_wait_ms=0),
    PriorityClass("batch", max_wait_ms=0),
]


def variant(name, base, **fields):
    """Return a scenario with other fields and without bounds."""
    return dataclasses.replace(SCENARIOS[base], name=name, bounds={}, **fields)


def spill_variant(threshold_ms):
    """Return a scenario with uneven zones and a spill threshold."""
    return Scenario(
        f"uneven-zones-spill-{threshold_ms}",
        mix(interactive(0.6)),
        vm_weights=UNEVEN_ZONES,
        service={"spill_threshold_ms": threshold_ms},
    )


# Other ways of deciding that settings and tickets can choose, for the pages in
# docs/decisions.
VARIANTS = {
    scenario.name: scenario
    for scenario in (
        variant(
            "failing-upstream-no-guard",
            "failing-upstream",
            service={"guard": GuardSettings(enabled=False)},
        ),
        variant(
            "beside-batch-alike", "beside-batch", service={"classes": CLASSES_ALIKE}
        ),
        variant("cancellations-all", "cancellations", settings={"cancel_min_ms": 0}),
        variant(
            "cancellations-none", "cancellations", settings={"cancel_min_ms": 60_000}
        ),
        variant(
            "refusing-upstream-no-budget",
            "refusing-upstream",
            service={"retry_percent": 0},
        ),
        spill_variant(0),
        spill_variant(50),
        spill_variant(200),
        spill_variant(NEVER_MS),
    )
}
