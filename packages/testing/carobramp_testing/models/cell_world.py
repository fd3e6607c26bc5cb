"""A world of owners, entries and upstreams for the specification of cells.

Explanation
===========

The pure decisions of `carobramp_core.cells` run against simulated links, upstreams and
faults, in steps of a tenth of a second and without randomness: the same faults give the
same history. The adverse assumptions: an upstream's clock is as slow as the platform
allows, a former owner never sees the row of the next one, and what a cut or a pause
holds arrives afterwards.
"""

import math

from carobramp_core.cells.entry_events import CallerGone, JobReceived
from carobramp_core.cells.evacuation import NO_EVACUATIONS, Evacuations
from carobramp_core.cells.lease_limits import LeaseLimits, Predecessor
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import Interrupted, Refused
from carobramp_core.cells.owner import CellOwner
from carobramp_testing.models.cell_parties import EntryParty, Link, OwnerParty
from carobramp_testing.models.cell_upstreams import JOB, SimulatedUpstream

STEP_S = 0.1
STEPS = 45
TAKEOVER_S = 0.6
TOKENS = 64
# Shorter than the time in which an owner stops the runs that nobody claims.
OWNER_LIFE_S = 0.25
# Time from the request of an evacuation after which no start may be ordered: an entry
# reads the request in its next step, and the owner hears of it in the one after.
EVACUATION_BOUND_S = 0.25


class World:
    """Two cells, one of them with two upstreams, two entries, and one job.

    Parameters
    ==========

    faults : pairs of a step and the name of a fault, in the order of the steps
    """

    limits = CellLimits()
    steps = STEPS
    owner_type = CellOwner

    def __init__(self, faults):
        self.now = 0.0
        self.faults = faults
        self.upstreams = self.new_upstreams()
        self.links: list[Link] = []
        self.silent_since = None
        # Cell whose stop orders are lost.
        self.lost_stops_cell: str | None = None
        self.later: list = []
        self.resend_at: list[float] = []
        # Time for which each owner of cell a lives once its successors are short-lived.
        self.owner_life_s = math.inf
        self.rows: dict[str, OwnerParty] = {}
        self.owners = [OwnerParty(self, cell, TOKENS, False) for cell in ("a", "b")]
        self.rows = {owner.cell: owner for owner in self.owners}
        # The second entry is of the other zone, and offers its tasks there first.
        self.entries = [
            EntryParty(self, "entry-1", "a"),
            EntryParty(self, "entry-2", "b"),
        ]
        self.restored: list = []
        self.two_runs = False
        self.told_not_run = False
        # What the store says; only entries read it, owners are rejected by it.
        self.evacuations = NO_EVACUATIONS
        self.evacuated_at = math.inf
        self.late_start = False
        self.started = False
        self.outcomes: list = []

    def new_upstreams(self) -> list[SimulatedUpstream]:
        """Return the upstreams of both cells."""
        names = (("i-1", "a"), ("i-2", "a"), ("i-3", "b"))
        return [SimulatedUpstream(name, cell) for name, cell in names]

    def new_owner(self, cell, token, taken_over) -> CellOwner:
        """Return the decisions of an owner."""
        return self.owner_type(
            cell,
            token,
            self.limits,
            self.now,
            taken_over,
            predecessor=Predecessor(
                self.predecessor_heard_at(), self.reported_limits()
            ),
        )

    def reported_limits(self) -> LeaseLimits:
        """Return the lease limits that the last owner of cell a has reported."""
        return self.rows["a"].reported_limits if self.rows else LeaseLimits()

    def predecessor_heard_at(self) -> float:
        """Return when the owner that is replaced was last heard."""
        return self.now if self.silent_since is None else self.silent_since

    def silent(self, link, end) -> bool:
        """Whether an end has no recent echo, and acts on nothing that arrives."""
        return self.now - link.last_echo_at[end] > self.limits.link_timeout_s

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
            self.resend_at.append(self.now + self.limits.caller_retry_s)

    def run(self):
        """Run to the end; return this world."""
        for step in range(self.steps):
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
            self.resend()
        for party in [*self.owners, *self.entries]:
            if party.awake():
                party.step()
            self.check()
        for link in self.links:
            link.record_echo(self.now)
        self.replace_silent_owner()

    def resend(self):
        """Send the job again, to the second entry."""
        if not self.entries[1].entry.jobs:
            self.entries[1].dispatch(JobReceived(JOB))

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

    def record_start(self, cell):
        """Record that an owner orders a start."""
        late = self.now > self.evacuated_at + EVACUATION_BOUND_S
        if late and cell in self.evacuations.zones:
            self.late_start = True

    def replace_silent_owner(self):
        """Let another daemon claim cell a when its owner is silent for long."""
        if self.rows["a"].awake():
            self.silent_since = None
        elif self.silent_since is None:
            self.silent_since = self.now
        elif self.now - self.silent_since >= self.takeover_s():
            self.take_over()
        self.end_short_lived_owner()

    def takeover_s(self) -> float:
        """Return the time after which a lost owner is replaced.

        A killed one is noticed at once, as its connections break; that is the adverse
        case once successors are short-lived.
        """
        return TAKEOVER_S if self.owner_life_s == math.inf else 0.0

    def end_short_lived_owner(self):
        """Kill an owner of cell a that has taken it over and lived its time."""
        present = self.rows["a"]
        lived_s = self.now - present.owner.owned_since
        if present.owner.taken_over and lived_s >= self.owner_life_s:
            present.end()

    # Faults

    def take_over(self):
        """Another daemon claims cell a."""
        former = self.rows["a"]
        token = former.owner.token + TOKENS
        present = OwnerParty(self, former.cell, token, True)
        self.owners.append(present)
        self.rows["a"] = present
        self.silent_since = None

    def evacuate(self):
        """The operator requests the evacuation of cell a."""
        self.evacuations = Evacuations(1, frozenset({"a"}))
        self.evacuated_at = self.now

    def kill_owner(self):
        """The owner of cell a dies."""
        self.rows["a"].end()

    def kill_daemon(self):
        """The owner of cell a and the first entry, of one daemon, die."""
        self.kill_owner()
        self.kill_entry()

    def shorten_lives(self):
        """From now on each daemon that takes cell a over dies after a short time."""
        self.owner_life_s = OWNER_LIFE_S

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
            self.resend_at.append(self.now + self.limits.caller_retry_s)

    def caller_leaves(self):
        """The caller's connection breaks; it asks the other entry."""
        if self.entries[0].entry.jobs:
            self.entries[0].dispatch(CallerGone(JOB.job_id))
            self.resend_at.append(self.now + self.limits.caller_retry_s)

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

    def lose_stops(self):
        """Upstreams of cell a neither answer nor carry out stop orders any more."""
        self.lost_stops_cell = "a"

    def restart_upstream(self):
        """That upstream starts again under its name."""
        self.busy_upstream().restart(self.now)

    def busy_upstream(self):
        """Return the upstream of cell a that runs the task, or the first one."""
        own = [upstream for upstream in self.upstreams if upstream.cell == "a"]
        return max(own, key=lambda upstream: len(upstream.running))
