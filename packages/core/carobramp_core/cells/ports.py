"""Interfaces to upstreams, to the platform and to links between daemons."""

from typing import Protocol

from carobramp_core.cells.orders import (
    PollOrder,
    PollOutcome,
    StartOrder,
    StartOutcome,
    StopOrder,
    UpstreamRecord,
)
from carobramp_core.platform import Committed, Conflict, Row, Transaction, Unavailable


class UpstreamOrders(Protocol):
    """Sends orders to upstreams; each order is sent at most once, without retries."""

    async def start_run(self, order: StartOrder) -> StartOutcome:
        """Send a start order and return its outcome."""

    async def stop_run(self, order: StopOrder) -> StartOutcome:
        """Send a stop order and return its outcome."""

    async def poll(self, order: PollOrder) -> PollOutcome:
        """Send a poll order and return the listing of runs, or why there is none."""


class UpstreamList(Protocol):
    """The platform's list of upstreams, which may be out of date."""

    async def read_upstreams(self) -> tuple[UpstreamRecord, ...] | Unavailable:
        """Return the upstreams of all availability zones."""


class Link(Protocol):
    """One direction of a link between an entry and an owner."""

    def send(self, message) -> None:
        """Queue a message; messages still queued when the link closes are lost."""


class CoordinationTable(Protocol):
    """Table with one row for each daemon and for the owner of each cell."""

    def is_loaded(self) -> bool:
        """Return whether the table has been read at least once."""

    def is_reachable(self) -> bool:
        """Return whether the last call to the store was answered."""

    def rows(self) -> dict[str, Row]:
        """Return the rows as last read, by key."""

    async def wait_for_change(self) -> None:
        """Wait until a row has changed."""

    async def transact(
        self, transaction: Transaction, purpose: str
    ) -> Committed | Conflict | Unavailable:
        """Apply all writes atomically if every condition holds."""
