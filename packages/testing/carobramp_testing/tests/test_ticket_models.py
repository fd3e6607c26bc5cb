"""The specifications of tickets hold, and their mutants do not."""

import unittest

from carobramp_testing.models.tickets import SPECIFICATIONS, broken, check


class TicketModelTests(unittest.TestCase):
    """Every reachable state within the bounds is explored."""

    def test_specifications_hold(self):
        """Guards against a rule of tickets that some order of events breaks."""
        for specification in SPECIFICATIONS:
            with self.subTest(specification=specification.name):
                report = check(specification)
                self.assertTrue(report["exhaustive"])
                self.assertEqual(broken(report), {})

    def test_mutants_are_refuted(self):
        """Guards against a specification that cannot see a missing safeguard."""
        for specification in SPECIFICATIONS:
            for safeguard in specification.safeguards:
                with self.subTest(specification=specification.name, lacks=safeguard):
                    self.assertTrue(broken(check(specification, safeguard)))


if __name__ == "__main__":
    unittest.main()
