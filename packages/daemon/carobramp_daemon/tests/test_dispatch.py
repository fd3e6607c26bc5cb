"""Tests of the service that runs the dispatcher."""

import asyncio
import time
import unittest

from carobramp_core.dispatch.messages import (
    DeploymentStateChanged,
    Job,
    JobSubmitted,
    TaskDone,
    TaskOutcomeReceived,
)
from carobramp_core.outcomes import JobDone, JobFailed, Reason
from carobramp_core.tickets.state import DeploymentState
from carobramp_daemon.dispatch import DispatchService
from carobramp_daemon.metrics import Metrics
from carobramp_testing.builders import first_ticket, vm_settings

WAIT_S = 20.0


class RecordingClient:
    """Upstream client that records calls and answers on demand."""

    def __init__(self):
        self.starts = []
        self.cancels = []
        self.kept_upstreams = None

    def start_task(self, start, answer):
        """Record a start and its callback."""
        self.starts.append((start, answer))

    def cancel_task(self, cancel):
        """Record a cancellation."""
        self.cancels.append(cancel)

    def keep_only(self, names):
        """Record the names of the upstreams in force."""
        self.kept_upstreams = set(names)

    def answer_all(self):
        """Report every recorded start as done."""
        for start, answer in self.starts:
            outcome = TaskDone(start.payload, 1.0)
            answer(TaskOutcomeReceived(start.task_id, start.upstream, outcome))
        self.starts.clear()


class DispatchServiceTests(unittest.IsolatedAsyncioTestCase):
    """The service handles events and carries out the effects."""

    async def asyncSetUp(self):
        """Start a service with a state that has one upstream."""
        self.client = RecordingClient()
        self.finished: asyncio.Queue = asyncio.Queue()
        self.metrics = Metrics()
        settings = vm_settings("vm-0", "http://127.0.0.1:1")
        self.service = DispatchService(
            settings, self.client, self.finished.put_nowait, self.metrics
        )
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)
        ticket = first_ticket([("tilburg", "127.0.0.1", 9000)])
        self.service.send(DeploymentStateChanged(DeploymentState().apply(ticket)))

    def submit(self, name, tasks=1, deadline=600.0):
        """Send a job to the service; `deadline` is in seconds from now."""
        now = time.monotonic()
        self.service.send(
            JobSubmitted(
                Job(
                    submission_id=name,
                    service="order-desk",
                    team="bakery",
                    priority_class="interactive",
                    received_at=now,
                    deadline=now + deadline,
                    idempotent=False,
                    payloads=tuple(range(tasks)),
                    declared_run_ms=(1.0,) * tasks,
                )
            )
        )

    async def next_finished(self):
        """Wait for the next `JobFinished` and return it."""
        async with asyncio.timeout(WAIT_S):
            return await self.finished.get()

    async def wait_starts(self, count):
        """Wait until `count` starts are recorded."""
        async with asyncio.timeout(WAIT_S):
            while len(self.client.starts) < count:
                await asyncio.sleep(0)

    async def test_job_is_started_and_finished(self):
        """Guards against lost events and effects."""
        self.submit("job", tasks=3)
        await self.wait_starts(3)
        self.assertEqual(self.client.kept_upstreams, {"up-00"})
        self.client.answer_all()
        finished = await self.next_finished()
        self.assertIsInstance(finished.outcome, JobDone)
        self.assertEqual(finished.outcome.results, (0, 1, 2))
        line = 'carobramp_task_starts{kind="order-desk"} 3'
        self.assertIn(line, self.metrics.exposition())

    async def test_deadline_ends_a_job_without_further_events(self):
        """Guards against a timer that is never scheduled."""
        self.submit("job", deadline=0.05)
        await self.wait_starts(1)
        finished = await self.next_finished()
        self.assertIsInstance(finished.outcome, JobFailed)
        self.assertEqual(finished.outcome.reason, Reason.DEADLINE_EXCEEDED)

    async def test_more_events_than_one_turn_handles(self):
        """Guards against events that stay in the inbox after a full turn."""
        for number in range(300):
            self.submit(f"job-{number}")
        done = 0
        while done < 300:
            await self.wait_starts(1)
            self.client.answer_all()
            await self.next_finished()
            done += 1
            while not self.finished.empty():
                self.finished.get_nowait()
                done += 1


if __name__ == "__main__":
    unittest.main()
