"""Inserts claim rows for caller-made ids and removes expired ones."""

import asyncio
import functools
import time

from mode import Service

from carobramp_core.platform import LeaseHeld, Unavailable
from carobramp_core.submission.claims import (
    CLAIM_PREFIX,
    Claim,
    ClaimBatcher,
    ClaimDecided,
    ClaimRequested,
    GroupTimerExpired,
    ReadEnded,
    ReadRows,
    SendTransaction,
    TransactionEnded,
    removal_transaction,
    select_expired_rows,
)
from carobramp_schema.generated.settings import SubmissionSettings

PURPOSE = "claim"
REMOVAL_PURPOSE = "claim_removal"
REMOVAL_LEASE = "claim-removal"
REMOVAL_INTERVAL_S = 60.0
# Longer than the time between two passes, so that one VM keeps the lease.
REMOVAL_LEASE_S = 150.0
REMOVAL_SCAN_LIMIT = 64
# Pause between two removals. The store takes several hundred writes/s; most of them
# have to be left to claims and tickets.
REMOVAL_PAUSE_S = 0.1


class ClaimService(Service):
    """Passes events to the claim batcher and carries out its effects.

    Parameters
    ==========

    settings : submission settings
    platform : client of the platform's table and leases
    holder : name under which this process holds leases
    on_decided : called with each `ClaimDecided`
    metrics : metrics of the daemon
    log : log of the component
    """

    def __init__(
        self, settings: SubmissionSettings, platform, holder, on_decided, metrics, log
    ):
        super().__init__()
        self.settings = settings
        self.platform = platform
        self.holder = holder
        self.on_decided = on_decided
        self.metrics = metrics
        self.event_log = log
        self.batcher = ClaimBatcher(settings)
        self.inbox: asyncio.Queue = asyncio.Queue()
        self.call_tasks: set[asyncio.Task] = set()

    async def on_stop(self):
        """Cancel the calls in flight."""
        for call in self.call_tasks:
            call.cancel()
        await asyncio.gather(*self.call_tasks, return_exceptions=True)

    def send(self, claim: Claim):
        """Request the insertion of a claim row; `on_decided` gets the verdict."""
        self.inbox.put_nowait(ClaimRequested(claim))

    @Service.task
    async def handle_events(self):
        """Handle events and timers until the service stops."""
        while not self.should_stop:
            event = await self.next_event()
            for effect in self.batcher.handle(event, time.monotonic()):
                carry_out(effect, self)

    async def next_event(self):
        """Return the next event, or `GroupTimerExpired` if the timer ends first."""
        wakeup = self.batcher.next_wakeup()
        timeout = None if wakeup is None else max(0.0, wakeup - time.monotonic())
        try:
            async with asyncio.timeout(timeout):
                return await self.inbox.get()
        except TimeoutError:
            return GroupTimerExpired()

    def spawn(self, coroutine):
        """Run a call as a task that `on_stop` cancels."""
        call = asyncio.create_task(coroutine)
        self.call_tasks.add(call)
        call.add_done_callback(self.call_tasks.discard)

    async def transact(self, effect: SendTransaction):
        """Send a transaction; its outcome becomes an event."""
        outcome = await self.platform.transact(effect.transaction, PURPOSE)
        self.inbox.put_nowait(TransactionEnded(outcome))

    async def read(self, effect: ReadRows):
        """Read rows; the outcome becomes an event."""
        outcome = await self.platform.read(effect.keys, PURPOSE)
        self.inbox.put_nowait(ReadEnded(outcome))

    @Service.task
    async def run_removals(self):
        """Remove expired claim rows at intervals while this process holds the lease.

        The lease only avoids duplicate work by several VMs. Correctness does not
        depend on it: a row is removed by its age alone.
        """
        while not self.should_stop:
            await self.sleep(REMOVAL_INTERVAL_S)
            lease = await self.platform.acquire(
                REMOVAL_LEASE, self.holder, REMOVAL_LEASE_S, REMOVAL_PURPOSE
            )
            if isinstance(lease, LeaseHeld) and lease.holder == self.holder:
                await self.remove_expired_rows()

    async def remove_expired_rows(self):
        """Scan the claim rows once and remove the expired ones.

        A failed scan ends the pass; the next pass starts from the first row.
        """
        after: str | None = CLAIM_PREFIX
        removed = 0
        while after is not None and not self.should_stop:
            rows = await self.platform.scan(
                CLAIM_PREFIX, after, REMOVAL_SCAN_LIMIT, REMOVAL_PURPOSE
            )
            if isinstance(rows, Unavailable):
                return
            kept_s = self.settings.claim_kept_ms / 1000
            removal = select_expired_rows(rows, REMOVAL_SCAN_LIMIT, time.time(), kept_s)
            if removal.rows:
                await self.platform.transact(
                    removal_transaction(removal.rows), REMOVAL_PURPOSE
                )
                removed += len(removal.rows)
            after = removal.next_scan_key
            await self.sleep(REMOVAL_PAUSE_S)
        self.event_log.info("expired claim rows removed", rows=removed)


@functools.singledispatch
def carry_out(effect, service):
    """Carry out one effect of the batcher."""
    raise TypeError(f"unknown effect {effect!r}")


@carry_out.register
def _(effect: SendTransaction, service):
    service.spawn(service.transact(effect))


@carry_out.register
def _(effect: ReadRows, service):
    service.spawn(service.read(effect))


@carry_out.register
def _(effect: ClaimDecided, service):
    service.on_decided(effect)
