"""Results of a load run."""

import collections
import dataclasses

from hdrh.histogram import HdrHistogram

HIGHEST = 100_000_000
DIGITS = 3
RATIO_SCALE = 1000
US_PER_MS = 1000


@dataclasses.dataclass(frozen=True)
class JobResult:
    """What a caller saw of one job.

    `reason` is empty for a whole answer, a reason code for a failure, and
    ``no_answer`` or ``wrong_answer`` otherwise.
    """

    stream: str
    submission_id: str
    tasks: int
    reason: str
    not_run: bool
    response_ms: float
    ideal_ms: float
    at: float


def new_histogram():
    """Return an empty histogram."""
    return HdrHistogram(1, HIGHEST, DIGITS)


class LoadResult:
    """Histograms and counts by stream."""

    def __init__(self):
        self.jobs: list[JobResult] = []
        self.ratios = collections.defaultdict(new_histogram)
        self.responses = collections.defaultdict(new_histogram)
        self.reasons: collections.Counter[str] = collections.Counter()

    def add(self, job: JobResult):
        """Record one job; only whole answers enter the histograms."""
        self.jobs.append(job)
        if job.reason:
            self.reasons[job.reason] += 1
            return
        ratio = job.response_ms / job.ideal_ms
        self.ratios[job.stream].record_value(max(1, round(ratio * RATIO_SCALE)))
        response = max(1, round(job.response_ms * US_PER_MS))
        self.responses[job.stream].record_value(response)

    def ratio_mean(self, stream):
        """Return the mean of response against ideal of a stream."""
        return self.ratios[stream].get_mean_value() / RATIO_SCALE

    def ratio_at(self, stream, percentile):
        """Return a percentile of response against ideal of a stream."""
        histogram = self.ratios[stream]
        return histogram.get_value_at_percentile(percentile) / RATIO_SCALE

    def response_at(self, stream, percentile):
        """Return a percentile of the response time of a stream, in ms."""
        histogram = self.responses[stream]
        return histogram.get_value_at_percentile(percentile) / US_PER_MS

    def tasks(self):
        """Return the number of tasks of jobs with a whole answer."""
        return sum(job.tasks for job in self.jobs if not job.reason)
