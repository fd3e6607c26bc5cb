"""Frames of a link between an entry and an owner, from and to messages."""

import dataclasses
import functools
from collections.abc import Callable

from carobramp_core.cells.claims import Deputy
from carobramp_core.cells.messages import (
    CancelJob,
    CapacityReport,
    Job,
    Offer,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
    TasksStarted,
    UpstreamNames,
)
from carobramp_core.cells.orders import UpstreamRecord, UpstreamState
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
    """Return the frame of a message."""
    raise TypeError(f"no frame for {message!r}")


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
    )
    return pb.Frame(offer=offer)


@encode.register
def _(message: CancelJob):
    return pb.Frame(cancel=pb.Cancel(job_id=message.job_id))


@encode.register
def _(message: TasksReturned):
    returned = pb.Returned(
        job_id=message.job_id,
        indexes=message.indexes,
        reason=message.reason,
        retry_after_s=message.retry_after_s,
    )
    return pb.Frame(returned=returned)


@encode.register
def _(message: TasksStarted):
    return pb.Frame(started=pb.Started(job_id=message.job_id, indexes=message.indexes))


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
def _(message: CapacityReport):
    room = pb.Room(
        cell=message.cell,
        token=message.token,
        free_cpu=message.free_cpu,
        total_cpu=message.total_cpu,
        waiting_s=message.waiting_s,
    )
    return pb.Frame(room=room)


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


def decode_offer(offer: pb.Offer) -> Offer:
    """Return the offer of a frame."""
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
    )


def decode_returned(returned: pb.Returned) -> TasksReturned:
    """Return the message of a frame."""
    return TasksReturned(
        returned.job_id,
        tuple(returned.indexes),
        ReturnReason(returned.reason),
        returned.retry_after_s,
    )


def decode_ended(ended: pb.TaskEnded) -> TaskEnded:
    """Return the message of a frame."""
    result = TaskResult(ended.result)
    return TaskEnded(ended.job_id, ended.index, result, ended.upstream)


def decode_room(room: pb.Room) -> CapacityReport:
    """Return the message of a frame."""
    return CapacityReport(
        room.cell, room.token, room.free_cpu, room.total_cpu, room.waiting_s
    )


def encode_upstream(upstream: UpstreamRecord) -> pb.UpstreamEntry:
    """Return the entry of an upstream."""
    return pb.UpstreamEntry(**dataclasses.asdict(upstream))


def decode_upstream(entry: pb.UpstreamEntry) -> UpstreamRecord:
    """Return the upstream of an entry."""
    fields = {
        field.name: getattr(entry, field.name)
        for field in dataclasses.fields(UpstreamRecord)
    }
    fields["state"] = UpstreamState(entry.state)
    fields["labels"] = tuple(entry.labels)
    return UpstreamRecord(**fields)


def decode_deputy(deputy: pb.Deputy) -> Deputy:
    """Return the message of a frame."""
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
    "returned": decode_returned,
    "started": lambda started: TasksStarted(started.job_id, tuple(started.indexes)),
    "task_ended": decode_ended,
    "room": decode_room,
    "deputy": decode_deputy,
    "members": lambda members: UpstreamNames(tuple(members.names)),
}


def decode(frame: pb.Frame):
    """Return the message of a frame; None for a heartbeat or an unknown frame.

    Raises
    ======

    ValueError : the frame names a reason or result that this version does not know
    """
    kind = frame.WhichOneof("body")
    decoder = DECODERS.get(kind)
    return decoder(getattr(frame, kind)) if decoder else None
