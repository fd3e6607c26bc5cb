"""Planned stop: finish what callers wait for, then let the services stop."""

import asyncio
import time

from carobramp_schema.generated.settings import Settings

POLL_S = 0.02
# Requests that were already on their way when the last answer was written still
# find a listener: the VM is quiet for this long before it closes its sockets.
QUIET_S = 0.25
# A caller that keeps sending to a draining VM gets refusals and cannot hold it up.
QUIET_MAX_S = 2.0


class Drain:
    """Steps of the planned stop, started by a signal or by an operator.

    Parameters
    ==========

    settings : settings of the daemon
    gate : has the flags `draining` (not ready) and `accepting` (new jobs)
    active : returns the number of requests and jobs under way
    log : log of the daemon
    """

    def __init__(self, settings: Settings, gate, active, log):
        self.settings = settings
        self.gate = gate
        self.active = active
        self.event_log = log
        self.requested = asyncio.Event()

    def request(self, source):
        """Start the planned stop; further requests have no effect."""
        if self.requested.is_set():
            return
        self.requested.set()
        self.gate.draining = True
        self.event_log.info("draining", source=source, active=self.active())

    async def run(self):
        """Wait for a request, then until nothing is under way."""
        await self.requested.wait()
        await asyncio.sleep(self.settings.drain.drain_notice_ms / 1000)
        self.gate.accepting = False
        self.event_log.info("refusing new jobs", active=self.active())
        try:
            async with asyncio.timeout(self.settings.drain.drain_max_ms / 1000):
                await self.finish()
        except TimeoutError:
            self.event_log.info("drain_max_ms is over", active=self.active())
            return
        self.event_log.info("drained")

    async def finish(self):
        """Wait until nothing is under way and the VM has been quiet."""
        while self.active():
            await asyncio.sleep(POLL_S)
        end = time.monotonic() + QUIET_MAX_S
        quiet_since = time.monotonic()
        while (now := time.monotonic()) < min(end, quiet_since + QUIET_S):
            if self.active():
                quiet_since = now
            await asyncio.sleep(POLL_S)
        while self.active():
            await asyncio.sleep(POLL_S)
