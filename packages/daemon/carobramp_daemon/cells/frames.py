"""Conversion of messages between an entry and an owner to frames and back."""

import dataclasses
import functools
import math
from collections.abc import Callable

from carobramp_core.cells.claims import Deputy
from carobramp_core.cells.evacuation import Evacuations
from carobramp_core.cells.lease_limits import LeaseLimitsReport
from carobramp_core.cells.messages import (
    CancelJob,
    CancelRequest,
    CapacityReport,
    Job,
    JobCancelled,
    LossEvidence,
    Offer,
    Placement,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
    TasksStarted,
    UpstreamLoss,
    UpstreamLosses,
    UpstreamNames,
)
from carobramp_core.cells.orders import UpstreamRecord, UpstreamState
from carobramp_daemon.cells.room_frames import decode_rooms, encode_rooms
from carobramp_schema.generated import cells_pb2 as pb

JOB_FIELDS = (
    "job_id",
    "spec",
    "service",
    "queue",
    "tasks",
    "cpu",
    "memory_mb",
    "accelerators",
    "estimate_ms",
    "priority",
    "stretch",
    "target_ms",
    "max_attempts",
)


@functools.singledispatch
def encode(message) -> pb.Frame:
    """Return the frame that carries a message."""
    raise TypeError(f"cannot encode {message!r} as a frame")


@encode.register
def _(message: Offer):
    job = {name: getattr(message.job, name) for name in JOB_FIELDS}
    offer = pb.Offer(
        **job,
        indexes=message.indexes,
        age_s=message.age_s,
        may_wait=message.may_wait,
        resumed=message.resumed,
        committed=message.committed,
        avoid=message.avoid,
        members=message.members,
        losses=map(encode_loss, message.losses),
        placements=map(encode_placement, message.placements),
    )
    return pb.Frame(offer=offer)


@encode.register
def _(message: CancelJob):
    return pb.Frame(cancel=pb.Cancel(job_id=message.job_id))


@encode.register
def _(message: CancelRequest):
    request = pb.Cancel(job_id=message.job_id, to_entries=message.to_entries)
    return pb.Frame(cancel_request=request)


@encode.register
def _(message: JobCancelled):
    return pb.Frame(cancelled=pb.Cancel(job_id=message.job_id))


@encode.register
def _(message: TasksReturned):
    # An earlier version closes a link for a reason that it does not know.
    evacuated = message.reason == ReturnReason.EVACUATED
    returned = pb.Returned(
        job_id=message.job_id,
        indexes=message.indexes,
        reason=ReturnReason.NO_SERVICE if evacuated else message.reason,
        evacuated=evacuated,
        retry_after_s=message.retry_after_s,
    )
    return pb.Frame(returned=returned)


@encode.register
def _(message: TasksStarted):
    started = pb.Started(
        job_id=message.job_id,
        indexes=message.indexes,
        placements=map(encode_placement, message.placements),
    )
    return pb.Frame(started=started)


@encode.register
def _(message: TaskEnded):
    ended = pb.TaskEnded(
        job_id=message.job_id,
        index=message.index,
        result=message.result,
        upstream=message.upstream,
    )
    return pb.Frame(task_ended=ended)


@encode.register
def _(message: UpstreamNames):
    return pb.Frame(members=pb.Members(names=message.names))


@encode.register
def _(message: UpstreamLosses):
    losses = pb.UpstreamLosses(losses=map(encode_loss, message.losses))
    return pb.Frame(upstream_losses=losses)


@encode.register
def _(message: CapacityReport):
    report = pb.Room(
        cell=message.cell,
        token=message.token,
        free_cpu=message.free_cpu,
        total_cpu=message.total_cpu,
        waiting_s=message.waiting_s,
        evacuated=message.evacuated,
        evacuations_version=message.evacuations_version,
        rooms=encode_rooms(message.rooms),
    )
    return pb.Frame(room=report)


@encode.register
def _(message: Evacuations):
    evacuations = pb.Evacuations(version=message.version, zones=sorted(message.zones))
    return pb.Frame(evacuations=evacuations)


@encode.register
def _(message: Deputy):
    deputy = pb.Deputy(
        vm=message.vm,
        host=message.host,
        link_port=message.link_port,
        incarnation=message.incarnation,
        token=message.token,
        upstreams=map(encode_upstream, message.upstreams),
    )
    return pb.Frame(deputy=deputy)


@encode.register
def _(message: LeaseLimitsReport):
    return pb.Frame(lease_limits=encode_lease_limits(message))


def encode_lease_limits(report: LeaseLimitsReport) -> pb.LeaseLimits:
    """Return the protobuf message that reports lease limits."""
    limits = [
        pb.LeaseLimit(upstream=name, remaining_s=remaining_s)
        for name, remaining_s in report.remaining_s
    ]
    return pb.LeaseLimits(token=report.token, limits=limits)


def decode_lease_limits(limits: pb.LeaseLimits) -> LeaseLimitsReport:
    """Return the report of lease limits in a message; an invalid time has passed."""
    remaining = ((limit.upstream, limit.remaining_s) for limit in limits.limits)
    return LeaseLimitsReport(
        limits.token,
        tuple(
            (name, remaining_s if math.isfinite(remaining_s) else 0.0)
            for name, remaining_s in remaining
        ),
    )


def encode_loss(loss: UpstreamLoss) -> pb.UpstreamLoss:
    """Return the protobuf message that describes the loss of an upstream."""
    return pb.UpstreamLoss(
        job_id=loss.job_id, index=loss.index, run=loss.run, evidence=loss.evidence
    )


def decode_losses(losses) -> tuple[UpstreamLoss, ...]:
    """Return the losses in a field of a frame; unknown evidence raises `ValueError`."""
    return tuple(
        UpstreamLoss(loss.job_id, loss.index, loss.run, LossEvidence(loss.evidence))
        for loss in losses
    )


def encode_placement(placement: Placement) -> pb.Placement:
    """Return the protobuf message that says where a task was started."""
    return pb.Placement(
        index=placement.index,
        run=placement.run,
        upstream=placement.upstream,
        born_ms=placement.born_ms,
    )


def decode_placements(placements) -> tuple[Placement, ...]:
    """Return the placements in a field of a frame."""
    return tuple(Placement(p.index, p.run, p.upstream, p.born_ms) for p in placements)


def decode_offer(offer: pb.Offer) -> Offer:
    """Return the offer in the body of a frame, with its job."""
    job = Job(**{name: getattr(offer, name) for name in JOB_FIELDS})
    return Offer(
        job,
        tuple(offer.indexes),
        offer.age_s,
        offer.may_wait,
        offer.resumed,
        offer.committed,
        tuple(offer.avoid),
        tuple(offer.members),
        decode_losses(offer.losses),
        decode_placements(offer.placements),
    )


def decode_tasks_returned(returned: pb.Returned) -> TasksReturned:
    """Return the message in a frame body; an unknown reason raises `ValueError`."""
    reason = ReturnReason(returned.reason)
    return TasksReturned(
        returned.job_id,
        tuple(returned.indexes),
        ReturnReason.EVACUATED if returned.evacuated else reason,
        returned.retry_after_s,
    )


def decode_tasks_started(started: pb.Started) -> TasksStarted:
    """Return the message in a frame body."""
    return TasksStarted(
        started.job_id, tuple(started.indexes), decode_placements(started.placements)
    )


def decode_task_ended(ended: pb.TaskEnded) -> TaskEnded:
    """Return the message in a frame body; an unknown result raises `ValueError`."""
    result = TaskResult(ended.result)
    return TaskEnded(ended.job_id, ended.index, result, ended.upstream)


def decode_capacity_report(report: pb.Room) -> CapacityReport:
    """Return the report of an owner about the free capacity of its cell."""
    return CapacityReport(
        report.cell,
        report.token,
        report.free_cpu,
        report.total_cpu,
        report.waiting_s,
        report.evacuated,
        report.evacuations_version,
        decode_rooms(report.rooms),
    )


def encode_upstream(upstream: UpstreamRecord) -> pb.UpstreamEntry:
    """Return the protobuf message that describes an upstream."""
    return pb.UpstreamEntry(**dataclasses.asdict(upstream))


def decode_upstream(entry: pb.UpstreamEntry) -> UpstreamRecord:
    """Return the upstream that a protobuf message describes."""
    fields = {
        field.name: getattr(entry, field.name)
        for field in dataclasses.fields(UpstreamRecord)
    }
    fields["state"] = UpstreamState(entry.state)
    fields["labels"] = tuple(entry.labels)
    return UpstreamRecord(**fields)


def decode_deputy(deputy: pb.Deputy) -> Deputy:
    """Return the deputy in a frame body, with the upstreams that it was sent."""
    return Deputy(
        deputy.vm,
        deputy.host,
        deputy.link_port,
        deputy.incarnation,
        deputy.token,
        tuple(map(decode_upstream, deputy.upstreams)),
    )


DECODERS: dict[str, Callable] = {
    "offer": decode_offer,
    "cancel": lambda cancel: CancelJob(cancel.job_id),
    "cancel_request": lambda body: CancelRequest(body.job_id, body.to_entries),
    "cancelled": lambda cancel: JobCancelled(cancel.job_id),
    "returned": decode_tasks_returned,
    "started": decode_tasks_started,
    "task_ended": decode_task_ended,
    "room": decode_capacity_report,
    "deputy": decode_deputy,
    "evacuations": lambda body: Evacuations(body.version, frozenset(body.zones)),
    "lease_limits": decode_lease_limits,
    "members": lambda members: UpstreamNames(tuple(members.names)),
    "upstream_losses": lambda body: UpstreamLosses(decode_losses(body.losses)),
}


def decode(frame: pb.Frame):
    """Return the message in a frame; None for a heartbeat or an unknown kind.

    Raises
    ======

    ValueError : the frame names a reason or result that this version does not know
    """
    kind = frame.WhichOneof("body")
    decoder = DECODERS.get(kind)
    return decoder(getattr(frame, kind)) if decoder else None
