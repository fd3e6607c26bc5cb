"""Guard (circuit breaker) of each upstream.

Explanation
===========

A guard trips when tasks of two or more jobs failed, the failure ratio is high, and
it is significantly above that of the service's other upstreams. Jobs that fail at
every upstream raise the ratio of all of them and trip no guard.
"""

import dataclasses
import enum
import math

from carobramp_schema.generated.ticket import GuardSettings

MIN_JOBS = 2
# Standard deviations above the usual number of failures at which a guard trips. With
# 3.5 and 30% of jobs that fail at any upstream, two guards of healthy upstreams
# tripped in 18,000 simulated tasks.
TRIP_DEVIATIONS = 4.5
# Probability below which a run of consecutive failures trips a guard, regardless of
# earlier successes in the window: an upstream that has just crashed has many.
FAILURE_RUN_PROBABILITY = 1e-5
# Probability below which consecutive failures make an upstream suspected.
SUSPICION_PROBABILITY = 0.01
# Time after a failure in which a suspected upstream gets no tasks, so that it gets
# less than 1% of the tasks in the two seconds after its first failures.
SUSPICION_S = 2.0
# Tasks of other upstreams in the window from which the usual ratio is reliable.
MIN_TASKS_ELSEWHERE = 20
WINDOW_PARTS = 2
# Standard deviations added to the measured failures of the other upstreams.
RATIO_MARGIN_DEVIATIONS = 1.5


NO_JOBS: frozenset[str] = frozenset()


class GuardState(enum.StrEnum):
    """Closed: tasks pass; open: none pass; probing: one task at a time passes."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


@dataclasses.dataclass(slots=True)
class WindowCounts:
    """Tasks and failures of the last window, in two rotating halves.

    Each pair holds the current half first. The values are immutable, so that
    upstreams without failures share the empty set; sets and lists of their own took
    0.8 KB for each upstream. At most `MIN_JOBS` failed jobs of a half are kept.
    """

    tasks: tuple[int, int] = (0, 0)
    failures: tuple[int, int] = (0, 0)
    jobs: tuple[frozenset, frozenset] = (NO_JOBS, NO_JOBS)
    rotated_at: float = 0.0

    def add(self, failed, job, now, window_s):
        """Count the outcome of one task of a job."""
        self.rotate(now, window_s)
        self.tasks = (self.tasks[0] + 1, self.tasks[1])
        if failed:
            self.failures = (self.failures[0] + 1, self.failures[1])
            if len(self.jobs[0]) < MIN_JOBS:
                self.jobs = (self.jobs[0] | {job}, self.jobs[1])

    def rotate(self, now, window_s):
        """Remove the halves that are older than the window."""
        halves = int((now - self.rotated_at) * WINDOW_PARTS / window_s)
        for _ in range(min(halves, WINDOW_PARTS)):
            self.tasks = (0, self.tasks[0])
            self.failures = (0, self.failures[0])
            self.jobs = (NO_JOBS, self.jobs[0])
        if halves:
            self.rotated_at = now

    def clear(self):
        """Set all counts to zero."""
        self.tasks, self.failures = (0, 0), (0, 0)
        self.jobs = (NO_JOBS, NO_JOBS)


def failure_ratio_elsewhere(
    service_counts: WindowCounts, upstream_counts: WindowCounts
) -> float:
    """Return the smoothed failure ratio of the other upstreams.

    Without tasks there it is 20%, so that the first failures are not significant.
    """
    tasks = max(0, sum(service_counts.tasks) - sum(upstream_counts.tasks))
    failures = max(0, sum(service_counts.failures) - sum(upstream_counts.failures))
    return min(1.0, (failures + 1) / (tasks + 5))


def max_failure_ratio_elsewhere(
    service_counts: WindowCounts, upstream_counts: WindowCounts
) -> float:
    """Return an upper estimate of the failure ratio of the other upstreams.

    With the smoothed ratio, 5 failures among 6 tasks tripped a guard although the
    usual ratio was 33%, because only 11 tasks, 1 of them failed, had run elsewhere.
    """
    tasks = max(0, sum(service_counts.tasks) - sum(upstream_counts.tasks))
    failures = max(0, sum(service_counts.failures) - sum(upstream_counts.failures))
    margin = RATIO_MARGIN_DEVIATIONS * math.sqrt(failures + 1)
    return min(1.0, (failures + 1 + margin) / (tasks + 5))


class Guard:
    """Guard of one upstream: counts outcomes and decides when to send no tasks.

    `tripped` stays true while the guard is open or probing.

    Examples
    ========

    >>> guard, counts = Guard(), WindowCounts()
    >>> settings = GuardSettings()
    >>> for task in range(50):
    ...     counts.add(False, f"other-{task}", 9.0, 10.0)
    >>> for task in range(3):
    ...     counts.add(True, f"job-{task}", 10.0, 10.0)
    ...     tripped = guard.record(True, f"job-{task}", 9.9, 10.0, settings, counts)
    >>> tripped, guard.state(10.5), guard.state(11.5)
    (True, <GuardState.OPEN: 'open'>, <GuardState.PROBING: 'probing'>)
    """

    __slots__ = (
        "counts",
        "tripped",
        "open_until",
        "open_duration_s",
        "consecutive_failures",
        "consecutive_failed_jobs",
        "last_failure_at",
    )

    def __init__(self):
        self.counts = WindowCounts()
        self.tripped = False
        self.open_until = -math.inf
        self.open_duration_s = 0.0
        self.consecutive_failures = 0
        self.consecutive_failed_jobs: frozenset[str] = NO_JOBS
        self.last_failure_at = -math.inf

    def state(self, now) -> GuardState:
        """Return the state at `now`; an open guard becomes probing by itself."""
        if not self.tripped:
            return GuardState.CLOSED
        return GuardState.OPEN if now < self.open_until else GuardState.PROBING

    def is_suspected(self, service_counts: WindowCounts) -> bool:
        """Whether the last consecutive failures are unlikely to be chance."""
        if not self.consecutive_failures:
            return False
        chance = failure_ratio_elsewhere(service_counts, self.counts)
        return chance**self.consecutive_failures < SUSPICION_PROBABILITY

    def is_avoided(self, now, service_counts: WindowCounts) -> bool:
        """Whether a suspected upstream failed so recently that it gets no tasks."""
        if self.tripped or now >= self.last_failure_at + SUSPICION_S:
            return False
        elsewhere = sum(service_counts.tasks) - sum(self.counts.tasks)
        return elsewhere >= MIN_TASKS_ELSEWHERE and self.is_suspected(service_counts)

    def record(
        self,
        failed,
        job,
        started_at,
        now,
        settings: GuardSettings,
        service_counts: WindowCounts,
    ) -> bool:
        """Record the outcome of a task; return whether the guard tripped.

        `service_counts` counts all tasks of the service, including this one.
        """
        self.counts.add(failed, job, now, settings.window_ms / 1000)
        self.count_consecutive(failed, job)
        if failed and settings.enabled:
            self.last_failure_at = now
        if self.tripped:
            return self.record_probe(failed, started_at, now, settings)
        if (
            not settings.enabled
            or not failed
            or not self.should_trip(settings, service_counts)
        ):
            return False
        self.trip(now, settings)
        return True

    def count_consecutive(self, failed, job):
        """Count failures since the last success, and their jobs up to `MIN_JOBS`."""
        if not failed:
            self.consecutive_failures = 0
            self.consecutive_failed_jobs = NO_JOBS
            return
        self.consecutive_failures += 1
        if len(self.consecutive_failed_jobs) < MIN_JOBS:
            self.consecutive_failed_jobs |= {job}

    def record_probe(self, failed, started_at, now, settings):
        """Record an outcome while tripped; only outcomes of probes change the state."""
        if started_at < self.open_until:
            return False
        if failed and settings.enabled:
            self.trip(now, settings)
            return True
        self.tripped = False
        self.counts.clear()
        return False

    def should_trip(self, settings, service_counts):
        """Whether the consecutive failures or those in the window trip the guard."""
        tasks, failures = sum(self.counts.tasks), sum(self.counts.failures)
        if failures < settings.min_failures:
            return False
        usual = max_failure_ratio_elsewhere(service_counts, self.counts)
        if len(self.consecutive_failed_jobs) >= MIN_JOBS:
            run = self.consecutive_failures
            if run >= settings.min_failures and usual**run < FAILURE_RUN_PROBABILITY:
                return True
        if len(self.counts.jobs[0] | self.counts.jobs[1]) < MIN_JOBS:
            return False
        if failures * 100 < settings.failure_percent * tasks:
            return False
        deviation = math.sqrt(tasks * usual * (1 - usual))
        return failures > tasks * usual + TRIP_DEVIATIONS * deviation

    def trip(self, now, settings):
        """Open the guard; its open time doubles unless the last trip was long ago."""
        recent = (
            now < self.open_until + 2 * self.open_duration_s + settings.window_ms / 1000
        )
        doubled = self.open_duration_s * 2 if recent else 0.0
        low, high = settings.open_min_ms / 1000, settings.open_max_ms / 1000
        self.open_duration_s = min(high, max(low, doubled))
        self.open_until = now + self.open_duration_s
        self.tripped = True
        self.counts.clear()
