"""Dispatch of jobs to leased upstreams: cells, their owners and entries.

Explanation
===========

A cell is the set of upstreams of one availability zone. One daemon owns a cell: only
the owner starts and stops tasks there and records how they end, since each upstream
enforces one lease and one fencing token. Every daemon is an entry: it keeps the open
requests of its callers and offers their tasks to the owners.

`CellOwner` and `Entry` are state machines without sockets or clocks: they take events
and the current time and return effects.
"""

from carobramp_core.cells.claims import ClaimView, should_claim
from carobramp_core.cells.entry import Entry
from carobramp_core.cells.owner import CellOwner

__all__ = ["CellOwner", "ClaimView", "Entry", "should_claim"]
