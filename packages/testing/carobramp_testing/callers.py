"""Callers that keep what they sent and got, for the checks."""

import asyncio
import contextlib
import itertools
import time

import aiohttp
import msgspec

from carobramp_schema.generated.caller import TaskSpec
from carobramp_testing.builders import job_request
from carobramp_testing.checker import MARGIN_MS, Attempt, check

# A caller gives up this long after the time at which the checks call an answer late.
GIVE_UP_AFTER_MS = 500.0


class Callers:
    """Submits jobs to a deployment; every task carries a token of its own.

    Parameters
    ==========

    deployment : running `Deployment`
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.attempts: list[Attempt] = []
        self.numbers = itertools.count()

    def request(self, tasks=1, run_ms=20, **fields):
        """Build a job whose tasks carry tokens."""
        specs = [
            TaskSpec({"run_ms": run_ms, "token": f"t{next(self.numbers)}"}, run_ms)
            for _ in range(tasks)
        ]
        return msgspec.structs.replace(job_request(**fields), tasks=specs)

    async def submit(self, vm, request=None, key="", excused=None):
        """Submit one job once; return the `Attempt`.

        Parameters
        ==========

        vm : name of the entry VM
        request : job built by `request`
        key : submission id, or an empty string
        excused : function that tells whether a lost answer is allowed
        """
        request = request or self.request()
        started = time.monotonic()
        try:
            status, body = await self.ask(vm, request, key)
            refused = False
        except aiohttp.ClientConnectorError:
            # The request did not leave the caller, so no answer is owed.
            status, body, refused = 0, None, True
        attempt = Attempt(
            key=key,
            vm=vm,
            tokens=tuple(task.payload["token"] for task in request.tasks),
            deadline_ms=request.deadline_ms,
            elapsed_ms=(time.monotonic() - started) * 1000,
            status=status,
            body=body,
            excused=refused or bool(excused and excused()),
        )
        self.attempts.append(attempt)
        return attempt

    async def ask(self, vm, request, key):
        """Return status and body of a submission; status 0 when no answer came.

        Raises
        ======

        aiohttp.ClientConnectorError : when no connection was made
        """
        limit = (request.deadline_ms + MARGIN_MS + GIVE_UP_AFTER_MS) / 1000
        try:
            async with asyncio.timeout(limit):
                return await self.deployment.submit(vm, request, key)
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None

    async def submit_many(self, count, vms=None, **fields):
        """Submit `count` jobs at once, in turn to each of `vms`."""
        vms = list(vms or self.deployment.vms)
        calls = (
            self.submit(vms[n % len(vms)], self.request(**fields)) for n in range(count)
        )
        return await asyncio.gather(*calls)

    @contextlib.asynccontextmanager
    async def load(self, vms=None, pause=0.02, **fields):
        """Submit a job to each of `vms` every `pause` seconds, inside the block."""
        vms = list(vms or self.deployment.vms)

        async def submit_on():
            async with asyncio.TaskGroup() as group:
                while not stop.is_set():
                    for vm in vms:
                        group.create_task(self.submit(vm, self.request(**fields)))
                    await asyncio.sleep(pause)

        stop = asyncio.Event()
        loop = asyncio.create_task(submit_on())
        try:
            yield
        finally:
            stop.set()
            await loop

    async def check(self):
        """Return the violations up to now."""
        return check(self.attempts, await self.deployment.starts())
