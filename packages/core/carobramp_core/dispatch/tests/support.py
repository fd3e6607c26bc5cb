"""Builders of tickets and a driver of the dispatcher with a simulated clock."""

import random

from carobramp_core.dispatch.engine import Dispatcher
from carobramp_core.dispatch.messages import (
    CancelTask,
    DeploymentStateChanged,
    IncrementCounter,
    Job,
    JobFinished,
    JobSubmitted,
    StartTask,
    TaskDone,
    TaskFailed,
    TaskNotStarted,
    TaskOutcomeReceived,
    TaskOutcomeUnknown,
    Tick,
)
from carobramp_core.outcomes import RetryReason
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema.generated.settings import DispatchSettings
from carobramp_schema.generated.ticket import (
    PriorityClass,
    ServiceChange,
    ServiceState,
    TeamChange,
    TeamState,
    Ticket,
    UpstreamChange,
    UpstreamState,
)

NOW = 100.0
ZONE = "tilburg"
CLASSES = (
    PriorityClass("interactive", max_wait_ms=0, reserved_percent=0),
    PriorityClass("batch", max_wait_ms=30000),
)


def upstream_state(zone=ZONE, slots=2, **fields):
    """Build the state of an upstream."""
    address = {"host": "127.0.0.1", "port": 9000}
    defaults = address | {
        "service": "desk",
        "availability_zone": zone,
        "rack": "r1",
        "slots": slots,
    }
    return UpstreamState(**(defaults | fields))


def ticket(number=1, upstreams=None, teams=None, **service):
    """Build a ticket with service ``desk`` and the given upstreams and teams."""
    if upstreams is None:
        upstreams = {"up-0": upstream_state()}
    if teams is None:
        teams = {"bakery": TeamState(1000), "club": TeamState(1000)}
    state = ServiceState(**({"classes": list(CLASSES)} | service))
    return Ticket(
        number=number,
        author="anna",
        services=[ServiceChange("desk", 0, state)],
        upstreams=[UpstreamChange(name, 0, s) for name, s in upstreams.items()],
        teams=[TeamChange(name, 0, s) for name, s in teams.items()],
    )


class Driver:
    """Dispatcher with a simulated clock; keeps the effects of the last event."""

    def __init__(self, zone=ZONE, **fields):
        rng = random.Random(1)
        self.dispatcher = Dispatcher(DispatchSettings(), rng, zone, "vm-0")
        self.now = NOW
        self.all_effects: list = []
        self.effects: list = []
        self.state = DeploymentState().apply(ticket(**fields))
        self.handle(DeploymentStateChanged(self.state))

    def handle(self, event):
        """Let the dispatcher handle an event; return its effects."""
        self.effects = self.dispatcher.handle(event, self.now)
        self.all_effects += self.effects
        return self.effects

    def advance(self, seconds):
        """Advance the clock and send a `Tick`."""
        self.now += seconds
        return self.handle(Tick())

    def apply_ticket(self, changes):
        """Put the state after a further ticket into force."""
        self.state = self.state.apply(changes)
        return self.handle(DeploymentStateChanged(self.state))

    def submit(self, name="job", tasks=1, run_ms=100.0, deadline=10.0, **fields):
        """Submit a job."""
        defaults = {
            "service": "desk",
            "team": "bakery",
            "priority_class": "interactive",
            "received_at": self.now,
            "deadline": self.now + deadline,
            "idempotent": False,
            "payloads": tuple(range(tasks)),
            "declared_run_ms": (run_ms,) * tasks,
        }
        return self.handle(JobSubmitted(Job(submission_id=name, **defaults | fields)))

    def answer(self, start, outcome=None, report=None):
        """Answer a started task, with its payload as the result by default."""
        outcome = outcome or TaskDone(start.payload, start.declared_run_ms)
        event = TaskOutcomeReceived(start.task_id, start.upstream, outcome, report)
        return self.handle(event)

    def answer_failed(self, start, error="no"):
        """Answer that a started task failed."""
        return self.answer(start, TaskFailed(error, 1.0))

    def answer_not_started(self, start, reason=RetryReason.REFUSED_OTHER):
        """Answer that a task was not started."""
        return self.answer(start, TaskNotStarted(reason, "no"))

    def answer_unknown(self, start):
        """Report that the outcome of a task is unknown."""
        return self.answer(start, TaskOutcomeUnknown("connection lost"))

    def starts(self):
        """Return the task starts among the effects of the last event."""
        return [e for e in self.effects if isinstance(e, StartTask)]

    def cancels(self):
        """Return the task cancellations among the effects of the last event."""
        return [e for e in self.effects if isinstance(e, CancelTask)]

    def finished(self):
        """Return the job outcomes among the effects of the last event."""
        return [e.outcome for e in self.effects if isinstance(e, JobFinished)]

    def counted_labels(self, counter):
        """Return the labels by which the last event incremented a counter."""
        return [
            str(e.label)
            for e in self.effects
            if isinstance(e, IncrementCounter) and e.counter == counter
        ]
