"""Tracks addresses and liveness of the other entry VMs by heartbeats."""

import asyncio
import functools
import random
import time
from typing import Any

from mode import Service

from carobramp_core.dispatch.messages import LeavingUpstreamsUpdated, TeamLoad
from carobramp_core.membership.messages import (
    HeartbeatFailed,
    HeartbeatReceived,
    HeartbeatStatus,
    MemberRemoved,
    PeerBecameLive,
    PeerBecameSilent,
    Tick,
    VmListRead,
)
from carobramp_core.membership.view import Member, MembershipView
from carobramp_core.platform import Unavailable
from carobramp_daemon.drain_state import DrainState
from carobramp_daemon.heartbeats import encode_team_loads, parse_status
from carobramp_daemon.peers import PeerUnreachable
from carobramp_schema import InvalidInput
from carobramp_schema.generated import peer_pb2
from carobramp_schema.generated.settings import Settings

TIMER_JITTER = 0.1
"""Relative variation of timers, so that VMs started together spread their calls."""

TEAM_LOAD_INTERVAL_S = 4.0
"""Time between two heartbeats to a VM that carry team loads.

The loads of 110 teams take about 500 bytes. In every heartbeat within a zone of 8 VMs
they would use 7 KB/s of the 11 KB/s that control may use.
"""

LIST_BYTES_PER_S = 2000
"""Average rate of reads of the VM list; a longer list is read less often."""

MEMBER_LIST_ENTRY_BYTES = 130
LIST_POLL_MAX_S = 60.0
MAX_CONCURRENT_QUERIES = 16
MAX_LIST_ENTRIES = 8192


class MembershipService(Service):
    """Exchanges heartbeats with other entry VMs and follows the platform's VM list.

    Parameters
    ==========

    settings : settings of the daemon
    drain_state : flags of the drain; `draining` is sent in heartbeats
    platform : client of the platform, for the VM list
    control_channels : channel pool for control calls to peers; not used for forwarded
        jobs, since the channel of a silent peer is closed
    dispatch : service that gets `LiveVmsUpdated` and `LeavingUpstreamsUpdated`
    incarnation : incarnation of this process
    rng : source of jitter
    metrics, log : metrics and log of the daemon
    """

    def __init__(
        self,
        settings: Settings,
        drain_state: DrainState,
        platform,
        control_channels,
        dispatch,
        incarnation,
        rng: random.Random,
        metrics,
        log,
    ):
        super().__init__()
        self.settings = settings
        self.drain_state = drain_state
        self.timing = settings.membership
        self.platform = platform
        self.control_channels = control_channels
        self.dispatch = dispatch
        self.incarnation = incarnation
        self.metrics = metrics
        self.event_log = log
        self.rng = rng
        self.view = MembershipView(
            settings.vm.name,
            settings.vm.availability_zone,
            self.timing,
            settings.peers,
            time.monotonic(),
        )
        self.tickets: Any = None
        self.read_team_loads = list
        self.peer_port = lambda: settings.vm.peer_port
        self.team_loads_sent_at: dict[str, float] = {}
        self.in_flight: set[str] = set()
        self.zone_peer_count = 0
        self.zone_team_loads: tuple[TeamLoad, ...] = ()
        self.team_names_state: Any = None
        self.cached_team_names: tuple[str, ...] = ()
        self.last_live_vms = None
        self.last_leaving_upstreams: frozenset[str] = frozenset()

    def address_of(self, vm):
        """Return the (host, port) of a VM for peer calls, or None if unknown."""
        return self.view.address_of(vm)

    def live_peers(self, now):
        """Return the live members, without this VM."""
        return self.view.live_peers(now)

    @Service.task
    async def send_local_heartbeats(self):
        """Send heartbeats within the availability zone, and update the summary."""
        while not self.should_stop:
            self.start_exchanges(self.view.local_heartbeat_targets(time.monotonic()))
            self.refresh_summary()
            await self.pause(self.timing.heartbeat_ms / 1000)

    @Service.task
    async def send_remote_heartbeats(self):
        """Send heartbeats to one VM of each other availability zone."""
        while not self.should_stop:
            previous_contacts = list(self.view.remote_zone_contacts.values())
            targets = self.view.remote_heartbeat_targets(time.monotonic())
            self.retire_unused_channels(previous_contacts, targets)
            self.start_exchanges(targets)
            await self.pause(self.remote_heartbeat_interval_s())

    def retire_unused_channels(self, previous_contacts, targets):
        """Retire the channels to VMs that are no longer the contact of their zone."""
        for member in previous_contacts:
            if member not in targets and member.address is not None:
                self.control_channels.retire_channel(member.address)

    def remote_heartbeat_interval_s(self):
        """Return the time to the next heartbeats to other zones, in seconds.

        It is as short as within the zone until a VM of another zone is live.
        """
        live = self.view.live_peers(time.monotonic())
        has_live_remote_peer = any(member.zone != self.view.zone for member in live)
        ms = (
            self.timing.far_heartbeat_ms
            if has_live_remote_peer
            else self.timing.heartbeat_ms
        )
        return ms / 1000

    @Service.task
    async def read_list(self):
        """Read the platform's VM list at intervals."""
        while not self.should_stop:
            entries = await self.platform.list_vms("members")
            usable = not isinstance(entries, Unavailable)
            if usable and len(entries) <= MAX_LIST_ENTRIES:
                upstreams = frozenset(self.tickets.current_state.upstreams)
                self.handle_event(VmListRead(entries, upstreams))
            size = MEMBER_LIST_ENTRY_BYTES * len(entries) if usable else 0
            await self.pause(
                member_list_poll_interval_s(self.timing.list_poll_ms / 1000, size)
            )

    async def pause(self, seconds):
        """Wait for `seconds`, varied by `TIMER_JITTER`."""
        await self.sleep(seconds * self.rng.uniform(1 - TIMER_JITTER, 1 + TIMER_JITTER))

    def start_exchanges(self, members):
        """Start a heartbeat to each member that has none in flight."""
        for member in members:
            if member.name not in self.in_flight:
                self.in_flight.add(member.name)
                self.add_future(self.exchange_in_background(member))

    async def exchange_in_background(self, member):
        """Send a heartbeat and remove the VM from those with one in flight."""
        try:
            await self.exchange_heartbeat(member)
        finally:
            self.in_flight.discard(member.name)

    async def exchange_heartbeat(self, member: Member) -> HeartbeatStatus | None:
        """Send one heartbeat; return the status in the reply, or None."""
        now = time.monotonic()
        member.heartbeat_sent_at = now
        address = member.address
        if address is None:
            return None
        reply = await self.control_channels.call(
            address,
            "Heartbeat",
            self.own_status(member.name, member.zone, now),
            self.timing.call_timeout_ms / 1000,
        )
        if isinstance(reply, PeerUnreachable):
            self.handle_event(HeartbeatFailed(member.name))
            self.close_channel_if_silent(member, address)
            return None
        return self.receive_status(reply)

    def close_channel_if_silent(self, member, address):
        """Close the channel to a VM that is no longer live.

        After a partition, TCP may wait for minutes before it retransmits on the old
        connection; a new connection works as soon as the partition ends.
        """
        if not self.view.is_live(member, time.monotonic()):
            self.control_channels.close_channel(address)

    async def query_members(self) -> dict[str, HeartbeatStatus | None]:
        """Return the status of each known VM, or None for one that does not answer."""
        query_slots = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def ask(member):
            async with query_slots:
                return await self.exchange_heartbeat(member)

        members = list(self.view.members.values())
        statuses = await asyncio.gather(*(ask(member) for member in members))
        return {m.name: s for m, s in zip(members, statuses, strict=True)}

    async def notify_ticket(self, number):
        """Notify live VMs of a new ticket number, without a retry."""
        request = peer_pb2.NotifyTicketRequest(vm=self.view.own_vm, number=number)
        timeout = self.timing.call_timeout_ms / 1000
        targets = self.view.ticket_notification_targets(time.monotonic())
        calls = (
            self.control_channels.call(member.address, "NotifyTicket", request, timeout)
            for member in targets
        )
        await asyncio.gather(*calls)

    async def on_heartbeat(self, message):
        """Process the heartbeat of another VM and return the one of this VM."""
        self.receive_status(message)
        member = message.vm, message.availability_zone
        return self.own_status(*member, time.monotonic(), is_reply=True)

    def receive_status(self, message) -> HeartbeatStatus | None:
        """Process the status of another VM and return it; None if it is not valid."""
        status = parse_status(message, self.tickets.digest, self.team_names())
        if isinstance(status, InvalidInput):
            self.event_log.info("invalid heartbeat dropped", detail=str(status))
            return None
        self.handle_event(HeartbeatReceived(status))
        if status.vm != self.view.own_vm:
            self.tickets.on_peer_status(status, same_zone=status.zone == self.view.zone)
        return status

    def team_names(self):
        """Return the sorted names of the teams in force, cached for each state."""
        state = self.tickets.current_state
        if state is not self.team_names_state:
            self.team_names_state = state
            self.cached_team_names = tuple(sorted(state.teams))
        return self.cached_team_names

    def own_status(self, vm, zone, now, is_reply=False):
        """Return the heartbeat message of this VM for the VM `vm` of `zone`."""
        own_vm = self.settings.vm
        state = self.tickets.current_state
        status = peer_pb2.PeerStatus(
            vm=own_vm.name,
            availability_zone=own_vm.availability_zone,
            incarnation=self.incarnation,
            host=own_vm.host,
            peer_port=self.peer_port(),
            leaving=self.drain_state.draining,
            state_number=state.number,
            state_digest=self.tickets.digest,
            heard_number=self.tickets.highest_known_number,
            live_peers=self.zone_peer_count,
        )
        if self.should_send_team_loads(vm, zone, now, is_reply):
            status.with_loads = True
            loads = (
                self.own_team_loads()
                if zone == self.view.zone
                else self.zone_team_loads
            )
            status.team_loads.extend(encode_team_loads(loads, self.team_names()))
        return status

    def should_send_team_loads(self, vm, zone, now, is_reply):
        """Whether a heartbeat to a VM carries team loads; if so, records its time.

        Another zone gets them only in replies. Each VM sends a heartbeat to one VM of
        each other zone every 4 s and would otherwise get the same sum twice.
        """
        if zone != self.view.zone:
            return is_reply
        if (
            now - self.team_loads_sent_at.get(vm, -TEAM_LOAD_INTERVAL_S)
            < TEAM_LOAD_INTERVAL_S
        ):
            return False
        if vm in self.view.members:
            self.team_loads_sent_at[vm] = now
        return True

    def own_team_loads(self):
        """Return the team loads of this VM alone."""
        return tuple(TeamLoad(*load) for load in self.read_team_loads())

    def handle_event(self, event):
        """Pass an event to the view and carry out the changes that it reports."""
        for change in self.view.handle(event, time.monotonic()):
            report_change(change, self)

    def refresh_summary(self):
        """Update the zone's summary for heartbeats and send changes to dispatch."""
        self.handle_event(Tick())
        now = time.monotonic()
        self.metrics.set_gauge("live_peers", len(self.view.live_peers(now)))
        summary = self.view.summarize_live_vms(self.own_team_loads(), now)
        self.zone_peer_count = summary.zone_peer_count
        self.zone_team_loads = summary.zone_team_loads
        live_vms = summary.live_vms
        if live_vms != self.last_live_vms:
            self.last_live_vms = live_vms
            self.dispatch.send(live_vms)
        leaving = self.view.leaving_upstreams
        if leaving != self.last_leaving_upstreams:
            self.last_leaving_upstreams = leaving
            self.dispatch.send(LeavingUpstreamsUpdated(leaving))


def member_list_poll_interval_s(poll, size):
    """Return the time until the next read of the VM list, in seconds.

    `poll` is the configured interval and `size` the size of the list in bytes.

    Examples
    ========

    >>> member_list_poll_interval_s(5.0, 8 * 130)
    5.0
    >>> member_list_poll_interval_s(5.0, 120 * 130)
    7.8
    """
    return min(max(poll, size / LIST_BYTES_PER_S), max(poll, LIST_POLL_MAX_S))


@functools.singledispatch
def report_change(change, service):
    """Log a change of the view, and release what is kept for a removed VM."""
    raise TypeError(f"unknown change {change!r}")


@report_change.register
def _(change: PeerBecameLive, service):
    service.event_log.info("peer is live", peer=change.vm)


@report_change.register
def _(change: PeerBecameSilent, service):
    service.event_log.info("peer is silent", peer=change.vm)


@report_change.register
def _(change: MemberRemoved, service):
    service.event_log.info("peer removed", peer=change.vm)
    service.team_loads_sent_at.pop(change.vm, None)
    service.tickets.on_peer_removed(change.vm)
    if change.address is not None:
        service.control_channels.close_channel(change.address)
