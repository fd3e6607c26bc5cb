"""Tests of one end of a link between daemons."""

import unittest
from unittest import mock

from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import CancelJob
from carobramp_daemon.cells import frames, links

LIMITS = CellLimits()
PEER_ZERO = 5000.0


class FakeTransport:
    """Transport that keeps what is written."""

    def __init__(self, link):
        self.link = link
        self.written = bytearray()

    def write(self, data):
        """Keep bytes."""
        self.written += data

    def get_write_buffer_size(self):
        """Return that nothing waits."""
        return 0

    def abort(self):
        """Close the link."""
        self.link.connection_lost(None)


class FrameLinkTests(unittest.TestCase):
    """Frames that arrive in time, late or without an echo."""

    def setUp(self):
        """Open a link whose clock the test moves."""
        self.time = 100.0
        patcher = mock.patch.object(links, "now", lambda: self.time)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.taken, self.closed = [], []
        self.link = links.FrameLink(
            lambda link, frame: self.taken.append(frames.decode(frame)),
            lambda link, reason: self.closed.append(reason),
            LIMITS,
        )
        self.transport = FakeTransport(self.link)
        self.link.connection_made(self.transport)

    def frame(self, job_id, echo=None):
        """Return a frame of the peer that is sent now."""
        data = frames.encode(CancelJob(job_id)).SerializeToString()
        echo = self.time if echo is None else echo
        return links.FRAME_HEADER.pack(len(data), PEER_ZERO + self.time, echo) + data

    def test_frame_in_pieces_is_taken(self):
        """Guards against frames that are lost because they come in pieces."""
        for byte in self.frame("a") + self.frame("b"):
            self.link.data_received(bytes([byte]))
        self.assertEqual(self.taken, [CancelJob("a"), CancelJob("b")])

    def test_frames_carry_the_newest_time_of_the_peer(self):
        """Guards against a link that both ends close because nothing is echoed."""
        self.link.data_received(self.frame("a"))
        self.link.write_frame(links.HEARTBEAT_FRAME)
        _, sent_at, echo = links.FRAME_HEADER.unpack_from(self.transport.written)
        self.assertEqual((sent_at, echo), (self.time, PEER_ZERO + self.time))

    def test_frame_from_before_a_pause_is_not_taken(self):
        """Guards against tasks that two cells run.

        An owner that was paused found offers in its buffers and started tasks that
        the entry had given up and offered to another cell.
        """
        self.link.data_received(self.frame("a"))
        late = self.frame("b")
        self.time += LIMITS.link_timeout_s + 0.1
        self.link.data_received(late)
        self.assertEqual(self.taken, [CancelJob("a")])
        self.assertEqual(len(self.closed), 1)

    def test_peer_that_hears_nothing_is_given_up(self):
        """Guards against an owner that serves an entry which no longer hears it.

        With the direction to the entry cut, the owner went on for as long as the
        entry's heartbeats came, past the time at which the entry took its runs to
        be over.
        """
        heard_last = self.time
        while not self.closed and self.time < heard_last + 2:
            self.time += LIMITS.heartbeat_s
            self.link.data_received(self.frame("a", echo=heard_last))
        closed_after = self.time - heard_last
        self.assertLessEqual(closed_after, LIMITS.link_timeout_s + LIMITS.heartbeat_s)

    def test_echo_of_the_future_confirms_nothing(self):
        """Guards against a garbled header that switches the limit off."""
        for echo in (self.time + 1e6, float("nan")):
            self.link.data_received(self.frame("a", echo))
        self.time += LIMITS.link_timeout_s + 0.1
        self.link.close_if_stale()
        self.assertEqual(len(self.closed), 1)
