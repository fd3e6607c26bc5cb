"""The clock of leases and links."""

import time


def now() -> float:
    """Return seconds since the boot of the VM, including time spent suspended.

    A VM that was suspended must not take its leases for valid: `CLOCK_MONOTONIC`
    does not count that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
