"""Stand-in platform over HTTP.

Run as ``python -m carobramp_testing.standins.platform --port 0``. It prints one
line with its address. ``POST /faults`` sets faults: ``down`` refuses every call,
``delay_ms`` delays replies, ``lose_replies`` drops replies after the write took
effect, ``stale_ms`` answers reads from an older copy, ``paths`` limits the faults
to some calls.
"""

import argparse
import asyncio
import base64
import copy
import dataclasses
import time

from aiohttp import web

from carobramp_core.platform import Committed, Condition, Transaction, VmEntry, Write
from carobramp_testing.standins.store import Store

COPY_EVERY_S = 0.1
# A burst of connections from all entry VMs can exceed the default of 128.
BACKLOG = 2048


@dataclasses.dataclass
class Faults:
    """Faults that the stand-in shows."""

    down: bool = False
    delay_ms: float = 0
    lose_replies: bool = False
    stale_ms: float = 0
    paths: tuple[str, ...] = ()

    def concern(self, path):
        """Whether the faults apply to a call."""
        return not self.paths or any(path.startswith(p) for p in self.paths)


class PlatformStandIn:
    """Serves a `Store` over HTTP, with faults."""

    def __init__(self):
        self.store = Store()
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self.copies: list[tuple[float, Store]] = []

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_get("/calls", self.get_calls)
        app.router.add_post("/members/set", self.set_members)
        app.router.add_post("/{service}/{call}", self.serve)
        app.cleanup_ctx.append(self.keep_copies)
        return app

    async def keep_copies(self, app):
        """Keep old copies of the store for stale reads, while in use."""
        task = asyncio.create_task(self.copy_store())
        yield
        task.cancel()

    async def copy_store(self):
        """Copy the store while stale reads are asked for."""
        while True:
            await asyncio.sleep(COPY_EVERY_S)
            if not self.faults.stale_ms:
                self.copies.clear()
                continue
            now = time.monotonic()
            self.copies.append((now, copy.deepcopy(self.store)))
            limit = now - self.faults.stale_ms / 1000
            while len(self.copies) > 1 and self.copies[1][0] <= limit:
                self.copies.pop(0)

    async def set_faults(self, request):
        """Replace the faults."""
        fields = await request.json()
        fields["paths"] = tuple(fields.get("paths", ()))
        self.faults = Faults(**fields)
        if self.faults.stale_ms:
            self.copies = [(time.monotonic(), copy.deepcopy(self.store))]
        return web.json_response({})

    async def get_calls(self, request):
        """Return the number of calls by path."""
        return web.json_response(self.calls)

    async def set_members(self, request):
        """Replace the membership list."""
        entries = [VmEntry(**entry) for entry in (await request.json())["vms"]]
        self.store.vms = {entry.name: entry for entry in entries}
        return web.json_response({})

    async def serve(self, request):
        """Answer one platform call, with the faults in force."""
        path = f"{request.match_info['service']}/{request.match_info['call']}"
        self.calls[path] = self.calls.get(path, 0) + 1
        body = await request.json()
        faults = self.faults if self.faults.concern(path) else Faults()
        if faults.down:
            return self.drop(request)
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        reply = self.answer(path, body, self.readable(faults))
        if faults.lose_replies:
            return self.drop(request)
        return web.json_response(reply)

    def drop(self, request):
        """Close the connection without a reply."""
        request.transport.abort()
        return web.Response(status=500)

    def readable(self, faults):
        """Return the store that reads are answered from."""
        if faults.stale_ms and self.copies:
            return self.copies[0][1]
        return self.store

    def answer(self, path, body, readable):
        """Carry out one call."""
        handler = getattr(self, "do_" + path.replace("/", "_"), None)
        if handler is None:
            raise web.HTTPNotFound
        return handler(body, readable)

    def do_table_transact(self, body, readable):
        """Transactions always see the present rows."""
        transaction = Transaction(
            tuple(Condition(key, version) for key, version in body["conditions"]),
            tuple(Write(key, from_text(value)) for key, value in body["writes"]),
        )
        outcome = self.store.transact(transaction)
        if isinstance(outcome, Committed):
            return {"committed": True}
        return {"committed": False, "rows": row_lists(outcome.rows)}

    def do_table_read(self, body, readable):
        """Read rows."""
        return {"rows": row_lists(readable.read(body["keys"]))}

    def do_table_scan(self, body, readable):
        """Scan rows."""
        rows = readable.scan(body["prefix"], body["after"], body["limit"])
        return {"rows": row_lists(rows)}

    def do_objects_put(self, body, readable):
        """Store an object."""
        self.store.objects[body["key"]] = from_text(body["data"])
        return {}

    def do_objects_get(self, body, readable):
        """Return an object."""
        return {"data": to_text(readable.objects.get(body["key"]))}

    def do_members_list(self, body, readable):
        """Return the membership list."""
        return {"vms": [dataclasses.asdict(vm) for vm in readable.vms.values()]}

    def do_leases_acquire(self, body, readable):
        """Take or renew a lease."""
        held = self.store.acquire(
            body["name"], body["holder"], body["seconds"], time.monotonic()
        )
        return dataclasses.asdict(held)

    def do_leases_release(self, body, readable):
        """Give a lease up."""
        self.store.release(body["name"], body["holder"])
        return {}


def to_text(value):
    """Encode bytes for JSON."""
    return None if value is None else base64.b64encode(value).decode()


def from_text(text):
    """Decode bytes from JSON."""
    return None if text is None else base64.b64decode(text)


def row_lists(rows):
    """Return rows as JSON lists."""
    return [[row.key, to_text(row.value), row.version] for row in rows]


async def serve(apps, host, ports):
    """Serve applications until cancelled; print the address of each on a line."""
    runners = []
    try:
        for app, port in zip(apps, ports, strict=True):
            runner = web.AppRunner(app, access_log=None, keepalive_timeout=75)
            runners.append(runner)
            await runner.setup()
            await web.TCPSite(runner, host, port, backlog=BACKLOG).start()
            address = runner.addresses[0]
            print(f"listening {address[0]} {address[1]}", flush=True)
        await asyncio.Event().wait()
    finally:
        for runner in runners:
            await runner.cleanup()


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args()
    asyncio.run(serve([PlatformStandIn().application()], args.host, [args.port]))


if __name__ == "__main__":
    main()
