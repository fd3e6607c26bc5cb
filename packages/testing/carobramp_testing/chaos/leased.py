"""Fault soak of daemons on the stand-in of the users' platform.

Explanation
===========

Real daemons run as separate processes. A schedule drawn from a seed stops, pauses,
kills and restarts them, cuts their relays to the store, to upstreams and to each other,
in one direction or both, resets or delays what the relays hold, and lets the store and
the upstreams misbehave; faults overlap and come in series. Callers keep their
connections, and send a job again after a broken answer, at any daemon. The checks use
only what callers and upstreams saw.

Run as ``python -m carobramp_testing.chaos.leased --seed=1 --seconds=60``.
"""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import random
import shutil
import signal
import sys

from carobramp_testing.builders.jobs import leased_job
from carobramp_testing.chaos.lag import LagMeter
from carobramp_testing.checker import HTTP_OK, overlapping_runs
from carobramp_testing.leased import LeasedDeployment
from carobramp_testing.processes import wait_for
from carobramp_testing.standins.leased import LeasedPlatform
from carobramp_testing.standins.leased.platform import ROUTES

JOBS_PER_S = 12
RESEND_S = 1.3
REFUSED = 503
BROKEN = (0, 502, 504)
MAX_TRIES = 4
OWNER_SHARE = 0.5
# Share of the jobs whose tasks crash each worker that starts them.
CRASH_SHARE = 0.02
# Most starts of such a task: after three crashes the platform allows two more.
MAX_CRASHING_STARTS = 5
# Share of the cuts whose end delivers what was held instead of dropping it.
LATE_SHARE = 0.5
FAULT_GAP_S = (0.2, 1.5)
FAULT_S = (0.3, 4.0)
# Seeds that have failed, with the cause. `--failed` runs them all.
FAILED_SEEDS = {
    10: "an entry said that a job had not run whose start was on its way",
    16: "an entry said that a job had not run whose start was on its way",
    23: "an owner started what an entry had given up and offered to another cell",
    109: "a new owner started a task once for each link over which it was offered",
    644: "a replaced owner started tasks, and its successor started them again",
}
# Folder that keeps the logs of runs with a violation.
FAILURE_LOGS = ".failed-runs"
# Time after the last fault within which every daemon serves again.
RECOVER_S = 12.0
KINDS = (
    "kill",
    "stop",
    "pause",
    "cut_store",
    "reset_store",
    "cut_peers",
    "cut_peers_one_way",
    "reset_peers",
    "cut_worker",
    "late_worker",
    "fail_worker",
    "hang_worker",
    "restart_worker",
    "store_busy",
    "store_silent",
    "store_slow",
    "store_loses",
    "store_forgets",
    "configure",
)


@dataclasses.dataclass
class JobRecord:
    """A job as its caller saw it."""

    job_id: str
    tasks: int
    crash: bool = False
    statuses: list[int] = dataclasses.field(default_factory=list)
    states: list[str] = dataclasses.field(default_factory=list)


class LeasedChaos:
    """One run of the soak.

    Parameters
    ==========

    seed : draws the faults and the jobs
    seconds : time during which faults begin
    logs : folder that keeps the daemons' logs when a check fails
    """

    def __init__(self, seed, seconds, workers=4, daemons=2, logs=None):
        # Callers draw on their own, so that their timing does not change the faults.
        self.seed = seed
        self.rng = random.Random(seed)
        self.caller_rng = random.Random(seed + 1)
        self.crash_rng = random.Random(seed + 2)
        self.seconds = seconds
        self.logs = logs
        self.platform = LeasedPlatform(workers=workers)
        self.deployment = LeasedDeployment(self.platform, daemons, relays=True)
        self.jobs: list[JobRecord] = []
        self.faults = collections.Counter()
        self.running: set[asyncio.Task] = set()
        self.lag = LagMeter()

    async def run(self) -> list[str]:
        """Run callers and faults; return the violations."""
        async with self.deployment, self.lag:
            loop = asyncio.get_running_loop()
            callers = asyncio.create_task(self.call())
            end = loop.time() + self.seconds
            while loop.time() < end:
                self.spawn(self.fault(self.rng.choice(KINDS)))
                await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))
            callers.cancel()
            await asyncio.gather(*self.running)
            violations = [*await self.check_recovery(), *self.check_runs()]
            if violations and self.logs:
                self.keep_logs(violations)
            return violations

    def keep_logs(self, violations):
        """Copy the daemons' logs and the violations to the folder for logs."""
        folder = pathlib.Path(self.logs, f"seed-{self.seed}")
        shutil.copytree(self.deployment.folder.name, folder, dirs_exist_ok=True)
        lines = [self.summary(), *violations]
        (folder / "violations.txt").write_text("\n".join(lines) + "\n")

    def spawn(self, coroutine):
        """Run something beside the rest; `run` waits for it."""
        task = asyncio.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def call(self):
        """Submit jobs at a steady rate."""
        while True:
            await asyncio.sleep(1 / JOBS_PER_S)
            tasks = self.caller_rng.randint(1, 4)
            crash = self.crash_rng.random() < CRASH_SHARE
            record = JobRecord(f"{len(self.jobs):016x}", tasks, crash)
            self.jobs.append(record)
            self.spawn(self.submit(record))

    async def submit(self, record: JobRecord):
        """Submit a job until it has an answer or too many tries."""
        run_ms = self.caller_rng.choice((50, 200, 900))
        body = leased_job(record.tasks, run_ms=run_ms, crash=record.crash)
        for _ in range(MAX_TRIES):
            daemon = self.caller_rng.choice(list(self.deployment.daemons.values()))
            status, answer = await self.deployment.submit(daemon, record.job_id, body)
            record.statuses.append(status)
            if status == HTTP_OK:
                record.states.append(answer["state"])
            if status not in BROKEN:
                return
            await asyncio.sleep(RESEND_S)

    async def fault(self, kind):
        """Bring one fault about, and end it."""
        self.faults[kind] += 1
        seconds = self.rng.uniform(*FAULT_S)
        if kind.startswith("store"):
            await self.store_fault(kind, seconds)
        elif kind.endswith("worker"):
            await self.worker_fault(kind, seconds)
        elif kind == "configure":
            extra = {f"stamps-{self.rng.randint(0, 9)}": {}}
            await self.platform.configure({**ROUTES, **extra})
        else:
            await self.daemon_fault(kind, seconds)

    async def daemon_fault(self, kind, seconds):
        """Stop, pause or cut a daemon, an owner every second time."""
        daemons = list(self.deployment.daemons.values())
        daemon = self.rng.choice(daemons)
        if self.rng.random() < OWNER_SHARE:
            zone = self.rng.choice(self.platform.zones)
            daemon = self.deployment.owner(zone) or daemon
        if kind in ("kill", "stop"):
            number = signal.SIGKILL if kind == "kill" else signal.SIGTERM
            daemon.send_signal(signal.SIGCONT)
            async with daemon.lock:
                await daemon.end(number)
                await asyncio.sleep(seconds if kind == "kill" else 0.0)
                await daemon.start()
        elif kind == "pause":
            daemon.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            daemon.send_signal(signal.SIGCONT)
        elif kind == "reset_store":
            self.deployment.store_relays[daemon.name].drop()
        elif kind.endswith(("peers", "peers_one_way")):
            await self.peer_fault(kind, daemon, seconds)
        else:
            relay = self.deployment.store_relays[daemon.name]
            relay.cut()
            await asyncio.sleep(seconds)
            self.rng.choice((relay.mend, relay.deliver))()

    async def peer_fault(self, kind, daemon, seconds):
        """Reset or cut the connections of other daemons to a daemon."""
        relays = self.deployment.peer_relays[daemon.name]
        if kind == "reset_peers":
            for relay in relays:
                relay.drop()
            return
        for relay in relays:
            (relay.cut if kind == "cut_peers" else relay.cut_back)()
        await asyncio.sleep(seconds)
        late = self.rng.random() < LATE_SHARE
        for relay in relays:
            (relay.deliver if late else relay.mend)()

    async def worker_fault(self, kind, seconds):
        """Let a worker or the way to it misbehave."""
        name = self.rng.choice(list(self.platform.workers))
        worker, faults = self.platform.workers[name], self.platform.workers[name].faults
        relay = self.deployment.worker_relays[name]
        if kind == "cut_worker":
            relay.cut()
            await asyncio.sleep(seconds)
            self.rng.choice((relay.mend, relay.deliver))()
        elif kind == "restart_worker":
            if not worker.up:
                return
            for task in list(worker.running):
                worker.end(task, "crashed", listed=False)
            worker.reset()
        else:
            field = kind.removesuffix("_worker")
            field, value = ("late_s", seconds) if field == "late" else (field, True)
            setattr(faults, field, value)
            await asyncio.sleep(seconds)
            setattr(faults, field, 0.0 if field == "late_s" else False)

    async def store_fault(self, kind, seconds):
        """Let the store misbehave."""
        faults = self.platform.store.faults
        if kind == "store_forgets":
            self.platform.store.forget_history()
            return
        field, value, calm = {
            "store_busy": ("status", REFUSED, 0),
            "store_silent": ("silent", True, False),
            "store_slow": ("delay_s", 0.25, 0.0),
            "store_loses": ("lose_answers", True, False),
        }[kind]
        setattr(faults, field, value)
        await asyncio.sleep(seconds)
        setattr(faults, field, calm)

    async def check_recovery(self):
        """Check that every daemon completes a job in time after the faults."""
        late = []
        for daemon in self.deployment.daemons.values():
            record = JobRecord(f"{len(self.jobs):016x}", 2)
            self.jobs.append(record)

            async def served(daemon=daemon, record=record):
                body = leased_job(record.tasks)
                status, answer = await self.deployment.submit(
                    daemon, record.job_id, body, timeout=3
                )
                record.statuses.append(status)
                if status == HTTP_OK:
                    record.states.append(answer["state"])
                return status == HTTP_OK

            try:
                await wait_for(served, RECOVER_S)
            except TimeoutError:
                late.append(f"recovery: {daemon.name} does not serve")
        return late

    def check_runs(self) -> list[str]:
        """Check what callers were told against what ran."""
        runs = collections.defaultdict(list)
        for run in self.platform.runs():
            job_id, _, _, index = run.task.split(".")
            runs[job_id].append((int(index), run.how))
        violations = [
            f"two runs at one time: {self.describe(task)}"
            for task in overlapping_runs(self.platform.runs())
        ]
        known = {record.job_id: record for record in self.jobs}
        for job_id in runs:
            if job_id not in known:
                violations.append(f"nobody asked for {job_id}")
        for record in self.jobs:
            ran = runs[record.job_id]
            done = {index for index, how in ran if how == "done"}
            if "completed" in record.states and len(done) < record.tasks:
                violations.append(f"completed without all tasks: {record.job_id}")
            starts = collections.Counter(index for index, _ in ran)
            if record.crash and starts and max(starts.values()) > MAX_CRASHING_STARTS:
                violations.append(f"starts of crashing tasks: {record.job_id} {starts}")
            if ran and record.statuses and set(record.statuses) == {REFUSED}:
                violations.append(f"said not to have run: {record.job_id}")
        return violations

    def describe(self, task) -> str:
        """Return a task with the times and ends of its runs."""
        runs = [run for run in self.platform.runs() if run.task == task]
        runs.sort(key=lambda run: run.started_at)
        zero = runs[0].started_at
        texts = [
            f"{run.number} {run.started_at - zero:.3f}"
            f" to {(run.ended_at or zero) - zero:.3f} {run.how}"
            for run in runs
        ]
        return f"{task}: {'; '.join(texts)}"

    def summary(self):
        """Return the figures of the run as text."""
        statuses = collections.Counter(s for job in self.jobs for s in job.statuses)
        faults = ", ".join(f"{kind} {n}" for kind, n in sorted(self.faults.items()))
        crashes = sum(worker.crash_count for worker in self.platform.workers.values())
        return (
            f"{len(self.jobs)} jobs, answers {dict(statuses)}, "
            f"{crashes} workers crashed, timers late by {self.lag.max_lag_s:.2f} s, "
            f"faults: {faults}"
        )


async def run_until_signalled(chaos) -> list[str]:
    """Run a soak; a signal to end it ends the processes that it started too."""
    running = asyncio.create_task(chaos.run())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, running.cancel)
    return await running


def main():
    """Run seeds and print their violations; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--workers", type=int, default=4, help="in each zone")
    parser.add_argument("--daemons", type=int, default=2, help="in each zone")
    parser.add_argument(
        "--logs", default=FAILURE_LOGS, help="folder that keeps the logs of a violation"
    )
    parser.add_argument("--failed", action="store_true", help="seeds that have failed")
    options = parser.parse_args()
    seeds = tuple(FAILED_SEEDS) if options.failed else (options.seed,)
    count = sum(run_seed(seed, options) for seed in seeds)
    print(f"{count} violations")
    return 1 if count else 0


def run_seed(seed, options) -> int:
    """Run one seed, print its figures and return the number of its violations."""
    chaos = LeasedChaos(
        seed, options.seconds, options.workers, options.daemons, options.logs
    )
    violations = asyncio.run(run_until_signalled(chaos))
    print(f"seed {seed}: {chaos.summary()}")
    for violation in violations:
        print(f"violation: {violation}")
    return len(violations)


if __name__ == "__main__":
    sys.exit(main())
