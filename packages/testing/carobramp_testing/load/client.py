"""Sends the jobs of a plan at their arrival times, whatever the answers do."""

import asyncio
import bisect
import itertools
import time

import aiohttp

from carobramp_schema import encode
from carobramp_testing.load.ideal import Pool, ideal_ms
from carobramp_testing.load.plan import Arrival, Plan, arrivals
from carobramp_testing.load.result import JobResult, LoadResult

HTTP_OK = 200
ANSWER_MARGIN_S = 5.0
IDS_PER_REQUEST = 256
NO_ANSWER = "no_answer"
WRONG_ANSWER = "wrong_answer"


async def run_load(plan: Plan, urls, pool: Pool) -> LoadResult:
    """Send the jobs of `plan` to the entry VMs at `urls`.

    Explanation
    ===========

    Arrivals are open: a job is sent at its time even when earlier ones have no
    answer, and its response time counts from that time, so that queueing at the
    sender is not hidden.
    """
    client = Client(plan, urls, pool)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), cookie_jar=aiohttp.DummyCookieJar()
    ) as session:
        client.session = session
        await client.fetch_ids()
        await client.send_all()
    return client.result


class Client:
    """Sender of one run."""

    def __init__(self, plan: Plan, urls, pool: Pool):
        self.plan = plan
        self.urls = list(urls)
        self.pool = pool
        self.result = LoadResult()
        weights = plan.vm_weights or (1.0,) * len(self.urls)
        total = sum(weights)
        self.shares = list(itertools.accumulate(w / total for w in weights))
        self.jobs = arrivals(plan)
        self.ids: list[str] = []
        self.session: aiohttp.ClientSession
        self.start = 0.0

    def vm_of(self, arrival: Arrival):
        """Return the index of the entry VM that a job goes to."""
        index = bisect.bisect(self.shares, arrival.vm_choice)
        return min(index, len(self.urls) - 1)

    async def fetch_ids(self):
        """Fetch a submission id for each job from the VM that it goes to."""
        wanted = [self.vm_of(arrival) for arrival in self.jobs]
        pools = [
            await self.ids_of(vm, wanted.count(vm)) for vm in range(len(self.urls))
        ]
        self.ids = [pools[vm].pop() for vm in wanted]

    async def ids_of(self, vm, count):
        """Fetch `count` submission ids from one entry VM."""
        ids: list[str] = []
        while len(ids) < count:
            body = {"count": min(IDS_PER_REQUEST, count - len(ids))}
            url = f"{self.urls[vm]}/v1/submission-ids"
            async with self.session.post(url, json=body) as response:
                ids += (await response.json())["ids"]
        return ids

    async def send_all(self):
        """Send every job at its time and wait for the answers."""
        self.start = time.monotonic()
        calls = []
        for arrival, key in zip(self.jobs, self.ids, strict=True):
            delay = self.start + arrival.at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            calls.append(asyncio.create_task(self.send(arrival, key)))
        await asyncio.gather(*calls)

    async def send(self, arrival: Arrival, key):
        """Send one job and record what came back."""
        url = f"{self.urls[self.vm_of(arrival)]}/v1/jobs"
        limit = arrival.request.deadline_ms / 1000 + ANSWER_MARGIN_S
        if arrival.stream.cancel_after_ms:
            asyncio.get_running_loop().call_later(
                arrival.stream.cancel_after_ms / 1000, self.cancel, url, key
            )
        try:
            async with self.session.post(
                url,
                data=encode(arrival.request),
                headers={"Idempotency-Key": key, "Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=limit),
            ) as response:
                body = await response.json(content_type=None)
                reason, not_run = judge(response.status, body, key, arrival)
        except (aiohttp.ClientError, TimeoutError):
            reason, not_run = NO_ANSWER, False
        self.record(arrival, key, reason, not_run)

    def cancel(self, url, key):
        """Cancel a job without waiting for the reply."""
        asyncio.ensure_future(self.send_cancel(f"{url}/{key}"))

    async def send_cancel(self, url):
        """Send one cancellation."""
        try:
            async with self.session.delete(url):
                return
        except (aiohttp.ClientError, TimeoutError):
            return

    def record(self, arrival: Arrival, key, reason, not_run):
        """Add one job to the result."""
        elapsed = time.monotonic() - self.start - arrival.at
        self.result.add(
            JobResult(
                stream=arrival.stream.name,
                submission_id=key,
                tasks=len(arrival.run_ms),
                reason=reason,
                not_run=not_run,
                response_ms=elapsed * 1000,
                ideal_ms=ideal_ms(arrival.run_ms, self.pool),
                at=arrival.at,
            )
        )


def judge(status, body, key, arrival: Arrival):
    """Return the reason and `not_run` of an answer; an empty reason is success."""
    if status != HTTP_OK:
        return body.get("reason", f"status_{status}"), body.get("not_run", False)
    wanted = [f"{key}:{index}" for index in range(len(arrival.run_ms))]
    seen = [result.get("task_id") for result in body["results"]]
    return ("" if seen == wanted else WRONG_ANSWER), False
