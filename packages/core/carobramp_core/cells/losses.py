"""How an owner notices that an upstream was lost together with its runs.

Explanation
===========

An upstream is lost when it has restarted, or when its lease has expired while it did
not answer. It has certainly crashed if another incarnation answers, certainly not if
the same one answers again, and most likely if nothing listens at its address; otherwise
it may be behind a network partition. The owner sends each loss to all entries, which
decide with `CrashRecords` whether a task is given up.
"""

import dataclasses
from collections.abc import Iterable

from carobramp_core.cells.messages import (
    LossEvidence,
    Offer,
    Placement,
    ReturnReason,
    TasksReturned,
    UpstreamLoss,
    UpstreamLosses,
)
from carobramp_core.cells.orders import (
    LogEvent,
    SendToAllEntries,
    SendToEntry,
    UpstreamState,
)
from carobramp_core.cells.placement import WaitingTask, ends_too_late
from carobramp_core.cells.upstreams import Run, RunPhase, Upstream

MS_PER_S = 1000


def record_losses(owner, losses: Iterable[UpstreamLoss], now, effects):
    """Record losses and send what is new to all entries.

    Waiting tasks of a job that is given up are dropped; the entry ends the job.
    """
    records = owner.crash_records
    new = records.record(losses, now)
    if not new:
        return
    effects.append(SendToAllEntries(UpstreamLosses(new)))
    job_ids = {loss.job_id for loss in new}
    given_up = {job for job in job_ids if records.given_up_task(job) is not None}
    owner.waiting = [w for w in owner.waiting if w.job.job_id not in given_up]


def losses_of_runs(upstream: Upstream, evidence) -> tuple[UpstreamLoss, ...]:
    """Return the loss of an upstream under each of its runs.

    The end of an upstream that has announced its departure says nothing of its tasks.
    """
    if upstream.record.state == UpstreamState.LEAVING:
        return ()
    return tuple(
        UpstreamLoss(run_id.job_id, run_id.index, run_id.run, evidence)
        for run_id in upstream.runs
    )


def record_restart(owner, upstream: Upstream, now, effects):
    """Record that the incarnation with the present runs has crashed."""
    log_lost_runs(upstream, "upstream restarted", effects)
    losses = losses_of_runs(upstream, LossEvidence.CRASHED)
    record_losses(owner, losses, now, effects)


def record_expired_lease(owner, upstream: Upstream, now, effects):
    """Record that the lease of an upstream without an answer has expired."""
    log_lost_runs(upstream, "lease expired", effects)
    losses = losses_of_runs(upstream, evidence_without_answer(upstream))
    upstream.unproven_losses += [(loss, upstream.born_ms) for loss in losses]
    record_losses(owner, losses, now, effects)


def evidence_without_answer(upstream: Upstream) -> LossEvidence:
    """Return what is known of an upstream that does not answer."""
    return LossEvidence.CRASHED if upstream.process_gone else LossEvidence.SILENT


def record_evidence(owner, upstream: Upstream, process_gone, now, effects):
    """Record whether a poll has shown that the upstream's incarnation is gone."""
    newly_gone = process_gone and not upstream.process_gone
    upstream.process_gone = process_gone
    if newly_gone:
        losses = (loss for loss, _ in upstream.unproven_losses)
        crashes = [with_evidence(loss, LossEvidence.CRASHED) for loss in losses]
        record_losses(owner, crashes, now, effects)
        interrupt_late_jobs(upstream, now, effects)


def interrupt_late_jobs(upstream: Upstream, now, effects):
    """Interrupt the jobs with a task that cannot start again in time to be useful.

    A refused connection does not prove that a run is over, so that its task starts
    again only when the lease of the upstream is over.
    """
    late: dict[str, str] = {}
    for run in upstream.runs.values():
        if run.entry and restarts_too_late(run, upstream.leased_until):
            late[run.run_id.job_id] = run.entry
    for job_id, entry in late.items():
        message = TasksReturned(job_id, (), ReturnReason.UPSTREAM_LOST)
        effects.append(SendToEntry(entry, message))
    if late:
        fields = {
            "upstream": upstream.name,
            "jobs": " ".join(late),
            "lease_ms": round((upstream.leased_until - now) * MS_PER_S),
        }
        effects.append(LogEvent("jobs interrupted by the loss of an upstream", fields))


def restarts_too_late(run: Run, restart_at) -> bool:
    """Return whether a task that starts again at `restart_at` would end too late."""
    if run.job is None or run.entry is None:
        return False
    task = WaitingTask(
        run.job, run.run_id.index, run.entry, run.received_at, run.expected_s
    )
    return ends_too_late(task, restart_at)


def record_answer(owner, upstream: Upstream, born_ms, now, effects):
    """Record whether losses were crashes, as the incarnation `born_ms` answers."""
    losses, upstream.unproven_losses = upstream.unproven_losses, []
    proven = []
    for loss, lost_born_ms in losses:
        alive = lost_born_ms == born_ms
        evidence = LossEvidence.ALIVE if alive else LossEvidence.CRASHED
        proven.append(with_evidence(loss, evidence))
    record_losses(owner, proven, now, effects)
    if proven:
        names = (f"{p.job_id}.{p.index}.{p.run}:{p.evidence.name}" for p in proven)
        fields = {
            "upstream": upstream.name,
            "born_ms": born_ms,
            "runs": " ".join(names),
        }
        effects.append(LogEvent("lost upstream answers", fields))


def with_evidence(loss: UpstreamLoss, evidence) -> UpstreamLoss:
    """Return a loss with other evidence."""
    return dataclasses.replace(loss, evidence=evidence)


def record_placement_losses(owner, offer: Offer, indexes, now, effects):
    """Record the upstreams that were lost between an earlier owner and this one.

    A resumed task whose run is over was lost with its upstream, unless the same
    incarnation of the upstream has answered this owner.
    """
    losses = []
    for placement in offer.placements:
        upstream = owner.upstreams.get(placement.upstream)
        if placement.index not in indexes or has_answered(upstream, placement):
            continue
        if upstream is not None and upstream.record.state == UpstreamState.LEAVING:
            continue
        evidence = evidence_for_placement(upstream)
        loss = UpstreamLoss(offer.job.job_id, placement.index, placement.run, evidence)
        losses.append(loss)
        if upstream is not None and not upstream.answered:
            upstream.unproven_losses.append((loss, placement.born_ms))
    record_losses(owner, losses, now, effects)


def evidence_for_placement(upstream: Upstream | None) -> LossEvidence:
    """Return what is known of an upstream whose earlier incarnation had a run.

    `upstream` is None if it is not listed any more.
    """
    if upstream is None:
        return LossEvidence.SILENT
    if upstream.answered:
        return LossEvidence.CRASHED
    return evidence_without_answer(upstream)


def has_answered(upstream: Upstream | None, placement: Placement) -> bool:
    """Return whether the incarnation of a placement has answered this owner."""
    return (
        upstream is not None
        and upstream.answered
        and upstream.born_ms == placement.born_ms
    )


def log_lost_runs(upstream: Upstream, cause, effects):
    """Log the runs that are lost with their upstream, and what is known of the loss."""
    if not upstream.runs:
        return
    names = (f"{r.job_id}.{r.index}.{r.run}" for r in upstream.runs)
    fields = {
        "upstream": upstream.name,
        "cause": cause,
        "born_ms": upstream.born_ms,
        "last_poll_error": upstream.last_poll_error,
        "runs": " ".join(names),
        "unconfirmed": sum(r.phase == RunPhase.UNKNOWN for r in upstream.runs.values()),
    }
    effects.append(LogEvent("runs lost with their upstream", fields))
