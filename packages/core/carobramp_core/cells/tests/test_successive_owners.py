"""Tests of owners that follow each other in a cell within the limits of its leases."""

import math
import unittest

from carobramp_core.cells.lease_limits import LeaseLimits
from carobramp_core.cells.orders import ActiveRun, RunId
from carobramp_core.cells.tests.support import (
    LIMITS,
    OwnerHarness,
    job,
    running,
    starts,
    stops,
    upstream,
)

LOST_AT = 100.0
TAKEOVER_S = 0.05
LIFE_S = 0.25
# An entry that was lost before its owner still had its runs for so long.
RELEASE_S = LIMITS.entry_reconnect_s + LIMITS.tick_s
RUN = ActiveRun(RunId("0" * 16, 0, 7), 40)


def next_owner(harness: OwnerHarness, heard_at, now) -> OwnerHarness:
    """Build the owner that replaces one and has received its lease limits."""
    return OwnerHarness(
        upstream(),
        taken_over=True,
        now=now,
        heard_at=heard_at,
        lease_limits=harness.owner.lease_limits(),
        token=harness.owner.token + 64,
    )


def granted_until(harness: OwnerHarness) -> float:
    """Return the latest end of the lease that the next poll renews."""
    state = harness.owner.upstreams["i-1"]
    order = harness.owner.next_poll("i-1", harness.now)
    if order is None or order.deadline_ms is None:
        return -math.inf
    left_ms = order.deadline_ms - state.estimated_clock_ms(harness.now)
    return harness.now + left_ms / 1000


class SuccessiveOwnersTests(unittest.TestCase):
    """Runs of a lost entry that one owner after another adopts."""

    def setUp(self):
        """Build an owner that has lost the one before it."""
        self.harness = OwnerHarness(
            upstream(), taken_over=True, now=LOST_AT + TAKEOVER_S, heard_at=LOST_AT
        )

    def replace(self):
        """Let the owner live for a while and replace it."""
        heard_at = self.harness.now + LIFE_S
        self.harness = next_owner(self.harness, heard_at, heard_at + TAKEOVER_S)

    def test_lease_of_a_run_is_prolonged_by_each_owner(self):
        """Guards against two runs of a task after several owners were lost."""
        latest = -math.inf
        stopped = []
        for _ in range(5):
            self.harness.answer_poll(running=[RUN])
            latest = max(latest, granted_until(self.harness))
            if not stopped:
                stopped = stops(self.harness.tick())
            self.replace()
        self.assertLess(latest, LOST_AT + LIMITS.caller_retry_s - RELEASE_S)
        self.assertNotEqual(stopped, [])

    def test_owner_that_reached_no_upstream(self):
        """Guards against limits that are lost with an owner that adopted nothing."""
        for _ in range(3):
            self.replace()
        self.harness.answer_poll(running=[RUN])
        latest = LOST_AT + LIMITS.caller_retry_s - RELEASE_S
        self.assertLess(granted_until(self.harness), latest)

    def test_claimed_run_gets_the_whole_lease_from_the_next_owner(self):
        """Guards against runs that are stopped after two owners although claimed."""
        self.harness.answer_poll(running=[RUN])
        self.harness.offer(job(RUN.run_id.job_id), resumed=True)
        self.assertEqual(self.harness.owner.lease_limits().latest_ends, {})
        self.harness.now += 1.0
        self.replace()
        self.harness.answer_poll(running=[RUN])
        self.assertEqual(stops(self.harness.tick()), [])
        self.harness.offer(job(RUN.run_id.job_id), resumed=True)
        lasting_s = granted_until(self.harness) - self.harness.now
        self.assertGreater(lasting_s, LIMITS.lease_s - 0.01)

    def test_limit_of_a_lost_entry_is_kept(self):
        """Guards against runs that outlive their entry when their owner is lost too.

        The entry was silent for a while before its link closed.
        """
        harness = OwnerHarness(upstream(), now=LOST_AT)
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        harness.now += LIMITS.link_timeout_s + LIMITS.heartbeat_s
        harness.close_link("front-1", silent_s=harness.now - LOST_AT)
        successor = next_owner(harness, harness.now, harness.now + TAKEOVER_S)
        successor.answer_poll(running=[running(order)])
        latest = LOST_AT + LIMITS.lease_end_before_retry_s()
        self.assertLessEqual(granted_until(successor), latest)

    def test_limit_of_a_cancelled_job_is_kept(self):
        """Guards against a cancelled job that goes on under the next owner."""
        harness = OwnerHarness(upstream(), now=LOST_AT)
        harness.answer_poll()
        (order,) = starts(harness.offer(job()))
        harness.accept(order)
        harness.cancel(order.run_id.job_id)
        successor = next_owner(harness, LOST_AT + 0.6, LOST_AT + 0.65)
        successor.answer_poll(running=[running(order)])
        latest = LOST_AT + LIMITS.lease_end_after_cancel_s()
        self.assertLessEqual(granted_until(successor), latest)

    def test_first_owner_of_a_cell_reports_no_limit(self):
        """Guards against limits where no earlier owner can have left runs."""
        harness = OwnerHarness(upstream())
        self.assertEqual(harness.owner.lease_limits(), LeaseLimits(3, {}))


if __name__ == "__main__":
    unittest.main()
