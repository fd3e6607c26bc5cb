"""The platform's store: rows with versions, transactions and a feed of changes."""

import asyncio
import base64
import dataclasses
import json
import time

from aiohttp import web

HISTORY = 5000
READ_LIMIT = 500
SERVERS = "servers"
RESERVED = ("op", SERVERS)


@dataclasses.dataclass
class StoreFaults:
    """Misbehaviour of the store, set by tests.

    Parameters
    ==========

    status : answer to every call, with nothing done; 0 for none
    silent : no call is answered or done
    delay_s : time before each call is done
    lose_answers : writes are done and not answered
    """

    status: int = 0
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False


class StoreServer:
    """Store on loopback; `calls` counts the calls by path."""

    def __init__(self):
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.history: list[dict] = []
        self.forgotten = 0
        self.version = 0
        self.changed = asyncio.Condition()
        self.faults = StoreFaults()
        # Hosts in rows that readers see under another name, such as that of a relay.
        self.aliases: dict[str, str] = {}
        self.calls: dict[str, int] = {}
        self.address = ""
        self.runner: web.AppRunner

    async def start(self):
        """Listen on a port that the system chooses."""
        app = web.Application()
        app.router.add_post("/-/rows-tx", self.on_transaction)
        app.router.add_get("/-/rows-get", self.on_get)
        app.router.add_get("/-/rows-feed", self.on_feed)
        self.runner = web.AppRunner(app, handler_cancellation=True)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def stop(self):
        """Stop listening."""
        await self.runner.cleanup()

    def forget_history(self):
        """Drop the history, so that followers have to read anew."""
        self.history.clear()
        self.forgotten = self.version

    async def put(self, table, key, value: dict | bytes):
        """Write a row as the platform or the operator does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.apply(table, "", key, base64.b64encode(data).decode())
        await self.wake()

    async def remove(self, table, key):
        """Remove a row as the platform does."""
        self.version += 1
        self.apply(table, "", key, None)
        await self.wake()

    def value(self, table, key):
        """Return the decoded JSON of a row, or None."""
        row = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def apply(self, table, part, key, value):
        """Write or remove one row at the present version."""
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            self.history.append({**row, "deleted": True})
        else:
            row["value"] = value
            self.rows[table, part, key] = row
            self.history.append(row)
        if len(self.history) > HISTORY:
            self.forgotten = self.history.pop(0)["ver"]

    def with_alias(self, value):
        """Return the value of a row with its host replaced by its alias."""
        if not self.aliases:
            return value
        content = json.loads(base64.b64decode(value))
        content["host"] = self.aliases.get(content.get("host"), content.get("host"))
        return base64.b64encode(json.dumps(content).encode()).decode()

    async def wake(self):
        """Let the feeds see what changed."""
        async with self.changed:
            self.changed.notify_all()

    async def misbehave(self, request):
        """Carry out the faults that are set; return an answer or None."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if self.faults.silent:
            await asyncio.Event().wait()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.status:
            return web.Response(status=self.faults.status)
        return None

    def reply(self, **fields):
        """Return an answer with the store's version and clock."""
        clock_ms = int(time.monotonic() * 1000)
        return web.json_response({**fields, "ver": self.version, "now_ms": clock_ms})

    async def on_transaction(self, request):
        """Apply all entries of a call, or none."""
        body = await request.json()
        if fault := await self.misbehave(request):
            return fault
        for entry in [*body.get("puts", ()), *body.get("remove", ())]:
            if entry["table"] in RESERVED:
                return web.Response(status=403)
        conditions = body.get("expected_rev", ())
        present = [self.rows.get((c["table"], c["part"], c["key"])) for c in conditions]
        for condition, row in zip(conditions, present, strict=True):
            if (row["ver"] if row else 0) != condition["ver"]:
                rows = [row for row in present if row]
                return web.json_response({"rows": rows}, status=412)
        self.version += 1
        for entry in body.get("puts", ()):
            value = self.with_alias(entry["value"])
            self.apply(entry["table"], entry["part"], entry["key"], value)
        for entry in body.get("remove", ()):
            self.apply(entry["table"], entry["part"], entry["key"], None)
        await self.wake()
        if self.faults.lose_answers:
            request.transport.close()
        return self.reply()

    async def on_get(self, request):
        """Return rows of a table in key order."""
        if fault := await self.misbehave(request):
            return fault
        query = request.query
        limit = min(READ_LIMIT, int(query.get("limit", READ_LIMIT)))
        wanted = sorted(
            key
            for key in self.rows
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and key[2] >= query.get("from", "")
        )
        rows = [self.rows[key] for key in wanted[:limit]]
        return self.reply(rows=rows, has_more=len(wanted) > limit)

    async def on_feed(self, request):
        """Return what changed after a version, as soon as something did."""
        if fault := await self.misbehave(request):
            return fault
        table, after = request.query["table"], int(request.query["after"])
        try:
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                async with self.changed:
                    while not self.rows_after(table, after):
                        if after < self.forgotten:
                            return web.Response(status=410)
                        await self.changed.wait()
        except TimeoutError:
            pass
        if after < self.forgotten:
            return web.Response(status=410)
        return self.reply(rows=self.rows_after(table, after))

    def rows_after(self, table, after):
        """Return the newest change of each row of a table after a version."""
        changed = {
            (row["part"], row["key"]): row
            for row in self.history
            if row["ver"] > after and row["table"] == table
        }
        return sorted(changed.values(), key=lambda row: row["ver"])
