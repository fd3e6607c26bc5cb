"""Builders of job requests."""

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
