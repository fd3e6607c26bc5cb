"""What this VM knows of an upstream: load, speed, back-off, leaving, evacuation."""

import dataclasses
import math
from typing import Any

from carobramp_core.dispatch.guards import Guard, GuardState
from carobramp_core.dispatch.messages import TaskId, UpstreamReport
from carobramp_schema.generated.ticket import UpstreamState

# With 0.2 s, the simulated mean ratio of response time to ideal time at 90% load was
# higher by a sixth: the estimate fell too soon, and tasks queued at the upstream.
OTHER_VM_TASKS_HALF_LIFE_S = 2.0
# Weight of a report in the estimate of other VMs' tasks; a single report leaves out
# tasks that have been sent but not yet received.
REPORT_WEIGHT = 0.5
REPORT_FRESH_S = 2.0
# Part of the slots of a remote upstream that is left to the VMs of its zone.
REMOTE_HEADROOM = 1 / 8
SPEED_WEIGHT = 0.1
VARIANCE_PENALTY = 4.0
LOG_SPEED_BOUND = math.log(20.0)
SPEED_DECAY_AFTER_S = 10.0
SPEED_DECAY_S = 60.0
CONNECT_BACKOFF_MIN_S = 0.2
CONNECT_BACKOFF_MAX_S = 10.0
REJECT_BACKOFF_MIN_S = 0.05
REJECT_BACKOFF_MAX_S = 5.0
# Part by which an upstream without measurements is rated better, so that it is tried.
EXPLORATION_BONUS = 0.2
MAX_SLOWDOWN = 10.0
SUSPECT_PENALTY = 4.0
# Relative increase of the score at full load, where the estimate of free slots is most
# likely to be out of date.
CONTENTION_COST = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class RunningTask:
    """A started task without outcome; it occupies a slot.

    `job` is the `JobState` of its job, or None when the job has ended. A task that
    runs for longer than `straggler_after_s` lowers the speed of its upstream.
    """

    task_id: TaskId
    upstream: "Upstream"
    host: str
    port: int
    started_at: float
    expected_s: float
    timeout: float
    straggler_after_s: float
    team: Any
    estimator: Any
    declared_run_ms: float
    job: Any = None
    cancelled: bool = False

    def remaining_s(self, now):
        """Return the expected remaining time in seconds.

        A task that is late is expected to run for as long again as it is late, as
        run times with stragglers have heavy tails.
        """
        return abs(self.started_at + self.expected_s - now)


class Upstream:
    """What this VM knows of one upstream.

    Attributes
    ==========

    local : whether the upstream is in the availability zone of this VM
    running : tasks of this VM without outcome, oldest first
    slot_share : equal part of the slots for each VM of the zone
    other_vm_tasks : estimate of the tasks of other VMs at time `other_vm_tasks_at`
    log_speed : logarithm of the measured speed
    leaving_listed : whether the membership list names the upstream as leaving
    leaving_reported : whether an answer of the upstream reported that it is leaving
    evacuated : whether the availability zone of the upstream is evacuated
    slowdown : factor by which a straggler lowers the expected speed
    version : version of the valid entries in the heaps of the group
    """

    __slots__ = (
        "name", "state", "local", "guard", "running", "slot_share", "other_vm_tasks",
        "other_vm_tasks_at", "reported_slots", "reported_at", "log_speed_hint",
        "log_speed", "speed_samples", "speed_measured_at", "leaving_listed",
        "leaving_reported", "removed", "backoff_until", "connect_backoff_s",
        "reject_backoff_s", "slowdown", "finished_at", "version", "evacuated",
    )  # fmt: skip

    def __init__(self, name, state: UpstreamState, local):
        self.name = name
        self.local = local
        self.guard = Guard()
        self.running: dict[TaskId, RunningTask] = {}
        self.slot_share = 1
        self.other_vm_tasks = 0.0
        self.other_vm_tasks_at = -math.inf
        self.reported_slots = 0
        self.reported_at = -math.inf
        self.speed_samples = 1
        self.speed_measured_at = -math.inf
        self.leaving_listed = False
        self.evacuated = False
        self.removed = False
        self.backoff_until = -math.inf
        self.connect_backoff_s = 0.0
        self.reject_backoff_s = 0.0
        self.slowdown = 1.0
        self.finished_at = -math.inf
        self.version = 0
        self.set_state(state)
        self.log_speed = self.log_speed_hint

    def set_state(self, state: UpstreamState):
        """Set the state of a ticket; clears a reported leaving."""
        self.state = state
        self.log_speed_hint = math.log(state.speed_hint)
        self.leaving_reported = False

    @property
    def speed(self):
        """Expected speed relative to the service's usual upstream."""
        return self.learned_speed() / self.slowdown

    def learned_speed(self):
        """Return the measured speed without the slowdown by a running straggler."""
        return math.exp(self.log_speed)

    def slots(self):
        """Return the slots: the lower of ticket and last report."""
        if self.reported_slots:
            return min(self.state.slots, self.reported_slots)
        return self.state.slots

    def usable(self, now):
        """Whether the upstream may get tasks, regardless of free slots."""
        if self.removed or self.evacuated or self.leaving():
            return False
        return now >= self.backoff_until and self.guard.state(now) != GuardState.OPEN

    def leaving(self):
        """Whether a ticket, the membership list or the upstream says it is leaving."""
        return self.state.leaving or self.leaving_listed or self.leaving_reported

    def limited_to_one_task(self, now, service_counts):
        """Whether only one task at a time is sent: as a probe or after failures."""
        if self.connect_backoff_s or self.reject_backoff_s:
            return True
        if self.guard.state(now) == GuardState.PROBING:
            return True
        return self.guard.is_suspected(service_counts)

    def estimate_other_vm_tasks(self, now):
        """Return the estimate of other VMs' tasks, which halves at a fixed interval."""
        if not self.other_vm_tasks:
            return 0.0
        return self.other_vm_tasks * 0.5 ** (
            (now - self.other_vm_tasks_at) / OTHER_VM_TASKS_HALF_LIFE_S
        )

    def capacity(self, now, reserve=0):
        """Return how many tasks of this VM may run with `reserve` slots kept free."""
        slots = self.slots() - reserve
        free = round(slots - self.estimate_other_vm_tasks(now))
        if self.local:
            share = max(1, min(self.slot_share, slots))
            return min(max(free, share), self.state.connections)
        if now - self.reported_at > REPORT_FRESH_S:
            return min(free, self.slot_share)
        free -= max(1, int(slots * REMOTE_HEADROOM))
        return min(free, self.state.connections)

    def free_capacity(self, now, service_counts, reserve=0):
        """Return how many more tasks may be started here; none if not positive."""
        if not self.usable(now):
            return 0
        if self.limited_to_one_task(now, service_counts):
            if self.guard.is_avoided(now, service_counts):
                return 0
            return 1 - len(self.running)
        return self.capacity(now, reserve) - len(self.running)

    def score(self, now, service_counts):
        """Return the expected time for one unit of work; the lowest is best."""
        load = (
            len(self.running) + self.estimate_other_vm_tasks(now) + 1
        ) / self.slots()
        score = (1 + CONTENTION_COST * load * load) / self.speed
        score *= 1 - EXPLORATION_BONUS / self.speed_samples
        return (
            score * SUSPECT_PENALTY
            if self.guard.is_suspected(service_counts)
            else score
        )

    def apply_report(self, report: UpstreamReport, now):
        """Update the estimated load, the slots and leaving from an answer's report."""
        others = max(0, report.busy - len(self.running))
        before = self.estimate_other_vm_tasks(now)
        weight = REPORT_WEIGHT if now - self.reported_at < REPORT_FRESH_S else 1.0
        self.other_vm_tasks = before + weight * (others - before)
        self.other_vm_tasks_at = self.reported_at = now
        self.reported_slots = report.slots
        self.leaving_reported = self.leaving_reported or report.leaving

    def learn_speed(self, expected_ms, measured_ms, variance, now):
        """Update the speed with the measured run time of a task.

        `expected_ms` is its expected run time at speed 1. The higher `variance`, that
        of the logarithm of such estimates, the less the sample weighs.
        """
        sample = math.log(max(0.1, expected_ms) / max(0.1, measured_ms))
        sample = max(-LOG_SPEED_BOUND, min(LOG_SPEED_BOUND, sample))
        weight = max(SPEED_WEIGHT, 1 / (self.speed_samples + 1))
        weight /= 1 + VARIANCE_PENALTY * variance
        self.log_speed += weight * (sample - self.log_speed)
        self.speed_samples += 1
        self.speed_measured_at = now

    def decay_speed(self, now, elapsed):
        """Move a speed without recent measurements towards the hint of the ticket."""
        if now - self.speed_measured_at > SPEED_DECAY_AFTER_S:
            part = min(1.0, elapsed / SPEED_DECAY_S)
            self.log_speed += part * (self.log_speed_hint - self.log_speed)
            self.speed_samples = max(1, math.ceil(self.speed_samples * (1 - part)))

    def record_connect_failure(self, now):
        """Send no tasks for a time that doubles with each connect failure."""
        doubled = min(CONNECT_BACKOFF_MAX_S, self.connect_backoff_s * 2)
        self.connect_backoff_s = max(CONNECT_BACKOFF_MIN_S, doubled)
        self.backoff_until = max(self.backoff_until, now + self.connect_backoff_s)

    def record_rejection(self, now):
        """Send no tasks for a time that doubles with each rejected task."""
        doubled = min(REJECT_BACKOFF_MAX_S, self.reject_backoff_s * 2)
        self.reject_backoff_s = max(REJECT_BACKOFF_MIN_S, doubled)
        self.backoff_until = max(self.backoff_until, now + self.reject_backoff_s)

    def record_answer(self):
        """Reset both back-off times, as the upstream was reached and started a task."""
        self.connect_backoff_s = self.reject_backoff_s = 0.0

    def update_slowdown(self, now):
        """Lower the expected speed while the oldest task is a straggler.

        Explanation
        ===========

        Only the oldest task counts, and only when no task has finished here since
        it started: otherwise the task is long rather than the upstream slow.
        """
        self.slowdown = 1.0
        oldest = next(iter(self.running.values()), None)
        if oldest is None or self.finished_at > oldest.started_at:
            return
        overdue = (now - oldest.started_at) / oldest.straggler_after_s
        if overdue > 1:
            self.slowdown = min(MAX_SLOWDOWN, 1 + overdue)
