"""Zones that are cut off from other zones, from the platform, or from both."""

import asyncio
import unittest

from carobramp_testing.processes import HTTP_OK, ZONES, wait_for
from carobramp_testing.tests.case import FaultCase, reason_of

NEAR, FAR = ZONES[:2]
NEAR_VM, FAR_VM = f"{NEAR}-0", f"{FAR}-0"
BURST = 12
DEADLINE_MS = 1500


class PartitionTests(FaultCase):
    """A zone that is cut off serves what it can, and nothing starts twice."""

    async def deploy_zones(self):
        """Start three zones whose links can be cut."""
        await self.deploy(zones=ZONES, links=True)

    async def serve_issued(self, vm):
        """Serve a burst of jobs with issued ids; every answer must be whole."""
        ids = [await self.deployment.new_id(vm) for _ in range(BURST)]
        calls = (self.callers.submit(vm, key=key) for key in ids)
        self.assert_whole(await asyncio.gather(*calls))

    def cut_zones(self):
        """Cut the near zone off from the other zones."""
        for zone in ZONES[1:]:
            self.deployment.cut(NEAR, zone)

    async def test_cut_from_other_zones(self):
        """Guards against a zone that stops when the other zones are gone."""
        await self.deploy_zones()
        self.cut_zones()
        for vm in (NEAR_VM, FAR_VM):
            await self.serve_issued(vm)
        await self.assert_sound()

    async def test_cut_from_the_platform(self):
        """Guards against a zone that needs the platform to serve issued ids."""
        await self.deploy_zones()
        self.deployment.cut_platform(NEAR)
        await self.serve_issued(NEAR_VM)
        await self.assert_sound()

    async def test_cut_from_everything(self):
        """Guards against a zone that does not serve on its own."""
        await self.deploy_zones()
        self.cut_zones()
        self.deployment.cut_platform(NEAR)
        for zone in ZONES[1:]:
            self.deployment.cut_upstreams(zone)
        request = self.callers.request(deadline_ms=DEADLINE_MS)
        first = await self.callers.submit(NEAR_VM, request)
        self.assertIn(reason_of(first), ("", "outcome_unknown", "deadline_exceeded"))
        await wait_for(self.served_alone)
        await self.assert_sound()

    async def served_alone(self):
        """Whether the near zone serves a burst whole."""
        attempts = await self.callers.submit_many(
            BURST, [NEAR_VM], deadline_ms=DEADLINE_MS
        )
        return all(attempt.status == HTTP_OK for attempt in attempts)

    async def test_owner_behind_a_cut(self):
        """Guards against a job that another zone owns being started here."""
        await self.deploy_zones()
        key = await self.deployment.new_id(FAR_VM)
        request = self.callers.request(deadline_ms=DEADLINE_MS)
        self.deployment.cut(NEAR, FAR)
        cut = await self.callers.submit(NEAR_VM, request, key)
        self.assertIn(reason_of(cut), ("owner_unreachable", "forward_lost"))
        self.assertFalse(cut.body["not_run"])
        served = await self.callers.submit(FAR_VM, request, key)
        self.assert_whole([served])
        self.deployment.mend(NEAR, FAR)

        async def attached():
            return await self.callers.submit(NEAR_VM, request, key)

        again = await wait_for(attached)
        self.assertIn(reason_of(again), ("", "owner_unreachable", "forward_lost"))
        await self.assert_sound()

    async def test_forward_that_arrives_late(self):
        """Guards against a held request that starts a task a second time."""
        await self.deploy_zones()
        key = await self.deployment.new_id(FAR_VM)
        request = self.callers.request(deadline_ms=DEADLINE_MS)
        self.deployment.cut(NEAR, FAR)
        held = asyncio.create_task(self.callers.submit(NEAR_VM, request, key))
        served = await self.callers.submit(FAR_VM, request, key)
        self.assert_whole([served])
        await held
        for relay in self.deployment.links.between(NEAR, FAR):
            relay.deliver()
        again = await self.callers.submit(FAR_VM, request, key)
        self.assert_whole([again])
        self.assertEqual(again.body, served.body)
        await self.assert_sound()

    async def test_cut_in_the_middle_of_load(self):
        """Guards against lost or doubled work when links break and mend."""
        await self.deploy_zones()
        async with self.callers.load(run_ms=30, deadline_ms=DEADLINE_MS, pause=0.05):
            for _ in range(2):
                self.cut_zones()
                self.deployment.cut_platform(NEAR)
                self.deployment.cut_upstreams(NEAR)
                await self.served(2 * BURST)
                for zone in ZONES[1:]:
                    self.deployment.mend(NEAR, zone)
                self.deployment.mend_platform(NEAR)
                self.deployment.mend_upstreams(NEAR)
                await self.served(2 * BURST)
        await self.assert_sound()

    async def served(self, count):
        """Wait until that many further jobs were answered whole."""
        before = len(self.callers.attempts)

        async def enough():
            new = self.callers.attempts[before:]
            return sum(attempt.status == HTTP_OK for attempt in new) >= count

        await wait_for(enough)


if __name__ == "__main__":
    unittest.main()
