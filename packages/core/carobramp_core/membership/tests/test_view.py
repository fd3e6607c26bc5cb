"""Tests of the membership view."""

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
from carobramp_core.membership.view import (
    REMOTE_HEARTBEATS_PER_TURN,
    REMOTE_LIVE_MAX_S,
    MembershipView,
)
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
    """Build an entry of the platform's VM list."""
    return VmEntry(name, "127.0.0.2", 2, zone, leaving)


class ViewTests(unittest.TestCase):
    """Liveness, candidates and addresses."""

    def setUp(self):
        """Start the view of one VM with one peer in its settings."""
        peer = PeerAddress("configured", "127.0.0.1", 1, "tilburg")
        self.view = MembershipView("me", "tilburg", MembershipSettings(), [peer], 0.0)

    def receive_heartbeat(self, now, vm, zone="tilburg", **fields):
        """Handle a heartbeat from a VM and return the changes."""
        return self.view.handle(HeartbeatReceived(status(vm, zone, **fields)), now)

    def read_list(self, now, *entries, upstreams=NO_UPSTREAMS):
        """Handle a read of the VM list."""
        return self.view.handle(VmListRead(entries, upstreams), now)

    def live_names(self, now):
        """Return the names of the live VMs."""
        return {member.name for member in self.view.live_peers(now)}

    def test_only_heartbeats_make_vms_live(self):
        """Guards against treating a VM of a stale list as live."""
        self.read_list(1.0, entry("listed"))
        self.assertEqual(self.live_names(1.0), set())
        self.assertEqual(
            self.receive_heartbeat(2.0, "listed"), [PeerBecameLive("listed")]
        )
        self.assertEqual(self.live_names(2.0), {"listed"})

    def test_live_windows(self):
        """Guards against wrong live windows for the local and remote zones."""
        self.receive_heartbeat(1.0, "local")
        self.receive_heartbeat(1.0, "remote", "breda")
        self.assertEqual(self.live_names(4.5), {"local", "remote"})
        self.assertEqual(self.live_names(4.6), {"remote"})
        self.assertEqual(self.view.handle(Tick(), 4.6), [PeerBecameSilent("local")])
        self.assertEqual(self.live_names(15.0), {"remote"})
        self.assertEqual(self.live_names(15.1), set())

    def test_empty_and_short_list(self):
        """Guards against dropping VMs because the list is empty or stale."""
        self.read_list(1.0, entry("listed"))
        self.receive_heartbeat(1.0, "listed")
        self.receive_heartbeat(1.0, "unlisted")
        self.read_list(2.0)
        self.read_list(3.0, entry("another"))
        self.view.handle(Tick(), 4.0)
        self.assertEqual(self.live_names(4.0), {"listed", "unlisted"})

    def test_removed_only_when_unlisted_and_silent(self):
        """Guards against keeping dead VMs or removing listed silent ones."""
        self.read_list(1.0, entry("listed"))
        self.receive_heartbeat(1.0, "listed")
        self.receive_heartbeat(1.0, "unlisted")
        changes = self.view.handle(Tick(), 31.0)
        self.assertIn(MemberRemoved("unlisted", ("127.0.0.3", 3)), changes)
        self.assertEqual(set(self.view.members), {"configured", "listed"})
        self.read_list(32.0, entry("another"))
        self.view.handle(Tick(), 32.0)
        self.assertEqual(set(self.view.members), {"configured", "another"})

    def test_address_precedence(self):
        """Guards against bypassing a relay or proxy that the settings name."""
        self.receive_heartbeat(1.0, "configured")
        self.read_list(1.0, entry("configured"))
        self.assertEqual(self.view.address_of("configured"), ("127.0.0.1", 1))
        self.receive_heartbeat(1.0, "listed")
        self.assertEqual(self.view.address_of("listed"), ("127.0.0.3", 3))
        self.read_list(2.0, entry("listed"))
        self.assertEqual(self.view.address_of("listed"), ("127.0.0.2", 2))
        self.assertIsNone(self.view.address_of("unknown"))

    def test_state_number_of_one_incarnation_never_decreases(self):
        """Guards against a reply that arrives after a newer one."""
        self.receive_heartbeat(1.0, "configured", number=5, state_digest="five")
        self.receive_heartbeat(1.1, "configured", number=4, state_digest="four")
        self.assertEqual(self.view.members["configured"].status.state_number, 5)
        self.receive_heartbeat(1.2, "configured", number=3, incarnation="b2")
        self.assertEqual(self.view.members["configured"].status.state_number, 3)

    def test_stale_list_does_not_clear_leaving_upstreams(self):
        """Guards against new tasks for a leaving upstream while the list is stale."""
        upstreams = frozenset({"up-1"})
        self.read_list(1.0, entry("up-1", leaving=True), upstreams=upstreams)
        self.assertEqual(self.view.leaving_upstreams, {"up-1"})
        self.assertNotIn("up-1", self.view.members)
        self.read_list(2.0, entry("up-1"), upstreams=upstreams)
        self.read_list(3.0)
        self.assertEqual(self.view.leaving_upstreams, {"up-1"})
        self.read_list(31.0, entry("up-1"), upstreams=upstreams)
        self.assertEqual(self.view.leaving_upstreams, set())

    def test_own_name_is_not_a_peer(self):
        """Guards against a VM that counts itself as a peer."""
        self.read_list(1.0, entry("me"))
        self.receive_heartbeat(1.0, "me")
        self.assertEqual(set(self.view.members), {"configured"})

    def test_members_are_bounded(self):
        """Guards against unbounded memory use through made-up VM names."""
        for number in range(2000):
            self.receive_heartbeat(1.0, f"vm-{number}")
        self.assertEqual(len(self.view.members), 1024)


class TargetTests(unittest.TestCase):
    """Which VMs get heartbeats and ticket notifications, and the summary."""

    def setUp(self):
        """Start the view of one VM among 15 zones of 8 VMs."""
        self.view = MembershipView("z00-0", "z00", MembershipSettings(), [], 0.0)
        names = [(f"z{z:02d}-{n}", f"z{z:02d}") for z in range(15) for n in range(8)]
        entries = tuple(entry(name, zone) for name, zone in names)
        self.view.handle(VmListRead(entries, NO_UPSTREAMS), 0.0)

    def receive_all_heartbeats(self, now, **fields):
        """Handle one heartbeat from every VM."""
        for member in list(self.view.members.values()):
            event = HeartbeatReceived(status(member.name, member.zone, **fields))
            self.view.handle(event, now)

    def test_target_counts_at_full_size(self):
        """Guards against more heartbeats than the control traffic budget allows."""
        self.assertEqual(len(self.view.local_heartbeat_targets(1.0)), 7)
        self.assertEqual(len(self.view.remote_heartbeat_targets(1.0)), 14)
        self.receive_all_heartbeats(1.0)
        self.assertEqual(len(self.view.ticket_notification_targets(1.0)), 7 + 14)

    def test_one_exchange_updates_both_sides(self):
        """Guards against two exchanges per pair of VMs in each interval."""
        self.receive_all_heartbeats(1.0)
        self.assertEqual(self.view.local_heartbeat_targets(1.4), [])
        self.assertEqual(len(self.view.local_heartbeat_targets(2.0)), 7)

    def test_remote_targets_rotate(self):
        """Guards against VMs of remote zones that never get a heartbeat."""
        targets = set()
        for turn in range(8):
            for member in self.view.remote_heartbeat_targets(4.0 * turn):
                member.heartbeat_sent_at = 4.0 * turn
                targets.add(member.name)
        self.assertEqual(len(targets), 14 * 8)

    def test_answering_remote_vm_stays_target(self):
        """Guards against a connection to each VM of each remote zone."""
        chosen = []
        for turn in range(3 * REMOTE_HEARTBEATS_PER_TURN):
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

    def test_remote_vm_stays_live_with_its_zone(self):
        """Guards against treating remote VMs as dead between their turns."""
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
        self.assertFalse(self.view.is_live(member, 123.0 + REMOTE_LIVE_MAX_S))

    def test_remote_zone_counts_and_loads(self):
        """Guards against capacity shares that omit VMs of remote zones."""
        load = (TeamLoad("club", 2, 1),)
        self.receive_all_heartbeats(1.0, zone_peer_count=7, team_loads=load)
        live_vms = self.view.summarize_live_vms((), 1.0).live_vms
        self.assertEqual((live_vms.zone_vms, live_vms.all_vms), (8, 120))
        # Seven VMs of the local zone and one sum for each of 14 remote zones.
        self.assertEqual(live_vms.loads, (TeamLoad("club", 42, 21),))

    def test_local_zone_sum(self):
        """Guards against reporting only part of the zone's loads to other zones."""
        self.receive_all_heartbeats(1.0, team_loads=(TeamLoad("club", 2, 1),))
        summary = self.view.summarize_live_vms((TeamLoad("club", 1, 0),), 1.0)
        self.assertEqual(summary.zone_peer_count, 7)
        self.assertEqual(summary.zone_team_loads, (TeamLoad("club", 15, 7),))

    def test_partitioned_zones_are_not_counted(self):
        """Guards against reserving slots for unreachable VMs."""
        self.receive_all_heartbeats(
            1.0, zone_peer_count=7, team_loads=(TeamLoad("club", 2, 1),)
        )
        live_vms = self.view.summarize_live_vms((), 16.0).live_vms
        self.assertEqual(
            (live_vms.zone_vms, live_vms.all_vms, live_vms.loads), (1, 1, ())
        )


if __name__ == "__main__":
    unittest.main()
