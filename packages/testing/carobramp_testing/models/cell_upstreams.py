"""Simulated upstreams for the specification of cells."""

import dataclasses

from carobramp_core.cells.limits import CLOCK_DRIFT
from carobramp_core.cells.messages import Job
from carobramp_core.cells.orders import (
    Accepted,
    ActiveRun,
    EndedRun,
    Listing,
    Rejected,
    RejectReason,
    RunEndKind,
    RunId,
    StartOrder,
    StopOrder,
    UpstreamRecord,
    UpstreamState,
)

# Longer than the time after which a caller asks again, so that a run which nobody
# stops is still there then.
RUN_S = 2.0
LEASE_MAX_S = 1.0
JOB = Job(
    job_id="5c0e7a21d94b36f8",
    spec="logo",
    service="order-desk",
    queue="previews",
    tasks=1,
    cpu=6800,
    estimate_ms=RUN_S * 1000,
    stretch=1.6,
    target_ms=60.0,
    max_attempts=3,
)


@dataclasses.dataclass
class SimulatedRun:
    """A run at an upstream."""

    run_id: RunId
    ends_at: float

    def percent(self, now):
        """Return the part of the work that is done."""
        return int(100 * (1 - (self.ends_at - now) / RUN_S))


class SimulatedUpstream:
    """An upstream with a lease, a fence and a list of ends, as the platform says."""

    def __init__(self, name, cell):
        self.cell = cell
        self.name = name
        self.fences = True
        self.reachable = True
        # Whether orders to an unreachable upstream fail because nothing listens there.
        self.refuses_connections = False
        self.lives = 0
        self.restart(0.0)

    def restart(self, now):
        """Begin another life."""
        self.lives += 1
        self.zero = now
        self.token = 0
        self.deadline_ms = 0
        self.running: dict = {}
        self.ends: list[EndedRun] = []
        self.stopped: dict = {}

    def listed(self):
        """Return the entry of the platform's list."""
        return UpstreamRecord(
            self.name,
            JOB.service,
            f"{self.name}:80",
            self.cell,
            UpstreamState.READY,
            16000,
            32768,
            0,
        )

    def clock_ms(self, now):
        """Return the slow clock of this life."""
        return int((now - self.zero) * 1000 * (1 - CLOCK_DRIFT)) + 5000

    def pass_time(self, now):
        """End what is done and what has no lease."""
        lapsed = self.clock_ms(now) >= self.deadline_ms
        for key, run in list(self.running.items()):
            if now >= run.ends_at:
                self.end(key, RunEndKind.DONE)
            elif lapsed:
                self.end(key, RunEndKind.LEASE_EXPIRED)

    def end(self, key, kind):
        """End a run and list it."""
        run = self.running.pop(key)
        self.ends.append(EndedRun(len(self.ends) + 1, run.run_id, kind))

    def take(self, order, now):
        """Carry out an order; return its outcome."""
        if order.token < self.token and self.fences:
            return Rejected(RejectReason.FENCED)
        self.token = order.token
        if isinstance(order, StartOrder):
            return self.start(order, now)
        if isinstance(order, StopOrder):
            return self.stop(order, now)
        self.extend(order.deadline_ms, now)
        return Listing(
            self.clock_ms(now),
            self.lives,
            tuple(
                ActiveRun(run.run_id, run.percent(now)) for run in self.running.values()
            ),
            tuple(end for end in self.ends if end.number > order.acknowledged),
        )

    def extend(self, deadline_ms, now):
        """Extend the lease as far as it may be."""
        if deadline_ms is not None:
            latest = self.clock_ms(now) + int(LEASE_MAX_S * 1000)
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest))

    def start(self, order, now):
        """Start a run."""
        key = order.run_id
        if order.deadline_ms <= self.clock_ms(now):
            return Rejected(RejectReason.DEADLINE_PASSED)
        self.extend(order.deadline_ms, now)
        if key in self.running:
            return Accepted(self.clock_ms(now))
        if key.run <= self.stopped.get((key.job_id, key.index), 0):
            return Rejected(RejectReason.RUN_TOO_OLD)
        self.running[key] = SimulatedRun(key, now + RUN_S)
        return Accepted(self.clock_ms(now))

    def stop(self, order, now):
        """Stop a run, and refuse it from now on."""
        key = order.run_id
        task = key.job_id, key.index
        self.stopped[task] = max(key.run, self.stopped.get(task, 0))
        if key in self.running:
            self.end(key, RunEndKind.STOPPED)
        return Accepted(self.clock_ms(now))
