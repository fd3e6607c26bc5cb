"""Tests of the submission registry."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies as st

from carobramp_core.submission.ids import IssuedId
from carobramp_core.submission.registry import (
    ANSWER_OVERHEAD_BYTES,
    IDS_PER_BLOCK,
    MAX_UNRESOLVED_CLAIMS,
    ActiveJob,
    AnswerEvicted,
    ClaimUnresolved,
    RecordedAnswer,
    SubmissionAnswer,
    SubmissionRegistry,
    UnknownId,
    UsedIds,
)
from carobramp_core.submission.tests.support import (
    DIGEST,
    PROFILE,
    caller_made,
    issuer,
)
from carobramp_schema.generated.settings import SubmissionSettings

VALID_S = 10.0
steps = st.lists(
    st.tuples(st.sampled_from(("issue", "use", "wait")), st.integers(0, 40)),
    max_size=200,
)


def id_with(sequence, issued=0):
    """Build an issued id with a sequence number."""
    return dataclasses.replace(issuer().new(float(issued)), sequence=sequence)


class UsedIdTests(unittest.TestCase):
    """The set of used issued ids."""

    @PROFILE
    @hypothesis.given(steps)
    def test_used_until_expired(self, actions):
        """Guards against a used id that counts as unused, and the reverse."""
        own, used = issuer(), UsedIds(VALID_S)
        own.sequence = IDS_PER_BLOCK - 8
        now, issued, expected = 0.0, [], set()
        for action, number in actions:
            if action == "wait":
                now += number / 7
                used.drop_expired(now)
            elif action == "issue":
                issued.append(own.new(now))
            elif issued:
                key = issued[number % len(issued)]
                if not used.expired(key, now):
                    used.add(key, now)
                    expected.add(key)
            for key in issued:
                if not used.expired(key, now):
                    self.assertEqual(key in used, key in expected)

    def test_valid_for_the_whole_time(self):
        """Guards against an id that expires before its announced validity ends."""
        used = UsedIds(VALID_S)
        issued = issuer().new(0.999)
        self.assertFalse(used.expired(issued, 0.999 + VALID_S))
        self.assertTrue(used.expired(issued, 0.999 + VALID_S + 1))

    def test_blocks_are_dropped(self):
        """Guards against memory use that grows with every id ever used."""
        used = UsedIds(VALID_S)
        for sequence in range(0, 100 * IDS_PER_BLOCK, IDS_PER_BLOCK // 2):
            second = sequence // IDS_PER_BLOCK
            used.add(id_with(sequence, second), float(second))
            self.assertLessEqual(len(used.blocks), VALID_S + 2)


class RegistryTests(unittest.TestCase):
    """Status of an id over time, and the bounds of the registry."""

    def registry(self, **fields):
        """Build a registry for two active jobs with these settings."""
        return SubmissionRegistry(SubmissionSettings(**fields), max_jobs=2)

    def test_statuses_of_an_issued_id(self):
        """Guards against an evicted answer that makes an id usable again."""
        registry = self.registry(answer_kept_ms=1000)
        key, answer = issuer().new(0.0), SubmissionAnswer(200, b"done")
        self.assertEqual(registry.lookup(key, 0.0), UnknownId())
        registry.add_job(key, DIGEST, True, 0.0)
        self.assertEqual(registry.lookup(key, 0.0), ActiveJob(DIGEST))
        registry.finish_job(str(key), answer, 1.0)
        self.assertEqual(registry.lookup(key, 1.9), RecordedAnswer(DIGEST, answer))
        self.assertEqual(registry.lookup(key, 2.0), AnswerEvicted())

    def test_refusal_uses_the_id(self):
        """Guards against a start under an id after its refusal was evicted."""
        registry = self.registry(answer_kept_ms=1000)
        key, answer = issuer().new(0.0), SubmissionAnswer(503, b"refused")
        registry.record_refusal(key, DIGEST, answer, 0.0)
        self.assertEqual(registry.lookup(key, 0.5), RecordedAnswer(DIGEST, answer))
        self.assertEqual(registry.lookup(key, 1.0), AnswerEvicted())

    def test_unresolved_claim_keeps_its_nonce(self):
        """Guards against an id that can start no job after a lost claim reply."""
        registry = self.registry()
        key = caller_made()
        registry.add_job(key, DIGEST, True, 0.0)
        registry.abandon_claim(key, "nonce")
        self.assertEqual(registry.lookup(key, 0.0), ClaimUnresolved("nonce"))
        registry.add_job(key, DIGEST, True, 0.0)
        registry.abandon_claim(key, None)
        self.assertEqual(registry.lookup(key, 0.0), UnknownId())

    def test_unresolved_claims_are_bounded(self):
        """Guards against unbounded memory use while the platform is down."""
        registry = self.registry()
        for number in range(MAX_UNRESOLVED_CLAIMS + 5):
            registry.add_job(caller_made(number), DIGEST, True, 0.0)
            registry.abandon_claim(caller_made(number), "nonce")
        self.assertEqual(len(registry.unresolved_claims), MAX_UNRESOLVED_CLAIMS)
        self.assertEqual(registry.lookup(caller_made(0), 0.0), UnknownId())

    def test_active_jobs_are_bounded(self):
        """Guards against more active jobs than the bound."""
        registry = self.registry()
        for _ in range(2):
            self.assertFalse(registry.at_capacity())
            registry.add_job(caller_made(len(registry.jobs)), DIGEST, True, 0.0)
        self.assertTrue(registry.at_capacity())

    @PROFILE
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 3000), st.floats(0, 2)), max_size=60)
    )
    def test_answers_are_bounded(self, answers):
        """Guards against recorded answers beyond the bounds on bytes and age."""
        limit = 8000
        registry = self.registry(answer_kept_ms=5000, answer_kept_bytes=limit)
        now = 0.0
        own = issuer()
        for size, wait in answers:
            now += wait
            key = own.new(now)
            registry.add_job(key, DIGEST, True, now)
            registry.finish_job(str(key), SubmissionAnswer(200, b"x" * size), now)
            kept = registry.answers.values()
            total = sum(
                len(a.recorded.answer.body) + ANSWER_OVERHEAD_BYTES for a in kept
            )
            self.assertEqual(registry.answer_bytes, total)
            self.assertLessEqual(total, limit)
            self.assertTrue(all(a.expires_at > now for a in kept))
            self.assertIsInstance(registry.lookup(key, now), RecordedAnswer)

    def test_answer_without_id_is_not_recorded(self):
        """Guards against memory use for answers that no caller can request."""
        registry = self.registry()
        key = issuer().new(0.0)
        self.assertIsInstance(key, IssuedId)
        registry.add_job(key, DIGEST, False, 0.0)
        registry.finish_job(str(key), SubmissionAnswer(200, b""), 0.0)
        self.assertEqual(registry.lookup(key, 0.0), AnswerEvicted())


if __name__ == "__main__":
    unittest.main()
