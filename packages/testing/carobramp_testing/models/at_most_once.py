"""Invariants of the specifications of submissions.

Each takes the fields of a state: `runs` counts the starts of the task at the
upstream, `told_not_run` says that some caller was told so, and `mixed_up` that some
caller got the answer to another body.
"""

STARTS = "each task starts at most once"
NON_IDEMPOTENT = "a non-idempotent job runs at most once"
NOT_RUN = "not_run is never told of a job that started"
ANSWERS = "an answer belongs to its submission"

AT_MOST_ONCE = {
    STARTS: lambda s: s["runs"] <= 1,
    NON_IDEMPOTENT: lambda s: s["idempotent"] or s["runs"] <= 1,
    NOT_RUN: lambda s: not (s["told_not_run"] and s["runs"]),
    ANSWERS: lambda s: not s["mixed_up"],
}
