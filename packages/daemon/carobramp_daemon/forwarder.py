"""Forwards jobs and cancellations to the entry VMs that own them."""

import enum
import time

from carobramp_core.outcomes import JobFailed, Reason, WastedMessageKind
from carobramp_core.submission.owner import ForwardToOwner
from carobramp_core.submission.registry import SubmissionAnswer
from carobramp_daemon.answers import ANSWER_STATUSES
from carobramp_daemon.peers import PeerUnreachable
from carobramp_schema.generated import peer_pb2
from carobramp_schema.generated.settings import Settings


class CancelResult(enum.Enum):
    """Result of a cancellation: whether the owner was reached and knows the job."""

    FOUND = "found"
    NOT_FOUND = "not_found"
    UNREACHABLE = "unreachable"


class Forwarder:
    """Sends jobs and cancellations to the owners of their ids.

    Parameters
    ==========

    settings : settings of the daemon
    channels : channel pool for calls to other entry VMs
    membership : service that knows the addresses of other entry VMs
    metrics : metrics of the daemon
    log : log of the component
    """

    def __init__(self, settings: Settings, channels, membership, metrics, log):
        self.settings = settings
        self.channels = channels
        self.membership = membership
        self.metrics = metrics
        self.event_log = log
        self.in_flight = 0

    def at_capacity(self) -> bool:
        """Whether `max_jobs` forwarded jobs are in flight."""
        return self.in_flight >= self.settings.limits.max_jobs

    async def forward(
        self, owner: ForwardToOwner, submission
    ) -> SubmissionAnswer | JobFailed:
        """Send a job to its owner once and return the owner's answer.

        Explanation
        ===========

        An owner that does not answer may have started the job. The request is
        therefore not sent again, and the failure does not say `not_run`.
        """
        submission_id = str(submission.key)
        address = self.membership.address_of(owner.vm)
        if address is None:
            detail = f"the address of {owner.vm} is not known"
            return JobFailed(Reason.OWNER_UNREACHABLE, detail)
        remaining = submission.deadline - time.monotonic()
        if remaining <= 0:
            detail = "the deadline passed before the job was forwarded"
            return JobFailed(Reason.DEADLINE_EXCEEDED, detail)
        request = peer_pb2.ForwardRequest(
            submission_id=submission_id,
            incarnation=owner.incarnation,
            body=submission.body,
            remaining_ms=max(1, int(remaining * 1000)),
            sender=self.settings.vm.name,
        )
        margin = self.settings.submission.forward_margin_ms / 1000
        self.metrics.increment("wasted_messages", WastedMessageKind.FORWARD)
        self.in_flight += 1
        try:
            reply = await self.channels.call(
                address, "Forward", request, remaining + margin
            )
        finally:
            self.in_flight -= 1
        return self.interpret_reply(owner, submission_id, reply)

    def interpret_reply(self, owner, submission_id, reply):
        """Return the answer in a reply, or the failure when there is none."""
        if isinstance(reply, PeerUnreachable):
            self.event_log.info(
                "forward failed", job=submission_id, detail=reply.detail
            )
            if reply.maybe_received:
                detail = f"{owner.vm} gave no answer"
                return JobFailed(Reason.FORWARD_LOST, detail)
            detail = f"{owner.vm} cannot be reached"
            return JobFailed(Reason.OWNER_UNREACHABLE, detail)
        if reply.status not in ANSWER_STATUSES:
            detail = f"{owner.vm} answered with status {reply.status}"
            return JobFailed(Reason.FORWARD_LOST, detail)
        return SubmissionAnswer(reply.status, reply.body, reply.retry_after_s)

    async def cancel(self, owner: ForwardToOwner, submission_id) -> CancelResult:
        """Ask the owner of a job to cancel it."""
        address = self.membership.address_of(owner.vm)
        if address is None:
            return CancelResult.UNREACHABLE
        request = peer_pb2.CancelRequest(
            submission_id=submission_id, incarnation=owner.incarnation
        )
        timeout = self.settings.membership.call_timeout_ms / 1000
        reply = await self.channels.call(address, "Cancel", request, timeout)
        if isinstance(reply, PeerUnreachable):
            self.event_log.info(
                "cancellation failed", job=submission_id, detail=reply.detail
            )
            return CancelResult.UNREACHABLE
        return CancelResult.FOUND if reply.found else CancelResult.NOT_FOUND
