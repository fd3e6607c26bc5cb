"""Which cells get the tasks of a job, by the end that the reports let expect.

Explanation
===========

Answers demand that differs between zones, and cells whose upstreams differ in speed. In
order: the home cell if it can start all tasks; another cell that can; several cells
that can together; otherwise the cell at which the last task is expected to end first.

Every entry sees the same reports, so that all would choose the same cell. Instead each
compares two cells: two that are picked in proportion to their room, or for a wait the
home cell and one that is picked at random [1]_.

References
==========

.. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
   Transactions on Parallel and Distributed Systems 12(10), 2001
"""

import dataclasses
import enum
import random
from collections.abc import Sequence

# Fraction of the run time within which two expected ends count as equal. Declared run
# times are off by 40%, so smaller differences say nothing, and every entry would follow
# them to the same cell.
END_TOLERANCE = 0.25


class OfferKind(enum.StrEnum):
    """Why a cell gets an offer.

    HOME and OTHER: the cell can start all tasks. SPLIT: several cells can together.
    WAIT: some tasks will wait. UNKNOWN: no cell has reported recently. RETRY: another
    cell has returned the tasks as overloaded.
    """

    HOME = "home"
    OTHER = "other"
    SPLIT = "split"
    WAIT = "wait"
    UNKNOWN = "unknown"
    RETRY = "retry"


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Tasks for which cells are chosen.

    Parameters
    ==========

    tasks : number of tasks
    run_s : run time of a task at speed 1
    left_s : time until the objective of the job
    """

    tasks: int
    run_s: float
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A cell that could run the tasks.

    Parameters
    ==========

    startable : number of tasks that can start now; below 0 if more were offered since
        the report than it said could start
    wait_s : time until the next task could start
    speed : relative speed of the upstreams with room
    places : number of such tasks that run at a time in the whole cell
    round_trip_s : time in which the owner answers an offer
    tried : whether the cell has returned tasks of the job
    """

    cell: str
    startable: int
    wait_s: float = 0.0
    speed: float = 1.0
    places: int = 1
    round_trip_s: float = 0.0
    home: bool = False
    tried: bool = False

    def end_s(self, demand: Demand) -> float:
        """Return the time until the last of the tasks is expected to end here."""
        run_s = demand.run_s / self.speed
        behind = max(0, demand.tasks - self.startable)
        return self.round_trip_s + self.wait_s + behind / self.places * run_s + run_s


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Number of tasks that a cell gets, and why."""

    cell: str
    tasks: int
    kind: OfferKind


def choose_cells(
    candidates: Sequence[Candidate], demand: Demand, rng: random.Random
) -> list[Share]:
    """Return the shares of the cells; they contain all tasks.

    `candidates` must not be empty. Cells that were tried get tasks only to wait. Cells
    that are expected to meet the objective go before the others: an owner does not
    start a task on a slow upstream if a fast one would still meet the objective.

    Examples
    ========

    >>> home = Candidate("breda", startable=3, home=True)
    >>> other = Candidate("delft", startable=9)
    >>> rng = random.Random(1)
    >>> [str(s.kind) for s in choose_cells([home, other], Demand(2, 0.1, 0.2), rng)]
    ['home']
    >>> [s.cell for s in choose_cells([home, other], Demand(8, 0.1, 0.2), rng)]
    ['delft']
    >>> [s.tasks for s in choose_cells([home, other], Demand(12, 0.1, 0.2), rng)]
    [3, 9]
    """
    untried = [item for item in candidates if not item.tried]
    able = [item for item in untried if item.startable >= demand.tasks]
    if able:
        chosen = choose_able(in_time(able, demand) or able, demand, rng)
        kind = OfferKind.HOME if chosen.home else OfferKind.OTHER
        return [Share(chosen.cell, demand.tasks, kind)]
    for group in (in_time(untried, demand), untried):
        if sum(max(0, item.startable) for item in group) >= demand.tasks:
            return split(group, demand, rng)
    chosen = choose_earliest(candidates, demand, rng)
    return [Share(chosen.cell, demand.tasks, OfferKind.WAIT)]


def in_time(candidates, demand: Demand) -> list[Candidate]:
    """Return the cells whose upstreams with room meet the objective of a task."""
    return [
        item
        for item in candidates
        if item.round_trip_s + demand.run_s / item.speed <= demand.left_s
    ]


def choose_able(candidates, demand: Demand, rng: random.Random) -> Candidate:
    """Return the home cell, or the better of two that are picked by their room."""
    for item in candidates:
        if item.home:
            return item
    first = pick(candidates, rng)
    others = [item for item in candidates if item is not first]
    return better(first, pick(others, rng), demand) if others else first


def better(first: Candidate, second: Candidate, demand: Demand) -> Candidate:
    """Return the second cell if the tasks end earlier there by enough, or the first."""
    gain_s = first.end_s(demand) - second.end_s(demand)
    return second if gain_s > END_TOLERANCE * demand.run_s else first


def pick(candidates, rng: random.Random) -> Candidate:
    """Return one cell, at random in proportion to what it can start."""
    weights = [item.startable for item in candidates]
    return rng.choices(candidates, weights)[0]


def split(candidates, demand: Demand, rng: random.Random) -> list[Share]:
    """Return shares that can all start now, the home cell's first."""
    remaining = [item for item in candidates if item.startable > 0]
    shares: list[Share] = []
    tasks = demand.tasks
    while tasks:
        home = next((item for item in remaining if item.home), None)
        chosen = home or pick(remaining, rng)
        count = min(tasks, chosen.startable)
        shares.append(Share(chosen.cell, count, OfferKind.SPLIT))
        remaining.remove(chosen)
        tasks -= count
    return shares


def choose_earliest(candidates, demand: Demand, rng: random.Random) -> Candidate:
    """Return where the last task ends first: at home, or at another cell.

    The other cell is picked at random, and without a home cell both are. The earliest
    of all cells would be the same for every entry until the next reports, and all
    would send their jobs there.
    """
    home = [item for item in candidates if item.home]
    others = [item for item in candidates if not item.home]
    pair = home + rng.sample(others, min(len(others), 2 - len(home)))
    return better(pair[0], pair[-1], demand)
