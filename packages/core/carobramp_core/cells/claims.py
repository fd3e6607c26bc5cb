"""Decides when a daemon takes over a cell, and under which fencing token.

Explanation
===========

A claim is a transaction on the cell's row in the store. For times in which the store
is unreachable, the owner appoints one live daemon as its deputy and assigns it a
fencing token; the deputy may take over the cell under that token without the store.
Tokens are unique: a claim uses the first token of a block, and the owner assigns each
of the others to at most one deputy. When two daemons believe that they own the cell,
upstreams reject the orders of the one with the lower token, as after any takeover.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import Protocol

from carobramp_core.cells.lease_limits import LeaseLimits
from carobramp_core.cells.orders import UpstreamRecord

# Head start of the daemons in the cell's own zone.
OTHER_ZONE_CLAIM_DELAY_S = 0.8
# Delay between two candidates of one zone; several round trips to the store, so that
# the second one sees the claim of the first.
CLAIM_DELAY_PER_RANK_S = 0.15
# Uptime before which a daemon does not claim a cell that never had an owner: all
# daemons start within 0.3 s, and the largest should own the cell.
FIRST_CLAIM_MIN_UPTIME_S = 0.4
# Silence of the owner after which a daemon claims the cell although no other daemon
# answers; it may itself be cut off, so it waits longer.
ISOLATED_CLAIM_DELAY_S = 2.0
# Uptime before which a daemon of the cell's zone does not take the cell back from an
# unsuitable owner.
RECLAIM_MIN_UPTIME_S = 1.5
# Fencing tokens of one claim: the first for the owner, the others for its deputies. A
# deputy is replaced only when its link closes.
TOKEN_BLOCK = 64
# Upstreams of one service are probed at even distances in the list, so that there are
# about this many.
PROBED_UPSTREAMS = 3
# Services whose upstreams are probed in one round.
PROBED_SERVICES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimView:
    """What a daemon knows when it decides whether to take over a cell.

    Parameters
    ==========

    had_owner : whether the cell has ever had an owner
    owner_silence_s : time since this daemon last received a message of the owner, or
        since it learned that there is no owner
    same_zone : whether this daemon is in the cell's zone
    owner_suitable : whether the current owner is in the cell's zone and large enough
    rank : number of live candidates of the same zone that precede this daemon
    peers_answered : number of other daemons that answered whether they have a live
        link to the owner
    peers_hearing_owner : number of those that have one
    peers_heard_owner_at : latest time at which one of those heard the owner; minus
        infinity if none ever has
    peer_lease_limits : lease limits of the last owner that they know
    uptime_s : time since this daemon started
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
    peers_heard_owner_at: float = -math.inf
    peer_lease_limits: LeaseLimits = LeaseLimits()


def claim_delay_s(view: ClaimView) -> float:
    """Return the silence of the owner after which this daemon may claim the cell."""
    zone_delay = 0.0 if view.same_zone else OTHER_ZONE_CLAIM_DELAY_S
    return zone_delay + view.rank * CLAIM_DELAY_PER_RANK_S


def should_claim(view: ClaimView) -> bool:
    """Return whether this daemon takes over the cell now.

    While another daemon receives messages of the owner, the cell is not claimed: the
    owner runs, and the fault is on this daemon's side.

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
    if not view.had_owner and view.uptime_s < FIRST_CLAIM_MIN_UPTIME_S:
        return False
    if not view.had_owner or view.peers_answered:
        return True
    return view.owner_silence_s >= ISOLATED_CLAIM_DELAY_S


def should_reclaim(view: ClaimView) -> bool:
    """Return whether this daemon takes over the cell from a live, unsuitable owner."""
    if view.draining or view.owner_suitable or not view.same_zone or view.rank:
        return False
    return view.uptime_s >= RECLAIM_MIN_UPTIME_S


def choose_probed_upstreams(
    upstreams: Iterable[UpstreamRecord], probe_round: int
) -> list[UpstreamRecord]:
    """Return the upstreams of a cell that a daemon probes before it claims the cell.

    A round probes some upstreams of some services. The rounds go through all services,
    and then through all upstreams of each: entries of another program must not hide
    the upstreams beside them.

    Parameters
    ==========

    probe_round : number of earlier rounds of probes
    """
    by_service: dict[str, list[UpstreamRecord]] = {}
    for upstream in upstreams:
        by_service.setdefault(upstream.service, []).append(upstream)
    groups = list(by_service.values())
    passes, position = divmod(probe_round, max(1, -(-len(groups) // PROBED_SERVICES)))
    first = position * PROBED_SERVICES
    probed = []
    for group in groups[first : first + PROBED_SERVICES]:
        distance = max(1, len(group) // PROBED_UPSTREAMS)
        probed += group[passes % distance :: distance]
    return probed


class Candidate(Protocol):
    """A daemon that may own a cell."""

    vm: str
    availability_zone: str

    def candidate_sort_key(self):
        """Return the sort key of the candidate; the lowest is the best candidate."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deputy:
    """The daemon that may take over a cell without the store.

    Parameters
    ==========

    incarnation : id of the daemon's process; a later process may not use the token
    token : fencing token that only this deputy may use
    upstreams : upstreams of the cell; sent only to the deputy
    """

    vm: str
    host: str
    link_port: int
    incarnation: str
    token: int
    upstreams: tuple[UpstreamRecord, ...] = ()


def claim_token(current_token: int) -> int:
    """Return the token of a claim that replaces the token in the cell's row.

    Examples
    ========

    >>> claim_token(0), claim_token(64), claim_token(66)
    (64, 128, 128)
    """
    return (current_token // TOKEN_BLOCK + 1) * TOKEN_BLOCK


def deputy_token(own_token: int, last_assigned: int) -> int | None:
    """Return the token for the next deputy, or None if the owner has none left.

    Parameters
    ==========

    own_token : token of the owner; an owner that took over as deputy assigns none
    last_assigned : token that the owner assigned last, or its own

    Examples
    ========

    >>> deputy_token(64, 64), deputy_token(64, 65), deputy_token(64, 127)
    (65, 66, None)
    >>> deputy_token(65, 65) is None
    True
    """
    if own_token % TOKEN_BLOCK:
        return None
    token = last_assigned + 1
    return token if token % TOKEN_BLOCK else None


def choose_deputy(
    cell: str, candidates: Iterable[Candidate], current: str | None
) -> str | None:
    """Return the VM that should be the deputy of a cell's owner; None if there is none.

    Parameters
    ==========

    candidates : daemons with a live link to the owner, without the owner itself
    current : VM of the current deputy; it stays while it is a candidate and no
        candidate is in a better zone, the cell's own zone being the best
    """
    ranked = sorted(
        candidates,
        key=lambda vm: (vm.availability_zone != cell, vm.candidate_sort_key()),
    )
    if not ranked:
        return None
    best_zone = ranked[0].availability_zone
    vms = [item.vm for item in ranked if item.availability_zone == best_zone]
    return current if current in vms else vms[0]
