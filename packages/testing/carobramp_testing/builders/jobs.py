"""Builders of job requests."""

import json

from carobramp_schema.generated.caller import JobRequest, TaskSpec

DEADLINE_MS = 5000


def job_request(tasks=1, run_ms=20, **fields):
    """Build a job of equal tasks for the service of `first_ticket`."""
    defaults = {
        "service": "order-desk",
        "team": "bakery",
        "priority_class": "interactive",
        "deadline_ms": DEADLINE_MS,
        "tasks": [TaskSpec({"run_ms": run_ms}, run_ms) for _ in range(tasks)],
    }
    return JobRequest(**(defaults | fields))


def leased_job(tasks=4, run_ms=60, cpu=6800, crash=False):
    """Return the body of a job on the users' platform; its caller waits.

    With `crash` each task crashes the upstream that starts it.
    """
    return {
        "best_effort": True,
        "spec": json.dumps({"cpu": cpu, "run_ms": run_ms, "crash": crash}),
        "steps": [
            {"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": run_ms},
        ],
    }
