"""Evacuated zones in the services of a daemon and on its links."""

import unittest
from unittest import mock

from carobramp_core.cells.evacuation import NO_EVACUATIONS, Evacuations
from carobramp_core.cells.messages import CapacityReport, ReturnReason, TasksReturned
from carobramp_daemon.cells import frames
from carobramp_daemon.cells.calls import CellRpcHandlers
from carobramp_daemon.cells.rows import CellRow
from carobramp_daemon.tests.coordinator_support import coordinator
from carobramp_schema.generated import cells_pb2 as pb

CELL = "tilburg"
EVACUATED = Evacuations(7, frozenset({CELL}))


class FrameTests(unittest.TestCase):
    """Messages between daemons of this version, and of an earlier one."""

    def test_messages_arrive_as_they_were_sent(self):
        """Guards against a set, report or reason that is changed on its way."""
        returned = TasksReturned("a", (0,), ReturnReason.EVACUATED)
        report = CapacityReport(CELL, 64, 0, 16000, 0.0, True, 7)
        for message in (EVACUATED, NO_EVACUATIONS, report, returned):
            self.assertEqual(frames.decode(frames.encode(message)), message)

    def test_earlier_version_closes_the_link(self):
        """Guards against a reason that earlier versions cannot decode."""
        message = TasksReturned("a", (0,), ReturnReason.EVACUATED)
        frame = frames.encode(message)
        self.assertEqual(frame.returned.reason, ReturnReason.NO_SERVICE)
        frame.returned.evacuated = False
        decoded = frames.decode(frame)
        self.assertEqual(decoded.reason, ReturnReason.NO_SERVICE)


class ClaimTests(unittest.IsolatedAsyncioTestCase):
    """A daemon that has not read the requests, and that then owns its cell."""

    def setUp(self):
        """Build a daemon whose store commits every claim."""
        self.coordinator = coordinator(self, evacuations=None)
        self.entry_service = self.coordinator.entry_service
        self.table = self.coordinator.table
        self.state = self.coordinator.cells[CELL]

    async def owner_after_takeover(self):
        """Let the daemon take over the cell if it may; return its owner, if any."""
        await self.coordinator.take_over_if_needed(self.state)
        service = self.coordinator.owned.get(CELL)
        return service.owner if service else None

    async def test_cell_is_claimed_before_the_requests_are_read(self):
        """Guards against an owner that knows nothing of an evacuation."""
        self.assertIsNone(await self.owner_after_takeover())
        self.table.transact.assert_not_called()
        self.coordinator.update_evacuations(EVACUATED)
        owner = await self.owner_after_takeover()
        self.assertEqual(owner.evacuations, EVACUATED)

    async def test_cell_is_handed_over_before_the_requests_are_read(self):
        """Guards against the same on the request of an owner that drains."""
        row = CellRow("vm-2", CELL, "127.0.0.1", 7720, 7721, "b", 64)
        self.coordinator.rows.cell = lambda cell: (row, 1)
        stream = mock.AsyncMock()
        stream.recv_message.return_value = pb.TakeOver(cell=CELL, vm="vm-2")
        handlers = CellRpcHandlers(self.coordinator)
        for taken in (False, True):
            await handlers.TakeCell(stream)
            reply = pb.TakeOverReply(taken=taken)
            stream.send_message.assert_awaited_with(reply)
            self.assertEqual(CELL in self.coordinator.owned, taken)
            self.coordinator.update_evacuations(EVACUATED)
        self.assertEqual(self.coordinator.owned[CELL].owner.evacuations, EVACUATED)

    async def test_owner_does_not_hear_of_later_requests(self):
        """Guards against a request that reaches the entry of the process alone."""
        self.coordinator.update_evacuations(Evacuations(6, frozenset()))
        owner = await self.owner_after_takeover()
        self.assertTrue(owner.may_start())
        self.coordinator.update_evacuations(EVACUATED)
        self.assertFalse(owner.may_start())

    async def test_next_owner_forgets_what_an_entry_has_told(self):
        """Guards against a daemon that the store rejects and that owns a cell again."""
        self.coordinator.update_evacuations(Evacuations(6, frozenset()))
        owner = await self.owner_after_takeover()
        owner.evacuations = EVACUATED
        self.coordinator.stop_owning(self.coordinator.owned[CELL])
        self.state.owner_silent_since -= 60.0
        self.assertEqual((await self.owner_after_takeover()).evacuations, EVACUATED)


if __name__ == "__main__":
    unittest.main()
