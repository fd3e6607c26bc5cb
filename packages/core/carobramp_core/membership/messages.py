"""Events of the membership view and the changes that it reports."""

import dataclasses

from carobramp_core.dispatch.messages import TeamLoad
from carobramp_core.platform import VmEntry

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class HeartbeatStatus:
    """Status that a VM stated in a heartbeat.

    `team_loads` is None when the heartbeat left them out. `zone_peer_count` is the
    number of live VMs of its zone, without it. `address` is None when it stated none.
    """

    vm: str
    zone: str
    incarnation: str
    address: Address | None
    leaving: bool
    state_number: int
    state_digest: str
    highest_known_number: int
    team_loads: tuple[TeamLoad, ...] | None
    zone_peer_count: int


@dataclasses.dataclass(frozen=True)
class HeartbeatReceived:
    """A heartbeat came from a VM or was answered by it."""

    status: HeartbeatStatus


@dataclasses.dataclass(frozen=True)
class VmListRead:
    """The platform's list was read; `upstreams` are the names in the state."""

    entries: tuple[VmEntry, ...]
    upstreams: frozenset[str]


@dataclasses.dataclass(frozen=True)
class HeartbeatFailed:
    """A VM did not answer a heartbeat."""

    vm: str


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time passed; VMs that have been silent for long are dropped."""


@dataclasses.dataclass(frozen=True)
class PeerBecameLive:
    """A VM became live."""

    vm: str


@dataclasses.dataclass(frozen=True)
class PeerBecameSilent:
    """A VM is no longer live."""

    vm: str


@dataclasses.dataclass(frozen=True)
class MemberRemoved:
    """A VM is no longer a candidate."""

    vm: str
    address: Address | None
