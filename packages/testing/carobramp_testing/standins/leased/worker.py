"""A leased upstream: it runs tasks under a lease and lists their ends."""

import asyncio
import dataclasses
import itertools
import time

from aiohttp import web

HOLD_MAX_MS = 1000
STOP_S = 0.02
# Time from the start of a task that crashes its worker to the crash.
CRASH_DELAY_S = 0.01
CRASH_DOWN_S = 3.0
BIRTHS = itertools.count(1_700_000_000_000)


@dataclasses.dataclass
class TaskRun:
    """One run of a task, with its times on the clock of the test."""

    task: str
    number: int
    cpu: int
    started_at: float
    ended_at: float | None = None
    how: str = ""
    seconds: float = 0.0

    def percent(self):
        """Return the part of the work that is done; none of a run that hangs."""
        if not self.seconds:
            return 0
        done = (time.monotonic() - self.started_at) / self.seconds
        return min(99, int(100 * done))


@dataclasses.dataclass
class WorkerFaults:
    """Misbehaviour of a worker, set by tests.

    Parameters
    ==========

    fail : every run fails at once
    hang : runs never end
    silent : orders are neither answered nor carried out
    late_s : orders get no answer and are carried out after this time
    lose_orders : start and stop orders are neither answered nor carried out
    """

    fail: bool = False
    hang: bool = False
    silent: bool = False
    late_s: float = 0.0
    lose_orders: bool = False


class Worker:
    """Worker on loopback; `runs` has every run that it ever started.

    Parameters
    ==========

    task_sizes : returns cpu and run time in seconds of a task from its spec
    crashes : returns whether a task crashes its worker, from its spec

    Attributes
    ==========

    cpu : cores in thousandths; they may change while the worker runs
    enforces_capacity : whether a start that does not fit is refused
    crashed_names : names of crashed lives whose entries are still in the store
    crash_count : number of crashes
    """

    def __init__(
        self,
        name,
        service,
        zone,
        task_sizes,
        crashes=lambda spec: False,
        cpu=16000,
        speed=1.0,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.task_sizes = task_sizes
        self.crashes = crashes
        self.up = True
        self.crash_count = 0
        self.crashed_names: list[str] = []
        self.restarting: asyncio.Task | None = None
        self.machine = name
        self.cpu = cpu
        self.enforces_capacity = True
        self.speed = speed
        self.state = "ready"
        self.faults = WorkerFaults()
        self.runs: list[TaskRun] = []
        self.seq = 0
        self.reset()
        self.runner: web.AppRunner | None = None
        # Address at which daemons reach this worker: its own one or that of a relay.
        self.address = ""
        self.port = 0

    def reset(self):
        """Start a new life: nothing runs, and no token was seen."""
        self.born = next(BIRTHS)
        self.zero = time.monotonic() - 5.0
        self.token = 0
        self.deadline_ms = 0.0
        self.running: dict[str, TaskRun] = {}
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.stopped: dict[str, int] = {}
        self.finished: list[list] = []
        self.number = 0
        self.ended = asyncio.Event()

    async def start(self, port=0):
        """Listen."""
        app = web.Application()
        app.router.add_post("/-/run-start", self.on_start)
        app.router.add_post("/-/run-stop", self.on_stop)
        app.router.add_post("/-/hold", self.on_hold)
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=CRASH_DELAY_S
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", port)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        self.address = self.address or f"127.0.0.1:{self.port}"
        return self

    async def crash_and_restart(self):
        """Crash, and listen again under another name after a while."""
        await asyncio.sleep(CRASH_DELAY_S)
        self.crash_count += 1
        self.up = False
        await self.stop_serving()
        self.crashed_names.append(self.name)
        await asyncio.sleep(CRASH_DOWN_S)
        self.reset()
        self.name = f"{self.machine}-{self.crash_count}"
        await self.start(self.port)
        self.up = True

    async def stop(self):
        """Stop for good."""
        if self.restarting is not None:
            self.restarting.cancel()
        await self.stop_serving()

    async def stop_serving(self):
        """End every run without listing it, and close all connections."""
        for task in list(self.running):
            self.end(task, "crashed", listed=False)
        if self.runner is not None:
            await self.runner.cleanup()

    def entry(self):
        """Return the entry of the list of servers."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpus": 0},
            "labels": ["a", "r1-1"],
            "born": self.born,
            "seq": self.seq,
        }

    def clock_ms(self):
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.zero) * 1000)

    def extend(self, body):
        """Extend the lease as far as the worker allows."""
        wanted = body.get("deadline_ms")
        if wanted is None:
            return
        latest = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(wanted, latest))
        delay_s = (self.deadline_ms - self.clock_ms()) / 1000
        asyncio.get_running_loop().call_later(max(0.0, delay_s), self.lapse, self.born)

    def lapse(self, born):
        """End everything if the lease is over."""
        if born == self.born and self.clock_ms() >= self.deadline_ms:
            for task in list(self.running):
                self.end(task, "lapsed")

    def end(self, task, how, listed=True):
        """End a run."""
        run = self.running.pop(task, None)
        if run is None:
            return
        self.timers.pop(task).cancel()
        run.ended_at, run.how = time.monotonic(), how
        if listed:
            self.number += 1
            self.finished.append([self.number, task, run.number, how, ""])
            self.ended.set()

    async def enter(self, request, order=False):
        """Carry out the faults; return the body, and a refusal or None.

        `order` tells a start or stop order from a poll.
        """
        body = await request.json()
        if self.faults.silent or (order and self.faults.lose_orders):
            await asyncio.Event().wait()
        if self.faults.late_s:
            await asyncio.sleep(self.faults.late_s)
        if request.headers.get("Expect-Instance") != self.name:
            raise web.HTTPMisdirectedRequest
        if body.get("fencing_token", 0) < self.token:
            return body, self.refuse("fence")
        self.token = body.get("fencing_token", 0)
        return body, None

    def refuse(self, reason):
        """Refuse an order."""
        answer = {"clock_ms": self.clock_ms(), "reason": reason}
        return web.json_response(answer, status=409)

    def accept(self):
        """Accept an order."""
        return web.json_response({"clock_ms": self.clock_ms()})

    async def on_start(self, request):
        """Start a run."""
        body, refusal = await self.enter(request, order=True)
        if refusal:
            return refusal
        if body.get("deadline_ms", 0) <= self.clock_ms():
            return self.refuse("late")
        self.extend(body)
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            return self.accept()
        if number <= self.stopped.get(task, 0):
            return self.refuse("old")
        cpu, seconds = self.task_sizes(body["spec"])
        used = sum(run.cpu for run in self.running.values())
        if self.enforces_capacity and used + cpu > self.cpu:
            return self.refuse("room")
        run = TaskRun(task, number, cpu, time.monotonic())
        self.runs.append(run)
        self.running[task] = run
        self.arm(task, seconds / self.speed)
        if self.crashes(body["spec"]) and self.up:
            self.up = False
            self.restarting = asyncio.create_task(self.crash_and_restart())
        return self.accept()

    def arm(self, task, seconds):
        """Let a run end in time, as the faults allow."""
        how = "failed" if self.faults.fail else "done"
        delay = 0.0 if self.faults.fail else seconds
        if self.faults.hang:
            delay = 3600.0
        else:
            self.running[task].seconds = seconds
        loop = asyncio.get_running_loop()
        self.timers[task] = loop.call_later(delay, self.end, task, how)

    async def on_stop(self, request):
        """Stop a run, or refuse it from now on."""
        body, refusal = await self.enter(request, order=True)
        if refusal:
            return refusal
        task, number = body["task"], body["run"]
        self.stopped[task] = max(number, self.stopped.get(task, 0))
        present = self.running.get(task)
        if present is not None and present.number <= number:
            asyncio.get_running_loop().call_later(STOP_S, self.end, task, "stopped")
        return self.accept()

    async def on_hold(self, request):
        """Renew the lease and return both lists."""
        body, refusal = await self.enter(request)
        if refusal:
            return refusal
        acked = body.get("last_acked", 0)
        self.finished = [end for end in self.finished if end[0] > acked]
        self.extend(body)
        if body.get("wait_ms") and not self.finished:
            self.ended.clear()
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", run.percent()] for run in self.running.values()
        ]
        answer = {
            "clock_ms": self.clock_ms(),
            "running": running,
            "finished": self.finished[:500],
            "born": self.born,
        }
        return web.json_response(answer)
