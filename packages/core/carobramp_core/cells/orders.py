"""Orders to upstreams, their outcomes, and the events and effects of a cell's owner.

Explanation
===========

A poll order lists the runs of an upstream and, with a deadline, renews its lease:
runs end when the lease expires. Every order carries the owner's fencing token; an
upstream that has received a higher token rejects it.
"""

import dataclasses
import enum

from carobramp_core.cells.evacuation import EvacuationsRead
from carobramp_core.cells.messages import (
    JobCancelled,
    ToEntry,
    ToOwner,
    UpstreamLosses,
)


class UpstreamState(enum.StrEnum):
    """State that an upstream reports in the list of upstreams."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Entry of the list of upstreams.

    Parameters
    ==========

    name : id of the upstream; it may stay the same after a restart
    cpu : cores in thousandths
    born_ms : number that differs between incarnations of the upstream
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
    """Id of one run of one task; `run` rises with each start of the task."""

    job_id: str
    index: int
    run: int


class RunEndKind(enum.StrEnum):
    """How a run ended, as listed by the upstream."""

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
    """The end of a run; an upstream lists it until its `number` is acknowledged."""

    number: int
    run_id: RunId
    kind: RunEndKind


@dataclasses.dataclass(frozen=True, slots=True)
class PollOrder:
    """Renew the lease of an upstream and list its runs.

    Parameters
    ==========

    token : fencing token for the current incarnation of the upstream: the owner's
        token times 1024 plus the number of restarts that the owner has seen, at most
        1023; see `Upstream.fencing_token`
    acknowledged : the upstream may discard ends up to this number
    deadline_ms : end of the lease on the upstream's clock; None renews no lease
    wait_ms : the upstream answers when a run ends, but at the latest after this time
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
    """Start one run of a task and renew the lease until `deadline_ms`."""

    upstream: str
    address: str
    token: int
    run_id: RunId
    spec: str
    deadline_ms: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one run; if it has not started, prevent its start."""

    upstream: str
    address: str
    token: int
    run_id: RunId
    timeout_s: float


class RejectReason(enum.StrEnum):
    """Why an upstream rejected an order; the order had no effect."""

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
    """The upstream has rejected the order."""

    reason: RejectReason


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No usable answer was received; the order may take effect now, later or never.

    `refused` tells that the connection was refused, as nothing listens at the address.
    """

    detail: str
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Answer to a poll order; `clock_ms` is the upstream's clock."""

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


StartOutcome = Accepted | Rejected | NoAnswer
PollOutcome = Listing | Rejected | NoAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class EntryMessageReceived:
    """An entry has sent a message."""

    entry: str
    message: ToOwner


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedLink:
    """The closed link of an entry.

    The entry had received what the owner sent at `last_echo_at` and was alive then.
    """

    entry: str
    last_echo_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLinksClosed:
    """The links to some entries have closed."""

    links: tuple[ClosedLink, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesPaused:
    """The process of these entries was paused for so long that they end their jobs."""

    entries: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """The list of the cell's upstreams has been read."""

    upstreams: tuple[UpstreamRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PollAnswered:
    """The poll order that was sent at `sent_at` has an outcome."""

    order: PollOrder
    outcome: PollOutcome
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswered:
    """The start order that was sent at `sent_at` has an outcome."""

    order: StartOrder
    outcome: StartOutcome
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnswered:
    """The stop order that was sent at `sent_at` has an outcome."""

    order: StopOrder
    outcome: StartOutcome
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerTick:
    """Periodic event that triggers what depends on time alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendToEntry:
    """Effect that sends a message to an entry."""

    entry: str
    message: ToEntry


@dataclasses.dataclass(frozen=True, slots=True)
class SendToOwner:
    """Effect of an entry that sends a message to the owner of a cell."""

    cell: str
    message: ToOwner


@dataclasses.dataclass(frozen=True, slots=True)
class SendToAllEntries:
    """Effect that sends a message to every entry with a link to the owner."""

    message: UpstreamLosses | JobCancelled


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Effect that stops this owner: `upstream` has received a higher fencing token."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Effect that logs a decision with its inputs as fields."""

    message: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class CountEvent:
    """Effect that adds `amount` to a counter of the metrics."""

    counter: str
    label: str
    amount: int = 1


OwnerEvent = (
    EntryMessageReceived
    | EntryLinksClosed
    | EntriesPaused
    | UpstreamsListed
    | PollAnswered
    | StartAnswered
    | StopAnswered
    | OwnerTick
    | EvacuationsRead
)
OwnerEffect = (
    StartOrder
    | StopOrder
    | PollOrder
    | SendToEntry
    | SendToAllEntries
    | OwnershipLost
    | LogEvent
    | CountEvent
)
