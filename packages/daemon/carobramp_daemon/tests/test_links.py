"""Tests of one end of a link between daemons."""

import unittest
from unittest import mock

from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import CancelJob, CancelRequest, JobCancelled
from carobramp_daemon.cells import frames, links

LIMITS = CellLimits()
PEER_CLOCK_OFFSET_S = 5000.0


class RecordingTransport:
    """Transport that records what is written to it.

    As with the transports of asyncio, a link learns of an aborted connection only in a
    later turn of the event loop, here when the test calls `run_scheduled`.
    """

    def __init__(self, link):
        self.link = link
        self.written = bytearray()
        self.scheduled = []

    def write(self, data):
        """Record bytes."""
        self.written += data

    def get_write_buffer_size(self):
        """Return 0: all bytes count as sent."""
        return 0

    def abort(self):
        """Schedule the report of the closed connection; later calls do nothing."""
        if not self.scheduled:
            self.scheduled.append(self.link.connection_lost)

    def run_scheduled(self):
        """Report the closed connection to the link."""
        for connection_lost in self.scheduled:
            connection_lost(None)


class FrameLinkTests(unittest.TestCase):
    """Frames that arrive in pieces, late, or with an old or invalid echo."""

    def setUp(self):
        """Open a link whose clock is `self.time`."""
        self.time = 100.0
        patcher = mock.patch.object(links, "now", lambda: self.time)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.received, self.close_reasons = [], []
        self.link = links.FrameLink(
            lambda link, frame: self.received.append(frames.decode(frame)),
            lambda link, reason: self.close_reasons.append(reason),
            LIMITS,
        )
        self.transport = RecordingTransport(self.link)
        self.link.connection_made(self.transport)

    def frame(self, job_id, echo=None):
        """Return a frame that the peer sends now, with the current time as its echo."""
        data = frames.encode(CancelJob(job_id)).SerializeToString()
        echo = self.time if echo is None else echo
        return (
            links.FRAME_HEADER.pack(len(data), PEER_CLOCK_OFFSET_S + self.time, echo)
            + data
        )

    def test_frame_in_pieces_is_received(self):
        """Guards against losing a frame that arrives in several pieces."""
        for byte in self.frame("a") + self.frame("b"):
            self.link.data_received(bytes([byte]))
        self.assertEqual(self.received, [CancelJob("a"), CancelJob("b")])

    def test_cancellations_arrive_as_they_were_sent(self):
        """Guards against a message that the other end takes for another one."""
        requests = (CancelRequest("a"), CancelRequest("a", to_entries=True))
        for message in (CancelJob("a"), *requests, JobCancelled("a")):
            self.assertEqual(frames.decode(frames.encode(message)), message)

    def test_frames_echo_the_newest_time_of_the_peer(self):
        """Guards against frames without echo, for which both ends close the link."""
        self.link.data_received(self.frame("a"))
        self.link.write_frame(links.HEARTBEAT_FRAME)
        _, sent_at, echo = links.FRAME_HEADER.unpack_from(self.transport.written)
        self.assertEqual((sent_at, echo), (self.time, PEER_CLOCK_OFFSET_S + self.time))

    def test_frame_from_before_a_pause_is_dropped(self):
        """Guards against tasks that run in two cells.

        An owner that resumes after a pause reads old offers from its socket buffer. The
        entry has closed the link by then and offered the tasks to another cell.
        """
        self.link.data_received(self.frame("a"))
        late_frames = self.frame("b") + self.frame("c")
        self.time += LIMITS.link_timeout_s + 0.1
        self.link.data_received(late_frames)
        self.link.data_received(late_frames)
        self.transport.run_scheduled()
        self.assertEqual(self.received, [CancelJob("a")])
        self.assertEqual(len(self.close_reasons), 1)

    def test_closed_link_delivers_the_frames_that_it_has_buffered(self):
        """Guards against frames that take effect after their link was closed."""
        self.link.on_frame = lambda link, frame: (
            self.received.append(frames.decode(frame)),
            link.close("the cell has another owner"),
        )
        self.link.data_received(self.frame("a") + self.frame("b"))
        self.assertEqual(self.received, [CancelJob("a")])

    def test_closed_link_sends_frames(self):
        """Guards against writes to a connection that is being closed."""
        self.link.close("the cell has another owner")
        self.link.write_frame(links.HEARTBEAT_FRAME)
        self.assertEqual(self.transport.written, b"")

    def test_link_that_was_closed_while_connecting_stays_open(self):
        """Guards against a connection that outlives the use of its link."""
        link = links.FrameLink(mock.Mock(), mock.Mock(), LIMITS)
        transport = RecordingTransport(link)
        link.close("the daemon is stopping")
        link.connection_made(transport)
        transport.run_scheduled()
        link.on_closed.assert_called_once_with(link, "the daemon is stopping")

    def test_link_without_new_echoes_is_closed(self):
        """Guards against an owner that serves an entry without reaching it.

        When only the direction to the entry fails, heartbeats of the entry still
        arrive. The owner must close the link nonetheless, before the entry assumes that
        the owner's runs are over.
        """
        last_echo = self.time
        while not self.close_reasons and self.time < last_echo + 2:
            self.time += LIMITS.heartbeat_s
            self.link.data_received(self.frame("a", echo=last_echo))
            self.transport.run_scheduled()
        closed_after = self.time - last_echo
        self.assertLessEqual(closed_after, LIMITS.link_timeout_s + LIMITS.heartbeat_s)

    def test_invalid_echo_is_ignored(self):
        """Guards against an invalid header that prevents a link from becoming stale."""
        for echo in (self.time + 1e6, float("nan")):
            self.link.data_received(self.frame("a", echo))
        self.time += LIMITS.link_timeout_s + 0.1
        self.link.close_if_stale()
        self.transport.run_scheduled()
        self.assertEqual(len(self.close_reasons), 1)
