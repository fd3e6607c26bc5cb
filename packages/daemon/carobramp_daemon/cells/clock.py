"""Clock by which leases and links expire."""

import time


def now() -> float:
    """Return seconds since the boot of the VM, including time spent suspended.

    After a suspension the leases of a VM may have expired, so that this time has to
    count; `CLOCK_MONOTONIC` leaves it out.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
