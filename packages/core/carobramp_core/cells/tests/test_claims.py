"""Tests of claims of cells and of deputies."""

import dataclasses
import unittest

from carobramp_core.cells.claims import (
    PROBED_SERVICES,
    PROBED_UPSTREAMS,
    TOKEN_BLOCK,
    ClaimView,
    choose_deputy,
    choose_probed_upstreams,
    claim_token,
    deputy_token,
    should_claim,
    should_reclaim,
)
from carobramp_core.cells.tests.support import upstream

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
    """Build a view of a silent owner to which two other daemons have no link either."""
    return dataclasses.replace(VIEW, **fields)


class ProbeTests(unittest.TestCase):
    """Probes of upstreams before a claim."""

    def test_entries_of_another_program_hide_the_upstreams_beside_them(self):
        """Guards against a cell that nobody claims after all daemons were restarted.

        The same entries were probed at each attempt, and none of them answered.
        """
        others = [upstream(f"a-{n}", service="label-printer") for n in range(9)]
        workers = [upstream(f"i-{n}") for n in range(3)]
        probed = choose_probed_upstreams([*others, *workers], 0)
        self.assertTrue(set(workers) & set(probed))

    def test_some_upstream_is_never_probed(self):
        """Guards against upstreams that no number of attempts reaches."""
        for services in (1, 2, 4, 5, 8, 9):
            for members in (1, 2, 3, 7, 40):
                listed = [
                    upstream(f"{service}-{n}", service=f"{service}")
                    for service in range(services)
                    for n in range(members)
                ]
                rounds = len(listed)
                probes = [choose_probed_upstreams(listed, n) for n in range(rounds)]
                self.assertEqual(set().union(*probes), set(listed))
                most = PROBED_SERVICES * (2 * PROBED_UPSTREAMS - 1)
                self.assertLessEqual(max(map(len, probes)), most)

    def test_one_service_is_probed_as_often_as_needed(self):
        """Guards against probes, which are priced, of every upstream."""
        listed = [upstream(f"i-{n}") for n in range(24)]
        self.assertEqual(len(choose_probed_upstreams(listed, 0)), PROBED_UPSTREAMS)
        self.assertEqual(choose_probed_upstreams([], 0), [])


class ClaimTests(unittest.TestCase):
    """Claims of cells with a silent or an unsuitable owner."""

    def test_silent_owner_is_replaced(self):
        """Guards against a cell that stays without a working owner."""
        self.assertTrue(should_claim(view()))

    def test_owner_linked_to_a_peer_is_not_replaced(self):
        """Guards against a partitioned daemon that takes over from a healthy owner."""
        self.assertFalse(should_claim(view(peers_hearing_owner=1)))

    def test_daemon_without_answers_of_peers_waits_longer(self):
        """Guards against a takeover by a daemon that is itself partitioned."""
        self.assertFalse(should_claim(view(peers_answered=0)))
        self.assertTrue(should_claim(view(peers_answered=0, owner_silence_s=2.5)))

    def test_daemon_of_the_own_zone_claims_first(self):
        """Guards against an owner in another zone while the own zone has a daemon."""
        self.assertFalse(should_claim(view(same_zone=False)))
        self.assertTrue(should_claim(view(same_zone=False, owner_silence_s=1.0)))

    def test_draining_daemon_claims_nothing(self):
        """Guards against a new owner that is about to stop."""
        self.assertFalse(should_claim(view(draining=True)))

    def test_first_claim_waits_for_a_minimum_uptime(self):
        """Guards against a small VM that owns a cell because it started first."""
        self.assertFalse(should_claim(view(had_owner=False, uptime_s=0.1)))
        self.assertTrue(should_claim(view(had_owner=False, uptime_s=0.5)))

    def test_cell_is_reclaimed_from_an_unsuitable_owner(self):
        """Guards against keeping an owner in another zone or on a small VM."""
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
        """Return the sort key; the VM with the most cores is first."""
        return -self.cores, self.vm


class DeputyTests(unittest.TestCase):
    """Choice of deputies and their tokens."""

    def test_deputy_is_in_the_zone_of_the_cell(self):
        """Guards against a deputy that a partition separates from the cell's zone."""
        vms = [Vm("breda-1", "breda", 4.0), Vm("tilburg-2", "tilburg")]
        self.assertEqual(choose_deputy("tilburg", vms, None), "tilburg-2")
        self.assertEqual(choose_deputy("tilburg", vms, "breda-1"), "tilburg-2")

    def test_live_deputy_is_kept(self):
        """Guards against using a token for each daemon that joins or leaves."""
        vms = [Vm("tilburg-1", "tilburg", 4.0), Vm("tilburg-2", "tilburg")]
        self.assertEqual(choose_deputy("tilburg", vms, "tilburg-2"), "tilburg-2")

    def test_owner_without_linked_daemons_has_no_deputy(self):
        """Guards against a deputy that is no longer linked."""
        self.assertIsNone(choose_deputy("tilburg", [], "tilburg-2"))

    def test_no_token_is_assigned_twice(self):
        """Guards against two owners with one token, which upstreams cannot fence."""
        own_token = claim_token(0)
        last_assigned, tokens = own_token, []
        while (token := deputy_token(own_token, last_assigned)) is not None:
            last_assigned = token
            tokens.append(token)
        self.assertEqual(len(set(tokens)), TOKEN_BLOCK - 1)
        self.assertLess(max(tokens), claim_token(own_token))
        self.assertEqual([t for t in tokens if deputy_token(t, t) is not None], [])
