"""Estimates of run times from declared and measured run times.

Explanation
===========

Callers declare run times that are often far off. There are two predictors: the
declared time multiplied by a learned factor, and the mean of the measured times. The
one whose logarithm has the lower variance is used.
"""

import dataclasses
import math

# Smallest weight of a new sample; the first samples weigh more.
SAMPLE_WEIGHT = 0.05
MIN_SAMPLES = 8
MIN_RUN_MS = 0.1
# Bound of the logarithm of measured over declared run time, in both directions.
MAX_LOG_FACTOR = math.log(1000.0)
STRAGGLER_MIN_FACTOR = 3.0
# Standard deviations of the logarithm above which a run time marks a straggler.
STRAGGLER_DEVIATIONS = 3.0


@dataclasses.dataclass(slots=True)
class LogStatistics:
    """Exponentially weighted mean and variance of a logarithm."""

    mean: float = 0.0
    variance: float = 0.0
    samples: int = 0

    def add(self, value):
        """Add one sample; the first samples weigh more."""
        weight = max(SAMPLE_WEIGHT, 1 / (self.samples + 1))
        difference = value - self.mean
        self.mean += weight * difference
        self.variance = (1 - weight) * (self.variance + weight * difference**2)
        self.samples += 1


class RunTimeEstimator:
    """Estimates run times of similar tasks on an upstream of speed 1.

    Parameters
    ==========

    default_ms : estimate while nothing is measured and no run time is declared

    Examples
    ========

    >>> estimator = RunTimeEstimator(default_ms=200)
    >>> estimator.expected_ms(0)
    200
    >>> for ms in (100, 150, 200, 250) * 3:
    ...     estimator.learn(declared_ms=ms, work_ms=ms * 10)
    >>> round(estimator.expected_ms(120))
    1200
    """

    def __init__(self, default_ms):
        self.default_ms = default_ms
        self.log_factor = LogStatistics()
        self.log_work_ms = LogStatistics()

    def learn(self, declared_ms, work_ms):
        """Add the measured run time of a task, converted to speed 1.

        A `declared_ms` of 0 means that no run time was declared.
        """
        work_ms = max(MIN_RUN_MS, work_ms)
        self.log_work_ms.add(math.log(work_ms))
        if declared_ms > 0:
            log_factor = math.log(work_ms / max(MIN_RUN_MS, declared_ms))
            self.log_factor.add(max(-MAX_LOG_FACTOR, min(MAX_LOG_FACTOR, log_factor)))

    def expected_ms(self, declared_ms):
        """Return the expected run time at speed 1; `declared_ms` 0 means undeclared."""
        if declared_ms <= 0 or self.mean_is_better():
            return self.mean_ms()
        return max(MIN_RUN_MS, declared_ms) * math.exp(self.log_factor.mean)

    def mean_ms(self):
        """Return the mean of the measured run times at speed 1, or the default."""
        if not self.log_work_ms.samples:
            return self.default_ms
        return math.exp(self.log_work_ms.mean + self.log_work_ms.variance / 2)

    def mean_is_better(self):
        """Return whether the mean predicts better than the declared run time."""
        enough = self.log_factor.samples >= MIN_SAMPLES
        return enough and self.log_work_ms.variance < self.log_factor.variance

    def has_enough_samples(self):
        """Return whether the estimates suffice to derive speeds of upstreams."""
        return self.log_work_ms.samples >= MIN_SAMPLES

    def log_variance(self):
        """Return the variance of the logarithm that the predictor in use averages."""
        predictor = self.log_work_ms if self.mean_is_better() else self.log_factor
        return predictor.variance

    def straggler_factor(self):
        """Return the multiple of the expected run time that marks a straggler."""
        deviation = math.sqrt(self.log_variance())
        return max(STRAGGLER_MIN_FACTOR, math.exp(STRAGGLER_DEVIATIONS * deviation))
