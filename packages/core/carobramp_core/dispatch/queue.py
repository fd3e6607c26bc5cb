"""Which tasks wait, and in which order.

Explanation
===========

A service has a queue for each class. Across classes, the class whose oldest job has
the lowest receipt time plus `max_wait` goes first. Within a class, teams share by
weight (start-time fair queueing). Within a team, the job goes first that would
finish first if it had the service to itself from its receipt on; a large job
therefore lets small ones pass, but only for as long as it itself would take.
"""

import heapq
import itertools
import math

from carobramp_core.dispatch.jobs import JobState

SEQUENCE = itertools.count()
# Entries from which a heap is cleared of jobs without waiting tasks.
COMPACT_FROM = 64


class TeamQueue:
    """Waiting jobs of one team in one class."""

    __slots__ = ("use", "jobs", "ages", "finish_tag", "active", "compact_at")

    def __init__(self, use):
        self.use = use
        self.jobs: list[tuple[float, int, JobState]] = []
        self.ages: list[tuple[float, int, JobState]] = []
        self.finish_tag = 0.0
        self.active = False
        self.compact_at = COMPACT_FROM

    def add(self, job: JobState):
        """Put a job with waiting tasks into the heaps."""
        job.queued = True
        key = job.job.received_at + job.waiting_ms / 1000 / job.rate
        heapq.heappush(self.jobs, (key, next(SEQUENCE), job))
        heapq.heappush(self.ages, (job.job.received_at, next(SEQUENCE), job))
        if len(self.jobs) + len(self.ages) >= self.compact_at:
            self.compact()

    def compact(self):
        """Drop jobs without waiting tasks.

        The heaps drop them only at their top, where one old job may stay for long.
        """
        for _, _, job in self.jobs:
            job.queued = bool(job.waiting)
        self.jobs = [entry for entry in self.jobs if entry[2].waiting]
        self.ages = [entry for entry in self.ages if entry[2].waiting]
        heapq.heapify(self.jobs)
        heapq.heapify(self.ages)
        size = len(self.jobs) + len(self.ages)
        self.compact_at = max(COMPACT_FROM, 2 * size)

    def oldest(self):
        """Return the receipt time of the oldest waiting job; infinite if none."""
        while self.ages:
            if self.ages[0][2].waiting:
                return self.ages[0][0]
            heapq.heappop(self.ages)
        return math.inf

    def head(self) -> JobState | None:
        """Return the first job with waiting tasks, or None."""
        while self.jobs:
            job = self.jobs[0][2]
            if job.waiting and not job.ended:
                return job
            heapq.heappop(self.jobs)
            job.queued = False
        return None


class ClassQueue:
    """Waiting tasks of one class."""

    def __init__(self, service, name, max_wait_s, reserve_percent):
        self.service = service
        self.name = name
        self.max_wait_s = max_wait_s
        self.reserve_percent = reserve_percent
        self.teams: dict[str, TeamQueue] = {}
        self.active: list[tuple[float, int, TeamQueue]] = []
        self.parked: dict[str, TeamQueue] = {}
        self.virtual = 0.0
        self.tasks = 0
        self.work_ms = 0.0

    def add(self, job: JobState, rate):
        """Add a job; `rate` is the speed of the whole service."""
        if job.team.name not in self.teams:
            self.teams[job.team.name] = TeamQueue(job.team)
        job.rate = max(rate, 1.0)
        self.count(job, len(job.waiting), job.waiting_ms)
        self.enter(job)

    def enter(self, job: JobState):
        """Put a job with waiting tasks into the order."""
        team = self.teams[job.team.name]
        if not job.queued:
            team.add(job)
        self.activate(team)

    def put_back(self, job: JobState, index):
        """Add a task that did not start; it goes first within its job."""
        job.waiting.append(index)
        job.waiting_ms += job.expected_ms[index]
        self.count(job, 1, job.expected_ms[index])
        self.enter(job)

    def count(self, job, tasks, work_ms):
        """Change the counts of waiting tasks."""
        self.tasks += tasks
        self.work_ms += work_ms
        job.team.waiting += tasks
        job.team.waiting_work_ms += work_ms

    def activate(self, team: TeamQueue):
        """Let a team take part, unless it is parked at its quota."""
        if team.active or team.use.name in self.parked:
            return
        team.active = True
        tag = max(self.virtual, team.finish_tag)
        heapq.heappush(self.active, (tag, next(SEQUENCE), team))

    def release(self, team_name):
        """Let a parked team take part again."""
        team = self.parked.pop(team_name, None)
        if team is not None:
            self.activate(team)

    def oldest_key(self):
        """Return the lowest receipt time plus `max_wait`; infinite when empty.

        Jobs of parked teams do not count: their age must not give precedence to
        younger jobs of other teams.
        """
        oldest = min((team.oldest() for _, _, team in self.active), default=math.inf)
        return oldest + self.max_wait_s

    def peek(self) -> JobState | None:
        """Return the next job; teams without room are parked."""
        while self.active:
            team = self.active[0][2]
            job = team.head()
            if job is not None and team.use.has_room():
                return job
            heapq.heappop(self.active)
            team.active = False
            if job is not None:
                self.parked[team.use.name] = team
                team.use.parked_in.append(self)
        return None

    def take(self, job: JobState) -> int:
        """Remove the next task of the job that `peek` returned."""
        index = job.waiting.pop()
        work_ms = job.expected_ms[index]
        job.waiting_ms -= work_ms
        self.count(job, -1, -work_ms)
        tag, _, team = self.active[0]
        key, sequence, _ = team.jobs[0]
        team.jobs[0] = (key - work_ms / 1000 / job.rate, sequence, job)
        self.virtual = max(self.virtual, tag)
        team.finish_tag = tag + work_ms / team.use.weight
        entry = (team.finish_tag, next(SEQUENCE), team)
        heapq.heapreplace(self.active, entry)
        return index

    def share_of(self, use):
        """Return the share of a team among the teams that take part."""
        others = sum(
            team.use.weight for _, _, team in self.active if team.use is not use
        )
        return use.weight / (use.weight + others)

    def drop(self, job: JobState):
        """Remove the waiting tasks of a job that ended."""
        if job.waiting:
            self.count(job, -len(job.waiting), -job.waiting_ms)
            job.waiting.clear()
            job.waiting_ms = 0.0


class ServiceQueue:
    """Queues of all classes of one service."""

    def __init__(self, service):
        self.service = service
        self.classes: dict[str, ClassQueue] = {}

    def set_classes(self, classes):
        """Take the classes of the service in force; others only run empty."""
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
        """Return the class that goes first among those not blocked."""
        best, best_key = None, math.inf
        for queue in self.classes.values():
            if queue.tasks and queue.name not in blocked:
                key = queue.oldest_key()
                if key < best_key:
                    best, best_key = queue, key
        return best

    def tasks(self):
        """Return the number of waiting tasks."""
        return sum(queue.tasks for queue in self.classes.values())

    def work_before(self, queue: ClassQueue):
        """Return the waiting work in ms that goes before a new job of a class."""
        return sum(
            other.work_ms
            for other in self.classes.values()
            if other.max_wait_s <= queue.max_wait_s
        )

    def tasks_before(self, queue: ClassQueue):
        """Return the tasks that wait in a class and in those that go first."""
        return sum(
            other.tasks
            for other in self.classes.values()
            if other.max_wait_s <= queue.max_wait_s
        )
