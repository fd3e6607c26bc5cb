"""Membership: which other entry VMs are live, and which of them get messages."""

from carobramp_core.membership.messages import (
    HeartbeatFailed,
    HeartbeatReceived,
    HeartbeatStatus,
    Tick,
    VmListRead,
)
from carobramp_core.membership.view import MembershipView

__all__ = [
    "HeartbeatFailed",
    "HeartbeatReceived",
    "HeartbeatStatus",
    "MembershipView",
    "Tick",
    "VmListRead",
]
