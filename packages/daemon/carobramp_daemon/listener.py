"""Listening socket that closes without cutting off a connection."""

import asyncio
import socket

from aiohttp import web

BACKLOG = 128
# Time for the event loop to accept what the kernel has queued.
ACCEPT_S = 0.05
# Time for an accepted connection to deliver its request.
REQUEST_S = 0.25
POLL_S = 0.02


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
    active : returns the number of requests under way
    """

    def __init__(self, runner, host, port, active):
        self.runner = runner
        self.active = active
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
        await asyncio.sleep(ACCEPT_S)
        await self.site.stop()
        await asyncio.sleep(REQUEST_S)
        try:
            async with asyncio.timeout(timeout):
                while self.active():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return
