"""Tests of the checks of settings files."""

import json
import unittest

from carobramp_schema.files import MAX_FAULTS, MAX_FILE_BYTES, parse_document
from carobramp_schema.generated.settings import Settings
from carobramp_schema.generated.ticket import Ticket
from carobramp_schema.settings import parse_settings
from carobramp_schema.settings_page import current_page

NESTED_DEPTH = 100_000
PEER = {"name": "b", "host": "192.0.2.2", "peer_port": 1, "availability_zone": "z"}


def document(**sections):
    """Return a settings document with some sections replaced."""
    vm = {"name": "a", "region": "r", "availability_zone": "z", "host": "192.0.2.1"}
    vm |= sections.pop("vm", {})
    platform = {"url": "http://192.0.2.3:7070"} | sections.pop("platform", {})
    return json.dumps({"vm": vm, "platform": platform} | sections).encode()


class SettingsTests(unittest.TestCase):
    """Each fault of a settings file is named, with its field."""

    def check(self, field, data):
        """Compare the fields at fault."""
        faults = parse_settings(data)
        self.assertIsInstance(faults, list, data[:200])
        self.assertEqual([fault.field for fault in faults], [field])

    def test_valid_settings(self):
        """Guards against checks that refuse the defaults."""
        self.assertIsInstance(parse_settings(document(peers=[PEER])), Settings)

    def test_fields(self):
        """Guards against a fault that is accepted or ends in an exception."""
        cases = {
            "$.vm.name": {"vm": {"name": "A b"}},
            "$.vm.caller_port": {"vm": {"caller_port": 65536}},
            "$.vm.peer_port": {"vm": {"peer_port": 8080}},
            "$.vm.host": {"vm": {"host": "localhost"}},
            "$.vm.regoin": {"vm": {"regoin": "r"}},
            "$.platform.url": {"platform": {"url": "https://192.0.2.3"}},
            "$.platform.timeout_ms": {"platform": {"timeout_ms": "1000"}},
            "$.platform.max_calls": {"platform": {"max_calls": 1.5}},
            "$.limits": {"limits": []},
            "$.limits.max_peer_message_bytes": {"limits": {"max_body_bytes": 4 << 20}},
            "$.limits.max_jobs": {"limits": {"max_jobs": True}},
            "$.peers": {"peers": {}},
            "$.peers[0]": {"peers": [None]},
            "$.peers[0].host": {"peers": [PEER | {"host": "192.0.2.256"}]},
            "$.peers[1].name": {"peers": [PEER, PEER]},
            "$.peers[0].name": {"peers": [PEER | {"name": "a"}]},
            "$.peers[1].peer_port": {
                "peers": [PEER, PEER | {"name": "c", "peer_port": 0}]
            },
            "$.dispatch.network_ms": {"dispatch": {"network_ms": -1}},
            "$.drain.drain_max_ms": {"drain": {"drain_max_ms": 100}},
            "$.membership.live_ms": {"membership": {"live_ms": 1400}},
            "$.membership.far_live_ms": {"membership": {"far_live_ms": 5000}},
            "$.membership.forget_ms": {"membership": {"forget_ms": 10000}},
            "$.submission.claim_kept_ms": {
                "submission": {"claim_kept_ms": 3600000, "claimed_valid_ms": 3000000}
            },
            "$.dispatch.far_network_ms": {"dispatch": {"far_network_ms": 0.5}},
            "$.tickets.stale_after_ms": {"tickets": {"stale_after_ms": 5000}},
        }
        for field, sections in cases.items():
            with self.subTest(field=field):
                self.check(field, document(**sections))

    def test_unspecified_address(self):
        """Guards against peers that are told to call 0.0.0.0."""
        self.check("$.vm.host", document(vm={"host": "0.0.0.0"}))

    def test_input_that_is_not_a_document(self):
        """Guards against exceptions on input that is not JSON with comments."""
        inputs = {
            "empty": b"",
            "truncated": b'{"vm": {',
            "bad UTF-8": b'{"vm": "\xff"}',
            "nested": b"[" * NESTED_DEPTH,
            "NaN": document(dispatch={"network_ms": float("nan")}),
            "infinity": document(dispatch={"network_ms": float("inf")}),
            "field given twice": b'{"vm": 1, "vm": 2}',
            "too large": b" " * (MAX_FILE_BYTES + 1),
            "a number": b"3",
            "long number": b"9" * 10_000,
        }
        for name, data in inputs.items():
            with self.subTest(name=name):
                self.check("$", data)

    def test_every_fault_is_reported(self):
        """Guards against faults that are found one start at a time."""
        data = document(vm={"name": "", "region": ""}, limits={"max_jobs": 0}, x=1)
        fields = [fault.field for fault in parse_settings(data)]
        wanted = ["$.x", "$.vm.name", "$.vm.region", "$.limits.max_jobs"]
        self.assertEqual(fields, wanted)

    def test_bounded_number_of_faults(self):
        """Guards against a file that floods the terminal."""
        data = document(**{f"unknown{n}": 0 for n in range(10 * MAX_FAULTS)})
        self.assertEqual(len(parse_settings(data)), MAX_FAULTS)


class TicketFileTests(unittest.TestCase):
    """Faults inside lists and optional objects of a ticket are named."""

    def test_faults_in_lists(self):
        """Guards against a fault that is named without its place."""
        change = {"name": "a", "based_on": -1, "state": {"quota_slots": 0, "wieght": 1}}
        data = json.dumps({"number": 1, "author": "a", "teams": [change, 3]}).encode()
        fields = [fault.field for fault in parse_document(data, Ticket)]
        self.assertEqual(
            fields,
            [
                "$.teams[0].based_on",
                "$.teams[0].state.wieght",
                "$.teams[0].state.quota_slots",
                "$.teams[1]",
            ],
        )


class PageTests(unittest.TestCase):
    """docs/settings.md covers the schema."""

    def test_every_field_is_documented(self):
        """Guards against a page that leaves out a section or field."""
        page = current_page()
        for section in Settings.__struct_fields__:
            self.assertIn(f"\n## {section}", page)
        for field in ("`drain_notice_ms` | integer | ms", "`max_jobs` | integer |"):
            self.assertIn(field, page)


if __name__ == "__main__":
    unittest.main()
