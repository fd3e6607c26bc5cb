"""HTTP server for callers and operators."""

import time

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from mode import Service

from carobramp_core.outcomes import Reason
from carobramp_core.submission.ids import parse_id
from carobramp_daemon.answers import to_response
from carobramp_daemon.drain_state import DrainState
from carobramp_daemon.forwarder import CancelResult
from carobramp_daemon.jobs import Submission
from carobramp_daemon.listener import Listener
from carobramp_daemon.middleware import ActiveRequests, read_body, render_errors
from carobramp_daemon.operator import OperatorApi
from carobramp_daemon.problems import problem, problem_response
from carobramp_schema import InvalidInput, decode, encode
from carobramp_schema.generated.caller import (
    IdsAnswer,
    IdsRequest,
    JobRequest,
)
from carobramp_schema.generated.settings import Settings

JSON = "application/json"
SUBMISSION_HEADER = "Idempotency-Key"
RETRY_AFTER_S = 1.0
HTTP_STATUS_BY_CANCEL_RESULT = {CancelResult.FOUND: 202, CancelResult.NOT_FOUND: 404}
# Longest wait at shutdown for callers that read their answers slowly.
ANSWER_WRITE_TIMEOUT_S = 60.0


class CallerApi(Service):
    """Serves callers, operators and the load balancer."""

    def __init__(
        self,
        settings: Settings,
        drain_state: DrainState,
        submissions,
        canceller,
        tickets,
        metrics,
        log,
    ):
        super().__init__()
        self.settings = settings
        self.drain_state = drain_state
        self.submissions = submissions
        self.canceller = canceller
        self.tickets = tickets
        self.metrics = metrics
        self.event_log = log
        self.port = 0
        self.runner = None
        self.listener: Listener | None = None
        self.operator: OperatorApi | None = None
        self.active_requests = ActiveRequests(drain_state, metrics)

    async def on_start(self):
        """Add the routes and listen for callers; `port` is the port in use."""
        app = web.Application(
            client_max_size=self.settings.limits.max_body_bytes,
            middlewares=[
                self.active_requests.track,
                render_errors(self.metrics, self.event_log),
            ],
        )
        app.router.add_post("/v1/submission-ids", self.issue_ids)
        app.router.add_post("/v1/jobs", self.submit_job)
        app.router.add_delete("/v1/jobs/{submission_id}", self.cancel_job)
        app.router.add_get("/healthz", self.health)
        app.router.add_get("/readyz", self.readiness)
        app.router.add_get("/metrics", self.show_metrics)
        self.tickets.add_routes(app.router)
        if self.operator is not None:
            self.operator.add_routes(app.router)
        self.runner = web.AppRunner(
            app,
            access_log=None,
            max_field_size=self.settings.limits.max_header_bytes,
            handler_cancellation=True,
            shutdown_timeout=ANSWER_WRITE_TIMEOUT_S,
        )
        await self.runner.setup()
        vm = self.settings.vm
        self.listener = Listener(
            self.runner, vm.host, vm.caller_port, lambda: self.active_requests.count
        )
        self.port = await self.listener.start()
        self.event_log.info("listening", port=self.port)

    async def on_stop(self):
        """Stop listening after the answers in progress are written."""
        if self.listener is not None:
            await self.listener.close(ANSWER_WRITE_TIMEOUT_S)
        if self.runner is not None:
            await self.runner.cleanup()

    async def read_message(self, request, message_type):
        """Return the decoded `message_type` and the body, or an error response."""
        not_run = SUBMISSION_HEADER not in request.headers
        try:
            timeout = self.settings.limits.body_timeout_ms / 1000
            data = await read_body(request, timeout)
        except web.HTTPRequestEntityTooLarge:
            limit = self.settings.limits.max_body_bytes
            detail = f"the body is over {limit} bytes"
            return self.refuse(Reason.BODY_TOO_LARGE, detail, not_run=not_run), b""
        except (HttpProcessingError, web.RequestPayloadError) as error:
            detail = f"the body cannot be read: {error}"
            return self.refuse(Reason.MALFORMED_REQUEST, detail, not_run=not_run), b""
        message = decode(data, message_type)
        if isinstance(message, InvalidInput):
            details = problem(
                Reason.MALFORMED_REQUEST,
                str(message),
                not_run=not_run,
                invalid=message,
            )
            self.metrics.increment("refusals", Reason.MALFORMED_REQUEST)
            return problem_response(details), data
        return message, data

    def refuse(self, reason, detail, retry_after=0.0, not_run=False):
        """Return a refusal that names no submission, counted by reason."""
        self.metrics.increment("refusals", reason)
        return problem_response(problem(reason, detail, not_run=not_run), retry_after)

    async def issue_ids(self, request):
        """Issue submission ids.

        A draining VM issues none, since its ids become invalid when it stops.
        """
        if self.drain_state.draining:
            return self.refuse(Reason.DRAINING, "this VM is stopping", RETRY_AFTER_S)
        message, _ = await self.read_message(request, IdsRequest)
        if isinstance(message, web.Response):
            return message
        ids = self.submissions.issue(message.count)
        valid = self.settings.submission.issued_valid_ms
        return web.Response(body=encode(IdsAnswer(ids, valid)), content_type=JSON)

    async def submit_job(self, request):
        """Run a job; the response has the results of all its tasks or a failure."""
        received_at = time.monotonic()
        message, body = await self.read_message(request, JobRequest)
        if isinstance(message, web.Response):
            return message
        submission = Submission(
            key=parse_id(submission_header(request)),
            request=message,
            body=body,
            received_at=received_at,
            deadline=received_at + message.deadline_ms / 1000,
        )
        answer = await self.submissions.submit(submission)
        class_name = self.class_label(message)
        self.metrics.observe(
            "response_ms", class_name, (time.monotonic() - received_at) * 1000
        )
        return to_response(answer)

    def class_label(self, message):
        """Return the priority class of a job as a metric label.

        A class that the service does not have becomes ``unknown``, so that callers
        cannot create labels.
        """
        service = self.tickets.current_state.service(message.service)
        known = {item.name for item in service.classes} if service else ()
        name = message.priority_class
        return name if name in known else "unknown"

    async def cancel_job(self, request):
        """Cancel a job at this VM or at the VM that owns it."""
        name = request.match_info["submission_id"]
        result = await self.canceller.cancel(name)
        if result is CancelResult.UNREACHABLE:
            detail = "the owner of the submission cannot be reached"
            return self.refuse(Reason.OWNER_UNREACHABLE, detail)
        return web.Response(status=HTTP_STATUS_BY_CANCEL_RESULT[result])

    async def health(self, request):
        """Respond with 200 as long as the process serves requests."""
        return web.Response(text="alive\n")

    async def readiness(self, request):
        """Respond with 200 if the load balancer may send requests, else with 503."""
        if self.drain_state.draining:
            return web.Response(status=503, text="draining\n")
        if not self.tickets.ready:
            return web.Response(status=503, text=f"{self.tickets.not_ready_reason}\n")
        return web.Response(text="ready\n")

    async def show_metrics(self, request):
        """Respond with all metrics in the text exposition format."""
        return web.Response(text=self.metrics.exposition())


def submission_header(request) -> str | None:
    """Return the submission id as sent, or None; repeated headers are joined.

    A joined value is not a valid id, so that such a request is refused.
    """
    values = request.headers.getall(SUBMISSION_HEADER, None)
    return None if values is None else ", ".join(values)
