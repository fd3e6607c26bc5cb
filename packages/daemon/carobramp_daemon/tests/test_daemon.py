"""Tests of the end of a daemon whose services cannot start or fail."""

import asyncio
import socket
import unittest
from unittest import mock

from carobramp_daemon.daemon import run_daemon
from carobramp_daemon.dispatch import DispatchService
from carobramp_testing.builders import vm_settings

UNREACHABLE_URL = "http://127.0.0.1:1"
END_TIMEOUT_S = 20


class FailureTests(unittest.IsolatedAsyncioTestCase):
    """A daemon that cannot serve ends and reports the reason."""

    async def run_to_end(self, settings):
        """Run a daemon until it ends by itself; return its error."""
        async with asyncio.timeout(END_TIMEOUT_S):
            return await run_daemon(settings)

    async def test_port_in_use(self):
        """Guards against a traceback, and a daemon that runs without its port."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        settings = vm_settings("a", UNREACHABLE_URL, vm={"caller_port": port})
        self.assertIn("cannot start", await self.run_to_end(settings))

    async def test_failed_service(self):
        """Guards against a VM that reports ready after its dispatcher failed."""
        fault = ValueError("broken invariant")
        with (
            mock.patch.object(DispatchService, "wait_for_event", side_effect=fault),
            self.assertLogs(level="ERROR"),
        ):
            failure = await self.run_to_end(vm_settings("a", UNREACHABLE_URL))
        self.assertIn("broken invariant", failure)


if __name__ == "__main__":
    unittest.main()
