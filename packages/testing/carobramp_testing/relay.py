"""TCP relay on loopback that can cut a link, to test network partitions."""

import asyncio

READ_BYTES = 65536


class Relay:
    """Forwards connections to `target` until it is cut.

    A cut link holds data in both directions and accepts connections without an
    answer, as a partition without resets does. `mend` drops the old connections
    with what they hold; `deliver` lets the held data arrive late instead.
    """

    def __init__(self, host="", port=0):
        self.target = (host, port)
        self.address = ("", 0)
        self.server: asyncio.Server
        self.open = asyncio.Event()
        self.open.set()
        self.connections: set[asyncio.Task] = set()

    async def start(self):
        """Listen on a port that the system chooses."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def stop(self):
        """Stop listening, drop all connections and wait for their ends."""
        self.server.close()
        connections = tuple(self.connections)
        self.drop()
        await asyncio.gather(*connections, return_exceptions=True)

    def cut(self):
        """Let nothing pass."""
        self.open.clear()

    def mend(self):
        """Let data pass again, on new connections."""
        self.drop()
        self.open.set()

    def deliver(self):
        """Let held data arrive, late, and further data pass."""
        self.open.set()

    def drop(self):
        """Close all connections."""
        for connection in self.connections:
            connection.cancel()

    async def serve(self, reader, writer):
        """Forward one connection."""
        connection = asyncio.current_task()
        self.connections.add(connection)
        try:
            await self.forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            # `drop` cancels; asyncio's stream server logs a cancelled callback.
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def forward(self, reader, writer):
        """Copy both directions until one side closes."""
        await self.open.wait()
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.copy(reader, far_writer))
                group.create_task(self.copy(far_reader, writer))
        except* OSError:
            pass
        finally:
            far_writer.close()

    async def copy(self, reader, writer):
        """Copy one direction while the link is open."""
        while data := await reader.read(READ_BYTES):
            await self.open.wait()
            writer.write(data)
            await writer.drain()
        await self.open.wait()
        writer.write_eof()
