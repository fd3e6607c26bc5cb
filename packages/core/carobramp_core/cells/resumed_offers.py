"""Offers of tasks that an earlier owner of the cell may have started.

Explanation
===========

A new owner holds such an offer back until every run of the earlier owner is known or
over. A task is held back in one offer at most, so that it is queued once.
"""

import dataclasses

from carobramp_core.cells.admission import admit_tasks
from carobramp_core.cells.messages import Offer


def replace_resumed_offers(owner, entry, offer: Offer) -> Offer:
    """Drop the pending resumed offers that an offer replaces.

    Those of another entry are dropped whole. Returns the offer with what they told
    of earlier runs: tasks that it shares with them wait for the same runs.
    """
    kept = []
    for pending in owner.resumed_offers:
        earlier_entry, earlier, received_at = pending
        if earlier.job.job_id != offer.job.job_id:
            kept.append(pending)
            continue
        shared = set(earlier.indexes) & set(offer.indexes)
        if shared:
            offer = merge_earlier_runs(offer, earlier)
        remaining = tuple(i for i in earlier.indexes if i not in shared)
        if remaining and earlier_entry == entry:
            reduced = dataclasses.replace(earlier, indexes=remaining)
            kept.append((entry, reduced, received_at))
    owner.resumed_offers = kept
    return offer


def merge_earlier_runs(offer: Offer, earlier: Offer) -> Offer:
    """Return an offer as resumed, with the possible runs of an earlier offer."""
    known = {placement.index for placement in offer.placements}
    placements = [p for p in earlier.placements if p.index not in known]
    return dataclasses.replace(
        offer,
        resumed=True,
        members=tuple(sorted({*offer.members, *earlier.members})),
        placements=(*offer.placements, *placements),
    )


def resume_offers(owner, now, effects):
    """Handle the resumed offers whose earlier runs are now resolved.

    Those of a disconnected entry are kept until it is back or its jobs are released.
    """
    resumed_offers, owner.resumed_offers = owner.resumed_offers, []
    for entry, offer, received_at in resumed_offers:
        disconnected = entry in owner.disconnected_entries
        if disconnected or not owner.earlier_runs_resolved(offer, now):
            owner.resumed_offers.append((entry, offer, received_at))
            continue
        unstarted = [
            index
            for index in offer.indexes
            if not owner.attach_earlier_run(
                entry, offer.job, index, received_at, effects
            )
        ]
        if unstarted:
            admit_tasks(owner, entry, offer, unstarted, received_at, now, effects)
