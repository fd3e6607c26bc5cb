"""What an entry keeps of an open job, and of each cell to whose owner it has a link."""

import dataclasses
import math

from carobramp_core.cells.cell_rooms import CellRooms
from carobramp_core.cells.messages import Job, NoResultReason, Placement

# Fraction of the objective for which a job waits for a link to an owner. A later
# refusal would leave the caller too little time to send the job elsewhere.
OWNER_WAIT_FRACTION = 0.25


@dataclasses.dataclass(slots=True)
class LostTasks:
    """Tasks whose link to the owner has closed; their runs are over at `over_at`."""

    cell: str
    indexes: set[int]
    over_at: float


@dataclasses.dataclass(slots=True)
class OpenJob:
    """A job whose caller waits for the answer.

    Parameters
    ==========

    offered_by_cell : indexes of the tasks that are offered to each cell and have
        neither ended nor been returned
    tried_cells : cells that returned tasks in the current round of offers
    unsuitable_cells : cells that could not run a task even if they were idle, with
        their reasons
    avoid : upstreams on which tasks of the job have failed
    done_indexes : indexes of the tasks with a result
    failure_counts : number of failed runs by index of the task
    started : whether a task may have started
    unoffered_indexes : indexes of the tasks that wait for a link to an owner
    placements : where each task was last started, while its run may be active
    offer_counts : number of offers of each task in the current round, by index
    overload_delays : cells that returned tasks as overloaded in the current round,
        with the time in seconds until they expect free capacity
    """

    job: Job
    received_at: float
    offered_by_cell: dict[str, set[int]] = dataclasses.field(default_factory=dict)
    tried_cells: set[str] = dataclasses.field(default_factory=set)
    unsuitable_cells: dict[str, NoResultReason] = dataclasses.field(
        default_factory=dict
    )
    avoid: tuple[str, ...] = ()
    lost_tasks: list[LostTasks] = dataclasses.field(default_factory=list)
    done_indexes: set[int] = dataclasses.field(default_factory=set)
    failure_counts: dict[int, int] = dataclasses.field(default_factory=dict)
    started: bool = False
    unoffered_indexes: set[int] = dataclasses.field(default_factory=set)
    placements: dict[int, Placement] = dataclasses.field(default_factory=dict)
    offer_counts: dict[int, int] = dataclasses.field(default_factory=dict)
    overload_delays: dict[str, float] = dataclasses.field(default_factory=dict)

    def owner_wait_s(self):
        """Return the age up to which the job waits for a link to an owner."""
        objective_s = self.job.objective_s(self.job.estimate_ms)
        return OWNER_WAIT_FRACTION * objective_s

    def placements_of(self, indexes) -> tuple[Placement, ...]:
        """Return where tasks were last started, as far as known."""
        return tuple(self.placements[i] for i in indexes if i in self.placements)

    def committed(self):
        """Return whether a task may have run or may still start."""
        return self.started or any(self.offered_by_cell.values())

    def forget_tried_cells(self):
        """Start a new round of offers."""
        self.tried_cells.clear()
        self.unsuitable_cells.clear()
        self.offer_counts.clear()
        self.overload_delays.clear()

    def count_offer(self, indexes):
        """Count one offer of each of the tasks `indexes`."""
        for index in indexes:
            self.offer_counts[index] = self.offer_counts.get(index, 0) + 1

    def offer_count(self, indexes) -> int:
        """Return how often the most often offered of the tasks was offered."""
        return max((self.offer_counts.get(index, 0) for index in indexes), default=0)


@dataclasses.dataclass(slots=True)
class CellView:
    """What an entry knows of a cell to whose owner it has a link.

    The owner has said whether the zone is `evacuated`, as of a store version.
    """

    token: int
    free_cpu: int = 0
    total_cpu: int = 0
    waiting_s: float = 0.0
    reported_at: float = 0.0
    evacuated: bool = False
    evacuations_version: int = 0
    rooms: CellRooms = dataclasses.field(default_factory=CellRooms)

    def may_have_capacity(self, job: Job):
        """Return whether a task fits by the last report, or no report has come yet."""
        return self.free_cpu >= job.cpu or not self.total_cpu

    def backlog_per_core(self):
        """Return the waiting work per core; only for comparison between cells.

        Infinite while no upstream is usable.
        """
        return self.waiting_s / self.total_cpu if self.total_cpu else math.inf
