"""Submissions as they are received and those under way."""

import asyncio
import dataclasses
import functools
import hashlib

from carobramp_core.submission.ids import CallerMadeId, SubmissionId
from carobramp_schema.generated.caller import JobRequest


@dataclasses.dataclass(frozen=True)
class Submission:
    """A job as received from a caller or another entry VM.

    Attributes
    ==========

    key : submission id that came with it
    request : the checked request
    body : JSON body as the caller sent it, for forwarding and for the digest
    deadline : end of the time allowed for the whole answer, counted from the
        receipt at the first VM
    received_at : time of receipt at this VM
    addressed_to : incarnation that a forwarding VM took for the owner
    """

    key: SubmissionId
    request: JobRequest
    body: bytes
    received_at: float
    deadline: float
    addressed_to: str | None = None

    @functools.cached_property
    def digest(self) -> bytes:
        """SHA-256 of the body as it was sent."""
        return hashlib.sha256(self.body).digest()


@dataclasses.dataclass(frozen=True)
class PendingClaim:
    """Claim under way and the submission to start when it holds."""

    key: CallerMadeId
    submission: Submission
    nonce: str


@dataclasses.dataclass
class PendingJob:
    """Job under way with those who wait for its answer.

    `claim` is there until the claim has its verdict; `cancelled` notes a
    cancellation that came before.
    """

    waiters: list[asyncio.Future] = dataclasses.field(default_factory=list)
    claim: PendingClaim | None = None
    cancelled: bool = False
