"""Builders of test data and a harness that drives the owner of a cell."""

from typing import Any

from carobramp_core.cells.lease_limits import LeaseLimits, Predecessor
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import (
    CancelJob,
    Job,
    LossEvidence,
    Offer,
    UpstreamLoss,
)
from carobramp_core.cells.orders import (
    Accepted,
    ActiveRun,
    ClosedLink,
    EndedRun,
    EntryLinksClosed,
    EntryMessageReceived,
    Listing,
    NoAnswer,
    OwnerTick,
    PollAnswered,
    PollOrder,
    RunEndKind,
    SendToEntry,
    StartAnswered,
    StartOrder,
    StopAnswered,
    StopOrder,
    UpstreamRecord,
    UpstreamsListed,
    UpstreamState,
)
from carobramp_core.cells.owner import CellOwner

LIMITS = CellLimits()
NO_LIMITS = LeaseLimits()
SERVICE = "order-desk"


def job(job_id="5c0e7a21d94b36f8", tasks=1, **fields) -> Job:
    """Build a job whose tasks declare 0.1 s on 6.8 cores."""
    defaults: dict[str, Any] = {
        "spec": "logo",
        "service": SERVICE,
        "queue": "previews",
        "cpu": 6800,
        "memory_mb": 64,
        "estimate_ms": 100.0,
        "stretch": 1.6,
        "target_ms": 60.0,
        "max_attempts": 3,
    }
    return Job(job_id=job_id, tasks=tasks, **(defaults | fields))


def offer(item: Job, **fields) -> Offer:
    """Build an offer of all tasks of a job."""
    defaults: dict[str, Any] = {"indexes": tuple(range(item.tasks)), "may_wait": True}
    return Offer(item, **(defaults | fields))


def loss(
    job_id="5c0e7a21d94b36f8", index=0, run=1, evidence=LossEvidence.CRASHED
) -> UpstreamLoss:
    """Build the loss of an upstream under a task."""
    return UpstreamLoss(job_id, index, run, evidence)


def upstream(name="i-1", **fields) -> UpstreamRecord:
    """Build an entry of the list of upstreams."""
    defaults: dict[str, Any] = {
        "service": SERVICE,
        "address": f"{name}:80",
        "availability_zone": "tilburg",
        "state": UpstreamState.READY,
        "cpu": 16000,
        "memory_mb": 32768,
        "accelerators": 0,
    }
    return UpstreamRecord(name=name, **(defaults | fields))


class OwnerHarness:
    """Drives an owner and simulates its upstreams; `now` is the current time.

    The earlier owner was last heard at `heard_at`, by default at the takeover, and had
    reported `lease_limits`. The methods return the effects of the event that they give
    to the owner.
    """

    def __init__(
        self,
        *upstreams: UpstreamRecord,
        taken_over=False,
        now=100.0,
        losses=(),
        heard_at=None,
        scheduling=None,
        lease_limits=NO_LIMITS,
        token=3,
    ):
        self.now = now
        self.owner = CellOwner(
            "tilburg",
            token,
            LIMITS,
            now,
            taken_over,
            losses,
            Predecessor(now if heard_at is None else heard_at, lease_limits),
            scheduling,
        )
        self.clocks = {item.name: 5000 for item in upstreams}
        self.handle(UpstreamsListed(tuple(upstreams)))

    def handle(self, event):
        """Let the owner handle an event."""
        return self.owner.handle(event, self.now)

    def answer_poll(self, name="i-1", running=(), ended=(), sent_at=None, born_ms=1):
        """Let an upstream answer its next poll with a listing."""
        order = self.owner.next_poll(name, self.now)
        self.clocks[name] += 10
        listing = Listing(self.clocks[name], born_ms, tuple(running), tuple(ended))
        requested_at = self.now if sent_at is None else sent_at
        return self.handle(PollAnswered(order, listing, requested_at))

    def fail_poll(self, name="i-1", refused=False):
        """Leave the next poll of an upstream unanswered."""
        order = self.owner.next_poll(name, self.now)
        return self.handle(PollAnswered(order, NoAnswer("silent", refused), self.now))

    def offer(self, item: Job, entry="front-1", **fields):
        """Let an entry offer all tasks of a job."""
        return self.handle(EntryMessageReceived(entry, offer(item, **fields)))

    def cancel(self, job_id, entry="front-1"):
        """Let an entry cancel a job."""
        return self.handle(EntryMessageReceived(entry, CancelJob(job_id)))

    def close_link(self, entry, silent_s=0.0):
        """Close the link of an entry that was silent for some time."""
        link = ClosedLink(entry, self.now - silent_s)
        return self.handle(EntryLinksClosed((link,)))

    def accept(self, order: StartOrder):
        """Let an upstream accept a start order."""
        return self.handle(StartAnswered(order, Accepted(6000), self.now))

    def lose_start(self, order: StartOrder):
        """Leave a start order unanswered."""
        return self.handle(StartAnswered(order, NoAnswer("lost"), self.now))

    def accept_stop(self, order: StopOrder):
        """Let an upstream accept a stop order."""
        return self.handle(StopAnswered(order, Accepted(6000), self.now))

    def tick(self, seconds=0.0):
        """Advance the time and let the owner handle a tick."""
        self.now += seconds
        return self.handle(OwnerTick())


def starts(effects) -> list[StartOrder]:
    """Return the start orders among effects."""
    return [effect for effect in effects if isinstance(effect, StartOrder)]


def stops(effects) -> list[StopOrder]:
    """Return the stop orders among effects."""
    return [effect for effect in effects if isinstance(effect, StopOrder)]


def polls(effects) -> list[PollOrder]:
    """Return the poll orders among effects."""
    return [effect for effect in effects if isinstance(effect, PollOrder)]


def messages(effects, kind):
    """Return the messages of type `kind` that effects send to entries."""
    sent = [effect.message for effect in effects if isinstance(effect, SendToEntry)]
    return [message for message in sent if isinstance(message, kind)]


def running(order: StartOrder, percent=10) -> ActiveRun:
    """Return a run as an upstream lists it while it is active."""
    return ActiveRun(order.run_id, percent)


def ended(order: StartOrder | ActiveRun, kind=RunEndKind.DONE, number=1) -> EndedRun:
    """Return the end of a run as an upstream lists it."""
    return EndedRun(number, order.run_id, kind)
