"""Progress of the active jobs."""

import dataclasses
from typing import Any

from carobramp_core.dispatch.messages import Job
from carobramp_core.dispatch.quotas import TeamUsage
from carobramp_core.dispatch.upstreams import RunningTask


@dataclasses.dataclass(slots=True, eq=False)
class JobState:
    """Progress of a job.

    Attributes
    ==========

    expected_ms : expected run time of each task at speed 1
    waiting : indexes of waiting tasks; the last one is started next
    waiting_ms : sum of their expected run times
    running : started tasks without outcome, by index
    done_count : number of tasks that ended with a result
    may_have_run : whether a task had an outcome other than "not started"
    tried_upstreams : names of upstreams that did not start a task, by task index
    queued : whether the job is in the heaps of its queue
    service_rate : work in ms per ms that this VM could place when the job was queued
    ended : whether the job has its outcome
    """

    job: Job
    pool: Any
    queue: Any
    team: TeamUsage
    expected_ms: list[float]
    waiting: list[int]
    waiting_ms: float
    results: list[Any]
    done_count: int = 0
    running: dict[int, RunningTask] = dataclasses.field(default_factory=dict)
    may_have_run: bool = False
    tried_upstreams: dict[int, set[str]] = dataclasses.field(default_factory=dict)
    queued: bool = False
    service_rate: float = 1.0
    ended: bool = False

    def not_run(self):
        """Whether it is certain that no task started."""
        return not self.may_have_run and not self.running


def new_job_state(job: Job, pool, queue, team) -> JobState:
    """Return the state of a new job: all tasks wait, the longest starts first."""
    estimator = pool.estimator(job.priority_class)
    expected = [estimator.expected_ms(ms) for ms in job.declared_run_ms]
    waiting = sorted(range(len(expected)), key=lambda i: (expected[i], -i))
    return JobState(
        job=job,
        pool=pool,
        queue=queue,
        team=team,
        expected_ms=expected,
        waiting=waiting,
        waiting_ms=sum(expected),
        results=[None] * len(expected),
    )
