"""Status records of upstreams and services for the status page."""

import dataclasses
from collections.abc import Mapping

from carobramp_core.dispatch.guards import GuardState


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """What this VM knows of one upstream.

    `running` counts the tasks of this VM, `others` is its estimate of the running
    tasks of other VMs, `speed` is relative to the usual upstream of the service.
    """

    name: str
    service: str
    availability_zone: str
    slots: int
    running: int
    others: float
    speed: float
    guard: GuardState
    usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceStatus:
    """Number of waiting tasks of one service, by class."""

    name: str
    waiting: Mapping[str, int]
