"""Decisions about submissions."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies as st

from carobramp_core.outcomes import Reason
from carobramp_core.submission.claims import ClaimHeld, ClaimTaken, ClaimUnknown
from carobramp_core.submission.ids import InvalidId, IssuedId, NoId
from carobramp_core.submission.owner import (
    AttachToActiveJob,
    ForwardToOwner,
    IncomingSubmission,
    InsertClaim,
    ProcessStatus,
    RespondWithError,
    RespondWithRecordedAnswer,
    StartJob,
    decide_after_claim,
    decide_submission,
)
from carobramp_core.submission.registry import (
    ActiveJob,
    AnswerEvicted,
    ClaimUnresolved,
    RecordedAnswer,
    SubmissionAnswer,
    UnknownId,
)
from carobramp_core.submission.tests.support import (
    DIGEST,
    INCARNATION,
    OTHER_INCARNATION,
    PROFILE,
    VM,
    WALL_NOW,
    caller_made,
    claim_row,
    issuer,
)
from carobramp_schema.generated.settings import SubmissionSettings

SETTINGS = SubmissionSettings()
OWN = issuer().new(0.0)
OTHER_VM = dataclasses.replace(OWN, vm="vm-b")
EARLIER = dataclasses.replace(OWN, incarnation=OTHER_INCARNATION)
MADE = caller_made()
OLD = caller_made(made=WALL_NOW - 901)
AHEAD = caller_made(made=WALL_NOW + 61)
PROCESS = ProcessStatus(VM, INCARNATION)
ANSWER = SubmissionAnswer(200, b"answer")
KEYS = (NoId(), InvalidId("x"), OWN, OTHER_VM, EARLIER, MADE, OLD, AHEAD)
KNOWN = (
    UnknownId(),
    AnswerEvicted(),
    ActiveJob(DIGEST),
    ActiveJob(b"other"),
    RecordedAnswer(DIGEST, ANSWER),
    RecordedAnswer(b"other", ANSWER),
    ClaimUnresolved("nonce"),
)
processes = st.builds(
    ProcessStatus,
    vm=st.just(VM),
    incarnation=st.just(INCARNATION),
    accepting=st.booleans(),
    ready=st.booleans(),
    at_capacity=st.booleans(),
)
submissions = st.builds(
    IncomingSubmission,
    key=st.sampled_from(KEYS),
    digest=st.just(DIGEST),
    id_status=st.sampled_from(KNOWN),
    issued_here=st.booleans(),
    expired=st.booleans(),
    addressed_to=st.sampled_from((None, INCARNATION, OTHER_INCARNATION)),
)


def received(key, known=None, **fields):
    """Build a received submission."""
    return IncomingSubmission(
        key=key,
        digest=DIGEST,
        id_status=known or UnknownId(),
        issued_here=fields.pop("issued_here", True),
        **fields,
    )


def decided(key, known=None, process=PROCESS, **fields):
    """Decide about a submission."""
    return decide_submission(
        received(key, known, **fields), process, SETTINGS, WALL_NOW
    )


class DecisionTests(unittest.TestCase):
    """Decisions about submissions that have just arrived."""

    def assert_refused(self, decision, reason, not_run=False, record=False):
        """Check a refusal."""
        self.assertIsInstance(decision, RespondWithError)
        self.assertEqual(decision.outcome.reason, reason)
        self.assertEqual((decision.not_run, decision.record), (not_run, record))

    def test_run_forward_or_claim(self):
        """Guards against a start by a process that does not own the id."""
        self.assertEqual(decided(NoId()), StartJob())
        self.assertEqual(decided(OWN), StartJob())
        self.assertEqual(decided(OTHER_VM), ForwardToOwner("vm-b", INCARNATION))
        self.assertEqual(decided(MADE), InsertClaim(None))
        self.assertEqual(decided(MADE, ClaimUnresolved("n")), InsertClaim("n"))

    def test_repeated(self):
        """Guards against a second start, or the answer to another body."""
        for key in (OWN, MADE):
            self.assertEqual(decided(key, ActiveJob(DIGEST)), AttachToActiveJob())
            recorded = decided(key, RecordedAnswer(DIGEST, ANSWER))
            self.assertEqual(recorded, RespondWithRecordedAnswer(ANSWER))
            for known in (ActiveJob(b"other"), RecordedAnswer(b"other", ANSWER)):
                self.assert_refused(decided(key, known), Reason.SUBMISSION_CONFLICT)
        self.assert_refused(decided(OWN, AnswerEvicted()), Reason.ANSWER_EVICTED)

    def test_ids_that_start_nothing(self):
        """Guards against a start under an id that is expired, gone or forged."""
        self.assert_refused(decided(InvalidId("x")), Reason.SUBMISSION_INVALID)
        forged = decided(OWN, issued_here=False)
        self.assert_refused(forged, Reason.SUBMISSION_INVALID)
        self.assert_refused(decided(OWN, expired=True), Reason.SUBMISSION_EXPIRED)
        self.assert_refused(decided(EARLIER), Reason.OWNER_GONE)
        for key in (OLD, AHEAD):
            self.assert_refused(decided(key), Reason.SUBMISSION_EXPIRED)

    def test_forwarded(self):
        """Guards against a job that is forwarded twice or claimed by a forward."""
        gone = decided(OWN, addressed_to=OTHER_INCARNATION)
        self.assert_refused(gone, Reason.OWNER_GONE)
        self.assertEqual(decided(OWN, addressed_to=INCARNATION), StartJob())
        again = decided(OTHER_VM, addressed_to=INCARNATION)
        self.assert_refused(again, Reason.OWNER_GONE)
        evicted = decided(MADE, addressed_to=INCARNATION)
        self.assert_refused(evicted, Reason.ANSWER_EVICTED)
        unsettled = decided(MADE, ClaimUnresolved("n"), addressed_to=INCARNATION)
        self.assertEqual(unsettled, InsertClaim("n"))

    def test_no_new_jobs(self):
        """Guards against a refusal that says more than is certain."""
        cases = {
            Reason.DRAINING: {"accepting": False},
            Reason.NOT_READY: {"ready": False},
            Reason.TOO_MANY_JOBS: {"at_capacity": True},
        }
        for reason, fields in cases.items():
            with self.subTest(reason):
                process = dataclasses.replace(PROCESS, **fields)
                none = decided(NoId(), process=process)
                self.assert_refused(none, reason, not_run=True)
                own = decided(OWN, process=process)
                self.assert_refused(own, reason, not_run=True, record=True)
                self.assert_refused(decided(MADE, process=process), reason)
                attached = decided(OWN, ActiveJob(DIGEST), process=process)
                self.assertEqual(attached, AttachToActiveJob())

    @PROFILE
    @hypothesis.given(submissions, processes)
    def test_any_submission(self, submission, process):
        """Guards against a start or a `not_run` outside of the rules."""
        decision = decide_submission(submission, process, SETTINGS, WALL_NOW)
        key = submission.key
        if isinstance(decision, StartJob) and not isinstance(key, NoId):
            self.assertEqual(key, OWN)
            self.assertTrue(submission.issued_here and not submission.expired)
            self.assertIn(submission.id_status, (UnknownId(), ClaimUnresolved("nonce")))
        if isinstance(decision, StartJob | InsertClaim):
            self.assertTrue(
                process.accepting and process.ready and not process.at_capacity
            )
        if isinstance(decision, InsertClaim):
            self.assertEqual(key, MADE)
        if isinstance(decision, ForwardToOwner):
            self.assertIsNone(submission.addressed_to)
        if isinstance(decision, RespondWithError):
            self.check_refusal(decision, key)

    def check_refusal(self, decision, key):
        """Check the rule on `not_run`."""
        if decision.not_run:
            self.assertTrue(isinstance(key, NoId) or decision.record)
        if decision.record:
            self.assertIsInstance(key, IssuedId)
            self.assertEqual(key, OWN)
            self.assertTrue(decision.not_run)


class ClaimedTests(unittest.TestCase):
    """Decisions after the verdict on a claim."""

    def decided(self, verdict, key=MADE, wall_now=WALL_NOW):
        """Decide about a submission after a verdict."""
        return decide_after_claim(verdict, key, DIGEST, PROCESS, SETTINGS, wall_now)

    def test_held(self):
        """Guards against a start by a claim that was paused for too long."""
        self.assertEqual(self.decided(ClaimHeld()), StartJob())
        late = self.decided(ClaimHeld(), wall_now=WALL_NOW + 901)
        self.assertEqual(late.outcome.reason, Reason.SUBMISSION_EXPIRED)
        self.assertFalse(late.not_run)

    def test_taken(self):
        """Guards against a job that is not handed to the owner in the row."""
        other = ClaimTaken(claim_row(vm="vm-b", incarnation=OTHER_INCARNATION))
        self.assertEqual(self.decided(other), ForwardToOwner("vm-b", OTHER_INCARNATION))
        expected = {
            Reason.SUBMISSION_CONFLICT: claim_row(vm="vm-b", digest=b"o" * 32),
            Reason.OWNER_GONE: claim_row(incarnation=OTHER_INCARNATION),
            Reason.ANSWER_EVICTED: claim_row(nonce="earlier"),
        }
        for reason, row in expected.items():
            with self.subTest(reason):
                decision = self.decided(ClaimTaken(row))
                self.assertEqual(decision.outcome.reason, reason)
                self.assertFalse(decision.not_run or decision.record)

    def test_unknown(self):
        """Guards against a start without a certain claim."""
        decision = self.decided(ClaimUnknown("no reply"))
        self.assertEqual(decision.outcome.reason, Reason.CLAIM_UNAVAILABLE)
        self.assertFalse(decision.not_run or decision.record)


if __name__ == "__main__":
    unittest.main()
