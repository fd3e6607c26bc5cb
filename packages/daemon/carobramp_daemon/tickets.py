"""Keeps the deployment state in force: accepts, fetches and applies tickets."""

import asyncio
import functools
import random
import time

from mode import Service

from carobramp_core.dispatch.messages import DeploymentStateChanged
from carobramp_core.platform import Conflict, Unavailable
from carobramp_core.tickets.acceptance import TicketAccepted
from carobramp_core.tickets.propagation import (
    NO_STATE,
    TABLE_SOURCE,
    FetchFailed,
    FetchState,
    FetchTickets,
    HeadRead,
    InvalidRecord,
    NumberReported,
    PeerReported,
    PeerSourceRemoved,
    ReportedNumbers,
    StateInstalled,
    TicketPropagation,
    apply_record,
    not_ready_reason,
)
from carobramp_core.tickets.recent_records import RecentRecords
from carobramp_core.tickets.rows import (
    HEAD_KEY,
    MAX_TICKET_NUMBER,
    SNAPSHOT_KEY,
    consistent_read,
    read_head,
)
from carobramp_core.tickets.state import DeploymentState, encode_state
from carobramp_daemon.ticket_acceptor import TicketAcceptor
from carobramp_daemon.ticket_routes import TicketRoutes
from carobramp_daemon.ticket_sources import (
    SCAN_LIMIT,
    NothingFetched,
    PeerSource,
    TableSource,
    snapshot_object,
)
from carobramp_schema import InvalidInput
from carobramp_schema.generated.settings import Settings

HEAD_POLL_JITTER = 0.25
"""Relative variation of the poll interval, to spread VMs started together."""

START_RETRY_S = 0.3
START_RETRY_MAX_S = 4.0
START_FETCH_TIMEOUT_S = 5.0
AGE_REPORT_INTERVAL_S = 1.0
SNAPSHOT_ATTEMPTS = 3
SNAPSHOT_RETRY_S = 2.0


class TicketService(Service):
    """Accepts tickets and applies accepted ones in the order of their numbers.

    Parameters
    ==========

    settings : settings of the daemon
    platform : client of the platform
    membership : `MembershipService`
    control_channels : channel pool for control calls to peers
    dispatch : service that gets `DeploymentStateChanged` for each new state
    rng : source of jitter
    metrics, log : metrics and log of the daemon
    """

    def __init__(
        self,
        settings: Settings,
        platform,
        membership,
        control_channels,
        dispatch,
        rng: random.Random,
        metrics,
        log,
    ):
        super().__init__()
        self.settings = settings
        self.platform = platform
        self.membership = membership
        self.dispatch = dispatch
        self.rng = rng
        self.metrics = metrics
        self.event_log = log
        self.current_state = DeploymentState()
        self.dispatched_state = self.current_state
        self.digest = ""
        self.ready = False
        self.not_ready_reason = NO_STATE
        self.stale = False
        self.propagation = TicketPropagation(
            settings.tickets.kept_tickets, time.monotonic()
        )
        self.recent_records = RecentRecords(settings.tickets.kept_tickets)
        self.state_changed = asyncio.Event()
        self.fetch_requested = asyncio.Event()
        self.table_source = TableSource(platform)
        timeout = settings.membership.call_timeout_ms / 1000
        self.peer_source = PeerSource(control_channels, membership.address_of, timeout)
        self.acceptor = TicketAcceptor(platform, self)
        self.routes = TicketRoutes(self)

    def add_routes(self, router):
        """Add the routes for operators to the HTTP server's router."""
        self.routes.add_to(router)

    @property
    def highest_known_number(self):
        """Highest ticket number that is known to be accepted."""
        return self.propagation.highest_known_number

    def observe(self, event):
        """Pass an event to the propagation and wake the fetch loop."""
        self.propagation.handle(event, time.monotonic())
        self.fetch_requested.set()

    def on_peer_status(self, status, same_zone):
        """Observe the ticket numbers in a peer's heartbeat."""
        self.observe(
            PeerReported(
                status.vm, same_zone, status.state_number, status.highest_known_number
            )
        )

    def on_peer_removed(self, vm):
        """Remove a peer as a source of tickets."""
        self.observe(PeerSourceRemoved(vm))

    def recent_record(self, number):
        """Return the record of an accepted ticket if it is in memory, else None."""
        return self.recent_records.get(number)

    # Start

    @Service.task
    async def start_up(self):
        """Try to become ready, with an exponential pause between attempts."""
        pause = START_RETRY_S
        while not self.ready and not self.should_stop:
            await self.try_to_become_ready()
            if not self.ready:
                await self.sleep(pause * self.rng.uniform(0.5, 1.0))
                pause = min(2 * pause, START_RETRY_MAX_S)

    async def try_to_become_ready(self):
        """Wait for the newest known state and become ready if it may be served."""
        head = await self.read_consistent_head()
        unconfirmed_head, peers = None, ()
        if head is None:
            unconfirmed_head, peers = await self.read_unconfirmed_numbers()
        await self.wait_for_state_number(
            self.highest_known_number, START_FETCH_TIMEOUT_S
        )
        reason = not_ready_reason(
            self.current_state.number, head, unconfirmed_head, peers
        )
        if reason:
            if reason != self.not_ready_reason:
                self.event_log.info(
                    "not ready", reason=reason, heard=self.highest_known_number
                )
            self.not_ready_reason = reason
            return
        self.ready = True
        self.event_log.info("ready", number=self.current_state.number)

    async def read_consistent_head(self):
        """Return the head number by a consistent read, or None if that fails."""
        outcome = await self.platform.transact(
            consistent_read(MAX_TICKET_NUMBER), "start"
        )
        if isinstance(outcome, Unavailable):
            return None
        rows = outcome.rows if isinstance(outcome, Conflict) else ()
        return self.observe_head(rows)

    async def read_unconfirmed_numbers(self):
        """Return a head number that may be stale, and the numbers of the peers."""
        statuses = await self.membership.query_members()
        answered = (status for status in statuses.values() if status is not None)
        peers = tuple(
            ReportedNumbers(s.state_number, s.highest_known_number) for s in answered
        )
        return await self.poll_head(), peers

    # Propagation

    @Service.task
    async def follow_head(self):
        """Read the head row at intervals."""
        while not self.should_stop:
            low, high = 1 - HEAD_POLL_JITTER, 1 + HEAD_POLL_JITTER
            interval = self.settings.tickets.head_poll_ms / 1000
            await self.sleep(interval * self.rng.uniform(low, high))
            await self.poll_head()

    async def poll_head(self):
        """Read the head row; return its number, or None if it is unknown."""
        rows = await self.platform.read((HEAD_KEY,), "head")
        return None if isinstance(rows, Unavailable) else self.observe_head(rows)

    def observe_head(self, rows):
        """Observe the head row among `rows`; return its number."""
        head = read_head(rows)
        if isinstance(head, InvalidInput):
            self.event_log.info("invalid head row dropped", detail=str(head))
            return None
        self.observe(HeadRead(head.number, head.state_digest))
        return head.number

    @Service.task
    async def report_age_periodically(self):
        """Report the age of the state at intervals."""
        while not self.should_stop:
            self.report_age()
            await self.sleep(AGE_REPORT_INTERVAL_S)

    def report_age(self):
        """Set the metric of the age; log if the state became stale or confirmed."""
        age_ms = self.age_ms()
        self.metrics.set_gauge("state_age_ms", age_ms)
        stale = age_ms > self.settings.tickets.stale_after_ms
        if stale != self.stale:
            message = "state is stale" if stale else "state is confirmed again"
            self.event_log.info(
                message, number=self.current_state.number, age_ms=age_ms
            )
        self.stale = stale

    def age_ms(self):
        """Return the time since the state was last confirmed, in milliseconds."""
        return round(self.propagation.confirmation_age(time.monotonic()) * 1000)

    def status(self):
        """Return the status fields about the state in force and live peers."""
        live = self.membership.live_peers(time.monotonic())
        return {
            "state_number": self.current_state.number,
            "state_digest": self.digest,
            "state_age_ms": self.age_ms(),
            "state_stale": self.stale,
            "heard_number": self.highest_known_number,
            "not_ready_reason": "" if self.ready else self.not_ready_reason,
            "live_peers": sorted(peer.name for peer in live),
        }

    @Service.task
    async def catch_up(self):
        """Fetch missing tickets or a state whenever the propagation requests it."""
        while not self.should_stop:
            self.fetch_requested.clear()
            now = time.monotonic()
            fetch = self.propagation.next_fetch(now)
            if fetch is not None:
                await self.fetch(fetch)
                continue
            await wait_until(self.fetch_requested, self.propagation.next_wakeup(now))

    async def fetch(self, fetch):
        """Carry out one fetch; report a failure if the state did not change."""
        previous_state = self.current_state
        result = await carry_out(fetch, self)
        if self.current_state is not previous_state:
            return
        detail = result.detail if result is not None else "nothing new"
        invalid = result is not None and result.invalid
        if invalid:
            self.event_log.info(
                "invalid ticket data dropped",
                source=fetch.source or "table",
                detail=detail,
            )
        self.observe(FetchFailed(fetch.source, invalid))

    async def apply_all(self, records):
        """Apply records in order up to the first invalid one.

        Returns `NothingFetched` for an invalid record, else None.
        """
        fault = None
        for record in records:
            if record.ticket.number <= self.current_state.number:
                continue
            next_state = apply_record(self.current_state, record)
            if isinstance(next_state, InvalidRecord):
                fault = NothingFetched(next_state.detail, invalid=True)
                break
            self.install_state(next_state, record)
            await asyncio.sleep(0)
        self.send_state_to_dispatch()
        return fault

    def send_state_to_dispatch(self):
        """Send the state in force to dispatch, unless dispatch has it.

        Dispatch takes tens of milliseconds for a state with 1,800 upstreams. It
        therefore gets only the last state of a fetched batch of tickets.
        """
        if self.dispatched_state is not self.current_state:
            self.dispatched_state = self.current_state
            self.dispatch.send(DeploymentStateChanged(self.current_state))

    def install_state(self, state, record=None):
        """Put a state into force; raise `ValueError` if it is older.

        `record` is the ticket that led to it; None for a state that was fetched whole.
        """
        if state.number < self.current_state.number:
            raise ValueError(
                f"state {state.number} is older than {self.current_state.number}"
            )
        previous_zones = set(self.current_state.evacuated_zones())
        evacuated_zones = set(state.evacuated_zones())
        self.current_state = state
        self.digest = state.digest()
        if evacuated_zones != previous_zones:
            self.event_log.info(
                "evacuated zones changed",
                number=state.number,
                begun=sorted(evacuated_zones - previous_zones),
                ended=sorted(previous_zones - evacuated_zones),
            )
        if record is None:
            self.recent_records.clear()
        else:
            self.recent_records.add(record)
        self.metrics.set_gauge("state_number", state.number)
        self.event_log.info("state in force", number=state.number)
        self.observe(StateInstalled(state.number, self.digest))
        self.state_changed.set()
        self.state_changed = asyncio.Event()

    def replace_state(self, state):
        """Put a fetched state into force if it is newer or repairs a divergence.

        Returns None, or `NothingFetched` if the state is not used.
        """
        newer = state.number > self.current_state.number
        repairs = (
            self.propagation.diverged and state.number == self.current_state.number
        )
        if not newer and not repairs:
            return NothingFetched(f"state {state.number} is not newer")
        if repairs:
            self.event_log.info("diverged state replaced", number=state.number)
        self.install_state(state)
        self.send_state_to_dispatch()
        return None

    async def wait_for_state_number(self, number, timeout):
        """Wait until the state in force has reached `number`, or for `timeout` s."""
        self.observe(NumberReported(number))
        try:
            async with asyncio.timeout(timeout):
                while self.current_state.number < number:
                    await self.state_changed.wait()
        except TimeoutError:
            pass

    # Acceptance

    async def accept(self, ticket, dry_run):
        """Accept an operator's ticket, or only validate it; return the verdict."""
        verdict = await self.acceptor.accept(ticket, dry_run)
        if isinstance(verdict, TicketAccepted):
            await self.install_accepted(verdict.record)
        return verdict

    async def install_accepted(self, record):
        """Put an accepted ticket into force, notify peers and write due snapshots."""
        number = record.ticket.number
        if number > self.current_state.number:
            self.observe(NumberReported(number))
            await self.apply_all([record])
        self.add_future(self.membership.notify_ticket(number))
        if number % self.settings.tickets.snapshot_every == 0:
            self.add_future(self.write_snapshot(number))

    async def write_snapshot(self, number):
        """Replace the snapshot in the object store by the state in force.

        A failure is logged after `SNAPSHOT_ATTEMPTS`; the next snapshot replaces it.
        """
        state = self.current_state
        document = await asyncio.to_thread(encode_state, state)
        data = snapshot_object(state.number, document)
        for attempt in range(SNAPSHOT_ATTEMPTS):
            outcome = await self.platform.put(SNAPSHOT_KEY, data, "snapshot")
            if not isinstance(outcome, Unavailable):
                return
            await self.sleep(SNAPSHOT_RETRY_S * (attempt + 1))
        self.event_log.info("snapshot not written", number=state.number)


async def wait_until(event, until):
    """Wait for an event until a monotonic time, or without limit if it is None."""
    timeout = None if until is None else max(0.0, until - time.monotonic())
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        pass


@functools.singledispatch
async def carry_out(fetch, service):
    """Carry out a fetch; return None, or `NothingFetched` if it gave nothing."""
    raise TypeError(f"unknown fetch {fetch!r}")


@carry_out.register
async def _(fetch: FetchTickets, service):
    if fetch.source == TABLE_SOURCE:
        records = await service.table_source.tickets(fetch.after)
    else:
        records = await service.peer_source.tickets(
            fetch.source, fetch.after, SCAN_LIMIT
        )
    if records is None:
        # The peer does not have these records, for instance because it fetched a whole
        # state itself. The table has every ticket.
        records = await service.table_source.tickets(fetch.after)
        if isinstance(records, NothingFetched) or not records:
            return await carry_out(FetchState(fetch.source), service)
    if isinstance(records, NothingFetched):
        return records
    return await service.apply_all(records)


@carry_out.register
async def _(fetch: FetchState, service):
    if fetch.source == TABLE_SOURCE:
        state = await service.table_source.state()
    else:
        state = await service.peer_source.state(fetch.source)
    if isinstance(state, NothingFetched):
        return state
    return service.replace_state(state)
