"""Callers of a chaos run: they cancel, repeat and resubmit."""

import asyncio
import random
import secrets
import time

import aiohttp
import msgspec

from carobramp_schema.generated.caller import TaskSpec
from carobramp_testing.builders import caller_made_id, job_request
from carobramp_testing.callers import Callers

JOBS_PER_S = 40.0
ISSUED, CLAIMED, NO_KEY = "issued", "claimed", "no_key"
KEY_MODES = (ISSUED, CLAIMED, NO_KEY)
KEY_WEIGHTS = (60, 25, 15)
RUN_MS = (10.0, 20.0, 50.0, 100.0, 200.0, 1000.0)
RUN_WEIGHTS = (20, 20, 25, 20, 12, 3)
DEADLINES_MS = (800, 1500, 3000, 5000)
TEAMS = ("bakery", "club", "festival")
CLASSES = ("interactive", "batch")
TASKS_MAX = 4
DECLARED_FACTORS = (0.0, 0.1, 1.0, 1.0, 5.0)
KEY_SEED_BITS = 128
FAIL_PERCENT = 3
TWIN_PERCENT = 10
REPEAT_PERCENT = 5
CONFLICT_PERCENT = 2
CANCEL_PERCENT = 5
RESUBMISSIONS = 3
RESUBMIT_PAUSE_S = 0.2
CALL_TIMEOUT_S = 3.0


class ChaosCallers(Callers):
    """Open arrivals of jobs with all kinds of submission ids.

    Parameters
    ==========

    deployment : running `Deployment`
    seed : seed of all choices; their timing depends on the machine
    """

    def __init__(self, deployment, seed):
        super().__init__(deployment)
        self.rng = random.Random(f"callers:{seed}")
        self.vms = list(deployment.vms)
        self.excuse = lambda vm: None
        self.running: dict[str, str] = {}
        self.submissions = 0
        self.cancels = 0
        self.resubmissions = 0

    async def run(self, seconds):
        """Submit jobs for `seconds`, then wait for their ends."""
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                group.create_task(self.submission(self.rng.choice(self.vms)))
                await asyncio.sleep(self.rng.expovariate(JOBS_PER_S))

    def chance(self, percent):
        """Return true with a probability of `percent`."""
        return self.rng.random() * 100 < percent

    def chaos_request(self):
        """Build a job with random tasks."""
        specs = []
        for _ in range(self.rng.randint(1, TASKS_MAX)):
            run_ms = self.rng.choices(RUN_MS, RUN_WEIGHTS)[0]
            payload = {"run_ms": run_ms, "token": f"t{next(self.numbers)}"}
            if self.chance(FAIL_PERCENT):
                payload["fail"] = True
            declared = run_ms * self.rng.choice(DECLARED_FACTORS)
            specs.append(TaskSpec(payload, declared))
        request = job_request(
            team=self.rng.choice(TEAMS),
            priority_class=self.rng.choice(CLASSES),
            deadline_ms=self.rng.choice(DEADLINES_MS),
            idempotent=self.chance(50),
        )
        return msgspec.structs.replace(request, tasks=specs)

    async def new_key(self, vm):
        """Return a submission id, or None when the VM gives none."""
        mode = self.rng.choices(KEY_MODES, KEY_WEIGHTS)[0]
        if mode == NO_KEY:
            return ""
        if mode == CLAIMED:
            return caller_made_id(secrets.randbits(KEY_SEED_BITS))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self.deployment.new_id(vm)
        except (aiohttp.ClientError, TimeoutError, KeyError, ValueError):
            return None

    async def submission(self, vm):
        """Submit one job, with the repetitions that its caller makes."""
        request = self.chaos_request()
        key = await self.new_key(vm)
        if key is None:
            return
        self.submissions += 1
        if not key:
            await self.send(vm, request, key)
            return
        self.running[key] = vm
        async with asyncio.TaskGroup() as group:
            group.create_task(self.resubmit(vm, request, key))
            if self.chance(TWIN_PERCENT):
                group.create_task(self.send(self.other(vm), request, key))
            if self.chance(CONFLICT_PERCENT):
                other = self.chaos_request()
                group.create_task(self.send(self.other(vm), other, key))
            if self.chance(CANCEL_PERCENT):
                group.create_task(self.cancel_later(key, vm))
        del self.running[key]
        if self.chance(REPEAT_PERCENT):
            await self.send(self.other(vm), request, key)

    async def send(self, vm, request, key):
        """Submit a job once."""
        return await self.submit(vm, request, key, self.excuse(vm))

    async def resubmit(self, vm, request, key):
        """Submit a job until some VM answers, at another VM each time."""
        for _ in range(1 + RESUBMISSIONS):
            attempt = await self.send(vm, request, key)
            if attempt.status:
                return
            self.resubmissions += 1
            vm = self.other(vm)
            await asyncio.sleep(RESUBMIT_PAUSE_S)

    def other(self, vm):
        """Return another entry VM."""
        return self.rng.choice([name for name in self.vms if name != vm])

    async def cancel_later(self, key, vm):
        """Cancel a job after a moment, at any entry VM."""
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        await self.cancel(key, self.rng.choice([vm, self.other(vm)]))

    async def cancel_wave(self):
        """Cancel all jobs under way at once."""
        calls = [self.cancel(key, vm) for key, vm in self.running.items()]
        await asyncio.gather(*calls)

    async def cancel(self, key, vm):
        """Cancel a job; the reply does not matter."""
        self.cancels += 1
        url = f"{self.deployment.url(vm)}/v1/jobs/{key}"
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self.deployment.session.delete(url),
            ):
                return
        except (aiohttp.ClientError, TimeoutError):
            return
