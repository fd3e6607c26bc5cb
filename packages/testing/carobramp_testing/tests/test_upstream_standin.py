"""Tests of the stand-in upstream, on which the proofs of the invariants rest."""

import asyncio
import os
import tempfile
import unittest

import aiohttp

from carobramp_testing.processes import Process, wait_for

MANY = 600
SLOTS = 64
LATE_MS = 200


class UpstreamStandInTests(unittest.IsolatedAsyncioTestCase):
    """The stand-in keeps true records and shows its faults."""

    async def asyncSetUp(self):
        """Start a stand-in that logs its starts."""
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.log = os.path.join(self.folder, "starts.log")
        arguments = ["-m", "carobramp_testing.standins.upstream"]
        arguments += ["--slots", str(SLOTS), "--log-starts", self.log]
        self.process = Process(arguments)
        self.addAsyncCleanup(self.process.kill)
        await self.process.start()
        host, port = self.process.addresses[0]
        self.url = f"http://{host}:{port}"
        self.session = await self.enterAsyncContext(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )

    async def run_task(self, task_id="a:0", run_ms=20):
        """Send a task; return status and body."""
        body = {
            "task_id": task_id,
            "service": "order-desk",
            "payload": {"run_ms": run_ms, "token": task_id},
            "run_ms": run_ms,
            "timeout_ms": 5000,
        }
        async with self.session.post(f"{self.url}/v1/tasks", json=body) as response:
            return response.status, await response.json()

    async def set_faults(self, **faults):
        """Set the faults."""
        async with self.session.post(f"{self.url}/faults", json=faults) as response:
            self.assertEqual(response.status, 200)

    async def record(self, task_id="a:0"):
        """Return the record of a task, or None."""
        async with self.session.get(f"{self.url}/records") as response:
            return (await response.json())["tasks"].get(task_id)

    def logged(self):
        """Return the task ids in the log of starts."""
        with open(self.log) as file:
            return [line.split()[0] for line in file]

    async def test_asked_by_many(self):
        """Guards against a stand-in that loses tasks or records under load."""
        ids = [f"a:{n}" for n in range(MANY)]
        answers = await asyncio.gather(*(self.run_task(task_id) for task_id in ids))
        for task_id, (status, body) in zip(ids, answers, strict=True):
            self.assertEqual(status, 200)
            wanted = {"task_id": task_id, "token": task_id}
            self.assertEqual(body["result"], wanted)
        self.assertEqual(sorted(self.logged()), sorted(ids))

    async def test_log_outlives_a_kill(self):
        """Guards against starts that are lost with a killed upstream."""
        call = asyncio.create_task(self.run_task(run_ms=60000))
        await wait_for(self.record)
        await self.process.kill()
        with self.assertRaises(aiohttp.ClientError):
            await call
        self.assertEqual(self.logged(), ["a:0"])

    async def test_second_request_is_recorded(self):
        """Guards against a stand-in that hides a duplicate start."""
        await self.run_task()
        await self.run_task()
        self.assertEqual((await self.record())["starts"], 2)
        self.assertEqual(self.logged(), ["a:0", "a:0"])

    async def test_cancel(self):
        """Guards against a cancel that does not stop its task."""
        call = asyncio.create_task(self.run_task(run_ms=60000))
        await wait_for(self.record)
        async with self.session.post(f"{self.url}/v1/tasks/a:0/cancel"):
            pass
        _, body = await call
        self.assertEqual(body["error"], "cancelled")
        record = await self.record()
        self.assertEqual((record["cancels"], record["stopped"]), (1, True))
        self.assertGreater(record["ended_at"], record["started_at"])

    async def test_refusals(self):
        """Guards against a refused task that is recorded as started."""
        for faults, error in (
            ({"refuse": True}, "busy"),
            ({"leaving": True}, "leaving"),
        ):
            await self.set_faults(**faults)
            status, body = await self.run_task()
            self.assertEqual((status, body["status"]), (503, "refused"))
            self.assertEqual(body["error"], error)
        record = await self.record()
        self.assertEqual((record["starts"], record["refused"]), (0, 2))

    async def test_lost_answers(self):
        """Guards against a fault that does not lose the answer of a started task."""
        for fault in ("close_after_read", "truncate"):
            with self.subTest(fault=fault):
                await self.set_faults(**{fault: True})
                with self.assertRaises(aiohttp.ClientError):
                    await self.run_task(fault)
                await wait_for(lambda name=fault: self.record(name))
                self.assertEqual((await self.record(fault))["starts"], 1)

    async def test_wrong_answers(self):
        """Guards against faults of answers that do not show."""
        await self.set_faults(other_task=True)
        _, body = await self.run_task()
        self.assertNotEqual(body["task_id"], "a:0")
        await self.set_faults(fail=True)
        _, body = await self.run_task("b:0")
        self.assertEqual(body["status"], "failed")
        await self.set_faults(report_leaving=True)
        _, body = await self.run_task("c:0")
        self.assertEqual((body["status"], body["leaving"]), ("done", True))

    async def test_slow_and_late(self):
        """Guards against delays that do not show."""
        await self.set_faults(slow=10)
        _, body = await self.run_task(run_ms=20)
        self.assertGreaterEqual(body["run_ms"], 200)
        await self.set_faults(late_ms=LATE_MS)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await self.run_task("b:0", run_ms=0)
        self.assertGreaterEqual(loop.time() - started, LATE_MS / 1000)

    async def test_second_answer(self):
        """Guards against a duplicate answer that is never sent."""
        await self.set_faults(twice=True)
        host, port = self.process.addresses[0]
        reader, writer = await asyncio.open_connection(host, port)
        self.addCleanup(writer.close)
        body = b'{"task_id": "a:0", "payload": {"run_ms": 0}}'
        head = f"POST /v1/tasks HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}"
        writer.write(head.encode() + b"\r\n\r\n" + body)

        async def two_answers():
            seen.extend(await reader.read(4096))
            return seen.count(b"HTTP/1.1 200 OK") == 2

        seen = bytearray()
        await wait_for(two_answers)


if __name__ == "__main__":
    unittest.main()
