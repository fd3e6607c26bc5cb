"""Stand-in upstream over HTTP.

Run as ``python -m carobramp_testing.standins.upstream --slots 8 --speeds 1,2``. It
runs tasks that last ``run_ms`` of their payload divided by its speed, and keeps a
record of each start. ``POST /faults`` sets faults, ``GET /records`` returns the
number of starts of each task.
"""

import argparse
import asyncio
import collections
import dataclasses
import time

from aiohttp import web

from carobramp_testing.standins.platform import serve

DEFAULT_RUN_MS = 50


@dataclasses.dataclass
class Faults:
    """Faults that the stand-in shows.

    Attributes
    ==========

    slow : factor on run times
    refuse : refuse every task
    close_after_read : close the connection after reading a request
    truncate : send half of the answer
    late_ms : wait before an answer, after the task ran
    twice : answer twice on the connection
    other_task : answer with another task's id
    fail : fail every task at once
    leaving : refuse new tasks as leaving
    """

    slow: float = 1.0
    refuse: bool = False
    close_after_read: bool = False
    truncate: bool = False
    late_ms: float = 0
    twice: bool = False
    other_task: bool = False
    fail: bool = False
    leaving: bool = False


class UpstreamStandIn:
    """Runs tasks in slots, in order of arrival."""

    def __init__(self, slots, speed):
        self.slots = slots
        self.speed = speed
        self.faults = Faults()
        self.starts: collections.Counter[str] = collections.Counter()
        self.start_times: dict[str, float] = {}
        self.busy = 0
        self.free_slots = asyncio.Semaphore(slots)
        self.cancels: dict[str, asyncio.Event] = {}
        self.messages: collections.Counter[str] = collections.Counter()

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_post("/v1/tasks", self.run_task)
        app.router.add_post("/v1/tasks/{task_id}/cancel", self.cancel_task)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_get("/records", self.get_records)
        return app

    async def set_faults(self, request):
        """Replace the faults."""
        self.faults = Faults(**await request.json())
        return web.json_response({})

    async def get_records(self, request):
        """Return starts by task, the times of the starts and message counts."""
        return web.json_response(
            {
                "starts": self.starts,
                "start_times": self.start_times,
                "messages": self.messages,
            }
        )

    async def run_task(self, request):
        """Run one task and answer it."""
        body = await request.json()
        self.messages["task"] += 1
        task_id = body["task_id"]
        if self.faults.leaving or self.faults.refuse:
            error = "leaving" if self.faults.leaving else "busy"
            return self.reply(task_id, 503, status="refused", error=error)
        self.busy += 1
        try:
            outcome = await self.occupy_slot(task_id, body)
        finally:
            self.busy -= 1
        return await self.reply_with_faults(request, task_id, outcome)

    async def occupy_slot(self, task_id, body):
        """Wait for a slot and run the task in it."""
        async with self.free_slots:
            self.starts[task_id] += 1
            self.start_times[task_id] = time.time()
            if self.faults.fail:
                return {"status": "failed", "error": "fails everything"}
            return await self.work(task_id, body["payload"])

    async def work(self, task_id, payload):
        """Let the run time of a task pass, unless it is cancelled."""
        payload = payload if isinstance(payload, dict) else {}
        run_ms = payload.get("run_ms", DEFAULT_RUN_MS)
        run_ms = run_ms * self.faults.slow / self.speed
        cancel = self.cancels.setdefault(task_id, asyncio.Event())
        started = time.monotonic()
        try:
            async with asyncio.timeout(run_ms / 1000):
                await cancel.wait()
                return {"status": "failed", "error": "cancelled"}
        except TimeoutError:
            pass
        finally:
            del self.cancels[task_id]
        if payload.get("fail"):
            return {"status": "failed", "error": "the payload asks for it"}
        elapsed = (time.monotonic() - started) * 1000
        return {"status": "done", "result": {"task_id": task_id}, "run_ms": elapsed}

    async def reply_with_faults(self, request, task_id, outcome):
        """Answer a task that ran, with the faults in force."""
        faults = self.faults
        if faults.late_ms:
            await asyncio.sleep(faults.late_ms / 1000)
        if faults.close_after_read:
            request.transport.close()
            return web.Response(status=500)
        if faults.other_task:
            task_id = "other:0"
        response = self.reply(task_id, 200, **outcome)
        if faults.truncate or faults.twice:
            return await self.send_raw(request, response, faults)
        return response

    async def send_raw(self, request, response, faults):
        """Send half an answer, or two answers, and close the connection."""
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(response.body)}\r\n\r\n"
        ).encode()
        whole = head + response.body
        if faults.truncate:
            request.transport.write(whole[: -len(response.body) // 2])
        else:
            request.transport.write(whole + whole)
        request.transport.close()
        return web.Response(status=500)

    def reply(self, task_id, http_status, **fields):
        """Build an answer with the load report."""
        self.messages["answer"] += 1
        report = {
            "task_id": task_id,
            "busy": self.busy,
            "slots": self.slots,
            "leaving": self.faults.leaving,
        }
        return web.json_response(report | fields, status=http_status)

    async def cancel_task(self, request):
        """Stop a running task."""
        self.messages["cancel"] += 1
        cancel = self.cancels.get(request.match_info["task_id"])
        if cancel is not None:
            cancel.set()
        return web.json_response({})


async def serve_upstreams(host, slots, speeds):
    """Serve one stand-in for each speed, each on a port of its own."""
    apps = [UpstreamStandIn(slots, speed).application() for speed in speeds]
    await serve(apps, host, 0)


def main():
    """Run the stand-ins."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--speeds", default="1.0", help="one upstream for each")
    args = parser.parse_args()
    speeds = [float(speed) for speed in args.speeds.split(",")]
    asyncio.run(serve_upstreams(args.host, args.slots, speeds))


if __name__ == "__main__":
    main()
