"""Middleware of the HTTP server: counts active requests and renders errors."""

import asyncio

from aiohttp import web

from carobramp_core.outcomes import Reason
from carobramp_daemon.problems import problem, problem_response

HTTP_MIN_ERROR_STATUS = 400
HTTP_INTERNAL_ERROR = 500
DETAIL_MAX_CHARS = 512


class ActiveRequests:
    """Counts requests whose handler runs or whose answer is being written."""

    def __init__(self, drain_state, metrics):
        self.drain_state = drain_state
        self.metrics = metrics
        self.count = 0

    @web.middleware
    async def track(self, request, handler):
        """Count a request; while draining, close its connection after the answer."""
        self.count += 1
        self.metrics.increment("requests", route_label(request))
        if request.transport is not None:
            # An answer counts as written once the kernel has all of it: data in the
            # buffer of the process is lost when the process ends.
            request.transport.set_write_buffer_limits(high=0)
        try:
            response = await handler(request)
            if self.drain_state.draining:
                response.force_close()
            return response
        finally:
            self.count -= 1


async def read_body(request, timeout):
    """Return the body of a request.

    Without the timeout, a caller that never sends the body that it announced would
    delay the drain, which waits for active requests.

    Raises
    ======

    aiohttp.web.HTTPRequestTimeout : the body did not arrive within `timeout` seconds
    """
    try:
        async with asyncio.timeout(timeout):
            return await request.read()
    except TimeoutError:
        raise web.HTTPRequestTimeout from None


def route_label(request):
    """Return method and route of a request as a metric label, or ``unmatched``."""
    resource = request.match_info.route.resource
    return f"{request.method} {resource.canonical}" if resource else "unmatched"


def render_errors(metrics, log):
    """Return the middleware that answers errors as problem details."""

    @web.middleware
    async def render(request, handler):
        try:
            return await handler(request)
        except web.HTTPException as error:
            if error.status < HTTP_MIN_ERROR_STATUS:
                raise
            return http_problem(request, error, metrics)
        except Exception as error:
            log.info("request handler failed", path=request.path, error=repr(error))
            metrics.increment("refusals", Reason.OUTCOME_UNKNOWN)
            details = problem(
                Reason.OUTCOME_UNKNOWN, "internal error", status=HTTP_INTERNAL_ERROR
            )
            return problem_response(details)

    return render


def http_problem(request, error, metrics):
    """Return the response to an error of routing or of the HTTP layer.

    It keeps the status and the ``Allow`` header of the error.
    """
    detail = f"{error.reason}: {request.method} {request.path}"
    metrics.increment("refusals", Reason.MALFORMED_REQUEST)
    details = problem(
        Reason.MALFORMED_REQUEST, detail[:DETAIL_MAX_CHARS], status=error.status
    )
    response = problem_response(details)
    if "Allow" in error.headers:
        response.headers["Allow"] = error.headers["Allow"]
    return response
