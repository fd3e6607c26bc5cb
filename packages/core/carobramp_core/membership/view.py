"""View that an entry VM has of the other entry VMs.

Explanation
===========

Candidates come from the settings, the platform's list and the heartbeats. Only
heartbeats make a VM live. The list adds candidates and marks VMs as leaving; it
removes nobody who is heard from.
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
"""Candidates kept at most; invented names must not fill the memory."""

FAR_TURNS = 8
"""Far heartbeats to one VM before the next one's turn: a connection to each VM of
each other zone would take 60 KB, 7 MB at 120 VMs."""

FAR_KNOWN_S = 600.0
"""Longest time since a VM of another zone was heard for it to count as live."""

SILENT_TURN = 4
"""Every fourth turn in a zone goes to a VM that did not answer, if there is one."""


@dataclasses.dataclass
class Member:
    """What is known of one other VM."""

    name: str
    zone: str
    settings_address: Address | None = None
    list_address: Address | None = None
    own_address: Address | None = None
    list_leaving: bool = False
    added_at: float = 0.0
    heard_at: float | None = None
    heartbeat_sent_at: float | None = None
    failed_at: float | None = None
    was_live: bool = False
    status: HeartbeatStatus | None = None
    loads: tuple[TeamLoad, ...] = ()
    loads_at: float = 0.0

    @property
    def address(self) -> Address | None:
        """Address for calls: the settings before the list before its own words."""
        return self.settings_address or self.list_address or self.own_address

    @property
    def leaving(self) -> bool:
        """Whether the list or the VM itself says that it is leaving."""
        return self.list_leaving or bool(self.status and self.status.leaving)

    @property
    def failed(self) -> bool:
        """Whether a heartbeat to it went unanswered since it was heard."""
        if self.failed_at is None:
            return False
        return self.heard_at is None or self.failed_at > self.heard_at

    def silent_for(self, now: float) -> float:
        """Return the time since it was heard, or since it became a candidate."""
        return now - (self.added_at if self.heard_at is None else self.heard_at)


@dataclasses.dataclass(frozen=True)
class Summary:
    """What is known of the live VMs together.

    `zone_peer_count` counts those of this zone without this one, `zone_team_loads`
    sums up this zone with this VM.
    """

    zone_peer_count: int
    zone_team_loads: tuple[TeamLoad, ...]
    live_vms: LiveVmsUpdated


class MembershipView:
    """Candidates and their liveness, owned by the membership task."""

    def __init__(self, vm, zone, settings: MembershipSettings, peers, now):
        self.own_vm = vm
        self.zone = zone
        self.settings = settings
        self.members: dict[str, Member] = {}
        self.marked_leaving: dict[str, float] = {}
        self.turns: dict[str, int] = {}
        self.remote_zone_contacts: dict[str, Member] = {}
        self.zone_heard_at: dict[str, float] = {}
        for peer in peers:
            if peer.name != vm:
                member = self.member(peer.name, peer.availability_zone, now)
                member.settings_address = (peer.host, peer.peer_port)

    def handle(self, event, now: float) -> list:
        """Take an event at time `now`; return what changed."""
        changes: list = []
        on_event(event, self, now, changes)
        return changes

    def member(self, name, zone, now):
        """Return the member with `name`, added when new; None when full."""
        member = self.members.get(name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS:
                return None
            member = self.members[name] = Member(name, zone, added_at=now)
        return member

    def is_live(self, member, now):
        """Whether a VM was heard from lately.

        A VM of another zone is heard from in its turn only. It counts as live for
        longer while its zone is heard from and it has not left a heartbeat without
        an answer.
        """
        heard = member.heard_at
        if heard is None:
            return False
        if member.zone == self.zone:
            return now - heard <= self.settings.live_ms / 1000
        window = self.settings.far_live_ms / 1000
        if now - heard <= window:
            return True
        zone_heard = now - self.zone_heard_at.get(member.zone, heard) <= window
        return zone_heard and not member.failed and now - heard <= FAR_KNOWN_S

    def live_peers(self, now: float) -> list[Member]:
        """Return the live VMs, without this one."""
        return [m for m in self.members.values() if self.is_live(m, now)]

    def zone_peers(self, now: float) -> list[Member]:
        """Return the live VMs of this zone, without this one."""
        return [m for m in self.live_peers(now) if m.zone == self.zone]

    def address_of(self, vm: str) -> Address | None:
        """Return the address for calls to a VM, or None when unknown."""
        member = self.members.get(vm)
        return member.address if member else None

    def ticket_notification_targets(self, now: float) -> list[Member]:
        """Return the live VMs of this zone and one live VM of each other zone."""
        live = [m for m in self.live_peers(now) if m.address]
        first = {m.zone: m for m in reversed(live) if m.zone != self.zone}
        return [m for m in live if m.zone == self.zone] + list(first.values())

    def local_heartbeat_targets(self, now: float) -> list[Member]:
        """Return the VMs of this zone that a heartbeat is due to.

        One exchange informs both sides, so a VM that was heard from within the
        last half interval gets none. A VM silent for long is asked less often.
        """
        near = [m for m in self.members.values() if m.zone == self.zone and m.address]
        return [m for m in near if self.is_due(m, now)]

    def is_due(self, member, now):
        """Whether a heartbeat to a VM of this zone is due."""
        half = self.settings.heartbeat_ms / 2000
        if member.heard_at is not None and now - member.heard_at < half:
            return False
        silent = member.silent_for(now) > self.settings.forget_ms / 1000
        if not silent or member.heartbeat_sent_at is None:
            return True
        return now - member.heartbeat_sent_at >= self.settings.far_heartbeat_ms / 1000

    def remote_heartbeat_targets(self, now: float) -> list[Member]:
        """Return one VM of each other zone, in turn."""
        zones: dict[str, list[Member]] = {}
        for member in self.members.values():
            if member.zone != self.zone and member.address:
                zones.setdefault(member.zone, []).append(member)
        return [self.in_turn(zone, found) for zone, found in zones.items()]

    def in_turn(self, zone, members):
        """Return the member of another zone whose turn it is.

        A VM that answers keeps its turn for `FAR_TURNS` heartbeats. Then the one
        tried longest ago is next; those that did not answer get every fourth turn, so
        that dead VMs do not delay news from the live ones.
        """
        turn = self.turns[zone] = self.turns.get(zone, 0) + 1
        present = self.remote_zone_contacts.get(zone)
        if turn % FAR_TURNS and present in members and self.answers(present):
            return present
        failed = [m for m in members if m.failed]
        others = [m for m in members if not m.failed]
        preferred = failed if turn // FAR_TURNS % SILENT_TURN == 0 else others
        chosen = min(preferred or members, key=last_tried)
        self.remote_zone_contacts[zone] = chosen
        return chosen

    def answers(self, member):
        """Whether a VM answered the last heartbeat to it."""
        heard, tried = member.heard_at, member.heartbeat_sent_at
        return heard is not None and tried is not None and heard >= tried

    def summarize_live_vms(self, own: tuple[TeamLoad, ...], now: float) -> "Summary":
        """Return what heartbeats to other zones and dispatch need to know.

        Parameters
        ==========

        own : loads of this VM
        now : present time
        """
        near = self.zone_peers(now)
        far = self.far_zones(now)
        zone_vms = 1 + len(near)
        all_vms = zone_vms + sum(count for _, count in far.values())
        near_loads = sum_loads(member.loads for member in near)
        far_loads = [member.loads for member, _ in far.values()]
        loads = sum_loads([near_loads, *far_loads])
        return Summary(
            zone_peer_count=len(near),
            zone_team_loads=sum_loads([own, near_loads]),
            live_vms=LiveVmsUpdated(zone_vms, all_vms, loads),
        )

    def far_zones(self, now):
        """Return for each other zone heard from its newest teller and VM count.

        A VM hears each VM of another zone too seldom to count them; the zone's own
        count and sum of loads come with each heartbeat from it.
        """
        live: dict[str, list[Member]] = {}
        for member in self.live_peers(now):
            if member.zone != self.zone:
                live.setdefault(member.zone, []).append(member)
        zones = {}
        for zone, members in live.items():
            teller = max(members, key=lambda m: m.loads_at)
            newest = max(members, key=lambda m: m.heard_at)
            zones[zone] = (teller, 1 + newest.status.zone_peer_count)
        return zones

    @property
    def leaving_upstreams(self) -> frozenset[str]:
        """Upstreams that the list marks as leaving."""
        return frozenset(self.marked_leaving)


def last_tried(member: Member):
    """Sort key of whose turn it is: never tried first, then tried longest ago."""
    return (
        member.heartbeat_sent_at is not None,
        member.heartbeat_sent_at or 0.0,
        member.name,
    )


def sum_loads(loads) -> tuple[TeamLoad, ...]:
    """Add up loads by team.

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
    """Take one event."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: HeartbeatReceived, view, now, changes):
    status = event.status
    if status.vm == view.own_vm:
        return
    member = view.member(status.vm, status.zone, now)
    if member is None:
        return
    member.heard_at = now
    member.zone = status.zone
    view.zone_heard_at[status.zone] = now
    member.own_address = status.address or member.own_address
    member.status = newest_status(member.status, status)
    if status.team_loads is not None:
        member.loads = status.team_loads
        member.loads_at = now
    if not member.was_live:
        member.was_live = True
        changes.append(PeerBecameLive(member.name))


def newest_status(present, status):
    """Return the status to keep; one process's number never falls.

    Replies may overtake each other, so that an older one arrives last.
    """
    if present is None or present.incarnation != status.incarnation:
        return status
    if status.state_number >= present.state_number:
        return status
    return dataclasses.replace(
        status, state_number=present.state_number, state_digest=present.state_digest
    )


@on_event.register
def _(event: HeartbeatFailed, view, now, changes):
    member = view.members.get(event.vm)
    if member is not None:
        member.failed_at = now


@on_event.register
def _(event: VmListRead, view, now, changes):
    if not event.entries:
        return
    marked = set()
    for entry in event.entries:
        if entry.name in event.upstreams:
            if entry.leaving:
                marked.add(entry.name)
            continue
        if entry.name == view.own_vm:
            continue
        member = view.member(entry.name, entry.availability_zone, now)
        if member is not None:
            member.list_address = (entry.host, entry.peer_port)
            member.list_leaving = entry.leaving
    note_absent(view, {entry.name for entry in event.entries})
    note_leaving(view, marked, event.upstreams, now)


def note_absent(view, named):
    """Drop the list's address of VMs that the list no longer names."""
    for member in view.members.values():
        if member.name not in named:
            member.own_address = member.own_address or member.list_address
            member.list_address = None


def note_leaving(view, marked, upstreams, now):
    """Keep a mark until the list has left it out for `forget_ms`.

    The list may lag: an older copy must not take a mark back.
    """
    for name in marked:
        view.marked_leaving[name] = now
    for name, seen_at in list(view.marked_leaving.items()):
        expired = now - seen_at >= view.settings.forget_ms / 1000
        if name not in upstreams or expired:
            del view.marked_leaving[name]


@on_event.register
def _(event: Tick, view, now, changes):
    for member in list(view.members.values()):
        if member.was_live and not view.is_live(member, now):
            member.was_live = False
            changes.append(PeerBecameSilent(member.name))
        if is_forgotten(view, member, now):
            del view.members[member.name]
            changes.append(MemberRemoved(member.name, member.address))


def is_forgotten(view, member, now):
    """Whether nothing but an old heartbeat speaks for the VM."""
    if member.settings_address or member.list_address:
        return False
    return member.silent_for(now) >= view.settings.forget_ms / 1000
