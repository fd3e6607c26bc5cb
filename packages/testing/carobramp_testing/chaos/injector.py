"""Injects the faults of a schedule into a running deployment."""

import asyncio
import collections
import contextlib
import time

import aiohttp

from carobramp_testing.chaos.schedule import KINDS, Fault

SLOW_PLATFORM_MS = 700
STALE_PLATFORM_MS = 2000
SLOW_FACTOR = 8.0
LATE_MS = 1500
PLATFORM_FAULTS = {
    "platform_down": {"down": True},
    "platform_slow": {"delay_ms": SLOW_PLATFORM_MS},
    "platform_lossy": {"lose_replies": True},
    "platform_stale": {"stale_ms": STALE_PLATFORM_MS},
}
UPSTREAM_FAULTS = {
    "upstream_slow": {"slow": SLOW_FACTOR},
    "upstream_refuse": {"refuse": True},
    "upstream_close": {"close_after_read": True},
    "upstream_truncate": {"truncate": True},
    "upstream_late": {"late_ms": LATE_MS},
    "upstream_twice": {"twice": True},
    "upstream_other": {"other_task": True},
    "upstream_fail": {"fail": True},
    "upstream_leave": {"leaving": True},
}


class Injector:
    """Carries out faults and keeps which entry VMs were disturbed.

    Parameters
    ==========

    deployment : running `Deployment` with links
    cancel_wave : coroutine function that cancels the jobs under way
    """

    def __init__(self, deployment, cancel_wave):
        self.deployment = deployment
        self.cancel_wave = cancel_wave
        self.injected: collections.Counter[str] = collections.Counter()
        self.disturbed: collections.Counter[str] = collections.Counter()
        self.disturbances: collections.Counter[str] = collections.Counter()
        self.locks = collections.defaultdict(asyncio.Lock)
        self.bad_stops: list[str] = []

    async def run(self, faults):
        """Inject each fault at its time; return when all are undone."""
        start = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                delay = start + fault.at - time.monotonic()
                await asyncio.sleep(max(0.0, delay))
                group.create_task(self.inject(fault))

    async def inject(self, fault: Fault):
        """Inject one fault and undo it after its time."""
        self.injected[fault.kind] += 1
        if fault.kind == "cancel_wave":
            await self.cancel_wave()
            return
        scope = KINDS[fault.kind].scope
        if fault.kind in PLATFORM_FAULTS:
            faults = PLATFORM_FAULTS[fault.kind]
            active = self.stand_in_fault(self.deployment.platform_url, faults)
        elif fault.kind in UPSTREAM_FAULTS:
            zone, index = fault.target.split("/")
            url = self.deployment.upstream_urls(zone)[int(index)]
            active = self.stand_in_fault(url, UPSTREAM_FAULTS[fault.kind])
        elif fault.kind.startswith("cut_"):
            active = self.cut(self.relays(scope, fault.target))
        elif fault.kind.startswith("hold_"):
            active = self.hold(self.relays(scope, fault.target))
        else:
            active = getattr(self, fault.kind)(fault.target)
        # A restart can outlast its fault, so that the next one has to wait.
        async with self.locks[scope, fault.target], active:
            await asyncio.sleep(fault.seconds)

    @contextlib.asynccontextmanager
    async def stand_in_fault(self, url, faults):
        """Set faults of a stand-in; one that has ended keeps none."""
        with contextlib.suppress(aiohttp.ClientError):
            await self.deployment.set_faults(url, **faults)
        yield
        with contextlib.suppress(aiohttp.ClientError):
            await self.deployment.set_faults(url)

    @contextlib.contextmanager
    def disturbing(self, vm):
        """Excuse lost answers of an entry VM inside the block."""
        self.disturbed[vm] += 1
        self.disturbances[vm] += 1
        try:
            yield
        finally:
            self.disturbed[vm] -= 1

    def excuse(self, vm):
        """Return a function: whether `vm` was disturbed since this call."""
        before = self.disturbances[vm]
        if self.disturbed[vm]:
            return lambda: True
        return lambda: self.disturbances[vm] != before

    @contextlib.asynccontextmanager
    async def kill_vm(self, vm):
        """Kill an entry VM and start a new incarnation."""
        with self.disturbing(vm):
            await self.deployment.kill(vm)
            yield
            await self.deployment.start_vm(vm)

    @contextlib.asynccontextmanager
    async def freeze_vm(self, vm):
        """Pause an entry VM."""
        with self.disturbing(vm):
            self.deployment.freeze(vm)
            yield
            self.deployment.thaw(vm)

    @contextlib.asynccontextmanager
    async def stop_vm(self, vm):
        """Stop an entry VM as planned, which excuses no lost answer."""
        self.deployment.terminate(vm)
        status = await self.deployment.vms[vm].wait()
        if status != 0:
            self.bad_stops.append(f"{vm} ended with status {status}")
        yield
        await self.deployment.start_vm(vm)

    def relays(self, scope, target):
        """Return the relays of a link."""
        links = self.deployment.links
        if scope == "zones":
            return links.between(*target.split("+"))
        if scope == "zone_platform":
            return [links.platform[target]]
        return links.upstreams[target]

    @contextlib.asynccontextmanager
    async def cut(self, relays):
        """Cut a link and drop what was under way."""
        for relay in relays:
            relay.cut()
        yield
        for relay in relays:
            relay.mend()

    @contextlib.asynccontextmanager
    async def hold(self, relays):
        """Hold the data of a link and deliver it late."""
        for relay in relays:
            relay.cut()
        yield
        for relay in relays:
            relay.deliver()

    @contextlib.asynccontextmanager
    async def kill_upstreams(self, zone):
        """Kill the upstreams of a zone and start them again."""
        await self.deployment.kill_upstreams(zone)
        yield
        await self.deployment.start_upstreams(zone)
