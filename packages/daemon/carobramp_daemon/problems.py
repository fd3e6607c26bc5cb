"""Error responses to callers and operators as problem details (RFC 9457)."""

import math

from aiohttp import web

from carobramp_core.outcomes import Reason
from carobramp_schema import InvalidInput, encode
from carobramp_schema.generated.caller import Problem

PROBLEM_TYPE = "urn:carobramp:problem:"
CONTENT_TYPE = "application/problem+json"
HTTP_STATUS_BY_REASON = {
    Reason.MALFORMED_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_CLASS: 422,
    Reason.UNKNOWN_TEAM: 422,
    Reason.TEAM_OVER_QUOTA: 429,
    Reason.QUEUE_FULL: 503,
    Reason.DEADLINE_UNMEETABLE: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.EVACUATED: 503,
    Reason.DRAINING: 503,
    Reason.NOT_READY: 503,
    Reason.SUBMISSION_CONFLICT: 409,
    Reason.SUBMISSION_EXPIRED: 410,
    Reason.SUBMISSION_INVALID: 400,
    Reason.CLAIM_UNAVAILABLE: 503,
    Reason.TOO_MANY_JOBS: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.TASK_FAILED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.OWNER_UNREACHABLE: 502,
    Reason.OWNER_GONE: 502,
    Reason.ANSWER_EVICTED: 410,
    Reason.CANCELLED: 409,
    Reason.RETRY_BUDGET_SPENT: 503,
    Reason.FORWARD_LOST: 502,
    Reason.TICKET_INVALID: 422,
    Reason.TICKET_NUMBER_TAKEN: 409,
    Reason.TICKET_NUMBER_GAP: 409,
    Reason.TICKET_OUT_OF_DATE: 409,
    Reason.TICKET_UNKNOWN: 404,
    Reason.PLATFORM_UNAVAILABLE: 503,
    Reason.ACCEPTANCE_UNKNOWN: 504,
}


def problem(reason, detail, *, not_run=False, submission_id="", invalid=None, status=0):
    """Build problem details.

    Parameters
    ==========

    reason : a `Reason`
    detail : what happened to this request
    not_run : whether it is certain and final that no task of the submission ran
    submission_id : id of the submission, when known
    invalid : `InvalidInput` for malformed input
    status : HTTP status code; 0 for the one in `HTTP_STATUS_BY_REASON`
    """
    invalid = invalid or InvalidInput("", "", "")
    return Problem(
        type=PROBLEM_TYPE + reason.value,
        title=reason.value.replace("_", " "),
        status=status or HTTP_STATUS_BY_REASON[reason],
        detail=encodable(detail),
        reason=reason.value,
        not_run=not_run,
        submission_id=encodable(submission_id),
        field_=encodable(invalid.field),
        expected=invalid.expected,
        seen=encodable(invalid.seen),
    )


def encodable(text):
    """Return text that UTF-8 can encode; header bytes outside UTF-8 are escaped.

    Examples
    ========

    >>> encodable("a\\udcff")
    'a\\\\udcff'
    """
    return text.encode(errors="backslashreplace").decode()


def problem_response(details: Problem, retry_after=0.0):
    """Return an HTTP response; `retry_after` is in seconds, 0 for no such header."""
    headers = {}
    if retry_after > 0:
        headers["Retry-After"] = str(math.ceil(retry_after))
    return web.Response(
        status=details.status,
        body=encode(details),
        content_type=CONTENT_TYPE,
        headers=headers,
    )
