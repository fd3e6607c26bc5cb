"""Store and workers of one deployment, with the desired state of the operator."""

import asyncio
import json
import random

from carobramp_testing.standins.leased.store import SERVERS, StoreServer
from carobramp_testing.standins.leased.worker import Worker

HEARTBEAT_S = 0.5
SERVICE = "order-desk"
HOST = "shop.example"
ROUTES = {
    "previews": {"priority": 0, "max_attempts": 3},
    "files": {"priority": 2, "max_attempts": 4},
}


def task_sizes(spec):
    """Return cpu and run time in seconds that a spec names."""
    sizes = json.loads(spec)
    return sizes["cpu"], sizes["run_ms"] / 1000


def crashes_upstream(spec):
    """Return whether a task with this spec crashes the upstream that starts it."""
    return json.loads(spec).get("crash", False)


class LeasedPlatform:
    """Store, workers and operator on loopback.

    Parameters
    ==========

    zones : availability zones, each with `workers` workers
    """

    def __init__(self, zones=("tilburg", "breda"), workers=3):
        self.zones = tuple(zones)
        self.store = StoreServer()
        self.workers: dict[str, Worker] = {}
        for zone in self.zones:
            for number in range(workers):
                name = f"i-{zone}-{number}"
                worker = Worker(name, SERVICE, zone, task_sizes, crashes_upstream)
                self.workers[name] = worker
        self.version = 0
        self.beats: asyncio.Task | None = None

    async def start(self):
        """Start everything and write the first desired state."""
        await self.store.start()
        for worker in self.workers.values():
            await worker.start()
            await self.store.put(SERVERS, worker.name, worker.entry())
        await self.configure(ROUTES)
        self.beats = asyncio.create_task(self.beat())
        return self

    async def stop(self):
        """Stop everything."""
        self.beats.cancel()
        for worker in self.workers.values():
            await worker.stop()
        await self.store.stop()

    async def beat(self):
        """Let the workers report themselves."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers.values():
                await self.report(worker)

    async def report(self, worker: Worker):
        """Write the entry of a worker; remove those of its crashed lives."""
        for name in worker.crashed_names:
            await self.store.remove(SERVERS, name)
        worker.crashed_names.clear()
        if worker.up and not worker.faults.silent:
            await self.store.put(SERVERS, worker.name, worker.entry())

    async def configure(self, routes):
        """Write a new version of the desired state."""
        self.version += random.randint(1, 3)
        entries = [
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "service": SERVICE,
                "timeout_ms": 1500,
                "latency_target_ms": 60,
                "stretch": 1.6,
                **fields,
            }
            for name, fields in routes.items()
        ]
        state = {
            "version": self.version,
            "routes": entries,
            "services": [{"name": SERVICE}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        }
        await self.store.put("op", "config", state)

    def runs(self):
        """Return all runs of all workers."""
        return [run for worker in self.workers.values() for run in worker.runs]
