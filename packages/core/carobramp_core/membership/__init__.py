"""Membership decisions: which other entry VMs are live."""

from carobramp_core.membership.messages import (
    ListSeen,
    PeerStatus,
    StatusHeard,
    Tick,
    Unanswered,
)
from carobramp_core.membership.view import MembershipView

__all__ = [
    "ListSeen",
    "MembershipView",
    "PeerStatus",
    "StatusHeard",
    "Tick",
    "Unanswered",
]
