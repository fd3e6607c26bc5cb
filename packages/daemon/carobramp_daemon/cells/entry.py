"""Service that holds the open requests of a daemon's callers."""

import asyncio

from mode import Service

from carobramp_core.cells.entry import (
    AnswerCaller,
    CallerGone,
    Entry,
    EntryEvent,
    EntryTick,
    JobReceived,
    OwnerLinkClosed,
    OwnerLinkOpened,
    OwnerMessageReceived,
    SendToOwner,
)
from carobramp_core.cells.messages import Interrupted, Job, NoResultReason, Outcome
from carobramp_core.cells.orders import LogEvent
from carobramp_core.cells.ports import Link
from carobramp_daemon.cells.clock import now


class EntryService(Service):
    """Open requests of one daemon.

    Parameters
    ==========

    entry : decisions of the entry
    """

    def __init__(self, entry: Entry, metrics, log):
        super().__init__()
        self.entry = entry
        self.metrics = metrics
        self.event_log = log
        self.links: dict[str, Link] = {}
        self.answers: dict[str, asyncio.Future] = {}

    async def submit(self, job: Job) -> Outcome:
        """Run a job and return its outcome.

        When the caller of this method is cancelled, the job is withdrawn. A second
        request for an open job takes its place: the first caller is gone.
        """
        earlier = self.answers.get(job.job_id)
        answer = asyncio.get_running_loop().create_future()
        self.answers[job.job_id] = answer
        if earlier is not None and not earlier.done():
            earlier.set_result(Interrupted(NoResultReason.INTERRUPTED))
        else:
            self.dispatch(JobReceived(job))
        try:
            return await answer
        except asyncio.CancelledError:
            if self.answers.get(job.job_id) is answer:
                self.dispatch(CallerGone(job.job_id))
            raise
        finally:
            if self.answers.get(job.job_id) is answer:
                del self.answers[job.job_id]

    def open_request_count(self) -> int:
        """Return the number of callers that wait."""
        return len(self.answers)

    def owner_link_opened(self, cell, token, link):
        """Register the link to the owner of a cell; `link.send` takes messages."""
        earlier = self.links.get(cell)
        if earlier is not None:
            self.owner_link_closed(cell, earlier, now())
        self.links[cell] = link
        self.metrics.set_gauge("cells_linked", len(self.links))
        self.event_log.info("owner found", cell=cell, token=token)
        self.dispatch(OwnerLinkOpened(cell, token))

    def owner_link_closed(self, cell, link, last_received_at):
        """Forget a link to the owner of a cell, unless another has replaced it."""
        if link is not None and self.links.get(cell) is link:
            del self.links[cell]
            self.metrics.set_gauge("cells_linked", len(self.links))
            self.dispatch(OwnerLinkClosed(cell, last_received_at))

    def handle_message(self, cell, link, message):
        """Take a message of the owner of a cell.

        What a former owner still sends on a link that was replaced is dropped: its
        tasks were offered again to the present one.
        """
        if self.links.get(cell) is link:
            self.dispatch(OwnerMessageReceived(cell, message))

    def dispatch(self, event: EntryEvent):
        """Let the entry decide on an event and carry out its effects."""
        for effect in self.entry.handle(event, now()):
            if isinstance(effect, SendToOwner):
                link = self.links.get(effect.cell)
                if link is not None:
                    link.send(effect.message)
            elif isinstance(effect, AnswerCaller):
                self.answer(effect)
            elif isinstance(effect, LogEvent):
                self.event_log.info(effect.message, **effect.fields)

    def answer(self, effect: AnswerCaller):
        """Give the outcome of a job to its caller."""
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
        answer = self.answers.get(effect.job_id)
        if answer is not None and not answer.done():
            answer.set_result(effect.outcome)

    @Service.task
    async def tick(self):
        """Let time pass."""
        while not self.should_stop:
            await asyncio.sleep(self.entry.limits.tick_s)
            self.metrics.set_gauge("open_requests", len(self.answers))
            self.dispatch(EntryTick())
