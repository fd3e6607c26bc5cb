"""Checks what callers saw against the starts that upstreams recorded."""

import collections
import dataclasses
import itertools
from typing import Any

from carobramp_core.outcomes import Reason

HTTP_OK = 200
REASONS = frozenset(reason.value for reason in Reason)
# Time for an answer to reach the caller after the deadline of the job, on a machine
# that also runs the load and all upstreams.
MARGIN_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One request of a caller and what came back.

    Attributes
    ==========

    key : submission id that the caller sent, or an empty string
    vm : entry VM that the request went to
    tokens : token in the payload of each task, returned by the upstream
    deadline_ms : deadline of the job
    elapsed_ms : time from the request to the answer or to its loss
    status : HTTP status; 0 when no answer came
    body : JSON body of the answer
    excused : whether the entry VM was ended or frozen, so that no answer is allowed
    """

    key: str
    vm: str
    tokens: tuple[str, ...]
    deadline_ms: float
    elapsed_ms: float
    status: int
    body: Any = None
    excused: bool = False

    @property
    def submission_id(self):
        """Id of the submission, as sent or as answered."""
        if self.key or not isinstance(self.body, dict):
            return self.key
        return self.body.get("submission_id", "")


@dataclasses.dataclass(frozen=True)
class Violation:
    """An invariant that does not hold."""

    invariant: str
    subject: str
    detail: str


def check(attempts, starts) -> list[Violation]:
    """Return the violations in a run.

    Parameters
    ==========

    attempts : iterable of `Attempt`
    starts : number of starts of each task id, over all upstreams

    Examples
    ========

    >>> body = {"submission_id": "a", "results": [{"task_id": "a:0", "token": "t"}]}
    >>> seen = Attempt("a", "vm", ("t",), 1000, 10, 200, body)
    >>> check([seen], {"a:0": 1})
    []
    >>> [violation.invariant for violation in check([seen], {"a:0": 2})]
    ['started_once']
    """
    by_job: dict[str, dict[str, int]] = collections.defaultdict(dict)
    violations = []
    for task_id, count in starts.items():
        by_job[task_id.rpartition(":")[0]][task_id] = count
        if count > 1:
            detail = f"started {count} times"
            violations.append(Violation("started_once", task_id, detail))
    for attempt in attempts:
        violations += check_attempt(attempt, by_job.get(attempt.submission_id, {}))
    return violations


def check_attempt(attempt: Attempt, starts) -> list[Violation]:
    """Return the violations in what one request got.

    `starts` are those of the tasks of its submission.
    """
    found = [("in_time", late(attempt)), ("answered", unanswered(attempt))]
    if attempt.status == HTTP_OK:
        found.append(("whole_answer", not_whole(attempt, starts)))
    elif attempt.status:
        found.append(("clear_failure", unclear(attempt)))
        found.append(("not_run", ran(attempt, starts)))
    subject = attempt.submission_id or f"request to {attempt.vm}"
    return [Violation(name, subject, detail) for name, detail in found if detail]


def late(attempt: Attempt):
    """Return what is wrong with the time of an answer, or an empty string."""
    limit = attempt.deadline_ms + MARGIN_MS
    if attempt.excused or attempt.elapsed_ms <= limit:
        return ""
    return f"{attempt.elapsed_ms:.0f} ms for a deadline of {attempt.deadline_ms} ms"


def unanswered(attempt: Attempt):
    """Return why a request without an answer is at fault, or an empty string."""
    if attempt.status or attempt.excused:
        return ""
    return f"no answer from {attempt.vm} after {attempt.elapsed_ms:.0f} ms"


def not_whole(attempt: Attempt, starts):
    """Return what is wrong with a whole answer, or an empty string."""
    key = attempt.submission_id
    wanted = [(f"{key}:{i}", token) for i, token in enumerate(attempt.tokens)]
    results = attempt.body.get("results", [])
    seen = [(r.get("task_id"), r.get("token")) for r in results if isinstance(r, dict)]
    if seen != wanted:
        return f"results {seen} for tasks {wanted}"
    missing = [task_id for task_id, _ in wanted if task_id not in starts]
    return f"answered without a start of {missing}" if missing else ""


def unclear(attempt: Attempt):
    """Return what is wrong with a failure, or an empty string."""
    body = attempt.body if isinstance(attempt.body, dict) else {}
    if body.get("reason") not in REASONS:
        return f"status {attempt.status} with reason {body.get('reason')!r}"
    if body.get("status") != attempt.status:
        return f"status {attempt.status} and {body.get('status')!r} in the body"
    if not isinstance(body.get("not_run"), bool):
        return f"not_run is {body.get('not_run')!r}"
    if attempt.key and body.get("submission_id") not in ("", attempt.key):
        return f"names submission {body['submission_id']}"
    return ""


def ran(attempt: Attempt, starts):
    """Return how `not_run` contradicts the starts, or an empty string."""
    body = attempt.body if isinstance(attempt.body, dict) else {}
    if body.get("not_run") is True and starts:
        return f"{body.get('reason')} says not run; started: {sorted(starts)}"
    return ""


def peak_cpu(runs, since) -> int:
    """Return the most cores, in thousandths, that runs of one upstream took at once.

    Parameters
    ==========

    runs : runs of a stand-in upstream, see `overlapping_runs`
    since : time of the first start that is examined
    """
    starts = [run.started_at for run in runs if run.started_at >= since]
    return max(
        sum(
            run.cpu
            for run in runs
            if run.started_at <= at and (run.ended_at is None or run.ended_at > at)
        )
        for at in [since, *starts]
    )


def overlapping_runs(runs) -> list[str]:
    """Return the tasks of which two runs were there at the same time.

    Parameters
    ==========

    runs : runs of the stand-in upstreams, each with `task`, `started_at` and
        `ended_at`, which is None while it runs
    """
    by_task: dict[str, list] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    twice = []
    for task, same in by_task.items():
        same.sort(key=lambda run: run.started_at)
        for earlier, later in itertools.pairwise(same):
            if earlier.ended_at is None or earlier.ended_at > later.started_at:
                twice.append(task)
                break
    return twice
