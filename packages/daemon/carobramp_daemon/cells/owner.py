"""Service that owns one cell: renews the leases of its upstreams and sends orders."""

import asyncio
import dataclasses
from typing import TypeGuard

from mode import Service

from carobramp_core.cells.claims import Deputy, choose_deputy, deputy_token
from carobramp_core.cells.lease_limits import LeaseLimits, report_limits
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import UpstreamLosses
from carobramp_core.cells.orders import (
    ClosedLink,
    CountEvent,
    EntriesPaused,
    EntryLinksClosed,
    EntryMessageReceived,
    Listing,
    LogEvent,
    NoAnswer,
    OwnerEffect,
    OwnerEvent,
    OwnershipLost,
    OwnerTick,
    PollAnswered,
    PollOrder,
    SendToAllEntries,
    SendToEntry,
    StartAnswered,
    StartOrder,
    StopAnswered,
    StopOrder,
    UpstreamsListed,
)
from carobramp_core.cells.owner import CellOwner
from carobramp_core.cells.ports import Link, UpstreamList, UpstreamOrders
from carobramp_core.platform import Unavailable
from carobramp_daemon.cells import frames
from carobramp_daemon.cells.clock import now
from carobramp_daemon.cells.links import FrameLink
from carobramp_daemon.cells.supervised_tasks import contain_errors, spawn

# The platform grants a draining upstream two seconds, and the owner must learn of the
# drain well within them; a read takes up to 0.1 s on a slow store.
LIST_INTERVAL_S = 0.4
# Pause between polls of an upstream that does not answer or rejects them; it is doubled
# each time up to the maximum.
POLL_RETRY_MIN_S = 0.05
POLL_RETRY_MAX_S = 0.5
# Time without an event, in ticks, after which this process counts as paused.
PAUSE_TICKS = 2


class OwnerService(Service):
    """Owns one cell until another daemon takes it over or this daemon stops.

    Parameters
    ==========

    owner : state machine that decides on events and returns effects
    orders : sends orders to upstreams
    upstream_list : reads the upstreams of all cells
    on_ownership_lost : called once with this service and the name of an upstream that
        has received a higher token
    """

    def __init__(
        self,
        owner: CellOwner,
        orders: UpstreamOrders,
        upstream_list: UpstreamList,
        on_ownership_lost,
        metrics,
        log,
    ):
        super().__init__()
        self.owner = owner
        self.orders = orders
        self.upstream_list = upstream_list
        self.on_ownership_lost = on_ownership_lost
        self.metrics = metrics
        self.event_log = log
        self.links: dict[str, Link] = {}
        self.deputy: Deputy | None = None
        # Highest token that this owner has granted to a deputy, at first its own.
        self.granted_token = owner.token
        # Lease limits as last sent to all entries.
        self.sent_limits = LeaseLimits(owner.token)
        # Links to and from the entry of this process.
        self.local_links: tuple = ()
        self.dispatched_at = now()
        self.poll_tasks: dict[str, asyncio.Task] = {}
        self.calls: set[asyncio.Task] = set()

    @property
    def limits(self) -> CellLimits:
        """Return the time limits of the cell."""
        return self.owner.limits

    def add_entry_link(self, entry, link):
        """Register a link and send the state of the cell over it."""
        self.links[entry] = link
        if is_remote(link):
            # Before the report that makes the peer count this owner as alive.
            link.send(report_limits(self.owner.lease_limits(), now()))
        link.send(self.owner.capacity_report(now()))
        link.send(self.owner.upstream_names())
        losses = self.owner.crash_records.all_losses()
        if losses:
            link.send(UpstreamLosses(losses))
        self.send_deputy(entry, link)

    def name_deputy(self, vms):
        """Name a deputy among the VMs that have an open link, if another is due.

        Without a link to any VM, or without a token left to grant, the deputy stays.
        """
        linked = {vm_of(e) for e, link in self.links.items() if is_remote(link)}
        candidates = {vm.vm: vm for vm in vms if vm.vm in linked}
        current = self.deputy.vm if self.deputy else None
        chosen = choose_deputy(self.owner.cell, candidates.values(), current)
        if chosen is None or self.owner.ownership_lost:
            return
        vm = candidates[chosen]
        if self.deputy and self.deputy.incarnation == vm.incarnation:
            return
        token = deputy_token(self.owner.token, self.granted_token)
        if token is None:
            return
        self.granted_token = token
        self.deputy = Deputy(vm.vm, vm.host, vm.link_port, vm.incarnation, token)
        self.event_log.info(
            "deputy named", cell=self.owner.cell, deputy=vm.vm, token=token
        )
        for entry, link in list(self.links.items()):
            self.send_deputy(entry, link)

    def send_deputy(self, entry, link):
        """Send the deputy to a remote entry; the deputy also receives the upstreams."""
        if self.deputy is None or not is_remote(link):
            return
        deputy = self.deputy
        if vm_of(entry) == deputy.vm:
            upstreams = tuple(u.record for u in self.owner.upstreams.values())
            deputy = dataclasses.replace(deputy, upstreams=upstreams)
        link.send(deputy)

    def remove_entry_link(self, entry):
        """Remove a closed link and report that to the owner."""
        link = self.links.pop(entry, None)
        if is_remote(link):
            self.dispatch(EntryLinksClosed((ClosedLink(entry, link.last_echo_at),)))

    def close_stale_links(self, paused_s):
        """Close all stale links in one event, so that no decision falls between."""
        stale = {
            entry: link
            for entry, link in self.links.items()
            if is_remote(link) and link.is_stale()
        }
        if not stale:
            return
        for entry, link in stale.items():
            del self.links[entry]
            link.close_if_stale()
        self.event_log.info(
            "links stale after a pause",
            cell=self.owner.cell,
            paused_s=paused_s,
            links=len(stale),
        )
        closed = (ClosedLink(name, link.last_echo_at) for name, link in stale.items())
        self.dispatch(EntryLinksClosed(tuple(closed)))

    def handle_message(self, entry, message):
        """Pass a message of an entry to the owner."""
        self.dispatch(EntryMessageReceived(entry, message))

    def dispatch(self, event: OwnerEvent):
        """Pass an event to the owner and carry out the effects that it returns.

        After a pause of this process stale links are closed first: their entries may
        have offered their tasks to other cells. After a long one the entry of this
        process ends its jobs, so that none of its tasks may start. A message of an
        entry without an open link is dropped, as nothing would end the runs that it
        leads to.
        """
        paused_s = now() - self.dispatched_at
        self.dispatched_at = now()
        if paused_s > PAUSE_TICKS * self.limits.tick_s:
            self.close_stale_links(paused_s)
        if self.limits.is_long_pause(paused_s):
            local = (name for name, link in self.links.items() if not is_remote(link))
            self.dispatch(EntriesPaused(tuple(local)))
        if isinstance(event, EntryMessageReceived) and event.entry not in self.links:
            self.event_log.info(
                "message of a disconnected entry dropped",
                cell=self.owner.cell,
                entry=event.entry,
                kind=type(event.message).__name__,
            )
            return
        effects = []
        with contain_errors(self, type(event).__name__):
            effects = self.owner.handle(event, now())
        for effect in effects:
            with contain_errors(self, type(effect).__name__):
                self.carry_out(effect)
        if isinstance(event, EntryLinksClosed):
            # This owner may be lost with the entries.
            self.send_changed_limits()

    def carry_out(self, effect: OwnerEffect):
        """Carry out one effect of the owner; calls run in tasks of their own."""
        if isinstance(effect, StartOrder):
            self.metrics.increment("task_starts", self.owner.cell)
            self.spawn(self.start_run(effect))
        elif isinstance(effect, StopOrder):
            self.spawn(self.stop_run(effect))
        elif isinstance(effect, PollOrder):
            self.spawn(self.poll_once(effect))
        elif isinstance(effect, SendToEntry):
            link = self.links.get(effect.entry)
            if link is not None:
                link.send(effect.message)
        elif isinstance(effect, SendToAllEntries):
            if isinstance(effect.message, UpstreamLosses):
                self.count_losses(effect.message)
            for link in list(self.links.values()):
                link.send(effect.message)
        elif isinstance(effect, LogEvent):
            self.event_log.info(effect.message, cell=self.owner.cell, **effect.fields)
        elif isinstance(effect, CountEvent):
            self.metrics.increment(effect.counter, effect.label, effect.amount)
        elif isinstance(effect, OwnershipLost):
            self.on_ownership_lost(self, effect.upstream)

    def count_losses(self, message: UpstreamLosses):
        """Count losses of upstreams."""
        for loss in message.losses:
            kind = loss.evidence.name.lower()
            self.metrics.increment("runs_lost_with_upstream", kind)

    def spawn(self, coroutine):
        """Run a call in a task that is cancelled when this service stops."""
        call = spawn(self, coroutine)
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)

    async def poll_once(self, order: PollOrder):
        """Poll an upstream, pass the outcome to the owner and return it."""
        sent_at = now()
        outcome = await self.orders.poll(order)
        # Counts every poll of the owner; the platform calls a poll a hold.
        self.metrics.increment("holds", type(outcome).__name__)
        self.dispatch(PollAnswered(order, outcome, sent_at))
        return outcome

    async def start_run(self, order: StartOrder):
        """Send a start order and pass the outcome to the owner."""
        sent_at = now()
        outcome = await self.orders.start_run(order)
        self.dispatch(StartAnswered(order, outcome, sent_at))

    async def stop_run(self, order: StopOrder):
        """Send a stop order and pass the outcome to the owner."""
        sent_at = now()
        outcome = await self.orders.stop_run(order)
        self.metrics.increment("task_stops", type(outcome).__name__)
        self.dispatch(StopAnswered(order, outcome, sent_at))

    def update_upstreams(self, upstreams):
        """Update the upstreams of the cell, poll new ones and tell the entries."""
        cell = self.owner.cell
        cell_upstreams = tuple(u for u in upstreams if u.availability_zone == cell)
        previous_names = self.owner.upstream_names()
        previous_records = [u.record for u in self.owner.upstreams.values()]
        self.dispatch(UpstreamsListed(cell_upstreams))
        self.start_poll_tasks()
        if self.owner.upstream_names() != previous_names:
            self.send_upstream_names()
        if [u.record for u in self.owner.upstreams.values()] != previous_records:
            self.send_upstreams_to_deputy()

    async def on_start(self):
        """Log that the cell is owned, with its fencing token."""
        self.event_log.info(
            "cell ownership started", cell=self.owner.cell, token=self.owner.token
        )

    async def on_stop(self):
        """Stop polling; runs continue until the next owner adopts them."""
        for task in [*self.poll_tasks.values(), *self.calls]:
            task.cancel()
        self.event_log.info("cell ownership ended", cell=self.owner.cell)

    @Service.task
    async def refresh_upstreams(self):
        """Read the list of upstreams at intervals; a failed read changes nothing."""
        while not self.should_stop:
            with contain_errors(self, "refresh_upstreams"):
                upstreams = await self.upstream_list.read_upstreams()
                if not isinstance(upstreams, Unavailable):
                    self.update_upstreams(upstreams)
            await self.sleep(LIST_INTERVAL_S)

    def send_upstreams_to_deputy(self):
        """Send the current upstreams to the deputy."""
        for entry, link in list(self.links.items()):
            if self.deputy and vm_of(entry) == self.deputy.vm:
                self.send_deputy(entry, link)

    def send_upstream_names(self):
        """Send the names of the upstreams of the cell to all entries."""
        for link in list(self.links.values()):
            link.send(self.owner.upstream_names())

    def start_poll_tasks(self):
        """Start a polling task for each upstream that has none."""
        for name in self.owner.upstreams:
            if name not in self.poll_tasks:
                self.poll_tasks[name] = spawn(self, self.poll_upstream(name))

    async def poll_upstream(self, name):
        """Poll one upstream until the owner returns no order for it."""
        pause = POLL_RETRY_MIN_S
        while not self.should_stop:
            order, outcome = None, None
            with contain_errors(self, "poll_upstream"):
                order = self.owner.next_poll(name, now())
                if order is None:
                    break
                outcome = await self.poll_once(order)
            if isinstance(outcome, Listing):
                pause = POLL_RETRY_MIN_S
            elif (
                order
                and isinstance(outcome, NoAnswer)
                and order.deadline_ms is not None
            ):
                continue
            else:
                await asyncio.sleep(pause)
                pause = min(POLL_RETRY_MAX_S, 2 * pause)
        self.poll_tasks.pop(name, None)

    @Service.task
    async def tick(self):
        """Send tick events to the owner, which drive its timeouts."""
        while not self.should_stop:
            await asyncio.sleep(self.limits.tick_s)
            self.dispatch(OwnerTick())

    @Service.task
    async def send_heartbeats(self):
        """Send capacity reports to all entries, which serve as heartbeats."""
        while not self.should_stop:
            await asyncio.sleep(self.limits.heartbeat_s)
            with contain_errors(self, "send_heartbeats"):
                self.send_changed_limits()
                self.send_capacity_report()

    def send_changed_limits(self):
        """Send the lease limits to all remote entries if they have changed."""
        limits = self.owner.lease_limits()
        if limits == self.sent_limits:
            return
        self.sent_limits = limits
        report = report_limits(limits, now())
        for link in list(self.links.values()):
            if is_remote(link):
                link.send(report)

    def send_capacity_report(self):
        """Send the present capacity report to all entries."""
        report = self.owner.capacity_report(now())
        data = frames.encode(report).SerializeToString()
        for link in list(self.links.values()):
            if is_remote(link):
                link.write_frame(data)
            else:
                link.send(report)


def is_remote(link) -> TypeGuard[FrameLink]:
    """Whether the peer of a link is another process."""
    return isinstance(link, FrameLink)


def vm_of(entry) -> str:
    """Return the VM of an entry, whose name is the VM alone or `vm/number`."""
    return entry.partition("/")[0]
