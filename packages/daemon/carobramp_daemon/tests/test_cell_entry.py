"""Tests of the service that runs jobs of callers."""

import asyncio
import unittest
from unittest import mock

from carobramp_core.cells.entry import Entry
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import (
    CapacityReport,
    Completed,
    Interrupted,
    NoResultReason,
    Offer,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
)
from carobramp_core.cells.tests.support import job
from carobramp_daemon.cells import entry as entry_module
from carobramp_daemon.cells.entry import EntryService
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics
from carobramp_schema.generated.scheduling import SchedulingSettings


class RecordingLink:
    """Link that records the offers sent over it."""

    def __init__(self):
        self.offers: list[Offer] = []

    def send(self, message):
        """Record an offer and ignore other messages."""
        if isinstance(message, Offer):
            self.offers.append(message)


class LinkTests(unittest.IsolatedAsyncioTestCase):
    """Messages and closed links of a former owner after another has replaced it."""

    async def asyncSetUp(self):
        """Offer a job to an owner, then replace that owner by another."""
        entry = Entry("tilburg", CellLimits())
        self.service = EntryService(entry, Metrics(), Log("entry", "front-1"))
        self.former, self.current, self.other = (
            RecordingLink(),
            RecordingLink(),
            RecordingLink(),
        )
        self.service.owner_link_opened("tilburg", 1, self.former)
        self.service.owner_link_opened("breda", 1, self.other)
        self.service.handle_message(
            "breda", self.other, CapacityReport("breda", 1, 16000, 16000, 0.0)
        )
        self.job = job()
        self.answer = asyncio.create_task(self.service.submit(self.job))
        await asyncio.sleep(0)
        self.service.owner_link_opened("tilburg", 2, self.current)

    async def asyncTearDown(self):
        """Cancel the job."""
        self.answer.cancel()
        await asyncio.gather(self.answer, return_exceptions=True)

    async def test_job_outlives_a_long_pause_of_the_process(self):
        """Guards against tasks that start after their caller has asked elsewhere."""
        later = self.service.running_at + CellLimits().lease_s + 0.1
        with mock.patch.object(entry_module, "now", lambda: later):
            self.service.check_pause()
            self.service.check_pause()
        outcome = await asyncio.wait_for(self.answer, 1.0)
        self.assertEqual(outcome, Interrupted(NoResultReason.INTERRUPTED))

    async def test_message_of_former_owner_is_dropped(self):
        """Guards against tasks that run in two cells.

        A former owner may return tasks that were offered to the current one already. If
        the entry handled that message, it would offer them to another cell too. Seen
        on day trouble-3 of site rl-plates, seed 516102664112.
        """
        reason = ReturnReason.NO_CAPACITY
        self.service.handle_message(
            "tilburg", self.former, TasksReturned(self.job.job_id, (0,), reason)
        )
        self.assertEqual(len(self.current.offers), 1)
        self.assertEqual(self.other.offers, [])

    async def test_closing_a_replaced_link_changes_nothing(self):
        """Guards against removing the link to the current owner."""
        self.service.owner_link_closed("tilburg", self.former, 0.0)
        ended = TaskEnded(self.job.job_id, 0, TaskResult.DONE, "i-1")
        self.service.handle_message("tilburg", self.current, ended)
        self.assertEqual(await self.answer, Completed())


class ChoiceMetricsTests(unittest.IsolatedAsyncioTestCase):
    """Counters of the offers that follow capacity reports."""

    async def count(self, scheduling):
        """Offer and return a job; return the counters of offers and returned tasks."""
        entry = Entry("tilburg", CellLimits(), scheduling)
        service = EntryService(entry, Metrics(), Log("entry", "front-1"))
        link = RecordingLink()
        service.owner_link_opened("tilburg", 1, link)
        report = CapacityReport("tilburg", 1, 16000, 16000, 0.0)
        service.handle_message("tilburg", link, report)
        answer = asyncio.create_task(service.submit(job(tasks=2)))
        await asyncio.sleep(0)
        reason = ReturnReason.NO_CAPACITY
        returned = TasksReturned(job().job_id, (0, 1), reason)
        service.handle_message("tilburg", link, returned)
        answer.cancel()
        await asyncio.gather(answer, return_exceptions=True)
        counts = service.metrics.counts
        return dict(counts["offers"]), dict(counts["tasks_returned"])

    async def test_offers_and_returned_tasks(self):
        """Guards against a choice that operators cannot follow."""
        counts = await self.count(SchedulingSettings(expected_end_routing=True))
        offers = {"tilburg/home": 1, "tilburg/wait": 1}
        self.assertEqual(counts, (offers, {"no_room": 2}))

    async def test_decision_that_is_switched_off(self):
        """Guards against counters of a rule that does not apply."""
        self.assertEqual(await self.count(SchedulingSettings()), ({}, {}))
