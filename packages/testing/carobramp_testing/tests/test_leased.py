"""Tests of daemons on the stand-in platform, as separate processes."""

import asyncio
import itertools
import signal
import time
import unittest

from carobramp_platform.tests.odd_entries import ENTRY, UNUSABLE_ENTRIES
from carobramp_testing.builders.jobs import leased_job
from carobramp_testing.checker import HTTP_OK, overlapping_runs, peak_cpu
from carobramp_testing.leased import LeasedDeployment
from carobramp_testing.processes import wait_for
from carobramp_testing.standins.leased import LeasedPlatform
from carobramp_testing.standins.leased.platform import ROUTES
from carobramp_testing.standins.leased.store import SERVERS

COMPLETED = (HTTP_OK, {"state": "completed"})
FAILED = (HTTP_OK, {"state": "failed"})
CANCELLED = (HTTP_OK, {"state": "cancelled"})
# Time in which a run has to end after its cancellation was acknowledged; the platform
# grants three seconds.
STOP_NOTICE_S = 1.0
# Upstreams that may crash under a task before it is given up.
MAX_CRASHES = 2
IN_FORCE_S = 2.0
# Time in which daemons find a store that has moved, and a desired state there.
SETTLE_S = 5.0
# Time in which a changed capacity has to be known, as the platform states.
CAPACITY_NOTICE_S = 3.0
TASK_CPU = 6800
FULL_CPU, SHRUNK_CPU = 16000, 9000
UNAVAILABLE, TIMEOUT, GONE = 503, 504, 410
UNEXPECTED_ERRORS = "carobramp_unexpected_errors{"


class LeasedCase(unittest.IsolatedAsyncioTestCase):
    """Two zones with two daemons and three upstreams each."""

    async def asyncSetUp(self):
        """Start the deployment.

        The stand-ins run in the loop of the test; its debug mode makes them too slow
        for the time limits of the daemons on a busy machine.
        """
        asyncio.get_running_loop().set_debug(False)
        self.platform = LeasedPlatform()
        self.deployment = LeasedDeployment(self.platform)
        await self.deployment.__aenter__()
        self.addAsyncCleanup(self.deployment.__aexit__, None, None, None)
        self.number = 0

    def daemon(self, name="tilburg-0"):
        """Return a daemon by its name."""
        return self.deployment.daemons[name]

    async def submit(self, daemon, queue="previews", **fields):
        """Submit a job under a new id."""
        self.number += 1
        body = leased_job(**fields)
        return await self.deployment.submit(
            daemon, f"{self.number:016x}", body, queue=queue
        )

    def assert_no_overlap(self):
        """Check that no two runs of a task were there at one time."""
        self.assertEqual(overlapping_runs(self.platform.runs()), [])

    async def other_owner(self, cell, name):
        """Wait until a cell has another owner."""

        async def changed():
            owner = self.deployment.owner(cell)
            return owner is not None and owner.name != name

        await wait_for(changed)


class ServingTests(LeasedCase):
    """Calm days."""

    async def test_every_daemon_serves(self):
        """Guards against a daemon that cannot reach an owner."""
        for daemon in self.deployment.daemons.values():
            self.assertEqual(await self.submit(daemon), COMPLETED)
        self.assert_no_overlap()

    async def test_wide_job_uses_all_zones(self):
        """Guards against a job that waits while another zone has room."""
        answers = await asyncio.gather(
            *(self.submit(self.daemon(), tasks=8, run_ms=100) for _ in range(2))
        )
        self.assertEqual(answers, [COMPLETED] * 2)
        used = {w.zone for w in self.platform.workers.values() if w.runs}
        self.assertEqual(used, {"tilburg", "breda"})

    async def test_new_route_is_served_in_time(self):
        """Guards against a change of the desired state that comes late."""
        await self.platform.configure({**ROUTES, "stamps": {}})
        async with asyncio.timeout(IN_FORCE_S):
            while (await self.submit(self.daemon(), "stamps"))[0] != HTTP_OK:
                await asyncio.sleep(0.02)

    async def test_metrics_count_what_was_served(self):
        """Guards against an on-call engineer without figures."""
        await self.submit(self.daemon())
        text = await self.deployment.metrics(self.daemon())
        self.assertIn('carobramp_jobs{kind="completed"} 1', text)


class CancellationTests(LeasedCase):
    """Jobs that are cancelled while their callers wait."""

    async def test_job_runs_on_after_its_cancellation(self):
        """Guards against work that goes on after its cancellation was acknowledged.

        Every second job is cancelled at a daemon that does not have it.
        """
        daemons = list(self.deployment.daemons.values())
        ids = [f"{number:016x}" for number in range(4)]
        body = leased_job(tasks=1, run_ms=3000)
        jobs = [
            asyncio.create_task(self.deployment.submit(daemon, job_id, body, "files"))
            for daemon, job_id in zip(daemons, ids, strict=True)
        ]
        await wait_for(self.all_run)
        statuses = []
        for number, job_id in enumerate(ids):
            daemon = daemons[number if number % 2 else number - 1]
            statuses.append(await self.deployment.cancel(daemon, job_id, "files"))
        self.assertEqual(statuses, [GONE, HTTP_OK, GONE, HTTP_OK])
        self.assertEqual(await asyncio.gather(*jobs), [CANCELLED] * 4)
        await asyncio.sleep(STOP_NOTICE_S)
        self.assertEqual({run.how for run in self.platform.runs()}, {"stopped"})

    async def all_run(self):
        """Whether each of four tasks runs."""
        return len(self.platform.runs()) == 4


class SettingsTests(LeasedCase):
    """Settings files that change while the daemons run."""

    async def test_store_moves_without_a_signal(self):
        """Guards against daemons that stay at the former address of the store."""
        store = self.platform.store
        former, address = store.runner, store.address
        await store.start()
        for daemon in self.deployment.daemons.values():
            text = daemon.settings.read_text()
            daemon.settings.write_text(text.replace(address, store.address))
        await former.cleanup()
        await self.platform.configure({**ROUTES, "orders": {}})
        for daemon in self.deployment.daemons.values():

            async def served(daemon=daemon):
                return await self.submit(daemon, "orders", tasks=1) == COMPLETED

            await wait_for(served, SETTLE_S)


class FaultTests(LeasedCase):
    """Daemons and upstreams that fail."""

    async def test_killed_owner_is_replaced_and_its_runs_go_on(self):
        """Guards against work that is lost or doubled with its owner."""
        owner = self.deployment.owner("tilburg")
        entry = self.daemon("breda-0")
        jobs = [
            asyncio.create_task(self.submit(entry, tasks=8, run_ms=1500))
            for _ in range(1)
        ]
        await wait_for(self.something_runs)
        await owner.end(signal.SIGKILL)
        await self.other_owner("tilburg", owner.name)
        self.assertEqual(await asyncio.gather(*jobs), [COMPLETED])
        self.assert_no_overlap()

    async def something_runs(self):
        """Whether every zone runs something."""
        used = {w.zone for w in self.platform.workers.values() if w.running}
        return used == {"tilburg", "breda"}

    async def test_frozen_owner_wakes_without_harm(self):
        """Guards against orders of an owner that was replaced while it slept."""
        owner = self.deployment.owner("tilburg")
        owner.send_signal(signal.SIGSTOP)
        await self.other_owner("tilburg", owner.name)
        job = asyncio.create_task(self.submit(self.daemon("breda-0"), run_ms=300))
        owner.send_signal(signal.SIGCONT)
        self.assertEqual(await job, COMPLETED)
        self.assertEqual(await self.submit(owner), COMPLETED)
        self.assert_no_overlap()

    async def test_stopped_owner_hands_over_and_cuts_nothing(self):
        """Guards against requests that a planned stop cuts off."""
        owner = self.deployment.owner("breda")
        jobs = [
            asyncio.create_task(self.submit(owner, tasks=2, run_ms=2000))
            for _ in range(3)
        ]
        await wait_for(self.all_started)
        await owner.end(signal.SIGTERM)
        self.assertEqual(await asyncio.gather(*jobs), [COMPLETED] * 3)
        self.assertEqual(owner.child.returncode, 0)
        self.assertEqual({run.how for run in self.platform.runs()}, {"done"})

    async def test_jobs_of_callers_that_go_on_are_cut_at_the_end_of_a_stop(self):
        """Guards against jobs that are accepted too late to end before the process."""
        owner = self.deployment.owner("breda")
        ending = asyncio.create_task(owner.end(signal.SIGTERM))
        jobs = []
        while not ending.done():
            jobs.append(asyncio.create_task(self.submit(owner, tasks=1, run_ms=900)))
            await asyncio.sleep(0.2)
        await asyncio.gather(ending, *jobs)
        self.assertEqual({run.how for run in self.platform.runs()}, {"done"})

    async def test_planned_stop_cuts_off_a_job_that_waits(self):
        """Guards against connections that close without an answer.

        All upstreams are busy for as long as the process has to stop.
        """
        stopped = self.daemon("breda-0")
        body = leased_job(tasks=12, run_ms=5500)
        busy = self.deployment.submit(self.daemon("tilburg-0"), "b" * 16, body, "files")
        occupying = asyncio.create_task(busy)
        await wait_for(self.all_upstreams_busy)
        ending = asyncio.create_task(stopped.end(signal.SIGTERM))
        waiting = await self.submit(stopped, tasks=2, run_ms=1500, queue="files")
        self.assertEqual(waiting[0], TIMEOUT)
        await ending
        self.assertEqual(stopped.child.returncode, 0)
        self.assertEqual(await occupying, COMPLETED)

    async def all_upstreams_busy(self):
        """Whether no upstream has capacity for another task."""
        return all(len(w.running) == 2 for w in self.platform.workers.values())

    async def all_started(self):
        """Whether each of six tasks has started."""
        return len({run.task for run in self.platform.runs()}) == 6

    async def test_owner_keeps_its_entry_after_a_handover(self):
        """Guards against a new owner whose own callers are refused.

        The link to the former owner closed after the new owner had linked itself,
        and took that link along: 83 requests of trouble-2 were refused.
        """
        owner = self.deployment.owner("tilburg")
        await owner.end(signal.SIGTERM)
        await self.other_owner("tilburg", owner.name)
        successor = self.deployment.owner("tilburg")
        for worker in self.platform.workers.values():
            if worker.zone == "breda":
                worker.faults.silent = True
        await asyncio.sleep(1.0)
        self.assertEqual(await self.submit(successor, tasks=1), COMPLETED)

    async def test_late_orders_do_no_harm(self):
        """Guards against starts that are carried out after their task ran elsewhere."""
        late = self.platform.workers["i-tilburg-0"]
        late.faults.late_s = 1.6
        for _ in range(4):
            await self.submit(self.daemon(), run_ms=200)
        await asyncio.sleep(2.0)
        self.assert_no_overlap()
        self.assertEqual([run for run in late.runs if run.ended_at is None], [])

    async def test_store_outage_is_outlived(self):
        """Guards against requests that wait for the store."""
        self.platform.store.faults.status = UNAVAILABLE
        for daemon in self.deployment.daemons.values():
            self.assertEqual(await self.submit(daemon), COMPLETED)
        self.platform.store.faults.status = 0
        self.platform.store.forget_history()
        await self.platform.configure({**ROUTES, "stamps": {}})
        async with asyncio.timeout(2 * IN_FORCE_S):
            while (await self.submit(self.daemon(), "stamps"))[0] != HTTP_OK:
                await asyncio.sleep(0.02)


class OddEntryTests(LeasedCase):
    """Entries of another writer in the list of upstreams."""

    async def test_odd_entries_prevent_every_takeover(self):
        """Guards against daemons that end or own no cell because of one entry.

        The entries precede those of the workers and change while daemons start.
        """
        daemons = list(self.deployment.daemons.values())
        await asyncio.gather(*(daemon.end() for daemon in daemons))
        for number, data in enumerate(UNUSABLE_ENTRIES.values()):
            await self.platform.store.put(SERVERS, f"a-{number}", data)
        await asyncio.gather(*(daemon.start() for daemon in daemons))
        await wait_for(self.deployment.all_ready)
        for number, data in enumerate(UNUSABLE_ENTRIES.values()):
            await self.platform.store.put(SERVERS, f"b-{number}", data)
        for daemon in daemons:
            self.assertEqual(await self.submit(daemon), COMPLETED)
            self.assertIsNone(daemon.child.returncode)
            lines = (await self.deployment.metrics(daemon)).splitlines()
            counters = [line for line in lines if line.startswith(UNEXPECTED_ERRORS)]
            self.assertEqual(counters, [])
        self.assert_no_overlap()

    async def test_entries_of_another_program_prevent_every_takeover(self):
        """Guards against cells without an owner beside well-formed foreign entries.

        Nobody answers at their addresses.
        """
        daemons = list(self.deployment.daemons.values())
        await asyncio.gather(*(daemon.end() for daemon in daemons))
        for number, zone in itertools.product(range(9), self.platform.zones):
            foreign = ENTRY | {"service": "label-printer", "zone": zone}
            await self.platform.store.put(SERVERS, f"a-{zone}-{number}", foreign)
        await asyncio.gather(*(daemon.start() for daemon in daemons))
        await wait_for(self.deployment.all_ready)
        for daemon in daemons:
            self.assertEqual(await self.submit(daemon), COMPLETED)


class ChangedCapacityTests(LeasedCase):
    """Upstreams that do not enforce their capacity, which changes while they run."""

    def resize(self, cpu):
        """Change the capacity of every upstream, as their next reports say."""
        for worker in self.platform.workers.values():
            worker.enforces_capacity = False
            worker.cpu = cpu

    async def peak_under_load(self):
        """Fill the upstreams; return the most cores that any of them had in use."""
        since = time.monotonic()
        jobs = [self.submit(self.daemon(), tasks=4, run_ms=100) for _ in range(8)]
        self.assertIn(COMPLETED, await asyncio.gather(*jobs))
        workers = self.platform.workers.values()
        return max(peak_cpu(worker.runs, since) for worker in workers)

    async def test_starts_exceed_a_capacity_that_has_shrunk(self):
        """Guards against starts by the capacity that an upstream once had."""
        peaks = []
        for cpu in (FULL_CPU, SHRUNK_CPU, FULL_CPU):
            self.resize(cpu)
            await asyncio.sleep(CAPACITY_NOTICE_S)
            peaks.append(await self.peak_under_load())
        fitting = [FULL_CPU // TASK_CPU, SHRUNK_CPU // TASK_CPU, FULL_CPU // TASK_CPU]
        self.assertEqual([peak // TASK_CPU for peak in peaks], fitting)


class CrashingTaskTests(LeasedCase):
    """Tasks that crash each upstream that starts them."""

    def crash_count(self):
        """Return how many upstreams have crashed."""
        return sum(worker.crash_count for worker in self.platform.workers.values())

    async def test_task_crashes_one_upstream_after_another(self):
        """Guards against a task that is started again until its caller gives up."""
        answer = await self.submit(
            self.daemon(), tasks=1, run_ms=1200, queue="files", crash=True
        )
        self.assertEqual(answer, FAILED)
        self.assertLessEqual(self.crash_count(), MAX_CRASHES)

    async def test_crashes_are_forgotten_by_the_next_entry(self):
        """Guards against a count that a request to another daemon begins anew."""
        body = leased_job(tasks=1, run_ms=1200, crash=True)
        for daemon in self.deployment.daemons.values():
            answer = await self.deployment.submit(daemon, "f" * 16, body, "files")
        self.assertEqual(answer, FAILED)
        self.assertLessEqual(self.crash_count(), MAX_CRASHES)

    async def test_task_beside_a_crashing_one_completes(self):
        """Guards against a task that is given up for the crashes of another one."""
        innocent = asyncio.create_task(self.submit(self.daemon(), tasks=6, run_ms=900))
        await wait_for(self.some_task_runs)
        await self.submit(self.daemon("breda-0"), tasks=1, run_ms=900, crash=True)
        self.assertEqual(await innocent, COMPLETED)

    async def some_task_runs(self):
        """Whether a task runs."""
        return any(worker.running for worker in self.platform.workers.values())
