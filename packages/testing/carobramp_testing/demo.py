"""Demonstration: a deployment on loopback under ten seconds of mixed load.

Run as ``make demo``. It starts a stand-in platform, upstreams and entry VMs in
three availability zones, puts ticket 1 into force, sends jobs, prints a summary
and stops the entry VMs. The exit status is 0 only when every job had its whole
answer or a clear failure, no task was started twice, no task of a job that was
stated as not run was started, and every entry VM ended with status 0.
"""

import asyncio
import collections
import dataclasses
import signal

from carobramp_core.outcomes import Reason
from carobramp_testing.exposition import sum_samples
from carobramp_testing.load import LoadResult, Plan, Pool, Stream, run_load
from carobramp_testing.processes import HTTP_OK, ZONES, Deployment

SECONDS = 10.0
VMS_PER_ZONE = 2
SPEEDS = (0.7, 1.0, 1.0, 1.4)
SLOTS = 8
DRAIN_NOTICE_MS = 200
# A round trip on loopback with both hops, for the ideal.
NETWORK_MS = 2.0
STREAMS = (
    Stream("calls", 25.0, tasks=(1, 5), run_ms=(50, 200)),
    Stream("checks", 10.0, tasks=(1, 2), run_ms=(50, 150), team="club"),
    Stream(
        "batches",
        0.8,
        tasks=(40, 390),
        run_ms=(50, 250),
        team="festival",
        priority_class="batch",
        deadline_ms=30_000,
    ),
    Stream("failing", 2.0, tasks=(1, 5), team="club", fail_percent=100),
)
CLEAR_REASONS = frozenset(reason.value for reason in Reason)


@dataclasses.dataclass(frozen=True)
class Report:
    """What the demonstration saw."""

    result: LoadResult
    starts: dict[str, int]
    wasted: dict[str, int]
    refusals: dict[str, int]
    exit_statuses: dict[str, int]


async def run_demo(plan: Plan) -> Report:
    """Run the deployment under the load of `plan`."""
    settings = {"drain": {"drain_notice_ms": DRAIN_NOTICE_MS}}
    async with Deployment(ZONES, VMS_PER_ZONE, SPEEDS, SLOTS, settings) as deployment:
        print_deployment(deployment)
        urls = [deployment.url(vm) for vm in deployment.vms]
        pool = Pool(
            slots=len(deployment.upstream_urls()) * SLOTS,
            median_speed=sorted(SPEEDS)[len(SPEEDS) // 2],
            network_ms=NETWORK_MS,
        )
        result = await run_load(plan, urls, pool)
        texts = [await metrics_of(deployment, url) for url in urls]
        return Report(
            result=result,
            starts=await deployment.starts(),
            wasted=sum_samples(texts, "carobramp_wasted_messages"),
            refusals=sum_samples(texts, "carobramp_refusals"),
            exit_statuses=await stop_vms(deployment),
        )


def print_deployment(deployment):
    """Print what was started."""
    print(f"platform     {deployment.platform_url}")
    for zone in deployment.zones:
        vms = [name for name in deployment.vms if name.startswith(zone)]
        count = len(deployment.upstreams[zone].addresses)
        print(f"{zone:12} entry VMs {', '.join(vms)}; {count} upstreams")
    print("ticket 1     in force: service order-desk", flush=True)


async def metrics_of(deployment, url):
    """Return the metrics of an entry VM."""
    async with deployment.session.get(f"{url}/metrics") as response:
        if response.status != HTTP_OK:
            raise RuntimeError(f"{url}/metrics: status {response.status}")
        return await response.text()


async def stop_vms(deployment):
    """Stop the entry VMs by SIGTERM; return their exit statuses."""
    for process in deployment.vms.values():
        process.signal(signal.SIGTERM)
    return {name: await process.wait() for name, process in deployment.vms.items()}


def faults_of(report: Report) -> list[str]:
    """Return what went wrong; empty for a run that kept every guarantee."""
    faults = []
    for job in report.result.jobs:
        started = [f"{job.submission_id}:{index}" for index in range(job.tasks)]
        counts = [report.starts.get(task_id, 0) for task_id in started]
        if job.reason and job.reason not in CLEAR_REASONS:
            faults.append(f"{job.submission_id}: {job.reason}")
        if not job.reason and min(counts) < 1:
            faults.append(f"{job.submission_id}: answered, but a task never ran")
        if job.not_run and max(counts) > 0:
            faults.append(f"{job.submission_id}: stated as not run, but started")
    doubled = [task_id for task_id, count in report.starts.items() if count > 1]
    faults += [f"{task_id}: started more than once" for task_id in doubled]
    statuses = report.exit_statuses.items()
    faults += [f"{vm}: exit status {status}" for vm, status in statuses if status]
    return faults


def summary(report: Report) -> str:
    """Return the summary of a run."""
    result = report.result
    lines = [
        f"jobs         {len(result.jobs)}",
        f"answered     {len(result.jobs) - sum(result.reasons.values())}",
        f"failed       {counts_text(result.reasons)}",
        f"tasks        {sum(report.starts.values())} started, "
        f"{result.tasks()} in whole answers",
        "",
        "response / ideal    jobs   mean  median     p99   p99 ms",
    ]
    jobs = collections.Counter(job.stream for job in result.jobs if not job.reason)
    for stream in jobs:
        lines.append(
            f"  {stream:16} {jobs[stream]:6} {result.ratio_mean(stream):6.2f} "
            f"{result.ratio_at(stream, 50):7.2f} {result.ratio_at(stream, 99):7.2f} "
            f"{result.response_at(stream, 99):8.0f}"
        )
    doubled = sum(count > 1 for count in report.starts.values())
    lines += [
        "",
        f"wasted messages     {counts_text(report.wasted)}",
        f"refusals, failures  {counts_text(report.refusals)}",
        f"doubled starts      {doubled}",
        f"exit statuses       {sorted(set(report.exit_statuses.values()))}",
    ]
    return "\n".join(lines)


def counts_text(counts):
    """Format counts, without those of zero."""
    shown = [f"{name} {count}" for name, count in sorted(counts.items()) if count]
    return ", ".join(shown) or "none"


def main():
    """Run the demonstration."""
    report = asyncio.run(run_demo(Plan(STREAMS, SECONDS)))
    print(summary(report))
    faults = faults_of(report)
    for fault in faults:
        print(f"FAULT {fault}")
    print("ok" if not faults else f"{len(faults)} faults")
    raise SystemExit(1 if faults else 0)


if __name__ == "__main__":
    main()
