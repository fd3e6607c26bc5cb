"""What an entry knows of the room in a cell: the last report and its own offers since.

Explanation
===========

A report is up to a heartbeat old when an entry decides by it, and an entry makes
several choices meanwhile. Without its own offers it would send all of them to the same
places.
"""

import dataclasses
import math

from carobramp_core.cells.cell_choice import Candidate
from carobramp_core.cells.messages import ROOM_WAIT_MAX_S, Job, ServiceRoom

# Round trip of an offer while none was answered.
ROUND_TRIP_S = 0.005
# Weight of the newest round trip in the mean.
ROUND_TRIP_WEIGHT = 0.2
# Age from which an offer without an answer no longer counts: its job has ended.
ANSWER_MAX_S = 1.0


@dataclasses.dataclass(slots=True)
class CellRooms:
    """Rooms of the last report of a cell, and the offers that it does not contain.

    Parameters
    ==========

    reported : whether the owner has sent a report
    offers : time, service and number of tasks of each offer since the report
    unanswered : time of the offers that must be answered at once, by job id
    """

    rooms: tuple[ServiceRoom, ...] = ()
    reported: bool = False
    round_trip_s: float = ROUND_TRIP_S
    offers: list[tuple[float, str, int]] = dataclasses.field(default_factory=list)
    unanswered: dict[str, float] = dataclasses.field(default_factory=dict)

    def record_report(self, rooms, now):
        """Record a report that arrives now; it contains what arrived before it."""
        self.rooms = rooms
        self.reported = True
        newest = now - self.round_trip_s
        self.offers = [offer for offer in self.offers if offer[0] > newest]
        oldest = now - ANSWER_MAX_S
        self.unanswered = {k: v for k, v in self.unanswered.items() if v > oldest}

    def record_offer(self, job: Job, tasks, may_wait, now):
        """Record an offer of `tasks` tasks; one that may wait gives no round trip."""
        self.offers.append((now, job.service, tasks))
        if not may_wait:
            self.unanswered[job.job_id] = now

    def record_answer(self, job_id, now):
        """Learn the round trip from the first answer to an offer."""
        sent_at = self.unanswered.pop(job_id, None)
        if sent_at is not None:
            difference_s = now - sent_at - self.round_trip_s
            self.round_trip_s += ROUND_TRIP_WEIGHT * difference_s

    def offered_tasks(self, service) -> int:
        """Return the number of tasks that the last report does not contain."""
        return sum(tasks for _, name, tasks in self.offers if name == service)

    def room_for(self, job: Job) -> ServiceRoom | None:
        """Return the reported room for tasks of a job, None without one.

        The smallest reported size that is not below that of the tasks counts. The room
        for larger tasks is scaled from that of the largest size.
        """
        rooms = [room for room in self.rooms if room.service == job.service]
        if not rooms:
            return None
        large = [room for room in rooms if room.task_cpu >= job.cpu]
        if large:
            return min(large, key=lambda room: room.task_cpu)
        largest = max(rooms, key=lambda room: room.task_cpu)
        startable = largest.startable * largest.task_cpu // job.cpu
        return dataclasses.replace(largest, task_cpu=job.cpu, startable=startable)


def candidate(view, cell, job: Job, now, home=False, tried=False) -> Candidate:
    """Return a cell as a candidate for tasks of a job, from what is known of it.

    `view` is the `CellView` of the cell. Without a room for the service, as in the
    report of an earlier version, the sum of free cores and the backlog count.
    """
    known: CellRooms = view.rooms
    room = known.room_for(job)
    if room is None:
        startable = view.free_cpu // max(1, job.cpu)
        backlog_s = min(view.backlog_per_core() * 1000, ROOM_WAIT_MAX_S)
        room = ServiceRoom(job.service, job.cpu, startable, backlog_s)
    age_s = max(0.0, now - view.reported_at)
    return Candidate(
        cell=cell,
        startable=room.startable - known.offered_tasks(job.service),
        wait_s=max(0.0, room.wait_s - age_s),
        speed=room.speed,
        places=max(1, math.floor(view.total_cpu / max(1, room.task_cpu))),
        round_trip_s=known.round_trip_s,
        home=home,
        tried=tried,
    )
