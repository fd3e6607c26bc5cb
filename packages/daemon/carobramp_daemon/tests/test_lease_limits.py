"""Lease limits on their way from an owner of a cell to its successors."""

import math
import unittest
from unittest import mock

from carobramp_core.cells.lease_limits import (
    LeaseLimits,
    LeaseLimitsReport,
    Predecessor,
)
from carobramp_core.cells.messages import CapacityReport
from carobramp_core.cells.orders import ActiveRun, RunId
from carobramp_core.cells.tests.support import LIMITS, OwnerHarness, job, upstream
from carobramp_daemon.cells import calls, frames, handover, links
from carobramp_daemon.cells import coordinator as coordinator_module
from carobramp_daemon.cells import owner as owner_module
from carobramp_daemon.cells.calls import CellRpcHandlers
from carobramp_daemon.cells.rows import CellRow, VmRow
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.tests.coordinator_support import CELL, coordinator
from carobramp_schema.generated import cells_pb2 as pb

NOW = 100.0
REPORT = LeaseLimitsReport(64, (("i-1", 0.4),))


class FrameTests(unittest.TestCase):
    """Reports on a link."""

    def test_report_arrives_as_it_was_sent(self):
        """Guards against a limit that is changed on its way."""
        for report in (REPORT, LeaseLimitsReport(64, (("i-1", -3.0),))):
            self.assertEqual(frames.decode(frames.encode(report)), report)

    def test_limit_that_is_not_a_number(self):
        """Guards against leases without a limit after an invalid report."""
        for value in (math.inf, math.nan):
            message = pb.LeaseLimits(
                limits=[pb.LeaseLimit(upstream="i", remaining_s=value)]
            )
            report = frames.decode_lease_limits(message)
            self.assertEqual(report.remaining_s, (("i", 0.0),))


class OwnerReportTests(unittest.TestCase):
    """What an owner sends to other daemons."""

    def setUp(self):
        """Let an owner adopt a run, with a link to one entry."""
        self.harness = OwnerHarness(upstream(), taken_over=True, now=NOW)
        for module in (owner_module, links):
            patcher = mock.patch.object(module, "now", lambda: self.harness.now)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.service = owner_module.OwnerService(
            self.harness.owner, None, None, None, Metrics(), Log("owner", "vm-1")
        )
        self.sent = []
        self.add_link("front-1/1")

    def add_link(self, entry):
        """Open a link that records the messages on it."""
        link = links.FrameLink(mock.Mock(), mock.Mock(), LIMITS)
        link.send = self.sent.append
        link.write_frame = mock.Mock()
        self.service.add_entry_link(entry, link)

    def reports(self):
        """Return the reports of lease limits that were sent, and forget them."""
        reports = [m for m in self.sent if isinstance(m, LeaseLimitsReport)]
        self.sent.clear()
        return reports

    def test_limits_go_before_the_sign_of_life(self):
        """Guards against a successor that knows the last owner but not its limits."""
        self.assertEqual(
            [type(message) for message in self.sent[:2]],
            [LeaseLimitsReport, CapacityReport],
        )

    def test_limits_are_sent_when_they_change(self):
        """Guards against a successor that stops runs which were claimed."""
        (first,) = self.reports()
        self.assertEqual([name for name, _ in first.remaining_s], ["i-1"])
        run = ActiveRun(RunId("0" * 16, 0, 7), 40)
        self.harness.answer_poll(running=[run])
        self.service.send_changed_limits()
        self.assertEqual(len(self.reports()), 1)
        self.service.send_changed_limits()
        self.assertEqual(self.reports(), [])
        self.harness.offer(job("0" * 16), resumed=True)
        self.service.send_changed_limits()
        self.assertEqual(self.reports(), [LeaseLimitsReport(3)])

    def test_loss_of_an_entry_is_reported_at_once(self):
        """Guards against runs that go on if the owner is lost right after an entry."""
        self.harness.answer_poll()
        self.harness.offer(job(), entry="front-2/1")
        self.add_link("front-2/1")
        self.reports()
        self.service.remove_entry_link("front-2/1")
        (report,) = self.reports()
        ((name, remaining_s),) = report.remaining_s
        self.assertEqual(name, "i-1")
        self.assertAlmostEqual(remaining_s, LIMITS.lease_end_before_retry_s())


class SuccessorTests(unittest.IsolatedAsyncioTestCase):
    """What a daemon knows of the limits when it takes a cell over."""

    def setUp(self):
        """Build a daemon whose clock stands still, in a cell with a silent owner."""
        modules = (coordinator_module, owner_module, calls, handover)
        for module in modules:
            patcher = mock.patch.object(module, "now", lambda: NOW)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.coordinator = coordinator(self)
        self.state = self.coordinator.cells[CELL]
        self.row = CellRow("vm-2", CELL, "127.0.0.1", 7720, 7721, "b", 64)
        self.coordinator.rows.cell = lambda cell: (self.row, 1)

    def limits_of_owner(self):
        """Return the limits that the new owner of the cell keeps."""
        return self.coordinator.owned[CELL].owner.predecessor.lease_limits

    async def test_report_on_a_link_is_kept(self):
        """Guards against the limits of a lost owner that its successor ignores."""
        self.coordinator.record_lease_limits(self.state, LeaseLimits(64, {"i-1": 1.0}))
        self.coordinator.record_lease_limits(self.state, LeaseLimits(0, {}))
        self.coordinator.claim_checks.survey_peers = mock.AsyncMock(
            side_effect=lambda cell, row, vms, view: view
        )
        self.coordinator.any_upstream_answers = mock.AsyncMock(return_value=True)
        self.coordinator.claim_checks.owner_answers = mock.AsyncMock(return_value=False)
        with mock.patch.object(coordinator_module, "should_claim", return_value=True):
            await self.coordinator.take_over_if_needed(self.state)
        self.assertEqual(self.limits_of_owner(), LeaseLimits(64, {"i-1": 1.0}))

    async def test_limits_are_handed_over_by_an_owner_that_drains(self):
        """Guards against leases that a planned stop prolongs."""
        stream = mock.AsyncMock()
        stream.recv_message.return_value = pb.TakeOver(
            cell=CELL, vm="vm-2", lease_limits=frames.encode_lease_limits(REPORT)
        )
        await CellRpcHandlers(self.coordinator).TakeCell(stream)
        self.assertEqual(self.limits_of_owner(), LeaseLimits(64, {"i-1": NOW + 0.4}))

    async def test_request_that_waited_while_the_process_was_paused(self):
        """Guards against an owner that counts as alive when its request is read.

        It may have been lost with entries since it sent the request.
        """
        self.state.link = mock.Mock(last_received_at=NOW - 0.9)
        self.coordinator.entry_service.links = {CELL: mock.Mock()}
        self.coordinator.record_lease_limits(
            self.state, LeaseLimits(64, {"i-1": NOW - 0.5})
        )
        stream = mock.AsyncMock()
        stream.recv_message.return_value = pb.TakeOver(
            cell=CELL, vm="vm-2", lease_limits=frames.encode_lease_limits(REPORT)
        )
        await CellRpcHandlers(self.coordinator).TakeCell(stream)
        predecessor = self.coordinator.owned[CELL].owner.predecessor
        self.assertEqual(predecessor.heard_at, NOW - 0.9)
        self.assertEqual(predecessor.lease_limits.latest_end("i-1"), NOW - 0.5)

    async def test_request_of_an_owner_that_drains_has_its_limits(self):
        """Guards against the same where the request is written."""
        harness = OwnerHarness(upstream(), taken_over=True, now=NOW)
        service = mock.Mock(owner=harness.owner)
        with mock.patch.object(handover, "cells_grpc") as stubs:
            take_cell = stubs.CellsStub.return_value.TakeCell = mock.AsyncMock()
            with mock.patch.object(handover, "Channel"):
                vm = VmRow("vm-3", CELL, "127.0.0.1", 7720, 7721, "c")
                await handover.request_takeover(service, self.coordinator.own_row, vm)
        (request,) = take_cell.await_args.args
        names = [limit.upstream for limit in request.lease_limits.limits]
        self.assertEqual(names, ["i-1"])

    async def test_deputy_that_writes_its_claim(self):
        """Guards against leases that are prolonged once the store is back."""
        limits = LeaseLimits(65, {"i-1": NOW - 1.0})
        predecessor = Predecessor(NOW, limits)
        self.state.known_upstreams = (upstream(),)
        self.coordinator.start_owning(self.state, 65, True, predecessor)
        service = self.coordinator.owned[CELL]
        await self.coordinator.claim_as_deputy(service)
        self.assertIsNot(self.coordinator.owned[CELL], service)
        self.assertEqual(self.limits_of_owner().latest_end("i-1"), NOW - 1.0)

    async def test_daemon_tells_its_peers_what_it_knows(self):
        """Guards against a restarted successor that knows no limits."""
        self.coordinator.record_lease_limits(
            self.state, LeaseLimits(64, {"i-1": NOW + 0.4})
        )
        stream = mock.AsyncMock()
        stream.recv_message.return_value = pb.OwnerQuestion(cell=CELL, vm="vm-2")
        await CellRpcHandlers(self.coordinator).HearsOwner(stream)
        (answer,) = stream.send_message.await_args.args
        report = frames.decode_lease_limits(answer.lease_limits)
        self.assertEqual(report.token, 64)
        self.assertAlmostEqual(report.remaining_s[0][1], 0.4)


if __name__ == "__main__":
    unittest.main()
