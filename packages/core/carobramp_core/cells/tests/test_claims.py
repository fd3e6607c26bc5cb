"""Tests of taking over cells."""

import dataclasses
import unittest

from carobramp_core.cells.claims import (
    TOKEN_BLOCK,
    ClaimView,
    choose_deputy,
    claim_token,
    deputy_token,
    should_claim,
    should_reclaim,
)

VIEW = ClaimView(
    had_owner=True,
    owner_silence_s=0.5,
    same_zone=True,
    owner_suitable=True,
    rank=0,
    peers_answered=2,
    peers_hearing_owner=0,
    uptime_s=20.0,
)


def view(**fields):
    """Build a view of a silent owner that two others do not hear either."""
    return dataclasses.replace(VIEW, **fields)


class ClaimTests(unittest.TestCase):
    """Takeovers of silent cells."""

    def test_silent_owner_is_replaced(self):
        """Guards against a cell that nobody serves."""
        self.assertTrue(should_claim(view()))

    def test_owner_that_others_hear_stays(self):
        """Guards against a daemon behind a cut that deposes a sound owner."""
        self.assertFalse(should_claim(view(peers_hearing_owner=1)))

    def test_lone_daemon_waits(self):
        """Guards against a daemon that is itself cut off."""
        self.assertFalse(should_claim(view(peers_answered=0)))
        self.assertTrue(should_claim(view(peers_answered=0, owner_silence_s=2.5)))

    def test_own_zone_goes_first(self):
        """Guards against a cell that leaves its zone while a daemon there is live."""
        self.assertFalse(should_claim(view(same_zone=False)))
        self.assertTrue(should_claim(view(same_zone=False, owner_silence_s=1.0)))

    def test_leaving_daemon_claims_nothing(self):
        """Guards against a cell whose owner is about to stop."""
        self.assertFalse(should_claim(view(draining=True)))

    def test_first_owner_is_not_the_first_to_start(self):
        """Guards against a small machine that owns a cell from the start."""
        self.assertFalse(should_claim(view(had_owner=False, uptime_s=0.1)))
        self.assertTrue(should_claim(view(had_owner=False, uptime_s=0.5)))

    def test_cell_returns_to_an_owner_that_fits(self):
        """Guards against a cell that stays with another zone or a small machine."""
        self.assertTrue(should_reclaim(view(owner_suitable=False)))
        self.assertFalse(should_reclaim(view()))
        self.assertFalse(should_reclaim(view(owner_suitable=False, uptime_s=0.5)))


@dataclasses.dataclass(frozen=True)
class Vm:
    """A daemon that may be a deputy."""

    vm: str
    availability_zone: str
    cores: float = 1.0

    def candidate_sort_key(self):
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
