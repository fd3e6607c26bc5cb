"""Tests of how a command treats networks that fail."""

import asyncio
import unittest

from carobramp_cli.client import Answer, EntryVms, NotReceived, Unclear

TIMEOUT_S = 2.0
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 11\r\nConnection: close\r\n\r\n"
)


class StubServer:
    """Server that answers each connection with fixed bytes, after reading."""

    def __init__(self, answer):
        self.answer = answer
        self.received = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{self.port}"
        return self

    async def __aexit__(self, *exception):
        self.server.close()

    async def serve(self, reader, writer):
        """Read one request head and send the bytes."""
        await reader.readuntil(b"\r\n\r\n")
        self.received += 1
        writer.write(self.answer)
        writer.close()


async def closed_url():
    """Return a URL on which nothing listens."""
    async with StubServer(b"") as server:
        return server.url


class EntryVmsTests(unittest.IsolatedAsyncioTestCase):
    """A request is sent to the next VM only when the first did not receive it."""

    async def send(self, *urls):
        """Send a request to the first usable URL."""
        return await EntryVms(urls, TIMEOUT_S).send("POST", "/v1/jobs", b"{}")

    async def test_next_vm_after_a_refused_connection(self):
        """Guards against an operator who is stuck when one VM is down."""
        async with StubServer(ANSWER + b'{"a": true}') as server:
            result = await self.send(await closed_url(), server.url)
        self.assertEqual(result, Answer(200, {"a": True}))

    async def test_no_vm_listens(self):
        """Guards against an unknown outcome where nothing was received."""
        result = await self.send(await closed_url())
        self.assertIsInstance(result, NotReceived)

    async def test_no_second_vm_after_a_lost_answer(self):
        """Guards against a job that is sent to two VMs."""
        async with StubServer(b"") as first, StubServer(ANSWER) as second:
            result = await self.send(first.url, second.url)
        self.assertIsInstance(result, Unclear)
        self.assertEqual((first.received, second.received), (1, 0))

    async def test_answers_that_are_not_usable(self):
        """Guards against a truncated or malformed answer taken as success."""
        for answer in (ANSWER + b'{"a"', ANSWER + b"not a json!", b"\xff\xff\r\n\r\n"):
            with self.subTest(answer=answer):
                async with StubServer(answer) as server:
                    result = await self.send(server.url)
                self.assertIsInstance(result, Unclear)


if __name__ == "__main__":
    unittest.main()
