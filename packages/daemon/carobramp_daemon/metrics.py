"""OpenTelemetry metrics and their text exposition."""

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

COUNTERS = {
    "requests": "Requests by kind.",
    "jobs": "Jobs by result.",
    "refusals": "Refusals and failures by reason.",
    "retries": "Retries by reason.",
    "wasted_messages": "Data messages beyond one request and one answer per task.",
    "task_starts": "Task requests sent to upstreams.",
    "platform_calls": "Platform calls by purpose.",
    "platform_failures": "Platform calls without a usable reply, by purpose.",
    "peer_messages": "Messages between entry VMs by call.",
    "peer_bytes": "Bytes between entry VMs by call.",
    "guard_trips": "Guards that opened, by service.",
}
HISTOGRAMS = {
    "response_ms": "Time from receipt to answer, in milliseconds, by class.",
    "queue_ms": "Time from receipt to task start, in milliseconds, by class.",
}
GAUGES = {
    "state_number": "Ticket number of the state in force.",
    "state_age_ms": "Time since the state was last confirmed, in milliseconds.",
    "jobs_running": "Jobs under way.",
    "live_peers": "Live entry VMs, without this one.",
}
KIND = "kind"
EXPOSITION_PREFIX = "carobramp_"


class Metrics:
    """Meters of one daemon; every name is declared in this module."""

    def __init__(self):
        self.reader = InMemoryMetricReader()
        provider = MeterProvider(metric_readers=[self.reader], shutdown_on_exit=False)
        meter = provider.get_meter("carobramp")
        self.counters = {n: meter.create_counter(n, "", d) for n, d in COUNTERS.items()}
        self.histograms = {
            n: meter.create_histogram(n, "ms", d) for n, d in HISTOGRAMS.items()
        }
        self.gauges = {n: meter.create_gauge(n, "", d) for n, d in GAUGES.items()}

    def count(self, counter, kind, amount=1):
        """Add to a counter."""
        self.counters[counter].add(amount, {KIND: str(kind)})

    def observe(self, histogram, kind, value):
        """Record a value in milliseconds."""
        self.histograms[histogram].record(value, {KIND: str(kind)})

    def set(self, gauge, value):
        """Set a gauge."""
        self.gauges[gauge].set(value)

    def exposition(self):
        """Return all values in the text exposition format."""
        data = self.reader.get_metrics_data()
        lines = []
        for metric in _metrics_of(data):
            name = EXPOSITION_PREFIX + metric.name
            lines.append(f"# HELP {name} {metric.description}")
            for point in metric.data.data_points:
                lines.extend(_point_lines(name, point))
        return "\n".join(lines) + "\n"


def _metrics_of(data):
    if data is None:
        return
    for resource in data.resource_metrics:
        for scope in resource.scope_metrics:
            yield from scope.metrics


def _point_lines(name, point):
    label = point.attributes.get(KIND)
    labels = f'{{{KIND}="{label}"}}' if label is not None else ""
    if hasattr(point, "value"):
        return [f"{name}{labels} {point.value}"]
    return [f"{name}_count{labels} {point.count}", f"{name}_sum{labels} {point.sum}"]
