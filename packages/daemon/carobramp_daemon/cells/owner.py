"""Service that owns one cell: holds its upstreams and carries out the orders."""

import asyncio
import dataclasses
from typing import TypeGuard

from mode import Service

from carobramp_core.cells.claims import Deputy, choose_deputy, deputy_token
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.orders import (
    EntryLinkClosed,
    EntryMessageReceived,
    Listing,
    LogEvent,
    NoAnswer,
    OwnerEvent,
    OwnershipLost,
    OwnerTick,
    PollAnswered,
    PollOrder,
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
from carobramp_daemon.cells.tasks import spawn

# A draining upstream must be known well within the two seconds that the platform
# grants; a read takes up to 0.1 s on a slow store.
LIST_INTERVAL_S = 0.4
# Pause between holds of an upstream that does not answer, doubled up to the second.
RETRY_HOLD_MIN_S = 0.05
RETRY_HOLD_MAX_S = 0.5


class OwnerService(Service):
    """Owns one cell until another daemon does or the daemon stops.

    Parameters
    ==========

    owner : decisions of the cell
    orders : sends orders to upstreams
    upstream_list : lists the upstreams of all cells
    on_deposed : called once when an upstream has seen a higher token
    """

    def __init__(
        self,
        owner: CellOwner,
        orders: UpstreamOrders,
        upstream_list: UpstreamList,
        on_deposed,
        metrics,
        log,
    ):
        super().__init__()
        self.owner = owner
        self.orders = orders
        self.upstream_list = upstream_list
        self.on_deposed = on_deposed
        self.metrics = metrics
        self.event_log = log
        self.links: dict[str, Link] = {}
        self.deputy: Deputy | None = None
        # Newest token that this owner has given to a deputy, or its own.
        self.given_token = owner.token
        # Both directions of the link to the entry of this process.
        self.local_links: tuple = ()
        self.holders: dict[str, asyncio.Task] = {}
        self.calls: set[asyncio.Task] = set()

    @property
    def limits(self) -> CellLimits:
        """Return the limits of the cell."""
        return self.owner.limits

    def connect(self, entry, link):
        """Register the link to an entry; `link.send` takes messages."""
        self.links[entry] = link
        link.send(self.owner.capacity_report(now()))
        link.send(self.owner.upstream_names())
        self.send_deputy(entry, link)

    def name_deputy(self, vms):
        """Name a deputy among the daemons with a live link, if that has changed."""
        linked = {vm_of(e) for e, link in self.links.items() if is_remote(link)}
        candidates = {vm.vm: vm for vm in vms if vm.vm in linked}
        present = self.deputy.vm if self.deputy else None
        chosen = choose_deputy(self.owner.cell, candidates.values(), present)
        if chosen is None or self.owner.ownership_lost:
            return
        vm = candidates[chosen]
        if self.deputy and self.deputy.incarnation == vm.incarnation:
            return
        token = deputy_token(self.owner.token, self.given_token)
        if token is None:
            return
        self.given_token = token
        self.deputy = Deputy(vm.vm, vm.host, vm.link_port, vm.incarnation, token)
        self.event_log.info(
            "names a deputy", cell=self.owner.cell, deputy=vm.vm, token=token
        )
        for entry, link in list(self.links.items()):
            self.send_deputy(entry, link)

    def send_deputy(self, entry, link):
        """Tell an entry who the deputy is, and the deputy which upstreams there are."""
        if self.deputy is None or not is_remote(link):
            return
        deputy = self.deputy
        if vm_of(entry) == deputy.vm:
            listed = tuple(u.record for u in self.owner.upstreams.values())
            deputy = dataclasses.replace(deputy, upstreams=listed)
        link.send(deputy)

    def disconnect(self, entry):
        """Forget a link that is closed."""
        if self.links.pop(entry, None) is not None:
            self.dispatch(EntryLinkClosed(entry))

    def handle_message(self, entry, message):
        """Take a message of an entry."""
        self.dispatch(EntryMessageReceived(entry, message))

    def dispatch(self, event: OwnerEvent):
        """Let the owner decide on an event and carry out its effects."""
        for effect in self.owner.handle(event, now()):
            if isinstance(effect, StartOrder):
                self.metrics.increment("task_starts", self.owner.cell)
                self.spawn(self.start_run(effect))
            elif isinstance(effect, StopOrder):
                self.spawn(self.stop_run(effect))
            elif isinstance(effect, PollOrder):
                self.spawn(self.hold_once(effect))
            elif isinstance(effect, SendToEntry):
                link = self.links.get(effect.entry)
                if link is not None:
                    link.send(effect.message)
            elif isinstance(effect, LogEvent):
                self.event_log.info(
                    effect.message, cell=self.owner.cell, **effect.fields
                )
            elif isinstance(effect, OwnershipLost):
                self.on_deposed(self, effect.upstream)

    def spawn(self, coroutine):
        """Run a call beside the others."""
        call = spawn(self, coroutine)
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)

    async def hold_once(self, order: PollOrder):
        """Send a hold order."""
        sent_at = now()
        outcome = await self.orders.poll(order)
        self.metrics.increment("holds", type(outcome).__name__)
        self.dispatch(PollAnswered(order, outcome, sent_at))
        return outcome

    async def start_run(self, order: StartOrder):
        """Send a start order."""
        sent_at = now()
        outcome = await self.orders.start_run(order)
        self.dispatch(StartAnswered(order, outcome, sent_at))

    async def stop_run(self, order: StopOrder):
        """Send a stop order."""
        sent_at = now()
        outcome = await self.orders.stop_run(order)
        self.metrics.increment("task_stops", type(outcome).__name__)
        self.dispatch(StopAnswered(order, outcome, sent_at))

    def list_upstreams(self, upstreams):
        """Take the list of upstreams, and hold the new ones."""
        cell = self.owner.cell
        own = tuple(u for u in upstreams if u.availability_zone == cell)
        known = self.owner.upstream_names()
        former = [u.record for u in self.owner.upstreams.values()]
        self.dispatch(UpstreamsListed(own))
        self.start_holders()
        if self.owner.upstream_names() != known:
            self.send_members()
        if [u.record for u in self.owner.upstreams.values()] != former:
            self.update_deputy()

    async def on_start(self):
        """Tell that the cell is owned."""
        self.event_log.info("owns", cell=self.owner.cell, token=self.owner.token)

    async def on_stop(self):
        """Stop holding; runs go on until the next owner adopts them."""
        for task in [*self.holders.values(), *self.calls]:
            task.cancel()
        self.event_log.info("stops owning", cell=self.owner.cell)

    @Service.task
    async def follow_list(self):
        """Read the list of upstreams again and again."""
        while not self.should_stop:
            listed = await self.upstream_list.read_upstreams()
            if not isinstance(listed, Unavailable):
                self.list_upstreams(listed)
            await self.sleep(LIST_INTERVAL_S)

    def update_deputy(self):
        """Tell the deputy which upstreams there are now."""
        for entry, link in list(self.links.items()):
            if self.deputy and vm_of(entry) == self.deputy.vm:
                self.send_deputy(entry, link)

    def send_members(self):
        """Tell the entries which upstreams the cell has."""
        for link in list(self.links.values()):
            link.send(self.owner.upstream_names())

    def start_holders(self):
        """Start a task for each upstream that has none."""
        for name in self.owner.upstreams:
            if name not in self.holders:
                self.holders[name] = spawn(self, self.hold_upstream(name))

    async def hold_upstream(self, name):
        """Hold one upstream until it is gone."""
        pause = RETRY_HOLD_MIN_S
        while not self.should_stop:
            order = self.owner.next_poll(name, now())
            if order is None:
                break
            outcome = await self.hold_once(order)
            if isinstance(outcome, Listing):
                pause = RETRY_HOLD_MIN_S
            elif isinstance(outcome, NoAnswer) and order.deadline_ms is not None:
                continue
            else:
                await asyncio.sleep(pause)
                pause = min(RETRY_HOLD_MAX_S, 2 * pause)
        self.holders.pop(name, None)

    @Service.task
    async def tick(self):
        """Let time pass."""
        while not self.should_stop:
            await asyncio.sleep(self.limits.tick_s)
            self.dispatch(OwnerTick())

    @Service.task
    async def send_heartbeats(self):
        """Send heartbeats with the state of the cell."""
        while not self.should_stop:
            await asyncio.sleep(self.limits.heartbeat_s)
            room = self.owner.capacity_report(now())
            data = frames.encode(room).SerializeToString()
            for link in list(self.links.values()):
                if is_remote(link):
                    link.write_frame(data)
                else:
                    link.send(room)


def is_remote(link) -> TypeGuard[FrameLink]:
    """Whether a link leads to another process."""
    return isinstance(link, FrameLink)


def vm_of(entry) -> str:
    """Return the VM of an entry from the name of its link."""
    return entry.partition("/")[0]
