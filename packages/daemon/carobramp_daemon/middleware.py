"""Middleware of the HTTP server: counts requests under way, renders errors."""

from aiohttp import web

from carobramp_core.outcomes import Reason
from carobramp_daemon.problems import problem, problem_response

HTTP_ERRORS = 400


class ActiveRequests:
    """Number of requests whose handler runs or whose answer is being written."""

    def __init__(self, gate):
        self.gate = gate
        self.count = 0

    @web.middleware
    async def track(self, request, handler):
        """Count a request; while draining, let its connection end with it."""
        self.count += 1
        if request.transport is not None:
            # An answer counts as written once the kernel has all of it, since what
            # the process still holds is lost when it ends.
            request.transport.set_write_buffer_limits(high=0)
        try:
            response = await handler(request)
            if self.gate.draining:
                response.force_close()
            return response
        finally:
            self.count -= 1


@web.middleware
async def render_errors(request, handler):
    """Answer errors of routing and of the HTTP layer as problem details."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        if error.status < HTTP_ERRORS:
            raise
        detail = f"{error.reason}: {request.method} {request.path}"
        details = problem(Reason.MALFORMED_REQUEST, detail[:512], status=error.status)
        response = problem_response(details)
        if "Allow" in error.headers:
            response.headers["Allow"] = error.headers["Allow"]
        return response
