"""Decides what happens to a submission at one process.

Explanation
===========

Only the process that owns a submission id may start its tasks. For an issued id
this is the process that issued it, once and within the id's validity; for a
caller-made id it is the process whose claim row was certainly inserted. Any other
submission attaches to the active job, gets the recorded answer, is forwarded to the
owner once, or fails without stating that the job did not run.
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
    """Identity of the deciding process and whether it accepts new jobs."""

    vm: str
    incarnation: str
    accepting: bool = True
    ready: bool = True
    at_capacity: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingSubmission:
    """A submission as received, with the status of its id.

    Attributes
    ==========

    key : submission id of the request
    digest : SHA-256 of the body
    id_status : status of the id in the registry
    issued_here : whether this process issued the id
    expired : whether the id was issued too long ago to start a job
    addressed_to : incarnation that a forwarding VM regarded as the owner, or None
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
    """Start the job here; decided at most once for each submission id."""


@dataclasses.dataclass(frozen=True, slots=True)
class InsertClaim:
    """Insert a claim row.

    `nonce` is that of an earlier unresolved claim of the id, or None.
    """

    nonce: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class AttachToActiveJob:
    """Wait for the answer of the id's active job."""


@dataclasses.dataclass(frozen=True, slots=True)
class RespondWithRecordedAnswer:
    """Respond with the recorded answer of the id."""

    answer: SubmissionAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """Forward the submission to the process that owns its id, once."""

    vm: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RespondWithError:
    """Respond with a refusal or failure.

    `not_run` states that the job did not run. For a submission with an id it is set
    only together with `record`: the statement stays true only if the refusal is
    recorded under the id.
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
    """Decide what happens to a submission when it is received.

    Parameters
    ==========

    received : the submission and the status of its id
    process : status of the deciding process
    settings : submission settings
    wall_now : seconds since the epoch
    """
    addressed_to = received.addressed_to
    if addressed_to is not None and addressed_to != process.incarnation:
        return failure_response(
            Reason.OWNER_GONE, "this process is another incarnation"
        )
    return decide_by_id(received.key, received, process, settings, wall_now)


@functools.singledispatch
def decide_by_id(key, received, process, settings, wall_now) -> Decision:
    """Decide by the type of the id."""
    raise TypeError(f"unknown submission id {key!r}")


@decide_by_id.register
def _(key: NoId, received, process, settings, wall_now):
    refusal = admission_refusal(process)
    if refusal is not None:
        return RespondWithError(refusal, not_run=True)
    return StartJob()


@decide_by_id.register
def _(key: InvalidId, received, process, settings, wall_now):
    detail = "the submission id is neither an issued id nor a UUID of version 7"
    return refusal_response(Reason.SUBMISSION_INVALID, detail)


@decide_by_id.register
def _(key: IssuedId, received, process, settings, wall_now):
    if key.vm != process.vm:
        return decide_for_other_issuer(key, received, process)
    if key.incarnation != process.incarnation:
        return failure_response(
            Reason.OWNER_GONE, "the process that issued the id has ended"
        )
    if not received.issued_here:
        return refusal_response(
            Reason.SUBMISSION_INVALID, "this process did not issue the id"
        )
    known_id_decision = decide_for_known_id(received)
    if known_id_decision is not None:
        return known_id_decision
    if received.expired:
        return refusal_response(
            Reason.SUBMISSION_EXPIRED, "the id was issued too long ago"
        )
    refusal = admission_refusal(process)
    if refusal is not None:
        return RespondWithError(refusal, not_run=True, record=True)
    return StartJob()


@decide_by_id.register
def _(key: CallerMadeId, received, process, settings, wall_now):
    known_id_decision = decide_for_known_id(received)
    if known_id_decision is not None:
        return known_id_decision
    age_refusal = check_age(key, settings, wall_now)
    if age_refusal is not None:
        return age_refusal
    if isinstance(received.id_status, ClaimUnresolved):
        nonce = received.id_status.nonce
    elif received.addressed_to is not None:
        # The claim row names this process, which no longer has the outcome of the
        # job.
        return answer_evicted_response()
    else:
        nonce = None
    refusal = admission_refusal(process)
    if refusal is not None:
        return RespondWithError(refusal)
    return InsertClaim(nonce)


def decide_for_other_issuer(key, received, process):
    """Decide on a submission whose id another VM issued."""
    if received.addressed_to is not None:
        return failure_response(Reason.OWNER_GONE, f"{process.vm} does not own the id")
    if not process.accepting:
        return refusal_response(Reason.DRAINING, "this VM is stopping", RETRY_AFTER_S)
    if process.at_capacity:
        return refusal_response(
            Reason.TOO_MANY_JOBS, "too many jobs under way", RETRY_AFTER_S
        )
    return ForwardToOwner(key.vm, key.incarnation)


def decide_for_known_id(received) -> Decision | None:
    """Decide on a repeated submission; None if the id has no job or answer here."""
    id_status = received.id_status
    if isinstance(id_status, AnswerEvicted):
        return answer_evicted_response()
    if not isinstance(id_status, ActiveJob | RecordedAnswer):
        return None
    if id_status.digest != received.digest:
        return id_conflict_response()
    if isinstance(id_status, RecordedAnswer):
        return RespondWithRecordedAnswer(id_status.answer)
    return AttachToActiveJob()


def check_age(key, settings, wall_now) -> RespondWithError | None:
    """Refuse a caller-made id whose time is too far in the past or future."""
    age = wall_now - key.created_at
    if age > settings.claimed_valid_ms / 1000:
        return refusal_response(
            Reason.SUBMISSION_EXPIRED, "the id's time is too long ago"
        )
    if -age > settings.claimed_ahead_ms / 1000:
        return refusal_response(
            Reason.SUBMISSION_EXPIRED, "the id's time is in the future"
        )
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

    When the claim holds, the age of the id is checked again: a process that was
    paused between the first check and the insertion may have inserted its row after
    the row of an earlier owner was removed.
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
        return id_conflict_response()
    if row.vm != process.vm:
        return ForwardToOwner(row.vm, row.incarnation)
    if row.incarnation != process.incarnation:
        return failure_response(
            Reason.OWNER_GONE, "the process that claimed the id has ended"
        )
    return answer_evicted_response()


@decide_by_verdict.register
def _(verdict: ClaimUnknown, key, digest, process, settings, wall_now):
    return refusal_response(Reason.CLAIM_UNAVAILABLE, verdict.detail, RETRY_AFTER_S)


def admission_refusal(process: ProcessStatus) -> JobRefused | None:
    """Return the refusal if the process accepts no new job now, else None."""
    if not process.accepting:
        return JobRefused(Reason.DRAINING, "this VM is stopping", RETRY_AFTER_S)
    if not process.ready:
        return JobRefused(Reason.NOT_READY, "this VM is not ready", RETRY_AFTER_S)
    if process.at_capacity:
        detail = "too many jobs under way"
        return JobRefused(Reason.TOO_MANY_JOBS, detail, RETRY_AFTER_S)
    return None


def refusal_response(reason, detail, retry_after=0.0) -> RespondWithError:
    """Return a refusal that does not state that the job did not run."""
    return RespondWithError(JobRefused(reason, detail, retry_after))


def failure_response(reason, detail) -> RespondWithError:
    """Return a failure that does not state that the job did not run."""
    return RespondWithError(JobFailed(reason, detail))


def id_conflict_response():
    """Return the refusal of an id that was used with another request body."""
    return refusal_response(
        Reason.SUBMISSION_CONFLICT, "the id came with another body before"
    )


def answer_evicted_response():
    """Return the failure of a submission whose answer was evicted."""
    return failure_response(Reason.ANSWER_EVICTED, "the answer is no longer kept")
