"""Planned stops of real entry VMs under load."""

import asyncio
import itertools
import signal
import unittest

import aiohttp
from aiohttp import web

from carobramp_schema import encode
from carobramp_testing.builders import first_ticket, job_request
from carobramp_testing.commands import carobramp
from carobramp_testing.processes import HTTP_OK, Deployment, wait_for

VM = "tilburg-0"
OTHER = "tilburg-1"
NOTICE_MS = 600
LONG_MS = 1500
BODY_TIMEOUT_MS = 500
ANSWER_TIMEOUT_S = 10
SENT_EVERY_S = 0.01
POLL_EVERY_S = 0.05
TAIL_JOBS = 50
# Jobs that a run sends at least, however slowly the machine sends them.
MIN_JOBS = 101
HTTP_UNAVAILABLE = 503
LARGE_RESULT = "x" * 900_000
LARGE_TASKS = 12
READ_BYTES = 65536
READ_PAUSE_S = 0.005


class DrainCase(unittest.IsolatedAsyncioTestCase):
    """Starts entry VMs with a notice period."""

    async def start(self, vms_per_zone=1, **sections):
        """Start a deployment of one zone."""
        settings = {"drain": {"drain_notice_ms": NOTICE_MS}} | sections
        deployment = Deployment(
            vms_per_zone=vms_per_zone, speeds=(1.0, 1.0), settings=settings
        )
        await self.enterAsyncContext(deployment)
        return deployment

    async def readiness(self, deployment):
        """Return the status of /readyz."""
        url = f"{deployment.url(VM)}/readyz"
        async with deployment.session.get(url) as response:
            return response.status

    async def wait_running(self, deployment, jobs=1):
        """Wait until the VM has so many jobs under way."""

        async def running():
            url = f"{deployment.url(VM)}/v1/status"
            return (await deployment.get_json(url))["jobs"] >= jobs

        await wait_for(running)

    async def wait_refusing(self, deployment):
        """Wait until the VM refuses new jobs."""

        async def refusing():
            url = f"{deployment.url(VM)}/v1/status"
            return not (await deployment.get_json(url))["accepting"]

        await wait_for(refusing)

    async def wait_sent(self, jobs, count):
        """Wait until so many jobs were sent."""

        async def sent():
            return len(jobs) >= count

        await wait_for(sent)

    async def wait_closed(self, host, port):
        """Wait until nothing listens on a port."""

        async def closed():
            try:
                _, writer = await asyncio.open_connection(host, port)
            except ConnectionRefusedError:
                return True
            writer.close()
            return False

        await wait_for(closed)


class SignalTests(DrainCase):
    """SIGTERM cuts off no request."""

    async def test_sigterm_under_load_behind_a_balancer(self):
        """Guards against requests that are cut off or refused by a planned stop."""
        deployment = await self.start(vms_per_zone=2)
        ready = {VM: True, OTHER: True}
        stop = asyncio.Event()

        async def poll_readiness():
            while not stop.is_set():
                if ready[VM] and await self.readiness(deployment) != HTTP_OK:
                    ready[VM] = False
                await asyncio.sleep(POLL_EVERY_S)

        jobs = []

        async def send_jobs():
            for vm in itertools.cycle((VM, OTHER)):
                if stop.is_set():
                    return
                target = vm if ready[vm] else OTHER
                call = deployment.submit(target, job_request(tasks=2, run_ms=50))
                jobs.append(asyncio.create_task(call))
                await asyncio.sleep(SENT_EVERY_S)

        async with asyncio.TaskGroup() as group:
            group.create_task(poll_readiness())
            group.create_task(send_jobs())
            await self.wait_running(deployment, 2)
            deployment.vms[VM].signal(signal.SIGTERM)
            self.assertEqual(await deployment.vms[VM].wait(), 0)
            await self.wait_sent(jobs, max(len(jobs) + TAIL_JOBS, MIN_JOBS))
            stop.set()
        answers = await asyncio.gather(*jobs)
        self.assertEqual({status for status, _ in answers}, {HTTP_OK})
        self.assertGreaterEqual(len(answers), MIN_JOBS)
        self.assertEqual(set((await deployment.starts()).values()), {1})

    async def test_caller_that_ignores_readiness(self):
        """Guards against cut connections for callers without a balancer."""
        deployment = await self.start()
        jobs = []
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:

            async def send():
                request = job_request(run_ms=50)
                return await deployment.submit(VM, request, session=session)

            def refused():
                done = (job for job in jobs if job.done())
                return any(job.result()[0] != HTTP_OK for job in done)

            while not refused():
                jobs.append(asyncio.create_task(send()))
                if len(jobs) == 20:
                    deployment.vms[VM].signal(signal.SIGTERM)
                await asyncio.sleep(SENT_EVERY_S)
            answers = await asyncio.gather(*jobs)
        self.assertEqual(await deployment.vms[VM].wait(), 0)
        refusals = [body for status, body in answers if status != HTTP_OK]
        self.assertEqual({body["reason"] for body in refusals}, {"draining"})
        self.assertEqual({body["not_run"] for body in refusals}, {True})
        starts = await deployment.starts()
        self.assertEqual(len(starts), len(answers) - len(refusals))

    async def test_further_signals(self):
        """Guards against a second signal that ends the process at once."""
        deployment = await self.start()
        job = asyncio.create_task(deployment.submit(VM, job_request(run_ms=LONG_MS)))
        await self.wait_running(deployment)
        process = deployment.vms[VM]
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
            process.signal(number)
            await asyncio.sleep(POLL_EVERY_S)
        while process.child.returncode is None:
            process.signal(signal.SIGTERM)
            await asyncio.sleep(SENT_EVERY_S)
        status, body = await job
        self.assertEqual(status, HTTP_OK, body)
        self.assertEqual(await process.wait(), 0)

    async def test_body_that_never_comes(self):
        """Guards against one stalled caller that holds up the stop for an hour."""
        limits = {"body_timeout_ms": BODY_TIMEOUT_MS}
        deployment = await self.start(limits=limits)
        host, port = deployment.vms[VM].addresses[0]
        for path in ("POST /v1/jobs", "PUT /v1/tickets/2"):
            reader, writer = await asyncio.open_connection(host, port)
            self.addCleanup(writer.close)
            head = f"{path} HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
            writer.write(head.encode())
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                self.assertIn(b" 408 ", await reader.readline())
        reader, writer = await asyncio.open_connection(host, port)
        self.addCleanup(writer.close)
        writer.write(head.encode())
        deployment.vms[VM].signal(signal.SIGTERM)
        self.assertEqual(await deployment.vms[VM].wait(), 0)

    async def test_sigint(self):
        """Guards against a stop from the terminal that leaves a traceback."""
        deployment = await self.start()
        deployment.vms[VM].signal(signal.SIGINT)
        self.assertEqual(await deployment.vms[VM].wait(), 0)


class CommandTests(DrainCase):
    """The operators' drain has the same steps."""

    async def test_steps(self):
        """Guards against a drain that refuses resubmissions or loses a job."""
        deployment = await self.start()
        key, unused = [await deployment.new_id(VM) for _ in range(2)]
        request = job_request(run_ms=NOTICE_MS + LONG_MS)
        job = asyncio.create_task(deployment.submit(VM, request, key))
        await self.wait_running(deployment)
        done = await carobramp(f"--url={deployment.url(VM)}", "drain")
        self.assertEqual(done.status, 0, done)
        self.assertEqual(await self.readiness(deployment), HTTP_UNAVAILABLE)
        await self.wait_refusing(deployment)
        for new_key in ("", unused):
            status, body = await deployment.submit(VM, job_request(), new_key)
            self.assertEqual(status, HTTP_UNAVAILABLE)
            self.assertEqual((body["reason"], body["not_run"]), ("draining", True))
        again = asyncio.create_task(deployment.submit(VM, request, key))
        first, second = await asyncio.gather(job, again)
        self.assertEqual(first[0], HTTP_OK, first)
        self.assertEqual(first, second)
        self.assertEqual(await deployment.vms[VM].wait(), 0)
        self.assertEqual(list((await deployment.starts()).values()), [1])

    async def test_job_accepted_during_the_notice(self):
        """Guards against refusals before the balancer knows of the stop."""
        deployment = await self.start()
        url = f"{deployment.url(VM)}/v1/drain"
        body = await deployment.post_json(url, {})
        self.assertTrue(body["draining"])
        status, body = await deployment.submit(VM, job_request())
        self.assertEqual(status, HTTP_OK, body)
        self.assertEqual(await deployment.vms[VM].wait(), 0)


class SlowReaderTests(DrainCase):
    """An answer counts as written when the kernel has all of it."""

    async def test_large_answer_to_a_slow_reader(self):
        """Guards against an answer whose end is lost with the process."""
        port = await self.start_large_upstream()
        deployment = await self.start()
        ticket = first_ticket([("tilburg", "127.0.0.1", port)], service="large")
        change = ticket.upstreams[0]
        url = f"{deployment.url(VM)}/v1/tickets/2"
        ticket = {
            "number": 2,
            "author": "operator",
            "services": [ticket.services[0]],
            "upstreams": [{"name": "large", "based_on": 0, "state": change.state}],
        }
        async with deployment.session.put(url, data=encode(ticket)) as response:
            self.assertEqual(response.status, HTTP_OK, await response.text())
        data = await self.read_slowly(deployment)
        head, _, body = data.partition(b"\r\n\r\n")
        self.assertIn(b"200 OK", head)
        self.assertIn(f"Content-Length: {len(body)}".encode(), head)
        self.assertEqual(await deployment.vms[VM].wait(), 0)

    async def start_large_upstream(self):
        """Serve an upstream with large results; return its port."""

        async def run_task(request):
            body = await request.json()
            answer = {"task_id": body["task_id"], "status": "done"}
            return web.json_response(answer | {"result": LARGE_RESULT})

        app = web.Application()
        app.router.add_post("/v1/tasks", run_task)
        runner = web.AppRunner(app)
        self.addAsyncCleanup(runner.cleanup)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return runner.addresses[0][1]

    async def read_slowly(self, deployment):
        """Submit a job, stop the VM before reading, and read to the end."""
        host, port = deployment.vms[VM].addresses[0]
        reader, writer = await asyncio.open_connection(host, port)
        body = encode(job_request(tasks=LARGE_TASKS, service="large"))
        head = (
            "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        start = await reader.readuntil(b"\r\n\r\n")
        deployment.vms[VM].signal(signal.SIGTERM)
        await self.wait_closed(host, port)
        data = start
        while chunk := await reader.read(READ_BYTES):
            data += chunk
            await asyncio.sleep(READ_PAUSE_S)
        writer.close()
        return data


if __name__ == "__main__":
    unittest.main()
