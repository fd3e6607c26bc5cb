"""Flags that say whether the daemon accepts new work."""

import dataclasses


@dataclasses.dataclass
class DrainState:
    """State of the drain: set by `Drain`, read by the other services.

    Attributes
    ==========

    draining : the VM reports to the load balancer that it is not ready, and to
        other VMs that it is leaving
    accepting : whether new jobs may start at this VM
    """

    draining: bool = False
    accepting: bool = True
