"""Stand-in of the platform's store: rows with versions, transactions and feeds."""

import asyncio
import base64
import json
import time

from aiohttp import web

TRANSACTION_S = 0.004
MAX_ROWS = 500
OPERATOR_TABLES = ("op", "servers")


class Store:
    """Linearizable store on loopback that loses nothing."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.address = ""
        self.runner = None

    async def start(self, host):
        app = web.Application()
        app.router.add_post("/-/rows-tx", self.on_transaction)
        app.router.add_get("/-/rows-get", self.on_get)
        app.router.add_get("/-/rows-feed", self.on_feed)
        self.runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self):
        if self.runner is not None:
            await self.runner.cleanup()

    async def put(self, table, key, value):
        """Write a row as the operator or a worker does."""
        self.version += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.write(table, "", key, data)
        await self.notify()

    async def remove(self, table, key):
        """Remove a row as the platform does."""
        if (table, "", key) in self.rows:
            self.version += 1
            self.write(table, "", key, None)
            await self.notify()

    def value(self, table, key):
        """Return the content of a row, or None."""
        row = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def write(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            self.changes.append({**row, "deleted": True})
        else:
            row["value"] = value
            self.rows[table, part, key] = row
            self.changes.append(row)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def reply(self, status=200, **fields):
        now_ms = int(time.monotonic() * 1000)
        body = {**fields, "ver": self.version, "now_ms": now_ms}
        return web.json_response(body, status=status)

    async def on_transaction(self, request):
        body = await request.json()
        await asyncio.sleep(TRANSACTION_S)
        entries = [*body.get("puts", ()), *body.get("remove", ())]
        if any(entry["table"] in OPERATOR_TABLES for entry in entries):
            return web.Response(status=403)
        conditions = body.get("expected_rev", ())
        keys = [(c["table"], c.get("part", ""), c["key"]) for c in conditions]
        present = [self.rows.get(key) for key in keys]
        for condition, row in zip(conditions, present):
            if (row["ver"] if row else 0) != condition["ver"]:
                rows = [row for row in present if row]
                return self.reply(412, rows=rows)
        self.version += 1
        for entry in body.get("puts", ()):
            part = entry.get("part", "")
            self.write(entry["table"], part, entry["key"], entry["value"])
        for entry in body.get("remove", ()):
            self.write(entry["table"], entry.get("part", ""), entry["key"], None)
        await self.notify()
        return self.reply()

    async def on_get(self, request):
        query = request.query
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        first, last = query.get("from", ""), query.get("target")
        found = sorted(
            key
            for key in self.rows
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= first
            and (last is None or key[2] < last)
        )
        rows = [self.rows[key] for key in found[:limit]]
        return self.reply(rows=rows, has_more=len(found) > limit)

    async def on_feed(self, request):
        query = request.query
        table, after = query["table"], int(query["after"])
        try:
            async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                async with self.changed:
                    while not self.rows_after(table, after):
                        await self.changed.wait()
        except TimeoutError:
            pass
        return self.reply(rows=self.rows_after(table, after))

    def rows_after(self, table, after):
        newest = {}
        for row in reversed(self.changes):
            if row["ver"] <= after:
                break
            if row["table"] == table:
                newest.setdefault((row["part"], row["key"]), row)
        return sorted(newest.values(), key=lambda row: row["ver"])
