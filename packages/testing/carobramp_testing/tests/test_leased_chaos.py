"""Seeded runs of the fault soak on the stand-in platform."""

import asyncio
import unittest

from carobramp_testing.chaos.leased import FAILURE_LOGS, LeasedChaos

SHORT_SEED = 2
SHORT_S = 8.0
COMMAND = (
    f"python -m carobramp_testing.chaos.leased --seed={SHORT_SEED} --seconds={SHORT_S}"
)


class LeasedChaosTests(unittest.IsolatedAsyncioTestCase):
    """Kills, pauses, cuts and a misbehaving platform, overlapping."""

    async def test_short_run_keeps_the_promises(self):
        """Guards against doubled runs, false refusals and lasting outages.

        The store, the workers and the relays run in the loop of the test; its debug
        mode makes them too slow for the time limits of the daemons on a busy machine.
        """
        asyncio.get_running_loop().set_debug(False)
        chaos = LeasedChaos(SHORT_SEED, SHORT_S, logs=FAILURE_LOGS)
        violations = await chaos.run()
        hint = f"logs in {FAILURE_LOGS}; again: {COMMAND}; {chaos.summary()}"
        self.assertEqual(violations, [], hint)
