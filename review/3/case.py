"""A new owner keeps runs alive that nobody has claimed while its stop orders fail.

All daemons of a zone are killed. From then on the workers of that zone leave half of
their orders unanswered and carry them out late. The clients send their jobs again
1.3 s after their connections broke, to daemons of another zone.
"""

import asyncio

import harness
from late_worker import LateWorker

ROUNDS = 4
JOBS = 24
RUN_MS = 3000
LATE_SHARE = 0.5
LATE_FOR_S = 4.0
# Between two jobs; the last ones start just before the daemons are killed, so that the
# leases of all workers last for almost a second.
JOB_INTERVAL_S = 0.0125


async def play(deployment, number):
    """Play one round; return whether the rule was broken."""
    by_zone = {
        zone: [d for d in deployment.daemons.values() if d.zone == zone]
        for zone in deployment.zones
    }
    west = [w for w in deployment.workers.values() if w.zone == "west"]
    record = deployment.record
    record.write(f"round {number}: the cell of west has {deployment.owner('west').name}")
    clients = []
    for index in range(JOBS):
        tries = (by_zone["west"][index % 2], by_zone["east"][index % 2])
        job_id = f"5c0e7a21{number:03x}{index:04x}a"
        job = harness.job(1, RUN_MS, cpu=2000)
        clients.append(asyncio.create_task(deployment.submit(tries, job_id, job)))
        await asyncio.sleep(JOB_INTERVAL_S)
    if harness.TROUBLE:
        for worker in west:
            worker.late_share = LATE_SHARE
        restarts = [d.kill_and_restart() for d in by_zone["west"]]
        await asyncio.gather(*restarts, asyncio.sleep(LATE_FOR_S))
        for worker in west:
            worker.late_share = 0.0
    await asyncio.gather(*clients)
    await deployment.wait_until(deployment.all_linked, "no recovery in a round")
    await asyncio.sleep(3.0)
    return bool(deployment.overlaps())


async def script():
    deployment = harness.Deployment(
        __file__,
        daemons={"west": 2, "east": 2},
        workers={"west": 3, "east": 3},
        worker_type=LateWorker,
    )
    async with deployment:
        for number in range(ROUNDS):
            if await play(deployment, number):
                break
        deployment.write_runs()
        overlaps = deployment.overlaps()
        for overlap in overlaps:
            deployment.record.write(f"TWICE is broken: {overlap}")
            print(f"TWICE is broken: {overlap}")
        return harness.BROKEN if overlaps else harness.HELD


harness.main(script)
