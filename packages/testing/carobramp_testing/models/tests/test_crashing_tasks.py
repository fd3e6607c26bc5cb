"""A task that crashes upstreams is given up, whatever else fails meanwhile."""

import itertools
import unittest

from carobramp_core.cells.crash_records import MAX_CRASHES, MAX_LOSSES
from carobramp_core.cells.messages import Failed
from carobramp_testing.models.crashing_tasks import CrashingWorld

# The platform allows two more starts after three upstreams have crashed under a task.
MAX_CRASHES_UNDER_FAULTS = 5
FAULTS = (
    "take_over",
    "kill_owner",
    "freeze_owner_long",
    "kill_entry",
    "caller_leaves",
    "cut_link",
    "cut_to_owner",
)
# Steps before and after the loss of the first and of the second upstream is noticed.
AT_STEPS = (2, 8, 13, 20)


class CrashingTaskTests(unittest.TestCase):
    """One task that crashes each upstream that starts it."""

    def test_task_crashes_one_upstream_after_another(self):
        """Guards against a task that is started again until its caller gives up."""
        world = CrashingWorld(()).run()
        self.assertLessEqual(world.crash_count, MAX_CRASHES)
        self.assertIsInstance(world.outcomes[-1], Failed)

    def test_task_crashes_upstreams_that_turn_silent(self):
        """Guards against crashes that are taken for network partitions."""
        world = CrashingWorld((), silent=True).run()
        self.assertLessEqual(world.crash_count, MAX_LOSSES)
        self.assertIsInstance(world.outcomes[-1], Failed)

    def test_crashes_are_forgotten_with_an_owner_or_an_entry(self):
        """Guards against a count that a takeover or another request begins anew."""
        singles = itertools.product(AT_STEPS, FAULTS)
        for first, second in itertools.combinations(singles, 2):
            with self.subTest(faults=(first, second)):
                world = CrashingWorld((first, second)).run()
                self.assertLessEqual(world.crash_count, MAX_CRASHES_UNDER_FAULTS)


if __name__ == "__main__":
    unittest.main()
