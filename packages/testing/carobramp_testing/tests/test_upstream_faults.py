"""Upstreams that fail in each of the expected ways, with real processes."""

import asyncio
import time
import unittest

import msgspec

from carobramp_schema.generated.ticket import Ticket, UpstreamChange
from carobramp_testing.processes import HTTP_OK, ZONES, wait_for
from carobramp_testing.tests.case import FaultCase, reason_of

BURST = 16
# Time between the check of the clock at the VM and the record at the upstream.
# An upstream that is known to leave gets no new task after this time.
LEAVING_GRACE_S = 1.0
CLOCK_MARGIN_S = 0.2


class LostAnswerTests(FaultCase):
    """A task whose answer is unusable fails its job; no task starts again."""

    async def fail_at_one(self, reasons, deadline_ms=5000, **faults):
        """Give one of two upstreams a fault; its jobs must fail, and only these."""
        await self.deploy(speeds=(1.0, 1.0), slots=BURST // 2)
        faulty, sound = self.deployment.upstream_urls()
        await self.deployment.set_faults(faulty, **faults)
        attempts = await self.callers.submit_many(
            BURST, run_ms=200, deadline_ms=deadline_ms
        )
        hit = await self.started_at(faulty)
        failed = [a for a in attempts if a.submission_id in hit]
        served = [a for a in attempts if a.submission_id not in hit]
        self.assertTrue(failed)
        self.assertTrue(served)
        self.assert_whole(served)
        self.assertEqual(self.reasons(failed), reasons)
        await self.deployment.set_faults(faulty)
        await self.serve_again()
        await self.assert_sound()

    async def serve_again(self):
        """Wait until a burst is served whole."""

        async def served():
            attempts = await self.callers.submit_many(BURST)
            return all(attempt.status == HTTP_OK for attempt in attempts)

        await wait_for(served)

    async def test_connection_closed_after_reading(self):
        """Guards against a second start after a connection that closed."""
        await self.fail_at_one({"outcome_unknown"}, close_after_read=True)

    async def test_truncated_answer(self):
        """Guards against half an answer taken as whole, and a second start."""
        await self.fail_at_one({"outcome_unknown"}, truncate=True)

    async def test_answer_for_another_task(self):
        """Guards against an answer that reaches the wrong request."""
        await self.fail_at_one({"outcome_unknown"}, other_task=True)

    async def test_answer_after_the_deadline(self):
        """Guards against a job that outlives its deadline, or a late answer taken."""
        await self.fail_at_one({"deadline_exceeded"}, deadline_ms=900, late_ms=1500)

    async def test_upstream_that_fails_everything(self):
        """Guards against retries of failed tasks, and failures that spread."""
        await self.fail_at_one({"task_failed"}, fail=True)


class AnswerMixTests(FaultCase):
    """Answers that arrive twice, late or for other tasks are never mixed up."""

    async def test_second_answers(self):
        """Guards against a duplicate answer taken for the next request's."""
        await self.deploy(speeds=(1.0, 1.0))
        url = self.deployment.upstream_urls()[0]
        await self.deployment.set_faults(url, twice=True)
        for _ in range(5):
            attempts = await self.callers.submit_many(BURST, run_ms=15)
            self.assertLessEqual(self.reasons(attempts), {"", "outcome_unknown"})
        await self.assert_sound()

    async def test_callers_with_mixed_faults(self):
        """Guards against answers that cross between callers."""
        await self.deploy(zones=ZONES[:2], speeds=(1.0,) * 4)
        faults = ({"twice": True}, {"other_task": True}, {"late_ms": 100}, {})
        for zone in ZONES[:2]:
            urls = self.deployment.upstream_urls(zone)
            for url, fault in zip(urls, faults, strict=True):
                await self.deployment.set_faults(url, **fault)
        for _ in range(5):
            attempts = await self.callers.submit_many(2 * BURST, tasks=2, run_ms=20)
            self.assertIn("", self.reasons(attempts))
        await self.assert_sound()


class RefusalTests(FaultCase):
    """Tasks that certainly did not start are tried elsewhere."""

    async def test_refusing_upstream(self):
        """Guards against jobs lost to one refusing upstream, and double starts."""
        await self.deploy(speeds=(1.0, 1.0), service={"retry_percent": 100})
        url = self.deployment.upstream_urls()[0]
        await self.deployment.set_faults(url, refuse=True)
        attempts = await self.callers.submit_many(BURST, run_ms=100)
        self.assert_whole(attempts)
        records = (await self.deployment.records())[url]
        self.assertTrue(any(task["refused"] for task in records.values()))
        self.assertFalse(any(task["starts"] for task in records.values()))
        await self.assert_sound()

    async def test_all_upstreams_refuse(self):
        """Guards against a job that is retried without end."""
        await self.deploy(speeds=(1.0, 1.0))
        for url in self.deployment.upstream_urls():
            await self.deployment.set_faults(url, refuse=True)
        attempts = await self.callers.submit_many(4, deadline_ms=1000)
        self.assertNotIn("", self.reasons(attempts))
        await self.assert_sound()


class KilledUpstreamTests(FaultCase):
    """Upstreams that die take only their running tasks with them."""

    async def test_killed_with_tasks_running(self):
        """Guards against second starts of tasks that a dead upstream ran."""
        await self.deploy(zones=ZONES[:2], service={"retry_percent": 100})
        dying, living = ZONES[:2]
        jobs = asyncio.create_task(self.callers.submit_many(BURST, run_ms=1500))
        url = self.deployment.upstream_urls(dying)[0]
        hit = await wait_for(lambda: self.started_at(url))
        await self.deployment.kill_upstreams(dying)
        attempts = await jobs
        failed = [a for a in attempts if a.status != HTTP_OK]
        self.assertLessEqual(hit, {a.submission_id for a in failed})
        self.assertEqual(self.reasons(failed), {"outcome_unknown"})
        after = await self.callers.submit_many(BURST)
        self.assert_whole(after)
        await self.assert_sound()


class LeavingTests(FaultCase):
    """A leaving upstream gets no new task, and its running tasks finish."""

    async def leave(self, announce):
        """Let the first upstream leave under load by calling `announce(url)`."""
        await self.deploy(vms_per_zone=2, speeds=(1.0, 1.0))
        self.url = self.deployment.upstream_urls()[0]
        long_jobs = asyncio.create_task(
            self.callers.submit_many(BURST // 2, run_ms=2500)
        )
        await wait_for(lambda: self.started_at(self.url))
        async with self.callers.load(run_ms=30):
            known_at = await announce(self.url)
            await wait_for(lambda: passed(known_at + LEAVING_GRACE_S + 1.0))
        self.assert_whole(await long_jobs)
        self.assert_whole(self.callers.attempts)
        tasks = (await self.deployment.get_json(f"{self.url}/records"))["tasks"]
        last = max(task["last_request_at"] for task in tasks.values())
        self.assertLess(last, known_at + LEAVING_GRACE_S + CLOCK_MARGIN_S)
        await self.assert_sound()

    async def test_leaving_by_ticket(self):
        """Guards against work for an upstream that a ticket marks as leaving."""

        async def put_leaving(url):
            change = self.deployment.first_ticket().upstreams[0]
            state = msgspec.structs.replace(change.state, leaving=True)
            leaving = UpstreamChange(change.name, 1, state)
            ticket = Ticket(number=2, author="operator", upstreams=[leaving])
            vms = list(self.deployment.vms)
            status, body = await self.deployment.put_ticket(vms[0], ticket)
            self.assertEqual(status, HTTP_OK, body)
            await wait_for(lambda: self.in_force(vms, 2))
            return time.time()

        await self.leave(put_leaving)

    async def test_leaving_by_answer(self):
        """Guards against work for an upstream that reports that it leaves."""

        async def report_leaving(url):
            await self.deployment.set_faults(url, report_leaving=True)
            # Each entry VM learns it from its own next answer of the upstream, which
            # may be that of a task that already ran.
            said_at = time.time()
            await wait_for(lambda: self.answered_each_vm(url, said_at))
            return time.time()

        await self.leave(report_leaving)

    async def in_force(self, vms, number):
        """Whether a ticket is in force at all entry VMs."""
        urls = [f"{self.deployment.url(vm)}/v1/status" for vm in vms]
        states = [await self.deployment.get_json(url) for url in urls]
        return all(state["state_number"] >= number for state in states)

    async def answered_each_vm(self, url, since):
        """Whether each entry VM got an answer of the upstream after a time."""
        tasks = (await self.deployment.get_json(f"{url}/records"))["tasks"]
        ended = {
            task_id.rpartition(":")[0]
            for task_id, task in tasks.items()
            if task["ended_at"] > since
        }
        vms = {a.vm for a in self.callers.attempts if a.submission_id in ended}
        return vms == set(self.deployment.vms)


class BoundedFailureTests(FaultCase):
    """Jobs that cannot run fail clearly, on time."""

    async def test_no_upstream(self):
        """Guards against a job that waits for upstreams that never come."""
        await self.deploy()
        removed = [
            UpstreamChange(change.name, 1, None)
            for change in self.deployment.first_ticket().upstreams
        ]
        ticket = Ticket(number=2, author="operator", upstreams=removed)
        vm = next(iter(self.deployment.vms))
        status, body = await self.deployment.put_ticket(vm, ticket)
        self.assertEqual(status, HTTP_OK, body)
        attempts = await self.callers.submit_many(4, deadline_ms=800)
        self.assertNotIn("", self.reasons(attempts))
        for attempt in attempts:
            self.assertTrue(attempt.body["not_run"], attempt.body)
        await self.assert_sound()

    async def test_task_longer_than_its_deadline(self):
        """Guards against a job that holds its caller past the deadline."""
        await self.deploy()
        attempts = await self.callers.submit_many(4, run_ms=3000, deadline_ms=600)
        expected = {"deadline_unmeetable", "deadline_exceeded"}
        self.assertLessEqual(self.reasons(attempts), expected)
        await self.assert_sound()

    async def test_wrong_names(self):
        """Guards against requests for unknown objects that start or hang."""
        await self.deploy()
        names = {
            "service": "unknown_service",
            "team": "unknown_team",
            "priority_class": "unknown_class",
        }
        for field, reason in names.items():
            with self.subTest(field=field):
                attempts = await self.callers.submit_many(1, **{field: "nobody"})
                self.assertEqual(reason_of(attempts[0]), reason)
                self.assertTrue(attempts[0].body["not_run"])
        await self.assert_sound()


async def passed(when):
    """Whether the clock has passed `when`."""
    return time.time() >= when


if __name__ == "__main__":
    unittest.main()
