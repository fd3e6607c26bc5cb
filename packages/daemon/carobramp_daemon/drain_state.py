"""Condition of the daemon towards new work."""

import dataclasses


@dataclasses.dataclass
class DrainState:
    """Flags that the drain sets and the other services read.

    Attributes
    ==========

    draining : the VM reports that it is not ready and that it is leaving
    accepting : new jobs may start here
    """

    draining: bool = False
    accepting: bool = True
