"""Base of the tests of submissions: a deployment shared by the tests of a class."""

import asyncio
import functools
import unittest

from carobramp_testing.builders import caller_made_id, job_request
from carobramp_testing.processes import HTTP_OK, Deployment, wait_for

FIRST, SECOND, THIRD = VMS = ("tilburg-0", "tilburg-1", "tilburg-2")
SETTINGS = {
    "platform": {"timeout_ms": 400},
    "submission": {"forward_margin_ms": 300},
    "membership": {"call_timeout_ms": 500, "heartbeat_ms": 200, "list_poll_ms": 200},
}
NO_REPLY = {"forward_lost", "owner_unreachable"}
CLAIM_CALLS = ["table/transact", "table/read"]
LONG_MS = 60_000
# A job whose run time is its deadline is refused as unmeetable.
LONG_DEADLINE_MS = 2 * LONG_MS


def with_deployment(test):
    """Run a coroutine method as a test in the loop of the shared deployment."""

    @functools.wraps(test)
    def run(self):
        self.runner.run(test(self))

    return run


async def wait_linked(deployment):
    """Wait until each VM is ready and sees the others live."""
    for name in VMS:
        await deployment.wait_ready(name)
        await wait_for(functools.partial(sees_others, deployment, name))


async def sees_others(deployment, name):
    """Whether a VM sees the others live."""
    status = await deployment.get_json(f"{deployment.url(name)}/v1/status")
    return sum(peer["live"] for peer in status["peers"]) == len(VMS) - 1


class SubmissionCase(unittest.TestCase):
    """Tests that share one deployment of three entry VMs in one zone."""

    deployment: Deployment
    runner: asyncio.Runner
    ids = iter(range(1, 1 << 30))

    @classmethod
    def setUpClass(cls):
        """Start the deployment."""
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.deployment = Deployment(vms_per_zone=len(VMS), settings=SETTINGS)
        cls.runner.run(cls.deployment.__aenter__())
        cls.addClassCleanup(lambda: cls.runner.run(cls.deployment.__aexit__()))
        cls.runner.run(wait_linked(cls.deployment))

    def tearDown(self):
        """Take back the faults of the platform."""
        self.runner.run(self.set_faults())

    async def set_faults(self, **faults):
        """Set the faults of the stand-in platform; none without arguments."""
        url = f"{self.deployment.platform_url}/faults"
        await self.deployment.post_json(url, faults)

    async def keys(self, vm):
        """Return an id issued by a VM and a caller-made one, by kind."""
        return {
            "issued": await self.deployment.new_id(vm),
            "caller-made": caller_made_id(next(self.ids)),
        }

    def submit(self, vm, key, **fields):
        """Submit a job at a VM in a task of its own."""
        submission = self.deployment.submit(vm, job_request(**fields), key)
        return asyncio.get_running_loop().create_task(submission)

    async def submit_problem(self, vm, key, **fields):
        """Submit a job that must fail and return the problem."""
        status, body = await self.submit(vm, key, **fields)
        self.assertNotEqual(status, HTTP_OK, body)
        return body

    async def starts_of(self, key):
        """Return the number of starts of each task of a submission."""
        starts = await self.deployment.starts()
        return {t: n for t, n in starts.items() if t.rpartition(":")[0] == key}

    async def wait_started(self, key, tasks=1):
        """Wait until a number of tasks of a submission have started."""

        async def started():
            return len(await self.starts_of(key)) >= tasks

        await wait_for(started)

    async def assert_each_once(self, key, tasks):
        """Check in the upstreams' records that each task started once."""
        expected = {f"{key}:{n}": 1 for n in range(tasks)}
        self.assertEqual(await self.starts_of(key), expected)

    async def assert_at_most_once(self, key):
        """Check in the upstreams' records that no task started twice."""
        self.assertLessEqual(set((await self.starts_of(key)).values()), {1})
