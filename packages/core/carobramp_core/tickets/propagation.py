"""Decides which tickets to fetch, from where, and whether a VM may serve."""

import dataclasses
import functools

from carobramp_core.tickets.rows import MAX_TICKET_NUMBER
from carobramp_core.tickets.state import DeploymentState, content_digest
from carobramp_schema.generated.ticket import TicketRecord

TABLE_SOURCE = ""
"""Source name of the platform's table; differs from all VM names, which are not
empty."""

FAILED_SOURCE_PAUSE_S = 1.0
"""Pause after a source had nothing new; stale reads usually last this long."""

INVALID_SOURCE_PAUSE_S = 30.0
"""Pause after a source returned invalid data."""


@dataclasses.dataclass(frozen=True)
class HeadRead:
    """The head row was read; the read may be stale."""

    number: int
    digest: str


@dataclasses.dataclass(frozen=True)
class PeerReported:
    """A peer reported its state number and the highest ticket number it knows."""

    vm: str
    in_local_zone: bool
    number: int
    highest_known_number: int


@dataclasses.dataclass(frozen=True)
class NumberReported:
    """A ticket number is known to be accepted; its sender may not have the ticket."""

    number: int


@dataclasses.dataclass(frozen=True)
class FetchFailed:
    """A fetch from a source returned nothing new, or `invalid` data."""

    source: str
    invalid: bool = False


@dataclasses.dataclass(frozen=True)
class StateInstalled:
    """A state was installed."""

    number: int
    digest: str


@dataclasses.dataclass(frozen=True)
class PeerSourceRemoved:
    """A peer was removed from the sources."""

    vm: str


@dataclasses.dataclass(frozen=True)
class FetchTickets:
    """Fetch the tickets after number `after` from a source."""

    source: str
    after: int


@dataclasses.dataclass(frozen=True)
class FetchState:
    """Fetch the whole state from a source."""

    source: str


@dataclasses.dataclass(frozen=True)
class Source:
    """Peer or table that can provide tickets up to `number`."""

    name: str
    in_local_zone: bool
    number: int


@dataclasses.dataclass(frozen=True)
class InvalidRecord:
    """A ticket record cannot be applied to the state."""

    detail: str


class TicketPropagation:
    """Accepted ticket numbers known to this VM, and the sources of the tickets.

    `number` and `digest` are those of the installed state. `diverged` means that
    this state disagrees with the table, from which it is then rebuilt.

    Parameters
    ==========

    max_gap : number of missing tickets above which the whole state is fetched
    now : current time
    """

    def __init__(self, max_gap: int, now: float):
        self.max_gap = max_gap
        self.number = 0
        self.digest = ""
        self.highest_known_number = 0
        self.peers: dict[str, Source] = {}
        self.paused_until: dict[str, float] = {}
        self.last_confirmed_at = now
        self.diverged = False

    def handle(self, event, now: float) -> None:
        """Handle an event at time `now`."""
        on_event(event, self, now)

    def raise_highest_known_number(self, number):
        """Raise the highest known number; lower and impossible numbers are ignored."""
        if self.highest_known_number < number <= MAX_TICKET_NUMBER:
            self.highest_known_number = number

    def confirmation_age(self, now: float) -> float:
        """Return the seconds since a read of the head row confirmed the state."""
        return max(0.0, now - self.last_confirmed_at)

    def next_fetch(self, now: float) -> FetchTickets | FetchState | None:
        """Return what to fetch at time `now`, or None.

        Peers of the local zone come first and the table last, so the table is read
        only when no peer can provide newer tickets.
        """
        if self.diverged and not self.is_paused(TABLE_SOURCE, now):
            return FetchState(TABLE_SOURCE)
        usable = [s for s in self.sources() if not self.is_paused(s.name, now)]
        if not usable:
            return None
        return choose_fetch(self.number, usable, self.max_gap)

    def sources(self):
        """Return all sources whose number exceeds that of the installed state."""
        sources = [
            *self.peers.values(),
            Source(TABLE_SOURCE, False, self.highest_known_number),
        ]
        return [source for source in sources if source.number > self.number]

    def is_paused(self, source, now):
        """Whether no fetch from a source may start at time `now`."""
        return self.paused_until.get(source, now) > now

    def next_wakeup(self, now: float) -> float | None:
        """Return the time at which the next paused source is usable, or None."""
        times = [
            self.paused_until[s.name]
            for s in self.sources()
            if s.name in self.paused_until
        ]
        if self.diverged and TABLE_SOURCE in self.paused_until:
            times.append(self.paused_until[TABLE_SOURCE])
        return min((t for t in times if t > now), default=None)


def choose_fetch(number, sources, max_gap) -> FetchTickets | FetchState:
    """Choose the best source and whether to fetch tickets or the whole state."""
    best = min(
        sources,
        key=lambda s: (s.name == TABLE_SOURCE, not s.in_local_zone, -s.number, s.name),
    )
    if best.number - number > max_gap:
        return FetchState(best.name)
    return FetchTickets(best.name, number)


@functools.singledispatch
def on_event(event, propagation: TicketPropagation, now: float):
    """Apply an event to the propagation state."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: HeadRead, propagation, now):
    propagation.raise_highest_known_number(event.number)
    if event.number == propagation.number:
        propagation.last_confirmed_at = now
        propagation.diverged = bool(event.number) and event.digest != propagation.digest


@on_event.register
def _(event: PeerReported, propagation, now):
    if max(event.number, event.highest_known_number) > MAX_TICKET_NUMBER:
        return
    propagation.raise_highest_known_number(
        max(event.number, event.highest_known_number)
    )
    propagation.peers[event.vm] = Source(event.vm, event.in_local_zone, event.number)


@on_event.register
def _(event: NumberReported, propagation, now):
    propagation.raise_highest_known_number(event.number)


@on_event.register
def _(event: FetchFailed, propagation, now):
    if event.invalid and event.source == TABLE_SOURCE and not propagation.diverged:
        # Table rows that cannot be applied to the state: the state may be wrong.
        propagation.diverged = True
        return
    pause = INVALID_SOURCE_PAUSE_S if event.invalid else FAILED_SOURCE_PAUSE_S
    propagation.paused_until[event.source] = now + pause


@on_event.register
def _(event: StateInstalled, propagation, now):
    propagation.number = event.number
    propagation.digest = event.digest
    propagation.diverged = False
    propagation.raise_highest_known_number(event.number)


@on_event.register
def _(event: PeerSourceRemoved, propagation, now):
    propagation.peers.pop(event.vm, None)
    propagation.paused_until.pop(event.vm, None)


def apply_record(
    state: DeploymentState, record: TicketRecord
) -> DeploymentState | InvalidRecord:
    """Return the state after an accepted ticket, verified by its digests.

    A ticket that `state` already contains leaves it unchanged.
    """
    ticket = record.ticket
    if ticket.number <= state.number:
        return state
    if ticket.number != state.number + 1:
        return InvalidRecord(f"ticket {ticket.number} does not follow {state.number}")
    if content_digest(ticket) != record.content_digest:
        return InvalidRecord(
            f"ticket {ticket.number} does not match its content digest"
        )
    state_after = state.apply(ticket)
    if state_after.digest() != record.state_digest:
        return InvalidRecord(f"ticket {ticket.number} does not match its state digest")
    return state_after


def newer_state(current: DeploymentState, fetched: DeploymentState) -> DeploymentState:
    """Return the state to install after a whole state was fetched.

    The number of the installed state never decreases.
    """
    return fetched if fetched.number > current.number else current


@dataclasses.dataclass(frozen=True)
class ReportedNumbers:
    """State number and highest known ticket number of a reachable peer."""

    number: int
    highest_known_number: int


READY = ""
NO_STATE = "no_state"
STATE_BEHIND = "state_behind"


def not_ready_reason(
    number: int,
    current_head: int | None,
    stale_head: int | None,
    peers: tuple[ReportedNumbers, ...],
) -> str:
    """Return why a starting VM may not serve with state `number`, or `READY`.

    Parameters
    ==========

    number : number of the state that was fetched
    current_head : current number of the head row, None without a consistent read
    stale_head : number of a head row that may be stale, None when not read
    peers : numbers of the peers that answered

    Examples
    ========

    >>> not_ready_reason(5, None, None, (ReportedNumbers(5, 6),))
    'state_behind'
    >>> not_ready_reason(5, None, None, (ReportedNumbers(5, 5),))
    ''
    """
    if current_head is not None:
        return READY if number >= current_head else STATE_BEHIND
    if number == 0:
        return NO_STATE
    highest = max(
        [stale_head or 0, *(max(p.number, p.highest_known_number) for p in peers)]
    )
    return READY if number >= highest else STATE_BEHIND
