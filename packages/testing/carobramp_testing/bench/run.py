"""Runs one scenario with real processes on loopback."""

import asyncio
import dataclasses
import os
import signal
import time

from carobramp_schema.generated.ticket import TeamChange, TeamState, Ticket
from carobramp_testing.bench.scenarios import SLOTS, Scenario, Site, capacity_of
from carobramp_testing.builders import first_ticket
from carobramp_testing.builders.tickets import TEAMS
from carobramp_testing.exposition import sum_samples
from carobramp_testing.load import LoadResult, Plan, Pool, run_load
from carobramp_testing.processes import Deployment

VMS_PER_ZONE = 2
NETWORK_MS = 1.0
MS_PER_S = 1000
LATE_MARGIN_MS = 100.0
FAILING_WINDOW_S = 2.0
SETTLE_S = 2.5
WARM_UP_S = 4.0
GOODPUT_PART = 0.9
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class SiteDeployment(Deployment):
    """Deployment with the names of one site."""

    site: Site

    def first_ticket(self):
        """Ticket that creates the site's service on all upstreams."""
        addresses = [
            (zone, host, port)
            for zone in self.zones
            for host, port in self.upstreams[zone].addresses
        ]
        return first_ticket(
            addresses, slots=self.slots, service=self.site.service, **self.service
        )


@dataclasses.dataclass
class Run:
    """What one run of a scenario gave.

    Attributes
    ==========

    waste : wasted messages by kind, over all entry VMs
    daemon_cpu_s, machine_busy : CPU time of the daemons, busy part of the machine
    values : figures that bounds refer to
    """

    scenario: Scenario
    site: str
    policy: str
    seed: int
    seconds: float
    result: LoadResult
    starts: int
    waste: dict
    refusals: dict
    trips: int
    daemon_cpu_s: float
    busiest_cpu: float
    machine_busy: float
    values: dict = dataclasses.field(default_factory=dict)


async def run_scenario(scenario: Scenario, site: Site, policy, seconds, seed) -> Run:
    """Run a scenario and return its figures."""
    deployment = SiteDeployment(
        zones=site.zones,
        vms_per_zone=VMS_PER_ZONE,
        speeds=scenario.speeds,
        slots=SLOTS,
        service={"policy": policy, **scenario.service},
        settings={"dispatch": dict(scenario.settings)},
    )
    deployment.site = site
    async with deployment:
        if scenario.quota:
            await set_quota(deployment, scenario.quota)
        await asyncio.sleep(SETTLE_S)
        await warm_up(deployment, scenario, site, seed)
        return await measure(deployment, scenario, site, policy, seconds, seed)


async def set_quota(deployment, quota):
    """Give every team the quota."""
    teams = [TeamChange(name, 1, TeamState(quota)) for name in TEAMS]
    vm = next(iter(deployment.vms))
    await deployment.put_ticket(vm, Ticket(2, "bench", teams=teams))


async def warm_up(deployment, scenario, site, seed):
    """Let the entry VMs learn speeds with the first stream alone."""
    streams = scenario.streams(site, capacity_of(scenario, site), 1.0)[:1]
    streams = [
        dataclasses.replace(stream, start_s=0.0, end_s=0.0) for stream in streams
    ]
    plan = Plan(tuple(streams), WARM_UP_S, seed + 1000)
    await run_load(plan, vm_urls(deployment), pool_of(scenario, site))


def pool_of(scenario, site):
    """Return the idle upstreams for the ideal."""
    speeds = sorted(scenario.speeds)
    return Pool(
        slots=SLOTS * len(speeds) * len(site.zones),
        median_speed=speeds[len(speeds) // 2],
        network_ms=NETWORK_MS,
    )


def vm_urls(deployment):
    """Return the URLs of all entry VMs."""
    return [deployment.url(vm) for vm in deployment.vms]


async def measure(deployment, scenario, site, policy, seconds, seed):
    """Run the load with the faults and read the metrics before and after."""
    streams = scenario.streams(site, capacity_of(scenario, site), seconds)
    plan = Plan(streams, seconds, seed, scenario.vm_weights)
    before = await scrape(deployment)
    cpu_before, machine_before = cpu_times(deployment), machine_times()
    watch = Watch(deployment, site)
    faults = [
        asyncio.create_task(inject(deployment, site, fault, seconds, watch))
        for fault in scenario.faults
    ]
    started = time.monotonic()
    result = await run_load(plan, vm_urls(deployment), pool_of(scenario, site))
    await asyncio.gather(*faults)
    elapsed = time.monotonic() - started
    cpu = [b - a for a, b in zip(cpu_before, cpu_times(deployment), strict=True)]
    machine = machine_busy(machine_before, machine_times())
    after = await scrape(deployment)
    run = Run(
        scenario=scenario,
        site=site.name,
        policy=policy,
        seed=seed,
        seconds=seconds,
        result=result,
        starts=sum(difference(before, after, "task_starts").values()),
        waste=difference(before, after, "wasted_messages"),
        refusals=dict(result.reasons),
        trips=sum(difference(before, after, "guard_trips").values()),
        daemon_cpu_s=sum(cpu),
        busiest_cpu=max(cpu) / elapsed,
        machine_busy=machine,
    )
    add_values(run, streams, watch)
    return run


async def scrape(deployment):
    """Return the metrics of all entry VMs."""
    texts = []
    for url in vm_urls(deployment):
        async with deployment.session.get(f"{url}/metrics") as response:
            texts.append(await response.text())
    return texts


def difference(before, after, name):
    """Return what was added to a counter, by kind."""
    first = sum_samples(before, f"carobramp_{name}")
    last = sum_samples(after, f"carobramp_{name}")
    found = {kind: value - first.get(kind, 0) for kind, value in last.items()}
    return {kind: value for kind, value in found.items() if value}


def cpu_times(deployment):
    """Return the CPU seconds of each daemon."""
    return [process_cpu_s(process.child.pid) for process in deployment.vms.values()]


def process_cpu_s(pid):
    """Return the CPU seconds of a process."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def machine_times():
    """Return (busy, all) ticks of the machine."""
    with open("/proc/stat") as file:
        ticks = [int(word) for word in file.readline().split()[1:9]]
    return sum(ticks) - ticks[3] - ticks[4], sum(ticks)


def machine_busy(before, after):
    """Return the busy part of the machine between two readings."""
    return (after[0] - before[0]) / max(1, after[1] - before[1])


class Watch:
    """Task requests that the failing upstream and all others got."""

    def __init__(self, deployment, site):
        self.deployment = deployment
        self.site = site
        self.share = None

    async def messages(self):
        """Return the task requests so far at each upstream."""
        urls = self.deployment.upstream_urls()
        bodies = await asyncio.gather(
            *(self.deployment.get_json(f"{url}/records") for url in urls)
        )
        return {
            url: body["messages"].get("task", 0)
            for url, body in zip(urls, bodies, strict=True)
        }

    async def measure_share(self, url):
        """Measure the part of task requests that go to one upstream."""
        before = await self.messages()
        await asyncio.sleep(FAILING_WINDOW_S)
        after = await self.messages()
        total = sum(after.values()) - sum(before.values())
        self.share = (after[url] - before[url]) / max(1, total)


async def inject(deployment, site, fault, seconds, watch):
    """Bring in one fault at its time and end it."""
    await asyncio.sleep(fault.at * seconds)
    zone = site.zones[0]
    process = deployment.upstreams[zone]
    if fault.kind == "kill":
        await process.kill()
        return
    if fault.kind == "freeze":
        process.signal(signal.SIGSTOP)
        await asyncio.sleep((fault.until - fault.at) * seconds)
        process.signal(signal.SIGCONT)
        return
    url = deployment.upstream_urls(zone)[fault.upstream]
    await deployment.set_faults(url, **fault.fields)
    if fault.fields.get("fail"):
        await watch.measure_share(url)


def add_values(run: Run, streams, watch):
    """Compute the figures that bounds refer to."""
    result, name = run.result, streams[0].name
    tasks = max(1, sum(job.tasks for job in result.jobs))
    run.values["waste"] = sum(run.waste.values()) / tasks
    if result.ratios[name].get_total_count():
        run.values["mean"] = result.ratio_mean(name)
        run.values["p50"] = result.ratio_at(name, 50)
        run.values["p99"] = result.ratio_at(name, 99)
        run.values["p99_ms"] = result.response_at(name, 99)
    run.values["failures"] = sum(run.refusals.values())
    deadlines = {stream.name: stream.deadline_ms for stream in streams}
    run.values["late"] = sum(
        job.response_ms > deadlines[job.stream] + LATE_MARGIN_MS for job in result.jobs
    )
    if watch.share is not None:
        run.values["failing_share"] = watch.share
    burst = [stream for stream in streams if stream.name == "burst"]
    if burst:
        run.values["goodput_back_s"] = goodput_back(result, burst[0])


def goodput_back(result, burst):
    """Return the time after a burst until answers keep up with arrivals.

    Whole answers are counted by the second in which they came; the goodput is back
    from the first second on in which they are at least 90% of those before the burst.
    """
    ends = [
        job.at + job.response_ms / MS_PER_S for job in result.jobs if not job.reason
    ]
    usual = sum(1.0 <= end < burst.start_s for end in ends) / (burst.start_s - 1.0)
    second = 0
    while burst.end_s + second < max(ends):
        begin = burst.end_s + second
        if sum(begin <= end < begin + 1 for end in ends) >= GOODPUT_PART * usual:
            return float(second)
        second += 1
    return float("inf")
