"""The specification of cells holds, and needs each safeguard."""

import unittest

from carobramp_testing.models.cells import (
    FENCE,
    GATE,
    INHERITED,
    KINDS,
    LEASE_LIMIT,
    PROMISES,
    SAFEGUARDS,
    SETTLED,
    play,
    specification,
)
from carobramp_testing.models.specification import check

# Faults at two of the four steps of the whole specification, which takes a minute.
SHORT_STEPS = (1, 4)
# Mutants that only two faults together break.
PAIRS = {
    GATE: ((1, "evacuate"), (1, "cut_upstream")),
    FENCE: ((1, "late_orders"), (2, "kill_owner")),
    LEASE_LIMIT: ((2, "kill_entry"), (2, "lose_stops")),
    INHERITED: ((1, "shorten_lives"), (2, "kill_daemon")),
    SETTLED: ((4, "take_over"), (4, "cut_upstream")),
}


class CellModelTests(unittest.TestCase):
    """Series of two faults, and mutants."""

    def test_specification_holds(self):
        """Guards against decisions that run a task twice or deny a run."""
        verdict = check(specification(SHORT_STEPS))
        self.assertTrue(verdict.exhaustive)
        self.assertEqual(verdict.broken, {})

    def test_late_order_to_a_former_life_is_harmless(self):
        """Guards against a late start that runs in a later life of its upstream.

        The deadline of the start lay in the future of the clock that began anew.
        """
        for step in (2, 4, 8):
            state = play(((1, "late_orders"), (step, "restart_upstream")))
            self.assertFalse(state.two_runs, step)

    def test_each_safeguard_is_needed(self):
        """Guards against a specification too weak to show what a safeguard does."""
        for safeguard, invariant in SAFEGUARDS.items():
            with self.subTest(without=safeguard):
                series = [PAIRS[safeguard]] if safeguard in PAIRS else self.singles()
                states = [play(faults, safeguard) for faults in series]
                holds = PROMISES[invariant]
                broken = [s for s in states if not holds(s._asdict())]
                self.assertTrue(broken)
                sound = play(broken[0].faults)._asdict()
                self.assertTrue(all(promise(sound) for promise in PROMISES.values()))

    def singles(self):
        """Return the series of one fault."""
        return [((step, kind),) for step in (1, 2, 4) for kind in KINDS]


if __name__ == "__main__":
    unittest.main()
