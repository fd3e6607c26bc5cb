"""Service that runs the jobs of a daemon's callers and answers them."""

import asyncio
import enum

from mode import Service

from carobramp_core.cells.entry import Entry
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
from carobramp_core.cells.evacuation import Evacuations, EvacuationsRead
from carobramp_core.cells.messages import (
    Interrupted,
    Job,
    NoResultReason,
    Outcome,
    TasksReturned,
)
from carobramp_core.cells.orders import LogEvent, SendToOwner
from carobramp_core.cells.ports import Link
from carobramp_daemon.cells.clock import now
from carobramp_daemon.cells.supervised_tasks import contain_errors


class CancelResult(enum.Enum):
    """What became of the request to cancel a job.

    CANCELLED: this entry had the job. FORWARDED: the owners of all cells stop it if
    there is one. OWNER_UNREACHABLE: the owner of a cell could not be told, and the job
    may go on there.
    """

    CANCELLED = "cancelled"
    FORWARDED = "forwarded"
    OWNER_UNREACHABLE = "owner_unreachable"


class EntryService(Service):
    """Submits jobs to the owners of cells and answers the callers of one daemon.

    Parameters
    ==========

    entry : state machine that decides on events and returns effects

    Attributes
    ==========

    links : link to the owner of each cell, by cell
    pending_outcomes : future of the outcome that each caller awaits, by job id
    """

    def __init__(self, entry: Entry, metrics, log):
        super().__init__()
        self.entry = entry
        self.metrics = metrics
        self.event_log = log
        self.links: dict[str, Link] = {}
        self.pending_outcomes: dict[str, asyncio.Future] = {}
        # Time at which the process was last seen to run.
        self.running_at = now()
        # Set while the entry has open jobs: only these depend on ticks.
        self.has_jobs = asyncio.Event()

    async def on_start(self):
        """Count the time of the process from here on."""
        self.running_at = now()

    async def submit(self, job: Job) -> Outcome:
        """Run a job and return its outcome.

        If this coroutine is cancelled, the job is cancelled too. A second request for
        an open job replaces the first, which gets `Interrupted`: its caller has gone.
        """
        earlier = self.pending_outcomes.get(job.job_id)
        outcome_future = asyncio.get_running_loop().create_future()
        self.pending_outcomes[job.job_id] = outcome_future
        if earlier is not None and not earlier.done():
            earlier.set_result(Interrupted(NoResultReason.INTERRUPTED))
        elif self.dispatch(JobReceived(job)):
            self.has_jobs.set()
        else:
            outcome_future.set_result(Interrupted(NoResultReason.INTERRUPTED))
            self.dispatch(CallerGone(job.job_id))
        try:
            return await outcome_future
        except asyncio.CancelledError:
            if self.pending_outcomes.get(job.job_id) is outcome_future:
                self.dispatch(CallerGone(job.job_id))
            raise
        finally:
            if self.pending_outcomes.get(job.job_id) is outcome_future:
                del self.pending_outcomes[job.job_id]

    def cancel(self, job_id) -> CancelResult:
        """Cancel a job of this entry or of any other."""
        found = job_id in self.entry.jobs
        self.dispatch(CancelRequested(job_id))
        if found:
            return CancelResult.CANCELLED
        if self.entry.can_forward_cancellations(now()):
            return CancelResult.FORWARDED
        return CancelResult.OWNER_UNREACHABLE

    def drain(self, answer_by):
        """Answer every job by a time, after which the process stops."""
        self.dispatch(DrainStarted(answer_by))

    def open_request_count(self) -> int:
        """Return the number of jobs whose callers await an outcome."""
        return len(self.pending_outcomes)

    def owner_link_opened(self, cell, token, link):
        """Register a link to the owner of a cell in place of an earlier one."""
        earlier = self.links.get(cell)
        if earlier is not None:
            self.owner_link_closed(cell, earlier, now())
        self.links[cell] = link
        self.metrics.set_gauge("cells_linked", len(self.links))
        self.event_log.info("link to owner opened", cell=cell, token=token)
        self.dispatch(OwnerLinkOpened(cell, token))

    def owner_link_closed(self, cell, link, last_received_at):
        """Remove the link to the owner of a cell unless another has replaced it."""
        if link is not None and self.links.get(cell) is link:
            del self.links[cell]
            self.metrics.set_gauge("cells_linked", len(self.links))
            self.dispatch(OwnerLinkClosed(cell, last_received_at))

    def handle_message(self, cell, link, message):
        """Handle a message from the owner of a cell.

        A message on a link that was replaced is dropped: the tasks of the former owner
        were offered again to the current one.
        """
        if self.links.get(cell) is link:
            self.count_returned(message)
            self.dispatch(OwnerMessageReceived(cell, message))

    def count_returned(self, message):
        """Count the tasks that an owner returns, if cells are chosen by reports."""
        if self.entry.scheduling.expected_end_routing and isinstance(
            message, TasksReturned
        ):
            count = len(message.indexes)
            self.metrics.increment("tasks_returned", message.reason, count)

    def dispatch(self, event: EntryEvent) -> bool:
        """Pass an event to the entry and carry out the effects that it returns.

        Returns False if the entry failed to handle the event.
        """
        self.check_pause()
        return self.handle(event)

    def update_evacuations(self, evacuations: Evacuations | None):
        """Pass on the evacuation requests that the process has read.

        No pause is looked for: the process may be starting, and no job depends on it.
        """
        self.handle(EvacuationsRead(evacuations))
        known = self.entry.evacuations
        self.metrics.set_gauge("zones_evacuated", len(known.zones) if known else 0)

    def handle(self, event: EntryEvent) -> bool:
        """Pass an event to the entry and carry out the effects that it returns."""
        effects = None
        with contain_errors(self, type(event).__name__):
            effects = self.entry.handle(event, now())
        for effect in effects or ():
            with contain_errors(self, type(effect).__name__):
                self.carry_out(effect)
        return effects is not None

    def check_pause(self):
        """End all jobs if the process was paused for long since the last check.

        Something must call this more often than the shortest long pause.
        """
        paused_s = now() - self.running_at
        self.running_at = now()
        if self.entry.limits.is_long_pause(paused_s):
            self.event_log.info(
                "process was paused",
                paused_s=round(paused_s, 3),
                open_jobs=len(self.entry.jobs),
            )
            self.dispatch(LongPauseEnded())

    def carry_out(self, effect: EntryEffect):
        """Carry out one effect of the entry."""
        if isinstance(effect, SendToOwner):
            link = self.links.get(effect.cell)
            if link is not None:
                link.send(effect.message)
        elif isinstance(effect, AnswerCaller):
            self.complete_job(effect)
        elif isinstance(effect, CountOffer):
            self.metrics.increment("offers", f"{effect.cell}/{effect.kind}")
            age_ms = effect.report_age_s * 1000
            self.metrics.observe("report_age_ms", effect.cell, age_ms)
        elif isinstance(effect, LogEvent):
            self.event_log.info(effect.message, **effect.fields)

    def complete_job(self, effect: AnswerCaller):
        """Record the outcome of a job and pass it to its caller."""
        kind = type(effect.outcome).__name__.lower()
        reason = getattr(effect.outcome, "reason", "")
        self.metrics.increment("jobs", kind)
        if reason:
            self.metrics.increment("job_refusals", reason)
        self.metrics.observe("response_ms", kind, effect.age_s * 1000)
        self.event_log.info(
            "job ended",
            job_id=effect.job_id,
            queue=effect.queue,
            outcome=kind,
            reason=reason,
            ms=round(effect.age_s * 1000),
        )
        outcome_future = self.pending_outcomes.get(effect.job_id)
        if outcome_future is not None and not outcome_future.done():
            outcome_future.set_result(effect.outcome)

    @Service.task
    async def tick(self):
        """Send tick events to the entry while it has jobs; they drive its timeouts."""
        while not self.should_stop:
            await self.has_jobs.wait()
            await asyncio.sleep(self.entry.limits.tick_s)
            self.metrics.set_gauge("open_requests", len(self.pending_outcomes))
            self.dispatch(EntryTick())
            if not self.entry.jobs:
                self.has_jobs.clear()
