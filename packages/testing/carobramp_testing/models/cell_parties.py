"""Simulated links, owners and entries for the specification of cells."""

from carobramp_core.cells.entry import Entry
from carobramp_core.cells.entry_events import (
    AnswerCaller,
    EntryTick,
    OwnerLinkClosed,
    OwnerLinkOpened,
    OwnerMessageReceived,
)
from carobramp_core.cells.evacuation import EvacuationsRead
from carobramp_core.cells.messages import UpstreamLosses
from carobramp_core.cells.orders import (
    ClosedLink,
    EntryLinksClosed,
    EntryMessageReceived,
    NoAnswer,
    OwnershipLost,
    OwnerTick,
    PollAnswered,
    PollOrder,
    SendToAllEntries,
    SendToEntry,
    SendToOwner,
    StartAnswered,
    StartOrder,
    StopAnswered,
    StopOrder,
    UpstreamsListed,
)

# Time after which a late order is carried out, just before its deadline.
LATE_S = 0.9


class Link:
    """A link between an entry and an owner; `paths` says which ways are open.

    The owner knows the entry by a name that is unique to the link.
    """

    def __init__(self, name, entry, owner, now):
        self.name = name
        self.entry = entry
        self.owner = owner
        self.paths = {entry: True, owner: True}
        self.inbox = {entry: [], owner: []}
        self.last_echo_at = {entry: now, owner: now}
        self.last_received_at = now
        self.closed = set()

    def peer(self, end):
        """Return the other end."""
        return self.owner if end is self.entry else self.entry

    def send(self, sender, message):
        """Queue a message for the other end."""
        self.inbox[self.peer(sender)].append(message)

    def record_echo(self, now):
        """Let both ends exchange heartbeats, if both hear each other."""
        ends = (self.entry, self.owner)
        if not self.closed and all(self.paths[end] and end.awake() for end in ends):
            for end in ends:
                self.last_echo_at[end] = now
        if self.paths[self.entry] and self.owner.awake() and self.entry.awake():
            self.last_received_at = now


class Party:
    """A process that may be frozen or dead."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.alive = True
        self.frozen_until = 0.0

    def awake(self):
        """Whether the process runs."""
        return self.alive and self.world.now >= self.frozen_until


class OwnerParty(Party):
    """An owner of a cell."""

    def __init__(self, world, cell, token, taken_over):
        super().__init__(world, f"owner-{cell}-{token}")
        self.cell = cell
        self.upstreams = {u.name: u for u in world.upstreams if u.cell == cell}
        self.owner = world.new_owner(cell, token, taken_over)
        self.links: dict[str, Link] = {}
        # What daemons know of this owner's lease limits when it is lost.
        self.reported_limits = self.owner.lease_limits()
        self.late_orders = 0
        # Orders whose answer never comes, with the time at which that is noticed.
        self.unanswered: list = []
        self.dispatch(
            UpstreamsListed(tuple(u.listed() for u in self.upstreams.values()))
        )
        self.reported_limits = self.owner.lease_limits()

    def connect(self, link):
        """Take the link of an entry."""
        self.links[link.name] = link
        link.send(self, self.owner.upstream_names())
        link.send(self, UpstreamLosses(self.owner.crash_records.all_losses()))

    def step(self):
        """Take messages, hold the upstreams, and let time pass."""
        now = self.world.now
        for name, link in list(self.links.items()):
            if not self.world.silent(link, self) and link.paths[self]:
                messages, link.inbox[self] = link.inbox[self], []
                for message in messages:
                    self.dispatch(EntryMessageReceived(name, message))
            if self.world.gives_up(link, self):
                self.links.pop(name, None)
                closed = ClosedLink(name, link.last_echo_at[self])
                self.dispatch(EntryLinksClosed((closed,)))
        waiting, self.unanswered = self.unanswered, []
        for order, sent_at in waiting:
            refused = self.upstreams[order.upstream].refuses_connections
            self.answered(order, NoAnswer("no answer", refused), sent_at)
        for name in self.upstreams:
            hold = self.owner.next_poll(name, now)
            if hold is not None:
                self.order(hold)
        self.dispatch(OwnerTick())
        self.reported_limits = self.owner.lease_limits()

    def order(self, order):
        """Send an order to its upstream."""
        now = self.world.now
        if isinstance(order, StartOrder):
            self.world.record_start(self.cell)
        upstream = self.upstreams[order.upstream]
        stop_lost = (
            isinstance(order, StopOrder) and self.cell == self.world.lost_stops_cell
        )
        if stop_lost or not upstream.reachable:
            self.unanswered.append((order, now))
            return
        if self.late_orders and not isinstance(order, PollOrder):
            self.late_orders -= 1
            self.world.later.append((now + LATE_S, upstream, order))
            self.unanswered.append((order, now))
            return
        outcome = upstream.take(order, now)
        self.world.check()
        self.answered(order, outcome, now)

    def answered(self, order, outcome, sent_at):
        """Pass on the outcome of an order."""
        kinds = {
            StartOrder: StartAnswered,
            StopOrder: StopAnswered,
            PollOrder: PollAnswered,
        }
        outcome = self.world.read_outcome(order, outcome)
        self.dispatch(kinds[type(order)](order, outcome, sent_at))

    def dispatch(self, event):
        """Let the owner decide and carry out its effects."""
        for effect in self.owner.handle(event, self.world.now):
            if isinstance(effect, StartOrder | StopOrder | PollOrder):
                self.order(effect)
            elif isinstance(effect, SendToEntry) and effect.entry in self.links:
                self.links[effect.entry].send(self, effect.message)
            elif isinstance(effect, SendToAllEntries):
                for link in self.links.values():
                    link.send(self, effect.message)
            elif isinstance(effect, OwnershipLost):
                self.end()

    def end(self):
        """Die, or stop owning: links are closed."""
        self.alive = False
        for link in self.links.values():
            link.closed.add(self)
        self.links.clear()


class EntryParty(Party):
    """An entry with the open request of one caller."""

    def __init__(self, world, name, home):
        super().__init__(world, name)
        self.entry = Entry(home, world.limits)
        self.links: dict[str, Link] = {}
        self.numbers = 0

    def step(self):
        """Read the requests, link owners, take messages, and let time pass."""
        self.dispatch(EvacuationsRead(self.world.evacuations))
        now = self.world.now
        for cell, owner in self.world.rows.items():
            self.keep_link(cell, owner, now)
        for cell, link in list(self.links.items()):
            if link.paths[self]:
                messages, link.inbox[self] = link.inbox[self], []
                for message in messages:
                    if self.links.get(cell) is link:
                        self.dispatch(OwnerMessageReceived(cell, message))
        self.dispatch(EntryTick())

    def keep_link(self, cell, owner, now):
        """Close the link to an owner that is gone, and link the present one."""
        link = self.links.get(cell)
        if link is not None:
            if self.world.gives_up(link, self) or link.owner is not owner:
                link.closed.add(self)
                del self.links[cell]
                self.dispatch(OwnerLinkClosed(cell, link.last_received_at))
            return
        if owner.awake() and self.world.linkable(self, owner):
            self.numbers += 1
            link = Link(f"{self.name}/{self.numbers}", self, owner, now)
            self.links[cell] = link
            self.world.links.append(link)
            owner.connect(link)
            self.dispatch(OwnerLinkOpened(cell, owner.owner.token))

    def dispatch(self, event):
        """Let the entry decide and carry out its effects."""
        for effect in self.entry.handle(event, self.world.now):
            if isinstance(effect, SendToOwner) and effect.cell in self.links:
                self.links[effect.cell].send(self, effect.message)
            elif isinstance(effect, AnswerCaller):
                self.world.answer(self, effect.outcome)

    def end(self):
        """Die; the caller's connection breaks."""
        self.alive = False
        for link in self.links.values():
            link.closed.add(self)
        self.links.clear()
