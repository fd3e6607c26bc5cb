"""OpenTelemetry instruments over the values of a daemon's metrics.

Explanation
===========

Importing the library takes a tenth of the start-up time of a daemon, during which
callers wait after a fault. `Metrics` imports this module at the first scrape.
"""

import functools

from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

KIND = "kind"


class Instruments:
    """Instruments of one daemon, and a reader that collects them.

    Parameters
    ==========

    counters, histograms, gauges : descriptions by name
    totals : counts by kind, for each counter
    levels : values of the gauges that were set
    """

    def __init__(self, counters, histograms, gauges, totals, levels):
        self.reader = InMemoryMetricReader()
        provider = MeterProvider(metric_readers=[self.reader], shutdown_on_exit=False)
        meter = provider.get_meter("carobramp")
        for name, description in counters.items():
            read = functools.partial(_read_totals, totals[name])
            meter.create_observable_counter(name, [read], "", description)
        self.histograms = {
            name: meter.create_histogram(name, "ms", description)
            for name, description in histograms.items()
        }
        for name, description in gauges.items():
            read = functools.partial(_read_level, levels, name)
            meter.create_observable_gauge(name, [read], "", description)

    def record(self, histogram, kind, value):
        """Record a value in milliseconds."""
        self.histograms[histogram].record(value, {KIND: kind})

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


def _read_totals(totals, options):
    return [Observation(value, {KIND: kind}) for kind, value in totals.items()]


def _read_level(levels, name, options):
    return [Observation(levels[name])] if name in levels else []
