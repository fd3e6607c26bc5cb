"""Evacuation of availability zones by ticket, with real processes under load."""

import asyncio
import itertools
import unittest

from carobramp_testing.builders import evacuation_ticket, job_request
from carobramp_testing.processes import HTTP_OK, Deployment, wait_for
from carobramp_testing.tests.ticket_case import FAST, HTTP_UNAVAILABLE, TicketCase

FIRST, SECOND = ZONES = ("tilburg", "breda")
SENT_EVERY_S = 0.02
# Jobs that run after a change has come into force, before starts are counted.
JOBS_AFTER = 40


class Load:
    """Sends jobs to all entry VMs in turn until it is stopped."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.jobs = []
        self.sending = asyncio.create_task(self.send())

    async def send(self):
        """Send jobs at intervals."""
        for vm in itertools.cycle(self.deployment.vms):
            call = self.deployment.submit(vm, job_request(tasks=2, run_ms=50))
            self.jobs.append(asyncio.create_task(call))
            await asyncio.sleep(SENT_EVERY_S)

    async def finish_sent(self):
        """Wait for the answers to all jobs that were sent until now."""
        await asyncio.gather(*list(self.jobs))

    async def run_more(self, count=JOBS_AFTER):
        """Wait for the answers to further jobs; return their status and body."""
        first = len(self.jobs)

        async def sent():
            return len(self.jobs) >= first + count

        await wait_for(sent)
        return await asyncio.gather(*self.jobs[first:])

    async def stop(self):
        """Stop sending and return the status and body of each job."""
        self.sending.cancel()
        return await asyncio.gather(*self.jobs)


class EvacuationTests(TicketCase):
    """A ticket evacuates a zone, and another one ends it."""

    async def asyncSetUp(self):
        """Start two zones under load."""
        self.deployment = Deployment(ZONES, speeds=(1.0, 1.0), settings=FAST)
        await self.enterAsyncContext(self.deployment)
        self.load = Load(self.deployment)
        self.addAsyncCleanup(self.load.stop)

    async def put(self, number, **fields):
        """Put an evacuation ticket at one of the VMs in turn.

        The VM has the ticket before, as it would otherwise answer with a gap.
        """
        vm = list(self.deployment.vms)[number % len(ZONES)]
        await self.wait_number(self.deployment, number - 1, [vm])
        await self.accept(self.deployment, vm, evacuation_ticket(number, **fields))

    async def wait_usable(self, *zones):
        """Wait until all VMs use the upstreams of exactly these zones."""

        async def everywhere():
            found = [
                (row["availability_zone"] in zones) == row["usable"]
                for vm in self.deployment.vms
                for row in (await self.status(self.deployment, vm))["upstreams"]
            ]
            return all(found)

        await wait_for(everywhere)
        await self.load.finish_sent()

    def start_count(self, zone):
        """Return the number of starts in a zone until now."""
        return sum(line[0] == zone for line in self.deployment.start_lines())

    async def assert_empty(self, zone):
        """Check that nothing starts in an evacuated zone, and jobs run elsewhere."""
        before = self.start_count(zone)
        answers = await self.load.run_more()
        self.assertEqual({status for status, _ in answers}, {HTTP_OK})
        self.assertEqual(self.start_count(zone), before)

    async def assert_used(self, zone):
        """Wait until tasks start in a zone."""
        before = self.start_count(zone)

        async def started():
            return self.start_count(zone) > before

        await wait_for(started)

    async def test_evacuate_end_and_evacuate_again(self):
        """Guards against starts in an evacuated zone, and against lost jobs.

        The second request follows the end of the first at once, so that a VM may see
        both tickets together.
        """
        await self.assert_used(FIRST)
        await self.put(2, begun=[FIRST])
        await self.wait_usable(SECOND)
        await self.assert_empty(FIRST)
        await self.put(3, ended=[FIRST], set_by={FIRST: 2})
        await self.put(4, begun=[FIRST])
        await self.wait_number(self.deployment, 4)
        await self.wait_usable(SECOND)
        await self.assert_empty(FIRST)
        for vm in self.deployment.vms:
            shown = (await self.status(self.deployment, vm))["evacuated_zones"]
            self.assertEqual(shown, [{"name": FIRST, "set_by": 4}])
        await self.put(5, ended=[FIRST], set_by={FIRST: 4})
        await self.wait_usable(*ZONES)
        await self.assert_used(FIRST)
        answers = await self.load.stop()
        self.assertEqual({status for status, _ in answers}, {HTTP_OK})
        self.assertEqual(set((await self.deployment.starts()).values()), {1})

    async def test_all_zones(self):
        """Guards against jobs that wait for nothing, and untrue refusals."""
        await self.put(2, begun=ZONES)
        await self.wait_usable()
        answers = await self.load.run_more()
        self.assertEqual({status for status, _ in answers}, {HTTP_UNAVAILABLE})
        self.assertEqual({body["not_run"] for _, body in answers}, {True})
        await self.put(3, ended=ZONES, set_by=dict.fromkeys(ZONES, 2))
        await self.wait_usable(*ZONES)
        answers = await self.load.run_more()
        self.assertEqual({status for status, _ in answers}, {HTTP_OK})
        refused = [body for status, body in await self.load.stop() if status != HTTP_OK]
        self.assertEqual({body["reason"] for body in refused}, {"evacuated"})
        started = {line[1].rpartition(":")[0] for line in self.deployment.start_lines()}
        not_run = {body["submission_id"] for body in refused if body["not_run"]}
        self.assertEqual(started & not_run, set())


if __name__ == "__main__":
    unittest.main()
