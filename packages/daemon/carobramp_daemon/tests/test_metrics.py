"""Tests of the text exposition format."""

import re
import unittest

from carobramp_core.outcomes import Reason, RetryReason, WastedMessageKind
from carobramp_daemon.metrics import COUNTERS, GAUGES, HISTOGRAMS, Metrics
from carobramp_testing.exposition import read_samples

LINE = re.compile(
    r"^(# HELP [a-z_]+ [^\n]+|# TYPE [a-z_]+ (counter|gauge|histogram)|"
    r'[a-z_]+(\{[a-z]+="([^"\\]|\\[\\"n])*"(,[a-z]+="([^"\\]|\\[\\"n])*")*\})? '
    r"[-+0-9.e]+)$"
)


class ExpositionTests(unittest.TestCase):
    """Scrapers can parse every line and see counters before their first use."""

    def test_counters_before_first_use(self):
        """Guards against alerts that miss the first refusal."""
        samples = read_samples(Metrics().exposition())
        for name, enum in (
            ("refusals", Reason),
            ("retries", RetryReason),
            ("wasted_messages", WastedMessageKind),
        ):
            wanted = {member.value: 0.0 for member in enum}
            self.assertEqual(samples[f"carobramp_{name}"], wanted)

    def test_format(self):
        """Guards against lines that a scraper cannot parse."""
        metrics = Metrics()
        metrics.increment("refusals", Reason.QUEUE_FULL)
        metrics.increment("task_starts", 'a "b" \\ c\nd')
        metrics.observe("response_ms", "interactive", 12.5)
        metrics.observe("response_ms", "interactive", 1e9)
        metrics.set_gauge("state_number", 3)
        lines = metrics.exposition().splitlines()
        for line in lines:
            self.assertRegex(line, LINE)
        names = {f"carobramp_{n}" for n in {*COUNTERS, *HISTOGRAMS, *GAUGES}}
        for kind in ("HELP", "TYPE"):
            heads = [line.split()[2] for line in lines if line.startswith(f"# {kind}")]
            self.assertEqual(sorted(heads), sorted(names))
        self.assertIn(r'carobramp_task_starts{kind="a \"b\" \\ c\nd"} 1', lines)
        self.assertIn("carobramp_state_number 3", lines)

    def test_histogram(self):
        """Guards against buckets that are not cumulative, or a missing ``+Inf``."""
        metrics = Metrics()
        for value in (1, 60, 1e9):
            metrics.observe("response_ms", "batch", value)
        name = 'carobramp_response_ms_bucket{kind="batch",le="'
        lines = [x for x in metrics.exposition().splitlines() if x.startswith(name)]
        counts = [int(line.split()[-1]) for line in lines]
        self.assertEqual(counts, sorted(counts))
        self.assertTrue(lines[-1].startswith(name + '+Inf"} 3'), lines[-1])


if __name__ == "__main__":
    unittest.main()
