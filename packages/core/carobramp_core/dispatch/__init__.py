"""Decides which task starts at which upstream and when, and which jobs are refused.

Examples
========

The dispatcher does no I/O: a program passes it events and carries out the effects:

>>> import random
>>> from carobramp_core.tickets import DeploymentState
>>> from carobramp_schema.generated.settings import DispatchSettings
>>> from carobramp_schema.generated.ticket import (
...     PriorityClass, ServiceChange, ServiceState, TeamChange, TeamState, Ticket,
...     UpstreamChange, UpstreamState,
... )
>>> service = ServiceState([PriorityClass("interactive", max_wait_ms=0)])
>>> upstream = UpstreamState("proofs", "192.0.2.7", 9000, "tilburg", "rack-1", slots=8)
>>> ticket = Ticket(
...     1,
...     "anna",
...     services=[ServiceChange("proofs", 0, service)],
...     upstreams=[UpstreamChange("up-1", 0, upstream)],
...     teams=[TeamChange("bakery", 0, TeamState(quota_slots=8))],
... )
>>> dispatcher = Dispatcher(DispatchSettings(), random.Random(1), zone="tilburg")
>>> state = DeploymentState().apply(ticket)
>>> effects = dispatcher.handle(DeploymentStateChanged(state), now=0.0)
>>> job = Job(
...     "id-1", "proofs", "bakery", "interactive", 1.0, 3.0, True, ("cap",), (90,)
... )
>>> effects = dispatcher.handle(JobSubmitted(job), now=1.0)
>>> (start,) = [effect for effect in effects if isinstance(effect, StartTask)]
>>> str(start.task_id), start.upstream
('id-1:0', 'up-1')
>>> answer = TaskOutcomeReceived(start.task_id, start.upstream, TaskDone("proof", 88.0))
>>> effects = dispatcher.handle(answer, now=1.1)
>>> [e.outcome.results for e in effects if isinstance(e, JobFinished)]
[('proof',)]
"""

from carobramp_core.dispatch.engine import Dispatcher
from carobramp_core.dispatch.messages import (
    CancelTask,
    DeploymentStateChanged,
    IncrementCounter,
    Job,
    JobCancelled,
    JobFinished,
    JobSubmitted,
    LeavingUpstreamsUpdated,
    LiveVmsUpdated,
    RecordHistogram,
    StartTask,
    TaskDone,
    TaskFailed,
    TaskId,
    TaskNotStarted,
    TaskOutcomeReceived,
    TaskOutcomeUnknown,
    TeamLoad,
    Tick,
    UpstreamReport,
)

__all__ = [
    "CancelTask",
    "DeploymentStateChanged",
    "Dispatcher",
    "IncrementCounter",
    "Job",
    "JobCancelled",
    "JobFinished",
    "JobSubmitted",
    "LeavingUpstreamsUpdated",
    "LiveVmsUpdated",
    "RecordHistogram",
    "StartTask",
    "TaskDone",
    "TaskFailed",
    "TaskId",
    "TaskNotStarted",
    "TaskOutcomeReceived",
    "TaskOutcomeUnknown",
    "TeamLoad",
    "Tick",
    "UpstreamReport",
]
