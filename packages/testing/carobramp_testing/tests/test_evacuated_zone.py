"""Evacuation of a zone under load, with daemons as separate processes."""

import asyncio
import contextlib
import signal
import time

from carobramp_testing.leased import LeasedDeployment
from carobramp_testing.processes import wait_for
from carobramp_testing.standins.leased import LeasedPlatform
from carobramp_testing.tests.test_leased import (
    COMPLETED,
    UNAVAILABLE,
    LeasedCase,
)

ZONE = "tilburg"
KEY = f"evacuate/{ZONE}"
# Time from the acknowledged request after which nothing may start in the zone.
BOUND_S = 5.0
# Time for which the load goes on after the bound.
WATCH_S = 1.0


class EvacuatedZoneCase(LeasedCase):
    """Two zones with two daemons each; every daemon gets one job after another."""

    relays = False

    async def asyncSetUp(self):
        """Start the deployment and the load."""
        asyncio.get_running_loop().set_debug(False)
        self.platform = LeasedPlatform()
        self.deployment = LeasedDeployment(self.platform, relays=self.relays)
        await self.deployment.__aenter__()
        self.addAsyncCleanup(self.deployment.__aexit__, None, None, None)
        self.number = 0
        loops = [self.send_jobs(daemon) for daemon in self.deployment.daemons.values()]
        self.load = [asyncio.create_task(loop) for loop in loops]
        self.addAsyncCleanup(self.stop_load)
        await wait_for(self.both_zones_run)

    async def send_jobs(self, daemon):
        """Send jobs to a daemon, each after the end of the one before."""
        while True:
            await self.submit(daemon, tasks=4, run_ms=80)

    async def stop_load(self):
        """Stop sending jobs."""
        for task in self.load:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def starts(self, zone, since=0.0):
        """Return the times of the starts in a zone from a time on."""
        workers = [w for w in self.platform.workers.values() if w.zone == zone]
        times = [run.started_at for worker in workers for run in worker.runs]
        return [at for at in times if at >= since]

    async def both_zones_run(self):
        """Whether each zone has started tasks."""
        return all(self.starts(zone) for zone in self.platform.zones)

    async def evacuate(self):
        """Request the evacuation; return the time from which nothing may start."""
        await self.platform.store.put("op", KEY, b"no JSON")
        return time.monotonic() + BOUND_S

    async def assert_evacuated(self, bound_at):
        """Check that nothing starts after the bound, and that jobs go on elsewhere."""
        await asyncio.sleep(bound_at + WATCH_S - time.monotonic())
        self.assertEqual(self.starts(ZONE, bound_at), [])
        self.assertTrue(self.starts("breda", bound_at))
        self.assert_no_overlap()


class EvacuatedZoneTests(EvacuatedZoneCase):
    """A store that serves every daemon, at least at the time of the request."""

    async def test_runs_start_in_an_evacuated_zone(self):
        """Guards against starts after the bound, and jobs that are not served.

        Once the request is withdrawn, the zone serves again.
        """
        await self.assert_evacuated(await self.evacuate())
        await self.stop_load()
        for daemon in self.deployment.daemons.values():
            self.assertEqual(await self.submit(daemon), COMPLETED)
        await self.platform.store.remove("op", KEY)
        withdrawn_at = time.monotonic()

        async def served_again():
            await self.submit(self.daemon())
            return bool(self.starts(ZONE, withdrawn_at))

        await wait_for(served_again)

    async def test_next_owner_starts_runs(self):
        """Guards against an owner that takes over without the request."""
        owner = self.deployment.owner(ZONE)
        bound_at = await self.evacuate()
        await owner.end(signal.SIGKILL)
        await self.other_owner(ZONE, owner.name)
        await self.assert_evacuated(bound_at)

    async def test_all_zones_are_evacuated(self):
        """Guards against jobs that are held until their callers give up."""
        await self.stop_load()
        for zone in self.platform.zones:
            await self.platform.store.put("op", f"evacuate/{zone}", {})

        async def refused():
            status, problem = await self.submit(self.daemon("breda-0"))
            return status == UNAVAILABLE and "evacuated" in str(problem)

        await wait_for(refused)


class CutOffOwnerTests(EvacuatedZoneCase):
    """An owner that does not reach the store."""

    relays = True

    async def test_owner_without_the_store_starts_runs(self):
        """Guards against an owner that does not hear of the request from entries."""
        owner = self.deployment.owner(ZONE)
        self.deployment.store_relays[owner.name].cut()
        bound_at = await self.evacuate()
        await self.assert_evacuated(bound_at)
        self.assertIn("evacuation of the cell started", owner.log.read_text())
