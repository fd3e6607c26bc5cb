"""Reason codes and job outcomes that all packages share."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Why a request was refused or failed; callers may rely on these codes."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_TEAM = "unknown_team"
    TEAM_OVER_QUOTA = "team_over_quota"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    NO_UPSTREAM = "no_upstream"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    SUBMISSION_CONFLICT = "submission_conflict"
    SUBMISSION_EXPIRED = "submission_expired"
    SUBMISSION_INVALID = "submission_invalid"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    TOO_MANY_JOBS = "too_many_jobs"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TASK_FAILED = "task_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_GONE = "owner_gone"
    ANSWER_EVICTED = "answer_evicted"
    CANCELLED = "cancelled"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    FORWARD_LOST = "forward_lost"
    TICKET_INVALID = "ticket_invalid"
    TICKET_NUMBER_TAKEN = "ticket_number_taken"
    TICKET_NUMBER_GAP = "ticket_number_gap"
    TICKET_OUT_OF_DATE = "ticket_out_of_date"
    TICKET_UNKNOWN = "ticket_unknown"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    ACCEPTANCE_UNKNOWN = "acceptance_unknown"


class RetryReason(enum.StrEnum):
    """Why a task that had not started was sent to another upstream."""

    CONNECT_FAILED = "connect_failed"
    REFUSED_BUSY = "refused_busy"
    REFUSED_LEAVING = "refused_leaving"
    REFUSED_OTHER = "refused_other"


class WastedMessageKind(enum.StrEnum):
    """Kinds of messages about tasks beyond one request and one answer for each."""

    REFUSED_START = "refused_start"
    CONNECT_FAILED = "connect_failed"
    RETRY = "retry"
    CANCEL = "cancel"
    LATE_ANSWER = "late_answer"
    DUPLICATE_ANSWER = "duplicate_answer"
    STRAY_ANSWER = "stray_answer"
    FORWARD = "forward"


@dataclasses.dataclass(frozen=True)
class JobDone:
    """The job has completed, with one result per task in the order of the request.

    `run_ms` is the time from the receipt of the job until its completion.
    """

    results: tuple
    run_ms: float


@dataclasses.dataclass(frozen=True)
class JobRefused:
    """The job was refused before any of its tasks started.

    `retry_after` is the suggested delay of a retry in seconds; 0 suggests none.
    """

    reason: Reason
    detail: str
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True)
class JobFailed:
    """The job failed as a whole.

    `not_run` is true only when it is certain that none of its tasks started.
    """

    reason: Reason
    detail: str
    not_run: bool = False


JobOutcome = JobDone | JobRefused | JobFailed
