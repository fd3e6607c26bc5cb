"""Tests of submission ids."""

import dataclasses
import unittest
import uuid

import hypothesis
from hypothesis import strategies as st

from carobramp_core.submission.ids import (
    MAX_ID_CHARS,
    InvalidId,
    IssuedId,
    NoId,
    parse_caller_made,
    parse_id,
    parse_issued,
)
from carobramp_core.submission.tests.support import (
    OTHER_INCARNATION,
    PROFILE,
    WALL_NOW,
    caller_made,
    issuer,
)


class IssuedIdTests(unittest.TestCase):
    """Ids that a process issues."""

    @PROFILE
    @hypothesis.given(st.lists(st.floats(0, 1e9), min_size=1, max_size=20))
    def test_issued_ids_are_distinct_and_verify(self, times):
        """Guards against issued ids that do not verify or are issued twice."""
        own = issuer()
        texts = [own.issue(now) for now in sorted(times)]
        self.assertEqual(len(set(texts)), len(texts))
        for text in texts:
            parsed = parse_issued(text)
            self.assertIsInstance(parsed, IssuedId)
            self.assertTrue(own.verify(parsed))
            self.assertEqual(str(parsed), text)
            self.assertLessEqual(len(text), MAX_ID_CHARS)

    def test_changed_id_does_not_verify(self):
        """Guards against forged and modified ids."""
        own = issuer()
        issued = own.new(5.0)
        changes = [
            {"vm": "vm-b"},
            {"incarnation": OTHER_INCARNATION},
            {"sequence": 1},
            {"issued_at": 6},
            {"tag": "0" * 24},
        ]
        for change in changes:
            with self.subTest(change):
                self.assertFalse(own.verify(dataclasses.replace(issued, **change)))
        self.assertFalse(issuer(key=b"other").verify(issued))
        self.assertFalse(issuer(OTHER_INCARNATION).verify(issued))


class CallerMadeIdTests(unittest.TestCase):
    """UUIDs of version 7."""

    @PROFILE
    @hypothesis.given(st.uuids(), st.integers(0, (1 << 48) - 1))
    def test_time_and_version(self, value, milliseconds):
        """Guards against a wrong time and against UUIDs of other versions."""
        rest = value.int & ((1 << 80) - 1) & ~(0xF000 << 64 | 0xC000 << 48)
        number = milliseconds << 80 | 0x7000 << 64 | 0x8000 << 48 | rest
        text = str(uuid.UUID(int=number))
        self.assertEqual(parse_caller_made(text).created_at, milliseconds / 1000)
        self.assertEqual(parse_caller_made(text.upper()), parse_caller_made(text))
        if value.version != 7:
            self.assertIsNone(parse_caller_made(str(value)))

    def test_other_forms(self):
        """Guards against several spellings of one id, apart from upper case."""
        text = str(caller_made())
        self.assertEqual(parse_caller_made(text).created_at, WALL_NOW)
        for other in (text.replace("-", ""), f"{{{text}}}", f"urn:uuid:{text}", ""):
            self.assertIsNone(parse_caller_made(other))

    @PROFILE
    @hypothesis.given(st.one_of(st.none(), st.text(max_size=300)))
    def test_any_text_is_parsed(self, text):
        """Guards against input that raises an exception."""
        parsed = parse_id(text)
        self.assertEqual(isinstance(parsed, NoId), text is None)
        if isinstance(parsed, InvalidId):
            self.assertLessEqual(len(parsed.text), MAX_ID_CHARS)
            self.assertTrue(parsed.text.isascii())

    def test_undecodable_header(self):
        """Guards against a submission id that no response can be encoded with."""
        text = b"caf\xe9".decode("utf-8", "surrogateescape")
        self.assertEqual(parse_id(text), InvalidId("caf?"))


if __name__ == "__main__":
    unittest.main()
