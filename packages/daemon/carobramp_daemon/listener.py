"""Listening socket that closes without resetting connections."""

import asyncio
import socket

from aiohttp import web

BACKLOG = 128
# Time for the event loop to accept the connections that the kernel has queued.
ACCEPT_WAIT_S = 0.05
# Time for an accepted connection to deliver its request.
REQUEST_WAIT_S = 0.25
POLL_INTERVAL_S = 0.02


class Listener:
    """Listens for an application runner.

    Explanation
    ===========

    When a listening socket closes, the kernel resets the connections that it has
    established and the process has not accepted. `close` therefore first stops the
    kernel from queueing more of them: later connections are refused, before the
    caller has sent a request.

    Parameters
    ==========

    runner : application runner that was set up
    host, port : address; port 0 lets the system choose
    active_count : returns the number of requests in progress
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

        timeout : longest wait for requests in progress, in seconds
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
