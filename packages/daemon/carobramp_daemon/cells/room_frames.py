"""Conversion of the rooms in a capacity report to protobuf messages and back."""

from collections.abc import Iterable

from carobramp_core.cells.messages import (
    MAX_SERVICE_ROOMS,
    ROOM_WAIT_MAX_S,
    ServiceRoom,
)
from carobramp_schema.generated import cells_pb2 as pb

# Size of the rooms in a report, which up to 120 entries receive ten times a second.
MAX_ROOM_BYTES = 100
# Tag and length before each room.
HEADER_BYTES = 2
# Smallest and largest value of each number of a room that is accepted.
BOUNDS = {
    "task_cpu": (1, 100_000_000),
    "startable": (0, 1_000_000),
    "wait_ms": (0, int(ROOM_WAIT_MAX_S * 1000)),
    "speed_percent": (1, 10_000),
}


def encode_rooms(rooms: Iterable[ServiceRoom]) -> list[pb.ServiceRoom]:
    """Return the messages of the first rooms that fit into the report."""
    encoded, size = [], 0
    for room in tuple(rooms)[:MAX_SERVICE_ROOMS]:
        message = pb.ServiceRoom(
            service=room.service,
            task_cpu=room.task_cpu,
            startable=room.startable,
            wait_ms=round(room.wait_s * 1000),
            speed_percent=round(room.speed * 100),
        )
        size += message.ByteSize() + HEADER_BYTES
        if size > MAX_ROOM_BYTES:
            break
        encoded.append(message)
    return encoded


def decode_rooms(rooms: Iterable[pb.ServiceRoom]) -> tuple[ServiceRoom, ...]:
    """Return the rooms of a report; a later version may send more than are read.

    Raises
    ======

    ValueError : a number is out of bounds, or a room names no service
    """
    return tuple(decode_room(room) for room in tuple(rooms)[:MAX_SERVICE_ROOMS])


def decode_room(room: pb.ServiceRoom) -> ServiceRoom:
    """Return the room that a message describes; see `decode_rooms`."""
    if not room.service:
        raise ValueError("room without a service")
    for field, (least, most) in BOUNDS.items():
        value = getattr(room, field)
        if not least <= value <= most:
            raise ValueError(f"{field} of a room: expected {least}..{most}: {value}")
    return ServiceRoom(
        room.service,
        room.task_cpu,
        room.startable,
        room.wait_ms / 1000,
        room.speed_percent / 100,
    )
