"""Tests of the channels between entry VMs."""

import asyncio
import unittest
from unittest import mock

from carobramp_daemon import peers
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.peers import PeerChannelPool, PeerHandlers, PeerServer
from carobramp_schema.generated.peer_pb2 import PeerStatus
from carobramp_testing.builders import vm_settings

CALLS = 8
TIMEOUT_S = 10


class ChannelTests(unittest.IsolatedAsyncioTestCase):
    """Channels are replaced without losing a call."""

    async def asyncSetUp(self):
        """Start a server whose handler waits for `self.may_answer`."""
        self.may_answer = asyncio.Event()
        handlers = PeerHandlers(heartbeat=self.heartbeat)
        settings = vm_settings("a", "http://127.0.0.1:1")
        log = Log("peer", "a")
        self.server = PeerServer(settings, handlers, Metrics(), log)
        self.clients = PeerChannelPool(settings, Metrics(), log)
        for service in (self.server, self.clients):
            await service.start()
            self.addAsyncCleanup(service.stop)
        self.address = ("127.0.0.1", self.server.port)

    async def heartbeat(self, request):
        """Wait for `self.may_answer` and return the name in the request."""
        await self.may_answer.wait()
        return PeerStatus(vm=request.vm)

    def call(self, name):
        """Return the coroutine of a heartbeat call."""
        request = PeerStatus(vm=name)
        return self.clients.call(self.address, "Heartbeat", request, TIMEOUT_S)

    async def test_channel_is_replaced_after_its_call_limit(self):
        """Guards against a channel whose list of closed streams grows for ever."""
        self.may_answer.set()
        channel_ids = set()
        with mock.patch.object(peers, "MAX_CALLS_PER_CHANNEL", 2):
            for number in range(CALLS):
                reply = await self.call(str(number))
                self.assertEqual(reply.vm, str(number))
                channel_ids.add(id(self.clients.channels[self.address]))
        self.assertGreater(len(channel_ids), 1)
        self.assertEqual(len(self.clients.channels), 1)

    async def test_calls_in_flight_complete(self):
        """Guards against calls that fail because their channel is replaced."""
        with mock.patch.object(peers, "MAX_CALLS_PER_CHANNEL", 2):
            calls = [asyncio.create_task(self.call(str(n))) for n in range(CALLS)]
            await asyncio.sleep(0)
            self.clients.retire_channel(self.address)
            self.may_answer.set()
            replies = await asyncio.gather(*calls)
        self.assertEqual(
            [reply.vm for reply in replies], [str(n) for n in range(CALLS)]
        )


if __name__ == "__main__":
    unittest.main()
