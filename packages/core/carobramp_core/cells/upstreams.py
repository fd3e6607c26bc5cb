"""State that a cell's owner keeps of one upstream: lease, runs, speed and health."""

import dataclasses
import math

from carobramp_core.cells.limits import CLOCK_DRIFT, CLOCK_ROUNDING_S, CellLimits
from carobramp_core.cells.messages import Job, UpstreamLoss
from carobramp_core.cells.orders import RunId, UpstreamRecord, UpstreamState

# Consecutive failures of distinct jobs after which an upstream is quarantined. A job
# that fails on several upstreams counts only on the first one.
FAILURES_TO_QUARANTINE = 2
QUARANTINE_MIN_S = 1.0
QUARANTINE_MAX_S = 4.0
# Weight of the newest run in the learned speed; a slowdown shows within four runs.
SPEED_WEIGHT = 0.25
# Bounds of a speed, so that one outlier has little influence.
SPEED_MIN = 0.1
SPEED_MAX = 4.0
# Time without new starts after a rejected or unanswered start.
REJECTION_BACKOFF_S = 0.05
# Incarnations of one upstream that get distinct fencing tokens from one owner.
INCARNATIONS_PER_TOKEN = 1 << 10
# A run is stalled after 1.5 times its expected run time without progress, at the
# earliest after 0.1 s, when the first listing arrives, and at the latest after 0.25 s
# or a quarter of its expected run time, whichever is longer. Listings give whole
# percents: within that quarter even a run that takes 25 times as long as expected
# shows progress.
STALL_MIN_S = 0.1
STALL_MAX_S = 0.25
STALL_FACTOR = 1.5
STALL_MIN_FRACTION = 0.25
# Stalled runs of one task that are stopped; the task itself may be the cause, so that
# the next run goes on and only the upstream of the first one is quarantined.
MAX_STALLED_RUNS = 2


class RunPhase:
    """Phases of a run; UNKNOWN means that its start order was not answered."""

    STARTING = "starting"
    RUNNING = "running"
    UNKNOWN = "unknown"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A run that occupies capacity of an upstream.

    Parameters
    ==========

    job : None for a run of an earlier owner that no entry has claimed yet
    entry : entry that waits for the result, or None
    requeue : whether the task is queued again if the run ends without a result
    resolved_at : a listing that was requested at this time or later and lacks the run
        shows that the run is over; infinite until a start or stop order is accepted,
        a listing contains the run that was ordered or the upstream restarts
    stop_sent_at : time of the last stop order, or time at which the last start or stop
        order was found unanswered; the absence from a listing leads to a stop order
        only if the listing was requested later
    received_at : time at which the entry received the job
    percent : progress as last listed
    progress_at : time at which the progress last rose, at first the time of the start
    stalled_runs : number of earlier runs of the task that were stopped as stalled
    """

    run_id: RunId
    upstream: str
    job: Job | None
    entry: str | None
    started_at: float
    expected_s: float = 0.0
    phase: str = RunPhase.STARTING
    requeue: bool = False
    resolved_at: float = math.inf
    stop_sent_at: float = -math.inf
    received_at: float = 0.0
    percent: float = 0.0
    progress_at: float = math.inf
    stalled_runs: int = 0

    def record_progress(self, percent, now):
        """Record the listed progress if it has risen."""
        if percent > self.percent:
            self.percent = percent
            self.progress_at = now

    def is_stalled(self, now) -> bool:
        """Return whether to stop the run, as the listings show no progress."""
        if self.stalled_runs >= MAX_STALLED_RUNS:
            return False
        scaled_s = min(STALL_MAX_S, STALL_FACTOR * self.expected_s)
        limit_s = max(STALL_MIN_S, scaled_s, STALL_MIN_FRACTION * self.expected_s)
        return now - self.progress_at > limit_s


class Upstream:
    """State of one upstream, as its owner knows it.

    Orders renew no lease and nothing starts here until a poll is answered; the same
    holds while the upstream is suspect, after a poll that was rejected or unanswered.
    """

    def __init__(self, record: UpstreamRecord, limits: CellLimits, now: float):
        self.record = record
        self.limits = limits
        self.born_ms = 0
        self.incarnation_count = 0
        # The upstream's clock as last reported, and the time of that report.
        self.clock_ms = 0
        self.clock_at = -math.inf
        # The upstream's clock in the newest listing.
        self.listing_ms = -1
        self.leased_until = now
        # Number of the last run end that was recorded.
        self.acknowledged = 0
        self.answered = False
        self.suspect = True
        # Error of the last poll that was not answered.
        self.last_poll_error = ""
        # Whether the last poll showed that this incarnation is gone.
        self.process_gone = False
        # Losses of runs here since the last answer, each with the number of the
        # incarnation that had the run; the next answer tells whether it has crashed.
        self.unproven_losses: list[tuple[UpstreamLoss, int]] = []
        self.missing_since: float | None = None
        self.runs: dict[RunId, Run] = {}
        # Runs that may crash the upstream; nothing starts beside them.
        self.isolated_runs: set[RunId] = set()
        # Number of runs whose job is unknown, as no entry has claimed them yet.
        self.orphaned_run_count = 0
        # Latest ends of leases beside runs whose tasks may start elsewhere after that.
        self.lease_limits: dict[RunId, float] = {}
        self.used_cpu = 0
        self.used_memory_mb = 0
        self.used_accelerators = 0
        self.blocked_until = -math.inf
        # Logarithm of the learned speed.
        self.log_speed = 0.0
        # Learned speed relative to the mean upstream, whose speed is 1.
        self.relative_speed = 1.0
        self.speed_samples = 0
        self.failed_jobs: set[str] = set()
        self.quarantine_s = 0.0
        # From a quarantine until the next success, only one run at a time starts.
        self.probing = False
        # The same from the end of an evacuation, without a quarantine after a failure.
        self.cold = False

    @property
    def name(self):
        """Return the id of the upstream."""
        return self.record.name

    def fencing_token(self, token) -> int:
        """Return the fencing token of orders to the current incarnation.

        Without a token of its own, an incarnation could execute a delayed start order
        for an earlier one, whose deadline is meaningless as the clock has restarted.
        """
        return token * INCARNATIONS_PER_TOKEN + min(
            self.incarnation_count, INCARNATIONS_PER_TOKEN - 1
        )

    def estimated_clock_ms(self, now) -> float:
        """Return the estimated clock of the upstream at time `now`."""
        return self.clock_ms + (now - self.clock_at) * 1000

    def lease_deadline_ms(self, now) -> int | None:
        """Return the end of a lease renewed now, on the upstream's clock.

        The lease ends with the first limit of a run here; None if that time is over.
        """
        lease_s = min(self.limits.lease_s, self.lease_limit() - now)
        if lease_s <= 0:
            return None
        return int(self.estimated_clock_ms(now) + lease_s * 1000)

    def lease_limit(self) -> float:
        """Return the time until which leases may be renewed, or infinity.

        An upstream has one lease for all its runs. It is not renewed beyond the time at
        which one of them must be over, whether or not stop orders are answered.
        """
        return min(self.lease_limits.values(), default=math.inf)

    def limit_lease(self, run: Run, latest_end):
        """Let no lease beside a run last beyond a time, until the run is claimed."""
        earlier = self.lease_limits.get(run.run_id, math.inf)
        self.lease_limits[run.run_id] = min(earlier, latest_end)

    def record_lease(self, deadline_ms):
        """Extend `leased_until` for an order that renews the lease and is to be sent.

        The order may arrive even if it is never answered.
        """
        duration_s = (deadline_ms - self.clock_ms) / 1000 / (1 - CLOCK_DRIFT)
        expires_at = self.clock_at + duration_s + CLOCK_ROUNDING_S
        self.leased_until = max(self.leased_until, expires_at)

    def record_unknown_lease(self, now):
        """Extend `leased_until` for a lease of another owner that may be new."""
        expires_at = now + self.limits.lease_expiry_s()
        self.leased_until = max(self.leased_until, expires_at)

    def record_clock(self, clock_ms, now):
        """Record the clock that an answer reported, received at time `now`."""
        self.clock_ms = clock_ms
        self.clock_at = now

    def add_run(self, run: Run):
        """Add a run and the capacity that it occupies."""
        self.runs[run.run_id] = run
        self.adjust_used_capacity(run, 1)

    def remove_run(self, run: Run):
        """Remove a run that is over and free its capacity; do nothing if unknown."""
        self.isolated_runs.discard(run.run_id)
        self.lease_limits.pop(run.run_id, None)
        if self.runs.pop(run.run_id, None) is not None:
            self.adjust_used_capacity(run, -1)

    def adjust_used_capacity(self, run: Run, sign):
        """Add (`sign` 1) or subtract (-1) what a run occupies.

        A run of unknown size is counted instead; meanwhile nothing starts here.
        """
        if run.job is None:
            self.orphaned_run_count += sign
            return
        self.used_cpu += sign * run.job.cpu
        self.used_memory_mb += sign * run.job.memory_mb
        self.used_accelerators += sign * run.job.accelerators

    def claim_run(self, run: Run, job: Job, entry):
        """Assign a run to the entry that waits for it and to the entry's job."""
        self.lease_limits.pop(run.run_id, None)
        self.adjust_used_capacity(run, -1)
        run.job = job
        run.entry = entry
        self.adjust_used_capacity(run, 1)

    def is_usable(self, now) -> bool:
        """Return whether new runs may start here, free capacity aside."""
        return (
            self.answered
            and not self.suspect
            and self.record.state == UpstreamState.READY
            and now >= self.blocked_until
            and not self.orphaned_run_count
            and not self.isolated_runs
            and self.lease_limit() - now >= self.limits.start_lease_min_s
            and not (self.runs and self.runs_one_at_a_time())
        )

    def runs_one_at_a_time(self) -> bool:
        """Return whether no run starts beside another: it is probed, or cold."""
        return self.probing or self.cold

    def is_large_enough_for(self, job: Job) -> bool:
        """Return whether a task of a job fits into the whole capacity."""
        return (
            self.record.cpu >= job.cpu
            and self.record.memory_mb >= job.memory_mb
            and self.record.accelerators >= job.accelerators
        )

    def has_capacity_for(self, job: Job) -> bool:
        """Return whether one more task of a job fits into the free capacity."""
        return (
            self.used_cpu + job.cpu <= self.record.cpu
            and self.used_memory_mb + job.memory_mb <= self.record.memory_mb
            and self.used_accelerators + job.accelerators <= self.record.accelerators
        )

    def free_cpu(self, now):
        """Return the free cores in thousandths; 0 while no run may start here."""
        return max(0, self.record.cpu - self.used_cpu) if self.is_usable(now) else 0

    def learn_speed(self, speed):
        """Add the speed of one run to the average; the first runs weigh more."""
        weight = max(SPEED_WEIGHT, 1 / (self.speed_samples + 1))
        bounded = min(SPEED_MAX, max(SPEED_MIN, speed))
        self.log_speed += weight * (math.log(bounded) - self.log_speed)
        self.relative_speed = math.exp(self.log_speed)
        self.speed_samples += 1

    def expect_cold_start(self):
        """Learn the speed anew, one run at a time: the upstream may be slow."""
        self.log_speed = 0.0
        self.relative_speed = 1.0
        self.speed_samples = 0
        self.cold = True

    def record_success(self):
        """Record a run with a result; one run at a time is no longer needed."""
        self.failed_jobs.clear()
        self.quarantine_s = 0.0
        self.probing = False
        self.cold = False

    def record_failure(self, job_id, now) -> bool:
        """Record a failed run of a job that failed on no other upstream.

        Returns whether the upstream is now quarantined.
        """
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) < FAILURES_TO_QUARANTINE and not self.probing:
            return False
        self.quarantine(now)
        return True

    def quarantine(self, now):
        """Start no runs here for a time that doubles until a run succeeds."""
        doubled = max(QUARANTINE_MIN_S, 2 * self.quarantine_s)
        self.quarantine_s = min(QUARANTINE_MAX_S, doubled)
        self.blocked_until = now + self.quarantine_s
        self.failed_jobs.clear()
        self.probing = True

    def back_off(self, now):
        """Start no runs here for a moment after a rejected or unanswered start."""
        self.blocked_until = max(self.blocked_until, now + REJECTION_BACKOFF_S)

    def start_incarnation(self, born_ms, now):
        """Reset what depends on the incarnation after the upstream has restarted.

        Its runs are over once a listing under the new fencing token lacks them.
        """
        self.incarnation_count += 1
        self.born_ms = born_ms
        self.acknowledged = 0
        self.listing_ms = -1
        for run in self.runs.values():
            run.resolved_at = now
            run.started_at = now
