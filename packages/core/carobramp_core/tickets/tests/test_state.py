"""Tests of the deployment state with evacuated availability zones."""

import unittest

from carobramp_core.tickets.state import (
    DeploymentState,
    content_digest,
    decode_state,
    encode_state,
)
from carobramp_schema import decode, encode
from carobramp_schema.generated.ticket import (
    TeamChange,
    TeamState,
    Ticket,
    ZoneChange,
    ZoneState,
)

TEAM = TeamChange("bakery", 0, TeamState(8))
# Digests of the version without zones.
CONTENT_DIGEST = "c55d63c90f19f118ae5b3e272dbe4f18ee5d32efadcfb5fa7f8cd4b5802fb617"
STATE_DIGEST = "d776c6d8b4ac45f16ca45395aba0b44f0bc5c704cf9db74ffa9af7aa683078f3"


class ZoneTests(unittest.TestCase):
    """Zones of the state."""

    def test_digests_without_zones(self):
        """Guards against digests that differ from those of earlier versions.

        An accepted ticket would no longer be recognized, and entry VMs of two versions
        would take each other for diverged.
        """
        ticket = Ticket(1, "anna", teams=[TEAM])
        self.assertEqual(content_digest(ticket), CONTENT_DIGEST)
        state = DeploymentState().apply(ticket)
        self.assertEqual(state.digest(), STATE_DIGEST)
        self.assertNotIn(b"availability_zones", encode(ticket) + encode_state(state))

    def test_document_keeps_evacuations(self):
        """Guards against a VM that starts from a snapshot without the evacuation."""
        change = ZoneChange("tilburg", 0, ZoneState(evacuated=True))
        state = DeploymentState().apply(Ticket(1, "anna", availability_zones=[change]))
        decoded = decode_state(encode_state(state), state.digest())
        self.assertEqual(decoded.evacuated_zones(), {"tilburg": 1})

    def test_ticket_without_zones_keeps_evacuations(self):
        """Guards against an unrelated ticket that ends an evacuation."""
        change = ZoneChange("tilburg", 0, ZoneState(evacuated=True))
        state = DeploymentState().apply(Ticket(1, "anna", availability_zones=[change]))
        state = state.apply(Ticket(2, "ben", teams=[TEAM]))
        self.assertEqual(state.evacuated_zones(), {"tilburg": 1})
        ended = Ticket(3, "anna", availability_zones=[ZoneChange("tilburg", 1, None)])
        self.assertEqual(state.apply(ended).evacuated_zones(), {})

    def test_unknown_field_of_a_zone(self):
        """Guards against faults in an optional field without a useful message."""
        data = (
            b'{"number":1,"author":"a","availability_zones":[{"name":"t","based":0}]}'
        )
        fault = decode(data, Ticket)
        self.assertEqual(fault.field, "$.availability_zones[0].based")
        self.assertIn("`based_on`", fault.expected)

    def test_too_many_zones(self):
        """Guards against a ticket of unbounded size."""
        changes = [ZoneChange(f"zone-{n}", 0, ZoneState(True)) for n in range(65)]
        fault = decode(encode(Ticket(1, "a", availability_zones=changes)), Ticket)
        self.assertEqual(fault.field, "$.availability_zones")
