"""What an entry does with tasks that a cell returned as overloaded.

Explanation
===========

Answers load that exceeds the capacity of one cell while upstreams of another are idle:
a single return ended the job. The owner of the next cell decides on its own state.
That offer may wait, since an owner then takes or returns the job as a whole; tasks that
start in part and are then given up would waste work, and the rejection could no longer
say that the job has not run.
"""

from carobramp_core.cells.cell_choice import OfferKind, choose_earliest
from carobramp_core.cells.expected_end_routing import (
    MAX_OFFERS,
    demand_of,
    known_candidates,
)
from carobramp_core.cells.messages import NoResultReason
from carobramp_core.cells.open_jobs import OpenJob


def offer_after_overload(entry, open_job: OpenJob, indexes, suitable, now, effects):
    """Offer returned tasks to a cell that may have room, or end the job at once.

    `suitable` are the linked cells that could run the tasks if they were idle.
    """
    cell = next_cell(entry, open_job, indexes, suitable, now)
    if cell is not None:
        kind = OfferKind.RETRY
        entry.send_offer(open_job, cell, indexes, now, effects, True, kind=kind)
        return
    reason = NoResultReason.OVERLOADED
    delay_s = min(open_job.overload_delays.values())
    entry.refuse_job(open_job, reason, delay_s, now, effects)


def next_cell(entry, open_job: OpenJob, indexes, suitable, now) -> str | None:
    """Return the untried cell that gets the next offer, or None.

    None as well if the tasks were offered `MAX_OFFERS` times, or if a task that starts
    now would end too late to be useful.
    """
    if open_job.offer_count(indexes) >= MAX_OFFERS:
        return None
    if now - open_job.received_at > open_job.job.useless_after_s():
        return None
    candidates = [
        item
        for item in known_candidates(entry, open_job, suitable, now)
        if not item.tried and item.startable > 0
    ]
    if not candidates:
        return None
    demand = demand_of(open_job, len(indexes), now)
    return choose_earliest(candidates, demand, entry.rng).cell
