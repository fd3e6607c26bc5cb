"""Shares of admitted work by queue and size of job, so that no class of jobs starves.

Explanation
===========

Answers demand above the capacity of a cell for seconds. A wide job needs many places at
once and a long one a long gap, so that admission by forecast alone prefers small jobs;
least slack first alone prefers tight queues. Bands of jobs are compared by the part of
their offered core-seconds that was admitted. A band whose part is clearly below that of
all jobs is favoured: its jobs rank with started ones, and their admission does not
depend on jobs of less rank. Meanwhile a band far above that part admits no jobs that
would have to wait.
"""

import bisect
import collections
import dataclasses
import enum
import math

# Time in which the weight of offered and admitted work falls to 1/e.
DECAY_S = 5.0
# Part of all jobs' admitted share below which a band is favoured. The largest jobs have
# to reach 0.8; their share rises only with the next jobs of the band.
MIN_RELATIVE_SHARE = 0.95
# Part of all jobs' admitted share above which a band yields to favoured ones. A lower
# limit rejects more jobs by share and serves no more.
MAX_RELATIVE_SHARE = 1.3
# Admitted part of all offered work from which there is no overload.
NO_OVERLOAD_SHARE = 0.95
# Sizes of jobs of a queue that are kept to tell its largest ones, and the number below
# which all of its jobs are in one band.
SIZE_SAMPLES = 200
MIN_SIZE_SAMPLES = 20


class SizeBand(enum.IntEnum):
    """Band of a job by its work among the recent jobs of its queue."""

    REST = 0
    NEXT_FIFTH = 1
    LARGEST_TENTH = 2


class RecentSizes:
    """Work of the recent jobs of a queue, in core-seconds."""

    def __init__(self):
        self.recent: collections.deque[float] = collections.deque()
        self.ordered: list[float] = []

    def add(self, core_s):
        """Add the work of a job."""
        self.recent.append(core_s)
        bisect.insort(self.ordered, core_s)
        if len(self.ordered) > SIZE_SAMPLES:
            oldest = self.recent.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]

    def band(self, core_s) -> SizeBand:
        """Return the band of a job by its work."""
        count = len(self.ordered)
        if count < MIN_SIZE_SAMPLES:
            return SizeBand.REST
        rank = bisect.bisect_left(self.ordered, core_s) / count
        if rank >= 0.9:
            return SizeBand.LARGEST_TENTH
        return SizeBand.NEXT_FIFTH if rank >= 0.7 else SizeBand.REST


@dataclasses.dataclass(slots=True)
class Share:
    """Offered and admitted work in core-seconds, decayed to the time `at`."""

    offered: float = 0.0
    admitted: float = 0.0
    at: float = -math.inf

    def decay(self, now):
        """Reduce the weight of earlier work."""
        factor = math.exp((self.at - now) / DECAY_S)
        self.offered *= factor
        self.admitted *= factor
        self.at = now

    def record(self, core_s, admitted, now):
        """Add one job."""
        self.decay(now)
        self.offered += core_s
        self.admitted += core_s if admitted else 0.0

    def admitted_part(self) -> float:
        """Return the admitted part of the offered work, 1 if nothing was offered."""
        return self.admitted / self.offered if self.offered > 0 else 1.0


Band = tuple[str, SizeBand]


class FairShare:
    """Offered and admitted work of a cell by queue and size band."""

    def __init__(self):
        self.total = Share()
        self.shares: dict[Band, Share] = {}
        self.sizes: dict[str, RecentSizes] = {}

    def band(self, queue, core_s) -> Band:
        """Return the band of a job with `core_s` of work."""
        sizes = self.sizes.get(queue)
        return queue, sizes.band(core_s) if sizes else SizeBand.REST

    def add_size(self, queue, core_s):
        """Add the work of a job, once for each job, to the recent sizes."""
        if queue not in self.sizes:
            self.sizes[queue] = RecentSizes()
        self.sizes[queue].add(core_s)

    def record(self, band: Band, core_s, admitted, now):
        """Record that a job was admitted or rejected."""
        self.total.record(core_s, admitted, now)
        self.shares.setdefault(band, Share()).record(core_s, admitted, now)

    def record_withdrawn(self, band: Band, core_s, now):
        """Record that an admitted job became late while it waited."""
        for share in (self.total, self.shares.setdefault(band, Share())):
            share.decay(now)
            share.admitted = max(0.0, share.admitted - core_s)

    def is_favoured(self, band: Band) -> bool:
        """Return whether a band has got less than its share under overload.

        Both parts decay alike, so that their ratio does not depend on the time.
        """
        share = self.shares.get(band)
        part = self.total.admitted_part()
        if share is None or part >= NO_OVERLOAD_SHARE:
            return False
        return share.admitted_part() < MIN_RELATIVE_SHARE * part

    def has_to_yield(self, band: Band) -> bool:
        """Return whether a band has got more than its share, and another one less."""
        share = self.shares.get(band)
        limit = MAX_RELATIVE_SHARE * self.total.admitted_part()
        if share is None or share.admitted_part() <= limit:
            return False
        return any(self.is_favoured(other) for other in self.shares)
