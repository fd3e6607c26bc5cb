"""Tests of checked decoding."""

import unittest

from carobramp_schema import InvalidInput, canonical, decode, encode
from carobramp_schema.generated.caller import IdsRequest, JobRequest
from carobramp_schema.generated.settings import Settings
from carobramp_schema.generated.ticket import TeamState

NESTED_DEPTH = 100_000


class DecodeTests(unittest.TestCase):
    """Malformed input gives a typed error and never an exception."""

    def check(self, data, kind, field):
        """Decode `data` and compare the path of the field at fault."""
        result = decode(data, kind)
        self.assertIsInstance(result, InvalidInput)
        self.assertEqual(result.field, field)
        return result

    def test_unknown_field_names_the_nearest(self):
        """Guards against a misspelt setting that is ignored without a word."""
        data = b"""{"vm": {"name": "a", "region": "r", "availability_zone": "z"},
            "platform": {"url": "x", "timout_ms": 3}}"""
        error = self.check(data, Settings, "$.platform.timout_ms")
        self.assertIn("`timeout_ms`", error.expected)

    def test_value_out_of_range(self):
        """Guards against an unbounded count."""
        error = self.check(b'{"count": 2000}', IdsRequest, "$.count")
        self.assertEqual(error.seen, "2000")

    def test_missing_field(self):
        """Guards against an error that does not name the missing field."""
        error = self.check(b"{}", JobRequest, "$.service")
        self.assertEqual(error.seen, "nothing")

    def test_input_that_is_not_json(self):
        """Guards against exceptions on truncated, binary or deeply nested input."""
        for data in (b"", b'{"count":', b"\xff\xfe"):
            with self.subTest(data=data):
                self.check(data, IdsRequest, "$")

    def test_deep_nesting_of_the_wrong_type(self):
        """Guards against a RecursionError while the seen value is looked up."""
        self.check(b"[" * NESTED_DEPTH, IdsRequest, "$")
        nested = b'{"count": 1, "payload": ' + b"[" * NESTED_DEPTH
        self.check(nested, IdsRequest, "$.payload")

    def test_digest_input_of_defaults(self):
        """Guards against other canonical JSON after a default was sent and read."""
        first = decode(b'{"quota_slots": 4}', TeamState)
        self.assertEqual(canonical(decode(encode(first), TeamState)), canonical(first))


if __name__ == "__main__":
    unittest.main()
