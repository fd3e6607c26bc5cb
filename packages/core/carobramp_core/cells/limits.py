"""Time limits of leases, orders and links."""

import dataclasses

# Largest fraction by which an upstream's clock may be slow, as the platform states.
CLOCK_DRIFT = 0.02
# Error from rounding the clocks of owner and upstream to whole milliseconds.
CLOCK_ROUNDING_S = 0.004

# Heartbeats after which the last report of an owner counts as unknown. A link is closed
# at about that age, so that an older one comes from an owner that may be lost.
REPORT_MAX_HEARTBEATS = 4


@dataclasses.dataclass(frozen=True)
class CellLimits:
    """Limits of leases, orders and links, in seconds.

    Parameters
    ==========

    lease_s : duration of the lease that a poll or start order renews; the platform
        shortens longer leases
    poll_wait_s : longest time for which an idle upstream delays the answer to a poll;
        a third of the lease, so that another poll follows a lost answer within the
        lease
    busy_poll_wait_s : the same for an upstream with runs; ends are learned only from
        polls, so a lost answer delays a job and occupies capacity for this time,
        while a shorter wait means more polls
    order_timeout_s : longest wait for the answer to a start or stop order; starts
        take 5 ms at the 95th percentile, and a listing shows the outcome of a slow one
    poll_margin_s : time after its wait at which a poll counts as unanswered; two
        unanswered polls in a row must fit into the lease
    run_stop_s : time that an upstream takes to stop a run
    pause_settle_s : time after a pause of the process in which requests that have
        waited in its sockets are read
    start_lease_min_s : shortest lease with which a run is started; it must outlast
        the polls that renew it
    link_timeout_s : age of the newest echo at which a link between entry and owner
        is closed as stale; four heartbeats
    heartbeat_s : interval of heartbeats on a link
    tick_s : interval of the ticks of entries and owners
    orphan_claim_s : time in which entries may claim a run that an earlier owner
        started, counted from the adoption of each run; unclaimed runs are stopped
        before the caller retries
    entry_reconnect_s : time in which an entry may open a new link before its runs are
        stopped; the sum with `link_timeout_s` and `run_stop_s` must stay below
        `caller_retry_s`
    cancel_retention_s : time for which owners and entries remember a cancelled job;
        it must outlast the tasks of a lost owner and a repeated request
    caller_retry_s : time after which a caller without an answer sends its job again
    """

    lease_s: float = 1.0
    poll_wait_s: float = 0.3
    busy_poll_wait_s: float = 0.2
    order_timeout_s: float = 0.06
    poll_margin_s: float = 0.1
    run_stop_s: float = 0.05
    pause_settle_s: float = 0.2
    start_lease_min_s: float = 0.5
    link_timeout_s: float = 0.4
    heartbeat_s: float = 0.1
    tick_s: float = 0.05
    orphan_claim_s: float = 0.3
    entry_reconnect_s: float = 0.15
    cancel_retention_s: float = 10.0
    caller_retry_s: float = 1.3

    def report_max_age_s(self) -> float:
        """Return the age from which a capacity report says nothing of the present."""
        return REPORT_MAX_HEARTBEATS * self.heartbeat_s

    def lease_expiry_s(self) -> float:
        """Return the time from the last renewal until a lease has certainly expired."""
        return self.lease_s / (1 - CLOCK_DRIFT) + CLOCK_ROUNDING_S

    def unclaimed_lease_s(self) -> float:
        """Return the time from the adoption of a run to the end of its first leases.

        An owner that works as planned stops an unclaimed run after `orphan_claim_s` and
        polls its upstream again before this time. Leases that end then also end the run
        if the owner is paused meanwhile or its stop orders are lost: the entry may have
        given the job up by then and have started its tasks in another cell.
        """
        return self.orphan_claim_s + self.busy_poll_wait_s + self.poll_margin_s

    def is_long_pause(self, paused_s) -> bool:
        """Return whether callers may have sent their jobs again during a pause.

        All leases have expired by then, and links are stale. Shorter pauses end before
        `caller_retry_s` is over for a caller whose connection broke as they began.
        """
        return paused_s > self.lease_s

    def lease_end_before_retry_s(self) -> float:
        """Return the time from the loss of an entry to the end of its runs' leases.

        The caller of a lost entry sends its job again after `caller_retry_s`, and a
        lease lasts longer by the drift of the upstream's clock. The time that a stop
        takes remains for the delay with which the loss is noticed.
        """
        lasting_s = self.caller_retry_s - self.run_stop_s
        return lasting_s * (1 - CLOCK_DRIFT) - CLOCK_ROUNDING_S

    def lease_end_after_takeover_s(self) -> float:
        """Return the time from an owner's last sign of life to the end of its leases.

        An entry that was lost that much earlier may still have had runs, as an owner
        stops them after `entry_reconnect_s`.
        """
        release_s = self.entry_reconnect_s + self.tick_s
        return self.lease_end_before_retry_s() - release_s

    def lease_end_after_cancel_s(self) -> float:
        """Return the time from the receipt of a cancellation to the end of the leases.

        The entry may have sent the cancellation `link_timeout_s` earlier.
        """
        return self.lease_end_before_retry_s() - self.link_timeout_s

    def stop_allowance_s(self) -> float:
        """Return the time in which a stop order and its repetition take effect."""
        return 2 * self.order_timeout_s + self.run_stop_s

    def run_end_after_link_loss_s(self) -> float:
        """Return the time from a link's last message until its runs have ended.

        The owner closes the link when the echo of that message is too old, and stops
        the entry's runs if the entry does not reconnect in time. If a stop does not
        reach an upstream, the run lasts until a lease that was renewed just before
        the stop expires.
        """
        detection_s = self.link_timeout_s + self.heartbeat_s
        return (
            detection_s + self.entry_reconnect_s + self.tick_s + self.lease_expiry_s()
        )
