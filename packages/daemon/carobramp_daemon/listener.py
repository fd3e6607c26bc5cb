"""Listening socket that closes without cutting off a connection."""

import asyncio
import socket

from aiohttp import web

BACKLOG = 128
# Time for the event loop to accept what the kernel has queued.
ACCEPT_WAIT_S = 0.05
# Time for an accepted connection to deliver its request.
REQUEST_WAIT_S = 0.25
POLL_INTERVAL_S = 0.02


class Listener:
    """Listens for an application runner.

    Explanation
    ===========

    The kernel resets connections that it has established but the process has not
    accepted when a listening socket closes. `close` therefore first lets the kernel
    queue no more of them: a later caller is refused, and its request was not sent.

    Parameters
    ==========

    runner : application runner that was set up
    host, port : address; port 0 lets the system choose
    active_count : returns the number of requests under way
    """

    def __init__(self, runner, host, port, active_count):
        self.runner = runner
        self.active_count = active_count
        self.socket = socket.create_server((host, port), backlog=BACKLOG)
        self.site = web.SockSite(runner, self.socket, backlog=BACKLOG)

    async def start(self):
        """Start to accept connections; return the port."""
        await self.site.start()
        return self.socket.getsockname()[1]

    async def close(self, timeout):
        """Stop accepting, and wait for the requests on accepted connections.

        Parameters
        ==========

        timeout : longest wait for requests under way, in seconds
        """
        self.socket.listen(0)
        await asyncio.sleep(ACCEPT_WAIT_S)
        await self.site.stop()
        await asyncio.sleep(REQUEST_WAIT_S)
        try:
            async with asyncio.timeout(timeout):
                while self.active_count():
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return
