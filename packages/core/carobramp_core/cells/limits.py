"""Time limits of cells, in seconds unless the name says otherwise."""

import dataclasses

# A clock of an upstream may be this much slow, as the platform states.
CLOCK_DRIFT = 0.02
# Rounding of clocks to whole milliseconds, on both sides.
CLOCK_ROUNDING_S = 0.004


@dataclasses.dataclass(frozen=True)
class CellLimits:
    """Limits of leases, orders and links.

    Parameters
    ==========

    lease_s : time for which a hold or start lets runs go on; the platform shortens
        longer leases
    poll_wait_s : longest wait of a hold order of an idle upstream; a third of the
        lease, so that a lost answer is followed by another hold within the lease
    busy_poll_wait_s : the same where something runs; ends are known only by holds, so
        that a lost answer keeps a job and its room for this time
    order_timeout_s : longest wait for the answer of an order; starts take 5 ms at
        the 95th percentile, and a listing tells what became of a slow one
    poll_margin_s : time beyond its wait until a hold counts as unanswered; two
        unanswered holds in a row must fit into the lease
    run_stop_s : time that an upstream takes to stop a run
    link_timeout_s : age of the newest echo at which a link between entry and owner
        is closed; four heartbeats
    heartbeat_s : time between heartbeats on a link
    tick_s : time between the ticks of entries and owners
    orphan_claim_s : time after a takeover in which entries claim runs that go on;
        unclaimed ones are stopped before a caller may send the job again
    entry_reconnect_s : time in which an entry may link again before its runs are
        stopped; with `link_timeout_s` and `run_stop_s` it must stay below
        `caller_retry_s`
    caller_retry_s : time after which a caller without an answer sends its job again
    """

    lease_s: float = 1.0
    poll_wait_s: float = 0.3
    busy_poll_wait_s: float = 0.1
    order_timeout_s: float = 0.06
    poll_margin_s: float = 0.1
    run_stop_s: float = 0.05
    link_timeout_s: float = 0.4
    heartbeat_s: float = 0.1
    tick_s: float = 0.05
    orphan_claim_s: float = 0.3
    entry_reconnect_s: float = 0.15
    caller_retry_s: float = 1.3

    def lease_expiry_s(self) -> float:
        """Return the time after its last renewal at which a lease has ended."""
        return self.lease_s / (1 - CLOCK_DRIFT) + CLOCK_ROUNDING_S

    def run_end_after_link_loss_s(self) -> float:
        """Return the time after a link's last message by which its runs are over.

        The owner gives the link up when the echo of that message is too old, and
        stops the entry's runs after a grace. Upstreams that such a stop does not
        reach may have been renewed just before it.
        """
        noticed_s = self.link_timeout_s + self.heartbeat_s
        return noticed_s + self.entry_reconnect_s + self.tick_s + self.lease_expiry_s()
