"""Submissions: which process may start the tasks of a submission, at most once."""

from carobramp_core.submission.claims import (
    Claim,
    ClaimBatcher,
    ClaimHeld,
    ClaimTaken,
    ClaimUnknown,
)
from carobramp_core.submission.ids import (
    CallerMadeId,
    IdIssuer,
    IssuedId,
    NoId,
    parse_id,
)
from carobramp_core.submission.owner import (
    AttachToActiveJob,
    ForwardToOwner,
    IncomingSubmission,
    InsertClaim,
    ProcessStatus,
    RespondWithError,
    RespondWithRecordedAnswer,
    StartJob,
    decide_after_claim,
    decide_submission,
)
from carobramp_core.submission.registry import (
    SubmissionAnswer,
    SubmissionRegistry,
    UsedIds,
)

__all__ = [
    "AttachToActiveJob",
    "CallerMadeId",
    "Claim",
    "ClaimBatcher",
    "ClaimHeld",
    "ClaimTaken",
    "ClaimUnknown",
    "ForwardToOwner",
    "IdIssuer",
    "IncomingSubmission",
    "InsertClaim",
    "IssuedId",
    "NoId",
    "ProcessStatus",
    "RespondWithError",
    "RespondWithRecordedAnswer",
    "StartJob",
    "SubmissionAnswer",
    "SubmissionRegistry",
    "UsedIds",
    "decide_after_claim",
    "decide_submission",
    "parse_id",
]
