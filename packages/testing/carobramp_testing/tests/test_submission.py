"""Submissions run at most once while the store fails, or they are repeated."""

import asyncio
import unittest

import msgspec

from carobramp_testing.builders import caller_made_id, job_request
from carobramp_testing.exposition import read_samples
from carobramp_testing.processes import HTTP_OK, wait_for
from carobramp_testing.tests.submission_case import (
    CLAIM_CALLS,
    FIRST,
    LONG_DEADLINE_MS,
    LONG_MS,
    SECOND,
    THIRD,
    VMS,
    SubmissionCase,
    with_deployment,
)


class RepeatedTests(SubmissionCase):
    """Repeated, concurrent and conflicting submissions."""

    @with_deployment
    async def test_same_submission_at_all_vms_at_once(self):
        """Guards against a second start by a VM that does not own the id."""
        for kind, key in (await self.keys(FIRST)).items():
            with self.subTest(kind):
                calls = [self.submit(vm, key, tasks=3, run_ms=100) for vm in VMS * 2]
                answers = await asyncio.gather(*calls)
                self.assertEqual({status for status, _ in answers}, {HTTP_OK}, answers)
                self.assertTrue(all(body == answers[0][1] for _, body in answers))
                await self.assert_each_once(key, 3)

    @with_deployment
    async def test_repeated_submission_attaches_or_gets_the_record(self):
        """Guards against a resubmission that starts the job again."""
        for kind, key in (await self.keys(FIRST)).items():
            with self.subTest(kind):
                first = self.submit(FIRST, key, run_ms=300)
                await self.wait_started(key)
                attached = await self.submit(SECOND, key, run_ms=300)
                recorded = await self.submit(THIRD, key, run_ms=300)
                self.assertEqual(attached, await first)
                self.assertEqual(recorded, await first)
                self.assertEqual(attached[0], HTTP_OK)
                await self.assert_each_once(key, 1)

    @with_deployment
    async def test_forward_is_sent_and_counted_once(self):
        """Guards against a forward that a layer sends again, or that is not counted."""
        before = await self.forwards()
        await self.submit(SECOND, await self.deployment.new_id(FIRST))
        sent, received = [
            after - count
            for after, count in zip(await self.forwards(), before, strict=True)
        ]
        self.assertEqual(sent, 1)
        # The request and its reply.
        self.assertEqual(received, 2)

    async def forwards(self):
        """Return the forwards that one VM counts as sent and another as messages."""
        counts = []
        for vm, name in ((SECOND, "wasted_messages"), (FIRST, "peer_messages")):
            url = f"{self.deployment.url(vm)}/metrics"
            async with self.deployment.session.get(url) as response:
                samples = read_samples(await response.text())
            counts.append(samples.get(f"carobramp_{name}", {}).get("forward", 0))
        return counts

    @with_deployment
    async def test_other_body(self):
        """Guards against an answer to another body under the same id."""
        for kind, key in (await self.keys(FIRST)).items():
            await self.submit(FIRST, key, tasks=1)
            for vm in (FIRST, SECOND):
                with self.subTest(kind, vm=vm):
                    body = await self.submit_problem(vm, key, tasks=2)
                    self.assertEqual(body["reason"], "submission_conflict")
                    self.assertFalse(body["not_run"])
            await self.assert_each_once(key, 1)

    @with_deployment
    async def test_body_of_another_team(self):
        """Guards against two teams that run different jobs under one id.

        Claim rows once were kept by team, so that each team had its own; a chaos
        run with seed 7 then started tasks of the same name twice.
        """
        for kind, key in (await self.keys(FIRST)).items():
            await self.submit(FIRST, key, team="bakery")
            for vm in VMS:
                with self.subTest(kind, vm=vm):
                    body = await self.submit_problem(vm, key, team="club")
                    self.assertEqual(body["reason"], "submission_conflict")
                    self.assertFalse(body["not_run"])
            await self.assert_each_once(key, 1)

    @with_deployment
    async def test_recorded_refusal_stays(self):
        """Guards against a start under an id that was refused as not run."""
        for kind, key in (await self.keys(FIRST)).items():
            refused = await self.submit_problem(FIRST, key, service="none")
            self.assertTrue(refused["not_run"])
            for vm in VMS:
                with self.subTest(kind, vm=vm):
                    again = await self.submit_problem(vm, key, service="none")
                    self.assertEqual(again, refused)
            self.assertEqual(await self.starts_of(key), {})

    @with_deployment
    async def test_unusable_ids(self):
        """Guards against a start, or a false `not_run`, for an unusable id."""
        forged = (await self.deployment.new_id(FIRST))[:-1] + "x"
        issued = await self.deployment.new_id(FIRST)
        other_tag = issued[:-24] + "0" * 24
        expected = {
            "": "submission_invalid",
            "order 17": "submission_invalid",
            forged: "submission_invalid",
            other_tag: "submission_invalid",
            caller_made_id(next(self.ids), age=901): "submission_expired",
            caller_made_id(next(self.ids), age=-65): "submission_expired",
        }
        for key, reason in expected.items():
            with self.subTest(key):
                headers = {"Idempotency-Key": key}
                url = f"{self.deployment.url(FIRST)}/v1/jobs"
                data = msgspec.json.encode(job_request())
                async with self.deployment.session.post(
                    url, data=data, headers=headers
                ) as response:
                    body = await response.json(content_type=None)
                self.assertEqual((body["reason"], body["not_run"]), (reason, False))
                self.assertEqual(await self.starts_of(key), {})

    @with_deployment
    async def test_two_ids(self):
        """Guards against one of two ids that is taken for the submission."""
        keys = [await self.deployment.new_id(FIRST) for _ in range(2)]
        url = f"{self.deployment.url(FIRST)}/v1/jobs"
        data = msgspec.json.encode(job_request())
        headers = [("Idempotency-Key", key) for key in keys]
        async with self.deployment.session.post(
            url, data=data, headers=headers
        ) as response:
            body = await response.json(content_type=None)
        self.assertEqual(
            (body["reason"], body["not_run"]), ("submission_invalid", False)
        )
        for key in keys:
            self.assertEqual(await self.starts_of(key), {})

    @with_deployment
    async def test_cancel_at_another_vm(self):
        """Guards against a cancellation that does not reach the owner."""
        for kind, key in (await self.keys(FIRST)).items():
            with self.subTest(kind):
                job = self.submit(
                    FIRST, key, run_ms=LONG_MS, deadline_ms=LONG_DEADLINE_MS
                )
                await self.wait_started(key)
                url = f"{self.deployment.url(SECOND)}/v1/jobs/{key}"
                async with self.deployment.session.delete(url) as response:
                    self.assertEqual(response.status, 202)
                _, body = await job
                self.assertEqual(
                    (body["reason"], body["not_run"]), ("cancelled", False)
                )

    @with_deployment
    async def test_caller_without_id_disconnects(self):
        """Guards against work for a caller that cannot come back."""
        job = self.submit(FIRST, "", run_ms=LONG_MS, deadline_ms=LONG_DEADLINE_MS)

        async def jobs():
            url = f"{self.deployment.url(FIRST)}/v1/status"
            return (await self.deployment.get_json(url))["jobs"]

        await wait_for(jobs)
        job.cancel()

        async def no_jobs():
            return not await jobs()

        await wait_for(no_jobs)

    @with_deployment
    async def test_caller_with_id_disconnects(self):
        """Guards against a job that ends with the connection of its caller."""
        for kind, key in (await self.keys(FIRST)).items():
            for vm in (FIRST, SECOND):
                with self.subTest(kind, vm=vm):
                    job = self.submit(vm, key, run_ms=400)
                    await self.wait_started(key)
                    job.cancel()
                    status, body = await self.submit(THIRD, key, run_ms=400)
                    self.assertEqual(status, HTTP_OK, body)
                    await self.assert_each_once(key, 1)


class StoreFailureTests(SubmissionCase):
    """The platform's table is down, slow or loses replies."""

    @with_deployment
    async def test_store_down(self):
        """Guards against a start without a claim, and issued ids that need one."""
        await self.set_faults(down=True)
        key = caller_made_id(next(self.ids))
        body = await self.submit_problem(FIRST, key)
        self.assertEqual(
            (body["reason"], body["not_run"]), ("claim_unavailable", False)
        )
        self.assertEqual(await self.starts_of(key), {})
        issued = await self.deployment.new_id(FIRST)
        status, body = await self.submit(SECOND, issued)
        self.assertEqual(status, HTTP_OK, body)

    @with_deployment
    async def test_store_slow(self):
        """Guards against a claim that is lost while the store is slow."""
        await self.set_faults(delay_ms=200, paths=CLAIM_CALLS)
        keys = [caller_made_id(next(self.ids)) for _ in range(20)]
        calls = [self.submit(vm, key) for key in keys for vm in (FIRST, SECOND)]
        for status, body in await asyncio.gather(*calls):
            self.assertEqual(status, HTTP_OK, body)
        for key in keys:
            await self.assert_each_once(key, 1)

    @with_deployment
    async def test_lost_replies_are_read_back(self):
        """Guards against a lost reply that loses the job or runs it twice."""
        await self.set_faults(lose_replies=True, paths=["table/transact"])
        key = caller_made_id(next(self.ids))
        calls = [self.submit(vm, key) for vm in VMS]
        for status, body in await asyncio.gather(*calls):
            self.assertEqual(status, HTTP_OK, body)
        await self.assert_each_once(key, 1)

    @with_deployment
    async def test_claim_with_unknown_result(self):
        """Guards against a second start, or none ever, after an unknown claim."""
        faults = {
            "lost": {"lose_replies": True, "paths": CLAIM_CALLS},
            "late": {"delay_ms": 900, "paths": CLAIM_CALLS},
        }
        for name, fault in faults.items():
            with self.subTest(name):
                await self.set_faults(**fault)
                key = caller_made_id(next(self.ids))
                body = await self.submit_problem(FIRST, key)
                self.assertEqual(
                    (body["reason"], body["not_run"]), ("claim_unavailable", False)
                )
                self.assertEqual(await self.starts_of(key), {})
                await self.set_faults()
                await self.wait_for_row(key)
                answers = [await self.submit(vm, key) for vm in (SECOND, FIRST)]
                self.assertEqual(answers[0], answers[1])
                self.assertEqual(answers[0][0], HTTP_OK, answers)
                await self.assert_each_once(key, 1)

    async def wait_for_row(self, key):
        """Wait until the claim row of an id is in the table."""
        url = f"{self.deployment.platform_url}/table/read"

        async def row():
            body = {"keys": [f"claim/{key}"]}
            return (await self.deployment.post_json(url, body))["rows"]

        await wait_for(row)


if __name__ == "__main__":
    unittest.main()
