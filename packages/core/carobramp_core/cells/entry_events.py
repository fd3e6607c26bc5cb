"""Events that an entry handles, and the effects that it returns."""

import dataclasses

from carobramp_core.cells.cell_choice import OfferKind
from carobramp_core.cells.evacuation import EvacuationsRead
from carobramp_core.cells.messages import Job, Outcome, ToEntry
from carobramp_core.cells.orders import LogEvent, SendToOwner


@dataclasses.dataclass(frozen=True, slots=True)
class JobReceived:
    """A caller has sent a job."""

    job: Job


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller of a job has closed its connection."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller cancels a job, which another entry may have."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerLinkOpened:
    """A link to the owner of a cell has opened; `token` is the owner's."""

    cell: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerLinkClosed:
    """The link to the owner of a cell has closed.

    `last_received_at` is the time at which its last message was received.
    """

    cell: str
    last_received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerMessageReceived:
    """The owner of a cell has sent a message."""

    cell: str
    message: ToEntry


@dataclasses.dataclass(frozen=True, slots=True)
class EntryTick:
    """Periodic event that triggers what depends on time alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class LongPauseEnded:
    """The process goes on after a long pause, see `CellLimits.is_long_pause`."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStarted:
    """The process is about to stop; every job must be answered by `answer_by`."""

    answer_by: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Effect that answers the caller of a job, once for each job.

    `age_s` is the time since the entry received the job.
    """

    job_id: str
    outcome: Outcome
    age_s: float
    queue: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CountOffer:
    """Effect that counts an offer of a cell that was chosen by its report.

    `report_age_s` is the age of the cell's last report at the choice.
    """

    cell: str
    kind: OfferKind
    report_age_s: float


EntryEvent = (
    JobReceived
    | CallerGone
    | CancelRequested
    | OwnerLinkOpened
    | OwnerLinkClosed
    | OwnerMessageReceived
    | EntryTick
    | LongPauseEnded
    | DrainStarted
    | EvacuationsRead
)
EntryEffect = SendToOwner | AnswerCaller | CountOffer | LogEvent
