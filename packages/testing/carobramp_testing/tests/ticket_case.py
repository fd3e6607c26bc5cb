"""Base of the tests of tickets with real processes."""

import asyncio
import unittest

from carobramp_schema.generated.ticket import (
    TeamChange,
    TeamState,
    Ticket,
)
from carobramp_testing.processes import HTTP_OK, wait_for

HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
FAST = {
    "tickets": {"head_poll_ms": 400, "stale_after_ms": 1500},
    "membership": {
        "heartbeat_ms": 150,
        "far_heartbeat_ms": 300,
        "live_ms": 1500,
        "far_live_ms": 2500,
        "list_poll_ms": 300,
        "call_timeout_ms": 500,
    },
    "platform": {"timeout_ms": 500},
}
ALL_CALLS = {"down": True}


def team_ticket(number, quota=10, author="anna", based_on=None):
    """Build a ticket that sets the team `bakery`, which ticket 1 created."""
    based_on = number - 1 if based_on is None else based_on
    change = TeamChange("bakery", based_on, TeamState(quota))
    return Ticket(number, author, teams=[change])


class TicketCase(unittest.IsolatedAsyncioTestCase):
    """Helpers of the tests below."""

    async def status(self, deployment, vm):
        """Return the status of a VM."""
        return await deployment.get_json(f"{deployment.url(vm)}/v1/status")

    async def wait_number(self, deployment, number, vms=None):
        """Wait until all VMs have a ticket in force, with the same state."""

        async def everywhere():
            names = vms or list(deployment.vms)
            found = [await self.status(deployment, vm) for vm in names]
            behind = [s for s in found if s["state_number"] < number]
            return not behind and len({s["state_digest"] for s in found}) == 1

        await wait_for(everywhere)

    async def wait_peers(self, deployment, vm, names):
        """Wait until a VM sees exactly these live peers."""

        async def seen():
            status = await self.status(deployment, vm)
            return status["live_peers"] == sorted(names)

        await wait_for(seen)

    async def wait_all_peers(self, deployment):
        """Wait until every VM sees every other one."""
        for vm in deployment.vms:
            await self.wait_peers(deployment, vm, set(deployment.vms) - {vm})

    async def set_faults(self, deployment, **faults):
        """Set the faults of the platform."""
        await deployment.post_json(f"{deployment.platform_url}/faults", faults)

    async def accept(self, deployment, vm, ticket):
        """Put a ticket that must be accepted."""
        status, body = await deployment.put_ticket(vm, ticket)
        self.assertEqual(status, HTTP_OK, body)

    def watch(self, deployment, vm):
        """Return a task that fails when the number of a process falls."""

        async def follow():
            last = 0
            while True:
                try:
                    number = (await self.status(deployment, vm))["state_number"]
                except OSError:
                    number = last
                self.assertGreaterEqual(number, last)
                last = number
                await asyncio.sleep(0.01)

        return asyncio.create_task(follow())

    async def end_watch(self, *tasks):
        """Stop watching; raise what a watch found."""
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise result
