"""Client of the upstreams against peers that misbehave."""

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
MAX_ANSWER_BYTES = 4096


class Peer:
    """Upstream that hands each request to a script.

    `script` gets the number of the request, its body and the writer; it returns
    whether the connection stays open.
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
        """Read one request and let the script answer it."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = 0
        for line in head.lower().split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.split(":")[1])
        data = await reader.readexactly(length)
        body = json.loads(data) if data else {}
        self.requests.append((head.split()[1], body))
        return await self.script(len(self.requests), body, writer)


def answer_bytes(task_id, http_status=200, **fields):
    """Build an HTTP answer."""
    fields = {"task_id": task_id, "status": "done", "run_ms": 1.0} | fields
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 {http_status} X\r\nContent-Type: application/json\r\n"
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


async def good(number, body, writer):
    """Answer a task."""
    writer.write(answer_bytes(body.get("task_id", ""), result=number, busy=3, slots=8))
    return True


class UpstreamClientTests(unittest.IsolatedAsyncioTestCase):
    """Every start gets exactly one outcome, and the right one."""

    async def asyncSetUp(self):
        """Start a client."""
        settings = vm_settings(
            "vm-0",
            "http://127.0.0.1:1",
            limits={"max_answer_bytes": MAX_ANSWER_BYTES},
        )
        self.metrics = Metrics()
        self.client = UpstreamClient(settings, self.metrics, Log("upstream", "vm-0"))
        self.answers: asyncio.Queue = asyncio.Queue()
        self.addAsyncCleanup(self.client.on_stop)

    def start_of(self, peer, index=0, timeout=TIMEOUT_S, **fields):
        """Build a start for a peer."""
        defaults = {
            "task_id": TaskId("job", index),
            "upstream": "up-0",
            "host": "127.0.0.1",
            "port": peer.port,
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
        """Return the outcome of one task at a peer with a script."""
        async with Peer(script) as peer:
            answered = await self.run_start(self.start_of(peer, **fields))
            self.assertEqual(len(peer.requests), 1)
        return answered.outcome

    async def test_a_good_answer(self):
        """Guards against a lost result or load report."""
        async with Peer(good) as peer:
            answered = await self.run_start(self.start_of(peer))
        self.assertEqual(answered.outcome, TaskDone(1, 1.0))
        self.assertEqual((answered.report.busy, answered.report.slots), (3, 8))

    async def test_a_request_is_not_sent_again_on_a_kept_connection(self):
        """Guards against a library that resends when a kept connection closes."""

        async def close_second(number, body, writer):
            if number == 1:
                return await good(number, body, writer)
            return False

        async with Peer(close_second) as peer:
            await self.run_start(self.start_of(peer, 0))
            answered = await self.run_start(self.start_of(peer, 1))
            self.assertIsInstance(answered.outcome, TaskOutcomeUnknown)
            after = await self.run_start(self.start_of(peer, 2))
            self.assertIsInstance(after.outcome, TaskOutcomeUnknown)
            ids = [body["task_id"] for _, body in peer.requests]
            self.assertEqual(ids, ["job:0", "job:1", "job:2"])
            self.assertEqual(peer.connections, 2)

    async def test_answers_without_a_usable_result(self):
        """Guards against a result taken from a broken answer."""
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
                outcome = await self.outcome_with(self.sends(data))
                self.assertIsInstance(outcome, TaskOutcomeUnknown)

    async def test_a_stray_answer_is_counted(self):
        """Guards against answers that cross between tasks unseen."""

        async def stray(number, body, writer):
            writer.write(answer_bytes("other:0"))
            return True

        outcome = await self.outcome_with(stray)
        self.assertIsInstance(outcome, TaskOutcomeUnknown)
        line = 'carobramp_wasted_messages{kind="stray_answer"} 1'
        self.assertIn(line, self.metrics.exposition())

    async def test_a_second_answer_does_not_reach_the_next_task(self):
        """Guards against a duplicate taken for the answer of another task."""

        async def twice(number, body, writer):
            writer.write(answer_bytes(body["task_id"], result=number) * 2)
            return True

        async with Peer(twice) as peer:
            for number in range(1, 4):
                answered = await self.run_start(self.start_of(peer, number))
                self.assertEqual(answered.outcome, TaskDone(number, 1.0))

    def sends(self, data):
        """Return a script that sends `data` and closes."""

        async def script(number, body, writer):
            writer.write(data)
            return False

        return script

    async def test_a_failed_task(self):
        """Guards against a failure taken for an unknown outcome."""
        data = answer_bytes("job:0", status="failed", error="no paper")
        outcome = await self.outcome_with(self.sends(data))
        self.assertEqual(outcome, TaskFailed("no paper", 1.0))

    async def test_explicit_refusals_are_certain(self):
        """Guards against a retry that is withheld after a certain refusal."""
        for error, reason in (
            ("busy", RetryReason.REFUSED_BUSY),
            ("leaving", RetryReason.REFUSED_LEAVING),
            ("anything", RetryReason.REFUSED_OTHER),
        ):
            data = answer_bytes("job:0", 503, status="refused", error=error)
            outcome = await self.outcome_with(self.sends(data))
            self.assertEqual(outcome, TaskNotStarted(reason, error))

    async def test_a_connection_that_is_refused_is_certain(self):
        """Guards against an unknown outcome of a task that was never sent."""
        async with Peer(good) as peer:
            pass
        answered = await self.run_start(self.start_of(peer))
        self.assertIsInstance(answered.outcome, TaskNotStarted)
        self.assertEqual(answered.outcome.reason, RetryReason.CONNECT_FAILED)

    async def test_a_time_out_after_the_request_is_unknown(self):
        """Guards against a retry of a task that runs."""

        async def silent(number, body, writer):
            await asyncio.Event().wait()

        outcome = await self.outcome_with(silent, timeout=0.2)
        self.assertIsInstance(outcome, TaskOutcomeUnknown)

    async def test_nothing_is_sent_after_the_deadline(self):
        """Guards against a start by a process that was paused."""
        async with Peer(good) as peer:
            start = self.start_of(peer, deadline=time.monotonic() - 1)
            answered = await self.run_start(start)
            self.assertEqual(peer.requests, [])
        self.assertIsInstance(answered.outcome, TaskNotStarted)

    async def test_connections_are_bounded(self):
        """Guards against more connections than the upstream takes."""

        async def slow(number, body, writer):
            await asyncio.sleep(0.01)
            return await good(number, body, writer)

        async with Peer(slow) as peer:
            for index in range(12):
                start = self.start_of(peer, index)
                self.client.start_task(start, self.answers.put_nowait)
            for _ in range(12):
                await self.next_answer()
            self.assertEqual(peer.most_open, 4)

    async def test_removed_upstreams_close_after_their_last_task(self):
        """Guards against cut-off tasks, and against connections that stay."""
        gate = asyncio.Event()

        async def gated(number, body, writer):
            if "task_id" in body:
                await gate.wait()
            return await good(number, body, writer)

        async with Peer(gated) as peer:
            start = self.start_of(peer)
            self.client.start_task(start, self.answers.put_nowait)
            async with asyncio.timeout(TIMEOUT_S):
                while not peer.requests:
                    await asyncio.sleep(0)
            self.client.keep_only(())
            cancel = CancelTask(start.task_id, "up-0", "127.0.0.1", peer.port)
            self.client.cancel_task(cancel)
            async with asyncio.timeout(TIMEOUT_S):
                while len(peer.requests) < 2:
                    await asyncio.sleep(0.001)
            self.assertEqual(peer.requests[1][0], "/v1/tasks/job:0/cancel")
            gate.set()
            answered = await self.next_answer()
            self.assertIsInstance(answered.outcome, TaskDone)
            async with asyncio.timeout(TIMEOUT_S):
                while peer.open or self.client.retired:
                    await asyncio.sleep(0.001)
        self.assertEqual(self.client.endpoints, {})

    async def test_a_new_address_gets_new_connections(self):
        """Guards against tasks sent to the former address of an upstream."""
        async with Peer(good) as first, Peer(good) as second:
            await self.run_start(self.start_of(first))
            await self.run_start(self.start_of(second))
            self.assertEqual(len(second.requests), 1)


if __name__ == "__main__":
    unittest.main()
