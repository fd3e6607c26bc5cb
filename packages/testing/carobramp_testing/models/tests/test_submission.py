"""The specifications of submissions hold, and need each safeguard."""

import unittest

from carobramp_testing.models.specification import check
from carobramp_testing.models.submission import specifications


class SubmissionModelTests(unittest.TestCase):
    """Each specification holds; each mutant has a counterexample."""

    def test_specifications_hold(self):
        """Guards against decisions that allow a second start or a false answer."""
        for specification in specifications():
            with self.subTest(specification.name):
                verdict = check(specification)
                self.assertTrue(verdict.exhaustive)
                self.assertEqual(verdict.broken, {})

    def test_each_safeguard_is_needed(self):
        """Guards against a specification too weak to show what a safeguard does."""
        for specification in specifications():
            for safeguard, invariant in specification.safeguards.items():
                with self.subTest(specification.name, without=safeguard):
                    verdict = check(specification, without=safeguard)
                    self.assertEqual(list(verdict.broken), [invariant])


if __name__ == "__main__":
    unittest.main()
