"""Handles submissions: starts, forwards or refuses jobs and records answers."""

import asyncio
import functools
import secrets
import time
from collections.abc import Callable

from mode import Service

from carobramp_core.dispatch.messages import (
    Job,
    JobCancelled,
    JobFinished,
    JobSubmitted,
)
from carobramp_core.outcomes import JobFailed, JobRefused, Reason
from carobramp_core.submission.claims import (
    Claim,
    ClaimDecided,
    ClaimTaken,
    ClaimUnknown,
    claim_key,
)
from carobramp_core.submission.ids import (
    CallerMadeId,
    IdIssuer,
    IssuedId,
    NoId,
    SubmissionId,
)
from carobramp_core.submission.owner import (
    AttachToActiveJob,
    Decision,
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
from carobramp_core.submission.registry import SubmissionAnswer, SubmissionRegistry
from carobramp_daemon.answers import render_outcome
from carobramp_daemon.claims import ClaimService
from carobramp_daemon.drain_state import DrainState
from carobramp_daemon.forwarder import Forwarder
from carobramp_daemon.jobs import PendingClaim, PendingJob, Submission
from carobramp_schema.generated.claim import ClaimRow
from carobramp_schema.generated.settings import Settings

NONCE_BYTES = 16
SWEEP_INTERVAL_S = 5.0
# Limit on callers that wait for one submission, as each keeps a connection and a body.
MAX_WAITERS = 64


class SubmissionService(Service):
    """Runs each submission at most once.

    Parameters
    ==========

    settings : settings of the daemon
    drain_state : flags of the drain; `accepting` says whether new jobs may start
    issuer : issues and verifies the ids of this process
    dispatch : service that runs jobs
    forwarder : forwards jobs to the owners of other ids
    platform : client of the platform's table and leases, for claims
    ready : returns whether the VM has a deployment state that it may serve
    metrics : metrics of the daemon
    log : log of the component
    """

    def __init__(
        self,
        settings: Settings,
        drain_state: DrainState,
        issuer: IdIssuer,
        dispatch,
        forwarder: Forwarder,
        platform,
        ready: Callable[[], bool],
        metrics,
        log,
    ):
        super().__init__()
        self.settings = settings
        self.drain_state = drain_state
        self.issuer = issuer
        self.dispatch = dispatch
        self.forwarder = forwarder
        self.ready = ready
        self.metrics = metrics
        self.event_log = log
        self.registry = SubmissionRegistry(
            settings.submission, settings.limits.max_jobs
        )
        self.pending: dict[str, PendingJob] = {}
        holder = f"{issuer.vm}/{issuer.incarnation}"
        self.claims = ClaimService(
            settings.submission, platform, holder, self.on_claim_decided, metrics, log
        )

    def on_init_dependencies(self):
        """Return the claim service, which starts and stops with this one."""
        return [self.claims]

    @Service.task
    async def remove_expired_entries(self):
        """Remove expired ids and answers from the registry at intervals."""
        while not self.should_stop:
            await self.sleep(SWEEP_INTERVAL_S)
            self.registry.remove_expired(time.monotonic())

    def issue(self, count):
        """Return `count` new submission ids."""
        now = time.monotonic()
        return [self.issuer.issue(now) for _ in range(count)]

    async def submit(self, submission: Submission) -> SubmissionAnswer:
        """Decide what happens to a submission, carry it out and return the answer."""
        decision = self.decide(submission)
        return await carry_out(decision, self, submission)

    def decide(self, submission: Submission) -> Decision:
        """Return the decision of the core about a submission."""
        key, now = submission.key, time.monotonic()
        issued = key if isinstance(key, IssuedId) else None
        incoming = IncomingSubmission(
            key=key,
            digest=submission.digest,
            id_status=self.registry.lookup(key, now),
            issued_here=issued is not None and self.issuer.verify(issued),
            expired=issued is not None and self.registry.used.expired(issued, now),
            addressed_to=submission.addressed_to,
        )
        return decide_submission(
            incoming, self.process_status(), self.settings.submission, time.time()
        )

    def process_status(self) -> ProcessStatus:
        """Return the identity of this process and whether it may start jobs."""
        return ProcessStatus(
            vm=self.issuer.vm,
            incarnation=self.issuer.incarnation,
            accepting=self.drain_state.accepting,
            ready=self.ready(),
            at_capacity=self.registry.at_capacity() or self.forwarder.at_capacity(),
        )

    def add_pending_job(self, submission: Submission, keep: bool) -> str:
        """Register an active job and return its id as text.

        A submission without an id gets a new one. `keep` says whether the answer is
        recorded for later requests.
        """
        key = submission.key
        if not isinstance(key, IssuedId | CallerMadeId):
            key = self.issuer.new(time.monotonic())
        self.registry.add_job(key, submission.digest, keep, time.monotonic())
        self.pending[str(key)] = PendingJob()
        self.metrics.set_gauge("jobs_running", len(self.registry.jobs))
        return str(key)

    def start_job(self, submission_id, submission):
        """Pass a job to dispatch, once per submission, unless its deadline passed."""
        request = submission.request
        if submission.deadline <= time.monotonic():
            detail = "the deadline passed before the job could start"
            failed = JobFailed(Reason.DEADLINE_EXCEEDED, detail, not_run=True)
            self.on_job_finished(JobFinished(submission_id, failed))
            return
        job = Job(
            submission_id=submission_id,
            service=request.service,
            team=request.team,
            priority_class=request.priority_class,
            received_at=submission.received_at,
            deadline=submission.deadline,
            idempotent=request.idempotent,
            payloads=tuple(task.payload for task in request.tasks),
            declared_run_ms=tuple(task.run_ms for task in request.tasks),
        )
        self.dispatch.send(JobSubmitted(job))

    def on_job_finished(self, event: JobFinished):
        """Record the outcome of a job and send the answer to its waiters."""
        submission_id, outcome = event.submission_id, event.outcome
        not_run = isinstance(outcome, JobRefused) or getattr(outcome, "not_run", False)
        answer = render_outcome(outcome, submission_id, not_run, self.metrics)
        self.registry.finish_job(submission_id, answer, time.monotonic())
        self.resolve_waiters(submission_id, answer)

    def resolve_waiters(self, submission_id, result):
        """Set the result of all waiters of a job and remove the pending job."""
        for waiter in self.pending.pop(submission_id).waiters:
            if not waiter.done():
                waiter.set_result(result)
        self.metrics.set_gauge("jobs_running", len(self.registry.jobs))

    def add_waiter(self, submission_id) -> asyncio.Future:
        """Return a future for the result of a pending job."""
        waiter = asyncio.get_running_loop().create_future()
        self.pending[submission_id].waiters.append(waiter)
        return waiter

    async def wait_for_answer(
        self, submission_id, waiter, submission: Submission
    ) -> SubmissionAnswer:
        """Wait for the result of a pending job and return the answer.

        A result that is a decision, made when a claim failed, is carried out for this
        submission. After the deadline the answer is a failure.
        """
        margin = self.settings.submission.forward_margin_ms / 1000
        remaining = submission.deadline + margin - time.monotonic()
        try:
            await asyncio.wait({waiter}, timeout=max(0.0, remaining))
            if not waiter.done():
                # After a pause of the process all timers expire at once. The margin
                # lets dispatch decide the outcome first.
                await asyncio.wait({waiter}, timeout=margin)
        finally:
            self.remove_waiter(submission_id, waiter)
        if not waiter.done():
            detail = "the deadline passed before the answer was there"
            failed = JobFailed(Reason.DEADLINE_EXCEEDED, detail)
            return self.render_refusal(RespondWithError(failed), submission_id)
        result = waiter.result()
        if isinstance(result, SubmissionAnswer):
            return result
        return await carry_out(result, self, submission)

    def remove_waiter(self, submission_id, waiter):
        """Remove the future of a caller that no longer waits."""
        pending = self.pending.get(submission_id)
        if pending is not None and waiter in pending.waiters:
            pending.waiters.remove(waiter)

    def render_refusal(
        self, decision: RespondWithError, submission_id
    ) -> SubmissionAnswer:
        """Log a refusal or failure and return the answer for it."""
        self.event_log.info(
            "job not served",
            job=submission_id,
            reason=decision.outcome.reason,
            detail=decision.outcome.detail,
        )
        return render_outcome(
            decision.outcome, submission_id, decision.not_run, self.metrics
        )

    def insert_claim(self, submission_id, submission, nonce):
        """Request the claim row of a pending job; `nonce` is used again if given."""
        nonce = nonce or secrets.token_hex(NONCE_BYTES)
        row = ClaimRow(
            vm=self.issuer.vm,
            incarnation=self.issuer.incarnation,
            nonce=nonce,
            digest=submission.digest.hex(),
        )
        self.pending[submission_id].claim = PendingClaim(
            submission.key, submission, nonce
        )
        key = claim_key(submission.key)
        self.claims.send(Claim(submission_id, key, row, submission.deadline))

    def on_claim_decided(self, event: ClaimDecided):
        """Start a job whose claim holds; otherwise pass the decision to its waiters."""
        submission_id = event.submission_id
        pending = self.pending[submission_id]
        claim, pending.claim = pending.claim, None
        if claim is None:
            raise RuntimeError(f"a second verdict on the claim of {submission_id}")
        decision = decide_after_claim(
            event.verdict,
            claim.key,
            claim.submission.digest,
            self.process_status(),
            self.settings.submission,
            time.time(),
        )
        if isinstance(decision, StartJob):
            self.start_claimed_job(submission_id, pending, claim.submission)
            return
        if pending.cancelled:
            failed = JobFailed(Reason.CANCELLED, "cancelled before the claim held")
            decision = RespondWithError(failed)
        nonce = possibly_stored_nonce(claim.nonce, event.verdict)
        self.registry.abandon_claim(claim.key, nonce)
        self.resolve_waiters(submission_id, decision)

    def start_claimed_job(self, submission_id, pending, submission):
        """Start a job whose claim holds, unless it was cancelled in the meantime."""
        if pending.cancelled:
            failed = JobFailed(Reason.CANCELLED, "cancelled", not_run=True)
            self.on_job_finished(JobFinished(submission_id, failed))
        else:
            self.start_job(submission_id, submission)

    def cancel_owned_job(self, key: SubmissionId, reason=Reason.CANCELLED) -> bool:
        """Cancel a job that this process owns; return whether the id is known here.

        A job whose claim is not decided yet is cancelled after the verdict.
        """
        submission_id = str(key)
        pending = self.pending.get(submission_id)
        if pending is None:
            return submission_id in self.registry.answers
        if pending.claim is not None:
            pending.cancelled = True
        else:
            self.dispatch.send(JobCancelled(submission_id, reason))
        return True


def possibly_stored_nonce(nonce, verdict) -> str | None:
    """Return the nonce of a claim that did not hold but may be stored, else None."""
    if isinstance(verdict, ClaimUnknown):
        return nonce
    if isinstance(verdict, ClaimTaken) and verdict.row.nonce == nonce:
        return nonce
    return None


@functools.singledispatch
async def carry_out(decision, service, submission) -> SubmissionAnswer:
    """Carry out a decision about a submission and return its answer."""
    raise TypeError(f"unknown decision {decision!r}")


@carry_out.register
async def _(decision: StartJob, service, submission):
    has_id = not isinstance(submission.key, NoId)
    submission_id = service.add_pending_job(submission, keep=has_id)
    waiter = service.add_waiter(submission_id)
    service.start_job(submission_id, submission)
    try:
        return await service.wait_for_answer(submission_id, waiter, submission)
    except asyncio.CancelledError:
        # The caller disconnected. It can ask for the answer later by the id; without
        # an id nobody can.
        if not has_id:
            service.dispatch.send(JobCancelled(submission_id, Reason.CANCELLED))
        raise


@carry_out.register
async def _(decision: InsertClaim, service, submission):
    submission_id = service.add_pending_job(submission, keep=True)
    waiter = service.add_waiter(submission_id)
    service.insert_claim(submission_id, submission, decision.nonce)
    return await service.wait_for_answer(submission_id, waiter, submission)


@carry_out.register
async def _(decision: AttachToActiveJob, service, submission):
    submission_id = str(submission.key)
    if len(service.pending[submission_id].waiters) >= MAX_WAITERS:
        detail = "too many callers wait for this submission"
        return service.render_refusal(
            RespondWithError(JobRefused(Reason.TOO_MANY_JOBS, detail)), submission_id
        )
    return await service.wait_for_answer(
        submission_id, service.add_waiter(submission_id), submission
    )


@carry_out.register
async def _(decision: RespondWithRecordedAnswer, service, submission):
    return decision.answer


@carry_out.register
async def _(decision: ForwardToOwner, service, submission):
    result = await service.forwarder.forward(decision, submission)
    if isinstance(result, SubmissionAnswer):
        return result
    return service.render_refusal(RespondWithError(result), str(submission.key))


@carry_out.register
async def _(decision: RespondWithError, service, submission):
    key = submission.key
    submission_id = "" if isinstance(key, NoId) else str(key)
    answer = service.render_refusal(decision, submission_id)
    if decision.record:
        now = time.monotonic()
        service.registry.record_refusal(key, submission.digest, answer, now)
    return answer
