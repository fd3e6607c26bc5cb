"""Unexpected errors cost one message, call or job and not the process."""

import asyncio
import unittest
from unittest import mock

from carobramp_core.cells.entry import Entry
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import Interrupted
from carobramp_core.cells.orders import CountEvent, OwnerTick, RunId, StartOrder
from carobramp_core.cells.tests.support import job
from carobramp_daemon.cells.entry import EntryService
from carobramp_daemon.cells.owner import OwnerService
from carobramp_daemon.cells.supervised_tasks import spawn
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics

ERRORS = "unexpected_errors"


class FailingService:
    """Service that counts errors and records that it has crashed."""

    def __init__(self):
        self.metrics = Metrics()
        self.event_log = Log("daemon", "front-1")
        self.crashed = False

    async def crash(self, reason):
        """Record the crash."""
        self.crashed = True

    async def raise_error(self, error):
        """Fail as a background task does."""
        raise error


class SpawnTests(unittest.IsolatedAsyncioTestCase):
    """Exceptions in background tasks."""

    async def run_failing_task(self, error):
        """Run a task that raises; return its service."""
        service = FailingService()
        task = spawn(service, service.raise_error(error))
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        return service

    async def test_exception_is_counted(self):
        """Guards against a process that ends because one call raised an exception."""
        service = await self.run_failing_task(ValueError("header with a line break"))
        self.assertFalse(service.crashed)
        self.assertEqual(service.metrics.counts[ERRORS]["raise_error"], 1)

    async def test_broken_invariant_stops_the_process(self):
        """Guards against a daemon that decides on a state known to be wrong."""
        service = await self.run_failing_task(AssertionError("a run without a task"))
        self.assertTrue(service.crashed)


class EventTests(unittest.IsolatedAsyncioTestCase):
    """Exceptions while an event is handled."""

    async def test_job_whose_event_fails_gets_an_answer(self):
        """Guards against a caller who waits for a job that the entry has lost."""
        entry = Entry("tilburg", CellLimits())
        service = EntryService(entry, Metrics(), Log("entry", "front-1"))
        with mock.patch.object(entry, "offer_tasks", side_effect=KeyError("cell")):
            async with asyncio.timeout(1):
                outcome = await service.submit(job())
        self.assertIsInstance(outcome, Interrupted)
        self.assertEqual(entry.jobs, {})
        self.assertEqual(service.metrics.counts[ERRORS]["JobReceived"], 1)

    async def test_owner_continues_after_a_failed_effect(self):
        """Guards against orders that are not sent because an earlier one failed."""
        owner = mock.Mock(limits=CellLimits())
        runs = [RunId("5c0e7a21d94b36f8", index, 1) for index in range(2)]
        orders = [StartOrder("i-1", "i-1:80", 1, run, "", 0, 1.0) for run in runs]
        owner.handle.return_value = orders
        service = OwnerService(
            owner, mock.Mock(), mock.Mock(), None, Metrics(), Log("owner", "front-1")
        )
        carried_out = []

        def carry_out(effect):
            carried_out.append(effect)
            if effect is orders[0]:
                raise ValueError("port out of range")

        with mock.patch.object(service, "carry_out", carry_out):
            service.dispatch(OwnerTick())
        self.assertEqual(carried_out, orders)
        self.assertEqual(service.metrics.counts[ERRORS]["StartOrder"], 1)

    async def test_decisions_of_the_owner_are_counted(self):
        """Guards against rejections that no metric shows."""
        owner = mock.Mock(limits=CellLimits())
        owner.handle.return_value = [CountEvent("job_admissions", "late", 2)]
        service = OwnerService(
            owner, mock.Mock(), mock.Mock(), None, Metrics(), Log("owner", "front-1")
        )
        service.dispatch(OwnerTick())
        self.assertEqual(service.metrics.counts["job_admissions"]["late"], 2)


if __name__ == "__main__":
    unittest.main()
