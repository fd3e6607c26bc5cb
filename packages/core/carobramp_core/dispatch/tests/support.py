"""Builders and a driver for tests of the dispatcher, on a virtual clock."""

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
    """Dispatcher with a clock and the effects of the last event."""

    def __init__(self, zone=ZONE, **fields):
        rng = random.Random(1)
        self.dispatcher = Dispatcher(DispatchSettings(), rng, zone, "vm-0")
        self.now = NOW
        self.all_effects: list = []
        self.effects: list = []
        self.state = DeploymentState().apply(ticket(**fields))
        self.event(DeploymentStateChanged(self.state))

    def event(self, event):
        """Handle an event; return its effects."""
        self.effects = self.dispatcher.handle(event, self.now)
        self.all_effects += self.effects
        return self.effects

    def after(self, seconds):
        """Let time pass and tick."""
        self.now += seconds
        return self.event(Tick())

    def apply(self, changes):
        """Put a further ticket into force."""
        self.state = self.state.apply(changes)
        return self.event(DeploymentStateChanged(self.state))

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
        return self.event(JobSubmitted(Job(submission_id=name, **defaults | fields)))

    def answer(self, start, outcome=None, report=None):
        """Answer a started task."""
        outcome = outcome or TaskDone(start.payload, start.declared_run_ms)
        answered = TaskOutcomeReceived(start.task_id, start.upstream, outcome, report)
        return self.event(answered)

    def fail(self, start, error="no"):
        """Let a started task fail."""
        return self.answer(start, TaskFailed(error, 1.0))

    def refuse(self, start, reason=RetryReason.REFUSED_OTHER):
        """Let a task not be started."""
        return self.answer(start, TaskNotStarted(reason, "no"))

    def lose(self, start):
        """Let a task's outcome be unknown."""
        return self.answer(start, TaskOutcomeUnknown("connection lost"))

    def starts(self):
        """Return the starts of the last event."""
        return [e for e in self.effects if isinstance(e, StartTask)]

    def cancels(self):
        """Return the cancellations of the last event."""
        return [e for e in self.effects if isinstance(e, CancelTask)]

    def finished(self):
        """Return the outcomes of the last event."""
        return [e.outcome for e in self.effects if isinstance(e, JobFinished)]

    def counted(self, counter):
        """Return the kinds that the last event counted."""
        return [
            str(e.label)
            for e in self.effects
            if isinstance(e, IncrementCounter) and e.counter == counter
        ]
