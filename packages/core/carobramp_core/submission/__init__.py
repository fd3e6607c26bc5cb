"""Submission decisions: who may start the tasks of a submission, and once."""

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
    AnswerRecorded,
    Attach,
    ClaimFirst,
    ForwardTo,
    Process,
    Received,
    Refuse,
    RunHere,
    decide,
    decide_claimed,
)
from carobramp_core.submission.registry import (
    Answer,
    Registry,
    UsedIds,
)

__all__ = [
    "Answer",
    "AnswerRecorded",
    "Attach",
    "CallerMadeId",
    "Claim",
    "ClaimBatcher",
    "ClaimFirst",
    "ClaimHeld",
    "ClaimTaken",
    "ClaimUnknown",
    "ForwardTo",
    "IdIssuer",
    "IssuedId",
    "NoId",
    "Process",
    "Received",
    "Refuse",
    "Registry",
    "RunHere",
    "UsedIds",
    "decide",
    "decide_claimed",
    "parse_id",
]
