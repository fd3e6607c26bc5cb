"""An owner's view of one upstream: its lease, its runs and its health."""

import dataclasses
import math

from carobramp_core.cells.limits import CLOCK_DRIFT, CLOCK_ROUNDING_S, CellLimits
from carobramp_core.cells.messages import Job
from carobramp_core.cells.orders import RunId, UpstreamRecord, UpstreamState

# Failures of distinct jobs in a row after which an upstream gets nothing for a
# while. Jobs that fail everywhere count once, on the first upstream.
FAILURES_TO_QUARANTINE = 2
QUARANTINE_MIN_S = 1.0
QUARANTINE_MAX_S = 4.0
# Weight of the newest run time in the learned speed; a slowdown shows within four.
SPEED_WEIGHT = 0.25
# Speeds are kept between these bounds, so that one odd run time is not believed.
SPEED_MIN = 0.1
SPEED_MAX = 4.0
ROOM_BACKOFF_S = 0.05
# Lives of one upstream that an owner tells apart by its fence; they share a token.
LIVES_PER_TOKEN = 1 << 10
# A run that shows no progress for 1.5 times its expected run time stands still, but
# not before the first listing, which comes after 0.1 s, and after 0.25 s at the
# latest. Listings name whole percents: a quarter of the expected run time lets a run
# that takes 25 times as long show progress.
STALL_MIN_S = 0.1
STALL_MAX_S = 0.25
STALL_FACTOR = 1.5
STALL_PART = 0.25


class RunPhase:
    """Phases of a run."""

    STARTING = "starting"
    RUNNING = "running"
    UNKNOWN = "unknown"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A run that occupies room on an upstream.

    Parameters
    ==========

    job : None for a run of an earlier owner that no entry has claimed yet
    entry : entry that waits for the end; None when nobody does
    requeue : whether the task waits again once the run has ended without a result
    settled_at : time after which a listing without the run shows that it is over
    percent : part of its work that is done, as last listed
    progress_at : time at which that part last grew, or of the start
    """

    run_id: RunId
    upstream: str
    job: Job | None
    entry: str | None
    started_at: float
    expected_s: float = 0.0
    phase: str = RunPhase.STARTING
    requeue: bool = False
    settled_at: float = math.inf
    stop_sent_at: float = -math.inf
    received_at: float = 0.0
    percent: float = 0.0
    progress_at: float = math.inf

    def progressed(self, percent, now):
        """Note the part of the work that is done."""
        if percent > self.percent:
            self.percent = percent
            self.progress_at = now

    def stalled(self, now) -> bool:
        """Whether the run stands still, by its listings."""
        usual_s = min(STALL_MAX_S, STALL_FACTOR * self.expected_s)
        limit_s = max(STALL_MIN_S, usual_s, STALL_PART * self.expected_s)
        return now - self.progress_at > limit_s


class Upstream:
    """State of one upstream, as its owner knows it."""

    def __init__(self, record: UpstreamRecord, limits: CellLimits, now: float):
        self.record = record
        self.limits = limits
        self.born_ms = 0
        self.lives = 0
        self.clock_ms = 0
        self.clock_at = -math.inf
        # The upstream's clock in the newest listing.
        self.listing_ms = -1
        self.leased_until = now
        self.acknowledged = 0
        self.answered = False
        self.suspect = True
        self.missing_since: float | None = None
        self.runs: dict[RunId, Run] = {}
        self.used_cpu = 0
        self.used_memory_mb = 0
        self.used_accelerators = 0
        self.blocked_until = -math.inf
        self.log_speed = 0.0
        self.speed_samples = 0
        self.failed_jobs: set[str] = set()
        self.quarantine_s = 0.0
        self.probing = False

    @property
    def name(self):
        """Return the id of the upstream."""
        return self.record.name

    def fence(self, token) -> int:
        """Return the fencing token of orders to the present life.

        A start for an earlier life that is carried out late would run in a later one,
        whose clock starts anew: its deadline means nothing there.
        """
        return token * LIVES_PER_TOKEN + min(self.lives, LIVES_PER_TOKEN - 1)

    def clock(self, now) -> float:
        """Return an estimate of the upstream's clock, in milliseconds."""
        return self.clock_ms + (now - self.clock_at) * 1000

    def deadline_ms(self, now) -> int:
        """Return the end of a lease given now, on the upstream's clock."""
        return int(self.clock(now) + self.limits.lease_s * 1000)

    def granted(self, deadline_ms):
        """Note that an order with a lease is on its way."""
        seconds = (deadline_ms - self.clock_ms) / 1000 / (1 - CLOCK_DRIFT)
        lapse = self.clock_at + seconds + CLOCK_ROUNDING_S
        self.leased_until = max(self.leased_until, lapse)

    def heard(self, clock_ms, now):
        """Note an answer with the upstream's clock."""
        self.clock_ms = clock_ms
        self.clock_at = now

    def add(self, run: Run):
        """Let a run occupy its room."""
        self.runs[run.run_id] = run
        self.occupy(run, 1)

    def remove(self, run: Run):
        """Free the room of a run that is over."""
        if self.runs.pop(run.run_id, None) is not None:
            self.occupy(run, -1)

    def occupy(self, run: Run, sign):
        """Add or subtract the room of a run."""
        if run.job is None:
            return
        self.used_cpu += sign * run.job.cpu
        self.used_memory_mb += sign * run.job.memory_mb
        self.used_accelerators += sign * run.job.accelerators

    def claim(self, run: Run, job: Job, entry):
        """Tie a run of an earlier owner to the entry that waits for it."""
        known = run.job is not None
        run.job = job
        run.entry = entry
        if not known:
            self.occupy(run, 1)

    def has_orphans(self):
        """Whether a run of unknown size occupies room."""
        return any(run.job is None for run in self.runs.values())

    def usable(self, now) -> bool:
        """Whether new runs may start here."""
        return (
            self.answered
            and not self.suspect
            and self.record.state == UpstreamState.READY
            and now >= self.blocked_until
            and not self.has_orphans()
            and not (self.probing and self.runs)
        )

    def fits(self, job: Job) -> bool:
        """Whether the free room takes one more task of a job."""
        return (
            self.used_cpu + job.cpu <= self.record.cpu
            and self.used_memory_mb + job.memory_mb <= self.record.memory_mb
            and self.used_accelerators + job.accelerators <= self.record.accelerators
        )

    def free_cpu(self, now):
        """Return the free cores, in thousandths."""
        return max(0, self.record.cpu - self.used_cpu) if self.usable(now) else 0

    def relative_speed(self) -> float:
        """Return the learned speed; 1 is the mean of all upstreams."""
        return min(SPEED_MAX, max(SPEED_MIN, math.exp(self.log_speed)))

    def learn_speed(self, speed):
        """Take the speed at which one run was done."""
        weight = max(SPEED_WEIGHT, 1 / (self.speed_samples + 1))
        bounded = min(SPEED_MAX, max(SPEED_MIN, speed))
        self.log_speed += weight * (math.log(bounded) - self.log_speed)
        self.speed_samples += 1

    def succeeded(self):
        """Note a run that ended well."""
        self.failed_jobs.clear()
        self.quarantine_s = 0.0
        self.probing = False

    def failed(self, job_id, now) -> bool:
        """Note a run that failed here and nowhere else; tell of a quarantine."""
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) < FAILURES_TO_QUARANTINE and not self.probing:
            return False
        self.quarantine(now)
        return True

    def quarantine(self, now):
        """Give the upstream nothing for a while, then one task."""
        doubled = max(QUARANTINE_MIN_S, 2 * self.quarantine_s)
        self.quarantine_s = min(QUARANTINE_MAX_S, doubled)
        self.blocked_until = now + self.quarantine_s
        self.failed_jobs.clear()
        self.probing = True

    def no_room(self, now):
        """Note that the upstream refused a run for want of room."""
        self.blocked_until = max(self.blocked_until, now + ROOM_BACKOFF_S)

    def reborn(self, born_ms, now):
        """Start anew with another life of the upstream.

        Its runs are over once a listing under the new fence lacks them.
        """
        self.lives += 1
        self.born_ms = born_ms
        self.acknowledged = 0
        self.listing_ms = -1
        for run in self.runs.values():
            run.settled_at = now
            run.started_at = now
