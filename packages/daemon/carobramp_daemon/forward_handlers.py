"""Handles forwarded jobs and cancellations from other entry VMs."""

import time

from carobramp_core.outcomes import Reason
from carobramp_core.submission.ids import MAX_ID_CHARS, NoId, parse_id
from carobramp_core.submission.registry import SubmissionAnswer
from carobramp_daemon.jobs import Submission
from carobramp_daemon.problems import problem
from carobramp_daemon.submission import SubmissionService
from carobramp_schema import InvalidInput, decode, encode
from carobramp_schema.generated import peer_pb2
from carobramp_schema.generated.caller import JobRequest


class ForwardHandlers:
    """Runs and cancels jobs that other entry VMs forward to this one."""

    def __init__(self, submissions: SubmissionService, metrics):
        self.submissions = submissions
        self.metrics = metrics

    async def forward(self, request):
        """Answer a forwarded job; the sender assumes that this process owns it."""
        received_at = time.monotonic()
        answer = self.check_size(request)
        if answer is None:
            answer = await self.run(request, received_at)
        return peer_pb2.ForwardReply(
            status=answer.status, body=answer.body, retry_after_s=answer.retry_after_s
        )

    def check_size(self, request) -> SubmissionAnswer | None:
        """Return a refusal if the id or the body is beyond its limit, else None."""
        if not 0 < len(request.submission_id) <= MAX_ID_CHARS:
            return self.refuse(Reason.SUBMISSION_INVALID, "no usable submission id", "")
        limit = self.submissions.settings.limits.max_body_bytes
        if len(request.body) > limit:
            detail = f"the body is over {limit} bytes"
            return self.refuse(Reason.BODY_TOO_LARGE, detail, request.submission_id)
        return None

    def refuse(self, reason, detail, submission_id) -> SubmissionAnswer:
        """Return a refusal, counted by reason; its `not_run` is always false."""
        self.metrics.increment("refusals", reason)
        details = problem(reason, detail, submission_id=submission_id)
        return SubmissionAnswer(details.status, encode(details))

    async def run(self, request, received_at) -> SubmissionAnswer:
        """Submit the job with the time that remained when it was forwarded."""
        message = decode(request.body, JobRequest)
        submission_id = request.submission_id
        if isinstance(message, InvalidInput):
            return self.refuse(Reason.MALFORMED_REQUEST, str(message), submission_id)
        remaining_ms = min(request.remaining_ms, message.deadline_ms)
        submission = Submission(
            key=parse_id(submission_id),
            request=message,
            body=request.body,
            received_at=received_at,
            deadline=received_at + remaining_ms / 1000,
            addressed_to=request.incarnation,
        )
        return await self.submissions.submit(submission)

    async def cancel(self, request):
        """Cancel a job if the request names this incarnation and its id is known."""
        key = parse_id(request.submission_id[: MAX_ID_CHARS + 1])
        for_this_incarnation = (
            request.incarnation == self.submissions.issuer.incarnation
        )
        found = (
            for_this_incarnation
            and not isinstance(key, NoId)
            and self.submissions.cancel_owned_job(key)
        )
        return peer_pb2.CancelReply(found=found)
