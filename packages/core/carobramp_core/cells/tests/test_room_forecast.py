"""Tests of the forecast of when tasks can start."""

import unittest

from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.orders import RunId
from carobramp_core.cells.room_forecast import count_startable, forecast_room
from carobramp_core.cells.tests import support
from carobramp_core.cells.upstreams import Run, Upstream

NOW = 100.0


def idle_upstream(name="i-1", **fields) -> Upstream:
    """Build an upstream that answers and has no runs."""
    item = Upstream(support.upstream(name, **fields), CellLimits(), NOW)
    item.answered, item.suspect = True, False
    return item


def add_run(item: Upstream, cpu, started_at, expected_s):
    """Let a run of a task with `cpu` occupy an upstream."""
    job = support.job(f"job-{len(item.runs)}", cpu=cpu)
    run_id = RunId(job.job_id, 0, 1)
    item.add_run(
        Run(run_id, item.name, job, "front-1", started_at, expected_s=expected_s)
    )


class RoomForecastTests(unittest.TestCase):
    """Places on upstreams that have free cores or expected ends."""

    def test_free_cores_on_many_upstreams(self):
        """Guards against counting free cores in sum: 3 times 5 hold no task of 8."""
        upstreams = [idle_upstream(f"i-{i}", cpu=16000) for i in range(3)]
        for item in upstreams:
            add_run(item, 11000, NOW - 0.1, 0.3)
        forecast = forecast_room(upstreams, support.job(cpu=8000), NOW)
        self.assertEqual(forecast.startable, 0)
        self.assertAlmostEqual(forecast.wait_s(), 0.2)

    def test_tasks_ahead(self):
        """Guards against a wait that ignores who is served first."""
        upstreams = [idle_upstream(cpu=16000)]
        forecast = forecast_room(upstreams, support.job(cpu=8000), NOW)
        self.assertEqual(forecast.startable, 2)
        starts = [forecast.take(0.5) - NOW for _ in range(5)]
        self.assertEqual(starts, [0.0, 0.0, 0.5, 0.5, 1.0])

    def test_overdue_run(self):
        """Guards against an overdue run whose place counts as free now."""
        upstreams = [idle_upstream(cpu=8000)]
        add_run(upstreams[0], 8000, NOW - 1.0, 0.4)
        forecast = forecast_room(upstreams, support.job(cpu=8000), NOW)
        self.assertEqual(forecast.startable, 0)
        self.assertAlmostEqual(forecast.wait_s(), 0.1)

    def test_probed_upstream(self):
        """Guards against places on an upstream that gets one run at a time."""
        upstreams = [idle_upstream(cpu=32000)]
        upstreams[0].probing = True
        forecast = forecast_room(upstreams, support.job(cpu=8000), NOW)
        self.assertEqual(forecast.startable, 1)
        job = support.job(cpu=8000)
        self.assertEqual(count_startable(upstreams, job, NOW, enough=4), 1)

    def test_no_upstream(self):
        """Guards against a finite wait where nothing can run the task."""
        forecast = forecast_room([], support.job(), NOW)
        self.assertEqual(forecast.take(0.1), float("inf"))

    def test_slow_place_is_passed_over(self):
        """Guards against a wide job whose last task is expected on a slow upstream."""
        upstreams = [idle_upstream(f"i-{i}", cpu=8000) for i in range(2)]
        upstreams[0].learn_speed(0.4)
        forecast = forecast_room(upstreams, support.job(cpu=8000), NOW)
        start_at, end_at = forecast.take_all(2, 0.1, NOW + 0.21)
        self.assertAlmostEqual(start_at - NOW, 0.1)
        self.assertAlmostEqual(end_at - NOW, 0.2)
        self.assertEqual(forecast.take(0.1), NOW)
