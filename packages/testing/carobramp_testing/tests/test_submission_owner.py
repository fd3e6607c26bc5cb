"""Submissions run at most once while their owner fails or stops."""

import asyncio
import collections
import signal
import unittest

from carobramp_testing.builders import caller_made_id
from carobramp_testing.processes import HTTP_OK, wait_for
from carobramp_testing.tests.submission_case import (
    CLAIM_CALLS,
    FIRST,
    NO_REPLY,
    SECOND,
    THIRD,
    VMS,
    SubmissionCase,
    wait_linked,
    with_deployment,
)


class OwnerFailureTests(SubmissionCase):
    """The owner dies, freezes, drains or is replaced."""

    @with_deployment
    async def test_owner_killed_in_mid_job(self):
        """Guards against a second start after the owner died."""
        keys = await self.keys(FIRST)
        jobs = {}
        for key in keys.values():
            jobs[key] = self.submit(FIRST, key, run_ms=800)
            await self.wait_started(key)
        await self.deployment.vms[FIRST].kill()
        await asyncio.gather(*jobs.values(), return_exceptions=True)
        reasons = collections.defaultdict(list)
        for key in keys.values():
            for vm in (SECOND, THIRD):
                body = await self.submit_problem(vm, key, run_ms=800)
                self.assertFalse(body["not_run"])
                reasons["dead"].append(body["reason"])
        await self.deployment.start_vm(FIRST)
        await wait_linked(self.deployment)
        for key in keys.values():
            for vm in VMS:
                body = await self.submit_problem(vm, key, run_ms=800)
                self.assertFalse(body["not_run"])
                reasons["replaced"].append(body["reason"])
        self.assertLessEqual(set(reasons["dead"]), NO_REPLY)
        self.assertLessEqual(set(reasons["replaced"]), NO_REPLY | {"owner_gone"})
        self.assertIn("owner_gone", reasons["replaced"])
        for key in keys.values():
            await self.assert_each_once(key, 1)

    @with_deployment
    async def test_owner_frozen_in_mid_job(self):
        """Guards against a second start while the owner is frozen, or after."""
        keys = await self.keys(FIRST)
        # Ten tasks in eight slots: some still wait when the VM freezes. The deadline
        # leaves room for a slow machine, so that the job is not refused.
        fields = {"tasks": 10, "run_ms": 400, "deadline_ms": 3000}
        for kind, key in keys.items():
            with self.subTest(kind):
                job = self.submit(FIRST, key, **fields)
                await self.wait_started(key)
                self.deployment.vms[FIRST].signal(signal.SIGSTOP)
                try:
                    calls = [self.submit(vm, key, **fields) for vm in (SECOND, THIRD)]
                    for _, body in await asyncio.gather(*calls):
                        self.assertIn(body["reason"], NO_REPLY)
                        self.assertFalse(body["not_run"])
                finally:
                    self.deployment.vms[FIRST].signal(signal.SIGCONT)
                status, body = await job
                again = await self.submit(SECOND, key, **fields)
                self.assertEqual(again, (status, body))
                await self.assert_at_most_once(key)

    @with_deployment
    async def test_owner_frozen_before_the_job(self):
        """Guards against a start at every forward that waited in a frozen VM."""
        key = await self.deployment.new_id(FIRST)
        fields = {"run_ms": 50, "deadline_ms": 500}
        self.deployment.vms[FIRST].signal(signal.SIGSTOP)
        try:
            calls = [self.submit(vm, key, **fields) for vm in (SECOND, THIRD) * 2]
            for _, body in await asyncio.gather(*calls):
                self.assertIn(body["reason"], NO_REPLY)
                self.assertFalse(body["not_run"])
        finally:
            self.deployment.vms[FIRST].signal(signal.SIGCONT)
        await self.submit(SECOND, key, **fields)
        await self.submit(FIRST, key, **fields)
        await self.assert_at_most_once(key)

    @with_deployment
    async def test_claiming_vm_frozen(self):
        """Guards against two starts when a claim is sent late by a frozen VM."""
        key = caller_made_id(next(self.ids))
        await self.set_faults(delay_ms=200, paths=CLAIM_CALLS)
        first = self.submit(FIRST, key, run_ms=50, deadline_ms=2000)
        await self.wait_claim_sent()
        self.deployment.vms[FIRST].signal(signal.SIGSTOP)
        try:
            second = await self.submit(SECOND, key, run_ms=50, deadline_ms=1000)
        finally:
            self.deployment.vms[FIRST].signal(signal.SIGCONT)
        third = await self.submit(THIRD, key, run_ms=50, deadline_ms=2000)
        answers = [second, await first, third]
        for status, body in answers:
            self.assertTrue(status == HTTP_OK or not body["not_run"], body)
        await self.assert_at_most_once(key)

    async def wait_claim_sent(self):
        """Wait until the platform has received one more transaction."""
        url = f"{self.deployment.platform_url}/calls"

        async def count():
            calls = await self.deployment.get_json(url)
            return calls.get("table/transact", 0)

        before = await count()

        async def more():
            return await count() > before

        await wait_for(more)

    @with_deployment
    async def test_draining_owner(self):
        """Guards against a drain that interrupts a job or takes a new one."""
        key = await self.deployment.new_id(FIRST)
        fresh = await self.deployment.new_id(FIRST)
        job = self.submit(FIRST, key, run_ms=2500)
        await self.wait_started(key)
        process = self.deployment.vms[FIRST]
        process.signal(signal.SIGTERM)
        readyz = f"{self.deployment.url(FIRST)}/readyz"

        async def not_ready():
            async with self.deployment.session.get(readyz) as response:
                return response.status != HTTP_OK

        await wait_for(not_ready)
        attached = self.submit(SECOND, key, run_ms=2500)
        refusals = {}
        for name in ("", fresh, caller_made_id(next(self.ids))):
            body = await self.submit_problem(FIRST, name)
            self.assertEqual(body["reason"], "draining")
            refusals[name] = body["not_run"]
        self.assertEqual(list(refusals.values()), [True, True, False])
        self.assertEqual(await attached, await job)
        self.assertEqual((await job)[0], HTTP_OK)
        self.assertEqual(await process.wait(), 0)
        await self.assert_each_once(key, 1)
        self.assertEqual(await self.starts_of(fresh), {})
        await self.deployment.start_vm(FIRST)
        await wait_linked(self.deployment)


if __name__ == "__main__":
    unittest.main()
