"""Service that keeps links to the owners of cells and takes over cells without one."""

import asyncio
import contextlib
import dataclasses
import math

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
from carobramp_core.cells.evacuation import Evacuations, EvacuationsRead, newest
from carobramp_core.cells.lease_limits import (
    LeaseLimits,
    LeaseLimitsReport,
    Predecessor,
    reported_limits,
)
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.owner import CellOwner
from carobramp_core.cells.ports import CoordinationTable, UpstreamList, UpstreamOrders
from carobramp_core.platform import Committed, Unavailable
from carobramp_daemon.cells.calls import CellRpcHandlers
from carobramp_daemon.cells.claim_checks import ClaimChecks
from carobramp_daemon.cells.clock import now
from carobramp_daemon.cells.entry import EntryService
from carobramp_daemon.cells.links import EntryLinks, LocalLink, RemoteLink
from carobramp_daemon.cells.owner import OwnerService
from carobramp_daemon.cells.rows import CellRow, CoordinationRows, VmRow
from carobramp_daemon.cells.supervised_tasks import contain_errors, spawn

# A VM of the cell's zone reclaims it from an owner that has less than this fraction of
# its cores.
MIN_OWNER_CORES_RATIO = 0.6
LINK_RETRY_S = 0.1
# Interval at which a daemon with a link to a cell's owner checks whether it should
# reclaim the cell; a changed row triggers the check at once.
RECLAIM_CHECK_S = 0.5
# An entry can read the row of a new owner some ms before that owner learns that its
# claim was committed, so the first attempts to open a link follow each other quickly.
FAST_LINK_RETRY_S = 0.02
FAST_LINK_RETRIES = 5
ANNOUNCE_RETRY_S = 0.5
# Interval at which deputies are chosen anew, as the link to one may have closed.
DEPUTY_CHECK_S = 0.2
# While an owner is silent, one in this many connection attempts goes to it and the
# others to its deputy, which answers at once.
OWNER_ATTEMPT_PERIOD = 4
MS_PER_S = 1000
# Largest silence of an owner that daemons tell each other.
MAX_SILENCE_MS = 3_600_000


@dataclasses.dataclass
class CellState:
    """State of one cell as known to this daemon.

    Parameters
    ==========

    owner_silent_since : time since which this daemon has heard no owner, at first its
        start; None while it has a link to one or owns the cell
    owner_heard_at : time at which an owner was last known to be alive: it closed the
        link or sent the last message, or the ownership ended; minus infinity if there
        was none
    link : link to a remote owner while one is open or being opened
    known_upstreams : upstreams as last read or received; a new owner starts with them
        without waiting for the store
    deputy : deputy named by the last owner
    lease_limits : lease limits that the last owner has reported
    probe_rounds : number of times that upstreams of the cell were probed
    """

    name: str
    owner_silent_since: float | None
    owner_heard_at: float = -math.inf
    link: RemoteLink | None = None
    known_upstreams: tuple = ()
    deputy: Deputy | None = None
    lease_limits: LeaseLimits = LeaseLimits()
    probe_rounds: int = 0


class CellCoordinator(Service):
    """Keeps a link to the owner of each cell, and takes over cells without one.

    Parameters
    ==========

    own_row : row that describes this daemon
    zones : names of the availability zones; each has a cell of the same name
    """

    def __init__(
        self,
        own_row: VmRow,
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
        self.own_row = own_row
        self.table = table
        self.rows = CoordinationRows(table, own_row, metrics, create_log("fleet"))
        self.upstream_list = upstream_list
        self.orders = orders
        self.claim_checks = ClaimChecks(own_row, orders)
        self.entry_service = entry_service
        self.limits = limits
        self.metrics = metrics
        self.create_log = create_log
        self.event_log = create_log("fleet")
        self.draining = False
        self.started_at = now()
        self.cells = {zone: CellState(zone, self.started_at) for zone in zones}
        self.owned: dict[str, OwnerService] = {}
        self.server = Server([CellRpcHandlers(self)])
        self.entry_links = EntryLinks(self.owned, limits)

    async def on_start(self):
        """Listen for calls of other daemons and for entries."""
        await self.server.start(self.own_row.host, self.own_row.port)
        await self.entry_links.start(self.own_row.host, self.own_row.link_port)

    async def on_stop(self):
        """Stop listening."""
        self.server.close()
        self.entry_links.stop()

    @Service.task
    async def announce(self):
        """Write the row of this daemon, until the store has committed it."""
        while not self.should_stop:
            result = await self.rows.announce()
            if isinstance(result, Committed):
                return
            self.event_log.info("writing the VM row failed", result=repr(result))
            await self.sleep(ANNOUNCE_RETRY_S)

    # Links

    @Service.task
    async def maintain_links(self):
        """Maintain the links to the owners of all cells."""
        loops = [self.maintain_link(state) for state in self.cells.values()]
        await asyncio.gather(*loops)

    async def maintain_link(self, state: CellState):
        """Connect to the owner of a cell whenever no link is open, or take it over."""
        token, attempts = 0, 0
        while not self.should_stop:
            if state.name in self.owned:
                await asyncio.sleep(LINK_RETRY_S)
                continue
            row, _ = self.rows.cell(state.name)
            if row is not None and row.token != token:
                token, attempts = row.token, 0
            with contain_errors(self, "maintain_link"):
                await self.link_or_take_over(state, row, attempts)
            attempts += 1
            await self.wait_for_row_change(
                FAST_LINK_RETRY_S if attempts <= FAST_LINK_RETRIES else LINK_RETRY_S
            )

    async def link_or_take_over(self, state: CellState, row: CellRow | None, attempts):
        """Serve a link to the owner of a cell while there is one, else take over."""
        target = self.choose_link_target(state, row, attempts)
        if target is not None and target.vm != self.own_row.vm:
            link = RemoteLink(
                state.name,
                self.own_row.vm,
                (target.host, target.link_port),
                self.entry_service,
                self.limits,
                lambda deputy: self.record_deputy(state, deputy),
                lambda report, sent_at: self.record_lease_limits(
                    state, reported_limits(report, sent_at)
                ),
            )
            await self.run_link(state, link, target)
        await self.take_over_if_needed(state)

    async def wait_for_row_change(self, seconds=LINK_RETRY_S):
        """Wait until a row changes, at most for `seconds`."""
        try:
            async with asyncio.timeout(seconds):
                await self.table.wait_for_change()
        except TimeoutError:
            return

    def choose_link_target(self, state: CellState, row: CellRow | None, attempts):
        """Return the daemon to connect to: the owner in the row, or the deputy."""
        if state.owner_silent_since is None or not attempts % OWNER_ATTEMPT_PERIOD:
            return row
        return self.valid_deputy(state) or row

    def valid_deputy(self, state: CellState) -> Deputy | None:
        """Return the deputy that the present owner has named; None if there is none."""
        row, _ = self.rows.cell(state.name)
        if state.deputy is None or row is None:
            return None
        same_owner = state.deputy.token // TOKEN_BLOCK == row.token // TOKEN_BLOCK
        return state.deputy if same_owner else None

    def is_deputy(self, state: CellState) -> bool:
        """Whether this process may take over a cell while the store is unreachable."""
        deputy = self.valid_deputy(state)
        return deputy is not None and deputy.incarnation == self.own_row.incarnation

    def record_deputy(self, state: CellState, deputy: Deputy):
        """Record the deputy that the owner of a cell has named."""
        state.deputy = deputy
        if deputy.incarnation == self.own_row.incarnation:
            state.known_upstreams = deputy.upstreams
            self.event_log.info(
                "named as deputy",
                cell=state.name,
                token=deputy.token,
                upstreams=len(deputy.upstreams),
            )

    def record_lease_limits(self, state: CellState, limits: LeaseLimits):
        """Record the lease limits of the last owner of a cell."""
        if limits.token >= state.lease_limits.token:
            state.lease_limits = limits

    def known_lease_limits(self, cell) -> LeaseLimits:
        """Return the lease limits of the last known owner of a cell, or its own."""
        if cell in self.owned:
            return self.owned[cell].owner.lease_limits()
        state = self.cells.get(cell)
        return state.lease_limits if state else LeaseLimits()

    async def run_link(
        self, state: CellState, link: RemoteLink, target: CellRow | Deputy
    ):
        """Serve a link until it closes or the cell has another owner."""
        state.link = link
        serving = asyncio.create_task(link.run())
        try:
            while not serving.done():
                row_change = asyncio.create_task(self.table.wait_for_change())
                await asyncio.wait(
                    [serving, row_change],
                    timeout=RECLAIM_CHECK_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                row_change.cancel()
                linked = link.cell in self.entry_service.links
                if linked:
                    state.owner_silent_since = None
                current, _ = self.rows.cell(state.name)
                if current is not None and current.token > target.token:
                    break
                if linked and self.should_reclaim_from(state, target):
                    await self.take_over_if_needed(state)
        finally:
            if link.opened:
                received_at = link.last_received_at
                closed_by_peer = serving.done() and not link.close_reason
                state.owner_heard_at = now() if closed_by_peer else received_at
                # Claims wait for a time from the end of the link.
                state.owner_silent_since = now() if serving.done() else received_at
            serving.cancel()
            reason = "the cell has another owner"
            with contextlib.suppress(asyncio.CancelledError):
                reason = await serving
            state.link = None
            if link.opened:
                self.event_log.info(
                    "link to owner closed",
                    cell=state.name,
                    owner=target.vm,
                    reason=reason,
                )

    def is_suitable_owner(self, row: CellRow, cell):
        """Whether a cell's owner is in its zone and not much smaller than this VM."""
        return (
            row.availability_zone == cell
            and row.cores >= MIN_OWNER_CORES_RATIO * self.own_row.cores
        )

    def should_reclaim_from(self, state: CellState, target: CellRow | Deputy):
        """Whether this daemon should reclaim the cell of its zone from its owner.

        That is so if the owner is unsuitable. A cell owned by a deputy that has not
        written its claim yet is not reclaimed.
        """
        if isinstance(target, Deputy) or self.uptime_s() < RECLAIM_MIN_UPTIME_S:
            return False
        same_zone = self.own_row.availability_zone == state.name
        return same_zone and not self.is_suitable_owner(target, state.name)

    def uptime_s(self):
        """Return the time since the start of this daemon in seconds."""
        return now() - self.started_at

    # Claims

    def update_evacuations(self, evacuations: Evacuations):
        """Pass the evacuated zones as last read to the owners and the entry."""
        for service in list(self.owned.values()):
            service.dispatch(EvacuationsRead(evacuations))
        self.entry_service.update_evacuations(evacuations)

    def known_evacuations(self) -> Evacuations | None:
        """Return the newest set that the entry or an owner of this daemon knows."""
        owners = [service.owner.evacuations for service in self.owned.values()]
        return newest(self.entry_service.entry.evacuations, *owners)

    def may_claim(self) -> bool:
        """Whether this daemon may claim cells: it has read the rows and the requests.

        An owner that did not know the evacuated zones could start nothing.
        """
        known = self.entry_service.entry.evacuations is not None
        return known and not self.draining and self.table.is_loaded()

    async def take_over_if_needed(self, state: CellState):
        """Take over a cell if its owner is lost or this daemon should reclaim it.

        Peers, upstreams and finally the silent owner itself are asked first.
        """
        if state.name in self.owned or not self.may_claim():
            return
        row, version = self.rows.cell(state.name)
        linked = state.owner_silent_since is None
        silent_s = 0.0 if linked else now() - (state.owner_silent_since or 0.0)
        view = ClaimView(
            had_owner=row is not None,
            owner_silence_s=silent_s,
            same_zone=self.own_row.availability_zone == state.name,
            owner_suitable=row is not None and self.is_suitable_owner(row, state.name),
            rank=0,
            peers_answered=0,
            peers_hearing_owner=0,
            uptime_s=self.uptime_s(),
        )
        if not linked and silent_s < claim_delay_s(view):
            return
        view, upstream_answers = await asyncio.gather(
            self.claim_checks.survey_peers(
                state.name, row, self.rows.vms().values(), view
            ),
            self.any_upstream_answers(state),
        )
        should_take_over = should_reclaim(view) if linked else should_claim(view)
        if not should_take_over:
            return
        if row is not None and not upstream_answers:
            self.metrics.increment("claims_dropped", "unreachable")
            return
        if (
            row is not None
            and not linked
            and await self.claim_checks.owner_answers(state.name, row)
        ):
            self.metrics.increment("claims_dropped", "owner_answers")
            return
        self.event_log.info(
            "taking over cell",
            cell=state.name,
            silent_s=round(silent_s, 3),
            witnesses=view.peers_answered,
            rank=view.rank,
        )
        heard_at = max(self.owner_heard_at(state), view.peers_heard_owner_at)
        lease_limits = state.lease_limits.merge(view.peer_lease_limits)
        predecessor = Predecessor(heard_at, lease_limits)
        await self.claim(state, row, version, predecessor)

    def owner_heard_at(self, state: CellState) -> float:
        """Return when this daemon last heard an owner of a cell, at the latest.

        Minus infinity if it never has.
        """
        if state.name in self.owned:
            return now()
        if state.link is not None and state.name in self.entry_service.links:
            return state.link.last_received_at
        return state.owner_heard_at

    def handover_predecessor(
        self, state: CellState, report: LeaseLimitsReport
    ) -> Predecessor:
        """Return what is known of an owner that asks this daemon to take a cell over.

        The request may have waited while this process was paused, so that an open link
        tells better when the owner was alive.
        """
        linked = state.name in self.entry_service.links
        heard_at = self.owner_heard_at(state) if linked else now()
        limits = reported_limits(report, now())
        return Predecessor(heard_at, state.lease_limits.merge(limits))

    def owner_silence_ms(self, cell) -> int:
        """Return the time since this daemon last heard an owner; 0 if it never has."""
        state = self.cells.get(cell)
        heard_at = -math.inf if state is None else self.owner_heard_at(state)
        if heard_at == -math.inf:
            return 0
        return min(MAX_SILENCE_MS, max(1, math.ceil(MS_PER_S * (now() - heard_at))))

    async def any_upstream_answers(self, state: CellState) -> bool:
        """Whether any upstream of a cell answers this daemon.

        A deputy has received the upstreams from the owner and does not read the store.
        """
        if not self.is_deputy(state):
            known_upstreams = await self.upstream_list.read_upstreams()
            if isinstance(known_upstreams, Unavailable):
                return False
            state.known_upstreams = known_upstreams
        state.probe_rounds += 1
        return await self.claim_checks.any_upstream_answers(
            state.name, state.known_upstreams, state.probe_rounds - 1
        )

    async def claim(
        self,
        state: CellState,
        row: CellRow | None,
        version,
        predecessor: Predecessor,
    ) -> bool:
        """Claim a cell; return whether this daemon is its owner now.

        The claim fails if another daemon has written the row after `version`. A deputy
        takes the cell over without the store if that is unavailable.
        """
        token = claim_token(row.token if row else 0)
        result = await self.write_claim(state, token, version)
        if isinstance(result, Committed):
            self.start_owning(state, token, row is not None, predecessor)
            return True
        self.event_log.info("cell claim failed", cell=state.name, result=repr(result))
        if not isinstance(result, Unavailable) or not self.is_deputy(state):
            return False
        assert state.deputy is not None
        self.event_log.info(
            "taking over cell as deputy", cell=state.name, token=state.deputy.token
        )
        self.start_owning(state, state.deputy.token, True, predecessor)
        return True

    async def write_claim(self, state: CellState, token, version):
        """Write the row of a cell with this daemon as its owner.

        A deputy does not call a store whose last call has failed.
        """
        if not self.table.is_reachable() and self.is_deputy(state):
            return Unavailable("the last call of the store failed", False)
        return await self.rows.claim(state.name, token, version)

    def start_owning(
        self, state: CellState, token, taken_over, predecessor: Predecessor
    ):
        """Start the owner service of a cell and link the entry of this daemon to it."""
        losses = self.entry_service.entry.crash_records.all_losses()
        owner = CellOwner(
            state.name,
            token,
            self.limits,
            now(),
            taken_over,
            losses,
            predecessor,
            self.entry_service.entry.scheduling,
            self.known_evacuations(),
        )
        service = OwnerService(
            owner,
            self.orders,
            self.upstream_list,
            self.on_ownership_lost,
            self.metrics,
            self.create_log("owner"),
        )
        self.owned[state.name] = service
        state.owner_silent_since = None
        state.deputy = None
        self.metrics.increment("takeovers", state.name)
        to_owner = LocalLink(
            lambda message: service.handle_message(self.own_row.vm, message)
        )
        to_entry = LocalLink(
            lambda message: self.entry_service.handle_message(
                state.name, to_owner, message
            )
        )
        service.local_links = (to_entry, to_owner)
        if state.known_upstreams:
            service.update_upstreams(state.known_upstreams)
        spawn(self, self.start_owner(service, to_entry, to_owner))

    async def start_owner(self, service: OwnerService, to_entry, to_owner):
        """Start an owner service and open its link to the entry of this process."""
        await self.add_runtime_dependency(service)
        service.add_entry_link(self.own_row.vm, to_entry)
        cell, token = service.owner.cell, service.owner.token
        if self.owned.get(cell) is service:
            self.entry_service.owner_link_opened(cell, token, to_owner)

    def on_ownership_lost(self, service: OwnerService, upstream):
        """Stop owning a cell, as an upstream has received a higher fencing token."""
        cell = service.owner.cell
        self.event_log.info(
            "cell ownership lost",
            cell=cell,
            token=service.owner.token,
            upstream=upstream,
        )
        self.stop_owning(service)

    def stop_owning(self, service: OwnerService):
        """Stop owning a cell; entries then connect to the next owner."""
        cell = service.owner.cell
        if self.owned.get(cell) is not service:
            return
        del self.owned[cell]
        self.cells[cell].owner_heard_at = self.cells[cell].owner_silent_since = now()
        self.cells[cell].deputy = service.deputy
        self.cells[cell].lease_limits = service.owner.lease_limits()
        service.owner.ownership_lost = True
        # What an entry has told this owner, the next owner of this daemon knows.
        self.entry_service.update_evacuations(service.owner.evacuations)
        for link in service.local_links:
            link.open = False
        self.entry_service.owner_link_closed(cell, service.local_links[1], now())
        spawn(self, self.stop_owner(service))

    async def stop_owner(self, service: OwnerService):
        """Stop an owner service and remove it from the dependencies."""
        await service.stop()
        await self.remove_dependency(service)

    @Service.task
    async def maintain_open_links(self):
        """Send due heartbeats and close stale links at every heartbeat interval.

        One timer serves all links: an entry has a link to the owner of each cell, and
        a timer for each link would wake an idle daemon many times a second.
        """
        while not self.should_stop:
            await asyncio.sleep(self.limits.heartbeat_s)
            with contain_errors(self, "maintain_open_links"):
                self.entry_service.check_pause()
                self.entry_links.close_stale()
                for state in self.cells.values():
                    if state.link is not None:
                        state.link.maintain()

    @Service.task
    async def watch_cell_rows(self):
        """Stop owning a cell as soon as its row is seen to have a higher token."""
        while not self.should_stop:
            await self.table.wait_for_change()
            with contain_errors(self, "watch_cell_rows"):
                for service in list(self.owned.values()):
                    self.stop_owning_if_claimed(service)

    def stop_owning_if_claimed(self, service: OwnerService):
        """Stop owning a cell whose row has a higher token than this owner."""
        cell = service.owner.cell
        row, _ = self.rows.cell(cell)
        if row is not None and row.token > service.owner.token:
            self.event_log.info(
                "cell claimed by another daemon", cell=cell, owner=row.vm
            )
            self.stop_owning(service)

    async def claim_as_deputy(self, service: OwnerService):
        """Claim a cell that was taken over while the store was unreachable."""
        cell = service.owner.cell
        row, version = self.rows.cell(cell)
        if row is None or row.token >= service.owner.token:
            return
        if not self.table.is_reachable() or self.draining:
            return
        token = claim_token(row.token)
        result = await self.write_claim(self.cells[cell], token, version)
        self.event_log.info("deputy claim attempted", cell=cell, result=repr(result))
        if isinstance(result, Committed) and self.owned.get(cell) is service:
            known_upstreams = tuple(u.record for u in service.owner.upstreams.values())
            self.stop_owning(service)
            self.cells[cell].known_upstreams = known_upstreams
            predecessor = Predecessor(now(), self.cells[cell].lease_limits)
            self.start_owning(self.cells[cell], token, True, predecessor)

    @Service.task
    async def maintain_ownership(self):
        """Choose the deputies of the owned cells anew at intervals.

        A cell that was taken over without the store is claimed there once the store
        is reachable.
        """
        while not self.should_stop:
            await asyncio.sleep(DEPUTY_CHECK_S)
            if not self.owned:
                continue
            with contain_errors(self, "maintain_ownership"):
                vms = list(self.rows.vms().values())
                for service in list(self.owned.values()):
                    self.stop_owning_if_claimed(service)
                    service.name_deputy(vms)
                    await self.claim_as_deputy(service)
