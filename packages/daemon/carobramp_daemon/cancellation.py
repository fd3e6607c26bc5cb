"""Cancels jobs for callers, in this process or at the VM that owns the job."""

import asyncio

from carobramp_core.platform import Unavailable
from carobramp_core.submission.claims import claim_key
from carobramp_core.submission.ids import CallerMadeId, IssuedId, parse_id
from carobramp_core.submission.owner import ForwardToOwner
from carobramp_daemon.forwarder import CancelResult, Forwarder
from carobramp_schema import InvalidInput, decode
from carobramp_schema.generated.claim import ClaimRow

PURPOSE = "cancel"
# Cancellations come in bursts. Few concurrent reads leave most of the platform calls
# of this VM to claims and tickets; look-ups beyond the second limit are refused.
MAX_CONCURRENT_READS = 4
MAX_PENDING_LOOKUPS = 256


class Canceller:
    """Finds the owner of a submission and cancels its job there.

    Parameters
    ==========

    submissions : `SubmissionService` of this process
    forwarder : sends cancellations to the owners of other submissions
    platform : client of the platform's table, which has the claim rows
    """

    def __init__(self, submissions, forwarder: Forwarder, platform):
        self.submissions = submissions
        self.forwarder = forwarder
        self.platform = platform
        self.reads = asyncio.Semaphore(MAX_CONCURRENT_READS)
        self.lookups = 0

    async def cancel(self, submission_id: str) -> CancelResult:
        """Cancel a job by the submission id as the caller sent it."""
        key = parse_id(submission_id)
        if self.submissions.cancel_owned_job(key):
            return CancelResult.FOUND
        if isinstance(key, CallerMadeId):
            owner = await self.read_claim_owner(key)
        elif isinstance(key, IssuedId):
            owner = ForwardToOwner(key.vm, key.incarnation)
        else:
            owner = None
        if owner is None:
            return CancelResult.NOT_FOUND
        if isinstance(owner, Unavailable):
            return CancelResult.UNREACHABLE
        if owner.vm == self.submissions.issuer.vm:
            return CancelResult.NOT_FOUND
        return await self.forwarder.cancel(owner, str(key))

    async def read_claim_owner(self, key) -> ForwardToOwner | Unavailable | None:
        """Return the owner that the claim row names, or None when there is no row."""
        if self.lookups >= MAX_PENDING_LOOKUPS:
            return Unavailable("too many look-ups of claims", maybe_applied=False)
        self.lookups += 1
        try:
            async with self.reads:
                rows = await self.platform.read((claim_key(key),), PURPOSE)
        finally:
            self.lookups -= 1
        if isinstance(rows, Unavailable):
            return rows
        if not rows:
            return None
        row = decode(rows[0].value, ClaimRow)
        if isinstance(row, InvalidInput):
            return Unavailable(f"malformed claim row: {row}", maybe_applied=False)
        return ForwardToOwner(row.vm, row.incarnation)
