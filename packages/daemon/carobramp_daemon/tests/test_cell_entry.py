"""Tests of the service that holds open requests."""

import asyncio
import unittest

from carobramp_core.cells.entry import Entry
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import (
    CapacityReport,
    Completed,
    Offer,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
)
from carobramp_core.cells.tests.support import job
from carobramp_daemon.cells.entry import EntryService
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics


class FakeLink:
    """Link that keeps what is sent."""

    def __init__(self):
        self.offers: list[Offer] = []

    def send(self, message):
        """Keep an offer."""
        if isinstance(message, Offer):
            self.offers.append(message)


class LinkTests(unittest.IsolatedAsyncioTestCase):
    """Links to former and present owners of one cell."""

    async def asyncSetUp(self):
        """Submit a job, then replace the owner of its cell."""
        entry = Entry("tilburg", CellLimits())
        self.service = EntryService(entry, Metrics(), Log("entry", "front-1"))
        self.former, self.present, self.other = FakeLink(), FakeLink(), FakeLink()
        self.service.owner_link_opened("tilburg", 1, self.former)
        self.service.owner_link_opened("breda", 1, self.other)
        self.service.handle_message(
            "breda", self.other, CapacityReport("breda", 1, 16000, 16000, 0.0)
        )
        self.item = job()
        self.answer = asyncio.create_task(self.service.submit(self.item))
        await asyncio.sleep(0)
        self.service.owner_link_opened("tilburg", 2, self.present)

    async def asyncTearDown(self):
        """Withdraw the job."""
        self.answer.cancel()
        await asyncio.gather(self.answer, return_exceptions=True)

    async def test_late_message_of_a_former_owner_is_dropped(self):
        """Guards against tasks that two cells run.

        On trouble-3 of rl-plates (seed 516102664112) a former owner returned tasks
        after the present one had been offered them; they went to a third cell too.
        """
        reason = ReturnReason.NO_CAPACITY
        self.service.handle_message(
            "tilburg", self.former, TasksReturned(self.item.job_id, (0,), reason)
        )
        self.assertEqual(len(self.present.offers), 1)
        self.assertEqual(self.other.offers, [])

    async def test_late_close_of_a_former_link_changes_nothing(self):
        """Guards against a link to the present owner that is forgotten."""
        self.service.owner_link_closed("tilburg", self.former, 0.0)
        ended = TaskEnded(self.item.job_id, 0, TaskResult.DONE, "i-1")
        self.service.handle_message("tilburg", self.present, ended)
        self.assertEqual(await self.answer, Completed())
