"""Successive owners are killed; an adopted run lasts until its task starts again."""

import asyncio
import itertools
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "target/review-2"))
from deployment import Deployment, job_body, run_case, shown

RESEND_S = 1.3
# Time for which each daemon that gives the orders lives after its first one.
LIFE_S = 0.25
# Kills end in time for the caller's second attempt to meet the last adoption.
LAST_KILL_S = 1.28
RESTART_S = 2.0
ROUNDS = 3
TASKS, RUN_MS = 2, 3600
IDS = itertools.count(0x5C0E7A21D94B0000)


def first_orders(deployment, zone):
    """Return the highest generation number that a worker of a zone has seen."""
    return max(w.token for w in deployment.workers if w.zone == zone)


async def restart(deployment, daemon):
    await asyncio.sleep(RESTART_S)
    await daemon.start()
    deployment.record(f"{daemon.name} started again")


async def kill_successors(deployment, killed_at, restarts):
    """Kill each daemon that gives the orders, shortly after it has begun to."""
    token = first_orders(deployment, "tilburg")
    while time.monotonic() < killed_at + LAST_KILL_S:
        await asyncio.sleep(0.005)
        newest = first_orders(deployment, "tilburg")
        if newest == token:
            continue
        token = newest
        successor = deployment.acting_daemon("tilburg")
        deployment.record(f"{successor.name} gives orders")
        await asyncio.sleep(LIFE_S)
        if time.monotonic() > killed_at + LAST_KILL_S:
            return
        await successor.kill()
        deployment.record(f"{successor.name} killed")
        restarts.append(asyncio.create_task(restart(deployment, successor)))


async def round_of_case(deployment, trouble):
    """Submit a job, kill what gives the orders, and send the job again."""
    first = deployment.acting_daemon("tilburg")
    other = next(d for d in deployment.daemons.values() if d.zone == "breda")
    job_id, body = f"{next(IDS):016x}", job_body(TASKS, RUN_MS)
    post = asyncio.create_task(deployment.call("POST", first, job_id, body))
    await asyncio.sleep(0.5)
    restarts = []
    if trouble:
        killed_at = time.monotonic()
        await first.kill()
        deployment.record(f"{first.name} killed")
        restarts.append(asyncio.create_task(restart(deployment, first)))
        kills = asyncio.create_task(kill_successors(deployment, killed_at, restarts))
    status, _ = await post
    if status in (0, 502, 504):
        await asyncio.sleep(RESEND_S)
        await deployment.call("POST", other, job_id, body)
    if trouble:
        await kills
    await asyncio.gather(*restarts)
    await asyncio.sleep(3.0)
    return overlaps(deployment, job_id)


def overlaps(deployment, job_id):
    """Return the pairs of runs of one task of a job at the same time."""
    found = []
    runs = [run for run in deployment.runs if run.task.startswith(job_id)]
    for first, second in itertools.combinations(runs, 2):
        if first.task != second.task:
            continue
        begin = max(first.started_at, second.started_at)
        end = min(first.ended_at or time.monotonic(), second.ended_at or time.monotonic())
        if begin < end:
            found.append(
                f"{shown(first.task)} ran on {first.worker} and on {second.worker} at the same "
                f"time for {1000 * (end - begin):.0f} ms"
            )
    return found


async def play(case, trouble):
    broken = []
    daemons = {"tilburg": 6, "breda": 1}
    async with Deployment(case, daemons, {"tilburg": 2, "breda": 2}) as deployment:
        for _ in range(ROUNDS):
            broken += await round_of_case(deployment, trouble)
        deployment.record_runs()
        for line in broken:
            deployment.record(line)
    return broken


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, play)
