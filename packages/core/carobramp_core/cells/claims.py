"""When a daemon takes over a cell."""

import dataclasses

# Time for which daemons of the cell's own zone may go first.
OTHER_ZONE_DELAY_S = 0.8
# Time between two candidates of the same zone, several store round trips.
RANK_DELAY_S = 0.15
# Time after its start in which a daemon does not claim a cell that never had an
# owner: all daemons start within 0.3 s, and the largest should own it.
FIRST_CLAIM_S = 0.4
# Silence after which a daemon that hears no other one claims all the same.
ALONE_DELAY_S = 2.0
# Time for which a daemon of the cell's zone has to be live before it takes the cell
# back from an owner in another zone.
RETURN_DELAY_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimView:
    """What a daemon knows when it considers to take over a cell.

    Parameters
    ==========

    owned : whether the cell has ever had an owner
    silent_s : time since this daemon last heard the owner, or since it learned
        that there is none
    same_zone : whether this daemon is in the cell's zone
    owner_fits : whether the present owner is in the cell's zone and large enough
    rank : number of live candidates of the same zone that go before this one
    witnesses : other daemons that answered whether they hear the owner
    hearing : those of them that do
    up_s : time for which this daemon has been running
    leaving : whether this daemon is about to stop
    """

    owned: bool
    silent_s: float
    same_zone: bool
    owner_fits: bool
    rank: int
    witnesses: int
    hearing: int
    up_s: float
    leaving: bool = False


def claim_delay_s(view: ClaimView) -> float:
    """Return the silence after which this daemon asks others about the owner."""
    zone_delay = 0.0 if view.same_zone else OTHER_ZONE_DELAY_S
    return zone_delay + view.rank * RANK_DELAY_S


def decide_claim(view: ClaimView) -> bool:
    """Whether this daemon takes over the cell now.

    An owner that another daemon hears is not deposed: the fault is on this side.

    Examples
    ========

    >>> view = ClaimView(True, 0.5, True, True, rank=0, witnesses=2, hearing=0, up_s=9)
    >>> decide_claim(view)
    True
    >>> decide_claim(dataclasses.replace(view, hearing=1))
    False
    """
    if view.leaving or view.hearing:
        return False
    if view.silent_s < claim_delay_s(view):
        return False
    if not view.owned and view.up_s < FIRST_CLAIM_S:
        return False
    if not view.owned or view.witnesses:
        return True
    return view.silent_s >= ALONE_DELAY_S


def decide_return(view: ClaimView) -> bool:
    """Whether this daemon takes a live cell from an owner that does not fit."""
    if view.leaving or view.owner_fits or not view.same_zone or view.rank:
        return False
    return view.up_s >= RETURN_DELAY_S
