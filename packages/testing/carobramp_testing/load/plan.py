"""Plan of a load: streams of jobs with seeded open arrivals."""

import dataclasses
import random

from carobramp_schema.generated.caller import JobRequest, TaskSpec

INTERACTIVE_DEADLINE_MS = 5000


@dataclasses.dataclass(frozen=True)
class Stream:
    """Jobs of one kind that arrive as a Poisson process.

    Attributes
    ==========

    name : label in the results
    jobs_per_s : mean arrival rate
    tasks : least and greatest number of tasks of a job
    run_ms : least and greatest true run time of a task at speed 1
    declared_factor : declared run time divided by the true one
    fail_percent : percentage of jobs with a task that fails
    cancel_after_ms : when set, the caller cancels each job after this time
    start_s, end_s : part of the run in which jobs arrive; `end_s` of 0 is the end
    """

    name: str
    jobs_per_s: float
    tasks: tuple[int, int] = (1, 1)
    run_ms: tuple[float, float] = (50.0, 200.0)
    service: str = "order-desk"
    team: str = "bakery"
    priority_class: str = "interactive"
    deadline_ms: int = INTERACTIVE_DEADLINE_MS
    idempotent: bool = True
    declared_factor: float = 1.0
    fail_percent: float = 0.0
    cancel_after_ms: float = 0.0
    start_s: float = 0.0
    end_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """Streams of jobs over `seconds`, the same for each `seed`.

    `vm_weights` divides the jobs among the entry VMs in the order of the URLs;
    empty for equal parts.
    """

    streams: tuple[Stream, ...]
    seconds: float
    seed: int = 1
    vm_weights: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job to be sent `at` seconds after the start of the run."""

    at: float
    stream: Stream
    request: JobRequest
    run_ms: tuple[float, ...]
    vm_choice: float


def arrivals(plan: Plan) -> list[Arrival]:
    """Return the jobs of a plan in the order of their arrival."""
    jobs = []
    for index, stream in enumerate(plan.streams):
        rng = random.Random(f"{plan.seed}:{index}")
        at = stream.start_s + rng.expovariate(stream.jobs_per_s)
        while at < (stream.end_s or plan.seconds):
            jobs.append(_arrival(at, stream, rng))
            at += rng.expovariate(stream.jobs_per_s)
    return sorted(jobs, key=lambda arrival: arrival.at)


def _arrival(at, stream, rng):
    count = rng.randint(*stream.tasks)
    run_ms = tuple(round(rng.uniform(*stream.run_ms), 1) for _ in range(count))
    fails = rng.random() * 100 < stream.fail_percent
    tasks = [
        TaskSpec(
            {"run_ms": ms, "fail": fails and index == 0}, ms * stream.declared_factor
        )
        for index, ms in enumerate(run_ms)
    ]
    request = JobRequest(
        service=stream.service,
        team=stream.team,
        priority_class=stream.priority_class,
        deadline_ms=stream.deadline_ms,
        idempotent=stream.idempotent,
        tasks=tasks,
    )
    return Arrival(at, stream, request, run_ms, rng.random())
