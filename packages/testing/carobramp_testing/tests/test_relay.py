"""Tests of the relay that cuts links."""

import asyncio
import unittest

from carobramp_testing.relay import Relay

TIMEOUT_S = 10
MESSAGE = b"message\n"


class RelayTests(unittest.IsolatedAsyncioTestCase):
    """A relay forwards, holds and drops data as told."""

    async def asyncSetUp(self):
        """Start an echo server behind a relay."""
        self.received: asyncio.Queue = asyncio.Queue()
        server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.relay = await Relay(*server.sockets[0].getsockname()[:2]).start()
        self.addAsyncCleanup(self.relay.stop)

    async def echo(self, reader, writer):
        """Send each line back."""
        while line := await reader.readline():
            self.received.put_nowait(line)
            writer.write(line)
        writer.close()

    async def connect(self):
        """Connect through the relay."""
        reader, writer = await asyncio.open_connection(*self.relay.address)
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, reader, writer):
        """Send a line and return the echo."""
        writer.write(MESSAGE)
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.readline()

    async def test_forwards(self):
        """Guards against a relay that changes or loses data."""
        self.assertEqual(await self.exchange(*await self.connect()), MESSAGE)

    async def test_cut_and_mend(self):
        """Guards against data that passes a cut link, or arrives after its end."""
        reader, writer = await self.connect()
        await self.exchange(reader, writer)
        self.relay.cut()
        writer.write(MESSAGE)
        self.relay.mend()
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await reader.read(), b"")
        self.assertEqual(await self.exchange(*await self.connect()), MESSAGE)
        self.assertEqual(self.received.qsize(), 2)

    async def test_held_data_arrives_late(self):
        """Guards against a late delivery that loses the held data."""
        reader, writer = await self.connect()
        self.relay.cut()
        writer.write(MESSAGE)
        self.relay.deliver()
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await reader.readline(), MESSAGE)


if __name__ == "__main__":
    unittest.main()
