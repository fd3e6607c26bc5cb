"""Figures at the design size, worked out from the slopes."""

import dataclasses

from carobramp_daemon.membership import (
    MEMBER_LIST_ENTRY_BYTES,
    TEAM_LOAD_INTERVAL_S,
    member_list_poll_interval_s,
)
from carobramp_schema import convert
from carobramp_schema.generated.settings import (
    MembershipSettings,
    SubmissionSettings,
    TicketSettings,
)
from carobramp_testing.capacity.size import DesignSize

US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000
USED_ID_BYTES = 1 / 8


@dataclasses.dataclass(frozen=True)
class Figure:
    """A figure at the design size; `bound` of 0 means that none is stated."""

    name: str
    unit: str
    value: float
    bound: float
    mechanism: str

    @property
    def exceeded(self):
        """Whether the figure is over its bound."""
        return bool(self.bound) and self.value > self.bound


def figures(slopes: dict[str, float], size: DesignSize) -> list[Figure]:
    """Return the figures of docs/CAPACITY.md."""
    return [
        *memory_figures(slopes, size),
        *control_figures(slopes, size),
        *platform_figures(slopes, size),
        *load_figures(slopes, size),
    ]


def exchanges_per_s(size: DesignSize, settings: MembershipSettings):
    """Heartbeat exchanges a second of one VM, those of its peers included.

    One exchange carries the status of both sides.
    """
    near = (size.zone_vms - 1) / (settings.heartbeat_ms / 1000)
    far = (size.zones - 1) / (settings.far_heartbeat_ms / 1000)
    return near + 2 * far


def memory_figures(slopes, size):
    """Memory of one daemon."""
    tickets = convert({}, TicketSettings)
    state = (
        size.upstreams * slopes["state_bytes_per_upstream"]
        + size.teams * slopes["state_bytes_per_team"]
    ) / BYTES_PER_MB
    records = tickets.kept_tickets * slopes["record_bytes_per_ticket"] / BYTES_PER_MB
    control = slopes["daemon_rss_mb"] + 2 * state + records
    return [
        Figure("state in force", "MB", state, 0, "small immutable objects"),
        Figure("kept tickets", "MB", records, 0, "bounded log"),
        Figure(
            "memory for control",
            "MB",
            control,
            size.memory_mb,
            "resident at start, twice the state during a change, kept tickets",
        ),
    ]


def loads_per_s(size: DesignSize, settings: MembershipSettings):
    """Statuses with team loads a second, to and from one VM.

    Within the zone each pair sends them both ways every `TEAM_LOAD_INTERVAL_S`; another
    zone gets them in the reply to each heartbeat.
    """
    near = 2 * (size.zone_vms - 1) / TEAM_LOAD_INTERVAL_S
    far = 2 * (size.zones - 1) / (settings.far_heartbeat_ms / 1000)
    return near + far


def list_bytes_per_s(size: DesignSize, settings: MembershipSettings):
    """Bytes a second of reading the membership list."""
    length = size.vms * MEMBER_LIST_ENTRY_BYTES
    return length / member_list_poll_interval_s(settings.list_poll_ms / 1000, length)


def control_figures(slopes, size):
    """CPU time and bytes of one daemon for control, without TCP and IP headers."""
    settings = convert({}, MembershipSettings)
    exchanges = exchanges_per_s(size, settings)
    heartbeat = exchanges * slopes["heartbeat_wire_bytes"]
    loads = loads_per_s(size, settings) * size.teams * slopes["load_bytes_per_team"]
    listing = list_bytes_per_s(size, settings)
    near = (size.zone_vms - 1) * 2 + 2 * 2 * (size.zones - 1) / size.zone_vms
    spread = size.tickets_per_s * slopes["record_bytes_per_ticket"] * near
    cpu_us = (
        exchanges * slopes["heartbeat_cpu_us"]
        + size.tickets_per_s * slopes["apply_us_per_ticket"]
    )
    return [
        Figure("heartbeat exchanges", "1/s", exchanges, 0, "full mesh in the zone"),
        Figure("heartbeat bytes", "B/s", heartbeat, 0, "one VM of each other zone"),
        Figure("ticket bytes", "B/s", spread, 0, "changed objects only"),
        Figure("team load bytes", "B/s", loads, 0, "sum of a zone for other zones"),
        Figure("membership list bytes", "B/s", listing, 0, "longer pause, longer list"),
        Figure(
            "control bytes",
            "B/s",
            heartbeat + loads + spread + listing,
            size.bytes_per_s,
            "sum",
        ),
        Figure(
            "control CPU",
            "% of a core",
            cpu_us / US_PER_S * 100,
            size.core_percent,
            "heartbeats and tickets",
        ),
    ]


def platform_figures(slopes, size):
    """Reads and writes a second of the whole deployment."""
    tickets = convert({}, TicketSettings)
    membership = convert({}, MembershipSettings)
    head = size.vms / (tickets.head_poll_ms / 1000)
    length = size.vms * MEMBER_LIST_ENTRY_BYTES
    listing = size.vms / member_list_poll_interval_s(
        membership.list_poll_ms / 1000, length
    )
    start = size.restarts_per_s * 4
    reads = head + listing + start
    return [
        Figure("head reads", "1/s", head, 0, "poll with jitter"),
        Figure("membership list reads", "1/s", listing, 0, "poll"),
        Figure("platform reads", "1/s", reads, size.platform_reads_per_s, "sum"),
        Figure(
            "platform writes",
            "1/s",
            size.tickets_per_s * 2,
            size.platform_writes_per_s,
            "tickets; issued ids need none",
        ),
    ]


def load_figures(slopes, size):
    """CPU time and memory of one daemon for its share of the peak."""
    settings = convert({}, SubmissionSettings)
    starts = size.vm_starts_per_s
    one_task = starts * (slopes["path_us_per_task"] + slopes["path_us_per_job"])
    large = starts * (
        slopes["path_us_per_task"] + slopes["path_us_per_job"] / size.job_tasks
    )
    decisions = starts * (
        slopes["dispatch_us_per_task"] + slopes["dispatch_us_per_job"]
    )
    used = starts * settings.issued_valid_ms / 1000 * USED_ID_BYTES
    return [
        Figure("task starts", "1/s", starts, 0, "share of one of all entry VMs"),
        Figure("CPU, jobs of 1", "% of a core", one_task / 1e4, 100, "one process"),
        Figure("CPU, jobs of 390", "% of a core", large / 1e4, 100, "one process"),
        Figure("decisions, jobs of 1", "% of a core", decisions / 1e4, 0, "dispatch"),
        Figure("used ids, jobs of 1", "MB", used / BYTES_PER_MB, 0, "one bit an id"),
    ]
