"""Tests of taking over cells."""

import dataclasses
import unittest

from carobramp_core.cells.claims import (
    TOKEN_BLOCK,
    ClaimView,
    choose_deputy,
    claim_token,
    decide_claim,
    decide_return,
    deputy_token,
)

VIEW = ClaimView(
    owned=True,
    silent_s=0.5,
    same_zone=True,
    owner_fits=True,
    rank=0,
    witnesses=2,
    hearing=0,
    up_s=20.0,
)


def view(**fields):
    """Build a view of a silent owner that two others do not hear either."""
    return dataclasses.replace(VIEW, **fields)


class ClaimTests(unittest.TestCase):
    """Takeovers of silent cells."""

    def test_silent_owner_is_replaced(self):
        """Guards against a cell that nobody serves."""
        self.assertTrue(decide_claim(view()))

    def test_owner_that_others_hear_stays(self):
        """Guards against a daemon behind a cut that deposes a sound owner."""
        self.assertFalse(decide_claim(view(hearing=1)))

    def test_lone_daemon_waits(self):
        """Guards against a daemon that is itself cut off."""
        self.assertFalse(decide_claim(view(witnesses=0)))
        self.assertTrue(decide_claim(view(witnesses=0, silent_s=2.5)))

    def test_own_zone_goes_first(self):
        """Guards against a cell that leaves its zone while a daemon there is live."""
        self.assertFalse(decide_claim(view(same_zone=False)))
        self.assertTrue(decide_claim(view(same_zone=False, silent_s=1.0)))

    def test_leaving_daemon_claims_nothing(self):
        """Guards against a cell whose owner is about to stop."""
        self.assertFalse(decide_claim(view(leaving=True)))

    def test_first_owner_is_not_the_first_to_start(self):
        """Guards against a small machine that owns a cell from the start."""
        self.assertFalse(decide_claim(view(owned=False, up_s=0.1)))
        self.assertTrue(decide_claim(view(owned=False, up_s=0.5)))

    def test_cell_returns_to_an_owner_that_fits(self):
        """Guards against a cell that stays with another zone or a small machine."""
        self.assertTrue(decide_return(view(owner_fits=False)))
        self.assertFalse(decide_return(view()))
        self.assertFalse(decide_return(view(owner_fits=False, up_s=0.5)))


@dataclasses.dataclass(frozen=True)
class Vm:
    """A daemon that may be a deputy."""

    vm: str
    availability_zone: str
    cores: float = 1.0

    def rank_key(self):
        """Return the key by which candidates are ordered."""
        return -self.cores, self.vm


class DeputyTests(unittest.TestCase):
    """The daemon that may take a cell over without the store."""

    def test_deputy_is_in_the_zone_of_the_cell(self):
        """Guards against a deputy that a cut of the zone separates from it."""
        vms = [Vm("breda-1", "breda", 4.0), Vm("tilburg-2", "tilburg")]
        self.assertEqual(choose_deputy("tilburg", vms, None), "tilburg-2")
        self.assertEqual(choose_deputy("tilburg", vms, "breda-1"), "tilburg-2")

    def test_live_deputy_is_kept(self):
        """Guards against a token for each daemon that comes and goes."""
        vms = [Vm("tilburg-1", "tilburg", 4.0), Vm("tilburg-2", "tilburg")]
        self.assertEqual(choose_deputy("tilburg", vms, "tilburg-2"), "tilburg-2")

    def test_lone_daemon_has_none(self):
        """Guards against a deputy that is not there."""
        self.assertIsNone(choose_deputy("tilburg", [], "tilburg-2"))

    def test_no_token_is_given_twice(self):
        """Guards against two owners that upstreams cannot tell apart."""
        own = claim_token(0)
        given, tokens = own, []
        while (token := deputy_token(own, given)) is not None:
            given = token
            tokens.append(token)
        self.assertEqual(len(set(tokens)), TOKEN_BLOCK - 1)
        self.assertLess(max(tokens), claim_token(own))
        self.assertEqual([t for t in tokens if deputy_token(t, t) is not None], [])
