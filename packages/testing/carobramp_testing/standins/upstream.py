"""Stand-in upstream over HTTP.

Run as ``python -m carobramp_testing.standins.upstream --slots 8 --speeds 1,2``. It
runs tasks that last ``run_ms`` of their payload divided by its speed, and keeps a
record of each task. ``POST /faults`` sets faults, ``GET /records`` returns the
records. With ``--log-starts`` each start is also written to a file, so that a killed
stand-in loses none.
"""

import argparse
import asyncio
import collections
import dataclasses
import functools
import os
import time

from aiohttp import web

from carobramp_testing.standins.platform import serve

DEFAULT_RUN_MS = 50
SECOND_ANSWER_S = 0.01


@dataclasses.dataclass
class Faults:
    """Faults that the stand-in shows.

    Attributes
    ==========

    slow : factor on run times
    refuse : refuse every task
    close_after_read : close the connection after reading a request, then run it
    truncate : send half of the answer
    late_ms : wait before an answer, after the task ran
    twice : send the answer once more, later, on the same open connection
    other_task : answer with another task's id
    fail : fail every task at once
    leaving : refuse new tasks as leaving
    report_leaving : state in answers that it is leaving, but run new tasks
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
    report_leaving: bool = False


@dataclasses.dataclass
class TaskRecord:
    """What happened to one task here; times are seconds since the epoch.

    `last_request_at` is the time of the last request for the task, also of a
    refused one. `stopped` states that a cancel ended the task early.
    """

    starts: int = 0
    refused: int = 0
    cancels: int = 0
    last_request_at: float = 0.0
    started_at: float = 0.0
    ended_at: float = 0.0
    stopped: bool = False


class UpstreamStandIn:
    """Runs tasks in slots, in order of arrival.

    `log_starts` is called with the id of each task and the time of its request
    before the task runs.
    """

    def __init__(self, slots, speed, log_starts=None):
        self.slots = slots
        self.speed = speed
        self.faults = Faults()
        self.log_starts = log_starts
        self.tasks: dict[str, TaskRecord] = collections.defaultdict(TaskRecord)
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
        """Return the record of each task and message counts."""
        started = {key: task for key, task in self.tasks.items() if task.starts}
        return web.json_response(
            {
                "starts": {key: task.starts for key, task in started.items()},
                "start_times": {key: task.started_at for key, task in started.items()},
                "tasks": {k: dataclasses.asdict(t) for k, t in self.tasks.items()},
                "messages": self.messages,
            }
        )

    async def run_task(self, request):
        """Run one task and answer it."""
        body = await request.json()
        self.messages["task"] += 1
        task_id = body["task_id"]
        task = self.tasks[task_id]
        task.last_request_at = time.time()
        if self.faults.leaving or self.faults.refuse:
            task.refused += 1
            error = "leaving" if self.faults.leaving else "busy"
            return self.reply(task_id, 503, status="refused", error=error)
        if self.faults.close_after_read:
            request.transport.close()
        self.busy += 1
        try:
            outcome = await self.occupy_slot(task_id, body)
        finally:
            self.busy -= 1
        return await self.reply_with_faults(request, task_id, outcome)

    async def occupy_slot(self, task_id, body):
        """Wait for a slot and run the task in it."""
        async with self.free_slots:
            task = self.tasks[task_id]
            task.starts += 1
            task.started_at = time.time()
            if self.log_starts is not None:
                self.log_starts(task_id, task.last_request_at)
            if self.faults.fail:
                return {"status": "failed", "error": "fails everything"}
            outcome = await self.work(task_id, body["payload"])
            task.ended_at = time.time()
            return outcome

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
                self.tasks[task_id].stopped = True
                return {"status": "failed", "error": "cancelled"}
        except TimeoutError:
            pass
        finally:
            self.cancels.pop(task_id, None)
        if payload.get("fail"):
            return {"status": "failed", "error": "the payload asks for it"}
        elapsed = (time.monotonic() - started) * 1000
        result = {"task_id": task_id}
        if "token" in payload:
            result["token"] = payload["token"]
        return {"status": "done", "result": result, "run_ms": elapsed}

    async def reply_with_faults(self, request, task_id, outcome):
        """Answer a task that ran, with the faults in force."""
        faults = self.faults
        if faults.late_ms:
            await asyncio.sleep(faults.late_ms / 1000)
        if request.transport is None:
            return web.Response(status=500)
        if faults.other_task:
            task_id = "other:0"
        response = self.reply(task_id, 200, **outcome)
        whole = raw_answer(response)
        if faults.truncate:
            request.transport.write(whole[: -len(response.body) // 2])
            request.transport.close()
        if faults.twice:
            loop = asyncio.get_running_loop()
            loop.call_later(SECOND_ANSWER_S, send_again, request.transport, whole)
        return response

    def reply(self, task_id, http_status, **fields):
        """Build an answer with the load report."""
        self.messages["answer"] += 1
        report = {
            "task_id": task_id,
            "busy": self.busy,
            "slots": self.slots,
            "leaving": self.faults.leaving or self.faults.report_leaving,
        }
        return web.json_response(report | fields, status=http_status)

    async def cancel_task(self, request):
        """Stop a running task."""
        self.messages["cancel"] += 1
        self.tasks[request.match_info["task_id"]].cancels += 1
        cancel = self.cancels.get(request.match_info["task_id"])
        if cancel is not None:
            cancel.set()
        return web.json_response({})


def raw_answer(response):
    """Return the bytes of an answer with its head."""
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(response.body)}\r\n\r\n"
    )
    return head.encode() + response.body


def send_again(transport, whole):
    """Send an answer a second time, if the connection is still open."""
    if not transport.is_closing():
        transport.write(whole)


def start_log(path):
    """Return a function that appends starts to the file at `path`.

    A line has the task id, the index of the upstream and the times of the request
    and the start.
    """
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def append(index, task_id, received_at):
        line = f"{task_id} {index} {received_at:.6f} {time.time():.6f}\n"
        os.write(file, line.encode())

    return append


async def serve_upstreams(host, slots, speeds, ports, log_starts):
    """Serve one stand-in for each speed, each on a port of its own."""
    apps = []
    for index, speed in enumerate(speeds):
        log = functools.partial(log_starts, index) if log_starts else None
        apps.append(UpstreamStandIn(slots, speed, log).application())
    await serve(apps, host, ports)


def main():
    """Run the stand-ins."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--speeds", default="1.0", help="one upstream for each")
    parser.add_argument("--ports", default="", help="one for each; else any")
    parser.add_argument("--log-starts", default="", help="file for the starts")
    args = parser.parse_args()
    speeds = [float(speed) for speed in args.speeds.split(",")]
    ports = [int(port) for port in args.ports.split(",") if port]
    log = start_log(args.log_starts) if args.log_starts else None
    ports = ports or [0] * len(speeds)
    asyncio.run(serve_upstreams(args.host, args.slots, speeds, ports, log))


if __name__ == "__main__":
    main()
