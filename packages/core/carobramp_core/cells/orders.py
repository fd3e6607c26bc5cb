"""Orders to upstreams, their outcomes, and the events and effects of an owner."""

import dataclasses
import enum

from carobramp_core.cells.messages import ToEntry, ToOwner


class UpstreamState(enum.StrEnum):
    """What an upstream says of itself in the list of upstreams."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Entry of the list of upstreams.

    `born_ms` tells one life of an upstream from the next; the id may stay the same.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    state: UpstreamState
    cpu: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...] = ()
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunId:
    """One run of one task; `run` rises with each start."""

    job_id: str
    index: int
    run: int


class RunEndKind(enum.StrEnum):
    """How an upstream says that a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that an upstream lists as running; `percent` of its work is done."""

    run_id: RunId
    percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """An end that an upstream lists until it is acknowledged."""

    number: int
    run_id: RunId
    kind: RunEndKind


@dataclasses.dataclass(frozen=True, slots=True)
class PollOrder:
    """Renew the lease of an upstream and list its runs.

    Parameters
    ==========

    deadline_ms : end of the lease on the upstream's clock; None renews nothing
    acknowledged : ends up to this number may be forgotten
    wait_ms : the upstream answers at the next end, at latest after this time
    timeout_s : longest wait for the answer
    """

    upstream: str
    address: str
    token: int
    acknowledged: int
    deadline_ms: int | None
    wait_ms: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one run of a task."""

    upstream: str
    address: str
    token: int
    run_id: RunId
    spec: str
    deadline_ms: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one run, or make sure that it never starts."""

    upstream: str
    address: str
    token: int
    run_id: RunId
    timeout_s: float


class RejectReason(enum.StrEnum):
    """Why an upstream refused an order; it has done nothing."""

    FENCED = "fenced"
    RUN_TOO_OLD = "run_too_old"
    DEADLINE_PASSED = "late"
    NO_CAPACITY = "no_room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The upstream has carried out the order."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream has refused the order."""

    reason: RejectReason


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No usable answer came; the order may be carried out now or later."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Answer to a hold order."""

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


StartOutcome = Accepted | Rejected | NoAnswer
PollOutcome = Listing | Rejected | NoAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class EntryMessageReceived:
    """A message of an entry."""

    entry: str
    message: ToOwner


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLinkClosed:
    """The link to an entry is closed; its jobs have no caller any more."""

    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """The list of the cell's upstreams, as last read."""

    upstreams: tuple[UpstreamRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PollAnswered:
    """A hold order that was sent at `sent_at` has its outcome."""

    order: PollOrder
    outcome: PollOutcome
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswered:
    """A start order that was sent at `sent_at` has its outcome."""

    order: StartOrder
    outcome: StartOutcome
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnswered:
    """A stop order that was sent at `sent_at` has its outcome."""

    order: StopOrder
    outcome: StartOutcome
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerTick:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendToEntry:
    """Send a message to an entry."""

    entry: str
    message: ToEntry


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Another daemon owns the cell; this owner must stop."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """A decision for the log: a sentence with its inputs."""

    message: str
    fields: dict


OwnerEvent = (
    EntryMessageReceived
    | EntryLinkClosed
    | UpstreamsListed
    | PollAnswered
    | StartAnswered
    | StopAnswered
    | OwnerTick
)
OwnerEffect = (
    StartOrder | StopOrder | PollOrder | SendToEntry | OwnershipLost | LogEvent
)
