"""Service that owns the submissions of this process."""

import asyncio
import dataclasses
import hashlib
import time

from mode import Service

from carobramp_core.dispatch.messages import (
    Job,
    JobCancelled,
    JobFinished,
    JobSubmitted,
)
from carobramp_core.outcomes import JobFailed, JobOutcome, JobRefused, Reason
from carobramp_core.submission.ids import IdIssuer, parse_issued
from carobramp_schema.generated.caller import JobRequest
from carobramp_schema.generated.settings import Settings


@dataclasses.dataclass(frozen=True)
class Submission:
    """A job as received from a caller.

    `key` is the submission id that the caller sent, or an empty string. `body` is
    the JSON body as received, for forwarding and for the digest.
    """

    key: str
    request: JobRequest
    body: bytes
    received: float


@dataclasses.dataclass(frozen=True)
class Reply:
    """Outcome of a submission under its id.

    `not_run` is true only when it is certain and final that no task ran.
    """

    submission_id: str
    outcome: JobOutcome
    not_run: bool = False


@dataclasses.dataclass
class Record:
    """What is known of one submission id."""

    digest: bytes
    waiters: list[asyncio.Future]
    reply: Reply | None = None


class SubmissionService(Service):
    """Runs each submission of this process at most once."""

    def __init__(self, settings: Settings, issuer: IdIssuer, dispatch, metrics, log):
        super().__init__()
        self.settings = settings
        self.issuer = issuer
        self.metrics = metrics
        self.log_line = log
        self.dispatch = dispatch
        self.records: dict[str, Record] = {}
        # Whether new jobs may start here, as the drain sets it.
        self.accepts_new = lambda: True

    def issue(self, count):
        """Return new submission ids."""
        now = time.monotonic()
        return [self.issuer.issue(now) for _ in range(count)]

    async def submit(self, submission: Submission) -> Reply:
        """Return the outcome of a submission; never raises."""
        key = submission.key or self.issuer.issue(submission.received)
        issued = parse_issued(key)
        if issued is None or not self.issuer.verify(issued):
            refused = JobFailed(Reason.OWNER_UNREACHABLE, "another process owns the id")
            return Reply(key, refused)
        digest = hashlib.sha256(submission.body).digest()
        record = self.records.get(key)
        if record is None:
            record = self.records[key] = Record(digest, [])
            if self.accepts_new():
                self.start_job(key, submission)
            else:
                stopping = JobRefused(Reason.DRAINING, "this VM is stopping")
                record.reply = Reply(key, stopping, not_run=True)
        if record.digest != digest:
            return Reply(key, JobRefused(Reason.SUBMISSION_CONFLICT, "other body"))
        if record.reply is not None:
            return record.reply
        waiter = asyncio.get_running_loop().create_future()
        record.waiters.append(waiter)
        return await waiter

    def start_job(self, key, submission):
        """Hand a job to dispatch."""
        request = submission.request
        job = Job(
            submission_id=key,
            service=request.service,
            team=request.team,
            priority_class=request.priority_class,
            received=submission.received,
            deadline=submission.received + request.deadline_ms / 1000,
            idempotent=request.idempotent,
            payloads=tuple(task.payload for task in request.tasks),
            run_ms=tuple(task.run_ms for task in request.tasks),
        )
        self.dispatch.send(JobSubmitted(job))

    def cancel(self, key):
        """Cancel a job; whether it is known here."""
        if key not in self.records:
            return False
        self.dispatch.send(JobCancelled(key, Reason.CANCELLED))
        return True

    def finished(self, event: JobFinished):
        """Record the outcome of a job and answer those who wait."""
        record = self.records[event.submission_id]
        record.reply = reply_of(event)
        for waiter in record.waiters:
            if not waiter.done():
                waiter.set_result(record.reply)
        record.waiters.clear()


def reply_of(event: JobFinished) -> Reply:
    """Return the reply for a finished job."""
    outcome = event.outcome
    not_run = isinstance(outcome, JobRefused) or getattr(outcome, "not_run", False)
    return Reply(event.submission_id, outcome, not_run)
