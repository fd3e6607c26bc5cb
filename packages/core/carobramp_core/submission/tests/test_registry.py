"""Bounds and memory of the registry."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies as st

from carobramp_core.submission.ids import IssuedId
from carobramp_core.submission.registry import (
    ANSWER_OVERHEAD_BYTES,
    BLOCK_IDS,
    MAX_UNSETTLED,
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
    """One bit for each used id."""

    @PROFILE
    @hypothesis.given(steps)
    def test_used_until_expired(self, actions):
        """Guards against an id that can start work again, or never can."""
        own, used = issuer(), UsedIds(VALID_S)
        own.sequence = BLOCK_IDS - 8
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
        """Guards against an id that expires before the time told to the caller."""
        used = UsedIds(VALID_S)
        issued = issuer().new(0.999)
        self.assertFalse(used.expired(issued, 0.999 + VALID_S))
        self.assertTrue(used.expired(issued, 0.999 + VALID_S + 1))

    def test_blocks_are_dropped(self):
        """Guards against memory that grows with the ids ever used."""
        used = UsedIds(VALID_S)
        for sequence in range(0, 100 * BLOCK_IDS, BLOCK_IDS // 2):
            second = sequence // BLOCK_IDS
            used.add(id_with(sequence, second), float(second))
            self.assertLessEqual(len(used.blocks), VALID_S + 2)


class RegistryTests(unittest.TestCase):
    """What is known of an id over its life."""

    def registry(self, **fields):
        """Build a registry."""
        return SubmissionRegistry(SubmissionSettings(**fields), max_jobs=2)

    def test_life_of_an_issued_id(self):
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
        """Guards against a start under an id with an evicted refusal."""
        registry = self.registry(answer_kept_ms=1000)
        key, answer = issuer().new(0.0), SubmissionAnswer(503, b"refused")
        registry.record_refusal(key, DIGEST, answer, 0.0)
        self.assertEqual(registry.lookup(key, 0.5), RecordedAnswer(DIGEST, answer))
        self.assertEqual(registry.lookup(key, 1.0), AnswerEvicted())

    def test_unknown_claim_keeps_its_nonce(self):
        """Guards against an id that can never run after a claim without a reply."""
        registry = self.registry()
        key = caller_made()
        registry.add_job(key, DIGEST, True, 0.0)
        registry.abandon_claim(key, "nonce")
        self.assertEqual(registry.lookup(key, 0.0), ClaimUnresolved("nonce"))
        registry.add_job(key, DIGEST, True, 0.0)
        registry.abandon_claim(key, None)
        self.assertEqual(registry.lookup(key, 0.0), UnknownId())

    def test_unsettled_claims_are_bounded(self):
        """Guards against memory that grows while the platform is down."""
        registry = self.registry()
        for number in range(MAX_UNSETTLED + 5):
            registry.add_job(caller_made(number), DIGEST, True, 0.0)
            registry.abandon_claim(caller_made(number), "nonce")
        self.assertEqual(len(registry.unsettled), MAX_UNSETTLED)
        self.assertEqual(registry.lookup(caller_made(0), 0.0), UnknownId())

    def test_full(self):
        """Guards against more jobs under way than the bound."""
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
        """Guards against recorded answers beyond the bounds on bytes and time."""
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
            self.assertTrue(all(a.until > now for a in kept))
            self.assertIsInstance(registry.lookup(key, now), RecordedAnswer)

    def test_answer_without_id_is_not_kept(self):
        """Guards against memory for answers that nobody can ask for."""
        registry = self.registry()
        key = issuer().new(0.0)
        self.assertIsInstance(key, IssuedId)
        registry.add_job(key, DIGEST, False, 0.0)
        registry.finish_job(str(key), SubmissionAnswer(200, b""), 0.0)
        self.assertEqual(registry.lookup(key, 0.0), AnswerEvicted())


if __name__ == "__main__":
    unittest.main()
