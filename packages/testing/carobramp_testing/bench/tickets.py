"""Benchmark of tickets: time to be in force, and the cost of control.

Run as ``python -m carobramp_testing.bench.tickets``. Eight daemons in four zones take
tickets while idle, under load, during restarts and with a zone cut off; then one
daemon runs among the peers and objects of the full size. The status is 1 when a bound
of docs/design.md section 1.4 is missed.
"""

import asyncio
import json
import random
import statistics
import sys
import time

from carobramp_schema.generated.ticket import TeamChange, TeamState, Ticket
from carobramp_testing.bench.full_size import measure_full_size
from carobramp_testing.bench.run import process_cpu_s
from carobramp_testing.bench.ticket_slopes import measure_slopes
from carobramp_testing.exposition import sum_samples
from carobramp_testing.load.client import run_load
from carobramp_testing.load.ideal import Pool
from carobramp_testing.load.plan import Plan, Stream
from carobramp_testing.processes import HTTP_OK, Deployment, wait_for

ZONES = ("tilburg", "breda", "eindhoven", "venlo")
VMS_PER_ZONE = 2
SPEEDS = (1.0,) * 4
SLOTS = 8
IN_FORCE_S = 16.0
TICKETS = 40
LOAD_TICKETS = 20
RESTARTS = 4
CUT_TICKETS = 5
PAUSE_S = 0.5
IDLE_S = 20.0
LOAD_S = 16.0
LOAD_JOBS_PER_S = 200
WAIT_S = 60
SEED = 1


class Report:
    """Prints figures and remembers missed bounds."""

    def __init__(self):
        self.missed = []

    def line(self, text):
        """Print one line."""
        print(text, flush=True)

    def bound(self, name, value, bound, unit):
        """Print a figure and its bound."""
        verdict = "ok" if value <= bound else "MISSED"
        text = f"{verdict}: {name} {value:.4g} {unit}, bound {bound:g}"
        self.line(text)
        if value > bound:
            self.missed.append(text)


class Tickets:
    """Puts tickets at random VMs and reads from the logs when they came into force."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.rng = random.Random(SEED)
        self.number = 1
        self.put_at: dict[int, float] = {}

    async def put(self, vms):
        """Put the next ticket at one of `vms`."""
        self.number += 1
        change = TeamChange("bakery", self.number - 1, TeamState(100 + self.number))
        ticket = Ticket(self.number, "operator", teams=[change])
        self.put_at[self.number] = time.time()
        code, body = await self.deployment.put_ticket(self.rng.choice(vms), ticket)
        if code != HTTP_OK:
            raise RuntimeError(f"ticket {self.number}: {body}")

    async def wait(self, vms):
        """Wait until `vms` have the newest ticket in force."""

        async def everywhere():
            return all([await self.in_force(vm) >= self.number for vm in vms])

        await wait_for(everywhere, WAIT_S)

    async def in_force(self, vm):
        """Return the number in force at a VM."""
        status = await self.deployment.get_json(f"{self.deployment.url(vm)}/v1/status")
        return status["state_number"]

    def times(self, numbers, vms):
        """Return the seconds from put to in force, over tickets and VMs."""
        found = []
        for vm in vms:
            seen = in_force_times(self.deployment.vms[vm].log_path)
            for number in numbers:
                # A VM that fetched a whole state has no line for each ticket.
                at = min((t for n, t in seen if n >= number), default=None)
                if at is not None:
                    found.append(max(0.0, at - self.put_at[number]))
        return sorted(found)


def in_force_times(path):
    """Return (number, time) of each state that a daemon logged."""
    found = []
    with open(path) as file:
        for line in file:
            if '"ticket: state in force"' in line:
                entry = json.loads(line)
                found.append((entry["number"], entry["timestamp"]))
    return found


def show_times(report, name, times, bound=IN_FORCE_S):
    """Print the distribution of times to be in force."""
    index = min(len(times) - 1, int(len(times) * 0.99))
    report.line(
        f"{name}: {len(times)} times, median {statistics.median(times):.3f} s,"
        f" p99 {times[index]:.3f} s, worst {times[-1]:.3f} s"
    )
    report.bound(f"{name}, worst time to be in force", times[-1], bound, "s")


async def put_some(tickets, count, vms):
    """Put tickets one after the other; return their numbers."""
    first = tickets.number + 1
    for _ in range(count):
        await tickets.put(vms)
        await asyncio.sleep(PAUSE_S)
    await tickets.wait(vms)
    return range(first, tickets.number + 1)


async def measure_idle(report, deployment):
    """Measure the cost of control without tickets or load."""
    vms = list(deployment.vms)
    pids = {vm: deployment.vms[vm].child.pid for vm in vms}
    before = {vm: process_cpu_s(pid) for vm, pid in pids.items()}
    calls = await platform_calls(deployment)
    texts = await metrics(deployment)
    begin = time.monotonic()
    await asyncio.sleep(IDLE_S)
    seconds = time.monotonic() - begin
    cpu = [(process_cpu_s(pid) - before[vm]) / seconds for vm, pid in pids.items()]
    after = await metrics(deployment)
    reads = (await platform_calls(deployment) - calls) / seconds
    moved = peer_bytes(after) - peer_bytes(texts)
    report.line(f"idle: platform calls {reads:.2f}/s for {len(vms)} VMs")
    rate = moved / seconds / len(vms)
    report.line(f"idle: peer messages {rate:.0f} B/s per daemon, both directions")
    report.bound("idle, CPU of the busiest daemon", max(cpu) * 100, 3.3, "% of a core")
    memory = max(rss_mb(pid) for pid in pids.values())
    report.bound("idle, resident memory of a daemon", memory, 64, "MB")


def peer_bytes(texts):
    """Return the bytes of messages that the daemons counted."""
    return sum(sum_samples(texts, "carobramp_peer_bytes").values())


async def metrics(deployment):
    """Return the metrics of every VM."""
    texts = []
    for vm in deployment.vms:
        async with deployment.session.get(f"{deployment.url(vm)}/metrics") as reply:
            texts.append(await reply.text())
    return texts


async def platform_calls(deployment):
    """Return the number of platform calls so far."""
    calls = await deployment.get_json(f"{deployment.platform_url}/calls")
    return sum(calls.values())


def rss_mb(pid):
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS:"))
    return int(line.split()[1]) / 1000


async def measure_load(report, deployment, tickets):
    """Measure the time to be in force while jobs are served."""
    vms = list(deployment.vms)
    stream = Stream("interactive", LOAD_JOBS_PER_S, (1, 4), (20.0, 60.0))
    plan = Plan((stream,), LOAD_S, SEED)
    urls = [deployment.url(vm) for vm in vms]
    pool = Pool(slots=len(ZONES) * len(SPEEDS) * SLOTS)
    load = asyncio.create_task(run_load(plan, urls, pool))
    numbers = await put_some(tickets, LOAD_TICKETS, vms)
    result = await load
    report.line(f"load: {len(result.jobs)} jobs, {sum(result.reasons.values())} failed")
    show_times(report, "load", tickets.times(numbers, vms))


async def measure_restarts(report, deployment, tickets):
    """Measure the time until a restarted VM serves the newest state."""
    vms = list(deployment.vms)
    times = []
    for index in range(RESTARTS):
        vm = vms[index % len(vms)]
        await deployment.kill(vm)
        await tickets.put([other for other in vms if other != vm])
        begin = time.monotonic()
        await deployment.start_vm(vm)
        await deployment.wait_ready(vm)
        times.append(time.monotonic() - begin)
        if await tickets.in_force(vm) < tickets.number:
            report.missed.append(f"{vm} was ready with an older state")
    show_times(report, "restart, with process start", sorted(times))


async def measure_cut(report, deployment, tickets):
    """Measure a zone that is cut off from all others and the platform."""
    cut, *others = ZONES
    inside = [vm for vm in deployment.vms if vm.startswith(cut)]
    outside = [vm for vm in deployment.vms if vm not in inside]
    deployment.cut_platform(cut)
    for zone in others:
        deployment.cut(cut, zone)
    numbers = await put_some(tickets, CUT_TICKETS, outside)
    show_times(report, "cut, other zones", tickets.times(numbers, outside))
    deployment.mend_platform(cut)
    for zone in others:
        deployment.mend(cut, zone)
    mended = time.time()
    await tickets.wait(inside)
    at = [
        max(t for _, t in in_force_times(deployment.vms[vm].log_path)) for vm in inside
    ]
    show_times(report, "cut zone, after mending", sorted(t - mended for t in at))


async def run(report):
    """Run all measurements."""
    async with Deployment(
        zones=ZONES, vms_per_zone=VMS_PER_ZONE, speeds=SPEEDS, slots=SLOTS, links=True
    ) as deployment:
        tickets = Tickets(deployment)
        vms = list(deployment.vms)
        await tickets.wait(vms)
        await measure_idle(report, deployment)
        numbers = await put_some(tickets, TICKETS, vms)
        show_times(report, "idle", tickets.times(numbers, vms))
        await measure_load(report, deployment, tickets)
        await measure_restarts(report, deployment, tickets)
        await measure_cut(report, deployment, tickets)
    await measure_full_size(report)
    measure_slopes(report)


def main():
    """Run the benchmark; the status is 1 when a bound is missed."""
    report = Report()
    asyncio.run(run(report))
    print("\n".join(report.missed) or "all bounds kept")
    return 1 if report.missed else 0


if __name__ == "__main__":
    sys.exit(main())
