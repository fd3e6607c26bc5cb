"""When a daemon takes over a cell, and under which fencing token.

Explanation
===========

A claim is a transaction on the cell's row in the store. For times in which the store
is out of reach, the owner names one live daemon as its deputy and gives it a token of
its own; the deputy may take the cell over under that token without the store. Tokens
are unique: a claim takes the first of a block, and the owner gives away the others of
its block, each once. What two owners could do at one time is prevented by the tokens
alone, as after any other takeover.
"""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from carobramp_core.cells.orders import UpstreamRecord

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
RECLAIM_MIN_UPTIME_S = 1.5
# Tokens of one claim: the first for the claim, the others for deputies. A deputy is
# replaced only when its link is lost.
TOKEN_BLOCK = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimView:
    """What a daemon knows when it considers to take over a cell.

    Parameters
    ==========

    had_owner : whether the cell has ever had an owner
    owner_silence_s : time since this daemon last heard the owner, or since it learned
        that there is none
    same_zone : whether this daemon is in the cell's zone
    owner_suitable : whether the present owner is in the cell's zone and large enough
    rank : number of live candidates of the same zone that go before this one
    peers_answered : other daemons that answered whether they hear the owner
    peers_hearing_owner : those of them that do
    uptime_s : time for which this daemon has been running
    draining : whether this daemon is about to stop
    """

    had_owner: bool
    owner_silence_s: float
    same_zone: bool
    owner_suitable: bool
    rank: int
    peers_answered: int
    peers_hearing_owner: int
    uptime_s: float
    draining: bool = False


def claim_delay_s(view: ClaimView) -> float:
    """Return the silence after which this daemon asks others about the owner."""
    zone_delay = 0.0 if view.same_zone else OTHER_ZONE_DELAY_S
    return zone_delay + view.rank * RANK_DELAY_S


def should_claim(view: ClaimView) -> bool:
    """Whether this daemon takes over the cell now.

    An owner that another daemon hears is not deposed: the fault is on this side.

    Examples
    ========

    >>> view = ClaimView(
    ...     True, 0.5, True, True, rank=0, peers_answered=2, peers_hearing_owner=0,
    ...     uptime_s=9,
    ... )
    >>> should_claim(view)
    True
    >>> should_claim(dataclasses.replace(view, peers_hearing_owner=1))
    False
    """
    if view.draining or view.peers_hearing_owner:
        return False
    if view.owner_silence_s < claim_delay_s(view):
        return False
    if not view.had_owner and view.uptime_s < FIRST_CLAIM_S:
        return False
    if not view.had_owner or view.peers_answered:
        return True
    return view.owner_silence_s >= ALONE_DELAY_S


def should_reclaim(view: ClaimView) -> bool:
    """Whether this daemon takes a live cell from an owner that does not fit."""
    if view.draining or view.owner_suitable or not view.same_zone or view.rank:
        return False
    return view.uptime_s >= RECLAIM_MIN_UPTIME_S


class Candidate(Protocol):
    """A daemon that may own a cell."""

    vm: str
    availability_zone: str

    def candidate_sort_key(self):
        """Return the key by which candidates are ordered, the best first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deputy:
    """The daemon that may take a cell over without the store.

    Parameters
    ==========

    incarnation : process of the daemon; a later one has no right to the token
    token : fencing token that is the deputy's alone
    upstreams : upstreams of the cell, for the deputy itself
    """

    vm: str
    host: str
    link_port: int
    incarnation: str
    token: int
    upstreams: tuple[UpstreamRecord, ...] = ()


def claim_token(present: int) -> int:
    """Return the token of a claim that follows the token in the cell's row.

    Examples
    ========

    >>> claim_token(0), claim_token(64), claim_token(66)
    (64, 128, 128)
    """
    return (present // TOKEN_BLOCK + 1) * TOKEN_BLOCK


def deputy_token(own: int, given: int) -> int | None:
    """Return the token of the next deputy, or None if the owner has none to give.

    Parameters
    ==========

    own : token of the owner; one that is itself a deputy's gives none away
    given : newest token that the owner has given away, or its own

    Examples
    ========

    >>> deputy_token(64, 64), deputy_token(64, 65), deputy_token(64, 127)
    (65, 66, None)
    >>> deputy_token(65, 65) is None
    True
    """
    if own % TOKEN_BLOCK:
        return None
    following = given + 1
    return following if following % TOKEN_BLOCK else None


def choose_deputy(
    cell: str, candidates: Iterable[Candidate], present: str | None
) -> str | None:
    """Return the VM that should be the deputy of a cell's owner.

    Parameters
    ==========

    candidates : daemons with a live link to the owner, without the owner
    present : the present deputy, which is kept while it is among the best zone's
    """
    ranked = sorted(
        candidates,
        key=lambda vm: (vm.availability_zone != cell, vm.candidate_sort_key()),
    )
    if not ranked:
        return None
    best_zone = ranked[0].availability_zone
    same = [item.vm for item in ranked if item.availability_zone == best_zone]
    return present if present in same else same[0]
