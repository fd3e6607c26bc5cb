"""Tests of the submission service, forwarded jobs and removal of claim rows."""

import asyncio
import json
import unittest

from carobramp_core.dispatch.messages import JobCancelled, JobFinished, JobSubmitted
from carobramp_core.outcomes import JobDone, JobFailed, JobRefused, Reason
from carobramp_core.platform import LeaseHeld, Unavailable
from carobramp_core.submission.claims import claim_key
from carobramp_core.submission.ids import IdIssuer, parse_caller_made, parse_id
from carobramp_daemon.claims import ClaimService
from carobramp_daemon.drain_state import DrainState
from carobramp_daemon.forward_handlers import ForwardHandlers
from carobramp_daemon.jobs import Submission
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.submission import MAX_WAITERS, SubmissionService
from carobramp_schema import encode
from carobramp_schema.generated import peer_pb2
from carobramp_schema.generated.settings import SubmissionSettings
from carobramp_testing.builders import caller_made_id, job_request, vm_settings
from carobramp_testing.standins.store import Store

INCARNATION = "0" * 16
TIMEOUT_S = 10
MAX_JOBS = 2


class DiscardingLog:
    """Log that discards its lines."""

    def info(self, message, **fields):
        """Discard a line."""


class RecordingDispatch:
    """Records the events that it is sent."""

    def __init__(self):
        self.events = []

    def send(self, event):
        """Record an event."""
        self.events.append(event)


class IdleForwarder:
    """Forwarder without jobs in flight."""

    def at_capacity(self):
        """Report free capacity."""
        return False


class ServiceCase(unittest.IsolatedAsyncioTestCase):
    """Base class: a submission service, with dispatch simulated by the test."""

    def setUp(self):
        """Build the service."""
        limits = {"max_jobs": MAX_JOBS}
        settings = vm_settings("vm-a", "http://127.0.0.1:1", limits=limits)
        self.issuer = IdIssuer("vm-a", INCARNATION, b"key")
        self.dispatch = RecordingDispatch()
        self.service = SubmissionService(
            settings,
            DrainState(),
            self.issuer,
            self.dispatch,
            IdleForwarder(),
            None,
            lambda: True,
            Metrics(),
            DiscardingLog(),
        )

    def submit(self, key=None, deadline=1000.0, **fields):
        """Submit a job and return the asyncio task; `deadline` is in seconds."""
        now = asyncio.get_running_loop().time()
        request = job_request(**fields)
        submission = Submission(
            parse_id(key), request, encode(request), now, now + deadline
        )
        return asyncio.create_task(self.service.submit(submission))

    async def problem(self, task):
        """Return the problem details with which a submission ends."""
        async with asyncio.timeout(TIMEOUT_S):
            return json.loads((await task).body)

    async def wait_for_started(self, count):
        """Wait until `count` jobs were passed to dispatch."""
        async with asyncio.timeout(TIMEOUT_S):
            while (
                sum(isinstance(e, JobSubmitted) for e in self.dispatch.events) < count
            ):
                await asyncio.sleep(0)

    def finish(self, name, outcome=None):
        """Report the outcome of a job, by default success."""
        self.service.on_job_finished(JobFinished(name, outcome or JobDone((1,), 1.0)))


class BoundTests(ServiceCase):
    """Jobs, waiters and recorded answers are limited."""

    async def test_too_many_jobs(self):
        """Guards against jobs over the limit, and a refusal that changes later."""
        keys = self.service.issue(MAX_JOBS + 1)
        tasks = [self.submit(key) for key in keys[:MAX_JOBS]]
        await self.wait_for_started(MAX_JOBS)
        refused = await self.problem(self.submit(keys[-1]))
        self.assertEqual(
            (refused["reason"], refused["not_run"]), ("too_many_jobs", True)
        )
        made = await self.problem(self.submit(caller_made_id(1)))
        self.assertEqual((made["reason"], made["not_run"]), ("too_many_jobs", False))
        for key in keys[:MAX_JOBS]:
            self.finish(key)
        await asyncio.gather(*tasks)
        self.assertEqual(await self.problem(self.submit(keys[-1])), refused)
        self.assertEqual(len(self.dispatch.events), MAX_JOBS)

    async def test_too_many_waiters(self):
        """Guards against any number of callers that wait for one submission."""
        (key,) = self.service.issue(1)
        tasks = [self.submit(key) for _ in range(MAX_WAITERS)]
        await self.wait_for_started(1)
        refused = await self.problem(self.submit(key))
        self.assertEqual(
            (refused["reason"], refused["not_run"]), ("too_many_jobs", False)
        )
        self.finish(key)
        answers = await asyncio.gather(*tasks)
        self.assertEqual(len(set(answers)), 1)

    async def test_evicted_answer(self):
        """Guards against a second start after the answer was evicted."""
        (key,) = self.service.issue(1)
        task = self.submit(key)
        await self.wait_for_started(1)
        self.finish(key)
        await task
        self.service.registry.evict_oldest()
        body = await self.problem(self.submit(key))
        self.assertEqual((body["reason"], body["not_run"]), ("answer_evicted", False))
        self.assertEqual(len(self.dispatch.events), 1)


class OutcomeTests(ServiceCase):
    """Callers get the outcome, also after they disconnect."""

    async def test_not_run(self):
        """Guards against `not_run` in an answer when dispatch did not report it."""
        outcomes = [
            (JobRefused(Reason.QUEUE_FULL, "full"), True),
            (JobFailed(Reason.DEADLINE_EXCEEDED, "late", not_run=True), True),
            (JobFailed(Reason.OUTCOME_UNKNOWN, "unknown"), False),
        ]
        for count, (outcome, not_run) in enumerate(outcomes, 1):
            (key,) = self.service.issue(1)
            task = self.submit(key)
            await self.wait_for_started(count)
            self.finish(key, outcome)
            body = await self.problem(task)
            self.assertEqual(
                (body["reason"], body["not_run"]), (outcome.reason, not_run)
            )
            self.assertEqual(await self.problem(self.submit(key)), body)

    async def test_deadline_passed_before_the_start(self):
        """Guards against a start after the deadline."""
        (key,) = self.service.issue(1)
        body = await self.problem(self.submit(key, deadline=-1.0))
        self.assertEqual((body["reason"], body["not_run"]), ("deadline_exceeded", True))
        self.assertEqual(self.dispatch.events, [])

    async def test_caller_without_id_disconnects(self):
        """Guards against work whose result nobody can get."""
        task = self.submit()
        await self.wait_for_started(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertIsInstance(self.dispatch.events[-1], JobCancelled)

    async def test_caller_with_id_disconnects(self):
        """Guards against a job that ends with the connection of its caller."""
        (key,) = self.service.issue(1)
        task = self.submit(key)
        await self.wait_for_started(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(len(self.dispatch.events), 1)
        again = self.submit(key)
        await asyncio.sleep(0)
        self.finish(key)
        self.assertEqual((await again).status, 200)


class ForwardedTests(ServiceCase):
    """Calls from other entry VMs with invalid content."""

    async def test_invalid_forwarded_jobs(self):
        """Guards against an exception, or a start, for an invalid forwarded job."""
        (key,) = self.service.issue(1)
        body = encode(job_request())
        cases = {
            "submission_invalid": {"submission_id": ""},
            "body_too_large": {"body": b"x" * (1 << 21)},
            "malformed_request": {"body": b"{}"},
            "owner_gone": {"incarnation": "f" * 16},
        }
        handlers = ForwardHandlers(self.service, Metrics())
        for reason, fields in cases.items():
            with self.subTest(reason):
                message = {
                    "submission_id": key,
                    "incarnation": INCARNATION,
                    "body": body,
                    "remaining_ms": 1000,
                } | fields
                reply = await handlers.forward(peer_pb2.ForwardRequest(**message))
                problem = json.loads(reply.body)
                self.assertEqual(
                    (problem["reason"], problem["not_run"]), (reason, False)
                )
        self.assertEqual(self.dispatch.events, [])

    async def test_cancel_for_another_incarnation(self):
        """Guards against a cancellation that was sent to an earlier incarnation."""
        (key,) = self.service.issue(1)
        task = self.submit(key)
        await self.wait_for_started(1)
        handlers = ForwardHandlers(self.service, Metrics())
        for incarnation, found in (("f" * 16, False), (INCARNATION, True)):
            request = peer_pb2.CancelRequest(submission_id=key, incarnation=incarnation)
            self.assertEqual((await handlers.cancel(request)).found, found)
        self.finish(key)
        await task


class StorePlatform:
    """Platform interface to the stand-in store."""

    def __init__(self):
        self.store = Store()
        self.failing = False

    async def transact(self, transaction, purpose):
        """Apply a transaction."""
        return self.store.transact(transaction)

    async def scan(self, prefix, after, limit, purpose):
        """Return rows, or `Unavailable` while `failing` is set."""
        if self.failing:
            return Unavailable("down", maybe_applied=False)
        return self.store.scan(prefix, after, limit)

    async def acquire(self, name, holder, seconds, purpose):
        """Grant every lease."""
        return LeaseHeld(holder, seconds)


class RemovalTests(unittest.IsolatedAsyncioTestCase):
    """Expired claim rows are removed."""

    async def test_one_pass_removes_expired_rows(self):
        """Guards against rows that are never removed, or removed too early."""
        platform = StorePlatform()
        young = [caller_made_id(seed, age=23 * 3600) for seed in range(3)]
        old = [caller_made_id(seed, age=25 * 3600) for seed in range(150)]
        for text in young + old:
            platform.store.write(claim_key(parse_caller_made(text)), b"{}")
        platform.store.write("ticket/000000000001", b"{}")
        settings = SubmissionSettings()
        service = ClaimService(
            settings, platform, "me", None, Metrics(), DiscardingLog()
        )
        platform.failing = True
        await service.remove_expired_rows()
        self.assertEqual(len(platform.store.rows), len(young + old) + 1)
        platform.failing = False
        await service.remove_expired_rows()
        kept = {claim_key(parse_caller_made(text)) for text in young}
        self.assertEqual(set(platform.store.rows), kept | {"ticket/000000000001"})


if __name__ == "__main__":
    unittest.main()
