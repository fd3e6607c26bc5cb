"""Records of the upstreams that were lost while they ran a task.

Explanation
===========

A task may crash each upstream that starts it. A crashed upstream lists no end of its
runs, so each loss of an upstream counts against every task that may have been running
there. A loss is identified by the number of the run: daemons exchange their records,
and a loss that is reported again, by another daemon or after a takeover, counts once.
It no longer counts once the upstream has turned out to be alive. Records outlive the
request, since a caller may send the job again to any daemon.
"""

from collections.abc import Iterable

from carobramp_core.cells.messages import LossEvidence, UpstreamLoss

# Crashes of upstreams under a task after which it is given up.
MAX_CRASHES = 2
# Losses of upstreams under a task after which it is given up although some of them may
# have been network partitions.
MAX_LOSSES = 3
# Time from the last loss of a job until it is forgotten; longer than any caller waits.
RETENTION_S = 60.0
# Jobs with records; the one whose last loss is the longest ago is dropped first.
MAX_JOBS = 10_000


class CrashRecords:
    """Losses of upstreams by job, as far as this process knows them.

    Examples
    ========

    >>> records = CrashRecords()
    >>> loss = UpstreamLoss("5c0e", index=3, run=7, evidence=LossEvidence.CRASHED)
    >>> records.record([loss, loss], now=1.0) == (loss,)
    True
    >>> records.is_suspect("5c0e", 3), records.given_up_task("5c0e")
    (True, None)
    >>> second = UpstreamLoss("5c0e", index=3, run=9, evidence=LossEvidence.CRASHED)
    >>> _ = records.record([second], now=2.0)
    >>> records.given_up_task("5c0e")
    3
    """

    def __init__(self):
        # Evidence by index of the task and number of the run; by job, in the order of
        # their last losses.
        self.jobs: dict[str, dict[tuple[int, int], LossEvidence]] = {}
        self.recorded_at: dict[str, float] = {}

    def record(self, losses: Iterable[UpstreamLoss], now) -> tuple[UpstreamLoss, ...]:
        """Add losses and return those that were unknown or have better evidence."""
        new = []
        for loss in losses:
            runs = self.jobs.get(loss.job_id, {})
            key = loss.index, loss.run
            if key in runs and loss.evidence <= runs[key]:
                continue
            self.forget(loss.job_id)
            self.jobs[loss.job_id] = {**runs, key: loss.evidence}
            self.recorded_at[loss.job_id] = now
            new.append(loss)
        self.remove_expired(now)
        return tuple(new)

    def forget(self, job_id):
        """Remove the losses of a job."""
        self.jobs.pop(job_id, None)
        self.recorded_at.pop(job_id, None)

    def remove_expired(self, now):
        """Remove the jobs with the oldest losses beyond the limits of time and size."""
        while self.jobs:
            oldest = next(iter(self.jobs))
            recent = now - self.recorded_at[oldest] < RETENTION_S
            if recent and len(self.jobs) <= MAX_JOBS:
                return
            self.forget(oldest)

    def losses_of(self, job_id) -> tuple[UpstreamLoss, ...]:
        """Return the losses of a job."""
        runs = self.jobs.get(job_id, {})
        return tuple(
            UpstreamLoss(job_id, index, run, evidence)
            for (index, run), evidence in runs.items()
        )

    def all_losses(self) -> tuple[UpstreamLoss, ...]:
        """Return the losses of all jobs."""
        return tuple(loss for job_id in self.jobs for loss in self.losses_of(job_id))

    def is_suspect(self, job_id, index) -> bool:
        """Return whether an upstream was lost under a task."""
        return bool(self.evidence_by_task(job_id).get(index))

    def given_up_task(self, job_id) -> int | None:
        """Return the index of a task that must not start again, or None.

        The job cannot be completed without that task.
        """
        for index, losses in self.evidence_by_task(job_id).items():
            crashes = losses.count(LossEvidence.CRASHED)
            if crashes >= MAX_CRASHES or len(losses) >= MAX_LOSSES:
                return index
        return None

    def evidence_by_task(self, job_id) -> dict[int, list[LossEvidence]]:
        """Return the evidence of the losses that count, by index of the task."""
        by_task: dict[int, list[LossEvidence]] = {}
        for (index, _), evidence in self.jobs.get(job_id, {}).items():
            if evidence != LossEvidence.ALIVE:
                by_task.setdefault(index, []).append(evidence)
        return by_task
