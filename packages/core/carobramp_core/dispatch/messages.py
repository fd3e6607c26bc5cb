"""Events and effects of the dispatcher.

Times are seconds on the monotonic clock of the process unless a name ends in
``_ms``.
"""

import dataclasses
import math
from typing import Any

from carobramp_core.outcomes import JobOutcome, Reason, RetryReason
from carobramp_core.tickets.state import DeploymentState


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Accepted submission, before the admission checks of the dispatcher."""

    submission_id: str
    service: str
    team: str
    priority_class: str
    received_at: float
    deadline: float
    idempotent: bool
    payloads: tuple[Any, ...]
    declared_run_ms: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskId:
    """Identifies a task by its submission and its index in the job."""

    submission_id: str
    index: int

    def __str__(self):
        return f"{self.submission_id}:{self.index}"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskDone:
    """The task ran and returned a result."""

    result: Any
    run_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailed:
    """The task ran and failed."""

    error: str
    run_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class TaskNotStarted:
    """The task certainly did not start."""

    reason: RetryReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskOutcomeUnknown:
    """The task may have started; no valid answer was received."""

    detail: str


TaskOutcome = TaskDone | TaskFailed | TaskNotStarted | TaskOutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Load that an upstream reported in an answer: occupied and total slots."""

    busy: int
    slots: int
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TeamLoad:
    """Running and waiting tasks of one team at another entry VM."""

    team: str
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class LiveVmsUpdated:
    """The live entry VMs or their loads changed; sets slot shares and quotas.

    `zone_vms` and `all_vms` count the live VMs of the local availability zone and
    of the deployment, including this one. `loads` are the latest loads of other VMs.
    """

    zone_vms: int
    all_vms: int
    loads: tuple[TeamLoad, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A job was submitted at this VM."""

    job: Job


@dataclasses.dataclass(frozen=True, slots=True)
class TaskOutcomeReceived:
    """A task that was started at an upstream has an outcome."""

    task_id: TaskId
    upstream: str
    outcome: TaskOutcome
    report: UpstreamReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job is to end without a result, as when its caller has disconnected."""

    submission_id: str
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentStateChanged:
    """A new deployment state is in force."""

    state: DeploymentState


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingUpstreamsUpdated:
    """All upstreams that the membership list names as leaving, not only new ones."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: expired deadlines and due refreshes are handled."""


Event = (
    JobSubmitted
    | TaskOutcomeReceived
    | JobCancelled
    | DeploymentStateChanged
    | LiveVmsUpdated
    | LeavingUpstreamsUpdated
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Send a task to an upstream, at most once and not after `deadline`."""

    task_id: TaskId
    upstream: str
    host: str
    port: int
    connections: int
    service: str
    payload: Any
    declared_run_ms: float
    timeout: float
    deadline: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTask:
    """Ask an upstream to stop a task whose answer is no longer needed."""

    task_id: TaskId
    upstream: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobFinished:
    """The job has its outcome; emitted once for each job."""

    submission_id: str
    outcome: JobOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add `amount` to the counter of a metric with a label."""

    counter: str
    label: str
    amount: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RecordHistogram:
    """Record a value in milliseconds in the histogram of a metric with a label."""

    histogram: str
    label: str
    value: float


Effect = StartTask | CancelTask | JobFinished | IncrementCounter | RecordHistogram
