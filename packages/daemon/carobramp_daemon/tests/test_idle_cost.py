"""Timers of an idle daemon.

On a fleet of 97 machines an idle entry woke 300 times a second: each link woke it twice
in each heartbeat interval, and ticks came without jobs.
"""

import asyncio
import unittest
from unittest import mock

from carobramp_core.cells.entry import Entry
from carobramp_core.cells.entry_events import EntryTick
from carobramp_core.cells.limits import CellLimits
from carobramp_daemon.cells.entry import EntryService
from carobramp_daemon.cells.links import HEARTBEAT_FRAME, RemoteLink
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics

LIMITS = CellLimits()
IDLE_S = 3 * LIMITS.heartbeat_s


class IdleEntryTests(unittest.IsolatedAsyncioTestCase):
    """An entry without jobs and a link without messages."""

    async def test_entry_without_jobs_has_no_ticks(self):
        """Guards against periodic work that only open jobs need."""
        service = EntryService(
            Entry("tilburg", LIMITS), Metrics(), Log("entry", "front-1")
        )
        events = []
        with mock.patch.object(service, "dispatch", events.append):
            async with service:
                await asyncio.sleep(IDLE_S)
                self.assertEqual(events, [])
                service.has_jobs.set()
                await asyncio.sleep(IDLE_S)
        self.assertIn(EntryTick(), events)

    async def test_link_has_no_timer_of_its_own(self):
        """Guards against a timer for each link; `maintain` is called for all links."""
        loop = asyncio.get_running_loop()
        received = bytearray()

        class Owner(asyncio.Protocol):
            """Peer that records what it receives."""

            def data_received(self, data):
                received.extend(data)

        server = await loop.create_server(Owner, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        link = RemoteLink(
            "tilburg", "front-1", address, mock.Mock(), LIMITS, None, None
        )
        serving = asyncio.create_task(link.run())
        while not received:
            await asyncio.sleep(0.01)
        hello_size = len(received)
        with mock.patch.object(loop, "call_at", wraps=loop.call_at) as call_at:
            await asyncio.sleep(IDLE_S)
            self.assertEqual(call_at.call_count, 1)
        link.maintain()
        await asyncio.sleep(0.05)
        self.assertTrue(received[hello_size:].endswith(HEARTBEAT_FRAME))
        await asyncio.sleep(LIMITS.link_timeout_s)
        link.maintain()
        self.assertIn("no echo", await serving)
        server.close()


if __name__ == "__main__":
    unittest.main()
