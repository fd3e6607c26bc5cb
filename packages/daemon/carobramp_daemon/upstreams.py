"""HTTP client of the upstreams."""

import asyncio

import aiohttp
from mode import Service

from carobramp_core.dispatch.messages import (
    CancelTask,
    StartTask,
    TaskAnswered,
    TaskDone,
    TaskFailed,
    TaskNotStarted,
    TaskUnknown,
    UpstreamReport,
)
from carobramp_core.outcomes import RetryReason, Waste
from carobramp_schema import InvalidInput, decode, encode
from carobramp_schema.generated.upstream import TaskAnswer, TaskRequest

HTTP_REFUSED = 503
KEEPALIVE_S = 10
CANCEL_TIMEOUT_S = 2.0
READ_CHUNK_BYTES = 65536
REFUSALS = {"busy": RetryReason.REFUSED_BUSY, "leaving": RetryReason.REFUSED_LEAVING}
HEADERS = {"Content-Type": "application/json"}


class UpstreamClient(Service):
    """Sends tasks to upstreams, each once.

    Every request that starts work is a POST: aiohttp sends PUT and GET again on a
    connection that the peer closed, and POST never.
    """

    def __init__(self, settings, metrics, log):
        super().__init__()
        self.settings = settings
        self.metrics = metrics
        self.log_line = log
        self.sessions: dict[str, aiohttp.ClientSession] = {}
        self.calls: set[asyncio.Task] = set()

    async def on_stop(self):
        """End calls under way and close the connections."""
        for call in self.calls:
            call.cancel()
        for session in self.sessions.values():
            await session.close()

    def start_task(self, start: StartTask, answer):
        """Send a task; `answer` is called with `TaskAnswered` once."""
        self.spawn(self.run_task(start, answer))

    def cancel_task(self, cancel: CancelTask):
        """Ask an upstream to stop a task; the reply does not matter."""
        self.metrics.count("wasted_messages", Waste.CANCEL)
        self.spawn(self.send_cancel(cancel))

    def spawn(self, coroutine):
        """Run a call and keep it until it ends."""
        call = asyncio.create_task(coroutine)
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)

    def session(self, upstream, connections):
        """Return the session of an upstream, with its bound on connections."""
        session = self.sessions.get(upstream)
        if session is None:
            connector = aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=KEEPALIVE_S
            )
            session = aiohttp.ClientSession(
                connector=connector,
                headers=HEADERS,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
            self.sessions[upstream] = session
        return session

    async def run_task(self, start: StartTask, answer):
        """Send one task and report its outcome."""
        outcome, report = await self.post_task(start)
        if isinstance(outcome, TaskUnknown):
            detail = outcome.detail
            self.log_line.info(
                "outcome unknown",
                job=start.task_id.submission_id,
                upstream=start.upstream,
                detail=detail,
            )
        answer(TaskAnswered(start.task_id, start.upstream, outcome, report))

    async def post_task(self, start: StartTask):
        """Send one task; return its outcome and the upstream's report."""
        session = self.session(start.upstream, start.connections)
        timeout = aiohttp.ClientTimeout(
            total=start.timeout,
            connect=self.settings.dispatch.connect_timeout_ms / 1000,
        )
        url = f"http://{start.host}:{start.port}/v1/tasks"
        message = TaskRequest(
            task_id=str(start.task_id),
            service=start.service,
            payload=start.payload,
            run_ms=start.run_ms,
            timeout_ms=start.timeout * 1000,
        )
        try:
            body = encode(message)
        except RecursionError:
            return TaskFailed("the payload is nested too deeply", 0.0), None
        try:
            async with session.post(
                url, data=body, timeout=timeout, allow_redirects=False
            ) as response:
                data = await self.read_answer(response)
                return self.interpret(message.task_id, response.status, data)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self.metrics.count("wasted_messages", Waste.CONNECT_FAILED)
            return TaskNotStarted(RetryReason.CONNECT_FAILED, str(error)), None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return TaskUnknown(repr(error)), None

    async def read_answer(self, response):
        """Return the body, or None when it is over the bound."""
        limit = self.settings.limits.max_answer_bytes
        data = bytearray()
        async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
            data += chunk
            if len(data) > limit:
                response.close()
                return None
        return bytes(data)

    def interpret(self, task_id, status, data):
        """Return the outcome and report that an answer states."""
        if data is None:
            return TaskUnknown("the answer is over max_answer_bytes"), None
        message = decode(data, TaskAnswer)
        if isinstance(message, InvalidInput):
            return TaskUnknown(f"status {status}, malformed answer: {message}"), None
        if message.task_id != task_id:
            self.metrics.count("wasted_messages", Waste.STRAY_ANSWER)
            return TaskUnknown("the answer is for another task"), None
        report = UpstreamReport(message.busy, message.slots, message.leaving)
        return outcome_of(message, status), report

    async def send_cancel(self, cancel: CancelTask):
        """Send one cancel message."""
        url = f"http://{cancel.host}:{cancel.port}/v1/tasks/{cancel.task_id}/cancel"
        session = self.sessions.get(cancel.upstream)
        if session is None:
            return
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with session.post(url, timeout=timeout, allow_redirects=False):
                return
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self.log_line.info(
                "cancel failed",
                job=cancel.task_id.submission_id,
                upstream=cancel.upstream,
                detail=repr(error),
            )


def outcome_of(message: TaskAnswer, status):
    """Return the task outcome that an answer for this task states."""
    if message.status == "refused" and status == HTTP_REFUSED:
        reason = REFUSALS.get(message.error, RetryReason.REFUSED_OTHER)
        return TaskNotStarted(reason, message.error)
    if message.status == "done":
        return TaskDone(message.result, message.run_ms)
    if message.status == "failed":
        return TaskFailed(message.error, message.run_ms)
    return TaskUnknown(f"status {status} with `{message.status}`")
