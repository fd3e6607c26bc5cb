"""Tests of the decisions on submissions."""

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
OWN_ID = issuer().new(0.0)
OTHER_VM_ID = dataclasses.replace(OWN_ID, vm="vm-b")
OTHER_INCARNATION_ID = dataclasses.replace(OWN_ID, incarnation=OTHER_INCARNATION)
CALLER_MADE = caller_made()
CALLER_MADE_EXPIRED = caller_made(created_at=WALL_NOW - 901)
CALLER_MADE_IN_FUTURE = caller_made(created_at=WALL_NOW + 61)
PROCESS = ProcessStatus(VM, INCARNATION)
ANSWER = SubmissionAnswer(200, b"answer")
KEYS = (
    NoId(),
    InvalidId("x"),
    OWN_ID,
    OTHER_VM_ID,
    OTHER_INCARNATION_ID,
    CALLER_MADE,
    CALLER_MADE_EXPIRED,
    CALLER_MADE_IN_FUTURE,
)
ID_STATUSES = (
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
    id_status=st.sampled_from(ID_STATUSES),
    issued_here=st.booleans(),
    expired=st.booleans(),
    addressed_to=st.sampled_from((None, INCARNATION, OTHER_INCARNATION)),
)


def incoming_submission(key, id_status=None, **fields):
    """Build a submission that was issued here unless `fields` say otherwise."""
    return IncomingSubmission(
        key=key,
        digest=DIGEST,
        id_status=id_status or UnknownId(),
        issued_here=fields.pop("issued_here", True),
        **fields,
    )


def decide(key, id_status=None, process=PROCESS, **fields):
    """Decide on a submission with the given id and id status."""
    return decide_submission(
        incoming_submission(key, id_status, **fields), process, SETTINGS, WALL_NOW
    )


class DecisionTests(unittest.TestCase):
    """Decisions on submissions when they are received."""

    def assert_refused(self, decision, reason, not_run=False, record=False):
        """Check that the decision is an error with `reason` and these flags."""
        self.assertIsInstance(decision, RespondWithError)
        self.assertEqual(decision.outcome.reason, reason)
        self.assertEqual((decision.not_run, decision.record), (not_run, record))

    def test_start_forward_or_claim(self):
        """Guards against a start by a process that does not own the id."""
        self.assertEqual(decide(NoId()), StartJob())
        self.assertEqual(decide(OWN_ID), StartJob())
        self.assertEqual(decide(OTHER_VM_ID), ForwardToOwner("vm-b", INCARNATION))
        self.assertEqual(decide(CALLER_MADE), InsertClaim(None))
        self.assertEqual(decide(CALLER_MADE, ClaimUnresolved("n")), InsertClaim("n"))

    def test_repeated_submission(self):
        """Guards against a second start and the answer to another request body."""
        for key in (OWN_ID, CALLER_MADE):
            self.assertEqual(decide(key, ActiveJob(DIGEST)), AttachToActiveJob())
            recorded = decide(key, RecordedAnswer(DIGEST, ANSWER))
            self.assertEqual(recorded, RespondWithRecordedAnswer(ANSWER))
            for id_status in (ActiveJob(b"other"), RecordedAnswer(b"other", ANSWER)):
                self.assert_refused(decide(key, id_status), Reason.SUBMISSION_CONFLICT)
        self.assert_refused(decide(OWN_ID, AnswerEvicted()), Reason.ANSWER_EVICTED)

    def test_ids_that_cannot_start_a_job(self):
        """Guards against a start under an id that is expired, forged or invalid."""
        self.assert_refused(decide(InvalidId("x")), Reason.SUBMISSION_INVALID)
        forged = decide(OWN_ID, issued_here=False)
        self.assert_refused(forged, Reason.SUBMISSION_INVALID)
        self.assert_refused(decide(OWN_ID, expired=True), Reason.SUBMISSION_EXPIRED)
        self.assert_refused(decide(OTHER_INCARNATION_ID), Reason.OWNER_GONE)
        for key in (CALLER_MADE_EXPIRED, CALLER_MADE_IN_FUTURE):
            self.assert_refused(decide(key), Reason.SUBMISSION_EXPIRED)

    def test_forwarded_submission(self):
        """Guards against a second forward and a new claim for a forwarded job."""
        gone = decide(OWN_ID, addressed_to=OTHER_INCARNATION)
        self.assert_refused(gone, Reason.OWNER_GONE)
        self.assertEqual(decide(OWN_ID, addressed_to=INCARNATION), StartJob())
        again = decide(OTHER_VM_ID, addressed_to=INCARNATION)
        self.assert_refused(again, Reason.OWNER_GONE)
        evicted = decide(CALLER_MADE, addressed_to=INCARNATION)
        self.assert_refused(evicted, Reason.ANSWER_EVICTED)
        unresolved = decide(CALLER_MADE, ClaimUnresolved("n"), addressed_to=INCARNATION)
        self.assertEqual(unresolved, InsertClaim("n"))

    def test_process_that_accepts_no_jobs(self):
        """Guards against a refusal that states `not_run` without certainty."""
        cases = {
            Reason.DRAINING: {"accepting": False},
            Reason.NOT_READY: {"ready": False},
            Reason.TOO_MANY_JOBS: {"at_capacity": True},
        }
        for reason, fields in cases.items():
            with self.subTest(reason):
                process = dataclasses.replace(PROCESS, **fields)
                none = decide(NoId(), process=process)
                self.assert_refused(none, reason, not_run=True)
                own = decide(OWN_ID, process=process)
                self.assert_refused(own, reason, not_run=True, record=True)
                self.assert_refused(decide(CALLER_MADE, process=process), reason)
                attached = decide(OWN_ID, ActiveJob(DIGEST), process=process)
                self.assertEqual(attached, AttachToActiveJob())

    @PROFILE
    @hypothesis.given(submissions, processes)
    def test_any_submission(self, submission, process):
        """Guards against a start or `not_run` that the rules do not allow."""
        decision = decide_submission(submission, process, SETTINGS, WALL_NOW)
        key = submission.key
        if isinstance(decision, StartJob) and not isinstance(key, NoId):
            self.assertEqual(key, OWN_ID)
            self.assertTrue(submission.issued_here and not submission.expired)
            self.assertIn(submission.id_status, (UnknownId(), ClaimUnresolved("nonce")))
        if isinstance(decision, StartJob | InsertClaim):
            self.assertTrue(
                process.accepting and process.ready and not process.at_capacity
            )
        if isinstance(decision, InsertClaim):
            self.assertEqual(key, CALLER_MADE)
        if isinstance(decision, ForwardToOwner):
            self.assertIsNone(submission.addressed_to)
        if isinstance(decision, RespondWithError):
            self.check_refusal(decision, key)

    def check_refusal(self, decision, key):
        """Check the rules on `not_run` and `record`."""
        if decision.not_run:
            self.assertTrue(isinstance(key, NoId) or decision.record)
        if decision.record:
            self.assertIsInstance(key, IssuedId)
            self.assertEqual(key, OWN_ID)
            self.assertTrue(decision.not_run)


class ClaimVerdictTests(unittest.TestCase):
    """Decisions after the verdict on a claim."""

    def decide(self, verdict, key=CALLER_MADE, wall_now=WALL_NOW):
        """Decide on a submission after a verdict on its claim."""
        return decide_after_claim(verdict, key, DIGEST, PROCESS, SETTINGS, wall_now)

    def test_claim_held(self):
        """Guards against a start when a pause made the id expire before its claim."""
        self.assertEqual(self.decide(ClaimHeld()), StartJob())
        late = self.decide(ClaimHeld(), wall_now=WALL_NOW + 901)
        self.assertEqual(late.outcome.reason, Reason.SUBMISSION_EXPIRED)
        self.assertFalse(late.not_run)

    def test_claim_taken(self):
        """Guards against a job that is not forwarded to the owner in the row."""
        other = ClaimTaken(claim_row(vm="vm-b", incarnation=OTHER_INCARNATION))
        self.assertEqual(self.decide(other), ForwardToOwner("vm-b", OTHER_INCARNATION))
        expected = {
            Reason.SUBMISSION_CONFLICT: claim_row(vm="vm-b", digest=b"o" * 32),
            Reason.OWNER_GONE: claim_row(incarnation=OTHER_INCARNATION),
            Reason.ANSWER_EVICTED: claim_row(nonce="earlier"),
        }
        for reason, row in expected.items():
            with self.subTest(reason):
                decision = self.decide(ClaimTaken(row))
                self.assertEqual(decision.outcome.reason, reason)
                self.assertFalse(decision.not_run or decision.record)

    def test_claim_unknown(self):
        """Guards against a start although the claim may not hold."""
        decision = self.decide(ClaimUnknown("no reply"))
        self.assertEqual(decision.outcome.reason, Reason.CLAIM_UNAVAILABLE)
        self.assertFalse(decision.not_run or decision.record)


if __name__ == "__main__":
    unittest.main()
