"""Interfaces through which cells reach upstreams and the platform."""

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
    """Sends orders to upstreams, each once; no layer repeats one."""

    async def start_run(self, order: StartOrder) -> StartOutcome:
        """Start a run."""

    async def stop_run(self, order: StopOrder) -> StartOutcome:
        """Stop a run."""

    async def poll(self, order: PollOrder) -> PollOutcome:
        """Renew a lease and list the runs."""


class UpstreamList(Protocol):
    """The platform's list of upstreams, which may lag."""

    async def read_upstreams(self) -> tuple[UpstreamRecord, ...] | Unavailable:
        """Return all upstreams."""


class Link(Protocol):
    """One direction of a link between an entry and an owner."""

    def send(self, message) -> None:
        """Queue a message; what a closed link holds is lost."""


class CoordinationTable(Protocol):
    """Rows about the daemons and the owners of cells."""

    def is_loaded(self) -> bool:
        """Whether the table was read once."""

    def is_reachable(self) -> bool:
        """Whether the last call of the store had an answer."""

    def rows(self) -> dict[str, Row]:
        """Return the rows as last seen, by key."""

    async def wait_for_change(self) -> None:
        """Wait until a row has changed."""

    async def transact(
        self, transaction: Transaction, purpose: str
    ) -> Committed | Conflict | Unavailable:
        """Apply writes together if every condition holds."""
