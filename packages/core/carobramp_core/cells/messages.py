"""Messages between entries and owners of cells, and the outcomes of jobs."""

import dataclasses
import enum

from carobramp_core.cells.evacuation import Evacuations

# Multiple of the objective after which a result is useless to the caller.
LATE_FACTOR = 3.0
# Bounds of a capacity report, which up to 120 entries receive ten times a second.
MAX_SERVICE_ROOMS = 4
# Longest reported wait, also sent while nothing can start at all.
ROOM_WAIT_MAX_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job of identical tasks whose caller waits for the result.

    Parameters
    ==========

    job_id : id chosen by the caller
    spec : what the tasks run, opaque to the dispatcher
    service : service whose upstreams run the tasks
    queue : name of the route; run times are estimated separately for each queue
    tasks : number of tasks
    cpu, memory_mb, accelerators : resources of each task; `cpu` in thousandths of a
        core
    estimate_ms : declared run time of a task, often wrong
    priority : priority of the route; 0 is the highest. Placement in cells ignores it
    stretch, target_ms : the response time objective is `stretch` times the run time
        of a task plus `target_ms`
    max_attempts : number of failed runs of one task after which the job fails
    """

    job_id: str
    spec: str
    service: str
    queue: str
    tasks: int
    cpu: int
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: float = 0.0
    priority: int = 0
    stretch: float = 1.0
    target_ms: float = 0.0
    max_attempts: int = 1

    def useless_after_s(self) -> float:
        """Return the age from which restarting a task cannot give a useful result."""
        late_s = LATE_FACTOR * self.objective_s(self.estimate_ms)
        return late_s - self.estimate_ms / 1000

    def objective_s(self, run_ms) -> float:
        """Return the objective of the response time for a run time, in seconds."""
        return (self.stretch * run_ms + self.target_ms) / 1000


class ReturnReason(enum.StrEnum):
    """Why an owner returned tasks; none of them is running.

    EVACUATED: the zone of the cell is evacuated.

    Two reasons hold even if the cell is idle. NO_SERVICE: no upstream of the service
    takes new tasks. TOO_LARGE: none of them is large enough for one task.

    Two reasons name no tasks, as runs may go on. SUPERSEDED: another entry has offered
    the job. UPSTREAM_LOST: nothing listens at the upstream of a task, and the task may
    start again only when it is too late to be useful.
    """

    NO_CAPACITY = "no_room"
    OVERLOADED = "overloaded"
    NO_SERVICE = "no_service"
    TOO_LARGE = "too_large"
    SUPERSEDED = "superseded"
    UPSTREAM_LOST = "upstream_lost"
    EVACUATED = "evacuated"


class TaskResult(enum.StrEnum):
    """How a run of a task ended; LOST means without a result."""

    DONE = "done"
    FAILED = "failed"
    LOST = "lost"


class LossEvidence(enum.IntEnum):
    """What is known of an upstream whose lease has expired; later members prevail.

    SILENT: it does not answer. CRASHED: nothing listens at its address, or another
    incarnation answers. ALIVE: the same incarnation has answered again, so that it was
    behind a network partition.
    """

    SILENT = 0
    CRASHED = 1
    ALIVE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoss:
    """The loss of an upstream on which a run of a task may have been active.

    `run` is the number of the run.
    """

    job_id: str
    index: int
    run: int
    evidence: LossEvidence


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a run of a task was started.

    Parameters
    ==========

    run : number of the run
    born_ms : number that differs between incarnations of the upstream
    """

    index: int
    run: int
    upstream: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Tasks of a job that an entry offers to an owner.

    Parameters
    ==========

    age_s : time since the entry received the job
    may_wait : whether tasks that do not fit now may wait at the owner; otherwise they
        are returned at once
    resumed : whether the tasks may already have been started by an earlier owner of
        the cell or through an earlier link
    committed : whether other tasks of the job may have run, so that the job can no
        longer be refused
    avoid : upstreams on which tasks of the job have failed
    members : upstreams on which a resumed task may be running
    losses : losses of upstreams under tasks of the job
    placements : where the resumed tasks were last started, as far as known
    """

    job: Job
    indexes: tuple[int, ...]
    age_s: float = 0.0
    may_wait: bool = False
    resumed: bool = False
    committed: bool = False
    avoid: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    losses: tuple[UpstreamLoss, ...] = ()
    placements: tuple[Placement, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """The entry no longer needs the job: its runs are stopped, its tasks dropped."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """A caller has cancelled the job, whichever entry has it.

    `to_entries` tells whether the owner passes it on to all entries, if it does not
    know the entry of the job: the owner of another cell may not have got the request.
    """

    job_id: str
    to_entries: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller has cancelled the job: the owner has stopped its runs."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TasksReturned:
    """Tasks that the owner returns to the entry; they are not running.

    `retry_after_s` is the owner's estimate of the time until it has free capacity.
    """

    job_id: str
    indexes: tuple[int, ...]
    reason: ReturnReason
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TasksStarted:
    """The owner has ordered upstreams to start tasks of a job."""

    job_id: str
    indexes: tuple[int, ...]
    placements: tuple[Placement, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """A run of a task has ended on `upstream`."""

    job_id: str
    index: int
    result: TaskResult
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRoom:
    """When tasks of one size and service can start in a cell.

    Parameters
    ==========

    task_cpu : size of such a task, in thousandths of a core
    startable : number of such tasks that can start now, after those that wait already
    wait_s : time until the next one could start, at most `ROOM_WAIT_MAX_S`
    speed : mean learned speed of the upstreams with free capacity
    """

    service: str
    task_cpu: int
    startable: int
    wait_s: float = 0.0
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityReport:
    """Capacity of a cell, sent with each heartbeat of its owner.

    `free_cpu` and `total_cpu` are in thousandths of a core; `waiting_s` is the
    expected work of the waiting tasks in core-seconds; `token` is the owner's
    fencing token. While the zone is `evacuated`, `free_cpu` is 0; the owner knows that
    as of the store version `evacuations_version`. `rooms` are at most
    `MAX_SERVICE_ROOMS`, the busiest service first; an owner of an earlier version
    sends none.
    """

    cell: str
    token: int
    free_cpu: int
    total_cpu: int
    waiting_s: float
    evacuated: bool = False
    evacuations_version: int = 0
    rooms: tuple[ServiceRoom, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNames:
    """Names of all upstreams of a cell; sent to each entry when they change."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLosses:
    """Losses of upstreams that the owner knows; sent to all entries."""

    losses: tuple[UpstreamLoss, ...]


ToOwner = Offer | CancelJob | CancelRequest | Evacuations
ToEntry = (
    JobCancelled
    | TasksReturned
    | TasksStarted
    | TaskEnded
    | CapacityReport
    | UpstreamNames
    | UpstreamLosses
)


class NoResultReason(enum.StrEnum):
    """Why a caller gets no result of its job."""

    OVERLOADED = "overloaded"
    NO_OWNER = "no_owner"
    NO_SERVICE = "no_service"
    TOO_LARGE = "too_large"
    OWNER_LOST = "owner_lost"
    UPSTREAM_LOST = "upstream_lost"
    INTERRUPTED = "interrupted"
    CALLER_GONE = "caller_gone"
    UNKNOWN_ROUTE = "unknown_route"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    MALFORMED = "malformed"
    UNSUPPORTED = "unsupported"
    EVACUATED = "evacuated"


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """All tasks are done."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A task has failed `Job.max_attempts` times or has crashed its upstreams."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """No task of the job has run or will run."""

    reason: NoResultReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """The job has no result; some of its tasks may have run."""

    reason: NoResultReason


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """A caller has cancelled the job; some of its tasks may have run."""


Outcome = Completed | Failed | Refused | Interrupted | Cancelled
