"""View of each upstream: slots, reports, measured speed, leaving."""

import dataclasses
import math
from typing import Any

from carobramp_core.dispatch.guards import Guard, GuardState
from carobramp_core.dispatch.messages import TaskId, UpstreamReport
from carobramp_schema.generated.ticket import UpstreamState

# Forgetting other VMs' tasks sooner (0.2 s) raised the simulated mean ratio at 90%
# load by a sixth, as tasks then queue at the upstream.
OTHERS_HALF_LIFE_S = 2.0
# Weight of a report in the estimate of other VMs' tasks; a single report misses
# tasks that are on their way.
REPORT_WEIGHT = 0.5
REPORT_FRESH_S = 2.0
# Part of the slots of an upstream of another zone that is left to that zone.
FAR_HEADROOM = 1 / 8
SPEED_WEIGHT = 0.1
VARIANCE_PENALTY = 4.0
SPEED_BOUND = math.log(20.0)
SPEED_FORGET_AFTER_S = 10.0
SPEED_FORGET_S = 60.0
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 10.0
REFUSED_MIN_S = 0.05
REFUSED_MAX_S = 5.0
# An upstream without measurements counts as this much faster, so that it is tried.
EXPLORATION = 0.2
MAX_SLOWDOWN = 10.0
SUSPECT_PENALTY = 4.0
# Cost of sharing an upstream: its estimate of free slots may be out of date.
CONTENTION = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class RunningTask:
    """A started task whose outcome is open; it occupies a slot.

    `job` is the state of its job, or None when the job has ended.
    """

    task_id: TaskId
    upstream: "Upstream"
    host: str
    port: int
    started: float
    expected_s: float
    timeout: float
    straggler_s: float
    team: Any
    runtimes: Any
    declared_ms: float
    job: Any = None
    cancelled: bool = False

    def remaining_s(self, now):
        """Return the expected remaining time.

        A task beyond its expected time is likely to take about as long again as it
        is late: run times with stragglers have heavy tails.
        """
        return abs(self.started + self.expected_s - now)


class Upstream:
    """View of one upstream.

    Attributes
    ==========

    running : own tasks without outcome, oldest first
    others : estimate of tasks of other VMs at time `others_at`
    slowdown : factor by which a straggling task lowers the expected speed
    version : changes with each entry into the candidate heaps
    """

    __slots__ = (
        "name", "state", "near", "guard", "running", "share", "others", "others_at",
        "reported_slots", "reported_at", "hint", "speed_log", "speed_samples",
        "speed_at", "leaving_listed", "leaving_reported", "removed", "backoff_until",
        "backoff_s", "refused_s", "slowdown", "finished_at", "version",
    )  # fmt: skip

    def __init__(self, name, state: UpstreamState, near):
        self.name = name
        self.near = near
        self.guard = Guard()
        self.running: dict[TaskId, RunningTask] = {}
        self.share = 1
        self.others = 0.0
        self.others_at = -math.inf
        self.reported_slots = 0
        self.reported_at = -math.inf
        self.speed_samples = 1
        self.speed_at = -math.inf
        self.leaving_listed = False
        self.removed = False
        self.backoff_until = -math.inf
        self.backoff_s = 0.0
        self.refused_s = 0.0
        self.slowdown = 1.0
        self.finished_at = -math.inf
        self.version = 0
        self.set_state(state)
        self.speed_log = self.hint

    def set_state(self, state: UpstreamState):
        """Take the state of a ticket; it also ends a reported leaving."""
        self.state = state
        self.hint = math.log(state.speed_hint)
        self.leaving_reported = False

    @property
    def speed(self):
        """Expected speed relative to the service's usual upstream."""
        return self.learned_speed() / self.slowdown

    def learned_speed(self):
        """Return the speed that was measured, whatever runs now."""
        return math.exp(self.speed_log)

    def slots(self):
        """Return the slots: the lower of ticket and report."""
        if self.reported_slots:
            return min(self.state.slots, self.reported_slots)
        return self.state.slots

    def usable(self, now):
        """Whether new tasks may go here at all."""
        if self.removed or self.state.leaving:
            return False
        if self.leaving_listed or self.leaving_reported:
            return False
        return now >= self.backoff_until and self.guard.state(now) != GuardState.OPEN

    def cautious(self, now, total):
        """Whether one task at a time is sent: as a probe or after failures."""
        if self.backoff_s or self.refused_s:
            return True
        if self.guard.state(now) == GuardState.PROBING:
            return True
        return self.guard.suspected(total)

    def others_now(self, now):
        """Return the estimate of tasks of other VMs."""
        if not self.others:
            return 0.0
        return self.others * 0.5 ** ((now - self.others_at) / OTHERS_HALF_LIFE_S)

    def capacity(self, now, reserve=0):
        """Return how many own tasks may run here, with `reserve` slots kept free."""
        slots = self.slots() - reserve
        free = round(slots - self.others_now(now))
        if self.near:
            share = max(1, min(self.share, slots))
            return min(max(free, share), self.state.connections)
        if now - self.reported_at > REPORT_FRESH_S:
            return min(free, self.share)
        free -= max(1, int(slots * FAR_HEADROOM))
        return min(free, self.state.connections)

    def room(self, now, total, reserve=0):
        """Return how many more tasks may be started here."""
        if not self.usable(now):
            return 0
        if self.cautious(now, total):
            if self.guard.avoided(now, total):
                return 0
            return 1 - len(self.running)
        return self.capacity(now, reserve) - len(self.running)

    def score(self, now, total):
        """Return the expected time for one unit of work; the least is best."""
        load = (len(self.running) + self.others_now(now) + 1) / self.slots()
        score = (1 + CONTENTION * load * load) / self.speed
        score *= 1 - EXPLORATION / self.speed_samples
        return score * SUSPECT_PENALTY if self.guard.suspected(total) else score

    def take_report(self, report: UpstreamReport, now):
        """Take the load that an answer states."""
        others = max(0, report.busy - len(self.running))
        before = self.others_now(now)
        weight = REPORT_WEIGHT if now - self.reported_at < REPORT_FRESH_S else 1.0
        self.others = before + weight * (others - before)
        self.others_at = self.reported_at = now
        self.reported_slots = report.slots
        self.leaving_reported = self.leaving_reported or report.leaving

    def learn_speed(self, expected_ms, measured_ms, variance, now):
        """Take the measured run time of a task.

        `expected_ms` is its expected time at speed 1; the higher the variance of
        the logarithm of such expectations, the less the sample weighs.
        """
        sample = math.log(max(0.1, expected_ms) / max(0.1, measured_ms))
        sample = max(-SPEED_BOUND, min(SPEED_BOUND, sample))
        weight = max(SPEED_WEIGHT, 1 / (self.speed_samples + 1))
        weight /= 1 + VARIANCE_PENALTY * variance
        self.speed_log += weight * (sample - self.speed_log)
        self.speed_samples += 1
        self.speed_at = now

    def forget_speed(self, now, elapsed):
        """Let a speed that is no longer measured approach the hint."""
        if now - self.speed_at > SPEED_FORGET_AFTER_S:
            part = min(1.0, elapsed / SPEED_FORGET_S)
            self.speed_log += part * (self.hint - self.speed_log)
            self.speed_samples = max(1, math.ceil(self.speed_samples * (1 - part)))

    def connect_failed(self, now):
        """Send nothing for a short time; longer after each connect failure."""
        doubled = min(BACKOFF_MAX_S, self.backoff_s * 2)
        self.backoff_s = max(BACKOFF_MIN_S, doubled)
        self.backoff_until = max(self.backoff_until, now + self.backoff_s)

    def refused(self, now):
        """Send nothing for a short time; longer after each refusal."""
        doubled = min(REFUSED_MAX_S, self.refused_s * 2)
        self.refused_s = max(REFUSED_MIN_S, doubled)
        self.backoff_until = max(self.backoff_until, now + self.refused_s)

    def answered(self):
        """Note that the upstream can be reached and starts tasks."""
        self.backoff_s = self.refused_s = 0.0

    def check_stragglers(self, now):
        """Lower the expected speed while a task is far beyond its time.

        Explanation
        ===========

        Only the oldest task counts, and only when no task has finished here since
        it started: otherwise the task is long rather than the upstream slow.
        """
        self.slowdown = 1.0
        oldest = next(iter(self.running.values()), None)
        if oldest is None or self.finished_at > oldest.started:
            return
        overdue = (now - oldest.started) / oldest.straggler_s
        if overdue > 1:
            self.slowdown = min(MAX_SLOWDOWN, 1 + overdue)
