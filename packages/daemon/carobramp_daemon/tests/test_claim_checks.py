"""What a daemon learns of a lost owner before it takes over a cell."""

import asyncio
import itertools
import math
import types
import unittest
from unittest import mock

from carobramp_core.cells.claims import ClaimView
from carobramp_core.cells.lease_limits import LeaseLimits, LeaseLimitsReport
from carobramp_daemon.cells import claim_checks
from carobramp_daemon.cells import coordinator as coordinator_module
from carobramp_daemon.cells.claim_checks import ClaimChecks
from carobramp_daemon.cells.coordinator import CellCoordinator, CellState
from carobramp_daemon.cells.frames import encode_lease_limits
from carobramp_daemon.cells.rows import CellRow, VmRow
from carobramp_daemon.tests.coordinator_support import coordinator
from carobramp_schema.generated import cells_pb2 as pb

CELL = "tilburg"
VIEW = ClaimView(True, 0.5, True, True, 0, 0, 0, uptime_s=9.0)


def vm_row(number) -> VmRow:
    """Build the row of a VM."""
    return VmRow(f"vm-{number}", CELL, "10.1.0.1", 7720, 7721, "a", 1.0)


class SurveyTests(unittest.IsolatedAsyncioTestCase):
    """The silence of the owner that peers report."""

    async def survey(self, *silences_ms):
        """Return the view after answers of peers with these silences."""
        checks = ClaimChecks(vm_row(0), mock.Mock())
        answers = [
            pb.OwnerAnswer(vm=f"vm-{n}", owner_silence_ms=silence_ms)
            for n, silence_ms in enumerate(silences_ms, 1)
        ]
        times = iter((100.0, *(100.0 + 0.15 for _ in answers)))
        checks.ask_peer = mock.AsyncMock(side_effect=answers)
        peers = [vm_row(n) for n in range(1, len(silences_ms) + 1)]
        with mock.patch.object(claim_checks, "now", lambda: next(times)):
            return await checks.survey_peers(CELL, None, peers, VIEW)

    async def test_restarted_daemon_keeps_runs_that_must_be_over(self):
        """Guards against leases counted from the start of the new owner.

        A daemon that was restarted has never heard the owner that it replaces; its
        peers have.
        """
        view = await self.survey(0, 700, 450)
        self.assertEqual(view.peers_heard_owner_at, 99.55)

    async def test_peers_know_the_limits_of_the_last_owner(self):
        """Guards against runs that a restarted daemon prolongs.

        A peer that has not heard the last owner tells the limits of the one before.
        """
        checks = ClaimChecks(vm_row(0), mock.Mock())
        reports = (
            LeaseLimitsReport(64, (("i-1", 9.0),)),
            LeaseLimitsReport(128, (("i-2", 0.4),)),
            LeaseLimitsReport(128, (("i-2", 0.3),)),
        )
        checks.ask_peer = mock.AsyncMock(
            side_effect=[
                pb.OwnerAnswer(lease_limits=encode_lease_limits(report))
                for report in reports
            ]
        )
        peers = [vm_row(number) for number in (1, 2, 3)]
        with mock.patch.object(claim_checks, "now", lambda: 100.0):
            view = await checks.survey_peers(CELL, None, peers, VIEW)
        self.assertEqual(view.peer_lease_limits, LeaseLimits(128, {"i-2": 100.3}))

    async def test_time_that_the_checks_take(self):
        """Guards against an owner that counts as alive while the checks go on.

        Upstreams and the owner are asked after the peers, and may not answer in time.
        """
        built = coordinator(self)
        state = built.cells[CELL]
        state.owner_silent_since = built.started_at = 0.0
        row = CellRow("vm-3", CELL, "127.0.0.1", 7720, 7721, "c", 64)
        built.rows.cell = lambda cell: (row, 1)
        built.claim_checks.ask_peer = mock.AsyncMock(
            return_value=pb.OwnerAnswer(vm="vm-2", owner_silence_ms=450)
        )
        built.rows.vms = lambda: {"vm-2": vm_row(2)}
        built.any_upstream_answers = mock.AsyncMock(return_value=True)
        times = itertools.count(100.0, 0.1)
        built.claim_checks.owner_answers = mock.AsyncMock(return_value=False)
        with (
            mock.patch.object(claim_checks, "now", lambda: 99.0),
            mock.patch.object(coordinator_module, "now", lambda: next(times)),
        ):
            await built.take_over_if_needed(state)
        self.assertEqual(built.owned[CELL].owner.predecessor.heard_at, 98.55)

    async def test_silence_that_no_peer_knows(self):
        """Guards against taking an unknown silence for a short one."""
        view = await self.survey(0, 0)
        self.assertEqual(view.peers_heard_owner_at, -math.inf)


class LastSignOfLifeTests(unittest.IsolatedAsyncioTestCase):
    """When a daemon counts an owner as last heard, once its link has closed."""

    async def heard_at(self, close_reason):
        """Return that time for a link that closes 0.45 s after the last message."""
        state = CellState(CELL, owner_silent_since=90.0)
        link = mock.Mock(
            cell=CELL,
            opened=True,
            last_received_at=100.0,
            run=mock.AsyncMock(return_value="closed"),
            close_reason=close_reason,
        )
        table = mock.Mock(
            wait_for_change=mock.AsyncMock(side_effect=asyncio.Event().wait)
        )
        daemon = mock.Mock(table=table, entry_service=mock.Mock(links={}))
        daemon.rows.cell.return_value = (None, 0)
        with mock.patch.object(coordinator_module, "now", lambda: 100.45):
            await CellCoordinator.run_link(daemon, state, link, mock.Mock(token=64))
        return state

    async def test_owner_that_was_silent(self):
        """Guards against runs that outlive a lost entry as a silent owner counts.

        The link closes 0.4 s after the last message of a paused or cut off owner; with
        it, entries may have been lost before.
        """
        state = await self.heard_at("no echo from the peer for 0.405 s")
        self.assertEqual(state.owner_heard_at, 100.0)
        self.assertEqual(state.owner_silent_since, 100.45)

    async def test_owner_whose_process_has_ended(self):
        """Guards against runs that are stopped early after the end of an owner."""
        state = await self.heard_at("")
        self.assertEqual(state.owner_heard_at, 100.45)


class OwnerSilenceTests(unittest.TestCase):
    """The silence of an owner that a daemon reports to its peers."""

    def setUp(self):
        """Build a daemon without a link, at 100 s."""
        patcher = mock.patch.object(coordinator_module, "now", lambda: 100.0)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.state = CellState(CELL, owner_silent_since=99.0)
        self.coordinator = mock.Mock(cells={CELL: self.state}, owned={})
        self.coordinator.entry_service.links = {}
        self.coordinator.owner_heard_at = types.MethodType(
            CellCoordinator.owner_heard_at, self.coordinator
        )

    def silence_ms(self):
        """Return the reported silence."""
        return CellCoordinator.owner_silence_ms(self.coordinator, CELL)

    def test_daemon_that_never_had_a_link(self):
        """Guards against the start of a daemon that counts as a sign of life."""
        self.assertEqual(self.silence_ms(), 0)

    def test_link_that_has_closed(self):
        """Guards against a silence that is not known to the peers."""
        self.state.owner_heard_at = 99.25
        self.assertEqual(self.silence_ms(), 750)

    def test_connection_that_is_not_a_link_yet(self):
        """Guards against a connection to a deputy that counts as a sign of life."""
        self.state.owner_heard_at = 99.25
        self.state.link = mock.Mock(last_received_at=100.0)
        self.assertEqual(self.silence_ms(), 750)

    def test_open_link(self):
        """Guards against an old time of a cell that has an owner again."""
        self.state.owner_heard_at = 50.0
        self.state.link = mock.Mock(last_received_at=99.9)
        self.coordinator.entry_service.links = {CELL: object()}
        self.assertEqual(self.silence_ms(), 100)

    def test_own_cell(self):
        """Guards against the silence of an earlier owner of a cell that is owned."""
        self.state.owner_heard_at = 50.0
        self.coordinator.owned = {CELL: object()}
        self.assertEqual(self.silence_ms(), 1)


if __name__ == "__main__":
    unittest.main()
