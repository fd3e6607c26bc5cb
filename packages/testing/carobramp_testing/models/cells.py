"""Specification of the ownership of cells, driven by the pure decisions.

Explanation
===========

A state is the series of faults so far; its successors add one more fault, at the same
step or later. Each series is played in a `World` of its own, so that every series of
so many faults at the chosen steps is covered. A mutant lacks one safeguard.

Run as ``python -m carobramp_testing.models.cells``.
"""

import dataclasses
import functools
import math
import sys
from typing import NamedTuple

from carobramp_core.cells.lease_limits import LeaseLimits
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import Interrupted, Refused
from carobramp_core.cells.orders import NoAnswer, Rejected, RejectReason, StartOrder
from carobramp_core.cells.owner import CellOwner
from carobramp_testing.models.cell_world import World
from carobramp_testing.models.specification import Specification, machine
from carobramp_testing.models.submission import run

KINDS = (
    "take_over",
    "kill_owner",
    "freeze_owner",
    "freeze_owner_long",
    "freeze_entry",
    "kill_entry",
    "caller_leaves",
    "cut_link",
    "cut_to_entry",
    "cut_to_owner",
    "cut_upstream",
    "late_orders",
    "evacuate",
    "lose_stops",
    "restart_upstream",
    "kill_daemon",
    "shorten_lives",
)
# As the job comes, and while it runs.
AT_STEPS = (1, 2, 4, 8)
FAULTS = 2

ONE_RUN = "no two runs of a task at one time"
NOT_RUN = "not run is never told of a job that started"
NO_LATE_START = "no start in an evacuated zone after the bound"
PROMISES = {
    ONE_RUN: lambda s: not s["two_runs"],
    NOT_RUN: lambda s: not (s["told_not_run"] and s["started"]),
    NO_LATE_START: lambda s: not s["late_start"],
}

ECHO = "echo of a link"
FENCE = "fencing token"
SETTLED = "takeover waits for earlier runs"
ABANDONED = "wait for a lost owner's leases"
UNKNOWN_FATE = "unanswered start is settled"
LOST_ENTRY = "runs of a lost entry are stopped, or their leases end"
LEASE_LIMIT = "leases beside runs of a lost entry end"
INHERITED = "lease limits are passed on to the next owner"
COMMITTED = "no refusal after a start"
GATE = "owners start nothing in an evacuated zone"
SAFEGUARDS = {
    ECHO: ONE_RUN,
    FENCE: ONE_RUN,
    SETTLED: ONE_RUN,
    ABANDONED: ONE_RUN,
    UNKNOWN_FATE: ONE_RUN,
    LOST_ENTRY: ONE_RUN,
    LEASE_LIMIT: ONE_RUN,
    INHERITED: ONE_RUN,
    COMMITTED: NOT_RUN,
    GATE: NO_LATE_START,
}


class State(NamedTuple):
    """A series of faults and what came of it."""

    faults: tuple = ()
    two_runs: bool = False
    told_not_run: bool = False
    started: bool = False
    late_start: bool = False


class SettledOwner(CellOwner):
    """Owner that takes an earlier owner's runs for known at once."""

    def earlier_runs_resolved(self, offer, now):
        """Return that every run is known."""
        return True


class UngatedOwner(CellOwner):
    """Owner that starts tasks whether or not its zone is evacuated."""

    def may_start(self):
        """Return that tasks may start."""
        return True


@dataclasses.dataclass(frozen=True)
class HastyLimits(CellLimits):
    """Limits without the time in which a lost owner's runs may go on."""

    def run_end_after_link_loss_s(self):
        """Return the silence of a link alone."""
        return self.link_timeout_s


@dataclasses.dataclass(frozen=True)
class UnlimitedLeases(CellLimits):
    """Limits under which the leases beside runs of a lost entry are renewed."""

    def lease_end_before_retry_s(self):
        """Return that leases never end."""
        return math.inf


class Mutant(World):
    """World without one safeguard.

    Parameters
    ==========

    without : name of the safeguard
    """

    def __init__(self, faults, without):
        self.without = without
        if without == SETTLED:
            self.owner_type = SettledOwner
        elif without == GATE:
            self.owner_type = UngatedOwner
        elif without == ABANDONED:
            self.limits = HastyLimits()
        elif without == LOST_ENTRY:
            self.limits = UnlimitedLeases(entry_reconnect_s=60.0)
        elif without == LEASE_LIMIT:
            self.limits = UnlimitedLeases()
        super().__init__(faults)
        for upstream in self.upstreams:
            upstream.fences = without != FENCE

    def silent(self, link, end):
        """Whether an end has no recent echo."""
        if self.without == ECHO and end is link.owner:
            return False
        return super().silent(link, end)

    def reported_limits(self):
        """Return the lease limits that the last owner of cell a has reported."""
        return LeaseLimits() if self.without == INHERITED else super().reported_limits()

    def read_outcome(self, order, outcome):
        """Return what an owner makes of the outcome of an order."""
        lost = isinstance(order, StartOrder) and isinstance(outcome, NoAnswer)
        if self.without == UNKNOWN_FATE and lost:
            return Rejected(RejectReason.NO_CAPACITY)
        return outcome

    def answer(self, entry, outcome):
        """Give the caller its answer."""
        if self.without == COMMITTED and isinstance(outcome, Interrupted):
            outcome = Refused(outcome.reason, 1.0)
        super().answer(entry, outcome)


def play(faults, without=None) -> State:
    """Play a series of faults and return the state that it leads to."""
    world = World(faults) if without is None else Mutant(faults, without)
    world.run()
    return State(
        faults,
        world.two_runs,
        world.told_not_run,
        world.started,
        world.late_start,
    )


def transitions(without, steps, state):
    """Return the states with one more fault."""
    if len(state.faults) == FAULTS:
        return []
    first = state.faults[-1][0] if state.faults else 0
    return [
        (f"{kind} at step {step}", play((*state.faults, (step, kind)), without))
        for step in steps
        if step >= first
        for kind in KINDS
    ]


def specification(steps=AT_STEPS) -> Specification:
    """Return the specification with faults at some steps."""

    def build(without):
        step = functools.partial(transitions, without, steps)
        return machine("ownership of cells", play((), without), step)

    bounds = (
        f"1 job of 1 task, 2 cells, 2 entries, up to {FAULTS} faults of "
        f"{len(KINDS)} kinds at steps {', '.join(map(str, steps))} of 0.1 s"
    )
    return Specification("ownership of cells", bounds, PROMISES, build, SAFEGUARDS)


def main() -> int:
    """Check the specification and its mutants; 0 when all is as it should be."""
    return 0 if run(specification()) else 1


if __name__ == "__main__":
    sys.exit(main())
