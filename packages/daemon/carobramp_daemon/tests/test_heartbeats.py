"""Tests of the validation of heartbeats from other VMs."""

import unittest

from carobramp_core.dispatch.messages import TeamLoad
from carobramp_daemon.heartbeats import encode_team_loads, parse_status
from carobramp_schema import InvalidInput
from carobramp_schema.generated.peer_pb2 import PeerStatus

DIGEST = "0" * 64
TEAMS = ("bakery", "club")


def message(**fields):
    """Build a valid heartbeat with some fields replaced."""
    values = {
        "vm": "tilburg-0",
        "availability_zone": "tilburg",
        "incarnation": "a1b2",
        "host": "127.0.0.1",
        "peer_port": 8081,
        "state_number": 3,
        "state_digest": DIGEST,
        "heard_number": 4,
    }
    return PeerStatus(**(values | fields))


class HeartbeatTests(unittest.TestCase):
    """Only valid heartbeats are used."""

    def test_valid_heartbeat(self):
        """Guards against fields that are lost or exchanged."""
        status = parse_status(message(leaving=True, live_peers=2), DIGEST, TEAMS)
        self.assertEqual((status.state_number, status.highest_known_number), (3, 4))
        self.assertEqual((status.leaving, status.zone_peer_count), (True, 2))
        self.assertEqual(status.address, ("127.0.0.1", 8081))
        self.assertIsNone(status.team_loads)

    def test_invalid_fields(self):
        """Guards against names and numbers outside their valid ranges."""
        invalid_fields = [
            {"vm": "Not a name"},
            {"vm": ""},
            {"availability_zone": ""},
            {"availability_zone": "x" * 65},
            {"incarnation": "xyz"},
            {"state_digest": "short"},
            {"heard_number": 10**12},
            {"state_number": 10**12},
            {"team_loads": [0] * 4000},
        ]
        for fields in invalid_fields:
            with self.subTest(fields=fields):
                found = parse_status(message(**fields), DIGEST, TEAMS)
                self.assertIsInstance(found, InvalidInput)

    def test_unusable_address(self):
        """Guards against calls to an address that is not that of a VM."""
        for fields in ({"host": "0.0.0.0"}, {"host": "name"}, {"peer_port": 0}):
            status = parse_status(message(**fields), DIGEST, TEAMS)
            self.assertIsNone(status.address)

    def test_team_loads(self):
        """Guards against loads that are attributed to another team."""
        loads = (TeamLoad("bakery", 1, 0), TeamLoad("club", 2, 300))
        encoded = encode_team_loads(loads, TEAMS)
        sent = message(with_loads=True, team_loads=encoded)
        self.assertEqual(parse_status(sent, DIGEST, TEAMS).team_loads, loads)
        self.assertIsNone(parse_status(sent, "1" * 64, TEAMS).team_loads)

    def test_truncated_team_loads(self):
        """Guards against a crash on loads that are truncated or out of range."""
        sent = message(with_loads=True, team_loads=[0, 1, 2, 77, 1, 1, 5])
        loads = parse_status(sent, DIGEST, TEAMS).team_loads
        self.assertEqual(loads, (TeamLoad("bakery", 1, 2),))


if __name__ == "__main__":
    unittest.main()
