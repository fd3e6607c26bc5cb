"""Tests of the bounded log output."""

import os
import unittest

from carobramp_daemon.logs import BoundedOutput

LINE = "x" * 99 + "\n"


class BoundedOutputTests(unittest.TestCase):
    """Log lines under load."""

    def setUp(self):
        """Write to a pipe."""
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.dropped: list[int] = []

    def output(self, lines_per_s):
        """Return an output with a rate."""
        return BoundedOutput(self.writer, lines_per_s, self.dropped.append)

    def test_rate_is_bounded_and_the_loss_is_told(self):
        """Guards against logs that grow with the load, or lose lines silently."""
        output = self.output(10)
        for _ in range(50):
            output.write(LINE)
        self.assertLess(len(os.read(self.reader, 1 << 16)), 12 * len(LINE))
        output.available_lines = 5
        output.write(LINE)
        self.assertGreaterEqual(sum(self.dropped), 39)

    def test_reader_that_does_not_read_blocks_nothing(self):
        """Guards against a daemon that stops because nobody reads its log."""
        output = self.output(1_000_000)
        for _ in range(5000):
            output.write(LINE)
        self.assertGreater(output.dropped, 0)
