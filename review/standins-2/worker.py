"""Stand-in of a worker: it runs tasks under a lease and lists their ends."""

import asyncio
import json
import time

from aiohttp import web

HOLD_MAX_MS = 1000
STOP_S = 0.02
MAX_ENDS = 500


class Run:
    """One run of a task; times are of the steady clock of the script."""

    def __init__(self, task, number, spec, worker, seconds):
        self.task = task
        self.number = number
        self.spec = spec
        self.worker = worker
        self.seconds = seconds
        self.started_at = time.monotonic()
        self.ended_at = None
        self.how = ""

    def percent(self):
        if self.seconds <= 0:
            return 0
        return min(99, int(100 * (time.monotonic() - self.started_at) / self.seconds))


class Worker:
    """Worker on loopback that guards its capacity.

    The spec of a task is JSON with its `cpu` and its run time `run_ms`.
    """

    def __init__(self, name, service, zone, runs, cpu=16000, mem_mb=65536):
        self.name = name
        self.service = service
        self.zone = zone
        self.runs = runs
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - 5.0
        self.token = 0
        self.deadline_ms = 0
        self.running = {}
        self.timers = {}
        self.highest_ended = {}
        self.finished = []
        self.end_number = 0
        self.ended = asyncio.Event()
        self.lapse_timer = None
        self.runner = None
        self.address = ""
        self.up = False

    async def start(self, host):
        app = web.Application()
        app.router.add_post("/-/run-start", self.on_start)
        app.router.add_post("/-/run-stop", self.on_stop)
        app.router.add_post("/-/hold", self.on_hold)
        self.runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.01
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.up = True

    async def stop(self):
        """End at once, as a machine that loses power."""
        self.up = False
        for task in list(self.running):
            self.end(task, "lost", listed=False)
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    def entry(self):
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0},
            "labels": ["a", "r1-1"],
            "born": self.born,
            "seq": self.seq,
        }

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    def extend(self, deadline_ms):
        """Extend the lease, at most by `HOLD_MAX_MS` from now; never shorten it."""
        if deadline_ms is None:
            return
        longest = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))
        if self.lapse_timer is not None:
            self.lapse_timer.cancel()
        wait_s = max(0.0, (self.deadline_ms - self.clock_ms()) / 1000)
        loop = asyncio.get_running_loop()
        self.lapse_timer = loop.call_later(wait_s, self.lapse)

    def lapse(self):
        for task in list(self.running):
            self.end(task, "lapsed")

    def end(self, task, how, listed=True):
        run = self.running.pop(task, None)
        if run is None:
            return
        self.timers.pop(task).cancel()
        run.ended_at, run.how = time.monotonic(), how
        self.highest_ended[task] = max(run.number, self.highest_ended.get(task, 0))
        if listed:
            self.end_number += 1
            self.finished.append([self.end_number, task, run.number, how, ""])
            self.ended.set()

    def end_run(self, run, how):
        if self.running.get(run.task) is run:
            self.end(run.task, how)

    async def enter(self, request):
        """Check whom an order is for and its generation number."""
        body = await request.json()
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return body, web.Response(status=421)
        if body.get("fencing_token", 0) < self.token:
            return body, self.refuse("fence")
        self.token = body.get("fencing_token", 0)
        return body, None

    def refuse(self, reason):
        body = {"clock_ms": self.clock_ms(), "reason": reason}
        return web.json_response(body, status=409)

    async def on_start(self, request):
        body, refusal = await self.enter(request)
        if refusal is not None:
            return refusal
        if body["deadline_ms"] <= self.clock_ms():
            return self.refuse("late")
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        self.extend(body["deadline_ms"])
        if present is not None and present.number == number:
            return web.json_response({"clock_ms": self.clock_ms()})
        if number <= self.highest_ended.get(task, 0) or present is not None:
            return self.refuse("old")
        sizes = json.loads(body["spec"])
        used = sum(json.loads(run.spec)["cpu"] for run in self.running.values())
        if used + sizes["cpu"] > self.cpu:
            return self.refuse("room")
        run = Run(task, number, body["spec"], self.name, sizes["run_ms"] / 1000)
        self.runs.append(run)
        self.running[task] = run
        loop = asyncio.get_running_loop()
        self.timers[task] = loop.call_later(run.seconds, self.end_run, run, "done")
        return web.json_response({"clock_ms": self.clock_ms()})

    async def on_stop(self, request):
        body, refusal = await self.enter(request)
        if refusal is not None:
            return refusal
        task, number = body["task"], body["run"]
        self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.end_run, run, "stopped")
        return web.json_response({"clock_ms": self.clock_ms()})

    async def on_hold(self, request):
        body, refusal = await self.enter(request)
        if refusal is not None:
            return refusal
        acked = body.get("last_acked", 0)
        self.finished = [end for end in self.finished if end[0] > acked]
        self.extend(body.get("deadline_ms"))
        if body.get("wait_ms") and not self.finished:
            self.ended.clear()
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", run.percent(), json.loads(run.spec)["cpu"]]
            for run in self.running.values()
        ]
        answer = {
            "clock_ms": self.clock_ms(),
            "running": running,
            "finished": self.finished[:MAX_ENDS],
            "born": self.born,
        }
        return web.json_response(answer)
