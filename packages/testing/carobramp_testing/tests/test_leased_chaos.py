"""Seeded runs of the fault soak on the stand-in platform."""

import unittest

from carobramp_testing.chaos.leased import LeasedChaos

SHORT_SEED = 2
SHORT_S = 8.0
FAILURE_LOGS = ".failed-runs"
COMMAND = (
    f"python -m carobramp_testing.chaos.leased --seed={SHORT_SEED} --seconds={SHORT_S}"
)


class LeasedChaosTests(unittest.IsolatedAsyncioTestCase):
    """Kills, pauses, cuts and a misbehaving platform, overlapping."""

    async def test_short_run_keeps_the_promises(self):
        """Guards against doubled runs, false refusals and lasting outages."""
        chaos = LeasedChaos(SHORT_SEED, SHORT_S, logs=FAILURE_LOGS)
        violations = await chaos.run()
        self.assertEqual(violations, [], f"logs in {FAILURE_LOGS}; again: {COMMAND}")
