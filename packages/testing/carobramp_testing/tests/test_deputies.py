"""Tests of takeovers while the store is out of reach."""

import asyncio
import signal
import unittest

from carobramp_testing.processes import wait_for
from carobramp_testing.tests.test_leased import (
    COMPLETED,
    UNAVAILABLE,
    LeasedCase,
)


class DeputyTests(LeasedCase):
    """An owner that ends while the store refuses every call."""

    async def asyncSetUp(self):
        """Wait until each owner has named a deputy, then stop the store."""
        await super().asyncSetUp()
        await wait_for(self.deputies_named)
        self.owner = self.deployment.owner("tilburg")
        other = ({"tilburg-0", "tilburg-1"} - {self.owner.name}).pop()
        self.deputy = self.daemon(other)
        for worker in self.platform.workers.values():
            # Nothing but the cell of the owner may serve.
            worker.faults.silent = worker.zone == "breda"
        self.platform.store.faults.status = UNAVAILABLE
        await wait_for(self.store_lost)

    def log_text(self, name):
        """Return the log of a daemon."""
        return self.deployment.daemons[name].log.read_text()

    async def deputies_named(self):
        """Whether a daemon of each zone knows that it is a deputy."""
        logs = {name: self.log_text(name) for name in self.deployment.daemons}
        return all(
            any(
                f'"cell":"{zone}"' in line
                for line in self.lines(logs, "named as deputy")
            )
            for zone in self.platform.zones
        )

    def lines(self, logs, sentence):
        """Return the lines of all logs with a sentence."""
        texts = (text.splitlines() for text in logs.values())
        return [line for text in texts for line in text if sentence in line]

    async def store_lost(self):
        """Whether the deputy has noticed that the store is out of reach."""
        return "store unreachable" in self.log_text(self.deputy.name)

    async def test_killed_owner_is_replaced_without_the_store(self):
        """Guards against a zone that nobody serves until the store is back.

        A zone whose owner was lost while the zone was cut off refused all requests
        for 3.4 s on scale-2 of the grown De Klep site.
        """
        await self.owner.end(signal.SIGKILL)

        async def served():
            return await self.submit(self.deputy, run_ms=100) == COMPLETED

        await wait_for(served, timeout=3.0)
        self.assert_no_overlap()

    async def test_stopped_owner_hands_over_without_the_store(self):
        """Guards against a planned stop that leaves its cell without an owner."""
        jobs = [
            asyncio.create_task(self.submit(entry, tasks=2, run_ms=1500))
            for entry in (self.owner, self.deputy)
        ]
        await wait_for(self.all_started)
        await self.owner.end(signal.SIGTERM)
        self.assertEqual(await asyncio.gather(*jobs), [COMPLETED] * 2)
        self.assertEqual(await self.submit(self.deputy, run_ms=100), COMPLETED)
        self.assertEqual({run.how for run in self.platform.runs()}, {"done"})

    async def all_started(self):
        """Whether the four tasks of two jobs have started."""
        return len(self.platform.runs()) == 4

    async def test_deputy_claims_when_the_store_is_back(self):
        """Guards against an owner that daemons elsewhere never find."""
        await self.owner.end(signal.SIGKILL)
        await wait_for(self.owns_as_deputy)
        self.platform.store.faults.status = 0

        async def claimed():
            return self.deployment.owner("tilburg") is self.deputy

        await wait_for(claimed)
        entry = self.daemon("breda-0")

        async def served():
            return await self.submit(entry, run_ms=100) == COMPLETED

        await wait_for(served)
        self.assert_no_overlap()

    async def owns_as_deputy(self):
        """Whether the deputy has taken the cell over."""
        return "taking over cell as deputy" in self.log_text(self.deputy.name)


if __name__ == "__main__":
    unittest.main()
