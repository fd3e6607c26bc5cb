"""Guard (circuit breaker) of each upstream.

Explanation
===========

A guard trips when tasks of two or more jobs failed, the ratio of failures is high,
and it is significantly above that of the service's other upstreams. Jobs that fail
everywhere raise the ratio of all upstreams and trip no guard.
"""

import dataclasses
import enum
import math

from carobramp_schema.generated.ticket import GuardSettings

MIN_JOBS = 2
# With 3.5 standard deviations, 30% of jobs that fail anywhere tripped two guards of
# good upstreams in 18,000 simulated tasks.
SIGNIFICANCE = 4.5
# Chance below which an unbroken run of failures trips a guard, whatever succeeded
# earlier in the window: an upstream that dies had served many tasks well.
RUN_CHANCE = 1e-5
# Probability below which consecutive failures are not put down to chance.
SUSPICION_CHANCE = 0.01
# A suspected upstream gets nothing for this long, so that it gets less than 1% of
# the tasks in the two seconds after its first failures.
SUSPICION_S = 2.0
# Tasks elsewhere in the window without which nothing is known of the usual ratio.
MIN_ELSEWHERE = 20
WINDOW_PARTS = 2
# Standard deviations by which the others' ratio may be higher than it was seen.
RATIO_MARGIN = 1.5


NO_JOBS: frozenset[str] = frozenset()


class GuardState(enum.StrEnum):
    """State of a guard."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


@dataclasses.dataclass(slots=True)
class WindowCounts:
    """Tasks and failures of the last window, in two rotating halves.

    The halves are immutable, so that upstreams without failures share the empty
    ones; sets and lists of their own took 0.8 KB for each upstream.
    """

    tasks: tuple[int, int] = (0, 0)
    failures: tuple[int, int] = (0, 0)
    jobs: tuple[frozenset, frozenset] = (NO_JOBS, NO_JOBS)
    turned_at: float = 0.0

    def add(self, failed, job, now, window_s):
        """Count one task."""
        self.turn(now, window_s)
        self.tasks = (self.tasks[0] + 1, self.tasks[1])
        if failed:
            self.failures = (self.failures[0] + 1, self.failures[1])
            if len(self.jobs[0]) < MIN_JOBS:
                self.jobs = (self.jobs[0] | {job}, self.jobs[1])

    def turn(self, now, window_s):
        """Drop what is older than the window."""
        halves = int((now - self.turned_at) * WINDOW_PARTS / window_s)
        for _ in range(min(halves, WINDOW_PARTS)):
            self.tasks = (0, self.tasks[0])
            self.failures = (0, self.failures[0])
            self.jobs = (NO_JOBS, self.jobs[0])
        if halves:
            self.turned_at = now

    def clear(self):
        """Forget everything."""
        self.tasks, self.failures = (0, 0), (0, 0)
        self.jobs = (NO_JOBS, NO_JOBS)


def ratio_without(total: WindowCounts, own: WindowCounts) -> float:
    """Return the smoothed failure ratio of the other upstreams.

    Without tasks elsewhere it is 20%, so that few failures prove nothing at first.
    """
    tasks = max(0, sum(total.tasks) - sum(own.tasks))
    failures = max(0, sum(total.failures) - sum(own.failures))
    return min(1.0, (failures + 1) / (tasks + 5))


def high_ratio_without(total: WindowCounts, own: WindowCounts) -> float:
    """Return an upper estimate of the failure ratio of the other upstreams.

    With the plain ratio, 5 failures among 6 tasks tripped a guard while only 11 tasks
    elsewhere, 1 of them failed, told of the usual ratio of 33%.
    """
    tasks = max(0, sum(total.tasks) - sum(own.tasks))
    failures = max(0, sum(total.failures) - sum(own.failures))
    margin = RATIO_MARGIN * math.sqrt(failures + 1)
    return min(1.0, (failures + 1 + margin) / (tasks + 5))


class Guard:
    """Guard of one upstream.

    Examples
    ========

    >>> guard, total = Guard(), WindowCounts()
    >>> settings = GuardSettings()
    >>> for task in range(50):
    ...     total.add(False, f"other-{task}", 9.0, 10.0)
    >>> for task in range(3):
    ...     total.add(True, f"job-{task}", 10.0, 10.0)
    ...     tripped = guard.record(True, f"job-{task}", 9.9, 10.0, settings, total)
    >>> tripped, guard.state(10.5), guard.state(11.5)
    (True, <GuardState.OPEN: 'open'>, <GuardState.PROBING: 'probing'>)
    """

    __slots__ = (
        "counts",
        "opened",
        "open_until",
        "open_s",
        "failed_in_a_row",
        "jobs_in_a_row",
        "failed_at",
    )

    def __init__(self):
        self.counts = WindowCounts()
        self.opened = False
        self.open_until = -math.inf
        self.open_s = 0.0
        self.failed_in_a_row = 0
        self.jobs_in_a_row: frozenset[str] = NO_JOBS
        self.failed_at = -math.inf

    def state(self, now) -> GuardState:
        """Return the state at `now`."""
        if not self.opened:
            return GuardState.CLOSED
        return GuardState.OPEN if now < self.open_until else GuardState.PROBING

    def suspected(self, total: WindowCounts) -> bool:
        """Whether the last outcomes call for caution: one task at a time."""
        if not self.failed_in_a_row:
            return False
        chance = ratio_without(total, self.counts)
        return chance**self.failed_in_a_row < SUSPICION_CHANCE

    def avoided(self, now, total: WindowCounts) -> bool:
        """Whether a suspected upstream failed so recently that it gets nothing."""
        if self.opened or now >= self.failed_at + SUSPICION_S:
            return False
        elsewhere = sum(total.tasks) - sum(self.counts.tasks)
        return elsewhere >= MIN_ELSEWHERE and self.suspected(total)

    def record(
        self, failed, job, started, now, settings: GuardSettings, total: WindowCounts
    ) -> bool:
        """Take the outcome of a task; return whether the guard tripped.

        `total` counts all tasks of the service, with this one.
        """
        self.counts.add(failed, job, now, settings.window_ms / 1000)
        self.count_run(failed, job)
        if failed and settings.enabled:
            self.failed_at = now
        if self.opened:
            return self.record_probe(failed, started, now, settings)
        if not settings.enabled or not failed or not self.too_many(settings, total):
            return False
        self.trip(now, settings)
        return True

    def count_run(self, failed, job):
        """Count failures without a success between them."""
        if not failed:
            self.failed_in_a_row = 0
            self.jobs_in_a_row = NO_JOBS
            return
        self.failed_in_a_row += 1
        if len(self.jobs_in_a_row) < MIN_JOBS:
            self.jobs_in_a_row |= {job}

    def record_probe(self, failed, started, now, settings):
        """Take the outcome of a task while open; only probes decide."""
        if started < self.open_until:
            return False
        if failed and settings.enabled:
            self.trip(now, settings)
            return True
        self.opened = False
        self.counts.clear()
        return False

    def too_many(self, settings, total):
        """Whether the failures in the window justify a trip."""
        tasks, failures = sum(self.counts.tasks), sum(self.counts.failures)
        if failures < settings.min_failures:
            return False
        usual = high_ratio_without(total, self.counts)
        if len(self.jobs_in_a_row) >= MIN_JOBS:
            run = self.failed_in_a_row
            if run >= settings.min_failures and usual**run < RUN_CHANCE:
                return True
        if len(self.counts.jobs[0] | self.counts.jobs[1]) < MIN_JOBS:
            return False
        if failures * 100 < settings.failure_percent * tasks:
            return False
        deviation = math.sqrt(tasks * usual * (1 - usual))
        return failures > tasks * usual + SIGNIFICANCE * deviation

    def trip(self, now, settings):
        """Open; the open time doubles unless the last trip was long ago."""
        recent = now < self.open_until + 2 * self.open_s + settings.window_ms / 1000
        doubled = self.open_s * 2 if recent else 0.0
        low, high = settings.open_min_ms / 1000, settings.open_max_ms / 1000
        self.open_s = min(high, max(low, doubled))
        self.open_until = now + self.open_s
        self.opened = True
        self.counts.clear()
