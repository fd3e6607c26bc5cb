"""Memory of daemons on the stand-in platform.

Run it with ``python -m carobramp_testing.bench.memory``.

Explanation
===========

The daemons run as ``deploy/system.toml`` runs them: ``python3 -S`` with compiled
packages in one folder. The benchmark waits until they are ready and have served their
metrics once, since the library of the metrics is imported then. It prints the resident
memory, its peak, the private part and the start-up time, at rest and with open jobs.
"""

import asyncio
import compileall
import pathlib
import re
import shutil
import sys
import tempfile
import time

from absl import app, flags, logging

import carobramp_core
import carobramp_daemon
import carobramp_platform
import carobramp_schema
from carobramp_testing.builders.jobs import leased_job
from carobramp_testing.leased import LeasedDeployment
from carobramp_testing.processes import wait_for
from carobramp_testing.standins.leased import LeasedPlatform

FLAGS = flags.FLAGS
PACKAGES = (carobramp_schema, carobramp_core, carobramp_daemon, carobramp_platform)
# Time after which buffers of the start-up are freed and feeds have been read.
REST_S = 3.0
KB_PER_MB = 1024
ZONES = ("tilburg", "breda", "eindhoven", "venlo")
# Shorter than the time limit of the stand-in route.
TASK_RUN_MS = 1000
# Thousandths of a core, so little that all tasks start at once.
TASK_CPU = 1
SIZES = re.compile(r"^(VmHWM|VmRSS|RssAnon):\s+(\d+) kB", re.MULTILINE)

flags.DEFINE_integer("zones", 2, "Availability zones.", 1, len(ZONES))
flags.DEFINE_integer("daemons", 2, "Daemons in each zone.", 1)
flags.DEFINE_integer("workers", 3, "Upstreams in each zone.", 1)
flags.DEFINE_integer("jobs", 0, "Open jobs at each daemon, each with one task.", 0)


def compile_packages(folder):
    """Copy the daemon's packages to a folder and compile them, as the build does."""
    for package in PACKAGES:
        source = pathlib.Path(package.__file__).parent
        shutil.copytree(source, folder / package.__name__)
    compileall.compile_dir(folder, quiet=1)


def read_sizes(pid) -> dict[str, int]:
    """Return peak, resident and private memory of a process in KB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return {name: int(size) for name, size in SIZES.findall(text)}


async def print_sizes(deployment: LeasedDeployment, title):
    """Print the sizes of all daemons in MB, and their mean."""
    print(f"{title:24}{'peak':>8}{'resident':>10}{'private':>9}")
    rows = []
    for daemon in deployment.daemons.values():
        if daemon.child is None:
            continue
        sizes = read_sizes(daemon.child.pid)
        rows.append([sizes[name] / KB_PER_MB for name in ("VmHWM", "VmRSS", "RssAnon")])
        owned = deployment.owner(daemon.zone) is daemon
        print_row(daemon.name + (" (owner)" if owned else ""), rows[-1])
    print_row("mean", [sum(column) / len(rows) for column in zip(*rows, strict=True)])


def print_row(title, sizes):
    """Print one row of sizes in MB."""
    print("{:24}{:8.2f}{:10.2f}{:9.2f}".format(title, *sizes))


async def open_jobs(deployment: LeasedDeployment, count):
    """Submit jobs to each daemon, and print the sizes while they are open."""
    daemons = list(deployment.daemons.values())
    body = leased_job(tasks=1, cpu=TASK_CPU, run_ms=TASK_RUN_MS)
    calls = [
        asyncio.create_task(deployment.submit(daemon, f"{index:08x}{n:08x}", body))
        for index, daemon in enumerate(daemons)
        for n in range(count)
    ]

    async def all_open():
        texts = [await deployment.metrics(daemon) for daemon in daemons]
        return all(f"carobramp_open_requests {count}" in text for text in texts)

    await wait_for(all_open)
    await print_sizes(deployment, f"{count} open jobs")
    replies = await asyncio.gather(*calls)
    print("answers by status:", sorted({status for status, _ in replies}))
    await asyncio.sleep(REST_S)
    await print_sizes(deployment, "after the jobs")


async def run():
    """Start a deployment and print the memory of its daemons."""
    with tempfile.TemporaryDirectory(prefix="carobramp-") as name:
        compile_packages(pathlib.Path(name))
        site = [path for path in sys.path if path.endswith("site-packages")]
        environment = {
            "PYTHONPATH": ":".join([name, *site]),
        }
        platform = LeasedPlatform(ZONES[: FLAGS.zones], FLAGS.workers)
        started = time.monotonic()
        deployment = LeasedDeployment(
            platform, FLAGS.daemons, options=("-S",), environment=environment
        )
        async with deployment:
            print(f"all ready after {time.monotonic() - started:.2f} s")
            await asyncio.sleep(REST_S)
            await print_sizes(deployment, "at rest")
            if FLAGS.jobs:
                await open_jobs(deployment, FLAGS.jobs)


def main(_):
    """Run the benchmark."""
    # The stand-ins log every request.
    logging.set_verbosity(logging.WARNING)
    asyncio.run(run())


if __name__ == "__main__":
    app.run(main)
