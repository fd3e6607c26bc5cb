"""Expected run times, learned from measured ones.

Explanation
===========

Callers declare run times that are often far off. For each class of a service two
predictors compete: the declared time with a learned factor, and the mean of the
measured times. The one with the smaller spread is used.
"""

import dataclasses
import math

SAMPLE_WEIGHT = 0.05
MIN_SAMPLES = 8
MIN_RUN_MS = 0.1
LOG_BOUND = math.log(1000.0)
STRAGGLER_FACTOR = 3.0
STRAGGLER_SPREADS = 3.0


@dataclasses.dataclass(slots=True)
class LogEstimate:
    """Exponentially weighted mean and variance of a logarithm."""

    mean: float = 0.0
    variance: float = 0.0
    samples: int = 0

    def add(self, value):
        """Take one sample; the first ones weigh more."""
        weight = max(SAMPLE_WEIGHT, 1 / (self.samples + 1))
        difference = value - self.mean
        self.mean += weight * difference
        self.variance = (1 - weight) * (self.variance + weight * difference**2)
        self.samples += 1


class RunTimeEstimator:
    """Predicts the run time of tasks of one class, at speed 1.

    Examples
    ========

    >>> times = RunTimeEstimator(default_ms=200)
    >>> times.expected_ms(0)
    200
    >>> for ms in (100, 150, 200, 250) * 3:
    ...     times.learn(declared_ms=ms, work_ms=ms * 10)
    >>> round(times.expected_ms(120))
    1200
    """

    def __init__(self, default_ms):
        self.default_ms = default_ms
        self.factor = LogEstimate()
        self.work = LogEstimate()

    def learn(self, declared_ms, work_ms):
        """Take the measured run time of a task, converted to speed 1."""
        work_ms = max(MIN_RUN_MS, work_ms)
        self.work.add(math.log(work_ms))
        if declared_ms > 0:
            factor = math.log(work_ms / max(MIN_RUN_MS, declared_ms))
            self.factor.add(max(-LOG_BOUND, min(LOG_BOUND, factor)))

    def expected_ms(self, declared_ms):
        """Return the expected run time at speed 1 of a task with a declared one."""
        if declared_ms <= 0 or self.prefers_mean():
            return self.mean_ms()
        return max(MIN_RUN_MS, declared_ms) * math.exp(self.factor.mean)

    def mean_ms(self):
        """Return the mean run time at speed 1."""
        if not self.work.samples:
            return self.default_ms
        return math.exp(self.work.mean + self.work.variance / 2)

    def prefers_mean(self):
        """Whether declared times predict worse than the mean of measured ones."""
        enough = self.factor.samples >= MIN_SAMPLES
        return enough and self.work.variance < self.factor.variance

    def has_enough_samples(self):
        """Whether enough was measured to judge upstreams by the predictions."""
        return self.work.samples >= MIN_SAMPLES

    def log_variance(self):
        """Return the variance of the logarithm of the predictor in use."""
        best = self.work if self.prefers_mean() else self.factor
        return best.variance

    def straggler_factor(self):
        """Return the multiple of the expected time that marks a straggler."""
        spread = math.sqrt(self.log_variance())
        return max(STRAGGLER_FACTOR, math.exp(STRAGGLER_SPREADS * spread))
