"""Owners whose process has been paused, as by a suspended VM."""

import unittest
from unittest import mock

from carobramp_core.cells.messages import CancelJob
from carobramp_core.cells.orders import EntryMessageReceived, OwnerTick
from carobramp_core.cells.tests.support import (
    LIMITS,
    OwnerHarness,
    ended,
    job,
    offer,
    starts,
    upstream,
)
from carobramp_daemon.cells import links
from carobramp_daemon.cells import owner as owner_module
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics

ENTRIES = ("front-1/1", "front-2/1")


class PausedOwnerTests(unittest.TestCase):
    """The first event after a pause, before links have been checked."""

    def setUp(self):
        """Let a task of each of two entries wait behind another one."""
        self.harness = OwnerHarness(upstream())
        self.harness.answer_poll()
        for module in (owner_module, links):
            patcher = mock.patch.object(module, "now", lambda: self.harness.now)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.service = owner_module.OwnerService(
            self.harness.owner, None, None, None, Metrics(), Log("owner", "tilburg-0")
        )
        self.carried_out = []
        self.service.carry_out = self.carried_out.append
        self.links = {}
        for entry in ENTRIES:
            link = links.FrameLink(mock.Mock(), mock.Mock(), LIMITS)
            self.links[entry] = self.service.links[entry] = link
        (self.first,) = starts(self.harness.offer(job("a" * 16, cpu=16000)))
        for number, entry in enumerate(ENTRIES):
            waiting = offer(job(f"{number:016x}", target_ms=9000))
            self.service.dispatch(EntryMessageReceived(entry, waiting))
        self.service.dispatch(OwnerTick())

    def end_first_task(self):
        """Let a listing show that the upstream is idle; return the jobs that start."""
        self.harness.clocks["i-1"] += 10
        with mock.patch.object(self.harness, "handle", self.service.dispatch):
            self.harness.answer_poll(ended=[ended(self.first)])
        return [order.run_id.job_id for order in starts(self.carried_out)]

    def test_paused_owner_starts_tasks_of_entries_that_have_given_it_up(self):
        """Guards against a start after the entry has offered the task elsewhere."""
        self.harness.now += LIMITS.link_timeout_s + 1.0
        self.assertEqual(self.end_first_task(), [])

    def test_paused_owner_accepts_an_offer_of_a_link_that_it_has_just_closed(self):
        """Guards against runs that belong to no link, so that nothing stops them.

        The process was paused between the receipt of the offer and its handling.
        """
        self.end_first_task()
        self.carried_out.clear()
        self.harness.now += LIMITS.link_timeout_s + 1.0
        late = offer(job("f" * 16, target_ms=9000))
        self.service.handle_message(ENTRIES[0], late)
        self.harness.answer_poll()
        self.service.dispatch(OwnerTick())
        self.assertEqual(starts(self.carried_out), [])
        self.assertNotIn("f" * 16, self.harness.owner.entry_by_job)

    def test_paused_owner_starts_tasks_of_the_entry_in_its_own_process(self):
        """Guards against a start after the caller has asked another daemon.

        A caller whose connection broke during a long pause has sent its job again.
        """
        for pause_s, started in ((LIMITS.lease_s - 0.1, 1), (LIMITS.lease_s + 0.1, 0)):
            with self.subTest(pause_s):
                self.setUp()
                self.service.links = {"tilburg-0": mock.Mock()}
                self.harness.owner.waiting = []
                waiting = offer(job("f" * 16, target_ms=9000))
                self.service.dispatch(EntryMessageReceived("tilburg-0", waiting))
                self.carried_out.clear()
                self.harness.now += pause_s
                self.assertEqual(len(self.end_first_task()), started)

    def test_link_with_a_recent_echo_is_kept(self):
        """Guards against tasks that are dropped although their entry is connected."""
        self.harness.now += LIMITS.link_timeout_s + 1.0
        self.links[ENTRIES[1]].last_echo_at = self.harness.now
        self.assertEqual(self.end_first_task(), [f"{1:016x}"])

    def test_owner_that_was_not_paused_leaves_links_to_their_checks(self):
        """Guards against the check of each link for each event."""
        with mock.patch.object(links.FrameLink, "is_stale") as is_stale:
            self.harness.now += LIMITS.tick_s
            self.service.dispatch(EntryMessageReceived(ENTRIES[0], CancelJob("f" * 16)))
        is_stale.assert_not_called()


if __name__ == "__main__":
    unittest.main()
