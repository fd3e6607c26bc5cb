"""View that an entry VM has of the other entry VMs.

Explanation
===========

Candidates come from the settings, the platform's VM list and received heartbeats.
Only a received heartbeat makes a VM live. The list adds candidates and marks VMs as
leaving; a VM that still sends heartbeats stays when the list omits it.
"""

import dataclasses
import functools

from carobramp_core.dispatch.messages import LiveVmsUpdated, TeamLoad
from carobramp_core.membership.messages import (
    Address,
    HeartbeatFailed,
    HeartbeatReceived,
    HeartbeatStatus,
    MemberRemoved,
    PeerBecameLive,
    PeerBecameSilent,
    Tick,
    VmListRead,
)
from carobramp_schema.generated.settings import MembershipSettings

MAX_MEMBERS = 1024
"""Maximum number of candidates; bounds the memory that made-up VM names can use."""

REMOTE_HEARTBEATS_PER_TURN = 8
"""Consecutive heartbeats to one VM of a remote zone before the next VM is chosen.
Connections to all VMs of all remote zones would take 60 KB each, 7 MB at 120 VMs."""

REMOTE_LIVE_MAX_S = 600.0
"""Maximum age of the last heartbeat from a VM of a remote zone that counts as live."""

FAILED_TURN_INTERVAL = 4
"""Every fourth choice in a remote zone prefers VMs whose last heartbeat failed."""


@dataclasses.dataclass
class Member:
    """Candidate VM with its addresses, last status and heartbeat times."""

    name: str
    zone: str
    settings_address: Address | None = None
    listed_address: Address | None = None
    reported_address: Address | None = None
    listed_as_leaving: bool = False
    added_at: float = 0.0
    last_heartbeat_at: float | None = None
    heartbeat_sent_at: float | None = None
    heartbeat_failed_at: float | None = None
    was_live: bool = False
    status: HeartbeatStatus | None = None
    team_loads: tuple[TeamLoad, ...] = ()
    team_loads_at: float = 0.0

    @property
    def address(self) -> Address | None:
        """Address for calls; the settings precede the VM list and heartbeats."""
        return self.settings_address or self.listed_address or self.reported_address

    @property
    def leaving(self) -> bool:
        """Whether the VM list or the VM's last status marks it as leaving."""
        return self.listed_as_leaving or bool(self.status and self.status.leaving)

    @property
    def last_heartbeat_failed(self) -> bool:
        """Whether a heartbeat to the VM failed after the last one received from it."""
        if self.heartbeat_failed_at is None:
            return False
        return (
            self.last_heartbeat_at is None
            or self.heartbeat_failed_at > self.last_heartbeat_at
        )

    def silence_s(self, now: float) -> float:
        """Return the seconds since the last received heartbeat.

        Counts from the time when the VM became a candidate if none was received.
        """
        return now - (
            self.added_at if self.last_heartbeat_at is None else self.last_heartbeat_at
        )


@dataclasses.dataclass(frozen=True)
class LiveVmSummary:
    """Counts and team loads of the live VMs.

    `zone_peer_count` is the number of other live VMs in this zone;
    `zone_team_loads` is the sum over this zone, including this VM.
    """

    zone_peer_count: int
    zone_team_loads: tuple[TeamLoad, ...]
    live_vms: LiveVmsUpdated


class MembershipView:
    """Candidate VMs and their liveness.

    Parameters
    ==========

    vm, zone : name and availability zone of this VM
    settings : membership settings
    peers : peer addresses from the settings
    now : current time
    """

    def __init__(self, vm, zone, settings: MembershipSettings, peers, now):
        self.own_vm = vm
        self.zone = zone
        self.settings = settings
        self.members: dict[str, Member] = {}
        self.leaving_marked_at: dict[str, float] = {}
        self.remote_heartbeat_counts: dict[str, int] = {}
        self.remote_zone_contacts: dict[str, Member] = {}
        self.zone_last_heartbeat_at: dict[str, float] = {}
        for peer in peers:
            if peer.name != vm:
                member = self.get_or_add(peer.name, peer.availability_zone, now)
                member.settings_address = (peer.host, peer.peer_port)

    def handle(self, event, now: float) -> list:
        """Handle an event at time `now`; return the changes of the membership."""
        changes: list = []
        on_event(event, self, now, changes)
        return changes

    def get_or_add(self, name, zone, now):
        """Return the candidate with `name`, adding it if new.

        Returns None for a new name when there are `MAX_MEMBERS` candidates.
        """
        member = self.members.get(name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS:
                return None
            member = self.members[name] = Member(name, zone, added_at=now)
        return member

    def is_live(self, member, now):
        """Whether a heartbeat was received from a VM recently.

        VMs of a remote zone exchange heartbeats with this VM in turn. Between its
        turns a VM counts as live for up to `REMOTE_LIVE_MAX_S` while heartbeats
        arrive from its zone and its last heartbeat did not fail.
        """
        last_heartbeat_at = member.last_heartbeat_at
        if last_heartbeat_at is None:
            return False
        if member.zone == self.zone:
            return now - last_heartbeat_at <= self.settings.live_ms / 1000
        window = self.settings.far_live_ms / 1000
        if now - last_heartbeat_at <= window:
            return True
        zone_is_live = (
            now - self.zone_last_heartbeat_at.get(member.zone, last_heartbeat_at)
            <= window
        )
        return (
            zone_is_live
            and not member.last_heartbeat_failed
            and now - last_heartbeat_at <= REMOTE_LIVE_MAX_S
        )

    def live_peers(self, now: float) -> list[Member]:
        """Return the live VMs other than this one."""
        return [m for m in self.members.values() if self.is_live(m, now)]

    def zone_peers(self, now: float) -> list[Member]:
        """Return the other live VMs of this zone."""
        return [m for m in self.live_peers(now) if m.zone == self.zone]

    def address_of(self, vm: str) -> Address | None:
        """Return the address for calls to a VM, or None when unknown."""
        member = self.members.get(vm)
        return member.address if member else None

    def ticket_notification_targets(self, now: float) -> list[Member]:
        """Return the live VMs of this zone and one live VM of each remote zone."""
        live = [m for m in self.live_peers(now) if m.address]
        remote_by_zone = {m.zone: m for m in reversed(live) if m.zone != self.zone}
        return [m for m in live if m.zone == self.zone] + list(remote_by_zone.values())

    def local_heartbeat_targets(self, now: float) -> list[Member]:
        """Return the VMs of this zone to which a heartbeat is due.

        One exchange updates both sides, so no heartbeat is due to a VM from which
        one was received within the last half interval. A VM that has been silent
        for `forget_ms` gets one per `far_heartbeat_ms`.
        """
        local = [m for m in self.members.values() if m.zone == self.zone and m.address]
        return [m for m in local if self.is_heartbeat_due(m, now)]

    def is_heartbeat_due(self, member, now):
        """Whether a heartbeat to a VM of this zone is due."""
        half = self.settings.heartbeat_ms / 2000
        if (
            member.last_heartbeat_at is not None
            and now - member.last_heartbeat_at < half
        ):
            return False
        silent = member.silence_s(now) > self.settings.forget_ms / 1000
        if not silent or member.heartbeat_sent_at is None:
            return True
        return now - member.heartbeat_sent_at >= self.settings.far_heartbeat_ms / 1000

    def remote_heartbeat_targets(self, now: float) -> list[Member]:
        """Return one VM of each remote zone, chosen in turn."""
        zones: dict[str, list[Member]] = {}
        for member in self.members.values():
            if member.zone != self.zone and member.address:
                zones.setdefault(member.zone, []).append(member)
        return [
            self.choose_remote_contact(zone, found) for zone, found in zones.items()
        ]

    def choose_remote_contact(self, zone, members):
        """Choose the VM of a remote zone that gets the next heartbeat.

        A VM that answers stays chosen for `REMOTE_HEARTBEATS_PER_TURN` heartbeats.
        Then the VM with the oldest heartbeat is next. VMs whose last heartbeat failed
        are preferred in every fourth choice only, so that dead VMs do not delay
        status updates from live ones.
        """
        count = self.remote_heartbeat_counts[zone] = (
            self.remote_heartbeat_counts.get(zone, 0) + 1
        )
        current = self.remote_zone_contacts.get(zone)
        if (
            count % REMOTE_HEARTBEATS_PER_TURN
            and current in members
            and self.answered_last_heartbeat(current)
        ):
            return current
        failed = [m for m in members if m.last_heartbeat_failed]
        others = [m for m in members if not m.last_heartbeat_failed]
        preferred = (
            failed
            if count // REMOTE_HEARTBEATS_PER_TURN % FAILED_TURN_INTERVAL == 0
            else others
        )
        chosen = min(preferred or members, key=heartbeat_sort_key)
        self.remote_zone_contacts[zone] = chosen
        return chosen

    def answered_last_heartbeat(self, member):
        """Whether a heartbeat was received since the last one was sent to a VM."""
        last_heartbeat_at, sent_at = member.last_heartbeat_at, member.heartbeat_sent_at
        return (
            last_heartbeat_at is not None
            and sent_at is not None
            and last_heartbeat_at >= sent_at
        )

    def summarize_live_vms(
        self, own_loads: tuple[TeamLoad, ...], now: float
    ) -> "LiveVmSummary":
        """Return the summary for heartbeats to remote zones and for dispatch.

        Parameters
        ==========

        own_loads : team loads of this VM
        now : current time
        """
        local = self.zone_peers(now)
        remote_reports = self.remote_zone_reports(now)
        zone_vms = 1 + len(local)
        all_vms = zone_vms + sum(count for _, count in remote_reports.values())
        local_loads = sum_loads(member.team_loads for member in local)
        remote_loads = [member.team_loads for member, _ in remote_reports.values()]
        loads = sum_loads([local_loads, *remote_loads])
        return LiveVmSummary(
            zone_peer_count=len(local),
            zone_team_loads=sum_loads([own_loads, local_loads]),
            live_vms=LiveVmsUpdated(zone_vms, all_vms, loads),
        )

    def remote_zone_reports(self, now):
        """Return a (reporter, VM count) pair for each remote zone with live VMs.

        The reporter is the VM with the most recent team loads. Heartbeats from each
        single VM of a remote zone are too rare to add up; every heartbeat from the
        zone carries the zone's own VM count, and some its sum of loads.
        """
        live: dict[str, list[Member]] = {}
        for member in self.live_peers(now):
            if member.zone != self.zone:
                live.setdefault(member.zone, []).append(member)
        zones = {}
        for zone, members in live.items():
            reporter = max(members, key=lambda m: m.team_loads_at)
            newest = max(members, key=lambda m: m.last_heartbeat_at)
            zones[zone] = (reporter, 1 + newest.status.zone_peer_count)
        return zones

    @property
    def leaving_upstreams(self) -> frozenset[str]:
        """Names of the upstreams that the VM list marks as leaving."""
        return frozenset(self.leaving_marked_at)


def heartbeat_sort_key(member: Member):
    """Return the sort key that puts VMs without a heartbeat first, then the oldest."""
    return (
        member.heartbeat_sent_at is not None,
        member.heartbeat_sent_at or 0.0,
        member.name,
    )


def sum_loads(loads) -> tuple[TeamLoad, ...]:
    """Return the sum of several groups of loads, one entry for each team.

    Examples
    ========

    >>> sum_loads([(TeamLoad("club", 1, 0),), (TeamLoad("club", 2, 5),)])
    (TeamLoad(team='club', running=3, waiting=5),)
    """
    running: dict[str, int] = {}
    waiting: dict[str, int] = {}
    for group in loads:
        for load in group:
            team = load.team
            running[team] = running.get(team, 0) + load.running
            waiting[team] = waiting.get(team, 0) + load.waiting
    return tuple(TeamLoad(t, running[t], waiting[t]) for t in sorted(running))


@functools.singledispatch
def on_event(event, view: MembershipView, now: float, changes: list):
    """Apply an event to the view and append the resulting changes to `changes`."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: HeartbeatReceived, view, now, changes):
    status = event.status
    if status.vm == view.own_vm:
        return
    member = view.get_or_add(status.vm, status.zone, now)
    if member is None:
        return
    member.last_heartbeat_at = now
    member.zone = status.zone
    view.zone_last_heartbeat_at[status.zone] = now
    member.reported_address = status.address or member.reported_address
    member.status = merge_status(member.status, status)
    if status.team_loads is not None:
        member.team_loads = status.team_loads
        member.team_loads_at = now
    if not member.was_live:
        member.was_live = True
        changes.append(PeerBecameLive(member.name))


def merge_status(current, status):
    """Return the new status with the higher state number of both.

    The state number of one incarnation never decreases, but replies may arrive out
    of order.
    """
    if current is None or current.incarnation != status.incarnation:
        return status
    if status.state_number >= current.state_number:
        return status
    return dataclasses.replace(
        status, state_number=current.state_number, state_digest=current.state_digest
    )


@on_event.register
def _(event: HeartbeatFailed, view, now, changes):
    member = view.members.get(event.vm)
    if member is not None:
        member.heartbeat_failed_at = now


@on_event.register
def _(event: VmListRead, view, now, changes):
    if not event.entries:
        return
    marked_names = set()
    for entry in event.entries:
        if entry.name in event.upstreams:
            if entry.leaving:
                marked_names.add(entry.name)
            continue
        if entry.name == view.own_vm:
            continue
        member = view.get_or_add(entry.name, entry.availability_zone, now)
        if member is not None:
            member.listed_address = (entry.host, entry.peer_port)
            member.listed_as_leaving = entry.leaving
    clear_absent_addresses(view, {entry.name for entry in event.entries})
    update_leaving_upstreams(view, marked_names, event.upstreams, now)


def clear_absent_addresses(view, listed_names):
    """Clear the listed address of VMs that are absent from the VM list.

    The address stays usable as the reported one if the VM reported none.
    """
    for member in view.members.values():
        if member.name not in listed_names:
            member.reported_address = member.reported_address or member.listed_address
            member.listed_address = None


def update_leaving_upstreams(view, marked_names, upstreams, now):
    """Update the upstreams that are marked as leaving.

    A mark expires after `forget_ms` without a list that carries it: a stale copy
    of the list must not clear it.
    """
    for name in marked_names:
        view.leaving_marked_at[name] = now
    for name, marked_at in list(view.leaving_marked_at.items()):
        expired = now - marked_at >= view.settings.forget_ms / 1000
        if name not in upstreams or expired:
            del view.leaving_marked_at[name]


@on_event.register
def _(event: Tick, view, now, changes):
    for member in list(view.members.values()):
        if member.was_live and not view.is_live(member, now):
            member.was_live = False
            changes.append(PeerBecameSilent(member.name))
        if is_removable(view, member, now):
            del view.members[member.name]
            changes.append(MemberRemoved(member.name, member.address))


def is_removable(view, member, now):
    """Whether a VM has no configured or listed address and was silent too long."""
    if member.settings_address or member.listed_address:
        return False
    return member.silence_s(now) >= view.settings.forget_ms / 1000
