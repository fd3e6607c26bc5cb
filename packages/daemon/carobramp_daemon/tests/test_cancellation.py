"""Tests of cancellations of submissions that another process owns."""

import asyncio
import unittest

from carobramp_core.platform import Row, Unavailable
from carobramp_core.submission.ids import IdIssuer
from carobramp_core.submission.owner import ForwardToOwner
from carobramp_daemon.cancellation import (
    MAX_CONCURRENT_READS,
    MAX_PENDING_LOOKUPS,
    Canceller,
)
from carobramp_daemon.forwarder import CancelResult
from carobramp_schema import encode
from carobramp_schema.generated.claim import ClaimRow
from carobramp_testing.builders import caller_made_id

INCARNATION = "0" * 16
TIMEOUT_S = 10


class EmptySubmissions:
    """Submission service without jobs."""

    issuer = IdIssuer("vm-a", INCARNATION, b"key")

    def cancel_owned_job(self, key):
        """Report that the job is not known here."""
        return False


class RecordingForwarder:
    """Records the owners to which cancellations are sent."""

    def __init__(self):
        self.owners = []

    async def cancel(self, owner, name):
        """Record a cancellation and report success."""
        self.owners.append(owner)
        return CancelResult.FOUND


class DelayedPlatform:
    """Answers all reads with one outcome after `open` is set."""

    def __init__(self, outcome=()):
        self.outcome = outcome
        self.open = asyncio.Event()
        self.reads = 0

    async def read(self, keys, purpose):
        """Wait for `open` and return the outcome."""
        self.reads += 1
        async with asyncio.timeout(TIMEOUT_S):
            await self.open.wait()
        return self.outcome


class CancelTests(unittest.IsolatedAsyncioTestCase):
    """A cancellation is sent to the owner of the submission only."""

    async def cancel(self, text, outcome=()):
        """Cancel a submission; a look-up of its claim row returns `outcome`."""
        self.forwarder = RecordingForwarder()
        platform = DelayedPlatform(outcome)
        platform.open.set()
        canceller = Canceller(EmptySubmissions(), self.forwarder, platform)
        return await canceller.cancel(text)

    async def test_cancellation_is_sent_to_the_owner(self):
        """Guards against a cancellation that is sent to the wrong process."""
        row = ClaimRow("vm-b", INCARNATION, "n", "0" * 64)
        issued = str(IdIssuer("vm-b", INCARNATION, b"other").issue(1.0))
        cases = (
            (caller_made_id(1), (Row("key", encode(row), 1),)),
            (issued, ()),
        )
        for text, outcome in cases:
            with self.subTest(text):
                result = await self.cancel(text, outcome)
                self.assertEqual(result, CancelResult.FOUND)
                owner = ForwardToOwner("vm-b", INCARNATION)
                self.assertEqual(self.forwarder.owners, [owner])

    async def test_submission_without_reachable_owner(self):
        """Guards against "not found" for an owner that could not be looked up."""
        own = EmptySubmissions.issuer.issue(1.0)
        down = Unavailable("down", maybe_applied=False)
        malformed = (Row("key", b"{}", 1),)
        cases = (
            ("order 17", (), CancelResult.NOT_FOUND),
            (own, (), CancelResult.NOT_FOUND),
            (caller_made_id(1), (), CancelResult.NOT_FOUND),
            (caller_made_id(1), down, CancelResult.UNREACHABLE),
            (caller_made_id(1), malformed, CancelResult.UNREACHABLE),
        )
        for text, outcome, expected in cases:
            with self.subTest(text, outcome=outcome):
                self.assertEqual(await self.cancel(text, outcome), expected)
                self.assertEqual(self.forwarder.owners, [])

    async def test_burst_of_look_ups(self):
        """Guards against a burst of look-ups that takes all platform calls."""
        platform = DelayedPlatform()
        canceller = Canceller(EmptySubmissions(), RecordingForwarder(), platform)
        calls = [
            asyncio.create_task(canceller.cancel(caller_made_id(seed)))
            for seed in range(MAX_PENDING_LOOKUPS + 3)
        ]
        await asyncio.wait(calls[MAX_PENDING_LOOKUPS:], timeout=TIMEOUT_S)
        self.assertEqual(platform.reads, MAX_CONCURRENT_READS)
        platform.open.set()
        results = await asyncio.gather(*calls)
        self.assertEqual(results.count(CancelResult.UNREACHABLE), 3)
        self.assertEqual(results.count(CancelResult.NOT_FOUND), MAX_PENDING_LOOKUPS)


if __name__ == "__main__":
    unittest.main()
