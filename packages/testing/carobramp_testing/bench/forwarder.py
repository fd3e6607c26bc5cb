"""Bare forwarding loop: the least that a dispatcher over aiohttp costs.

Run as ``python -m carobramp_testing.bench.forwarder --targets URL,URL``. It posts
each request body to the targets in turn and passes the answer on.
"""

import argparse
import asyncio
import itertools

import aiohttp
from aiohttp import web

from carobramp_testing.standins.platform import serve


class Forwarder:
    """Forwards requests without any decision."""

    def __init__(self, targets):
        self.targets = itertools.cycle(targets)
        self.session = None

    def application(self):
        """Return the aiohttp application."""
        app = web.Application()
        app.router.add_post("/v1/tasks", self.forward)
        return app

    async def forward(self, request):
        """Forward one request."""
        if self.session is None:
            self.session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        body = await request.read()
        url = next(self.targets)
        headers = {"Content-Type": "application/json"}
        async with self.session.post(url, data=body, headers=headers) as response:
            data = await response.read()
        return web.Response(body=data, content_type="application/json")


def main():
    """Run the forwarder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--targets", required=True)
    args = parser.parse_args()
    targets = [f"{url}/v1/tasks" for url in args.targets.split(",")]
    asyncio.run(serve([Forwarder(targets).application()], "127.0.0.1", [0]))


if __name__ == "__main__":
    main()
