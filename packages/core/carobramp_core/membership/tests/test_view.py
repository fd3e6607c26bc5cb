"""The view of the other entry VMs."""

import itertools
import unittest

from carobramp_core.dispatch.messages import TeamLoad
from carobramp_core.membership.messages import (
    HeartbeatFailed,
    HeartbeatReceived,
    HeartbeatStatus,
    MemberRemoved,
    PeerBecameLive,
    PeerBecameSilent,
    Tick,
    VmListRead,
)
from carobramp_core.membership.view import FAR_KNOWN_S, FAR_TURNS, MembershipView
from carobramp_core.platform import VmEntry
from carobramp_schema.generated.settings import MembershipSettings, PeerAddress

NO_UPSTREAMS: frozenset[str] = frozenset()


def status(vm, zone="tilburg", number=1, **fields):
    """Build the status of a VM."""
    values = {
        "incarnation": "a1",
        "address": ("127.0.0.3", 3),
        "leaving": False,
        "state_digest": "",
        "highest_known_number": number,
        "team_loads": None,
        "zone_peer_count": 0,
    }
    return HeartbeatStatus(vm=vm, zone=zone, state_number=number, **(values | fields))


def entry(name, zone="tilburg", leaving=False):
    """Build an entry of the platform's list."""
    return VmEntry(name, "127.0.0.2", 2, zone, leaving)


class ViewTests(unittest.TestCase):
    """Liveness, candidates and addresses."""

    def setUp(self):
        """Start the view of one VM with one peer in its settings."""
        peer = PeerAddress("known", "127.0.0.1", 1, "tilburg")
        self.view = MembershipView("me", "tilburg", MembershipSettings(), [peer], 0.0)

    def hear(self, now, vm, zone="tilburg", **fields):
        """Take a heartbeat."""
        return self.view.handle(HeartbeatReceived(status(vm, zone, **fields)), now)

    def read_list(self, now, *entries, upstreams=NO_UPSTREAMS):
        """Take a reading of the list."""
        return self.view.handle(VmListRead(entries, upstreams), now)

    def names(self, now):
        """Return the names of the live VMs."""
        return {member.name for member in self.view.live_peers(now)}

    def test_only_heartbeats_make_live(self):
        """Guards against trusting a stale list."""
        self.read_list(1.0, entry("listed"))
        self.assertEqual(self.names(1.0), set())
        self.assertEqual(self.hear(2.0, "listed"), [PeerBecameLive("listed")])
        self.assertEqual(self.names(2.0), {"listed"})

    def test_windows(self):
        """Guards against wrong windows for the own and other zones."""
        self.hear(1.0, "near")
        self.hear(1.0, "far", "breda")
        self.assertEqual(self.names(4.5), {"near", "far"})
        self.assertEqual(self.names(4.6), {"far"})
        self.assertEqual(self.view.handle(Tick(), 4.6), [PeerBecameSilent("near")])
        self.assertEqual(self.names(15.0), {"far"})
        self.assertEqual(self.names(15.1), set())

    def test_empty_and_short_list(self):
        """Guards against dropping VMs because the list is empty or stale."""
        self.read_list(1.0, entry("listed"))
        self.hear(1.0, "listed")
        self.hear(1.0, "unlisted")
        self.read_list(2.0)
        self.read_list(3.0, entry("another"))
        self.view.handle(Tick(), 4.0)
        self.assertEqual(self.names(4.0), {"listed", "unlisted"})

    def test_forgotten_only_when_absent_and_silent(self):
        """Guards against keeping dead VMs or dropping quiet ones."""
        self.read_list(1.0, entry("listed"))
        self.hear(1.0, "listed")
        self.hear(1.0, "unlisted")
        changes = self.view.handle(Tick(), 31.0)
        self.assertIn(MemberRemoved("unlisted", ("127.0.0.3", 3)), changes)
        self.assertEqual(set(self.view.members), {"known", "listed"})
        self.read_list(32.0, entry("another"))
        self.view.handle(Tick(), 32.0)
        self.assertEqual(set(self.view.members), {"known", "another"})

    def test_address_precedence(self):
        """Guards against bypassing a relay or proxy that the settings name."""
        self.hear(1.0, "known")
        self.read_list(1.0, entry("known"))
        self.assertEqual(self.view.address_of("known"), ("127.0.0.1", 1))
        self.hear(1.0, "listed")
        self.assertEqual(self.view.address_of("listed"), ("127.0.0.3", 3))
        self.read_list(2.0, entry("listed"))
        self.assertEqual(self.view.address_of("listed"), ("127.0.0.2", 2))
        self.assertIsNone(self.view.address_of("unknown"))

    def test_number_of_one_process_never_falls(self):
        """Guards against an answer that was overtaken by a newer one."""
        self.hear(1.0, "known", number=5, state_digest="five")
        self.hear(1.1, "known", number=4, state_digest="four")
        self.assertEqual(self.view.members["known"].status.state_number, 5)
        self.hear(1.2, "known", number=3, incarnation="b2")
        self.assertEqual(self.view.members["known"].status.state_number, 3)

    def test_upstream_marks_outlast_a_stale_list(self):
        """Guards against new tasks to a leaving upstream while the list lags."""
        upstreams = frozenset({"up-1"})
        self.read_list(1.0, entry("up-1", leaving=True), upstreams=upstreams)
        self.assertEqual(self.view.leaving_upstreams, {"up-1"})
        self.assertNotIn("up-1", self.view.members)
        self.read_list(2.0, entry("up-1"), upstreams=upstreams)
        self.read_list(3.0)
        self.assertEqual(self.view.leaving_upstreams, {"up-1"})
        self.read_list(31.0, entry("up-1"), upstreams=upstreams)
        self.assertEqual(self.view.leaving_upstreams, set())

    def test_own_name_is_no_peer(self):
        """Guards against a VM that counts itself twice."""
        self.read_list(1.0, entry("me"))
        self.hear(1.0, "me")
        self.assertEqual(set(self.view.members), {"known"})

    def test_members_are_bounded(self):
        """Guards against invented names that fill the memory."""
        for number in range(2000):
            self.hear(1.0, f"vm-{number}")
        self.assertEqual(len(self.view.members), 1024)


class TargetTests(unittest.TestCase):
    """Who gets heartbeats and notices."""

    def setUp(self):
        """Start the view of one VM among 15 zones of 8 VMs."""
        self.view = MembershipView("z00-0", "z00", MembershipSettings(), [], 0.0)
        names = [(f"z{z:02d}-{n}", f"z{z:02d}") for z in range(15) for n in range(8)]
        entries = tuple(entry(name, zone) for name, zone in names)
        self.view.handle(VmListRead(entries, NO_UPSTREAMS), 0.0)

    def hear_all(self, now, **fields):
        """Hear every VM once."""
        for member in list(self.view.members.values()):
            event = HeartbeatReceived(status(member.name, member.zone, **fields))
            self.view.handle(event, now)

    def test_counts_at_full_size(self):
        """Guards against more heartbeats than the control budget allows."""
        self.assertEqual(len(self.view.local_heartbeat_targets(1.0)), 7)
        self.assertEqual(len(self.view.remote_heartbeat_targets(1.0)), 14)
        self.hear_all(1.0)
        self.assertEqual(len(self.view.ticket_notification_targets(1.0)), 7 + 14)

    def test_one_exchange_for_both_sides(self):
        """Guards against two exchanges for each pair and second."""
        self.hear_all(1.0)
        self.assertEqual(self.view.local_heartbeat_targets(1.4), [])
        self.assertEqual(len(self.view.local_heartbeat_targets(2.0)), 7)

    def test_far_rotation(self):
        """Guards against VMs of other zones that are never asked."""
        asked = set()
        for turn in range(8):
            for member in self.view.remote_heartbeat_targets(4.0 * turn):
                member.heartbeat_sent_at = 4.0 * turn
                asked.add(member.name)
        self.assertEqual(len(asked), 14 * 8)

    def test_far_vm_that_answers_keeps_its_turn(self):
        """Guards against a connection to each VM of each other zone."""
        chosen = []
        for turn in range(3 * FAR_TURNS):
            now = 4.0 * turn
            (member,) = [
                m for m in self.view.remote_heartbeat_targets(now) if m.zone == "z01"
            ]
            member.heartbeat_sent_at = now
            self.view.handle(HeartbeatReceived(status(member.name, "z01")), now + 0.1)
            chosen.append(member.name)
        changes = sum(a != b for a, b in itertools.pairwise(chosen))
        self.assertEqual(changes, 3)
        self.assertEqual(len(set(chosen)), 4)

    def test_far_vm_is_live_with_its_zone(self):
        """Guards against VMs of other zones that seem dead between their turns."""
        self.view.handle(HeartbeatReceived(status("zone-01-a", "zone-01")), 1.0)
        self.view.handle(HeartbeatReceived(status("zone-01-b", "zone-01")), 100.0)
        member = self.view.members["zone-01-a"]
        self.assertTrue(self.view.is_live(member, 101.0))
        self.assertFalse(self.view.is_live(member, 115.0))
        self.view.handle(HeartbeatReceived(status("zone-01-b", "zone-01")), 120.0)
        self.view.handle(HeartbeatFailed("zone-01-a"), 121.0)
        self.assertFalse(self.view.is_live(member, 121.0))
        self.view.handle(HeartbeatReceived(status("zone-01-a", "zone-01")), 122.0)
        self.assertTrue(self.view.is_live(member, 123.0))
        self.assertFalse(self.view.is_live(member, 123.0 + FAR_KNOWN_S))

    def test_far_zone_counts_and_loads(self):
        """Guards against shares that miss VMs of other zones."""
        load = (TeamLoad("club", 2, 1),)
        self.hear_all(1.0, zone_peer_count=7, team_loads=load)
        seen = self.view.summarize_live_vms((), 1.0).live_vms
        self.assertEqual((seen.zone_vms, seen.all_vms), (8, 120))
        # Seven VMs of the own zone and one sum for each of 14 other zones.
        self.assertEqual(seen.loads, (TeamLoad("club", 42, 21),))

    def test_sum_of_the_own_zone(self):
        """Guards against telling other zones only a part of the zone's loads."""
        self.hear_all(1.0, team_loads=(TeamLoad("club", 2, 1),))
        summary = self.view.summarize_live_vms((TeamLoad("club", 1, 0),), 1.0)
        self.assertEqual(summary.zone_peer_count, 7)
        self.assertEqual(summary.zone_team_loads, (TeamLoad("club", 15, 7),))

    def test_partitioned_zones_count_for_nothing(self):
        """Guards against reserving slots for VMs that cannot be reached."""
        self.hear_all(1.0, zone_peer_count=7, team_loads=(TeamLoad("club", 2, 1),))
        seen = self.view.summarize_live_vms((), 16.0).live_vms
        self.assertEqual((seen.zone_vms, seen.all_vms, seen.loads), (1, 1, ()))


if __name__ == "__main__":
    unittest.main()
