"""Entry VM with small bounds, for tests of malformed input."""

import asyncio
import unittest

from carobramp_testing.builders import job_request
from carobramp_testing.processes import HTTP_OK, Deployment

VM = "tilburg-0"
MAX_BODY_BYTES = 100_000
MAX_ANSWER_BYTES = 50_000
MAX_PEER_MESSAGE_BYTES = 200_000
ANSWER_TIMEOUT_S = 10.0
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"


class BadInputCase(unittest.IsolatedAsyncioTestCase):
    """Starts an entry VM with small bounds."""

    async def asyncSetUp(self):
        """Start one entry VM and one upstream."""
        limits = {
            "max_body_bytes": MAX_BODY_BYTES,
            "max_answer_bytes": MAX_ANSWER_BYTES,
            "max_peer_message_bytes": MAX_PEER_MESSAGE_BYTES,
        }
        self.deployment = Deployment(settings={"limits": limits})
        await self.enterAsyncContext(self.deployment)

    async def check_serves(self):
        """Check that the VM still answers a job."""
        status, body = await self.deployment.submit(VM, job_request())
        self.assertEqual(status, HTTP_OK, body)

    async def send_raw(self, port, data):
        """Send bytes to a port and return what comes back until the end."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(data)
                writer.write_eof()
                return await reader.read(-1)
        except OSError:  # The server reset the connection.
            return b""
        finally:
            writer.close()
