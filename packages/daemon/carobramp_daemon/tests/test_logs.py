"""Tests of the log output with a bounded rate."""

import os
import unittest

from carobramp_daemon.logs import BoundedOutput

LINE = "x" * 99 + "\n"


class BoundedOutputTests(unittest.TestCase):
    """The output drops lines instead of blocking, and counts them."""

    def setUp(self):
        """Create a pipe to write to."""
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.dropped: list[int] = []

    def output(self, lines_per_s):
        """Return an output to the pipe with this rate."""
        return BoundedOutput(self.writer, lines_per_s, self.dropped.append)

    def test_rate_is_bounded_and_drops_are_reported(self):
        """Guards against logs that grow with the load, and silently lost lines."""
        output = self.output(10)
        for _ in range(50):
            output.write(LINE)
        self.assertLess(len(os.read(self.reader, 1 << 16)), 12 * len(LINE))
        output.available_lines = 5
        output.write(LINE)
        self.assertGreaterEqual(sum(self.dropped), 39)

    def test_full_pipe_does_not_block(self):
        """Guards against a daemon that blocks because nobody reads its log."""
        output = self.output(1_000_000)
        for _ in range(5000):
            output.write(LINE)
        self.assertGreater(output.dropped, 0)
