"""Planned stop: finish what callers wait for, then let the services stop."""

import asyncio
import time

from carobramp_schema.generated.settings import Settings

POLL_INTERVAL_S = 0.02
# Requests that were already on their way when the last answer was written still
# find a listener: the VM is quiet for this long before it closes its sockets.
QUIET_PERIOD_S = 0.25
# A caller that keeps sending to a draining VM gets refusals and cannot hold it up.
QUIET_PERIOD_MAX_S = 2.0


class Drain:
    """Steps of the planned stop, started by a signal or by an operator.

    Parameters
    ==========

    settings : settings of the daemon
    drain_state : has the flags `draining` (not ready) and `accepting` (new jobs)
    active_count : returns the number of requests and jobs under way
    log : log of the daemon
    """

    def __init__(self, settings: Settings, drain_state, active_count, log):
        self.settings = settings
        self.drain_state = drain_state
        self.active_count = active_count
        self.event_log = log
        self.requested = asyncio.Event()

    def request(self, source):
        """Start the planned stop; further requests have no effect."""
        if self.requested.is_set():
            return
        self.requested.set()
        self.drain_state.draining = True
        self.event_log.info("draining", source=source, active=self.active_count())

    async def run(self):
        """Wait for a request, then until nothing is under way."""
        await self.requested.wait()
        await asyncio.sleep(self.settings.drain.drain_notice_ms / 1000)
        self.drain_state.accepting = False
        self.event_log.info("refusing new jobs", active=self.active_count())
        try:
            async with asyncio.timeout(self.settings.drain.drain_max_ms / 1000):
                await self.wait_until_idle()
        except TimeoutError:
            self.event_log.info("drain_max_ms is over", active=self.active_count())
            return
        self.event_log.info("drained")

    async def wait_until_idle(self):
        """Wait until nothing is under way and the VM has been quiet."""
        while self.active_count():
            await asyncio.sleep(POLL_INTERVAL_S)
        end = time.monotonic() + QUIET_PERIOD_MAX_S
        quiet_since = time.monotonic()
        while (now := time.monotonic()) < min(end, quiet_since + QUIET_PERIOD_S):
            if self.active_count():
                quiet_since = now
            await asyncio.sleep(POLL_INTERVAL_S)
        while self.active_count():
            await asyncio.sleep(POLL_INTERVAL_S)
