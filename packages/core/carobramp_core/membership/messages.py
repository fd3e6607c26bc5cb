"""Events that the membership view handles and the changes that it returns."""

import dataclasses

from carobramp_core.dispatch.messages import TeamLoad
from carobramp_core.platform import VmEntry

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class HeartbeatStatus:
    """Status of a VM, as reported in its heartbeat.

    `team_loads` is None when the heartbeat carried none, and `address` is None when
    it carried no address. `zone_peer_count` is the number of other live VMs in the
    sender's zone.
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
    """A heartbeat request or response was received from a VM."""

    status: HeartbeatStatus


@dataclasses.dataclass(frozen=True)
class VmListRead:
    """The platform's VM list was read.

    `upstreams` holds the names of the upstreams in the deployment state; entries
    with these names are not entry VMs.
    """

    entries: tuple[VmEntry, ...]
    upstreams: frozenset[str]


@dataclasses.dataclass(frozen=True)
class HeartbeatFailed:
    """A VM did not answer a heartbeat."""

    vm: str


@dataclasses.dataclass(frozen=True)
class Tick:
    """Timer event that detects silent VMs and removes expired candidates."""


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
    """A VM was removed from the candidates; `address` is its last address."""

    vm: str
    address: Address | None
