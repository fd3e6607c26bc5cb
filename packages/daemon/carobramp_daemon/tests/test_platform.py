"""Tests of the platform client with malformed replies."""

import asyncio
import base64
import json
import unittest
from unittest import mock

from carobramp_core.platform import (
    Committed,
    Condition,
    Conflict,
    LeaseHeld,
    Row,
    Transaction,
    Unavailable,
    VmEntry,
    Write,
)
from carobramp_daemon import platform
from carobramp_daemon.metrics import Metrics
from carobramp_schema.generated.settings import PlatformSettings

VALUE = base64.b64encode(b"value").decode()
VM = {
    "name": "a",
    "host": "192.0.2.1",
    "peer_port": 1,
    "availability_zone": "z",
    "leaving": False,
}
TRANSACTION = Transaction((Condition("a", 0),), (Write("a", b"x"),))
CALLS = {
    "transact": (TRANSACTION, "test"),
    "read": (("a", "b"), "test"),
    "scan": ("p/", "p/1", 2, "test"),
    "put": ("a", b"x", "test"),
    "get": ("a", "test"),
    "list_vms": ("test",),
    "acquire": ("a", "me", 1.0, "test"),
    "release": ("a", "me", "test"),
}
SMALL_REPLY_BYTES = 100_000


def http(body, head="HTTP/1.1 200 OK", length=None):
    """Return the bytes of an HTTP response."""
    length = len(body) if length is None else length
    head = f"{head}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + body


class PlatformServer:
    """Answers every request on a connection with `reply`."""

    def __init__(self):
        self.reply = b""
        self.requests = 0

    async def start(self):
        """Listen on a port that the system chooses."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Answer one request and close the connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        self.requests += 1
        writer.write(self.reply)
        writer.close()


class PlatformClientTests(unittest.IsolatedAsyncioTestCase):
    """A reply that violates the protocol gives `Unavailable`, not an exception."""

    async def asyncSetUp(self):
        """Start a server and a client."""
        self.server = PlatformServer()
        port = await self.server.start()
        self.addCleanup(self.server.server.close)
        settings = PlatformSettings(url=f"http://127.0.0.1:{port}", timeout_ms=5000)
        log = mock.Mock()
        self.client = platform.PlatformClient(settings, Metrics(), log)
        await self.client.on_start()
        self.addAsyncCleanup(self.client.on_stop)

    async def call(self, name, reply):
        """Make the call `name`, which the server answers with `reply`."""
        self.server.reply = reply
        return await getattr(self.client, name)(*CALLS[name])

    async def check_json(self, name, body, expected):
        """Compare the outcome of a call answered with a JSON body."""
        result = await self.call(name, http(json.dumps(body).encode()))
        self.assertEqual(result, expected)

    async def check_unavailable(self, name, reply):
        """Expect `Unavailable` that says that the call may have been applied."""
        result = await self.call(name, reply)
        self.assertIsInstance(result, Unavailable, (name, reply[:80]))
        self.assertTrue(result.maybe_applied)

    async def test_valid_replies(self):
        """Guards against validation that rejects valid replies."""
        rows = [["a", VALUE, 3]]
        row = Row("a", b"value", 3)
        await self.check_json("transact", {"committed": True}, Committed())
        body = {"committed": False, "rows": rows}
        await self.check_json("transact", body, Conflict((row,)))
        await self.check_json("read", {"rows": rows, "more": 1}, (row,))
        body = {"rows": [["p/2", VALUE, 1], ["p/3", VALUE, 1]]}
        scanned = (Row("p/2", b"value", 1), Row("p/3", b"value", 1))
        await self.check_json("scan", body, scanned)
        await self.check_json("put", {}, None)
        await self.check_json("get", {"data": VALUE}, b"value")
        await self.check_json("get", {"data": None}, None)
        await self.check_json("list_vms", {"vms": [VM]}, (VmEntry(**VM),))
        body = {"holder": "b", "seconds": 2}
        await self.check_json("acquire", body, LeaseHeld("b", 2.0))
        await self.check_json("release", {}, None)

    async def test_replies_outside_the_protocol(self):
        """Guards against exceptions that end a service of the daemon."""
        inputs = {
            "nothing": b"",
            "garbage": b"\x00\xff\xfe\r\n\r\n",
            "status 500": http(b"{}", "HTTP/1.1 500 Oops"),
            "redirect": http(b"", "HTTP/1.1 307 Go\r\nLocation: /table/read"),
            "truncated": http(b"{", length=100),
            "wrong length": http(b"{}", length=1),
            "not JSON": http(b"<html>"),
            "empty body": http(b""),
            "bad UTF-8": http(b'{"rows": "\xff"}'),
            "NaN": http(b'{"rows": NaN, "seconds": NaN}'),
            "nested": http(b"[" * 100_000),
            "list": http(b"[]"),
            "null": http(b"null"),
            "bad chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz",
            "bad gzip": http(b"{}", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip"),
            "long header": http(b"{}", "HTTP/1.1 200 OK\r\nX: " + "x" * 100_000),
        }
        for name, reply in inputs.items():
            for call in CALLS:
                with self.subTest(input=name, call=call):
                    await self.check_unavailable(call, reply)

    async def test_replies_with_wrong_content(self):
        """Guards against wrong types and rows that were not requested."""
        inputs = {
            "transact": (
                {},
                {"committed": 1},
                {"committed": False, "rows": {}},
                {"committed": False, "rows": [["a", "not base64!", 1]]},
            ),
            "read": (
                {},
                {"rows": None},
                {"rows": [["a", VALUE]]},
                {"rows": [["a", VALUE, "1"]]},
                {"rows": [["a", VALUE, 0]]},
                {"rows": [["a", None, 1]]},
                {"rows": [["other", VALUE, 1]]},
                {"rows": [["a", VALUE, 1], ["a", VALUE, 2]]},
            ),
            "scan": (
                {"rows": [["q/2", VALUE, 1]]},
                {"rows": [["p/1", VALUE, 1]]},
                {"rows": [["p/3", VALUE, 1], ["p/2", VALUE, 1]]},
                {"rows": [[f"p/{n}", VALUE, 1] for n in (2, 3, 4)]},
            ),
            "get": ({}, {"data": 3}, {"data": "?"}),
            "list_vms": (
                {"vms": {}},
                {"vms": [VM | {"host": "localhost"}]},
                {"vms": [VM | {"peer_port": 0}]},
                {"vms": [VM | {"peer_port": "1"}]},
                {"vms": [{"name": "a"}]},
                {"vms": [VM] * 5000},
            ),
            "acquire": (
                {"holder": "a"},
                {"holder": None, "seconds": 1},
                {"holder": "a", "seconds": -1},
                {"holder": "a", "seconds": 1e9},
            ),
            "put": ([], None),
        }
        for call, bodies in inputs.items():
            for body in bodies:
                with self.subTest(call=call, body=str(body)[:60]):
                    reply = http(json.dumps(body).encode())
                    await self.check_unavailable(call, reply)

    async def test_reply_over_the_size_limit(self):
        """Guards against a reply that exhausts the memory."""
        reply = http(b'{"data": "' + b"A" * SMALL_REPLY_BYTES)
        with mock.patch.object(platform, "MAX_REPLY_BYTES", SMALL_REPLY_BYTES):
            await self.check_unavailable("get", reply)

    async def test_call_is_sent_once(self):
        """Guards against an HTTP library that repeats a transaction."""
        await self.check_unavailable("transact", b"")
        redirect = "HTTP/1.1 307 Go\r\nLocation: /table/transact"
        await self.check_unavailable("transact", http(b"", redirect))
        self.assertEqual(self.server.requests, 2)

    async def test_refused_connection(self):
        """Guards against `maybe_applied` for a call that was not sent."""
        self.server.server.close()
        await self.server.server.wait_closed()
        result = await self.client.transact(TRANSACTION, "test")
        self.assertIsInstance(result, Unavailable)
        self.assertFalse(result.maybe_applied)


if __name__ == "__main__":
    unittest.main()
