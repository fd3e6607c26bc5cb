"""Membership decisions: which other entry VMs are live."""

from carobramp_core.membership.view import (
    ListSeen,
    MembershipView,
    PeerStatus,
    StatusHeard,
    Tick,
    Unanswered,
)

__all__ = [
    "ListSeen",
    "MembershipView",
    "PeerStatus",
    "StatusHeard",
    "Tick",
    "Unanswered",
]
