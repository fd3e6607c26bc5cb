"""Tests of the upstream client with upstreams that violate the protocol."""

import asyncio
import json
import time
import unittest

from carobramp_core.dispatch.messages import (
    CancelTask,
    StartTask,
    TaskDone,
    TaskFailed,
    TaskId,
    TaskNotStarted,
    TaskOutcomeUnknown,
)
from carobramp_core.outcomes import RetryReason
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.upstreams import UpstreamClient
from carobramp_testing.builders import vm_settings

TIMEOUT_S = 20.0
TASKS_PATH = "/v1/tasks"
MAX_ANSWER_BYTES = 4096


class ScriptedUpstream:
    """Upstream whose requests are answered by a script.

    `script` gets the number of the request, its body and the writer, and returns
    whether the connection stays open. Requests that the client of a test cannot have
    sent are rejected: daemons of tests in other processes go on to call ports of
    stand-ins that have ended, and the system may assign these again.
    """

    def __init__(self, script):
        self.script = script
        self.requests: list[tuple[str, dict]] = []
        self.connections = 0
        self.open = 0
        self.most_open = 0
        self.server = None
        self.writers: list = []
        self.handlers: set = set()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exception):
        self.server.close()
        for handler in list(self.handlers):
            handler.cancel()
        await asyncio.gather(*self.handlers, return_exceptions=True)

    async def serve(self, reader, writer):
        """Serve one connection."""
        task = asyncio.current_task()
        self.handlers.add(task)
        self.connections += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            while await self.serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.open -= 1
            self.handlers.discard(task)
            writer.close()

    async def serve_request(self, reader, writer):
        """Read one request and answer it by the script."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = 0
        for line in head.lower().split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.split(":")[1])
        data = await reader.readexactly(length)
        body = json.loads(data) if data else {}
        if not head.startswith(f"POST {TASKS_PATH}"):
            writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            return False
        self.requests.append((head.split()[1], body))
        return await self.script(len(self.requests), body, writer)


def answer_bytes(task_id, http_status=200, **fields):
    """Build the HTTP response for a task, by default of a task that is done."""
    fields = {"task_id": task_id, "status": "done", "run_ms": 1.0} | fields
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 {http_status} X\r\nContent-Type: application/json\r\n"
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


async def answer_task(number, body, writer):
    """Answer a request with the number of the request as result."""
    writer.write(answer_bytes(body.get("task_id", ""), result=number, busy=3, slots=8))
    return True


class UpstreamClientTests(unittest.IsolatedAsyncioTestCase):
    """Every start gets exactly one outcome, which is correct."""

    async def asyncSetUp(self):
        """Create a client with a small limit on answers."""
        settings = vm_settings(
            "vm-0",
            "http://127.0.0.1:1",
            limits={"max_answer_bytes": MAX_ANSWER_BYTES},
        )
        self.metrics = Metrics()
        self.client = UpstreamClient(settings, self.metrics, Log("upstream", "vm-0"))
        self.answers: asyncio.Queue = asyncio.Queue()
        self.addAsyncCleanup(self.client.on_stop)

    def build_start(self, upstream, index=0, timeout=TIMEOUT_S, **fields):
        """Build the start of a task at an upstream."""
        defaults = {
            "task_id": TaskId("job", index),
            "upstream": "up-0",
            "host": "127.0.0.1",
            "port": upstream.port,
            "connections": 4,
            "service": "desk",
            "payload": None,
            "declared_run_ms": 1.0,
            "timeout": timeout,
        }
        return StartTask(**(defaults | fields))

    async def run_start(self, start):
        """Send a start and return its outcome."""
        self.client.start_task(start, self.answers.put_nowait)
        return await self.next_answer()

    async def next_answer(self):
        """Return the next answer."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.answers.get()

    async def outcome_with(self, script, **fields):
        """Return the outcome of one task at an upstream with this script."""
        async with ScriptedUpstream(script) as upstream:
            answered = await self.run_start(self.build_start(upstream, **fields))
            self.assertEqual(len(upstream.requests), 1, upstream.requests)
        return answered.outcome

    async def test_valid_answer(self):
        """Guards against a lost result or load report."""
        async with ScriptedUpstream(answer_task) as upstream:
            answered = await self.run_start(self.build_start(upstream))
        self.assertEqual(answered.outcome, TaskDone(1, 1.0))
        self.assertEqual((answered.report.busy, answered.report.slots), (3, 8))

    async def test_request_is_not_repeated_after_a_closed_connection(self):
        """Guards against a library that repeats a request on a new connection."""

        async def close_second(number, body, writer):
            if number == 1:
                return await answer_task(number, body, writer)
            return False

        async with ScriptedUpstream(close_second) as upstream:
            await self.run_start(self.build_start(upstream, 0))
            answered = await self.run_start(self.build_start(upstream, 1))
            self.assertIsInstance(answered.outcome, TaskOutcomeUnknown)
            after = await self.run_start(self.build_start(upstream, 2))
            self.assertIsInstance(after.outcome, TaskOutcomeUnknown)
            ids = [body["task_id"] for _, body in upstream.requests]
            self.assertEqual(ids, ["job:0", "job:1", "job:2"])
            self.assertEqual(upstream.connections, 2)

    async def test_answers_without_a_usable_result(self):
        """Guards against a result that is taken from an invalid answer."""
        whole = answer_bytes("job:0")
        refused = answer_bytes("job:0", status="refused")
        large = answer_bytes("job:0", result="x" * MAX_ANSWER_BYTES)
        chunk = b"x" * MAX_ANSWER_BYTES
        size = f"{len(chunk):x}\r\n".encode()
        chunked = (
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
            + (size + chunk + b"\r\n") * 2
            + b"0\r\n\r\n"
        )
        cases = {
            "truncated": whole[:-5],
            "only a head": whole[: whole.index(b"{")],
            "nothing": b"",
            "not HTTP": b"hello\r\n\r\n",
            "not JSON": whole.replace(b"{", b"["),
            "too large": large,
            "too large in chunks": chunked,
            "another task": answer_bytes("job:1"),
            "server error": answer_bytes("job:0", http_status=500),
            "refused with 200": refused,
            "done with 503": answer_bytes("job:0", http_status=503),
            "redirect": b"HTTP/1.1 307 X\r\nLocation: /v1/tasks\r\n"
            b"Content-Length: 0\r\n\r\n",
        }
        for name, data in cases.items():
            with self.subTest(name):
                outcome = await self.outcome_with(self.send_and_close(data))
                self.assertIsInstance(outcome, TaskOutcomeUnknown)

    async def test_stray_answer_is_counted(self):
        """Guards against answers for other tasks that no metric shows."""

        async def stray(number, body, writer):
            writer.write(answer_bytes("other:0"))
            return True

        outcome = await self.outcome_with(stray)
        self.assertIsInstance(outcome, TaskOutcomeUnknown)
        line = 'carobramp_wasted_messages{kind="stray_answer"} 1'
        self.assertIn(line, self.metrics.exposition())

    async def test_duplicate_answer_does_not_reach_the_next_task(self):
        """Guards against a duplicate taken for the answer of another task."""

        async def answer_twice(number, body, writer):
            writer.write(answer_bytes(body["task_id"], result=number) * 2)
            return True

        async with ScriptedUpstream(answer_twice) as upstream:
            for number in range(1, 4):
                answered = await self.run_start(self.build_start(upstream, number))
                self.assertEqual(answered.outcome, TaskDone(number, 1.0))

    def send_and_close(self, data):
        """Return a script that sends `data` and closes."""

        async def script(number, body, writer):
            writer.write(data)
            return False

        return script

    async def test_failed_task(self):
        """Guards against a failure that is taken for an unknown outcome."""
        data = answer_bytes("job:0", status="failed", error="no paper")
        outcome = await self.outcome_with(self.send_and_close(data))
        self.assertEqual(outcome, TaskFailed("no paper", 1.0))

    async def test_refused_tasks_are_not_started(self):
        """Guards against a refusal that is taken for an unknown outcome."""
        for error, reason in (
            ("busy", RetryReason.REFUSED_BUSY),
            ("leaving", RetryReason.REFUSED_LEAVING),
            ("anything", RetryReason.REFUSED_OTHER),
        ):
            data = answer_bytes("job:0", 503, status="refused", error=error)
            outcome = await self.outcome_with(self.send_and_close(data))
            self.assertEqual(outcome, TaskNotStarted(reason, error))

    async def test_refused_connection(self):
        """Guards against an unknown outcome for a task that was not sent."""
        async with ScriptedUpstream(answer_task) as upstream:
            pass
        answered = await self.run_start(self.build_start(upstream))
        self.assertIsInstance(answered.outcome, TaskNotStarted)
        self.assertEqual(answered.outcome.reason, RetryReason.CONNECT_FAILED)

    async def test_timeout_after_the_request_is_an_unknown_outcome(self):
        """Guards against a retry of a task that may run."""

        async def silent(number, body, writer):
            await asyncio.Event().wait()

        outcome = await self.outcome_with(silent, timeout=0.2)
        self.assertIsInstance(outcome, TaskOutcomeUnknown)

    async def test_task_is_not_sent_after_its_deadline(self):
        """Guards against a late start by a process that was paused."""
        async with ScriptedUpstream(answer_task) as upstream:
            start = self.build_start(upstream, deadline=time.monotonic() - 1)
            answered = await self.run_start(start)
            self.assertEqual(upstream.requests, [])
        self.assertIsInstance(answered.outcome, TaskNotStarted)

    async def test_connections_are_bounded(self):
        """Guards against more connections than the configured limit."""

        async def slow(number, body, writer):
            await asyncio.sleep(0.01)
            return await answer_task(number, body, writer)

        async with ScriptedUpstream(slow) as upstream:
            for index in range(12):
                start = self.build_start(upstream, index)
                self.client.start_task(start, self.answers.put_nowait)
            for _ in range(12):
                await self.next_answer()
            self.assertEqual(upstream.most_open, 4)

    async def test_removed_upstreams_close_after_their_last_task(self):
        """Guards against interrupted tasks and connections that stay open."""
        may_answer = asyncio.Event()

        async def answer_when_allowed(number, body, writer):
            if "task_id" in body:
                await may_answer.wait()
            return await answer_task(number, body, writer)

        async with ScriptedUpstream(answer_when_allowed) as upstream:
            start = self.build_start(upstream)
            self.client.start_task(start, self.answers.put_nowait)
            async with asyncio.timeout(TIMEOUT_S):
                while not upstream.requests:
                    await asyncio.sleep(0)
            self.client.keep_only(())
            cancel = CancelTask(start.task_id, "up-0", "127.0.0.1", upstream.port)
            self.client.cancel_task(cancel)
            async with asyncio.timeout(TIMEOUT_S):
                while len(upstream.requests) < 2:
                    await asyncio.sleep(0.001)
            self.assertEqual(upstream.requests[1][0], "/v1/tasks/job:0/cancel")
            may_answer.set()
            answered = await self.next_answer()
            self.assertIsInstance(answered.outcome, TaskDone)
            async with asyncio.timeout(TIMEOUT_S):
                while upstream.open or self.client.retired:
                    await asyncio.sleep(0.001)
        self.assertEqual(self.client.endpoints, {})

    async def test_new_address_gets_new_connections(self):
        """Guards against tasks sent to the former address of an upstream."""
        async with (
            ScriptedUpstream(answer_task) as first,
            ScriptedUpstream(answer_task) as second,
        ):
            await self.run_start(self.build_start(first))
            await self.run_start(self.build_start(second))
            self.assertEqual(len(second.requests), 1)


if __name__ == "__main__":
    unittest.main()
