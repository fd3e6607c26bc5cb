"""Added time, CPU per task start, and memory.

Added time is the median response through the daemon less that of direct requests to
a stand-in. The daemon and a bare forwarding loop send the same tasks to the same
stand-ins in the same run, so that the comparison does not depend on the machine.
"""

import asyncio
import itertools
import json
import random
import resource
import statistics
import time

from carobramp_core.dispatch.messages import (
    DeploymentStateChanged,
    Job,
    JobSubmitted,
    StartTask,
    TaskDone,
    TaskOutcomeReceived,
    UpstreamReport,
)
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema import encode
from carobramp_testing.bench.run import process_cpu_s
from carobramp_testing.builders import first_ticket, job_request
from carobramp_testing.processes import Deployment, Process

RATE_PER_S = 150.0
SECONDS = 6.0
# Half load of one entry VM at today's size: half of 24 x 8 slots over 6 VMs are 16
# tasks at once. The slots of one stand-in take them, so that direct requests do not
# wait either.
SLOTS = 64
HALF_LOAD_RUN_MS = 16 / RATE_PER_S * 1000
NUMBERS = itertools.count()
MEDIAN_ADDED_MS = 2.0
CPU_FACTOR = 0.5
VIRTUAL_S = 600.0
JOBS_PER_S = 250
MEMORY_GROWTH = 1.1


async def run_overhead(seed):
    """Measure and return the lines to print."""
    lines = ["== overhead"]
    async with Deployment(speeds=(1.0,) * 8, slots=SLOTS) as deployment:
        urls = ",".join(deployment.upstream_urls())
        forwarder = await deployment.launch(
            Process(["-m", "carobramp_testing.bench.forwarder", "--targets", urls])
        )
        host, port = forwarder.addresses[0]
        vm = next(iter(deployment.vms))
        daemon = Target(
            f"{deployment.url(vm)}/v1/jobs",
            lambda: encode(job_request(run_ms=HALF_LOAD_RUN_MS)),
            deployment.vms[vm].child.pid,
        )
        bare = Target(
            f"http://{host}:{port}/v1/tasks",
            task_body,
            forwarder.child.pid,
        )
        first = deployment.upstreams[deployment.zones[0]]
        direct = Target(
            f"{deployment.upstream_urls()[0]}/v1/tasks", bare.body, first.child.pid
        )
        for target in (direct, bare, daemon):
            await target.load(deployment.session, 1.0, seed)
            await target.load(deployment.session, SECONDS, seed)
    added = daemon.median_ms() - direct.median_ms()
    lines.append(
        f"   median response: direct {direct.median_ms():.2f} ms, bare loop"
        f" {bare.median_ms():.2f} ms, daemon {daemon.median_ms():.2f} ms"
    )
    lines.append(verdict("median added time in ms", added, MEDIAN_ADDED_MS))
    part = daemon.per_cpu_s() / bare.per_cpu_s()
    lines.append(
        f"   starts per CPU second: daemon {daemon.per_cpu_s():.0f},"
        f" bare loop {bare.per_cpu_s():.0f}"
    )
    word = "ok" if part >= CPU_FACTOR else "MISSED"
    lines.append(f"{word}: part of the bare loop {part:.2f}, least {CPU_FACTOR:g}")
    return lines + memory_lines()


def verdict(name, value, bound):
    """Return the line of a bound."""
    word = "ok" if value <= bound else "MISSED"
    return f"{word}: {name} {value:.3g}, bound {bound:g}"


def task_body():
    """Return the body of a task request for a stand-in, with an id of its own."""
    body = {
        "task_id": f"bare:{next(NUMBERS)}",
        "service": "order-desk",
        "payload": {"run_ms": HALF_LOAD_RUN_MS},
        "run_ms": HALF_LOAD_RUN_MS,
        "timeout_ms": 5000,
    }
    return json.dumps(body).encode()


class Target:
    """Process that gets open arrivals of one-task requests."""

    def __init__(self, url, body, pid):
        self.url = url
        self.body = body
        self.pid = pid
        self.times: list[float] = []
        self.cpu_s = 0.0

    async def load(self, session, seconds, seed):
        """Send requests at the rate; keeps the figures of the last call."""
        rng = random.Random(seed)
        self.times = []
        before = process_cpu_s(self.pid)
        start, at, calls = time.monotonic(), 0.0, []
        while at < seconds:
            at += rng.expovariate(RATE_PER_S)
            await asyncio.sleep(max(0.0, start + at - time.monotonic()))
            calls.append(asyncio.create_task(self.post(session)))
        await asyncio.gather(*calls)
        self.cpu_s = process_cpu_s(self.pid) - before

    async def post(self, session):
        """Send one request."""
        begin = time.monotonic()
        headers = {"Content-Type": "application/json"}
        async with session.post(
            self.url, data=self.body(), headers=headers
        ) as response:
            await response.read()
            if response.status != 200:
                raise RuntimeError(f"{self.url}: status {response.status}")
        self.times.append((time.monotonic() - begin) * 1000)

    def median_ms(self):
        """Return the median response time."""
        return statistics.median(self.times)

    def per_cpu_s(self):
        """Return requests per CPU second of the process."""
        return len(self.times) / self.cpu_s


def memory_lines():
    """Compare peak memory after one and after ten virtual minutes of jobs."""
    from carobramp_core.dispatch.engine import Dispatcher
    from carobramp_schema.generated.settings import DispatchSettings

    dispatcher = Dispatcher(DispatchSettings(), random.Random(1), "tilburg", "vm-0")
    addresses = [("tilburg", "127.0.0.1", 9000)] * 8
    state = DeploymentState().apply(first_ticket(addresses))
    now = 0.0
    dispatcher.handle(DeploymentStateChanged(state), now)
    peaks = []
    for minute in range(int(VIRTUAL_S / 60)):
        for number in range(60 * JOBS_PER_S):
            now += 1 / JOBS_PER_S
            run_job(dispatcher, f"{minute}-{number}", now)
        peaks.append(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
    growth = peaks[-1] / peaks[0]
    lines = [
        f"   dispatcher, {60 * JOBS_PER_S} jobs a minute: peak memory"
        f" {peaks[0]:.1f} MB after one minute, {peaks[-1]:.1f} MB after ten"
    ]
    return [*lines, verdict("growth of peak memory", growth, MEMORY_GROWTH)]


def run_job(dispatcher, name, now):
    """Submit one job of two tasks and answer its tasks."""
    job = Job(
        submission_id=name,
        service="order-desk",
        team="bakery",
        priority_class="interactive",
        received_at=now,
        deadline=now + 5,
        idempotent=True,
        payloads=(None, None),
        declared_run_ms=(20.0, 20.0),
    )
    report = UpstreamReport(0, 8, False)
    for effect in dispatcher.handle(JobSubmitted(job), now):
        if isinstance(effect, StartTask):
            outcome = TaskDone(None, 20.0)
            answer = TaskOutcomeReceived(
                effect.task_id, effect.upstream, outcome, report
            )
            dispatcher.handle(answer, now + 0.02)
