"""Waiting tasks of a service and the order in which they start.

Explanation
===========

A service has a queue for each class. Across classes, the class whose oldest job has
the lowest receipt time plus `max_wait` goes first. Within a class, teams share by
weight (start-time fair queueing). Within a team, the job goes first that would
finish first if it had the whole service to itself from its receipt on. Small jobs
thus overtake a large one, but only those received while it would still be running.
"""

import heapq
import itertools
import math

from carobramp_core.dispatch.jobs import JobState

SEQUENCE = itertools.count()
# Number of heap entries from which jobs without waiting tasks are removed.
COMPACT_FROM = 64


class TeamQueue:
    """Waiting jobs of one team in one class.

    Attributes
    ==========

    jobs_by_finish : heap of (expected finish, sequence number, job)
    jobs_by_age : heap of (receipt time, sequence number, job)
    finish_tag : virtual time at which the team's last started task finishes
    active : whether the team is in the heap of its class
    compact_at : number of heap entries at which the next compaction is due
    """

    __slots__ = (
        "usage",
        "jobs_by_finish",
        "jobs_by_age",
        "finish_tag",
        "active",
        "compact_at",
    )

    def __init__(self, usage):
        self.usage = usage
        self.jobs_by_finish: list[tuple[float, int, JobState]] = []
        self.jobs_by_age: list[tuple[float, int, JobState]] = []
        self.finish_tag = 0.0
        self.active = False
        self.compact_at = COMPACT_FROM

    def add(self, job: JobState):
        """Push a job with waiting tasks onto both heaps."""
        job.queued = True
        key = job.job.received_at + job.waiting_ms / 1000 / job.service_rate
        heapq.heappush(self.jobs_by_finish, (key, next(SEQUENCE), job))
        heapq.heappush(self.jobs_by_age, (job.job.received_at, next(SEQUENCE), job))
        if len(self.jobs_by_finish) + len(self.jobs_by_age) >= self.compact_at:
            self.compact()

    def compact(self):
        """Remove jobs without waiting tasks from both heaps.

        Other methods remove them only at the top, where one old job may stay for long.
        """
        for _, _, job in self.jobs_by_finish:
            job.queued = bool(job.waiting)
        self.jobs_by_finish = [
            entry for entry in self.jobs_by_finish if entry[2].waiting
        ]
        self.jobs_by_age = [entry for entry in self.jobs_by_age if entry[2].waiting]
        heapq.heapify(self.jobs_by_finish)
        heapq.heapify(self.jobs_by_age)
        size = len(self.jobs_by_finish) + len(self.jobs_by_age)
        self.compact_at = max(COMPACT_FROM, 2 * size)

    def oldest_received_at(self):
        """Return the receipt time of the oldest waiting job; infinite if none."""
        while self.jobs_by_age:
            if self.jobs_by_age[0][2].waiting:
                return self.jobs_by_age[0][0]
            heapq.heappop(self.jobs_by_age)
        return math.inf

    def first_job(self) -> JobState | None:
        """Return the first job with waiting tasks, or None."""
        while self.jobs_by_finish:
            job = self.jobs_by_finish[0][2]
            if job.waiting and not job.ended:
                return job
            heapq.heappop(self.jobs_by_finish)
            job.queued = False
        return None


class ClassQueue:
    """Waiting tasks of one class.

    Attributes
    ==========

    max_wait_s : added to the receipt time of the oldest job to rank the class
    reserve_percent : percentage of slots that the class keeps free for other classes
    active : heap of (start tag, sequence number, team) of the teams with jobs
    blocked_teams : teams with jobs that have reached their quota, by name
    virtual_time : highest start tag of a started task
    """

    def __init__(self, service, name, max_wait_s, reserve_percent):
        self.service = service
        self.name = name
        self.max_wait_s = max_wait_s
        self.reserve_percent = reserve_percent
        self.teams: dict[str, TeamQueue] = {}
        self.active: list[tuple[float, int, TeamQueue]] = []
        self.blocked_teams: dict[str, TeamQueue] = {}
        self.virtual_time = 0.0
        self.waiting_tasks = 0
        self.waiting_work_ms = 0.0

    def add(self, job: JobState, rate):
        """Add a job; `rate` is the work in ms per ms that this VM can place."""
        if job.team.name not in self.teams:
            self.teams[job.team.name] = TeamQueue(job.team)
        job.service_rate = max(rate, 1.0)
        self.adjust_counts(job, len(job.waiting), job.waiting_ms)
        self.enqueue(job)

    def enqueue(self, job: JobState):
        """Put a job with waiting tasks into its team's queue and activate the team."""
        team = self.teams[job.team.name]
        if not job.queued:
            team.add(job)
        self.activate(team)

    def requeue_task(self, job: JobState, index):
        """Queue a task again that did not start; it goes first within its job."""
        job.waiting.append(index)
        job.waiting_ms += job.expected_ms[index]
        self.adjust_counts(job, 1, job.expected_ms[index])
        self.enqueue(job)

    def adjust_counts(self, job, tasks, work_ms):
        """Add to the counts of waiting tasks and work of class and team."""
        self.waiting_tasks += tasks
        self.waiting_work_ms += work_ms
        job.team.waiting += tasks
        job.team.waiting_work_ms += work_ms

    def activate(self, team: TeamQueue):
        """Add a team to the heap of active teams, unless its quota blocks it."""
        if team.active or team.usage.name in self.blocked_teams:
            return
        team.active = True
        tag = max(self.virtual_time, team.finish_tag)
        heapq.heappush(self.active, (tag, next(SEQUENCE), team))

    def unblock_team(self, team_name):
        """Activate a team again that had reached its quota."""
        team = self.blocked_teams.pop(team_name, None)
        if team is not None:
            self.activate(team)

    def earliest_due_at(self):
        """Return the lowest receipt time plus `max_wait`; infinite when empty.

        Jobs of teams at their quota do not count: their age must not give precedence
        to younger jobs of other teams.
        """
        oldest = min(
            (team.oldest_received_at() for _, _, team in self.active), default=math.inf
        )
        return oldest + self.max_wait_s

    def peek(self) -> JobState | None:
        """Return the next job or None; teams at their quota become blocked."""
        while self.active:
            team = self.active[0][2]
            job = team.first_job()
            if job is not None and team.usage.has_capacity():
                return job
            heapq.heappop(self.active)
            team.active = False
            if job is not None:
                self.blocked_teams[team.usage.name] = team
                team.usage.blocked_queues.append(self)
        return None

    def pop_task(self, job: JobState) -> int:
        """Remove the next task of the job that `peek` returned; return its index."""
        index = job.waiting.pop()
        work_ms = job.expected_ms[index]
        job.waiting_ms -= work_ms
        self.adjust_counts(job, -1, -work_ms)
        # `peek` has left the team first in `active` and the job first in its team.
        # The first key only decreases, so that the heap stays valid without a sift.
        tag, _, team = self.active[0]
        key, sequence, _ = team.jobs_by_finish[0]
        team.jobs_by_finish[0] = (
            key - work_ms / 1000 / job.service_rate,
            sequence,
            job,
        )
        self.virtual_time = max(self.virtual_time, tag)
        team.finish_tag = tag + work_ms / team.usage.weight
        entry = (team.finish_tag, next(SEQUENCE), team)
        heapq.heapreplace(self.active, entry)
        return index

    def share_of(self, usage):
        """Return the part of the service that a team gets among the active teams."""
        others = sum(
            team.usage.weight for _, _, team in self.active if team.usage is not usage
        )
        return usage.weight / (usage.weight + others)

    def remove_job(self, job: JobState):
        """Remove the waiting tasks of a job that ended from the counts."""
        if job.waiting:
            self.adjust_counts(job, -len(job.waiting), -job.waiting_ms)
            job.waiting.clear()
            job.waiting_ms = 0.0


class ServiceQueue:
    """The class queues of one service, by class name."""

    def __init__(self, service):
        self.service = service
        self.classes: dict[str, ClassQueue] = {}

    def set_classes(self, classes):
        """Set the classes in force; queues of removed classes get no new jobs.

        A class keeps free the reserved slots of all classes with a lower `max_wait_ms`.
        """
        for item in classes:
            reserve = sum(
                other.reserved_percent
                for other in classes
                if other.max_wait_ms < item.max_wait_ms
            )
            queue = self.classes.get(item.name)
            if queue is None:
                queue = ClassQueue(self.service, item.name, 0.0, 0)
                self.classes[item.name] = queue
            queue.max_wait_s = item.max_wait_ms / 1000
            queue.reserve_percent = min(90, reserve)

    def next_class(self, blocked) -> ClassQueue | None:
        """Return the class to start from next among those not `blocked`, or None."""
        best, best_key = None, math.inf
        for queue in self.classes.values():
            if queue.waiting_tasks and queue.name not in blocked:
                key = queue.earliest_due_at()
                if key < best_key:
                    best, best_key = queue, key
        return best

    def waiting_tasks(self):
        """Return the number of waiting tasks."""
        return sum(queue.waiting_tasks for queue in self.classes.values())

    def work_ms_ahead(self, queue: ClassQueue):
        """Return the work in ms that waits in a class and in those ahead of it."""
        return sum(
            other.waiting_work_ms
            for other in self.classes.values()
            if other.max_wait_s <= queue.max_wait_s
        )

    def tasks_ahead(self, queue: ClassQueue):
        """Return the tasks that wait in a class and in those ahead of it."""
        return sum(
            other.waiting_tasks
            for other in self.classes.values()
            if other.max_wait_s <= queue.max_wait_s
        )
