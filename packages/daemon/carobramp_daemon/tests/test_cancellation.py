"""Cancellations of submissions that another process owns."""

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


class Submissions:
    """Knows no submission."""

    issuer = IdIssuer("vm-a", INCARNATION, b"key")

    def cancel_owned_job(self, key):
        """There is no such job here."""
        return False


class Forwarder:
    """Keeps the owners that it was asked to cancel at."""

    def __init__(self):
        self.owners = []

    async def cancel(self, owner, name):
        """Note a cancellation."""
        self.owners.append(owner)
        return CancelResult.FOUND


class Platform:
    """Answers reads with one outcome once it is open."""

    def __init__(self, outcome=()):
        self.outcome = outcome
        self.open = asyncio.Event()
        self.reads = 0

    async def read(self, keys, purpose):
        """Return the outcome."""
        self.reads += 1
        async with asyncio.timeout(TIMEOUT_S):
            await self.open.wait()
        return self.outcome


class CancelTests(unittest.IsolatedAsyncioTestCase):
    """Where a cancellation goes."""

    async def cancel(self, text, outcome=()):
        """Cancel a submission with an outcome of the look-up."""
        self.forwarder = Forwarder()
        platform = Platform(outcome)
        platform.open.set()
        canceller = Canceller(Submissions(), self.forwarder, platform)
        return await canceller.cancel(text)

    async def test_owner(self):
        """Guards against a cancellation that goes to the wrong process."""
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

    async def test_no_owner(self):
        """Guards against an answer that says more than is known."""
        own = Submissions.issuer.issue(1.0)
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

    async def test_burst(self):
        """Guards against a burst of cancellations that fills the platform client."""
        platform = Platform()
        canceller = Canceller(Submissions(), Forwarder(), platform)
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
