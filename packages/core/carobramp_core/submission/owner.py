"""Decides what happens to a submission at one process.

Explanation
===========

Only the process that owns a submission id may start its tasks. For an issued id
this is the process that issued it, within the id's validity and once; for a
caller-made id it is the process whose claim row was certainly inserted. Everything
else attaches, answers from the record, goes to the owner once, or fails without a
claim that the job did not run.
"""

import dataclasses
import functools

from carobramp_core.outcomes import JobFailed, JobRefused, Reason
from carobramp_core.submission.claims import ClaimHeld, ClaimTaken, ClaimUnknown
from carobramp_core.submission.ids import (
    CallerMadeId,
    InvalidId,
    IssuedId,
    NoId,
    SubmissionId,
)
from carobramp_core.submission.registry import (
    ActiveJob,
    AnswerEvicted,
    ClaimUnresolved,
    IdStatus,
    RecordedAnswer,
    SubmissionAnswer,
)
from carobramp_schema.generated.settings import SubmissionSettings

RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Identity of the deciding process, and what it accepts at present."""

    vm: str
    incarnation: str
    accepting: bool = True
    ready: bool = True
    at_capacity: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingSubmission:
    """A submission as it arrived.

    Attributes
    ==========

    key : id that came with it
    digest : SHA-256 of the body
    id_status : what the registry knows of the id
    issued_here : whether this process issued the id
    expired : whether this process issued the id too long ago to start anything
    addressed_to : incarnation that a forwarding VM took for the owner, or None
        when the submission came from a caller
    """

    key: SubmissionId
    digest: bytes
    id_status: IdStatus
    issued_here: bool = False
    expired: bool = False
    addressed_to: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartJob:
    """Start the job here; this is decided once for each submission."""


@dataclasses.dataclass(frozen=True, slots=True)
class InsertClaim:
    """Insert a claim row; `nonce` is that of an earlier claim of this id, if any."""

    nonce: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class AttachToActiveJob:
    """Wait for the job that is under way."""


@dataclasses.dataclass(frozen=True, slots=True)
class RespondWithRecordedAnswer:
    """Give the recorded answer."""

    answer: SubmissionAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """Hand the job to its owner, once."""

    vm: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RespondWithError:
    """Answer with a refusal or failure.

    `not_run` and `record` go together for a submission with an id: a refusal is
    certain only when it is recorded under the id.
    """

    outcome: JobRefused | JobFailed
    not_run: bool = False
    record: bool = False


Decision = (
    StartJob
    | InsertClaim
    | AttachToActiveJob
    | RespondWithRecordedAnswer
    | ForwardToOwner
    | RespondWithError
)


def decide_submission(
    received: IncomingSubmission,
    process: ProcessStatus,
    settings: SubmissionSettings,
    wall_now: float,
) -> Decision:
    """Decide what happens to a submission that has just arrived.

    Parameters
    ==========

    received : the submission and what is known of its id
    process : the deciding process
    settings : submission settings
    wall_now : seconds since the epoch
    """
    addressed_to = received.addressed_to
    if addressed_to is not None and addressed_to != process.incarnation:
        return fail(Reason.OWNER_GONE, "this process is another incarnation")
    return decide_by_id(received.key, received, process, settings, wall_now)


@functools.singledispatch
def decide_by_id(key, received, process, settings, wall_now) -> Decision:
    """Decide by the kind of id."""
    raise TypeError(f"unknown submission id {key!r}")


@decide_by_id.register
def _(key: NoId, received, process, settings, wall_now):
    refused = refusal_of(process)
    if refused is not None:
        return RespondWithError(refused, not_run=True)
    return StartJob()


@decide_by_id.register
def _(key: InvalidId, received, process, settings, wall_now):
    detail = "the submission id is neither an issued id nor a UUID of version 7"
    return refuse(Reason.SUBMISSION_INVALID, detail)


@decide_by_id.register
def _(key: IssuedId, received, process, settings, wall_now):
    if key.vm != process.vm:
        return decide_foreign(key, received, process)
    if key.incarnation != process.incarnation:
        return fail(Reason.OWNER_GONE, "the process that issued the id has ended")
    if not received.issued_here:
        return refuse(Reason.SUBMISSION_INVALID, "this process did not issue the id")
    repeated = decide_repeated(received)
    if repeated is not None:
        return repeated
    if received.expired:
        return refuse(Reason.SUBMISSION_EXPIRED, "the id was issued too long ago")
    refused = refusal_of(process)
    if refused is not None:
        return RespondWithError(refused, not_run=True, record=True)
    return StartJob()


@decide_by_id.register
def _(key: CallerMadeId, received, process, settings, wall_now):
    repeated = decide_repeated(received)
    if repeated is not None:
        return repeated
    expired = check_age(key, settings, wall_now)
    if expired is not None:
        return expired
    if isinstance(received.id_status, ClaimUnresolved):
        nonce = received.id_status.nonce
    elif received.addressed_to is not None:
        # The claim row names this process, which no longer knows what became of
        # the job.
        return evicted()
    else:
        nonce = None
    refused = refusal_of(process)
    if refused is not None:
        return RespondWithError(refused)
    return InsertClaim(nonce)


def decide_foreign(key, received, process):
    """Decide about an id that another VM issued."""
    if received.addressed_to is not None:
        return fail(Reason.OWNER_GONE, f"{process.vm} does not own the id")
    if not process.accepting:
        return refuse(Reason.DRAINING, "this VM is stopping", RETRY_AFTER_S)
    if process.at_capacity:
        return refuse(Reason.TOO_MANY_JOBS, "too many jobs under way", RETRY_AFTER_S)
    return ForwardToOwner(key.vm, key.incarnation)


def decide_repeated(received) -> Decision | None:
    """Decide about an id whose submission this process already has, if so."""
    known = received.id_status
    if isinstance(known, AnswerEvicted):
        return evicted()
    if not isinstance(known, ActiveJob | RecordedAnswer):
        return None
    if known.digest != received.digest:
        return conflict()
    if isinstance(known, RecordedAnswer):
        return RespondWithRecordedAnswer(known.answer)
    return AttachToActiveJob()


def check_age(key, settings, wall_now) -> RespondWithError | None:
    """Refuse a caller-made id whose time is too far from now."""
    age = wall_now - key.created_at
    if age > settings.claimed_valid_ms / 1000:
        return refuse(Reason.SUBMISSION_EXPIRED, "the id's time is too long ago")
    if -age > settings.claimed_ahead_ms / 1000:
        return refuse(Reason.SUBMISSION_EXPIRED, "the id's time is in the future")
    return None


def decide_after_claim(
    verdict: ClaimHeld | ClaimTaken | ClaimUnknown,
    key: CallerMadeId,
    digest: bytes,
    process: ProcessStatus,
    settings: SubmissionSettings,
    wall_now: float,
) -> Decision:
    """Decide what happens to a submission after the verdict on its claim.

    Explanation
    ===========

    The age is checked again when the claim holds. A process that was paused
    between the first check and the insertion may have inserted the row after the
    row of an earlier owner was removed.
    """
    return decide_by_verdict(verdict, key, digest, process, settings, wall_now)


@functools.singledispatch
def decide_by_verdict(verdict, key, digest, process, settings, wall_now) -> Decision:
    """Decide by the verdict on the claim."""
    raise TypeError(f"unknown verdict {verdict!r}")


@decide_by_verdict.register
def _(verdict: ClaimHeld, key, digest, process, settings, wall_now):
    return check_age(key, settings, wall_now) or StartJob()


@decide_by_verdict.register
def _(verdict: ClaimTaken, key, digest, process, settings, wall_now):
    row = verdict.row
    if row.digest != digest.hex():
        return conflict()
    if row.vm != process.vm:
        return ForwardToOwner(row.vm, row.incarnation)
    if row.incarnation != process.incarnation:
        return fail(Reason.OWNER_GONE, "the process that claimed the id has ended")
    return evicted()


@decide_by_verdict.register
def _(verdict: ClaimUnknown, key, digest, process, settings, wall_now):
    return refuse(Reason.CLAIM_UNAVAILABLE, verdict.detail, RETRY_AFTER_S)


def refusal_of(process: ProcessStatus) -> JobRefused | None:
    """Return why the process takes no new job at present, or None."""
    if not process.accepting:
        return JobRefused(Reason.DRAINING, "this VM is stopping", RETRY_AFTER_S)
    if not process.ready:
        return JobRefused(Reason.NOT_READY, "this VM is not ready", RETRY_AFTER_S)
    if process.at_capacity:
        detail = "too many jobs under way"
        return JobRefused(Reason.TOO_MANY_JOBS, detail, RETRY_AFTER_S)
    return None


def refuse(reason, detail, retry_after=0.0) -> RespondWithError:
    """Refuse without saying that the job did not run."""
    return RespondWithError(JobRefused(reason, detail, retry_after))


def fail(reason, detail) -> RespondWithError:
    """Fail without saying that the job did not run."""
    return RespondWithError(JobFailed(reason, detail))


def conflict():
    """Refuse an id that came with another body before."""
    return refuse(Reason.SUBMISSION_CONFLICT, "the id came with another body before")


def evicted():
    """Fail because the answer is no longer known."""
    return fail(Reason.ANSWER_EVICTED, "the answer is no longer kept")
