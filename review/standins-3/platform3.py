"""Stand-in of the platform: store, workers, daemons and clients on loopback.

Written from PROTOCOL.md and DEPLOY.md for the review; it imports nothing of the
project. Everything but the daemons runs in the process of the script.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOLD_MAX_MS = 1000
STOP_MS = 50
HEARTBEAT_S = 1.5
TX_S = 0.004
RESTART_S = 0.5
HOST = "shop.example"
SERVICE = "order-desk"


class Record:
    """Lines of record.txt, each with the seconds since the start of the script."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.start = time.monotonic()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.start:9.3f}  {text}")

    def write(self):
        """Write the lines; the task ID.0.0.N stands as ID/N, which looks like no address."""
        self.path.write_text("\n".join(self.lines).replace(".0.0.", "/") + "\n")


class Store:
    """The platform's metadata store, form "table"."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.ver = 0
        self.changed = asyncio.Condition()
        self.address = ""

    async def start(self):
        app = web.Application()
        app.router.add_post("/-/rows-tx", self.on_tx)
        app.router.add_get("/-/rows-get", self.on_get)
        app.router.add_get("/-/rows-feed", self.on_feed)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        await self.runner.cleanup()

    async def apply(self, puts, removes=()):
        """Apply one transaction; `puts` are (table, part, key, bytes)."""
        async with self.changed:
            self.ver += 1
            for table, part, key, value in puts:
                row = {"table": table, "part": part, "key": key, "ver": self.ver,
                       "value": base64.b64encode(value).decode()}
                self.rows[table, part, key] = row
                self.history.append(row)
            for table, part, key in removes:
                if self.rows.pop((table, part, key), None) is not None:
                    self.history.append({"table": table, "part": part, "key": key,
                                         "ver": self.ver, "deleted": True})
            self.changed.notify_all()

    async def put(self, table, key, body):
        await self.apply([(table, "", key, json.dumps(body).encode())])

    async def remove(self, table, key):
        await self.apply([], [(table, "", key)])

    def reply(self, **body):
        now_ms = int(time.monotonic() * 1000)
        return web.json_response({**body, "ver": self.ver, "now_ms": now_ms})

    async def on_tx(self, request):
        body = await request.json()
        await asyncio.sleep(TX_S)
        keys = [(r["table"], r.get("part", ""), r["key"]) for r in body.get("expected_rev", [])]
        wanted = [r["ver"] for r in body.get("expected_rev", [])]
        present = [self.rows.get(key) for key in keys]
        if any((row["ver"] if row else 0) != ver for row, ver in zip(present, wanted)):
            return web.json_response(
                {"rows": [row for row in present if row], "ver": self.ver}, status=412)
        puts = [(r["table"], r.get("part", ""), r["key"], base64.b64decode(r["value"]))
                for r in body.get("puts", [])]
        removes = [(r["table"], r.get("part", ""), r["key"]) for r in body.get("remove", [])]
        if any(item[0] in ("op", "servers") for item in [*puts, *removes]):
            return web.Response(status=403)
        await self.apply(puts, removes)
        return self.reply()

    async def on_get(self, request):
        query = request.query
        table, part = query["table"], query.get("part", "")
        limit = min(500, int(query.get("limit", 500)))
        rows = sorted((row for (t, p, k), row in self.rows.items()
                       if (t, p) == (table, part) and k >= query.get("from", "")
                       and (not query.get("target") or k < query["target"])),
                      key=lambda row: row["key"].encode())
        return self.reply(rows=rows[:limit], has_more=len(rows) > limit)

    def changes(self, table, after):
        newest = {(row["part"], row["key"]): row for row in self.history
                  if row["ver"] > after and row["table"] == table}
        return sorted(newest.values(), key=lambda row: row["ver"])

    async def on_feed(self, request):
        table, after = request.query["table"], int(request.query["after"])
        try:
            async with asyncio.timeout(int(request.query.get("wait_ms", 0)) / 1000):
                async with self.changed:
                    while not self.changes(table, after):
                        await self.changed.wait()
        except TimeoutError:
            pass
        return self.reply(rows=self.changes(table, after))


@dataclasses.dataclass
class TaskRun:
    task: str
    run: int
    spec: str
    size: dict
    worker: str
    life: int
    started: float
    ended: float | None = None
    how: str = ""
    capacity: dict = dataclasses.field(default_factory=dict)


class Worker:
    """A worker; the spec of a job is JSON with `ms`, `cpu`, `mem_mb` and `gpus`."""

    def __init__(self, store, record, name, zone, cpu=16000, mem_mb=32768, guards=True,
                 host="127.0.0.1", labels=("a", "r1-1")):
        self.store, self.record = store, record
        self.name, self.zone, self.guards, self.host = name, zone, guards, host
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpus": 0}
        self.labels = list(labels)
        self.port, self.life, self.seq = 0, 0, 0
        self.state, self.up = "ready", False
        self.runs = []
        self.holds = 0
        self.beat_task = None

    async def start(self):
        """Begin a life: nothing runs, and no token was seen."""
        self.life += 1
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - 1.0
        self.token, self.deadline, self.number, self.seq = 0, 0.0, 0, 0
        self.running, self.finished, self.highest, self.timers = {}, [], {}, {}
        self.end_event = asyncio.Event()
        app = web.Application()
        app.router.add_post("/-/run-start", self.on_start)
        app.router.add_post("/-/run-stop", self.on_stop)
        app.router.add_post("/-/hold", self.on_hold)
        app.router.add_get("/health", self.on_health)
        self.runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.01,
                                    access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.host, self.port, reuse_address=True)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        self.up = True
        self.record.add(f"worker {self.name} life {self.life} up, capacity {self.capacity['cpu']}")
        await self.report()
        self.beat_task = asyncio.create_task(self.beat())

    async def crash(self):
        """End a life at once; its entry stays until it expires or is written again."""
        self.up = False
        if self.beat_task:
            self.beat_task.cancel()
        for task in list(self.running):
            self.end(task, "crashed", listed=False)
        self.record.add(f"worker {self.name} life {self.life} crashed")
        await self.runner.cleanup()

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.report()

    def entry(self):
        self.seq += 1
        return {"service": SERVICE, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "capacity": self.capacity, "labels": self.labels,
                "clock_ms": self.clock(), "born": self.born, "seq": self.seq}

    async def report(self):
        await self.store.put("servers", self.name, self.entry())

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def answer(self, status=200, **body):
        return web.json_response({"clock_ms": self.clock(), **body}, status=status)

    async def enter(self, request):
        body = await request.json()
        if request.headers.get("Expect-Instance") not in (None, self.name):
            raise web.HTTPMisdirectedRequest
        token = body.get("fencing_token", 0)
        if token < self.token:
            return body, self.answer(409, reason="fence")
        self.token = token
        return body, None

    def extend(self, body):
        wanted = body.get("deadline_ms")
        if wanted is None:
            return
        self.deadline = max(self.deadline, min(wanted, self.clock() + HOLD_MAX_MS))
        delay = max(0.0, (self.deadline - self.clock()) / 1000)
        asyncio.get_running_loop().call_later(delay, self.lapse, self.life)

    def lapse(self, life):
        if life == self.life and self.clock() >= self.deadline:
            for task in list(self.running):
                self.end(task, "lapsed")

    def used(self, kind):
        return sum(run.size.get(kind, 0) for run in self.running.values())

    def end(self, task, how, listed=True, number=None):
        run = self.running.get(task)
        if run is None or (number is not None and run.run != number):
            return
        del self.running[task]
        timer = self.timers.pop(task, None)
        if timer:
            timer.cancel()
        run.ended, run.how = time.monotonic(), how
        self.highest[task] = max(run.run, self.highest.get(task, 0))
        if listed:
            self.number += 1
            self.finished.append([self.number, task, run.run, how, ""])
            self.end_event.set()

    async def on_health(self, request):
        return web.Response(status=200, headers={"Instance-Id": self.name})

    async def on_start(self, request):
        body, refusal = await self.enter(request)
        if refusal:
            return refusal
        if body.get("deadline_ms", 0) <= self.clock():
            return self.answer(409, reason="late")
        self.extend(body)
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present and present.run == number:
            return self.answer()
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        size = json.loads(body["spec"])
        if self.guards and any(self.used(kind) + size.get(kind, 0) > self.capacity[kind]
                               for kind in self.capacity):
            return self.answer(409, reason="room")
        run = TaskRun(task, number, body["spec"], size, self.name, self.life, time.monotonic(),
                      capacity=dict(self.capacity))
        self.runs.append(run)
        self.running[task] = run
        loop = asyncio.get_running_loop()
        self.timers[task] = loop.call_later(size["ms"] / 1000, self.end, task, "done")
        self.on_started(run)
        return self.answer()

    def on_started(self, run):
        """Called after each start; scripts replace it."""

    async def on_stop(self, request):
        body, refusal = await self.enter(request)
        if refusal:
            return refusal
        task, number = body["task"], body["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        present = self.running.get(task)
        if present and present.run <= number:
            asyncio.get_running_loop().call_later(
                STOP_MS / 2000, self.end, task, "stopped", True, present.run)
        return self.answer()

    async def on_hold(self, request):
        body, refusal = await self.enter(request)
        if refusal:
            return refusal
        self.holds += 1
        self.finished = [row for row in self.finished if row[0] > body.get("last_acked", 0)]
        self.extend(body)
        if body.get("wait_ms") and not self.finished:
            self.end_event.clear()
            try:
                async with asyncio.timeout(min(2000, body["wait_ms"]) / 1000):
                    await self.end_event.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [[run.task, run.run, "",
                    min(99, int(100 * (now - run.started) * 1000 / max(1, run.size["ms"])))]
                   for run in self.running.values()]
        return self.answer(running=running, finished=self.finished[:500], born=self.born)


SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "nl-south"
port_range = [7720, 7735]
seeds = []
bootstrap = true
in_fault_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
[zones]
{zones}
[listen]
front = "{ip}:8161"
ready = "{ip}:8167"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
recover_s = 12
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
visible_ms = 3000
resend_ms = 1300
require_fencing = false
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 4.0
part_writes_s = 250
row_bytes = 65536
across = true
history_s = 20
"""


class Daemon:
    """One process of the project, started as deploy/system.toml says."""

    def __init__(self, record, name, zone, ip, folder, command):
        self.record, self.name, self.zone, self.ip = record, name, zone, ip
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.command = command
        self.child = None
        # Exit statuses of the process when the script has not ended it.
        self.exits = []
        self.ending = False
        self.starts = 0
        self.watch_task = None

    async def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps"),
                        "CAROBRAMP_NODE_FILE": str(self.settings),
                        "CAROBRAMP_SCHEDULING_FILE": "deploy/scheduling.json"}
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *self.command, stdout=log, stderr=log, cwd=ROOT, env=environment)
        self.starts += 1
        self.record.add(f"daemon {self.name} started")
        self.watch_task = asyncio.create_task(self.watch(self.child))

    async def watch(self, child):
        """Restart the process after a short delay whenever it ends by itself."""
        code = await child.wait()
        if self.ending:
            return
        self.exits.append(code)
        self.record.add(f"daemon {self.name} ended by itself, status {code}")
        await asyncio.sleep(RESTART_S)
        if not self.ending:
            await self.start()

    def signal(self, number):
        if self.child and self.child.returncode is None:
            os.kill(self.child.pid, number)

    async def end(self):
        self.ending = True
        if self.child and self.child.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        if self.child:
            await self.child.wait()


class Deployment:
    """Store, workers and daemons; `daemons` and `workers` are counts a zone."""

    def __init__(self, folder, zones=("tilburg", "breda"), daemons=2, workers=3, cpu=16000,
                 guards=True, routes=None):
        import tomllib
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split()
        self.record = Record(folder)
        self.zones, self.per_zone = tuple(zones), daemons
        self.store = Store()
        self.guards = guards
        self.workers = [Worker(self.store, self.record, f"i-{zone}-{n}", zone, cpu, guards=guards)
                        for zone in self.zones for n in range(workers)]
        self.daemons = []
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.version = 0
        self.routes = routes or {"previews": {}}
        subnet = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
        folder = pathlib.Path(self.temp.name)
        for zone in self.zones:
            for n in range(daemons):
                ip = f"{subnet}.{len(self.daemons) + 1}"
                self.daemons.append(Daemon(self.record, f"front-{zone}-{n}", zone, ip, folder,
                                           self.command))

    async def configure(self, routes=None):
        self.routes = routes or self.routes
        self.version += random.randint(1, 3)
        entries = [{"name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "kind": "unsafe",
                    "timeout_ms": 1500, "latency_target_ms": 60, "priority": 0, "service": SERVICE,
                    "max_attempts": 3, "stretch": 1.6, **fields}
                   for name, fields in self.routes.items()]
        await self.store.put("op", "config", {
            "version": self.version, "routes": entries,
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 64,
                          "protocol": "h1", "tls": False, "enforces_capacity": self.guards,
                          "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        self.record.add(f"desired state {self.version} confirmed")

    async def __aenter__(self):
        await self.store.start()
        for worker in self.workers:
            await worker.start()
        await self.configure()
        zones = "\n".join(f'{zone} = "nl-south"' for zone in self.zones)
        for daemon in self.daemons:
            daemon.settings.write_text(SETTINGS.format(
                name=daemon.name, ip=daemon.ip, zone=daemon.zone, zones=zones,
                store=self.store.address))
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        return self

    async def start_daemons(self):
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await self.until_ready()

    async def until_ready(self, seconds=25):
        """Wait until all daemons are ready and all workers are held."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            ready = await asyncio.gather(*(self.ready(daemon) for daemon in self.daemons))
            if all(ready) and all(worker.token for worker in self.workers):
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the daemons are not ready")

    async def ready(self, daemon, timeout=1.0):
        try:
            async with self.session.get(f"http://{daemon.ip}:8167/-/ready",
                                        timeout=aiohttp.ClientTimeout(total=timeout)) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def call(self, daemon, method, path, body=None, timeout=1.5, headers=None):
        """Send a client's request; return status (0 for no answer) and body."""
        url = f"http://{daemon.ip}:8161{path}"
        try:
            async with self.session.request(
                method, url, json=body, headers={"Host": HOST, **(headers or {})},
                timeout=aiohttp.ClientTimeout(total=timeout)) as reply:
                text = await reply.text()
                try:
                    return reply.status, json.loads(text) if text else None
                except ValueError:
                    return reply.status, text
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, None

    def job(self, count=1, ms=100, cpu=1000, mem_mb=64, note="", estimate_ms=None):
        spec = {"ms": ms, "cpu": cpu, "mem_mb": mem_mb}
        if note:
            spec["note"] = note
        return {"spec": json.dumps(spec), "best_effort": True,
                "steps": [{"count": count, "cpu": cpu, "mem_mb": mem_mb,
                           "estimate_ms": estimate_ms or ms}]}

    async def client(self, path, body, budget=10.0, timeout=1.5, resend=1.3):
        """A caller: sends a job, and again after no answer, 502 or 504.

        Returns its id and the list of attempts: daemon, time sent, time answered, status
        and the state or reason in the answer.
        """
        job_id = new_id()
        attempts = []
        until = time.monotonic() + budget
        while time.monotonic() < until:
            daemon = random.choice(self.daemons)
            sent = time.monotonic()
            status, answer = await self.call(
                daemon, "POST", f"{path}{job_id}", body, timeout,
                {"Deadline-Ms": str(int(timeout * 1000))})
            detail = answer if not isinstance(answer, dict) else (
                answer.get("state") or answer.get("reason"))
            attempts.append((daemon.name, sent, time.monotonic(), status, detail))
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(resend)
        return job_id, attempts

    def runs(self):
        return [run for worker in self.workers for run in worker.runs]

    def overlaps(self, slack=0.0):
        """Return pairs of runs of one task that were active at the same time."""
        by_task = {}
        for run in self.runs():
            by_task.setdefault(run.task, []).append(run)
        found = []
        for runs in by_task.values():
            runs.sort(key=lambda run: run.started)
            for first, second in zip(runs, runs[1:]):
                end = first.ended if first.ended is not None else time.monotonic()
                if end - second.started > slack:
                    found.append((first, second))
        return found

    def since(self, at):
        return at - self.record.start

    async def __aexit__(self, *_):
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        if os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for daemon in self.daemons:
                (target / daemon.log.name).write_bytes(daemon.log.read_bytes())
        await self.session.close()
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        await self.store.stop()
        self.temp.cleanup()


class CannotRun(Exception):
    """The case could not be run."""


def new_id():
    return f"{random.getrandbits(64):016x}"


def run(case):
    """Run a case: exit 1 if it returns broken rules, 0 if none, 2 if it could not run."""
    folder = pathlib.Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(folder, trouble), 115))
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        return 2
    for line in broken[:20]:
        print(line)
    print(f"{len(broken)} breaks; disruption {'on' if trouble else 'off'}")
    return 1 if broken else 0
