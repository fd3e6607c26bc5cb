"""Owners of a cell that are lost one after the other, as separate processes."""

import asyncio
import unittest

from carobramp_testing.chaos.leased import FAILURE_LOGS
from carobramp_testing.chaos.successors import (
    Loss,
    Plan,
    SuccessorsChaos,
    draw_plans,
)

DAEMONS = 4
SHORT_SEED, SHORT_ROUNDS = 7, 4
AWAY_S = 2.0


class SuccessorsTests(unittest.IsolatedAsyncioTestCase):
    """Runs that several owners adopt one after the other."""

    async def asyncSetUp(self):
        """Leave out the debug mode, which is too slow for the daemons' time limits."""
        asyncio.get_running_loop().set_debug(False)

    async def test_each_successor_prolongs_the_runs_of_a_lost_entry(self):
        """Guards against two runs of a task after several owners were killed.

        Each of them granted the runs that it adopted a lease of its own; no stop order
        got through.
        """
        losses = tuple(Loss("kill", life_s, AWAY_S) for life_s in (0.1, 0.5, 0.5))
        plan = Plan(0, None, 0.1, AWAY_S, losses, orders_lost=True)
        chaos = SuccessorsChaos(0, [plan], DAEMONS, FAILURE_LOGS)
        violations = await chaos.run()
        self.assertEqual(violations, [], [chaos.summary(), *chaos.history])

    async def test_short_run_keeps_the_promises(self):
        """Guards against doubled runs while owners are killed, paused and stopped."""
        plans = draw_plans(SHORT_SEED, SHORT_ROUNDS, DAEMONS)
        chaos = SuccessorsChaos(SHORT_SEED, plans, DAEMONS, FAILURE_LOGS)
        violations = await chaos.run()
        self.assertEqual(violations, [], chaos.summary())


if __name__ == "__main__":
    unittest.main()
