"""Tests of the rooms in a capacity report."""

import unittest

from carobramp_core.cells.messages import MAX_SERVICE_ROOMS, ROOM_WAIT_MAX_S
from carobramp_core.cells.service_rooms import MAX_SIMULATED, SIZE_RETENTION_S
from carobramp_core.cells.tests import support
from carobramp_schema.generated.scheduling import SchedulingSettings

SCHEDULING = SchedulingSettings(expected_end_routing=True)


def idle_cell(*upstreams) -> support.OwnerHarness:
    """Return a cell whose upstreams have answered and are idle."""
    harness = support.OwnerHarness(*upstreams)
    harness.owner.scheduling = SCHEDULING
    for item in upstreams:
        harness.answer_poll(item.name)
    return harness


def uniform_cell(count=4, cpu=16000) -> support.OwnerHarness:
    """Return a cell of equal upstreams of one service."""
    return idle_cell(*(support.upstream(f"i-{i}", cpu=cpu) for i in range(count)))


def rooms_of(harness):
    """Return the rooms that the owner reports now."""
    return harness.owner.capacity_report(harness.now).rooms


class ServiceRoomTests(unittest.TestCase):
    """Rooms behind the runs and the waiting tasks of a cell."""

    def test_free_remainders_on_many_upstreams(self):
        """Guards against 12 upstreams with 5 free cores reported as 60."""
        harness = uniform_cell(12)
        harness.offer(support.job("a" * 16, 12, cpu=11000))
        harness.offer(support.job(cpu=8000))
        report = harness.owner.capacity_report(harness.now)
        (largest, median) = report.rooms
        self.assertEqual(report.free_cpu, 12 * 5000)
        self.assertEqual((median.task_cpu, median.startable), (8000, 0))
        self.assertEqual(largest.task_cpu, 11000)
        self.assertGreater(median.wait_s, 0.0)

    def test_waiting_tasks_take_their_places(self):
        """Guards against a wait that leaves out the tasks that wait already."""
        harness = uniform_cell(1)
        harness.offer(support.job("a" * 16, 2, cpu=8000))
        (empty,) = rooms_of(harness)
        harness.offer(support.job("b" * 16, 2, cpu=8000))
        (queued,) = rooms_of(harness)
        self.assertAlmostEqual(empty.wait_s, 0.1)
        self.assertAlmostEqual(queued.wait_s, 0.2)

    def test_more_waiting_tasks_than_are_simulated(self):
        """Guards against a wait that stops growing with a long queue."""
        harness = uniform_cell(1)
        item = support.job("a" * 16, 2 * MAX_SIMULATED, cpu=8000, target_ms=1e6)
        harness.offer(item)
        (room,) = rooms_of(harness)
        self.assertAlmostEqual(room.wait_s, 0.1 * MAX_SIMULATED, delta=0.2)

    def test_task_that_fits_on_no_upstream(self):
        """Guards against one oversized task that makes an idle cell report no room."""
        harness = uniform_cell()
        harness.offer(support.job("a" * 16, cpu=8000))
        harness.offer(support.job("b" * 16, cpu=90000))
        (room,) = rooms_of(harness)
        self.assertEqual((room.task_cpu, room.startable), (8000, 7))

    def test_sizes_are_forgotten(self):
        """Guards against sizes of the past that hide what present tasks could use."""
        harness = uniform_cell()
        harness.offer(support.job(cpu=16000))
        harness.now += SIZE_RETENTION_S + 0.1
        self.assertEqual(rooms_of(harness), ())
        self.assertEqual(harness.owner.offered_sizes.offers, {})

    def test_speed_of_the_upstreams_with_room(self):
        """Guards against the speed of busy upstreams for a task that starts now."""
        harness = uniform_cell(2)
        harness.offer(support.job("a" * 16, cpu=16000))
        busy = next(u for u in harness.owner.upstreams.values() if u.runs)
        for upstream in harness.owner.upstreams.values():
            upstream.relative_speed = 1.2 if upstream is busy else 0.55
        (room,) = rooms_of(harness)
        self.assertEqual((room.startable, room.speed), (1, 0.55))

    def test_cell_without_usable_upstream(self):
        """Guards against an infinite or unbounded wait on the wire."""
        harness = uniform_cell(1)
        harness.offer(support.job(cpu=8000))
        harness.owner.upstreams["i-0"].quarantine(harness.now)
        (room,) = rooms_of(harness)
        self.assertEqual((room.startable, room.wait_s), (0, ROOM_WAIT_MAX_S))

    def test_many_services(self):
        """Guards against reports that grow with the number of services."""
        names = [f"service-{i}" for i in range(6)]
        harness = idle_cell(
            *(support.upstream(name, service=name, cpu=64000) for name in names)
        )
        for i, name in enumerate(names):
            harness.offer(support.job(f"{i:016}", i + 1, service=name, cpu=8000))
        rooms = rooms_of(harness)
        busiest = [room.service for room in rooms]
        self.assertEqual(busiest, names[: -MAX_SERVICE_ROOMS - 1 : -1])

    def test_decision_that_is_switched_off(self):
        """Guards against a change of behaviour without the setting."""
        harness = uniform_cell()
        harness.owner.scheduling = SchedulingSettings()
        harness.offer(support.job())
        self.assertEqual(rooms_of(harness), ())
        self.assertEqual(harness.owner.offered_sizes.offers, {})
