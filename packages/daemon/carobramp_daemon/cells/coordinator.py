"""Service that finds and links the owners of cells, and takes cells over."""

import asyncio
import contextlib
import dataclasses

from grpclib.server import Server
from mode import Service

from carobramp_core.cells.claims import (
    RECLAIM_MIN_UPTIME_S,
    TOKEN_BLOCK,
    ClaimView,
    Deputy,
    claim_delay_s,
    claim_token,
    should_claim,
    should_reclaim,
)
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.owner import CellOwner
from carobramp_core.cells.ports import CoordinationTable, UpstreamList, UpstreamOrders
from carobramp_core.platform import Committed, Unavailable
from carobramp_daemon.cells.calls import CellCalls
from carobramp_daemon.cells.clock import now
from carobramp_daemon.cells.entry import EntryService
from carobramp_daemon.cells.links import EntryLinks, LocalLink, RemoteLink
from carobramp_daemon.cells.owner import OwnerService
from carobramp_daemon.cells.questions import Questions
from carobramp_daemon.cells.rows import CellRow, CoordinationRows, VmRow
from carobramp_daemon.cells.tasks import spawn

# An owner with less than this part of a candidate's cores gives its cell to it.
OWNER_SIZE_PART = 0.6
RETRY_S = 0.1
# An entry sees the row of a new owner some ms before the owner knows of its success.
FAST_RETRY_S = 0.02
FAST_RETRIES = 5
ANNOUNCE_RETRY_S = 0.5
# Time between looks at whether an owner's deputy is still linked.
DEPUTY_CHECK_S = 0.2
# While an owner is silent, one of so many attempts to link goes to it and the others to
# its deputy, which answers at once.
OWNER_TRY_EVERY = 4


@dataclasses.dataclass
class CellState:
    """What this daemon knows of a cell.

    Parameters
    ==========

    silent_since : time since which no owner is heard; None while one is
    link : link to a remote owner, while one is open
    listed : upstreams as last listed, with which a takeover begins at once
    deputy : deputy that the last owner has named
    """

    name: str
    silent_since: float | None
    link: RemoteLink | None = None
    listed: tuple = ()
    deputy: Deputy | None = None


class CellCoordinator(Service):
    """Keeps a link to the owner of each cell, and takes over cells without one."""

    def __init__(
        self,
        me: VmRow,
        zones,
        table: CoordinationTable,
        upstream_list: UpstreamList,
        orders: UpstreamOrders,
        entry_service: EntryService,
        limits: CellLimits,
        metrics,
        create_log,
    ):
        super().__init__()
        self.me = me
        self.table = table
        self.rows = CoordinationRows(table, me, metrics, create_log("fleet"))
        self.upstream_list = upstream_list
        self.orders = orders
        self.questions = Questions(me, orders)
        self.entry_service = entry_service
        self.limits = limits
        self.metrics = metrics
        self.create_log = create_log
        self.event_log = create_log("fleet")
        self.draining = False
        self.started_at = now()
        self.cells = {zone: CellState(zone, self.started_at) for zone in zones}
        self.owned: dict[str, OwnerService] = {}
        self.server = Server([CellCalls(self)])
        self.entry_links = EntryLinks(self.owned, limits)

    async def on_start(self):
        """Listen for calls of other daemons and for entries."""
        await self.server.start(self.me.host, self.me.port)
        await self.entry_links.start(self.me.host, self.me.link_port)

    async def on_stop(self):
        """Stop listening."""
        self.server.close()
        self.entry_links.stop()

    @Service.task
    async def announce(self):
        """Write the row of this daemon."""
        while not self.should_stop:
            result = await self.rows.announce()
            if isinstance(result, Committed):
                return
            self.event_log.info("announcement failed", result=repr(result))
            await self.sleep(ANNOUNCE_RETRY_S)

    # Links

    @Service.task
    async def keep_links(self):
        """Keep one link for each cell."""
        keepers = [self.keep_link(state) for state in self.cells.values()]
        await asyncio.gather(*keepers)

    async def keep_link(self, state: CellState):
        """Link the owner of a cell, or take its place."""
        token, tries = 0, 0
        while not self.should_stop:
            if state.name in self.owned:
                await asyncio.sleep(RETRY_S)
                continue
            row, _ = self.rows.cell(state.name)
            if row is not None and row.token != token:
                token, tries = row.token, 0
            target = self.link_target(state, row, tries)
            if target is not None and target.vm != self.me.vm:
                link = RemoteLink(
                    state.name,
                    self.me.vm,
                    (target.host, target.link_port),
                    self.entry_service,
                    self.limits,
                    lambda deputy: self.take_deputy(state, deputy),
                )
                await self.run_link(state, link, target)
            await self.consider(state)
            tries += 1
            await self.pause(FAST_RETRY_S if tries <= FAST_RETRIES else RETRY_S)

    async def pause(self, seconds=RETRY_S):
        """Wait a moment, or until a row changes."""
        try:
            async with asyncio.timeout(seconds):
                await self.table.wait_for_change()
        except TimeoutError:
            return

    def link_target(self, state: CellState, row: CellRow | None, tries):
        """Return where the owner of a cell is looked for: at its row or its deputy."""
        if state.silent_since is None or not tries % OWNER_TRY_EVERY:
            return row
        return self.valid_deputy(state) or row

    def valid_deputy(self, state: CellState) -> Deputy | None:
        """Return the deputy of a cell, unless the cell was claimed since."""
        row, _ = self.rows.cell(state.name)
        if state.deputy is None or row is None:
            return None
        same = state.deputy.token // TOKEN_BLOCK == row.token // TOKEN_BLOCK
        return state.deputy if same else None

    def is_deputy(self, state: CellState) -> bool:
        """Whether this process may take a cell over without the store."""
        deputy = self.valid_deputy(state)
        return deputy is not None and deputy.incarnation == self.me.incarnation

    def take_deputy(self, state: CellState, deputy: Deputy):
        """Note whom the owner of a cell has named as its deputy."""
        state.deputy = deputy
        if deputy.incarnation == self.me.incarnation:
            state.listed = deputy.upstreams
            self.event_log.info(
                "is deputy",
                cell=state.name,
                token=deputy.token,
                upstreams=len(deputy.upstreams),
            )

    async def run_link(
        self, state: CellState, link: RemoteLink, target: CellRow | Deputy
    ):
        """Serve a link while its owner owns the cell."""
        state.link = link
        serving = asyncio.create_task(link.run())
        try:
            while not serving.done():
                waiting = asyncio.create_task(self.pause())
                await asyncio.wait(
                    [serving, waiting], return_when=asyncio.FIRST_COMPLETED
                )
                waiting.cancel()
                heard = link.cell in self.entry_service.links
                if heard:
                    state.silent_since = None
                present, _ = self.rows.cell(state.name)
                if present is not None and present.token > target.token:
                    break
                if heard and self.should_return(state, target):
                    await self.consider(state)
        finally:
            if state.silent_since is None:
                state.silent_since = now() if serving.done() else link.last_received_at
            serving.cancel()
            reason = "another owner"
            with contextlib.suppress(asyncio.CancelledError):
                reason = await serving
            state.link = None
            if link.found:
                self.event_log.info(
                    "link closed", cell=state.name, owner=target.vm, reason=reason
                )

    def fits(self, row: CellRow, cell):
        """Whether a cell's owner is in its zone and not much smaller than this VM."""
        return (
            row.availability_zone == cell
            and row.cores >= OWNER_SIZE_PART * self.me.cores
        )

    def should_return(self, state: CellState, target: CellRow | Deputy):
        """Whether this daemon is of the cell's zone and should own it instead.

        A deputy without a row of its own claims the cell first.
        """
        if isinstance(target, Deputy) or self.up_s() < RECLAIM_MIN_UPTIME_S:
            return False
        own = self.me.availability_zone == state.name
        return own and not self.fits(target, state.name)

    def up_s(self):
        """Return the time since the start of this daemon."""
        return now() - self.started_at

    # Claims

    async def consider(self, state: CellState):
        """Ask others about the owner of a cell and take it over if it is gone."""
        if self.draining or state.name in self.owned or not self.table.is_loaded():
            return
        row, version = self.rows.cell(state.name)
        heard = state.silent_since is None
        silent_s = 0.0 if heard else now() - (state.silent_since or 0.0)
        view = ClaimView(
            had_owner=row is not None,
            owner_silence_s=silent_s,
            same_zone=self.me.availability_zone == state.name,
            owner_suitable=row is not None and self.fits(row, state.name),
            rank=0,
            peers_answered=0,
            peers_hearing_owner=0,
            uptime_s=self.up_s(),
        )
        if not heard and silent_s < claim_delay_s(view):
            return
        view, reached = await asyncio.gather(
            self.questions.survey(state.name, row, self.rows.vms().values(), view),
            self.reaches(state),
        )
        wanted = should_reclaim(view) if heard else should_claim(view)
        if not wanted:
            return
        if row is not None and not reached:
            self.metrics.increment("claims_dropped", "unreachable")
            return
        if (
            row is not None
            and not heard
            and await self.questions.owner_answers(state.name, row)
        ):
            self.metrics.increment("claims_dropped", "owner_answers")
            return
        self.event_log.info(
            "takes over",
            cell=state.name,
            silent_s=round(silent_s, 3),
            witnesses=view.peers_answered,
            rank=view.rank,
        )
        await self.claim(state, row, version)

    async def reaches(self, state: CellState) -> bool:
        """Whether an upstream of a cell answers this daemon.

        A deputy knows the upstreams of the owner, and asks no store for them.
        """
        if not self.is_deputy(state):
            listed = await self.upstream_list.read_upstreams()
            if isinstance(listed, Unavailable):
                return False
            state.listed = listed
        return await self.questions.reaches(state.name, state.listed)

    async def claim(self, state: CellState, row: CellRow | None, version) -> bool:
        """Make this daemon the owner of a cell if nobody else has become it."""
        token = claim_token(row.token if row else 0)
        result = await self.write_claim(state, token, version)
        if isinstance(result, Committed):
            self.own(state, token, taken_over=row is not None)
            return True
        self.event_log.info("claim failed", cell=state.name, result=repr(result))
        if not isinstance(result, Unavailable) or not self.is_deputy(state):
            return False
        assert state.deputy is not None
        self.event_log.info(
            "takes over as deputy", cell=state.name, token=state.deputy.token
        )
        self.own(state, state.deputy.token, taken_over=True)
        return True

    async def write_claim(self, state: CellState, token, version):
        """Write the row of a cell with this daemon as its owner.

        A deputy does not wait for a store that has just failed.
        """
        if not self.table.is_reachable() and self.is_deputy(state):
            return Unavailable("the store was lost before", False)
        return await self.rows.claim(state.name, token, version)

    def own(self, state: CellState, token, taken_over):
        """Start to own a cell."""
        owner = CellOwner(state.name, token, self.limits, now(), taken_over)
        service = OwnerService(
            owner,
            self.orders,
            self.upstream_list,
            self.deposed,
            self.metrics,
            self.create_log("owner"),
        )
        self.owned[state.name] = service
        state.silent_since = None
        state.deputy = None
        self.metrics.increment("takeovers", state.name)
        to_owner = LocalLink(lambda m: service.handle_message(self.me.vm, m))
        to_entry = LocalLink(
            lambda m: self.entry_service.handle_message(state.name, to_owner, m)
        )
        service.local_links = (to_entry, to_owner)
        if state.listed:
            service.list_upstreams(state.listed)
        spawn(self, self.run_owner(service, to_entry, to_owner))

    async def run_owner(self, service: OwnerService, to_entry, to_owner):
        """Start an owner and link the entry of this process to it."""
        await self.add_runtime_dependency(service)
        service.connect(self.me.vm, to_entry)
        cell, token = service.owner.cell, service.owner.token
        if self.owned.get(cell) is service:
            self.entry_service.owner_link_opened(cell, token, to_owner)

    def deposed(self, service: OwnerService, upstream):
        """Another daemon owns the cell of a service."""
        cell = service.owner.cell
        self.event_log.info(
            "deposed", cell=cell, token=service.owner.token, upstream=upstream
        )
        self.disown(service)

    def disown(self, service: OwnerService):
        """Stop to own a cell; its entries look for the next owner."""
        cell = service.owner.cell
        if self.owned.get(cell) is not service:
            return
        del self.owned[cell]
        self.cells[cell].silent_since = now()
        self.cells[cell].deputy = service.deputy
        service.owner.ownership_lost = True
        for link in service.local_links:
            link.open = False
        self.entry_service.owner_link_closed(cell, service.local_links[1], now())
        spawn(self, self.stop_owner(service))

    async def stop_owner(self, service: OwnerService):
        """Stop an owner and forget it."""
        await service.stop()
        await self.remove_dependency(service)

    @Service.task
    async def check_links(self):
        """Close links of entries that are silent."""
        while not self.should_stop:
            await asyncio.sleep(self.limits.heartbeat_s)
            self.entry_links.check()

    @Service.task
    async def watch_rows(self):
        """Give up cells whose row names another owner."""
        while not self.should_stop:
            await self.pause()
            for cell, service in list(self.owned.items()):
                row, _ = self.rows.cell(cell)
                if row is not None and row.token > service.owner.token:
                    self.event_log.info("superseded", cell=cell, owner=row.vm)
                    self.disown(service)
                elif row is not None and row.token < service.owner.token:
                    await self.claim_as_deputy(service)

    async def claim_as_deputy(self, service: OwnerService):
        """Claim a cell that was taken over without the store, once it answers."""
        cell = service.owner.cell
        if not self.table.is_reachable() or self.draining:
            return
        row, version = self.rows.cell(cell)
        token = claim_token(row.token if row else 0)
        result = await self.write_claim(self.cells[cell], token, version)
        self.event_log.info("deputy claims", cell=cell, result=repr(result))
        if isinstance(result, Committed) and self.owned.get(cell) is service:
            listed = tuple(u.record for u in service.owner.upstreams.values())
            self.disown(service)
            self.cells[cell].listed = listed
            self.own(self.cells[cell], token, taken_over=True)

    @Service.task
    async def name_deputies(self):
        """Keep a deputy named for each owned cell."""
        while not self.should_stop:
            await asyncio.sleep(DEPUTY_CHECK_S)
            vms = list(self.rows.vms().values()) if self.owned else []
            for service in list(self.owned.values()):
                service.name_deputy(vms)
