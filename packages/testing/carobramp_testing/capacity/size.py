"""The size to design for."""

import dataclasses

DAY_S = 86_400


@dataclasses.dataclass(frozen=True)
class DesignSize:
    """Deployment size that docs/design.md section 1.4 states."""

    upstreams: int = 1800
    accelerators: int = 4400
    starts_per_s: int = 75_000
    job_tasks: int = 390
    teams: int = 110
    regions: int = 6
    zones: int = 15
    zone_vms: int = 8
    tickets_per_day: int = 5000
    restarts_per_day: int = 520
    failures_per_day: int = 35
    core_percent: float = 3.3
    memory_mb: float = 64.0
    bytes_per_s: float = 11_000.0
    platform_reads_per_s: float = 2000.0
    platform_writes_per_s: float = 300.0

    @property
    def vms(self):
        """Entry VMs of the deployment."""
        return self.zones * self.zone_vms

    @property
    def vm_starts_per_s(self):
        """Task starts a second of one entry VM at the peak."""
        return self.starts_per_s / self.vms

    @property
    def tickets_per_s(self):
        """Mean rate of accepted tickets."""
        return self.tickets_per_day / DAY_S

    @property
    def restarts_per_s(self):
        """Mean rate of process starts, after failures and replacements."""
        return (self.restarts_per_day + self.failures_per_day) / DAY_S


DESIGN_SIZE = DesignSize()
