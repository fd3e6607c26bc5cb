"""Renders the outcomes of jobs as answers to callers."""

import functools
import math

from aiohttp import web

from carobramp_core.outcomes import JobDone, JobFailed, JobOutcome, JobRefused
from carobramp_core.submission.registry import SubmissionAnswer
from carobramp_daemon.problems import CONTENT_TYPE, HTTP_STATUS_BY_REASON, problem
from carobramp_schema import encode
from carobramp_schema.generated.caller import JobAnswer

HTTP_OK = 200
JSON = "application/json"
ANSWER_STATUSES = frozenset(HTTP_STATUS_BY_REASON.values()) | {HTTP_OK}


@functools.singledispatch
def render_outcome(
    outcome: JobOutcome, submission_id, not_run, metrics
) -> SubmissionAnswer:
    """Return the answer for the outcome of a job, and count the job by result.

    Parameters
    ==========

    outcome : a `JobOutcome`
    submission_id : id of the submission, or an empty string
    not_run : whether it is certain and final that no task of it ran
    metrics : metrics of the daemon
    """
    raise TypeError(f"unknown outcome {outcome!r}")


@render_outcome.register
def _(outcome: JobDone, submission_id, not_run, metrics):
    metrics.increment("jobs", "done")
    answer = JobAnswer(submission_id, list(outcome.results), outcome.run_ms)
    return SubmissionAnswer(HTTP_OK, encode(answer))


@render_outcome.register
def _(outcome: JobRefused, submission_id, not_run, metrics):
    metrics.increment("jobs", "refused")
    retry_after = math.ceil(outcome.retry_after)
    return render_problem(outcome, submission_id, not_run, metrics, retry_after)


@render_outcome.register
def _(outcome: JobFailed, submission_id, not_run, metrics):
    metrics.increment("jobs", "failed")
    return render_problem(outcome, submission_id, not_run, metrics, 0)


def render_problem(outcome, submission_id, not_run, metrics, retry_after):
    """Return the answer for a refusal or failure, counted by reason."""
    metrics.increment("refusals", outcome.reason)
    details = problem(
        outcome.reason, outcome.detail, not_run=not_run, submission_id=submission_id
    )
    return SubmissionAnswer(details.status, encode(details), retry_after)


def to_response(answer: SubmissionAnswer) -> web.Response:
    """Return the HTTP response for an answer, with `Retry-After` if it has one."""
    headers = {}
    if answer.retry_after_s > 0:
        headers["Retry-After"] = str(answer.retry_after_s)
    return web.Response(
        status=answer.status,
        body=answer.body,
        content_type=JSON if answer.status == HTTP_OK else CONTENT_TYPE,
        headers=headers,
    )
