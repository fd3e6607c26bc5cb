"""OpenTelemetry metrics and their text exposition."""

import collections
import importlib
import itertools

from carobramp_core.outcomes import Reason, RetryReason, WastedMessageKind

COUNTERS = {
    "requests": "HTTP requests by method and route.",
    "jobs": "Jobs by result.",
    "refusals": "Refusals and failures by reason.",
    "retries": "Retries by reason.",
    "wasted_messages": "Data messages beyond one request and one answer per task.",
    "task_starts": "Task requests sent to upstreams.",
    "platform_calls": "Platform calls by purpose.",
    "platform_failures": "Platform calls without a usable reply, by purpose.",
    "peer_messages": "Messages between entry VMs by call.",
    "peer_bytes": "Bytes between entry VMs by call.",
    "task_stops": "Orders to stop a run, by outcome.",
    "holds": "Renewals of leases by outcome.",
    "runs_lost_with_upstream": "Runs that ended with their upstream, by evidence.",
    "log_lines_dropped": "Log lines beyond the rate or for a reader that is slow.",
    "claims_dropped": "Takeovers that were considered and dropped, by reason.",
    "takeovers": "Cells that this daemon came to own, by cell.",
    "job_refusals": "Requests for jobs without a result, by reason.",
    "offers": "Offers of tasks to cells that reports led to, by cell/rule.",
    "tasks_returned": "Tasks that owners returned to this daemon, by reason.",
    "job_admissions": "Decisions of owners on offered jobs, and abandoned ones.",
    "platform_invalid": "Entries of the platform that could not be used, by table.",
    "unexpected_errors": "Exceptions that were contained, by activity.",
    "guard_trips": "Guards that opened, by service.",
}
HISTOGRAMS = {
    "report_age_ms": "Age of the capacity report at an offer, in ms, by cell.",
    "response_ms": "Time from receipt to answer, in milliseconds, by class.",
    "queue_ms": "Time from receipt to task start, in milliseconds, by class.",
}
GAUGES = {
    "state_number": "Ticket number of the state in force.",
    "state_age_ms": "Time since the state was last confirmed, in milliseconds.",
    "jobs_running": "Jobs under way.",
    "cells_linked": "Cells whose owner this daemon can reach.",
    "open_requests": "Jobs whose caller waits.",
    "zones_evacuated": "Availability zones that are evacuated.",
    "live_peers": "Live entry VMs, without this one.",
}
# Labels that are exported with 0 before their first use, so that the rate of a counter
# includes its first increment.
PREDECLARED_LABELS = {
    "refusals": tuple(Reason),
    "retries": tuple(RetryReason),
    "wasted_messages": tuple(WastedMessageKind),
    "jobs": ("done", "refused", "failed"),
}
LABEL_NAME = "kind"
# Label of the points that the library aggregates once there are too many labels.
OVERFLOW_LABEL = "other"
EXPOSITION_PREFIX = "carobramp_"
# Histogram values that are buffered until the first scrape; one more creates the
# instruments without a scrape.
MAX_BUFFERED_VALUES = 10_000


class Metrics:
    """Metrics of one daemon; every name is declared in this module.

    Counters and gauges are kept in dictionaries and read by callbacks at a scrape:
    calling `Counter.add` for each message took about a tenth of the daemon's CPU time
    per job. The instruments are created at the first scrape, since importing their
    library takes a tenth of the start-up time.
    """

    def __init__(self):
        self.counts = {name: collections.Counter() for name in COUNTERS}
        self.gauge_values: dict[str, float] = {}
        self.instruments = None
        # (histogram, label, value) recorded before the instruments were created.
        self.buffered_values: list[tuple[str, str, float]] = []
        for counter, labels in PREDECLARED_LABELS.items():
            for label in labels:
                self.increment(counter, label, 0)

    def increment(self, counter, label, amount=1):
        """Add `amount` to a counter under a label."""
        self.counts[counter][str(label)] += amount

    def observe(self, histogram, label, value):
        """Record a value, in milliseconds, in a histogram under a label."""
        if self.instruments is not None:
            self.instruments.record(histogram, str(label), value)
            return
        self.buffered_values.append((histogram, str(label), value))
        if len(self.buffered_values) > MAX_BUFFERED_VALUES:
            self.create_instruments()

    def create_instruments(self):
        """Create the instruments and record the buffered values."""
        module = importlib.import_module("carobramp_daemon.instruments")
        self.instruments = module.Instruments(
            COUNTERS, HISTOGRAMS, GAUGES, self.counts, self.gauge_values
        )
        for histogram, label, value in self.buffered_values:
            self.instruments.record(histogram, label, value)
        self.buffered_values.clear()

    def set_gauge(self, gauge, value):
        """Set a gauge, which has no label."""
        self.gauge_values[gauge] = value

    def exposition(self):
        """Return all metrics in the Prometheus text exposition format."""
        if self.instruments is None:
            self.create_instruments()
        points = self.instruments.points()
        lines = []
        for metric_type, metrics in METRICS_BY_TYPE.items():
            for name, description in metrics.items():
                full_name = EXPOSITION_PREFIX + name
                lines.append(f"# HELP {full_name} {_escape(description)}")
                lines.append(f"# TYPE {full_name} {metric_type}")
                for point in points.get(name, ()):
                    lines.extend(_point_lines(full_name, point))
        return "\n".join(lines) + "\n"


METRICS_BY_TYPE = {"counter": COUNTERS, "histogram": HISTOGRAMS, "gauge": GAUGES}


def _point_lines(name, point):
    labels = _labels_of(point)
    if hasattr(point, "value"):
        return [f"{name}{_format_labels(labels)} {point.value}"]
    bounds = [f"{bound:g}" for bound in point.explicit_bounds] + ["+Inf"]
    counts = itertools.accumulate(point.bucket_counts)
    lines = [
        f"{name}_bucket{_format_labels(labels + [('le', bound)])} {count}"
        for bound, count in zip(bounds, counts, strict=True)
    ]
    lines.append(f"{name}_sum{_format_labels(labels)} {point.sum}")
    lines.append(f"{name}_count{_format_labels(labels)} {point.count}")
    return lines


def _labels_of(point):
    if not point.attributes:
        return []
    return [(LABEL_NAME, point.attributes.get(LABEL_NAME, OVERFLOW_LABEL))]


def _format_labels(labels):
    if not labels:
        return ""
    pairs = (f'{name}="{_escape(value, quotes=True)}"' for name, value in labels)
    return "{" + ",".join(pairs) + "}"


def _escape(text, quotes=False):
    text = text.replace("\\", "\\\\").replace("\n", "\\n")
    return text.replace('"', '\\"') if quotes else text
