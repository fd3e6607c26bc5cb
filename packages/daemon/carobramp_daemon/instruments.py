"""OpenTelemetry instruments that read the values of a daemon's metrics.

Explanation
===========

Importing the library takes a tenth of the start-up time of a daemon, and callers
wait for a restart after a fault. `Metrics` therefore imports this module at the
first scrape.
"""

import functools

from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource

LABEL_NAME = "kind"


class Instruments:
    """Instruments of one daemon, and a reader that collects them.

    Parameters
    ==========

    counters, histograms, gauges : descriptions by name
    counts : values by label, for each counter
    gauge_values : values of the gauges that were set
    """

    def __init__(self, counters, histograms, gauges, counts, gauge_values):
        self.reader = InMemoryMetricReader()
        # The text exposition shows no resource. Detecting one runs threads, each with
        # memory of its own.
        provider = MeterProvider(
            metric_readers=[self.reader],
            resource=Resource.get_empty(),
            shutdown_on_exit=False,
        )
        meter = provider.get_meter("carobramp")
        for name, description in counters.items():
            read = functools.partial(_observe_counts, counts[name])
            meter.create_observable_counter(name, [read], "", description)
        self.histograms = {
            name: meter.create_histogram(name, "ms", description)
            for name, description in histograms.items()
        }
        for name, description in gauges.items():
            read = functools.partial(_observe_gauge, gauge_values, name)
            meter.create_observable_gauge(name, [read], "", description)

    def record(self, histogram, label, value):
        """Record a value in milliseconds."""
        self.histograms[histogram].record(value, {LABEL_NAME: label})

    def points(self):
        """Return the data points of each instrument by its name."""
        data = self.reader.get_metrics_data()
        if data is None:
            return {}
        return {
            metric.name: metric.data.data_points
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
        }


def _observe_counts(counts, options):
    return [Observation(value, {LABEL_NAME: label}) for label, value in counts.items()]


def _observe_gauge(gauge_values, name, options):
    return [Observation(gauge_values[name])] if name in gauge_values else []
