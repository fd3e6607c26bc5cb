"""Graceful stop: waits until all accepted work is finished."""

import asyncio
import time

from carobramp_schema.generated.settings import Settings

POLL_INTERVAL_S = 0.02
# The VM listens until it had no request for this long, so that requests already in
# transit when the last answer was written are still answered.
QUIET_PERIOD_S = 0.25
# Longest wait for such a quiet period. A caller that keeps sending to a draining VM
# gets refusals and must not delay the stop.
QUIET_PERIOD_MAX_S = 2.0


class Drain:
    """Drains the VM after a request by a signal or by an operator.

    Parameters
    ==========

    settings : settings of the daemon
    drain_state : flags that other services read
    active_count : returns the number of requests and jobs in progress
    log : log of the daemon
    """

    def __init__(self, settings: Settings, drain_state, active_count, log):
        self.settings = settings
        self.drain_state = drain_state
        self.active_count = active_count
        self.event_log = log
        self.requested = asyncio.Event()

    def request(self, source):
        """Start the drain; further requests have no effect."""
        if self.requested.is_set():
            return
        self.requested.set()
        self.drain_state.draining = True
        self.event_log.info("draining", source=source, active=self.active_count())

    async def run(self):
        """Wait for a request to drain, then until the drain ends.

        New jobs are refused after `drain_notice_ms`; jobs that remain after another
        `drain_max_ms` are left to be interrupted.
        """
        await self.requested.wait()
        await asyncio.sleep(self.settings.drain.drain_notice_ms / 1000)
        self.drain_state.accepting = False
        self.event_log.info("refusing new jobs", active=self.active_count())
        try:
            async with asyncio.timeout(self.settings.drain.drain_max_ms / 1000):
                await self.wait_until_idle()
        except TimeoutError:
            self.event_log.info("drain timed out", active=self.active_count())
            return
        self.event_log.info("drained")

    async def wait_until_idle(self):
        """Wait until no work is in progress and none came for `QUIET_PERIOD_S`."""
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
