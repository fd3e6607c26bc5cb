"""A small deployment on loopback: the project's daemons beside stand-ins.

The daemons are started with the command of the deploy file, in the folder and with the
variables that the platform gives them. Store, workers and callers run in the process
of the script.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

import aiohttp

from store import Store
from worker import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]  # of target/review-2
HOST = "shop.example"
SERVICE = "order-desk"
HEARTBEAT_S = 1.5
# A worker's entry is removed after three heartbeat intervals of silence.
EXPIRY_S = 3 * HEARTBEAT_S
READY_TIMEOUT_S = 20.0
FRONT, READY = 8161, 8167
# Bounds of the site file that the claims name, in its settings' words.
SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "here"
port_range = [7720, 7735]
seeds = []
bootstrap = true
in_fault_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
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
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
resend_ms = 1300
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 4.0
history_s = 20
"""


def free_subnet():
    """Return the first three numbers of loopback addresses whose ports are free."""
    for _ in range(200):
        subnet = f"127.{random.randint(2, 254)}.{random.randint(1, 254)}"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{subnet}.1", FRONT))
            return subnet
    raise RuntimeError("no free loopback addresses")


class Daemon:
    """One process of the project."""

    def __init__(self, name, zone, ip, folder, command, environment):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.command = command
        self.environment = environment
        self.child = None

    async def start(self):
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= self.environment
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CAROBRAMP_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *self.command,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                env=environment,
                cwd=ROOT,
            )

    def running(self):
        return self.child is not None and self.child.returncode is None

    def signal(self, number):
        if self.running():
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.child is not None:
            await self.child.wait()


class Deployment:
    """Store, workers and daemons; `record` writes the lines of record.txt.

    Parameters
    ==========

    daemons, workers : number of each in every zone, by zone
    """

    def __init__(self, case, daemons, workers, cpu=16000):
        self.case = pathlib.Path(case)
        self.zones = list(daemons)
        self.daemons_by_zone = daemons
        self.runs = []
        self.workers = [
            Worker(f"i-{zone}-{number}", SERVICE, zone, self.runs, cpu)
            for zone in self.zones
            for number in range(workers.get(zone, 0))
        ]
        self.store = Store()
        self.daemons = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = (self.case / "record.txt").open("w")
        self.zero = time.monotonic()
        self.version = 0
        self.beats = None
        self.session = None

    def record(self, text):
        line = f"{time.monotonic() - self.zero:8.3f} {text}"
        self.record_file.write(line + "\n")
        self.record_file.flush()

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        subnet = free_subnet()
        await self.store.start(f"{subnet}.200")
        for worker in self.workers:
            await worker.start(f"{subnet}.201")
            await self.store.put("servers", worker.name, worker.entry())
        await self.configure()
        self.beats = asyncio.create_task(self.beat())
        zones = "\n".join(f'{zone} = "here"' for zone in self.zones)
        for zone in self.zones:
            for number in range(self.daemons_by_zone[zone]):
                ip = f"{subnet}.{len(self.daemons) + 1}"
                name = f"front-{zone}-{number + 1}"
                daemon = Daemon(
                    name, zone, ip, self.folder, role["run"].split(), role["env"]
                )
                self.write_settings(daemon, zones)
                self.daemons[name] = daemon
        for daemon in self.daemons.values():
            await daemon.start()
        await self.wait_ready()

    def write_settings(self, daemon, zones):
        text = SETTINGS.format(
            name=daemon.name,
            ip=daemon.ip,
            zone=daemon.zone,
            zones=zones,
            store=self.store.address,
        )
        daemon.settings.write_text(text)

    async def __aexit__(self, *_):
        for daemon in self.daemons.values():
            daemon.signal(signal.SIGCONT)
            await daemon.kill()
        if self.beats is not None:
            self.beats.cancel()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        if self.session is not None:
            await self.session.close()
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def beat(self):
        """Let the workers report themselves; silent ones expire."""
        silent_since = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if worker.up:
                    await self.store.put("servers", worker.name, worker.entry())
                    continue
                since = silent_since.setdefault(worker.name, time.monotonic())
                if time.monotonic() - since > EXPIRY_S:
                    await self.store.remove("servers", worker.name)

    async def configure(self, **fields):
        """Write the next desired state, with one queue."""
        self.version += 3
        route = {
            "name": "files",
            "host": HOST,
            "path_prefix": "/files/",
            "kind": "unsafe",
            "service": SERVICE,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 1.6,
            "latency_target_ms": 60,
            "timeout_ms": 60000,
            **fields,
        }
        service = {"name": SERVICE, "enforces_capacity": True, "max_conns": 64}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
        state = {
            "version": self.version,
            "routes": [route],
            "services": [service],
            "limits": limits,
        }
        await self.store.put("op", "config", state)

    async def wait_ready(self):
        """Wait until every daemon is ready and every worker has had an order."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            ready = [await self.is_ready(d) for d in self.daemons.values()]
            if all(ready) and all(worker.token for worker in self.workers):
                await asyncio.sleep(2.0)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemons are not ready")

    async def is_ready(self, daemon):
        try:
            url = f"http://{daemon.ip}:{READY}/-/ready"
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with self.session.get(url, timeout=timeout) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def acting_daemon(self, zone):
        """Return the daemon that last wrote to the store under a condition."""
        row = self.store.value("fleet", f"cell/{zone}")
        return self.daemons[row["vm"]]

    async def call(
        self, method, daemon, job_id, body=None, timeout_s=60.0, prefix="/files/"
    ):
        """Send a client's request; return the status, 0 for no answer, and the body."""
        headers = {"Host": HOST, "Deadline-Ms": str(int(timeout_s * 1000))}
        url = f"http://{daemon.ip}:{FRONT}{prefix}{job_id}"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        self.record(f"{method} {job_id} sent to {daemon.name}")
        try:
            async with self.session.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as reply:
                status, text = reply.status, await reply.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status, text = 0, repr(error)
        self.record(f"{method} {job_id} at {daemon.name}: {status} {text}")
        return status, text

    def record_runs(self):
        """Write all runs that workers have seen."""
        for run in sorted(self.runs, key=lambda item: item.started_at):
            ended = run.ended_at - self.zero if run.ended_at else float("nan")
            self.record(
                f"run of {shown(run.task)} number {run.number} on {run.worker}: started "
                f"{run.started_at - self.zero:.3f}, ended {ended:.3f} {run.how}"
            )


def shown(task):
    """Return the name of a task for the record, with slashes: dots look like addresses."""
    return task.replace(".", "/")


def job_body(tasks, run_ms, cpu=6800, **fields):
    """Return the body of a job of one step whose caller waits for the outcome."""
    spec = '{"cpu":%d,"run_ms":%d%s}' % (
        cpu,
        run_ms,
        "".join(f',"{key}":"{value}"' for key, value in fields.items()),
    )
    step = {"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": run_ms}
    return {"spec": spec, "best_effort": True, "steps": [step]}


def run_case(case, play):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, else 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(play(case, trouble), 115.0))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    for line in broken:
        print(line)
    print("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
