"""Measures how late the timers of this process are.

The stand-ins of a soak run in its process: where their timers are late, so are the ends
of leases that the checks see.
"""

import asyncio

LAG_CHECK_S = 0.1


class LagMeter:
    """Measures the longest delay of a timer, `max_lag_s`, while it is entered."""

    def __init__(self):
        self.max_lag_s = 0.0
        self.measuring: asyncio.Task | None = None

    async def __aenter__(self):
        """Begin to measure."""
        self.measuring = asyncio.create_task(self.measure())
        return self

    async def __aexit__(self, *_):
        """Stop measuring."""
        if self.measuring is not None:
            self.measuring.cancel()

    async def measure(self):
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_CHECK_S
            await asyncio.sleep(LAG_CHECK_S)
            self.max_lag_s = max(self.max_lag_s, loop.time() - due)
