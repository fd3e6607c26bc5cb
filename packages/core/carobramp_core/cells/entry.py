"""State machine of an entry: offers tasks of open requests to the owners of cells.

Explanation
===========

Tasks are offered to one cell after another that may start them at once, the home cell
first; the remaining tasks wait at the cell with the least waiting work per core among
those with an upstream that could run them. With the setting `expected_end_routing`, the
cells are chosen as in `cell_choice` instead.

When the link to an owner closes, its tasks are offered to the cell's next owner, which
adopts runs that are still active, or to any cell once their runs are certainly over.
"""

import functools
import math
import random

from carobramp_core.cells.cell_choice import OfferKind
from carobramp_core.cells.crash_records import CrashRecords
from carobramp_core.cells.entry_evacuation import (
    apply_evacuations,
    evacuated_cells,
    record_report,
)
from carobramp_core.cells.entry_events import (
    AnswerCaller,
    CallerGone,
    CancelRequested,
    CountOffer,
    DrainStarted,
    EntryEffect,
    EntryEvent,
    EntryTick,
    JobReceived,
    LongPauseEnded,
    OwnerLinkClosed,
    OwnerLinkOpened,
    OwnerMessageReceived,
)
from carobramp_core.cells.evacuation import (
    NO_EVACUATIONS,
    Evacuations,
    EvacuationsRead,
)
from carobramp_core.cells.expected_end_routing import (
    choice_fields,
    offer_by_expected_end,
)
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import (
    CancelJob,
    Cancelled,
    CancelRequest,
    CapacityReport,
    Completed,
    Failed,
    Interrupted,
    JobCancelled,
    LossEvidence,
    NoResultReason,
    Offer,
    Outcome,
    Refused,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
    TasksStarted,
    UpstreamLosses,
    UpstreamNames,
)
from carobramp_core.cells.open_jobs import CellView, LostTasks, OpenJob
from carobramp_core.cells.orders import LogEvent, SendToOwner
from carobramp_core.cells.overload_returns import offer_after_overload
from carobramp_schema.generated.scheduling import SchedulingSettings

RETRY_AFTER_S = 1.0
MS_PER_S = 1000
# Why a cell could not run a task, even if it were idle.
UNSUITABLE_REASONS = {
    ReturnReason.NO_SERVICE: NoResultReason.NO_SERVICE,
    ReturnReason.TOO_LARGE: NoResultReason.TOO_LARGE,
    ReturnReason.EVACUATED: NoResultReason.EVACUATED,
}
# Reasons for which an owner ends a job whose runs may go on.
INTERRUPTIONS = {
    ReturnReason.SUPERSEDED: NoResultReason.INTERRUPTED,
    ReturnReason.UPSTREAM_LOST: NoResultReason.UPSTREAM_LOST,
}


class Entry:
    """Open requests of one daemon.

    Parameters
    ==========

    home_cell : cell of the daemon's own availability zone; it is tried first
    scheduling : the scheduling decisions that are switched on
    evacuations : evacuated zones; None while the process has not read the requests
    rng : source of the random choices between equal cells
    """

    def __init__(
        self,
        home_cell,
        limits: CellLimits,
        scheduling: SchedulingSettings | None = None,
        evacuations: Evacuations | None = NO_EVACUATIONS,
        rng: random.Random | None = None,
    ):
        self.home_cell = home_cell
        self.evacuations = evacuations
        self.limits = limits
        self.scheduling = scheduling or SchedulingSettings()
        self.rng = rng or random.Random(0)
        self.jobs: dict[str, OpenJob] = {}
        self.cells: dict[str, CellView] = {}
        # Names of the upstreams of each cell, with the time at which an owner of the
        # cell ceased to list them, infinite for those that are listed.
        self.upstreams_by_cell: dict[str, dict[str, float]] = {}
        # Time of the last message of the owner of each cell without a link.
        self.unlinked_since: dict[str, float] = {}
        self.crash_records = CrashRecords()
        # Jobs that callers have cancelled here, with the time of each cancellation.
        self.cancelled_jobs: dict[str, float] = {}
        # End of the last long pause of the process.
        self.paused_until = -math.inf
        # Time by which every job must be answered as the process is about to stop.
        self.answer_by = math.inf

    def handle(self, event: EntryEvent, now: float) -> list[EntryEffect]:
        """Process an event at time `now` and return the effects to carry out."""
        effects: list[EntryEffect] = []
        on_event(event, self, now, effects)
        return effects

    def unlinked_cells(self) -> list[str]:
        """Return the cells that have had an owner and to which there is no link now.

        Only cells to which there ever was a link are known.
        """
        return [cell for cell in self.upstreams_by_cell if cell not in self.cells]

    def can_forward_cancellations(self, now) -> bool:
        """Return whether a request of this entry stops the job of any other one.

        Every entry that has lost a cell's owner for as long has given up the runs there
        and offers their tasks to other cells. Entries that still have a link are told
        by the owners of these.
        """
        given_up = now - self.limits.run_end_after_link_loss_s()
        return bool(self.cells) and all(
            self.unlinked_since.get(cell, math.inf) <= given_up
            for cell in self.unlinked_cells()
        )

    def recently_cancelled(self, now) -> dict[str, float]:
        """Return the jobs that owners should not start, with their cancellations."""
        oldest = now - self.limits.cancel_retention_s
        return {k: v for k, v in self.cancelled_jobs.items() if v > oldest}

    def members(self, cell, now) -> tuple[str, ...]:
        """Return the upstreams of a cell that may have runs of its earlier owners.

        Entries of upstreams that are cut off from the store expire. An owner that does
        not list an upstream says nothing of the runs there.
        """
        listed_until = self.upstreams_by_cell.get(cell, {})
        oldest = now - self.limits.run_end_after_link_loss_s()
        return tuple(name for name, at in listed_until.items() if at >= oldest)

    def untried_cells(self, open_job: OpenJob):
        """Return the cells that were not tried, home cell first, then by free cores."""
        untried = [name for name in self.cells if name not in open_job.tried_cells]

        def key(name):
            return name != self.home_cell, -self.cells[name].free_cpu

        return sorted(untried, key=key)

    def offer_tasks(self, open_job: OpenJob, indexes, now, effects):
        """Offer tasks to the next cell with capacity, or to wait at the least loaded.

        Without a link to any owner the tasks stay unoffered. If no linked cell is
        suitable, the job ends at once.
        """
        if not self.cells:
            open_job.unoffered_indexes.update(indexes)
            return
        unsuitable = open_job.unsuitable_cells | evacuated_cells(self)
        suitable = [name for name in self.cells if name not in unsuitable]
        if not suitable:
            fields = {"job_id": open_job.job.job_id, **unsuitable}
            effects.append(LogEvent("no cell can run the job", fields))
            reason = next(reversed(unsuitable.values()))
            if NoResultReason.EVACUATED in unsuitable.values():
                reason = NoResultReason.EVACUATED
            self.refuse_job(open_job, reason, RETRY_AFTER_S, now, effects)
            return
        if open_job.overload_delays:
            offer_after_overload(self, open_job, indexes, suitable, now, effects)
            return
        if self.scheduling.expected_end_routing:
            offer_by_expected_end(self, open_job, indexes, suitable, now, effects)
            return
        untried = self.untried_cells(open_job)
        with_capacity = [
            name
            for name in untried
            if name in suitable
            and (
                name == self.home_cell
                or self.cells[name].may_have_capacity(open_job.job)
            )
        ]
        if with_capacity:
            self.send_offer(open_job, with_capacity[0], indexes, now, effects)
            return
        least_loaded = min(
            suitable, key=lambda name: self.cells[name].backlog_per_core()
        )
        self.send_offer(open_job, least_loaded, indexes, now, effects, may_wait=True)

    def send_offer(
        self,
        open_job: OpenJob,
        cell,
        indexes,
        now,
        effects,
        may_wait=False,
        resumed=False,
        kind: OfferKind | None = None,
    ):
        """Send one offer to the owner of a cell, and record and log it.

        `kind` says by which rule the cell was chosen, if one was applied.
        """
        offer = Offer(
            open_job.job,
            tuple(sorted(indexes)),
            now - open_job.received_at,
            may_wait,
            resumed,
            open_job.committed(),
            open_job.avoid,
            self.members(cell, now) if resumed else (),
            self.crash_records.losses_of(open_job.job.job_id),
            open_job.placements_of(indexes) if resumed else (),
        )
        open_job.offered_by_cell.setdefault(cell, set()).update(indexes)
        view = self.cells[cell]
        chosen_by = {}
        if kind is not None:
            chosen_by = choice_fields(view, open_job.job, kind, now)
            effects.append(CountOffer(cell, kind, now - view.reported_at))
        if not resumed:
            open_job.count_offer(indexes)
            view.rooms.record_offer(open_job.job, len(indexes), may_wait, now)
        effects.append(SendToOwner(cell, offer))
        fields = {
            "job_id": open_job.job.job_id,
            "cell": cell,
            "tasks": len(indexes),
            "may_wait": may_wait,
            "resumed": resumed,
            "free_cpu": view.free_cpu,
            "report_age_ms": round((now - view.reported_at) * MS_PER_S),
        }
        effects.append(LogEvent("tasks offered", fields | chosen_by))

    def record_answer(self, cell, job_id, now):
        """Record that the owner of a cell has answered an offer of a job."""
        view = self.cells.get(cell)
        if view is not None:
            view.rooms.record_answer(job_id, now)

    def refuse_job(self, open_job: OpenJob, reason, retry_after_s, now, effects):
        """End a job without a result.

        The outcome is `Refused` if certainly no task has run or will run, otherwise
        `Interrupted`.
        """
        outcome: Outcome = Interrupted(reason)
        if not open_job.committed():
            outcome = Refused(reason, max(RETRY_AFTER_S, retry_after_s))
        self.end_job(open_job, outcome, now, effects)

    def end_crashing_job(self, open_job: OpenJob, now, effects) -> bool:
        """End a job with a task that crashes upstreams; return whether it has one."""
        job_id = open_job.job.job_id
        index = self.crash_records.given_up_task(job_id)
        if index is None:
            return False
        losses = [
            loss for loss in self.crash_records.losses_of(job_id) if loss.index == index
        ]
        fields = {
            "job_id": job_id,
            "index": index,
            "losses": len(losses),
            "crashes": sum(loss.evidence == LossEvidence.CRASHED for loss in losses),
        }
        effects.append(LogEvent("task given up after losses of upstreams", fields))
        self.end_job(open_job, Failed(), now, effects)
        return True

    def end_job_before_stop(self, open_job: OpenJob, now, effects) -> bool:
        """End a job that cannot be completed before the process stops.

        A job with a task that has started may go on until `answer_by`; the run time of
        another one is taken from its estimate. Returns whether the job was ended.
        """
        left_s = self.answer_by - now
        estimate_s = open_job.job.estimate_ms / MS_PER_S
        if left_s > (0.0 if open_job.started else estimate_s):
            return False
        self.refuse_job(open_job, NoResultReason.DRAINING, RETRY_AFTER_S, now, effects)
        return True

    def end_job(self, open_job: OpenJob, outcome: Outcome, now, effects):
        """Answer the caller and cancel the job at the owners with offered tasks."""
        del self.jobs[open_job.job.job_id]
        for cell, indexes in open_job.offered_by_cell.items():
            if indexes and cell in self.cells:
                effects.append(SendToOwner(cell, CancelJob(open_job.job.job_id)))
        age_s = now - open_job.received_at
        effects.append(
            AnswerCaller(open_job.job.job_id, outcome, age_s, open_job.job.queue)
        )


@functools.singledispatch
def on_event(event, entry, now, effects):
    """Update the entry's state for an event and append the effects."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: JobReceived, entry: Entry, now, effects):
    open_job = OpenJob(event.job, now)
    entry.jobs[event.job.job_id] = open_job
    if now - entry.paused_until < entry.limits.pause_settle_s:
        # The request may have been sent before the pause, and again elsewhere since.
        reason = NoResultReason.INTERRUPTED
        entry.refuse_job(open_job, reason, RETRY_AFTER_S, now, effects)
        return
    if event.job.job_id in entry.cancelled_jobs:
        entry.end_job(open_job, Cancelled(), now, effects)
        return
    if entry.end_crashing_job(open_job, now, effects):
        return
    if entry.end_job_before_stop(open_job, now, effects):
        return
    entry.offer_tasks(open_job, set(range(event.job.tasks)), now, effects)


@on_event.register
def _(event: CallerGone, entry: Entry, now, effects):
    open_job = entry.jobs.get(event.job_id)
    if open_job is not None:
        reason = NoResultReason.CALLER_GONE
        entry.end_job(open_job, Interrupted(reason), now, effects)


@on_event.register
def _(event: CancelRequested, entry: Entry, now, effects):
    entry.cancelled_jobs = entry.recently_cancelled(now) | {event.job_id: now}
    open_job = entry.jobs.get(event.job_id)
    if open_job is not None:
        entry.end_job(open_job, Cancelled(), now, effects)
    request = CancelRequest(event.job_id, to_entries=bool(entry.unlinked_cells()))
    effects.extend(SendToOwner(cell, request) for cell in entry.cells)


@on_event.register
def _(event: OwnerLinkOpened, entry: Entry, now, effects):
    entry.cells[event.cell] = CellView(event.token, reported_at=now)
    entry.unlinked_since.pop(event.cell, None)
    if entry.evacuations not in (None, NO_EVACUATIONS):
        # Before the offers, as the owner may be rejected by the store.
        effects.append(SendToOwner(event.cell, entry.evacuations))
    # The owner that was told of them may have been lost since, or was lost already.
    for job_id in entry.recently_cancelled(now):
        effects.append(SendToOwner(event.cell, CancelRequest(job_id)))
    for open_job in list(entry.jobs.values()):
        open_job.unsuitable_cells.pop(event.cell, None)
        for lost in [item for item in open_job.lost_tasks if item.cell == event.cell]:
            open_job.lost_tasks.remove(lost)
            entry.send_offer(
                open_job, event.cell, lost.indexes, now, effects, True, resumed=True
            )
        if open_job.unoffered_indexes:
            indexes, open_job.unoffered_indexes = open_job.unoffered_indexes, set()
            entry.offer_tasks(open_job, indexes, now, effects)


@on_event.register
def _(event: OwnerLinkClosed, entry: Entry, now, effects):
    if entry.cells.pop(event.cell, None) is None:
        return
    entry.unlinked_since[event.cell] = event.last_received_at
    over_at = event.last_received_at + entry.limits.run_end_after_link_loss_s()
    job_count = 0
    for open_job in entry.jobs.values():
        indexes = open_job.offered_by_cell.pop(event.cell, None)
        if indexes:
            # The message about a start may have been lost when the link closed.
            open_job.started = True
            open_job.lost_tasks.append(LostTasks(event.cell, indexes, over_at))
            job_count += 1
    fields = {
        "cell": event.cell,
        "jobs": job_count,
        "silent_s": now - event.last_received_at,
    }
    effects.append(LogEvent("link to an owner closed", fields))


@on_event.register
def _(event: EvacuationsRead, entry: Entry, now, effects):
    apply_evacuations(entry, event.evacuations, effects)


@on_event.register
def _(event: LongPauseEnded, entry: Entry, now, effects):
    entry.paused_until = now
    reason = NoResultReason.INTERRUPTED
    for open_job in list(entry.jobs.values()):
        entry.refuse_job(open_job, reason, RETRY_AFTER_S, now, effects)


@on_event.register
def _(event: DrainStarted, entry: Entry, now, effects):
    entry.answer_by = event.answer_by
    for open_job in list(entry.jobs.values()):
        entry.end_job_before_stop(open_job, now, effects)


@on_event.register
def _(event: EntryTick, entry: Entry, now, effects):
    for open_job in list(entry.jobs.values()):
        if entry.end_job_before_stop(open_job, now, effects):
            continue
        age_s = now - open_job.received_at
        if open_job.unoffered_indexes and age_s > open_job.owner_wait_s():
            reason = NoResultReason.NO_OWNER
            entry.refuse_job(open_job, reason, RETRY_AFTER_S, now, effects)
            continue
        if open_job.lost_tasks and age_s > open_job.job.useless_after_s():
            # The runs are over before the caller sends the job again.
            entry.end_job(
                open_job, Interrupted(NoResultReason.OWNER_LOST), now, effects
            )
            continue
        resolved = [item for item in open_job.lost_tasks if now >= item.over_at]
        for lost in resolved:
            open_job.lost_tasks.remove(lost)
            open_job.forget_tried_cells()
            entry.offer_tasks(open_job, lost.indexes, now, effects)


@on_event.register
def _(event: OwnerMessageReceived, entry: Entry, now, effects):
    on_message(event.message, event.cell, entry, now, effects)


@functools.singledispatch
def on_message(message, cell, entry, now, effects):
    """Update the entry's state for a message of an owner and append the effects."""
    raise TypeError(f"unknown message {message!r}")


@on_message.register
def _(message: CapacityReport, cell, entry: Entry, now, effects):
    view = entry.cells.get(cell)
    if view is not None:
        view.free_cpu = message.free_cpu
        view.total_cpu = message.total_cpu
        view.waiting_s = message.waiting_s
        view.reported_at = now
        record_report(entry, view, message, effects)
        view.rooms.record_report(message.rooms, now)


@on_message.register
def _(message: UpstreamNames, cell, entry: Entry, now, effects):
    listed_until = entry.upstreams_by_cell.get(cell, {})
    unlisted = {
        name: min(listed_until[name], now)
        for name in entry.members(cell, now)
        if name not in message.names
    }
    listed = dict.fromkeys(message.names, math.inf)
    entry.upstreams_by_cell[cell] = unlisted | listed


@on_message.register
def _(message: JobCancelled, cell, entry: Entry, now, effects):
    open_job = entry.jobs.get(message.job_id)
    if open_job is not None:
        entry.end_job(open_job, Cancelled(), now, effects)


@on_message.register
def _(message: TasksStarted, cell, entry: Entry, now, effects):
    open_job = entry.jobs.get(message.job_id)
    if open_job is not None:
        open_job.started = True
        open_job.placements.update({p.index: p for p in message.placements})
        entry.record_answer(cell, message.job_id, now)


@on_message.register
def _(message: UpstreamLosses, cell, entry: Entry, now, effects):
    entry.crash_records.record(message.losses, now)
    for job_id in {loss.job_id for loss in message.losses}:
        open_job = entry.jobs.get(job_id)
        if open_job is not None:
            entry.end_crashing_job(open_job, now, effects)


@on_message.register
def _(message: TasksReturned, cell, entry: Entry, now, effects):
    open_job = entry.jobs.get(message.job_id)
    if open_job is None:
        return
    entry.record_answer(cell, message.job_id, now)
    offered = open_job.offered_by_cell.get(cell, set())
    offered.difference_update(message.indexes)
    if message.reason in INTERRUPTIONS:
        open_job.started = True
        reason = INTERRUPTIONS[message.reason]
        entry.refuse_job(open_job, reason, 0.0, now, effects)
        return
    if message.reason == ReturnReason.OVERLOADED:
        if not entry.scheduling.expected_end_routing:
            reason = NoResultReason.OVERLOADED
            entry.refuse_job(open_job, reason, message.retry_after_s, now, effects)
            return
        open_job.overload_delays[cell] = message.retry_after_s
    if message.reason == ReturnReason.EVACUATED and cell in entry.cells:
        entry.cells[cell].evacuated = True
    if message.reason in UNSUITABLE_REASONS:
        open_job.unsuitable_cells[cell] = UNSUITABLE_REASONS[message.reason]
    open_job.tried_cells.add(cell)
    entry.offer_tasks(open_job, set(message.indexes), now, effects)


@on_message.register
def _(message: TaskEnded, cell, entry: Entry, now, effects):
    open_job = entry.jobs.get(message.job_id)
    if open_job is None:
        return
    open_job.started = True
    open_job.offered_by_cell.get(cell, set()).discard(message.index)
    open_job.placements.pop(message.index, None)
    if message.result == TaskResult.DONE:
        open_job.done_indexes.add(message.index)
        if len(open_job.done_indexes) == open_job.job.tasks:
            entry.end_job(open_job, Completed(), now, effects)
        return
    fields = {
        "job_id": message.job_id,
        "index": message.index,
        "result": message.result,
        "upstream": message.upstream,
        "cell": cell,
    }
    effects.append(LogEvent("task run failed or was lost", fields))
    if message.result == TaskResult.FAILED:
        failures = open_job.failure_counts.get(message.index, 0) + 1
        open_job.failure_counts[message.index] = failures
        if failures >= open_job.job.max_attempts:
            entry.end_job(open_job, Failed(), now, effects)
            return
        if message.upstream not in open_job.avoid:
            open_job.avoid += (message.upstream,)
    open_job.forget_tried_cells()
    entry.offer_tasks(open_job, {message.index}, now, effects)
