"""Events of the membership view and the changes that it reports."""

import dataclasses

from carobramp_core.dispatch.messages import TeamLoad
from carobramp_core.platform import VmEntry

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class PeerStatus:
    """Status that a VM stated in a heartbeat.

    `loads` is None when the heartbeat left them out. `zone_peers` is the number of
    live VMs of its zone, without it. `address` is None when it stated none.
    """

    vm: str
    zone: str
    incarnation: str
    address: Address | None
    leaving: bool
    number: int
    digest: str
    heard: int
    loads: tuple[TeamLoad, ...] | None
    zone_peers: int


@dataclasses.dataclass(frozen=True)
class StatusHeard:
    """A heartbeat came from a VM or was answered by it."""

    status: PeerStatus


@dataclasses.dataclass(frozen=True)
class ListSeen:
    """The platform's list was read; `upstreams` are the names in the state."""

    entries: tuple[VmEntry, ...]
    upstreams: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Unanswered:
    """A VM did not answer a heartbeat."""

    vm: str


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time passed; VMs that have been silent for long are dropped."""


@dataclasses.dataclass(frozen=True)
class Appeared:
    """A VM became live."""

    vm: str


@dataclasses.dataclass(frozen=True)
class WentSilent:
    """A VM is no longer live."""

    vm: str


@dataclasses.dataclass(frozen=True)
class Forgotten:
    """A VM is no longer a candidate."""

    vm: str
    address: Address | None
