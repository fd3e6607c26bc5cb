"""Checks the example files of the two deployments with the real checkers."""

import ipaddress
import pathlib
import unittest

from carobramp_core.tickets.checks import validate_ticket
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema.files import load_file
from carobramp_schema.generated.settings import Settings
from carobramp_schema.generated.ticket import Ticket
from carobramp_schema.settings import load_settings

EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"
DOCUMENTATION = ipaddress.ip_network("192.0.2.0/24")
DEPLOYMENTS = {"de-klep": "order-desk", "rendszam": "plate-verifier"}
UPSTREAMS = 24
RACK_SIZE = 8
ZONES = 3
ENTRY_VMS = 6


class ExampleTests(unittest.TestCase):
    """The examples are valid and describe the sizes of docs/design.md."""

    def settings_of(self, name):
        """Return the settings of each example VM of a deployment."""
        paths = sorted((EXAMPLES / name).glob("vm-*.json"))
        found = [load_settings(str(path)) for path in paths]
        for settings in found:
            self.assertIsInstance(settings, Settings, settings)
        return found

    def ticket_of(self, name):
        """Return ticket 1 of a deployment."""
        ticket = load_file(str(EXAMPLES / name / "ticket-1.json"), Ticket)
        self.assertIsInstance(ticket, Ticket, ticket)
        return ticket

    def test_settings(self):
        """Guards against examples that carobrampd refuses or that contradict."""
        for name in DEPLOYMENTS:
            with self.subTest(name=name):
                found = self.settings_of(name)
                zones = {settings.vm.availability_zone for settings in found}
                self.assertEqual(len(zones), ZONES)
                self.assertEqual(len({s.vm.region for s in found}), 1)
                addresses = {}
                for settings in found:
                    self.assertEqual(len(settings.peers), ENTRY_VMS - 1)
                    known = {p.name: p.host for p in settings.peers}
                    known[settings.vm.name] = settings.vm.host
                    addresses = addresses or known
                    self.assertEqual(known, addresses)
                for host in addresses.values():
                    self.assertIn(ipaddress.ip_address(host), DOCUMENTATION)

    def test_ticket(self):
        """Guards against a first ticket that would not be accepted."""
        for name, service in DEPLOYMENTS.items():
            with self.subTest(name=name):
                ticket = self.ticket_of(name)
                self.assertIsNone(validate_ticket(ticket, DeploymentState()))
                state = DeploymentState().apply(ticket)
                self.assertTrue(state.service(service).guard.enabled)
                self.assertEqual(len(state.upstreams), UPSTREAMS)
                zones = {s.vm.availability_zone for s in self.settings_of(name)}
                racks = {}
                for upstream in (v.state for v in state.upstreams.values()):
                    self.assertIn(upstream.availability_zone, zones)
                    self.assertEqual((upstream.slots, upstream.connections), (8, 64))
                    host = ipaddress.ip_address(upstream.host)
                    self.assertIn(host, DOCUMENTATION)
                    racks.setdefault(upstream.rack, set()).add(host)
                self.assertEqual({len(r) for r in racks.values()}, {RACK_SIZE})
                self.assertTrue(state.teams)


if __name__ == "__main__":
    unittest.main()
