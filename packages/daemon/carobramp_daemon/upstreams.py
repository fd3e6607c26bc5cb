"""HTTP client that sends tasks and cancellations to upstreams."""

import asyncio
import time

import aiohttp
from mode import Service
from yarl import URL

from carobramp_core.dispatch.messages import (
    CancelTask,
    StartTask,
    TaskDone,
    TaskFailed,
    TaskNotStarted,
    TaskOutcomeReceived,
    TaskOutcomeUnknown,
    UpstreamReport,
)
from carobramp_core.outcomes import RetryReason, WastedMessageKind
from carobramp_schema import InvalidInput, decode, encode
from carobramp_schema.generated.upstream import TaskAnswer, TaskRequest

HTTP_OK = 200
HTTP_SERVICE_UNAVAILABLE = 503
KEEPALIVE_S = 10
CANCEL_TIMEOUT_S = 2.0
READ_CHUNK_BYTES = 65536
REFUSAL_REASONS = {
    "busy": RetryReason.REFUSED_BUSY,
    "leaving": RetryReason.REFUSED_LEAVING,
}
HEADERS = {"Content-Type": "application/json", "Accept-Encoding": "identity"}


class Endpoint:
    """HTTP connections to one address of an upstream.

    A retired endpoint gets no new tasks and is closed when its last call ends.
    """

    def __init__(self, host, port, connections):
        self.address = (host, port)
        self.connections = connections
        self.tasks_url = URL.build(
            scheme="http", host=host, port=port, path="/v1/tasks"
        )
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=KEEPALIVE_S
            ),
            headers=HEADERS,
            cookie_jar=aiohttp.DummyCookieJar(),
            trust_env=False,
        )
        self.calls_in_flight = 0
        self.retired = False

    def serves(self, host, port, connections):
        """Whether the endpoint has this address and limit on connections."""
        return self.address == (host, port) and self.connections == connections

    async def release(self):
        """End a call; close a retired endpoint that has no other in flight."""
        self.calls_in_flight -= 1
        if self.retired and not self.calls_in_flight:
            await self.session.close()


class UpstreamClient(Service):
    """Sends tasks to upstreams, each once.

    Every request that starts work is a POST. If the peer closed a kept connection,
    aiohttp repeats PUT and GET requests, but never a POST.
    """

    def __init__(self, settings, metrics, log):
        super().__init__()
        self.settings = settings
        self.metrics = metrics
        self.event_log = log
        self.endpoints: dict[str, Endpoint] = {}
        self.retired: set[Endpoint] = set()
        self.call_tasks: set[asyncio.Task] = set()

    async def on_stop(self):
        """Cancel the calls in flight and close the connections."""
        for call in list(self.call_tasks):
            call.cancel()
        for endpoint in [*self.endpoints.values(), *self.retired]:
            await endpoint.session.close()

    def start_task(self, start: StartTask, on_outcome):
        """Send a task; `on_outcome` is called with `TaskOutcomeReceived` once."""
        self.spawn(self.run_task(start, on_outcome))

    def cancel_task(self, cancel: CancelTask):
        """Ask an upstream to stop a task; the response is ignored."""
        self.metrics.increment("wasted_messages", WastedMessageKind.CANCEL)
        self.spawn(self.send_cancel(cancel))

    def spawn(self, coroutine):
        """Run a call as a task that `on_stop` cancels."""
        call = asyncio.create_task(coroutine)
        self.call_tasks.add(call)
        call.add_done_callback(self.call_tasks.discard)

    def endpoint(self, name, host, port, connections):
        """Return the endpoint of an upstream, replaced if its address changed."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None and endpoint.serves(host, port, connections):
            return endpoint
        if endpoint is not None:
            self.retire(name)
        endpoint = self.endpoints[name] = Endpoint(host, port, connections)
        return endpoint

    def retire(self, name):
        """Remove the endpoint of an upstream and close it when its last call ends."""
        endpoint = self.endpoints.pop(name)
        endpoint.retired = True
        endpoint.calls_in_flight += 1
        self.retired.add(endpoint)
        self.spawn(self.release(endpoint))

    async def release(self, endpoint):
        """End a call at an endpoint, and forget the endpoint once it is closed."""
        await endpoint.release()
        if endpoint.session.closed:
            self.retired.discard(endpoint)

    def keep_only(self, names):
        """Retire the endpoints of upstreams that are not in `names`."""
        for name in [name for name in self.endpoints if name not in names]:
            self.retire(name)

    async def run_task(self, start: StartTask, on_outcome):
        """Send one task and report its outcome."""
        endpoint = self.endpoint(
            start.upstream, start.host, start.port, start.connections
        )
        endpoint.calls_in_flight += 1
        try:
            outcome, report = await self.post_task(endpoint, start)
        except Exception as error:  # dispatch needs an outcome in every case
            outcome, report = TaskOutcomeUnknown(repr(error)), None
        if isinstance(outcome, TaskOutcomeUnknown):
            self.event_log.info(
                "task outcome unknown",
                job=start.task_id.submission_id,
                upstream=start.upstream,
                detail=outcome.detail,
            )
        on_outcome(TaskOutcomeReceived(start.task_id, start.upstream, outcome, report))
        await self.release(endpoint)

    async def post_task(self, endpoint, start: StartTask):
        """Send one task; return its outcome and the upstream's report."""
        if time.monotonic() >= start.deadline:
            # The process was paused after dispatch decided to start the task.
            return TaskNotStarted(RetryReason.REFUSED_OTHER, "deadline passed"), None
        message = TaskRequest(
            task_id=str(start.task_id),
            service=start.service,
            payload=start.payload,
            run_ms=start.declared_run_ms,
            timeout_ms=start.timeout * 1000,
        )
        timeout = aiohttp.ClientTimeout(
            total=start.timeout,
            connect=self.settings.dispatch.connect_timeout_ms / 1000,
        )
        try:
            body = encode(message)
        except RecursionError:
            return TaskFailed("the payload is nested too deeply", 0.0), None
        try:
            async with endpoint.session.post(
                endpoint.tasks_url,
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                data = await self.read_answer(response)
                return self.parse_answer(message.task_id, response.status, data)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # Both errors occur before there is a connection to send the request on.
            self.metrics.increment("wasted_messages", WastedMessageKind.CONNECT_FAILED)
            return TaskNotStarted(RetryReason.CONNECT_FAILED, str(error)), None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return TaskOutcomeUnknown(repr(error)), None

    async def read_answer(self, response):
        """Return the body, or None if it is over `max_answer_bytes`."""
        limit = self.settings.limits.max_answer_bytes
        if (response.content_length or 0) > limit:
            response.close()
            return None
        data = bytearray()
        async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
            data += chunk
            if len(data) > limit:
                response.close()
                return None
        return bytes(data)

    def parse_answer(self, task_id, status, data):
        """Return the outcome and the load report in an answer for a task."""
        if data is None:
            return TaskOutcomeUnknown("the answer is over max_answer_bytes"), None
        message = decode(data, TaskAnswer)
        if isinstance(message, InvalidInput):
            return TaskOutcomeUnknown(
                f"status {status}, malformed answer: {message}"
            ), None
        if message.task_id != task_id:
            self.metrics.increment("wasted_messages", WastedMessageKind.STRAY_ANSWER)
            return TaskOutcomeUnknown("the answer is for another task"), None
        report = UpstreamReport(message.busy, message.slots, message.leaving)
        return outcome_from_answer(message, status), report

    async def send_cancel(self, cancel: CancelTask):
        """Send one cancellation; do nothing if no endpoint has the task's address."""
        endpoint = self.find_endpoint(cancel)
        if endpoint is None:
            return
        endpoint.calls_in_flight += 1
        url = endpoint.tasks_url / str(cancel.task_id) / "cancel"
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with endpoint.session.post(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self.event_log.info(
                "task cancellation failed",
                job=cancel.task_id.submission_id,
                upstream=cancel.upstream,
                detail=repr(error),
            )
        await self.release(endpoint)

    def find_endpoint(self, cancel: CancelTask):
        """Return the endpoint with the address of a task, current or retired."""
        address = (cancel.host, cancel.port)
        current = self.endpoints.get(cancel.upstream)
        for endpoint in [current, *self.retired]:
            if endpoint is not None and endpoint.address == address:
                return endpoint
        return None


def outcome_from_answer(message: TaskAnswer, status):
    """Return the task outcome for an answer and its HTTP status."""
    if message.status == "refused" and status == HTTP_SERVICE_UNAVAILABLE:
        reason = REFUSAL_REASONS.get(message.error, RetryReason.REFUSED_OTHER)
        return TaskNotStarted(reason, message.error)
    if status != HTTP_OK:
        return TaskOutcomeUnknown(f"status {status} with `{message.status}`")
    if message.status == "done":
        return TaskDone(message.result, message.run_ms)
    if message.status == "failed":
        return TaskFailed(message.error, message.run_ms)
    return TaskOutcomeUnknown(f"status {status} with `{message.status}`")
