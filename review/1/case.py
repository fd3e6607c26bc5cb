"""An owner that was frozen starts what an entry had offered it and given up.

Each round freezes the owner of a cell for 0.8 s. A job comes to another daemon of the
zone at the same time, and that daemon is killed 0.2 s later. The client sends the job
again 1.3 s after its connection broke, to a daemon of another zone.
"""

import asyncio
import contextlib
import signal

import harness

ROUNDS = 14
RUN_MS = 2000
FREEZE_S = 0.8
KILL_AFTER_S = 0.2
SETTLE_S = 1.0
# Callers of the owner, each of which asks for the number of pending jobs again and again:
# a process that works is stopped between two steps, an idle one as it waits.
ASKING_CLIENTS = 4
ASK = (
    f"GET {harness.PREFIX} HTTP/1.1\r\nHost: {harness.HOST}\r\n\r\n"
).encode()


async def ask(daemon):
    """Ask a daemon for the number of pending jobs again and again."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                daemon.ip, harness.FRONT_PORT
            )
            try:
                while True:
                    writer.write(ASK)
                    await reader.readuntil(b"}")
            finally:
                writer.close()
        await asyncio.sleep(0.1)


async def play(deployment, number):
    """Play one round; return whether the rule was broken."""
    record = deployment.record
    owner = deployment.owner("west")
    entry = next(
        daemon
        for daemon in deployment.daemons.values()
        if daemon.zone == "west" and daemon is not owner
    )
    second = deployment.daemons["front-east-0"]
    record.write(f"round {number}: {owner.name} owns the cell of west")
    asking = [asyncio.create_task(ask(owner)) for _ in range(ASKING_CLIENTS)]
    await asyncio.sleep(SETTLE_S)
    if harness.TROUBLE:
        owner.send(signal.SIGSTOP)
    job = harness.job(2, RUN_MS)
    client = asyncio.create_task(
        deployment.submit((entry, second), f"5c0e7a21d94b{number:03x}a", job)
    )
    await asyncio.sleep(KILL_AFTER_S)
    if harness.TROUBLE:
        restart = deployment.spawn(entry.kill_and_restart())
        await asyncio.sleep(FREEZE_S - KILL_AFTER_S)
        owner.send(signal.SIGCONT)
        await restart
    await client
    for task in asking:
        task.cancel()
    await deployment.wait_until(deployment.all_linked, "no recovery in a round")
    return bool(deployment.overlaps())


async def script():
    deployment = harness.Deployment(
        __file__, daemons={"west": 2, "east": 2}, workers={"west": 3, "east": 3}
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
