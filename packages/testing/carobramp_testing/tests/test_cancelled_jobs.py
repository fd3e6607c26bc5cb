"""Jobs that are cancelled while daemons or a whole zone are lost."""

import asyncio
import signal
import time
import unittest

from carobramp_testing.builders.jobs import leased_job
from carobramp_testing.checker import HTTP_OK
from carobramp_testing.leased import LeasedDeployment
from carobramp_testing.processes import wait_for
from carobramp_testing.standins.leased import LeasedPlatform
from carobramp_testing.standins.leased.store import SERVERS

ACKNOWLEDGED = (HTTP_OK, 410)
# Time after the acknowledgement in which tasks may still start.
CANCEL_S = 3.0
JOB_ID = "0" * 16


class CancelledJobsCase(unittest.IsolatedAsyncioTestCase):
    """A job of four rounds of tasks in one zone."""

    async def deploy(self, zones, daemons):
        """Start a deployment with two upstreams in each zone."""
        asyncio.get_running_loop().set_debug(False)
        self.platform = LeasedPlatform(zones, workers=2)
        self.deployment = LeasedDeployment(self.platform, daemons)
        await self.deployment.__aenter__()
        self.addAsyncCleanup(self.deployment.__aexit__, None, None, None)

    def daemons(self, zone="tilburg"):
        """Return the daemons of a zone."""
        return [d for d in self.deployment.daemons.values() if d.zone == zone]

    async def submit(self, daemon):
        """Submit the job and return the call, once some of its tasks run."""
        body = leased_job(16, run_ms=2000)
        call = asyncio.create_task(self.deployment.submit(daemon, JOB_ID, body))
        await wait_for(self.something_runs)
        return call

    async def something_runs(self):
        """Whether a task of the job runs."""
        return self.platform.runs()

    async def assert_cancelled(self, call, cancelled_at):
        """Check that no task starts long after the acknowledgement."""
        await call
        await asyncio.sleep(max(0.0, cancelled_at + 2 * CANCEL_S - time.monotonic()))
        latest = max(run.started_at for run in self.platform.runs())
        self.assertLess(latest, cancelled_at + CANCEL_S)


class FrozenOwnerTests(CancelledJobsCase):
    """The owner of the cell freezes just before the cancellation."""

    async def test_job_goes_on_at_the_next_owner(self):
        """Guards against a cancellation that is lost with the owner that was told."""
        await self.deploy(("tilburg",), daemons=3)
        owner = self.deployment.owner("tilburg")
        entry, other = [d for d in self.daemons() if d is not owner]
        call = await self.submit(entry)
        owner.send_signal(signal.SIGSTOP)
        status = await self.deployment.cancel(other, JOB_ID)
        self.assertIn(status, ACKNOWLEDGED)
        await self.assert_cancelled(call, time.monotonic())


class LostZoneTests(CancelledJobsCase):
    """One of two zones is lost for good, with its upstreams."""

    async def lose_zone(self):
        """Lose a zone, and wait until the other one has served without it."""
        await self.deploy(("tilburg", "breda"), daemons=2)
        lost = [w for w in self.platform.workers.values() if w.zone == "breda"]
        await asyncio.gather(*(daemon.end() for daemon in self.daemons("breda")))
        for worker in lost:
            del self.platform.workers[worker.name]
            await worker.stop()
            await self.platform.store.remove(SERVERS, worker.name)
        await wait_for(self.zone_is_away)

    async def zone_is_away(self):
        """Whether each daemon of the other zone has lost its link to the cell."""
        texts = [await self.deployment.metrics(d) for d in self.daemons()]
        return all("carobramp_cells_linked 1" in text for text in texts)

    async def cancel_until_acknowledged(self, daemon):
        """Cancel the job again and again at one daemon, as long as it is rejected."""
        end = time.monotonic() + CANCEL_S
        status = 0
        while status not in ACKNOWLEDGED and time.monotonic() < end:
            status = await self.deployment.cancel(daemon, JOB_ID)
            await asyncio.sleep(0.2)
        self.assertIn(status, ACKNOWLEDGED)

    async def test_job_goes_on_at_its_own_daemon(self):
        """Guards against a job that cannot be cancelled while a zone is away."""
        await self.lose_zone()
        entry, _ = self.daemons()
        call = await self.submit(entry)
        self.assertEqual(await self.deployment.cancel(entry, JOB_ID), HTTP_OK)
        await self.assert_cancelled(call, time.monotonic())

    async def test_job_goes_on_at_another_daemon(self):
        """Guards against the same where another daemon has the job."""
        await self.lose_zone()
        entry, other = self.daemons()
        call = await self.submit(entry)
        await self.cancel_until_acknowledged(other)
        await self.assert_cancelled(call, time.monotonic())


if __name__ == "__main__":
    unittest.main()
