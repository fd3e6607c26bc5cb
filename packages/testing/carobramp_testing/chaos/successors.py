"""Fault soak of successive owners of one cell on the stand-in of the users' platform.

Explanation
===========

What an owner knows of a lost entry, and of the time by which runs must be over, has to
reach the daemon that takes the cell over from it. In each round the entry of a job and
the owner of the cell that runs it are lost, and so are the owners that follow: each is
killed, paused or stopped at a random time after its first orders, and lost ones come
back without a memory of the round. Stop orders may be lost meanwhile. The caller sends
its job again in the other zone. No two runs of a task may be there at one time.

Run as ``python -m carobramp_testing.chaos.successors --seed=1 --rounds=4``.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import shutil
import signal
import sys
from collections.abc import Sequence

from carobramp_testing.builders.jobs import leased_job
from carobramp_testing.chaos.lag import LagMeter
from carobramp_testing.chaos.leased import FAILURE_LOGS, run_until_signalled
from carobramp_testing.checker import overlapping_runs
from carobramp_testing.leased import Daemon, LeasedDeployment
from carobramp_testing.processes import wait_for
from carobramp_testing.standins.leased import LeasedPlatform

RESEND_S = 1.3
BROKEN = (0, 502, 504)
TASKS, RUN_MS = 2, 3600
# Time from the first orders of an owner to its loss.
OWNER_LIFE_S = (0.0, 0.6)
# Largest time from the start of the tasks to the loss of the entry and the first owner.
FIRST_LOSS_S = 0.3
PAUSE_S = (0.2, 1.5)
RESTART_S = (0.3, 2.5)
OWNERS_LOST = (1, 6)
# Share of the rounds in which no start or stop order reaches the cell's upstreams.
LOST_ORDERS_SHARE = 0.25
KINDS, WEIGHTS = ("kill", "pause", "stop"), (6, 3, 2)
SUCCESSOR_WAIT_S = 3.0
POLL_S = 0.005


@dataclasses.dataclass(frozen=True)
class Loss:
    """The loss of an owner.

    Parameters
    ==========

    kind : "kill", "pause" or "stop"
    life_s : time from the owner's first orders to its loss
    away_s : time until the process goes on or is started again
    """

    kind: str
    life_s: float
    away_s: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """What happens in one round.

    Parameters
    ==========

    zone_number : zone of the cell
    entry_number : entry of the job, among the other daemons of the zone; None for the
        owner of the cell
    entry_lost_s : time from the start of the job's tasks to the loss of its entry
    entry_away_s : time until the entry is started again
    losses : losses of the cell's owners, one after the other; the life of the first
        one is counted from the start of the job's tasks
    orders_lost : whether no start or stop order reaches the upstreams meanwhile
    """

    zone_number: int
    entry_number: int | None
    entry_lost_s: float
    entry_away_s: float
    losses: tuple[Loss, ...]
    orders_lost: bool


def draw_plan(rng: random.Random, daemons) -> Plan:
    """Draw the plan of a round for zones with so many daemons."""

    def draw_loss(kind, life_s):
        away_s = rng.uniform(*(PAUSE_S if kind == "pause" else RESTART_S))
        return Loss(kind, rng.uniform(*life_s), away_s)

    kinds = rng.choices(KINDS, WEIGHTS, k=rng.randint(*OWNERS_LOST))
    return Plan(
        zone_number=rng.randrange(2),
        entry_number=None if rng.random() < 0.5 else rng.randrange(daemons - 1),
        entry_lost_s=rng.uniform(0.0, FIRST_LOSS_S),
        entry_away_s=rng.uniform(*RESTART_S),
        losses=(
            draw_loss(kinds[0], (0.0, FIRST_LOSS_S)),
            *(draw_loss(kind, OWNER_LIFE_S) for kind in kinds[1:]),
        ),
        orders_lost=rng.random() < LOST_ORDERS_SHARE,
    )


def draw_plans(seed, rounds, daemons) -> list[Plan]:
    """Draw the plans of a run; a plan depends on the seed and its number alone."""
    return [draw_plan(random.Random(f"{seed}/{n}"), daemons) for n in range(rounds)]


class SuccessorsChaos:
    """One run of the soak.

    Parameters
    ==========

    run_number : tells this run from others, at the head of the ids of its jobs
    plans : what happens in each round
    daemons : number of daemons in each of the two zones
    logs : folder that keeps the daemons' logs when a check fails
    """

    def __init__(self, run_number, plans: Sequence[Plan], daemons, logs=None):
        self.run_number = run_number
        self.plans = plans
        self.logs = logs
        self.platform = LeasedPlatform(workers=2)
        self.deployment = LeasedDeployment(self.platform, daemons)
        self.losses: collections.Counter = collections.Counter()
        self.history: list[str] = []
        self.started_at = 0.0
        self.lag = LagMeter()

    async def run(self) -> list[str]:
        """Run the rounds; return the violations."""
        async with self.deployment, self.lag:
            self.started_at = asyncio.get_running_loop().time()
            violations = []
            for number, plan in enumerate(self.plans):
                violations += await Round(self, number, plan).run()
            if violations and self.logs:
                self.keep_logs(violations)
            return violations

    def record(self, text):
        """Add a line to the history."""
        elapsed_s = asyncio.get_running_loop().time() - self.started_at
        self.history.append(f"{elapsed_s:8.3f} {text}")

    def keep_logs(self, violations):
        """Copy the daemons' logs, the history and the violations to a folder."""
        folder = pathlib.Path(self.logs, f"successors-{self.run_number}")
        shutil.copytree(self.deployment.folder.name, folder, dirs_exist_ok=True)
        lines = [self.summary(), *self.history, *violations]
        (folder / "violations.txt").write_text("\n".join(lines) + "\n")

    def summary(self) -> str:
        """Return the figures of the run as text."""
        losses = ", ".join(f"{kind} {n}" for kind, n in sorted(self.losses.items()))
        return (
            f"{len(self.plans)} rounds, timers late by {self.lag.max_lag_s:.2f} s, "
            f"losses of daemons: {losses}"
        )


class Round:
    """A job whose entry and owners are lost one after the other."""

    def __init__(self, chaos: SuccessorsChaos, number, plan: Plan):
        self.chaos = chaos
        self.deployment = chaos.deployment
        self.plan = plan
        self.job_id = f"{chaos.run_number:08x}{number:08x}"
        self.cell = chaos.platform.zones[plan.zone_number]
        workers = chaos.platform.workers.values()
        self.workers = [worker for worker in workers if worker.zone == self.cell]
        # Names of the daemons that are lost at present.
        self.away: set[str] = set()
        self.returning: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        """Run the round; return its violations."""
        owner = self.deployment.owner(self.cell)
        entry = self.entry(owner)
        self.chaos.record(f"job {self.job_id} at {entry.name}, owner {owner.name}")
        caller = asyncio.create_task(self.call(entry))
        await wait_for(self.runs_started)
        self.lose_orders(self.plan.orders_lost)
        await asyncio.gather(self.lose_entry(entry), self.lose_owners(owner))
        await asyncio.gather(caller, *self.returning)
        self.lose_orders(False)
        await wait_for(self.deployment.all_ready)
        return [f"two runs at one time: {text}" for text in self.overlaps()]

    def entry(self, owner: Daemon) -> Daemon:
        """Return the daemon that gets the job."""
        if self.plan.entry_number is None:
            return owner
        others = [d for d in self.daemons_of(self.cell) if d is not owner]
        return others[self.plan.entry_number % len(others)]

    def daemons_of(self, zone) -> list[Daemon]:
        """Return the daemons of a zone."""
        return [d for d in self.deployment.daemons.values() if d.zone == zone]

    async def call(self, entry: Daemon):
        """Submit the job; send it again in the other zone after a broken answer."""
        body = leased_job(TASKS, run_ms=RUN_MS)
        status, _ = await self.deployment.submit(entry, self.job_id, body)
        self.chaos.record(f"answer {status}")
        if status in BROKEN:
            await asyncio.sleep(RESEND_S)
            (other_zone,) = set(self.chaos.platform.zones) - {self.cell}
            again = self.daemons_of(other_zone)[0]
            self.chaos.record(f"sent again at {again.name}")
            status, _ = await self.deployment.submit(again, self.job_id, body)
            self.chaos.record(f"answer {status}")

    async def runs_started(self) -> bool:
        """Whether all tasks of the job run in the cell."""
        tasks = [task for worker in self.workers for task in worker.running]
        return sum(task.startswith(self.job_id) for task in tasks) == TASKS

    def lose_orders(self, lost):
        """Let start and stop orders to the upstreams of the cell be lost, or not."""
        for worker in self.workers:
            worker.faults.lose_orders = lost

    async def lose_entry(self, entry: Daemon):
        """Kill the entry of the job."""
        await asyncio.sleep(self.plan.entry_lost_s)
        self.lose(entry, Loss("kill", 0.0, self.plan.entry_away_s))

    async def lose_owners(self, owner: Daemon):
        """Lose the owner, and the owners that follow, as planned.

        The rest of the plan is left out if nobody takes the cell over.
        """
        with contextlib.suppress(TimeoutError):
            for loss in self.plan.losses:
                await asyncio.sleep(loss.life_s)
                token = self.highest_token()
                self.lose(owner, loss)
                owner = await self.successor(token)

    async def successor(self, token) -> Daemon:
        """Wait for orders of another owner and return the one that the store names.

        Raises
        ======

        TimeoutError : nobody has taken the cell over
        """
        async with asyncio.timeout(SUCCESSOR_WAIT_S):
            while self.highest_token() == token:
                await asyncio.sleep(POLL_S)
        return self.deployment.owner(self.cell)

    def highest_token(self):
        """Return the highest fencing token that an upstream of the cell has seen."""
        return max(worker.token for worker in self.workers)

    def lose(self, daemon: Daemon, loss: Loss):
        """Lose a daemon and bring it back; one that is away already stays so."""
        if daemon.name in self.away:
            return
        self.away.add(daemon.name)
        self.chaos.losses[loss.kind] += 1
        self.chaos.record(f"{daemon.name}: {loss.kind}")
        self.returning.append(asyncio.create_task(self.bring_back(daemon, loss)))

    async def bring_back(self, daemon: Daemon, loss: Loss):
        """Carry out the loss of a daemon, and end it after a while."""
        if loss.kind == "pause":
            daemon.send_signal(signal.SIGSTOP)
            await asyncio.sleep(loss.away_s)
            daemon.send_signal(signal.SIGCONT)
        else:
            number = signal.SIGKILL if loss.kind == "kill" else signal.SIGTERM
            await daemon.end(number)
            await asyncio.sleep(loss.away_s)
            await daemon.start()
            self.chaos.record(f"{daemon.name} started again")
        self.away.discard(daemon.name)

    def overlaps(self) -> list[str]:
        """Return a line for each task of the job with two runs at one time."""
        runs = [r for r in self.chaos.platform.runs() if r.task.startswith(self.job_id)]
        return [self.describe(task, runs) for task in overlapping_runs(runs)]

    def describe(self, task, runs) -> str:
        """Return a task with the times and ends of its runs."""
        zero = self.chaos.started_at
        texts = [
            f"{run.number} from {run.started_at - zero:.3f}"
            f" to {(run.ended_at or zero) - zero:.3f} {run.how}"
            for run in sorted(runs, key=lambda run: run.started_at)
            if run.task == task
        ]
        return f"{task}: {'; '.join(texts)}"


def run_seed(seed, options) -> int:
    """Run one seed, print its figures and return the number of its violations."""
    plans = draw_plans(seed, options.rounds, options.daemons)
    chaos = SuccessorsChaos(seed, plans, options.daemons, options.logs)
    violations = asyncio.run(run_until_signalled(chaos))
    print(f"seed {seed}: {chaos.summary()}", flush=True)
    for violation in violations:
        print(f"violation: {violation}", flush=True)
    return len(violations)


def main():
    """Run seeds and print their violations; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--daemons", type=int, default=4, help="in each zone")
    parser.add_argument(
        "--logs", default=FAILURE_LOGS, help="folder that keeps the logs of a violation"
    )
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    count = sum(run_seed(seed, options) for seed in seeds)
    print(f"{count} violations")
    return 1 if count else 0


if __name__ == "__main__":
    sys.exit(main())
