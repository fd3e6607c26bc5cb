"""Slopes that `make capacity` measures."""

import dataclasses

CPU_TOLERANCE = 2.0
SIZE_TOLERANCE = 1.25


@dataclasses.dataclass(frozen=True)
class Slope:
    """A measured cost.

    `tolerance` is the factor by which a new measurement may differ from the page
    in either direction. CPU times depend on the machine and its load, so their
    tolerance is wider than that of sizes.
    """

    name: str
    unit: str
    meaning: str
    tolerance: float


SLOPES = (
    Slope("state_bytes_per_upstream", "B", "state in force, memory", SIZE_TOLERANCE),
    Slope("state_bytes_per_team", "B", "state in force, memory", SIZE_TOLERANCE),
    Slope("record_bytes_per_ticket", "B", "ticket row, one upstream", SIZE_TOLERANCE),
    Slope("apply_us_per_ticket", "us", "apply and verify, at full size", CPU_TOLERANCE),
    Slope("heartbeat_wire_bytes", "B", "exchange, both ways, no teams", SIZE_TOLERANCE),
    Slope("load_bytes_per_team", "B", "one team in one status", SIZE_TOLERANCE),
    Slope("heartbeat_cpu_us", "us", "exchange, one side", CPU_TOLERANCE),
    Slope("dispatch_us_per_task", "us", "decisions per task, full size", CPU_TOLERANCE),
    Slope("dispatch_us_per_job", "us", "decisions per job, full size", CPU_TOLERANCE),
    Slope("path_us_per_task", "us", "whole daemon, per task", CPU_TOLERANCE),
    Slope("path_us_per_job", "us", "whole daemon, per job", CPU_TOLERANCE),
    Slope("daemon_rss_mb", "MB", "resident at start, few objects", SIZE_TOLERANCE),
)
