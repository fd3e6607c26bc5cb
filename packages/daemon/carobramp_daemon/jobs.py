"""Submissions as received, and jobs whose answer is pending."""

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

    key : parsed submission id of the request
    request : decoded request
    body : JSON body as the caller sent it, for forwarding and for the digest
    deadline : monotonic time by which the whole answer is due, counted from the
        receipt at the first VM
    received_at : monotonic time of receipt at this VM
    addressed_to : incarnation that the forwarding VM assumes to own the job; None if
        the caller sent the job here
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
    """Claim that awaits its verdict, and the submission to start when it holds."""

    key: CallerMadeId
    submission: Submission
    nonce: str


@dataclasses.dataclass
class PendingJob:
    """Job without an answer yet, and the futures that wait for it.

    `claim` is set until the claim has its verdict; `cancelled` says whether the job
    was cancelled before that.
    """

    waiters: list[asyncio.Future] = dataclasses.field(default_factory=list)
    claim: PendingClaim | None = None
    cancelled: bool = False
