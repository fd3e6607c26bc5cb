"""Base of the tests that inject failures into real processes."""

import asyncio
import unittest

from carobramp_testing.callers import Callers
from carobramp_testing.processes import HTTP_OK, Deployment

# Short periods, so that a test waits little for tickets and membership.
FAST = {
    "tickets": {"head_poll_ms": 100},
    "membership": {"heartbeat_ms": 100, "far_heartbeat_ms": 200, "list_poll_ms": 200},
}


class FaultCase(unittest.IsolatedAsyncioTestCase):
    """Starts a deployment and checks the invariants at the end."""

    deployment: Deployment
    callers: Callers

    async def asyncSetUp(self):
        """Turn off the debug mode of the loop, which slows callers and relays."""
        asyncio.get_running_loop().set_debug(False)

    async def deploy(self, **options):
        """Start a deployment that ends with the test."""
        sections = FAST | options.pop("settings", {})
        self.deployment = Deployment(settings=sections, **options)
        await self.enterAsyncContext(self.deployment)
        self.callers = Callers(self.deployment)
        return self.deployment

    async def assert_sound(self):
        """Fail when an invariant is violated."""
        self.assertEqual(await self.callers.check(), [])

    def assert_whole(self, attempts):
        """Fail unless each attempt got its whole answer."""
        bad = [attempt for attempt in attempts if attempt.status != HTTP_OK]
        self.assertEqual(bad, [])

    def reasons(self, attempts):
        """Return the set of reasons of attempts, an empty string for answers."""
        return {reason_of(attempt) for attempt in attempts}

    async def started_at(self, url):
        """Return the ids of the submissions with a start at an upstream."""
        tasks = (await self.deployment.get_json(f"{url}/records"))["starts"]
        return {task_id.rpartition(":")[0] for task_id in tasks}

    def some_started(self, keys):
        """Return a condition: tasks of at least one of the submissions started."""

        async def condition():
            starts = await self.deployment.starts()
            return keys & {task_id.rpartition(":")[0] for task_id in starts}

        return condition


def reason_of(attempt):
    """Return the reason of a failure, ``lost``, or an empty string for an answer."""
    if attempt.status == HTTP_OK:
        return ""
    return attempt.body["reason"] if attempt.status else "lost"
