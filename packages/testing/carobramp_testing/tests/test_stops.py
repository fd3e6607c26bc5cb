"""Planned stops and cancellations under load."""

import asyncio
import random
import signal
import unittest

from carobramp_testing.processes import HTTP_OK, ZONES, wait_for
from carobramp_testing.tests.case import FaultCase

NOTICE_MS = 500
BURST = 24
SEED = 5


class PlannedStopTests(FaultCase):
    """A planned stop interrupts no request."""

    async def deploy_two(self):
        """Start two entry VMs; return the one that stops and the other."""
        settings = {"drain": {"drain_notice_ms": NOTICE_MS}}
        await self.deploy(zones=ZONES[:1], vms_per_zone=2, settings=settings)
        return tuple(self.deployment.vms)

    async def stop_under_load(self, signals):
        """Stop an entry VM under load by `signals`; all answers must be clear."""
        leaving, staying = await self.deploy_two()
        long_jobs = asyncio.create_task(
            self.callers.submit_many(BURST // 4, [leaving], run_ms=1500)
        )
        process = self.deployment.vms[leaving]
        async with self.callers.load(run_ms=20):
            await wait_for(self.answered(BURST))
            for number in signals:
                process.signal(number)
                await asyncio.sleep(NOTICE_MS / 1000 / len(signals))
            self.assertEqual(await process.wait(), 0)
            await wait_for(self.answered(len(self.callers.attempts) + BURST))
        self.assert_whole(await long_jobs)
        at_staying = [a for a in self.callers.attempts if a.vm == staying]
        self.assert_whole(at_staying)
        sent = [a for a in self.callers.attempts if a.vm == leaving and not a.excused]
        refused = [a.body for a in sent if self.reasons([a]) - {"", "draining"}]
        self.assertLessEqual(self.reasons(sent), {"", "draining"}, refused[:3])
        await self.assert_sound()

    def answered(self, count):
        """Return a condition: at least that many requests have an end."""

        async def condition():
            return len(self.callers.attempts) >= count

        return condition

    async def test_stop_under_load(self):
        """Guards against a planned stop that cuts off requests."""
        await self.stop_under_load([signal.SIGTERM])

    async def test_second_signal(self):
        """Guards against a second signal that ends the drain early."""
        await self.stop_under_load([signal.SIGTERM, signal.SIGTERM, signal.SIGINT])

    async def test_not_ready_first(self):
        """Guards against a stop that the balancer does not hear of in time."""
        leaving, _ = await self.deploy_two()
        url = self.deployment.url(leaving)
        self.deployment.terminate(leaving)

        async def not_ready():
            async with self.deployment.session.get(f"{url}/readyz") as response:
                return response.status == 503

        await wait_for(not_ready)
        attempts = await self.callers.submit_many(2, [leaving])
        self.assertLessEqual(self.reasons(attempts), {"", "draining"})
        self.assertEqual(await self.deployment.vms[leaving].wait(), 0)
        await self.assert_sound()

    async def test_restart_of_each_vm(self):
        """Guards against requests lost while every entry VM is replaced in turn."""
        await self.deploy_two()
        async with self.callers.load(run_ms=20):
            for vm in tuple(self.deployment.vms):
                self.deployment.terminate(vm)
                self.assertEqual(await self.deployment.vms[vm].wait(), 0)
                await self.deployment.start_vm(vm)
                await self.deployment.wait_ready(vm)
        sent = [a for a in self.callers.attempts if not a.excused]
        self.assertLessEqual(self.reasons(sent), {"", "draining", "not_ready"})
        await self.assert_sound()

    async def test_forwarded_jobs(self):
        """Guards against a planned stop that cuts off jobs from other entry VMs."""
        leaving, staying = await self.deploy_two()

        async def forwarded():
            key = await self.deployment.new_id(leaving)
            return (await self.callers.submit(staying, key=key)).status == HTTP_OK

        # Each VM learns the address of the other from the membership list.
        await wait_for(forwarded)
        keys = [await self.deployment.new_id(leaving) for _ in range(BURST // 4)]
        request = self.callers.request(run_ms=1000)
        jobs = [
            asyncio.create_task(self.callers.submit(staying, request, key))
            for key in keys
        ]
        await wait_for(self.some_started(set(keys)))
        self.deployment.terminate(leaving)
        self.assert_whole(await asyncio.gather(*jobs))
        self.assertEqual(await self.deployment.vms[leaving].wait(), 0)
        await self.assert_sound()


class CancellationTests(FaultCase):
    """Waves of cancellations end jobs clearly and free the slots."""

    async def test_waves(self):
        """Guards against cancelled jobs that run on, hang or start again."""
        await self.deploy(vms_per_zone=2, speeds=(1.0, 1.0))
        rng = random.Random(SEED)
        for _ in range(3):
            vms = list(self.deployment.vms)
            keys = {
                await self.deployment.new_id(vms[n % 2]): vms[n % 2]
                for n in range(BURST)
            }
            jobs = [
                asyncio.create_task(
                    self.callers.submit(vm, self.callers.request(2, 800), key)
                )
                for key, vm in keys.items()
            ]
            await wait_for(self.some_started(set(keys)))
            wave = [self.cancel(vm, key) for key, vm in keys.items()]
            rng.shuffle(wave)
            await asyncio.gather(*wave)
            attempts = await asyncio.gather(*jobs)
            self.assertLessEqual(self.reasons(attempts), {"", "cancelled"})
            self.assertIn("cancelled", self.reasons(attempts))
        self.assert_whole(await self.callers.submit_many(BURST))
        records = (await self.deployment.records()).values()
        stopped = [t for tasks in records for t in tasks.values() if t["stopped"]]
        self.assertTrue(stopped)
        await self.assert_sound()

    async def cancel(self, vm, key):
        """Cancel a job, twice, as an impatient caller does."""
        url = f"{self.deployment.url(vm)}/v1/jobs/{key}"
        for _ in range(2):
            async with self.deployment.session.delete(url) as response:
                self.assertIn(response.status, (202, 404))


if __name__ == "__main__":
    unittest.main()
