"""Decides from observed ticket numbers what to fetch and whether to serve."""

import dataclasses
import functools

from carobramp_core.tickets.rows import MAX_TICKET_NUMBER
from carobramp_core.tickets.state import DeploymentState, content_digest
from carobramp_schema.generated.ticket import TicketRecord

TABLE_SOURCE = ""
"""Name of the platform's table among the sources; VM names are not empty."""

RETRY_S = 1.0
"""Pause after a source gave nothing; stale reads usually last this long."""

BAD_SOURCE_S = 30.0
"""Pause after a source gave invalid data."""


@dataclasses.dataclass(frozen=True)
class HeadRead:
    """The head row was read; the read may be stale."""

    number: int
    digest: str


@dataclasses.dataclass(frozen=True)
class PeerReported:
    """A peer stated its state number and the highest number it has heard of."""

    vm: str
    near: bool
    number: int
    highest_known_number: int


@dataclasses.dataclass(frozen=True)
class NumberReported:
    """A number is known to be accepted; whoever told may not have its state."""

    number: int


@dataclasses.dataclass(frozen=True)
class FetchFailed:
    """A source gave nothing new, or invalid data."""

    source: str
    invalid: bool = False


@dataclasses.dataclass(frozen=True)
class StateInstalled:
    """A newer state is in force."""

    number: int
    digest: str


@dataclasses.dataclass(frozen=True)
class PeerSourceRemoved:
    """A peer is no longer known."""

    vm: str


@dataclasses.dataclass(frozen=True)
class FetchTickets:
    """Fetch the tickets after a number."""

    source: str
    after: int


@dataclasses.dataclass(frozen=True)
class FetchState:
    """Fetch the whole state."""

    source: str


@dataclasses.dataclass(frozen=True)
class Source:
    """Where newer tickets can be had."""

    vm: str
    near: bool
    number: int


@dataclasses.dataclass(frozen=True)
class InvalidRecord:
    """A ticket record that does not follow from the state; it is not applied."""

    detail: str


class TicketPropagation:
    """What this VM knows of accepted numbers and where to fetch them.

    `diverged` says that the state in force does not agree with the table; it is
    then rebuilt from the table.

    Parameters
    ==========

    max_gap : missing tickets above which the whole state is fetched
    now : present time
    """

    def __init__(self, max_gap: int, now: float):
        self.max_gap = max_gap
        self.number = 0
        self.digest = ""
        self.highest_known_number = 0
        self.peers: dict[str, Source] = {}
        self.paused: dict[str, float] = {}
        self.confirmed_at = now
        self.diverged = False

    def handle(self, event, now: float) -> None:
        """Take an observation at time `now`."""
        on_event(event, self, now)

    def hear(self, number):
        """Raise the highest number heard of; it never falls."""
        if self.highest_known_number < number <= MAX_TICKET_NUMBER:
            self.highest_known_number = number

    def confirmation_age(self, now: float) -> float:
        """Return the time since the state was last confirmed, in seconds."""
        return max(0.0, now - self.confirmed_at)

    def next_fetch(self, now: float) -> FetchTickets | FetchState | None:
        """Return what to fetch at time `now`, or None.

        Peers of the own zone come first and the table last, so that the table is
        read only for what no peer has.
        """
        if self.diverged and not self.is_paused(TABLE_SOURCE, now):
            return FetchState(TABLE_SOURCE)
        usable = [s for s in self.sources() if not self.is_paused(s.vm, now)]
        if not usable:
            return None
        return choose_fetch(self.number, usable, self.max_gap)

    def sources(self):
        """Return every source that may have a higher number."""
        sources = [
            *self.peers.values(),
            Source(TABLE_SOURCE, False, self.highest_known_number),
        ]
        return [source for source in sources if source.number > self.number]

    def is_paused(self, source, now):
        """Whether a source is not asked at time `now`."""
        return self.paused.get(source, now) > now

    def next_wakeup(self, now: float) -> float | None:
        """Return when a paused source may be asked again, or None."""
        times = [self.paused[s.vm] for s in self.sources() if s.vm in self.paused]
        if self.diverged and TABLE_SOURCE in self.paused:
            times.append(self.paused[TABLE_SOURCE])
        return min((t for t in times if t > now), default=None)


def choose_fetch(number, sources, max_gap) -> FetchTickets | FetchState:
    """Choose a source and whether tickets or the whole state are fetched."""
    best = min(
        sources, key=lambda s: (s.vm == TABLE_SOURCE, not s.near, -s.number, s.vm)
    )
    if best.number - number > max_gap:
        return FetchState(best.vm)
    return FetchTickets(best.vm, number)


@functools.singledispatch
def on_event(event, propagation: TicketPropagation, now: float):
    """Take one observation."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: HeadRead, propagation, now):
    propagation.hear(event.number)
    if event.number == propagation.number:
        propagation.confirmed_at = now
        propagation.diverged = bool(event.number) and event.digest != propagation.digest


@on_event.register
def _(event: PeerReported, propagation, now):
    if max(event.number, event.highest_known_number) > MAX_TICKET_NUMBER:
        return
    propagation.hear(max(event.number, event.highest_known_number))
    propagation.peers[event.vm] = Source(event.vm, event.near, event.number)


@on_event.register
def _(event: NumberReported, propagation, now):
    propagation.hear(event.number)


@on_event.register
def _(event: FetchFailed, propagation, now):
    if event.invalid and event.source == TABLE_SOURCE and not propagation.diverged:
        # Rows of the table that do not follow from the state put the state in doubt.
        propagation.diverged = True
        return
    pause = BAD_SOURCE_S if event.invalid else RETRY_S
    propagation.paused[event.source] = now + pause


@on_event.register
def _(event: StateInstalled, propagation, now):
    propagation.number = event.number
    propagation.digest = event.digest
    propagation.diverged = False
    propagation.hear(event.number)


@on_event.register
def _(event: PeerSourceRemoved, propagation, now):
    propagation.peers.pop(event.vm, None)
    propagation.paused.pop(event.vm, None)


def apply_record(
    state: DeploymentState, record: TicketRecord
) -> DeploymentState | InvalidRecord:
    """Return the state after one accepted ticket, checked by its digests.

    A ticket that `state` already contains leaves it as it is.
    """
    ticket = record.ticket
    if ticket.number <= state.number:
        return state
    if ticket.number != state.number + 1:
        return InvalidRecord(f"ticket {ticket.number} does not follow {state.number}")
    if content_digest(ticket) != record.content_digest:
        return InvalidRecord(f"ticket {ticket.number} has another content digest")
    after = state.apply(ticket)
    if after.digest() != record.state_digest:
        return InvalidRecord(f"ticket {ticket.number} gives another state digest")
    return after


def newer_state(present: DeploymentState, fetched: DeploymentState) -> DeploymentState:
    """Return the state to have in force after a whole state was fetched.

    The number of the state in force never falls.
    """
    return fetched if fetched.number > present.number else present


@dataclasses.dataclass(frozen=True)
class ReportedNumbers:
    """Numbers that a reachable peer stated."""

    number: int
    highest_known_number: int


READY = ""
NO_STATE = "no_state"
STATE_BEHIND = "state_behind"


def not_ready_reason(
    number: int, head: int | None, seen: int | None, peers: tuple[ReportedNumbers, ...]
) -> str:
    """Return why a starting VM cannot serve with state `number`, or `READY`.

    Parameters
    ==========

    number : number of the state that was fetched
    head : present number of the head row, None when it could not be read for certain
    seen : number of a head row that may be stale, None when not read
    peers : numbers of the peers that answered

    Examples
    ========

    >>> not_ready_reason(5, None, None, (ReportedNumbers(5, 6),))
    'state_behind'
    >>> not_ready_reason(5, None, None, (ReportedNumbers(5, 5),))
    ''
    """
    if head is not None:
        return READY if number >= head else STATE_BEHIND
    if number == 0:
        return NO_STATE
    highest = max([seen or 0, *(max(p.number, p.highest_known_number) for p in peers)])
    return READY if number >= highest else STATE_BEHIND
