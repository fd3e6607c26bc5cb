"""Decisions of an entry: offers the tasks of open requests to the owners of cells.

Explanation
===========

Tasks are first offered to each cell in turn as far as it has room at once, the home
cell first; what is left waits at the cell with the least waiting work. When the link
to an owner is lost, its tasks are offered again to the cell's next owner, which knows
what still runs, or elsewhere as soon as their runs are certainly over.
"""

import dataclasses
import functools

from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import (
    CancelJob,
    CapacityReport,
    Completed,
    Failed,
    Interrupted,
    Job,
    NoResultReason,
    Offer,
    Outcome,
    Refused,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
    TasksStarted,
    ToEntry,
    ToOwner,
    UpstreamNames,
)
from carobramp_core.cells.orders import LogEvent

RETRY_AFTER_S = 1.0
# Part of the objective for which a job waits for an owner to be found. A refusal
# after a longer wait leaves its caller too little time to ask elsewhere.
OWNER_WAIT_PART = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class JobReceived:
    """A caller has sent a job."""

    job: Job


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has closed its connection."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerLinkOpened:
    """A link to the owner of a cell is open."""

    cell: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerLinkClosed:
    """The link to the owner of a cell is closed.

    `last_received_at` is its last message.
    """

    cell: str
    last_received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerMessageReceived:
    """A message of the owner of a cell."""

    cell: str
    message: ToEntry


@dataclasses.dataclass(frozen=True, slots=True)
class EntryTick:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendToOwner:
    """Send a message to the owner of a cell."""

    cell: str
    message: ToOwner


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Answer the caller of a job; given once for each."""

    job_id: str
    outcome: Outcome
    age_s: float
    queue: str = ""


EntryEvent = (
    JobReceived
    | CallerGone
    | OwnerLinkOpened
    | OwnerLinkClosed
    | OwnerMessageReceived
    | EntryTick
)
EntryEffect = SendToOwner | AnswerCaller | LogEvent


@dataclasses.dataclass(slots=True)
class Lost:
    """Tasks whose owner was lost; their runs are over at `over_at`."""

    cell: str
    indexes: set[int]
    over_at: float


@dataclasses.dataclass(slots=True)
class OpenJob:
    """A job whose caller waits.

    Parameters
    ==========

    offered : cells with the tasks that were offered there and not returned
    tried : cells that had no room since the last round of offers
    started : whether a task may have started
    unoffered : tasks that wait until an owner is found
    """

    job: Job
    received_at: float
    offered: dict[str, set[int]] = dataclasses.field(default_factory=dict)
    tried: set[str] = dataclasses.field(default_factory=set)
    avoid: tuple[str, ...] = ()
    lost: list[Lost] = dataclasses.field(default_factory=list)
    done: set[int] = dataclasses.field(default_factory=set)
    failures: dict[int, int] = dataclasses.field(default_factory=dict)
    started: bool = False
    unoffered: set[int] = dataclasses.field(default_factory=set)

    def owner_wait_s(self):
        """Return the age up to which the job waits for an owner to be found."""
        objective_s = self.job.objective_s(self.job.estimate_ms)
        return OWNER_WAIT_PART * objective_s

    def committed(self):
        """Whether a task may have run or may still start."""
        return self.started or any(self.offered.values())


@dataclasses.dataclass(slots=True)
class Cell:
    """What an entry knows of a cell whose owner it can reach."""

    token: int
    free_cpu: int = 0
    total_cpu: int = 0
    waiting_s: float = 0.0
    reported_at: float = 0.0

    def may_have_room(self, job: Job):
        """Whether the last report names room for a task, or is not there yet."""
        return self.free_cpu >= job.cpu or not self.total_cpu

    def backlog(self):
        """Return the waiting time per core, for comparison between cells."""
        return self.waiting_s / max(1, self.total_cpu)


class Entry:
    """Open requests of one daemon.

    Parameters
    ==========

    home : availability zone of the daemon; its cell is tried first
    """

    def __init__(self, home, limits: CellLimits):
        self.home = home
        self.limits = limits
        self.jobs: dict[str, OpenJob] = {}
        self.cells: dict[str, Cell] = {}
        # Upstreams of each cell as its last owner named them.
        self.members: dict[str, tuple[str, ...]] = {}

    def handle(self, event: EntryEvent, now: float) -> list[EntryEffect]:
        """Take an event at time `now` and return the effects to carry out."""
        effects: list[EntryEffect] = []
        on_event(event, self, now, effects)
        return effects

    def cell_order(self, tried):
        """Return the cells to try, the home cell first, then by free room."""
        rest = [name for name in self.cells if name not in tried]

        def key(name):
            return name != self.home, -self.cells[name].free_cpu

        return sorted(rest, key=key)

    def offer(self, state: OpenJob, indexes, now, effects):
        """Offer tasks to the next cell, or let them wait at the least loaded one."""
        if not self.cells:
            state.unoffered.update(indexes)
            return
        order = self.cell_order(state.tried)
        with_room = [
            name
            for name in order
            if name == self.home or self.cells[name].may_have_room(state.job)
        ]
        if with_room:
            self.send_offer(state, with_room[0], indexes, now, effects)
            return
        least = min(self.cells, key=lambda name: self.cells[name].backlog())
        self.send_offer(state, least, indexes, now, effects, may_wait=True)

    def send_offer(
        self,
        state: OpenJob,
        cell,
        indexes,
        now,
        effects,
        may_wait=False,
        resumed=False,
    ):
        """Send one offer and note it."""
        members = self.members.get(cell, ())
        offer = Offer(
            state.job,
            tuple(sorted(indexes)),
            now - state.received_at,
            may_wait,
            resumed,
            state.committed(),
            state.avoid,
            members if resumed else (),
        )
        state.offered.setdefault(cell, set()).update(indexes)
        effects.append(SendToOwner(cell, offer))
        known = self.cells[cell]
        note = {
            "job_id": state.job.job_id,
            "cell": cell,
            "tasks": len(indexes),
            "may_wait": may_wait,
            "resumed": resumed,
            "free_cpu": known.free_cpu,
            "report_age_ms": round((now - known.reported_at) * 1000),
        }
        effects.append(LogEvent("offered", note))

    def refuse(self, state: OpenJob, reason, retry_after_s, now, effects):
        """End a job without a result; say "not run" only if that is certain."""
        outcome: Outcome = Interrupted(reason)
        if not state.committed():
            outcome = Refused(reason, max(RETRY_AFTER_S, retry_after_s))
        self.end(state, outcome, now, effects)

    def end(self, state: OpenJob, outcome: Outcome, now, effects):
        """Answer the caller and withdraw what is left at the owners."""
        del self.jobs[state.job.job_id]
        for cell, indexes in state.offered.items():
            if indexes and cell in self.cells:
                effects.append(SendToOwner(cell, CancelJob(state.job.job_id)))
        age_s = now - state.received_at
        effects.append(AnswerCaller(state.job.job_id, outcome, age_s, state.job.queue))


@functools.singledispatch
def on_event(event, entry, now, effects):
    """Carry out one event."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: JobReceived, entry: Entry, now, effects):
    state = OpenJob(event.job, now)
    entry.jobs[event.job.job_id] = state
    entry.offer(state, set(range(event.job.tasks)), now, effects)


@on_event.register
def _(event: CallerGone, entry: Entry, now, effects):
    state = entry.jobs.get(event.job_id)
    if state is not None:
        reason = NoResultReason.CALLER_GONE
        entry.end(state, Interrupted(reason), now, effects)


@on_event.register
def _(event: OwnerLinkOpened, entry: Entry, now, effects):
    entry.cells[event.cell] = Cell(event.token, reported_at=now)
    for state in list(entry.jobs.values()):
        for lost in [item for item in state.lost if item.cell == event.cell]:
            state.lost.remove(lost)
            entry.send_offer(
                state, event.cell, lost.indexes, now, effects, True, resumed=True
            )
        if state.unoffered:
            indexes, state.unoffered = state.unoffered, set()
            entry.offer(state, indexes, now, effects)


@on_event.register
def _(event: OwnerLinkClosed, entry: Entry, now, effects):
    if entry.cells.pop(event.cell, None) is None:
        return
    over_at = event.last_received_at + entry.limits.run_end_after_link_loss_s()
    count = 0
    for state in entry.jobs.values():
        indexes = state.offered.pop(event.cell, None)
        if indexes:
            # What told of a start may be lost with the link.
            state.started = True
            state.lost.append(Lost(event.cell, indexes, over_at))
            count += 1
    note = {"cell": event.cell, "jobs": count, "silent_s": now - event.last_received_at}
    effects.append(LogEvent("owner lost", note))


@on_event.register
def _(event: EntryTick, entry: Entry, now, effects):
    for state in list(entry.jobs.values()):
        age_s = now - state.received_at
        if state.unoffered and age_s > state.owner_wait_s():
            reason = NoResultReason.NO_OWNER
            entry.refuse(state, reason, RETRY_AFTER_S, now, effects)
            continue
        if state.lost and age_s > state.job.useless_after_s():
            # The caller may ask again: the runs are over before it does.
            entry.end(state, Interrupted(NoResultReason.OWNER_LOST), now, effects)
            continue
        over = [item for item in state.lost if now >= item.over_at]
        for lost in over:
            state.lost.remove(lost)
            state.tried.clear()
            entry.offer(state, lost.indexes, now, effects)


@on_event.register
def _(event: OwnerMessageReceived, entry: Entry, now, effects):
    on_message(event.message, event.cell, entry, now, effects)


@functools.singledispatch
def on_message(message, cell, entry, now, effects):
    """Carry out one message of an owner."""
    raise TypeError(f"unknown message {message!r}")


@on_message.register
def _(message: CapacityReport, cell, entry: Entry, now, effects):
    known = entry.cells.get(cell)
    if known is not None:
        known.free_cpu = message.free_cpu
        known.total_cpu = message.total_cpu
        known.waiting_s = message.waiting_s
        known.reported_at = now


@on_message.register
def _(message: UpstreamNames, cell, entry: Entry, now, effects):
    entry.members[cell] = message.names


@on_message.register
def _(message: TasksStarted, cell, entry: Entry, now, effects):
    state = entry.jobs.get(message.job_id)
    if state is not None:
        state.started = True


@on_message.register
def _(message: TasksReturned, cell, entry: Entry, now, effects):
    state = entry.jobs.get(message.job_id)
    if state is None:
        return
    offered = state.offered.get(cell, set())
    offered.difference_update(message.indexes)
    if message.reason == ReturnReason.SUPERSEDED:
        state.started = True
        entry.refuse(state, NoResultReason.INTERRUPTED, 0.0, now, effects)
        return
    if message.reason == ReturnReason.OVERLOADED:
        reason = NoResultReason.OVERLOADED
        entry.refuse(state, reason, message.retry_after_s, now, effects)
        return
    if message.reason == ReturnReason.NO_SERVICE and not entry.cell_order(
        state.tried | {cell}
    ):
        reason = NoResultReason.NO_SERVICE
        entry.refuse(state, reason, message.retry_after_s, now, effects)
        return
    state.tried.add(cell)
    entry.offer(state, set(message.indexes), now, effects)


@on_message.register
def _(message: TaskEnded, cell, entry: Entry, now, effects):
    state = entry.jobs.get(message.job_id)
    if state is None:
        return
    state.started = True
    state.offered.get(cell, set()).discard(message.index)
    if message.result == TaskResult.DONE:
        state.done.add(message.index)
        if len(state.done) == state.job.tasks:
            entry.end(state, Completed(), now, effects)
        return
    note = {
        "job_id": message.job_id,
        "index": message.index,
        "result": message.result,
        "upstream": message.upstream,
        "cell": cell,
    }
    effects.append(LogEvent("task to run again", note))
    if message.result == TaskResult.FAILED:
        failures = state.failures.get(message.index, 0) + 1
        state.failures[message.index] = failures
        if failures >= state.job.max_attempts:
            entry.end(state, Failed(), now, effects)
            return
        if message.upstream not in state.avoid:
            state.avoid += (message.upstream,)
    state.tried.clear()
    entry.offer(state, {message.index}, now, effects)
