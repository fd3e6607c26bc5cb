"""Tests of the rooms in the frames of capacity reports."""

import unittest

from carobramp_core.cells.messages import CapacityReport, ServiceRoom
from carobramp_daemon.cells import frames
from carobramp_daemon.cells.room_frames import MAX_ROOM_BYTES
from carobramp_schema.generated import cells_pb2 as pb

ROOM = ServiceRoom("order-desk", 19200, 59, 0.125, 1.17)


def report(*rooms) -> CapacityReport:
    """Build a report with rooms."""
    return CapacityReport("tilburg", 3, 64000, 128000, 1.5, rooms=rooms)


class RoomFrameTests(unittest.TestCase):
    """Reports with and without rooms, and rooms that are out of bounds."""

    def test_rooms_arrive_as_they_were_sent(self):
        """Guards against a number that the other end takes for another one."""
        for message in (report(), report(ROOM), report(ROOM, ROOM)):
            self.assertEqual(frames.decode(frames.encode(message)), message)

    def test_report_of_an_earlier_version(self):
        """Guards against a link that is closed during a rolling update."""
        room = pb.Room(cell="tilburg", token=3, free_cpu=64000, total_cpu=128000)
        received = frames.decode(pb.Frame.FromString(_data(room)))
        self.assertEqual((received.free_cpu, received.rooms), (64000, ()))

    def test_size_of_the_rooms(self):
        """Guards against reports that are long, ten times a second to 120 entries."""
        plain = len(frames.encode(report()).SerializeToString())
        large = ServiceRoom("s" * 20, 99999, 9999, 59.999, 4.0)
        frame = frames.encode(report(large, large, large, large))
        size = len(frame.SerializeToString())
        self.assertLessEqual(size - plain, MAX_ROOM_BYTES + 1)
        self.assertEqual(len(frame.room.rooms), 2)

    def test_more_rooms_than_are_read(self):
        """Guards against an unbounded number of rooms from a later version."""
        room = pb.ServiceRoom(service="a", task_cpu=1, speed_percent=1)
        frame = pb.Frame(room=pb.Room(cell="tilburg", rooms=[room] * 9))
        self.assertEqual(len(frames.decode(frame).rooms), 4)

    def test_numbers_out_of_bounds(self):
        """Guards against a size or speed of 0, by which the choice would divide."""
        good = {"service": "a", "task_cpu": 1, "speed_percent": 1}
        for field, value in (
            ("service", ""),
            ("task_cpu", 0),
            ("startable", 4_000_000_000),
            ("wait_ms", 60_001),
            ("speed_percent", 0),
        ):
            room = pb.ServiceRoom(**(good | {field: value}))
            frame = pb.Frame(room=pb.Room(cell="tilburg", rooms=[room]))
            with self.subTest(field=field), self.assertRaises(ValueError):
                frames.decode(frame)


def _data(room: pb.Room) -> bytes:
    return pb.Frame(room=room).SerializeToString()
