"""Tests of the order of waiting tasks and of reserved slots."""

import collections
import unittest

from carobramp_core.dispatch.tests.support import Driver, upstream_state
from carobramp_schema.generated.ticket import PriorityClass, TeamState


class OrderTests(unittest.TestCase):
    """Order between classes, teams and jobs."""

    def setUp(self):
        """Build the dispatcher of each test."""
        teams = {"bakery": TeamState(100), "club": TeamState(100, weight=3.0)}
        upstreams = {"up-0": upstream_state(slots=1)}
        self.driver = Driver(upstreams=upstreams, teams=teams)
        self.driver.submit("running", run_ms=100, deadline=500)

    def start_order(self, count):
        """Finish `count` tasks in turn; return the submission ids that start next."""
        names = []
        starts = [s for s in self.driver.all_effects if hasattr(s, "payload")]
        for _ in range(count):
            self.driver.now += 0.1
            self.driver.answer(starts[-1])
            starts += self.driver.starts()
            names.append(starts[-1].task_id.submission_id)
        return names

    def test_interactive_overtakes_batch(self):
        """Guards against a short interactive job that waits for a whole batch job."""
        self.driver.submit("b", tasks=3, priority_class="batch", deadline=500)
        self.driver.submit("i", deadline=500)
        self.assertEqual(self.start_order(2), ["i", "b"])

    def test_batch_does_not_starve(self):
        """Guards against batch jobs that wait forever."""
        self.driver.submit("b", priority_class="batch", deadline=500)
        self.driver.now += 31
        self.driver.submit("i", deadline=500)
        self.assertEqual(self.start_order(1), ["b"])

    def test_teams_share_by_weight(self):
        """Guards against a team that gets more than its share."""
        self.driver.submit("a", tasks=30, deadline=500)
        self.driver.submit("c", tasks=30, team="club", deadline=500)
        counts = collections.Counter(self.start_order(20))
        self.assertAlmostEqual(counts["c"], 15, delta=1)

    def test_a_small_job_overtakes_a_large_one_of_its_team(self):
        """Guards against a small job that waits for one of hundreds of tasks."""
        self.driver.submit("large", tasks=100, deadline=500)
        self.driver.now += 0.5
        self.driver.submit("small", deadline=500)
        self.assertEqual(self.start_order(1), ["small"])

    def test_a_large_job_does_not_starve(self):
        """Guards against small jobs that always overtake a large one."""
        self.driver.submit("large", tasks=20, deadline=500)
        names = []
        for number in range(40):
            self.driver.submit(f"small-{number}", deadline=500)
            names += self.start_order(1)
        self.assertIn("large", names)

    def test_reserved_slots_stay_free_of_other_classes(self):
        """Guards against batch tasks that occupy every slot."""
        classes = [
            PriorityClass("interactive", max_wait_ms=0, reserved_percent=25),
            PriorityClass("batch", max_wait_ms=30000),
        ]
        upstreams = {"up-0": upstream_state(slots=8)}
        driver = Driver(upstreams=upstreams, classes=classes)
        driver.submit("b", tasks=20, priority_class="batch", deadline=500)
        self.assertEqual(len(driver.starts()), 6)
        driver.submit("i", tasks=3, deadline=500)
        self.assertEqual(len(driver.starts()), 2)


if __name__ == "__main__":
    unittest.main()
