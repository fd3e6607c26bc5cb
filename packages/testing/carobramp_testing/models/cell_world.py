"""A world of owners, entries and upstreams for the specification of cells.

Explanation
===========

The pure decisions of `carobramp_core.cells` run against simulated links, upstreams and
faults, in steps of a tenth of a second and without randomness: the same faults give the
same history. The adverse assumptions: an upstream's clock is as slow as the platform
allows, a former owner never sees the row of the next one, and what a cut or a pause
holds arrives afterwards.
"""

import dataclasses

from carobramp_core.cells.entry import (
    Answer,
    CallerGone,
    Entry,
    EntryTick,
    FromOwner,
    JobReceived,
    OwnerFound,
    OwnerLost,
    SendToOwner,
)
from carobramp_core.cells.limits import CLOCK_DRIFT, CellLimits
from carobramp_core.cells.messages import Interrupted, Job, Refused
from carobramp_core.cells.orders import (
    Accepted,
    Deposed,
    EndEntry,
    EndKind,
    EntryLost,
    FromEntry,
    HoldAnswered,
    HoldOrder,
    Listed,
    ListedUpstream,
    Listing,
    NoAnswer,
    Refusal,
    Rejected,
    RunId,
    RunningEntry,
    Send,
    StartAnswered,
    StartOrder,
    StopAnswered,
    StopOrder,
    Tick,
    UpstreamState,
)
from carobramp_core.cells.owner import CellOwner

STEP_S = 0.1
STEPS = 45
# Longer than the time after which a caller asks again, so that a run which nobody
# stops is still there then.
RUN_S = 2.0
TAKEOVER_S = 0.6
# Time after which a late order is carried out, just before its deadline.
LATE_S = 0.9
TOKENS = 64
LEASE_MAX_S = 1.0
JOB = Job(
    job_id="5c0e7a21d94b36f8",
    spec="logo",
    service="order-desk",
    queue="previews",
    tasks=1,
    cpu=6800,
    estimate_ms=RUN_S * 1000,
    stretch=1.6,
    target_ms=60.0,
    max_attempts=3,
)


@dataclasses.dataclass
class SimulatedRun:
    """A run at an upstream."""

    run_id: RunId
    ends_at: float

    def percent(self, now):
        """Return the part of the work that is done."""
        return int(100 * (1 - (self.ends_at - now) / RUN_S))


class SimulatedUpstream:
    """An upstream with a lease, a fence and a list of ends, as the platform says."""

    def __init__(self, name, cell):
        self.cell = cell
        self.name = name
        self.fences = True
        self.reachable = True
        self.lives = 0
        self.restart(0.0)

    def restart(self, now):
        """Begin another life."""
        self.lives += 1
        self.zero = now
        self.token = 0
        self.deadline_ms = 0
        self.running: dict = {}
        self.ends: list[EndEntry] = []
        self.stopped: dict = {}

    def listed(self):
        """Return the entry of the platform's list."""
        return ListedUpstream(
            self.name,
            JOB.service,
            f"{self.name}:80",
            self.cell,
            UpstreamState.READY,
            16000,
            32768,
            0,
        )

    def clock_ms(self, now):
        """Return the slow clock of this life."""
        return int((now - self.zero) * 1000 * (1 - CLOCK_DRIFT)) + 5000

    def pass_time(self, now):
        """End what is done and what has no lease."""
        lapsed = self.clock_ms(now) >= self.deadline_ms
        for key, run in list(self.running.items()):
            if now >= run.ends_at:
                self.end(key, EndKind.DONE)
            elif lapsed:
                self.end(key, EndKind.LAPSED)

    def end(self, key, kind):
        """End a run and list it."""
        run = self.running.pop(key)
        self.ends.append(EndEntry(len(self.ends) + 1, run.run_id, kind))

    def take(self, order, now):
        """Carry out an order; return its outcome."""
        if order.token < self.token and self.fences:
            return Rejected(Refusal.FENCED)
        self.token = order.token
        if isinstance(order, StartOrder):
            return self.start(order, now)
        if isinstance(order, StopOrder):
            return self.stop(order, now)
        self.extend(order.deadline_ms, now)
        return Listing(
            self.clock_ms(now),
            self.lives,
            tuple(
                RunningEntry(run.run_id, run.percent(now))
                for run in self.running.values()
            ),
            tuple(end for end in self.ends if end.number > order.acknowledged),
        )

    def extend(self, deadline_ms, now):
        """Extend the lease as far as it may be."""
        if deadline_ms is not None:
            latest = self.clock_ms(now) + int(LEASE_MAX_S * 1000)
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest))

    def start(self, order, now):
        """Start a run."""
        key = order.run_id
        if order.deadline_ms <= self.clock_ms(now):
            return Rejected(Refusal.LATE)
        self.extend(order.deadline_ms, now)
        if key in self.running:
            return Accepted(self.clock_ms(now))
        if key.run <= self.stopped.get((key.job_id, key.index), 0):
            return Rejected(Refusal.RUN_TOO_OLD)
        self.running[key] = SimulatedRun(key, now + RUN_S)
        return Accepted(self.clock_ms(now))

    def stop(self, order, now):
        """Stop a run, and refuse it from now on."""
        key = order.run_id
        task = key.job_id, key.index
        self.stopped[task] = max(key.run, self.stopped.get(task, 0))
        if key in self.running:
            self.end(key, EndKind.STOPPED)
        return Accepted(self.clock_ms(now))


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
        self.confirmed_at = {entry: now, owner: now}
        self.heard_at = now
        self.closed = set()

    def peer(self, end):
        """Return the other end."""
        return self.owner if end is self.entry else self.entry

    def send(self, sender, message):
        """Queue a message for the other end."""
        self.inbox[self.peer(sender)].append(message)

    def confirm(self, now):
        """Let both ends exchange heartbeats, if both hear each other."""
        ends = (self.entry, self.owner)
        if not self.closed and all(self.paths[end] and end.awake() for end in ends):
            for end in ends:
                self.confirmed_at[end] = now
        if self.paths[self.entry] and self.owner.awake() and self.entry.awake():
            self.heard_at = now


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
        self.late_orders = 0
        # Orders whose answer never comes, with the time at which that is noticed.
        self.unanswered: list = []
        self.dispatch(Listed(tuple(u.listed() for u in self.upstreams.values())))

    def connect(self, link):
        """Take the link of an entry."""
        self.links[link.name] = link
        link.send(self, self.owner.members())

    def step(self):
        """Take messages, hold the upstreams, and let time pass."""
        now = self.world.now
        for name, link in list(self.links.items()):
            if not self.world.silent(link, self) and link.paths[self]:
                messages, link.inbox[self] = link.inbox[self], []
                for message in messages:
                    self.dispatch(FromEntry(name, message))
            if self.world.gives_up(link, self):
                self.links.pop(name, None)
                self.dispatch(EntryLost(name))
        waiting, self.unanswered = self.unanswered, []
        for order, sent_at in waiting:
            self.answered(order, NoAnswer("no answer"), sent_at)
        for name in self.upstreams:
            hold = self.owner.next_hold(name, now)
            if hold is not None:
                self.order(hold)
        self.dispatch(Tick())

    def order(self, order):
        """Send an order to its upstream."""
        now = self.world.now
        upstream = self.upstreams[order.upstream]
        if not upstream.reachable:
            self.unanswered.append((order, now))
            return
        if self.late_orders and not isinstance(order, HoldOrder):
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
            HoldOrder: HoldAnswered,
        }
        outcome = self.world.read_outcome(order, outcome)
        self.dispatch(kinds[type(order)](order, outcome, sent_at))

    def dispatch(self, event):
        """Let the owner decide and carry out its effects."""
        for effect in self.owner.handle(event, self.world.now):
            if isinstance(effect, StartOrder | StopOrder | HoldOrder):
                self.order(effect)
            elif isinstance(effect, Send) and effect.entry in self.links:
                self.links[effect.entry].send(self, effect.message)
            elif isinstance(effect, Deposed):
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
        """Link owners, take messages, and let time pass."""
        now = self.world.now
        for cell, owner in self.world.rows.items():
            self.keep_link(cell, owner, now)
        for cell, link in list(self.links.items()):
            if link.paths[self]:
                messages, link.inbox[self] = link.inbox[self], []
                for message in messages:
                    if self.links.get(cell) is link:
                        self.dispatch(FromOwner(cell, message))
        self.dispatch(EntryTick())

    def keep_link(self, cell, owner, now):
        """Close the link to an owner that is gone, and link the present one."""
        link = self.links.get(cell)
        if link is not None:
            if self.world.gives_up(link, self) or link.owner is not owner:
                link.closed.add(self)
                del self.links[cell]
                self.dispatch(OwnerLost(cell, link.heard_at))
            return
        if owner.awake() and self.world.linkable(self, owner):
            self.numbers += 1
            link = Link(f"{self.name}/{self.numbers}", self, owner, now)
            self.links[cell] = link
            self.world.links.append(link)
            owner.connect(link)
            self.dispatch(OwnerFound(cell, owner.owner.token))

    def dispatch(self, event):
        """Let the entry decide and carry out its effects."""
        for effect in self.entry.handle(event, self.world.now):
            if isinstance(effect, SendToOwner) and effect.cell in self.links:
                self.links[effect.cell].send(self, effect.message)
            elif isinstance(effect, Answer):
                self.world.answer(self, effect.outcome)

    def end(self):
        """Die; the caller's connection breaks."""
        self.alive = False
        for link in self.links.values():
            link.closed.add(self)
        self.links.clear()


class World:
    """Two cells, one of them with two upstreams, two entries, and one job.

    Parameters
    ==========

    faults : pairs of a step and the name of a fault, in the order of the steps
    """

    limits = CellLimits()

    def __init__(self, faults):
        self.now = 0.0
        self.faults = faults
        self.upstreams = [
            SimulatedUpstream(name, cell)
            for name, cell in (("i-1", "a"), ("i-2", "a"), ("i-3", "b"))
        ]
        self.links: list[Link] = []
        self.later: list = []
        self.resend_at: list[float] = []
        self.owners = [OwnerParty(self, cell, TOKENS, False) for cell in ("a", "b")]
        self.rows = {owner.cell: owner for owner in self.owners}
        # The second entry is of the other zone, and offers its tasks there first.
        self.entries = [
            EntryParty(self, "entry-1", "a"),
            EntryParty(self, "entry-2", "b"),
        ]
        self.restored: list = []
        self.silent_since = None
        self.two_runs = False
        self.told_not_run = False
        self.started = False
        self.outcomes: list = []

    def new_owner(self, cell, token, taken_over) -> CellOwner:
        """Return the decisions of an owner."""
        return CellOwner(cell, token, self.limits, self.now, taken_over)

    def silent(self, link, end) -> bool:
        """Whether an end has no recent echo, and acts on nothing that arrives."""
        return self.now - link.confirmed_at[end] > self.limits.link_silence_s

    def gives_up(self, link, end) -> bool:
        """Whether an end closes a link now."""
        told = link.peer(end) in link.closed and link.paths[end]
        if told or self.silent(link, end):
            link.closed.add(end)
            link.inbox[end].clear()
            return True
        return False

    def linkable(self, entry, owner) -> bool:
        """Whether a new link may be opened: no old one of the pair is cut."""
        pair = [k for k in self.links if k.entry is entry and k.owner is owner]
        return all(all(link.paths.values()) for link in pair)

    def read_outcome(self, order, outcome):
        """Return what an owner makes of the outcome of an order."""
        return outcome

    def answer(self, entry, outcome):
        """Give the caller its answer; it asks again when that leaves it unsure."""
        self.outcomes.append(outcome)
        if isinstance(outcome, Refused):
            self.told_not_run = True
        elif isinstance(outcome, Interrupted) and entry is self.entries[0]:
            self.resend_at.append(self.now + self.limits.resend_s)

    def run(self):
        """Run to the end; return this world."""
        for step in range(STEPS):
            self.now = step * STEP_S
            for at, kind in self.faults:
                if at == step:
                    getattr(self, kind)()
            self.step(step)
        return self

    def step(self, step):
        """Let everyone act once."""
        for at, restore in [item for item in self.restored if self.now >= item[0]]:
            self.restored.remove((at, restore))
            restore()
        for upstream in self.upstreams:
            upstream.pass_time(self.now)
        self.carry_out_late()
        if step == 1:
            self.entries[0].dispatch(JobReceived(JOB))
        for at in [at for at in self.resend_at if self.now >= at]:
            self.resend_at.remove(at)
            if not self.entries[1].entry.jobs:
                self.entries[1].dispatch(JobReceived(JOB))
        for party in [*self.owners, *self.entries]:
            if party.awake():
                party.step()
            self.check()
        for link in self.links:
            link.confirm(self.now)
        self.replace_silent_owner()

    def carry_out_late(self):
        """Carry out the orders whose time has come."""
        due = [item for item in self.later if self.now >= item[0]]
        for item in due:
            self.later.remove(item)
            _, upstream, order = item
            upstream.take(order, self.now)
        self.check()

    def check(self):
        """Note broken promises."""
        running = sum(len(upstream.running) for upstream in self.upstreams)
        self.started = self.started or running > 0
        self.two_runs = self.two_runs or running > 1

    def replace_silent_owner(self):
        """Let another daemon claim cell a when its owner is silent for long."""
        if self.rows["a"].awake():
            self.silent_since = None
        elif self.silent_since is None:
            self.silent_since = self.now
        elif self.now - self.silent_since >= TAKEOVER_S:
            self.take_over()

    # Faults

    def take_over(self):
        """Another daemon claims cell a."""
        former = self.rows["a"]
        token = former.owner.token + TOKENS
        present = OwnerParty(self, former.cell, token, True)
        self.owners.append(present)
        self.rows["a"] = present
        self.silent_since = None

    def kill_owner(self):
        """The owner of cell a dies."""
        self.rows["a"].end()

    def freeze_owner(self):
        """The owner of cell a stands still and wakes before it is replaced."""
        self.rows["a"].frozen_until = self.now + 0.55

    def freeze_owner_long(self):
        """The owner of cell a wakes after another has taken its place."""
        self.rows["a"].frozen_until = self.now + 1.3

    def freeze_entry(self):
        """The first entry stands still."""
        self.entries[0].frozen_until = self.now + 1.3

    def kill_entry(self):
        """The first entry dies; its caller asks the other one."""
        if self.entries[0].entry.jobs and self.entries[0].alive:
            self.entries[0].end()
            self.resend_at.append(self.now + self.limits.resend_s)

    def caller_leaves(self):
        """The caller's connection breaks; it asks the other entry."""
        if self.entries[0].entry.jobs:
            self.entries[0].dispatch(CallerGone(JOB.job_id))
            self.resend_at.append(self.now + self.limits.resend_s)

    def cut_link(self):
        """Nothing passes between the first entry and the owner of cell a."""
        self.cut((self.entries[0], self.rows["a"]), 0.7)

    def cut_to_entry(self):
        """The first entry no longer hears the owner of cell a."""
        self.cut((self.entries[0],), 1.6)

    def cut_to_owner(self):
        """The owner of cell a no longer hears the first entry.

        What the entry sent arrives when it has just offered the task elsewhere.
        """
        self.cut((self.rows["a"],), 2.4)

    def cut(self, deaf, seconds):
        """Hold what the deaf ends of a link would receive; deliver it later."""
        link = self.entries[0].links.get("a")
        if link is None:
            return
        for end in deaf:
            if end in link.paths:
                link.paths[end] = False

        def restore():
            for end in link.paths:
                link.paths[end] = True

        self.restored.append((self.now + seconds, restore))

    def cut_upstream(self):
        """Nobody reaches the upstream of cell a that runs the task, or the first."""
        upstream = self.busy_upstream()
        upstream.reachable = False

        def restore():
            upstream.reachable = True

        self.restored.append((self.now + 0.8, restore))

    def late_orders(self):
        """Two orders get no answer and are carried out later."""
        self.rows["a"].late_orders = 2

    def restart_upstream(self):
        """That upstream starts again under its name."""
        self.busy_upstream().restart(self.now)

    def busy_upstream(self):
        """Return the upstream of cell a that runs the task, or the first one."""
        own = [upstream for upstream in self.upstreams if upstream.cell == "a"]
        return max(own, key=lambda upstream: len(upstream.running))
