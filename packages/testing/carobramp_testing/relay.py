"""TCP relay on loopback that can cut a link, to test network partitions."""

import asyncio

READ_BYTES = 65536


class Relay:
    """Forwards connections to `target` until it is cut.

    A cut link holds data in both directions and accepts connections without an
    answer, as a partition without resets does. `mend` drops the old connections
    with what they hold; `deliver` lets the held data arrive late instead.

    Parameters
    ==========

    host, port : target of the connections
    """

    def __init__(self, host="", port=0):
        self.target = (host, port)
        self.address = ("", 0)
        self.server: asyncio.Server
        # Whether data passes to the target, and back from it.
        self.there = asyncio.Event()
        self.back = asyncio.Event()
        self.deliver()
        self.connections: set[asyncio.Task] = set()

    async def start(self, host="127.0.0.1", port=0):
        """Listen; on port 0 the system chooses one."""
        self.server = await asyncio.start_server(self.serve, host, port)
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
        self.there.clear()
        self.back.clear()

    def cut_back(self):
        """Let nothing pass from the target."""
        self.back.clear()

    def mend(self):
        """Let data pass again, on new connections."""
        self.drop()
        self.deliver()

    def deliver(self):
        """Let held data arrive, late, and further data pass."""
        self.there.set()
        self.back.set()

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
        await self.there.wait()
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.copy(reader, far_writer, self.there))
                group.create_task(self.copy(far_reader, writer, self.back))
        except* OSError:
            pass
        finally:
            far_writer.close()

    async def copy(self, reader, writer, way):
        """Copy one direction while that way is open."""
        while data := await reader.read(READ_BYTES):
            await way.wait()
            writer.write(data)
            await writer.drain()
        await way.wait()
        writer.write_eof()
