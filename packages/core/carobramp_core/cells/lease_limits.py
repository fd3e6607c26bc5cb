"""Latest ends of leases that the owners of a cell pass on to their successors.

Explanation
===========

An owner knows by when the runs of lost entries and of cancelled jobs must be over. It
reports that to all daemons while it lives. A successor that counted the time anew, from
its own adoption of the runs or from the last sign of life of the owner before it, would
prolong them, and each further successor again.
"""

import dataclasses
import math
from collections.abc import Mapping

# Largest time that is reported; it stands for any longer one.
MAX_REMAINING_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLimits:
    """Latest ends of the leases of upstreams, until their runs are claimed or over.

    Parameters
    ==========

    token : fencing token of the owner that knew them
    latest_ends : time of this process by name of the upstream; a missing upstream has
        no limit
    """

    token: int = 0
    latest_ends: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def latest_end(self, upstream) -> float:
        """Return the latest end of the leases of an upstream, or infinity."""
        return self.latest_ends.get(upstream, math.inf)

    def merge(self, other: "LeaseLimits") -> "LeaseLimits":
        """Return the limits of the later owner; of one owner, the earlier ends.

        A later owner has taken over those of the earlier one, and knows which of the
        runs have been claimed since.

        Examples
        ========

        >>> older = LeaseLimits(64, {"i-1": 5.0})
        >>> newer = LeaseLimits(128, {"i-2": 7.0})
        >>> older.merge(newer) == newer
        True
        >>> newer.merge(LeaseLimits(128, {"i-2": 6.0})).latest_ends
        {'i-2': 6.0}
        """
        if self.token != other.token:
            return max(self, other, key=lambda limits: limits.token)
        names = {*self.latest_ends, *other.latest_ends}
        ends = {n: min(self.latest_end(n), other.latest_end(n)) for n in sorted(names)}
        return LeaseLimits(self.token, ends)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLimitsReport:
    """Lease limits as one process tells another, whose clock differs.

    `remaining_s` has the time until the latest end of the leases of each upstream that
    has one, negative if it has passed.
    """

    token: int
    remaining_s: tuple[tuple[str, float], ...] = ()


def report_limits(limits: LeaseLimits, now) -> LeaseLimitsReport:
    """Return the report of lease limits at a time."""
    remaining = (
        (name, max(-MAX_REMAINING_S, min(MAX_REMAINING_S, end - now)))
        for name, end in limits.latest_ends.items()
    )
    return LeaseLimitsReport(limits.token, tuple(remaining))


def reported_limits(report: LeaseLimitsReport, sent_at) -> LeaseLimits:
    """Return the limits in a report that was sent at `sent_at` or later.

    Examples
    ========

    >>> limits = LeaseLimits(64, {"i-1": 5.0})
    >>> reported_limits(report_limits(limits, now=4.0), sent_at=104.0).latest_ends
    {'i-1': 105.0}
    """
    ends = {name: sent_at + remaining_s for name, remaining_s in report.remaining_s}
    return LeaseLimits(report.token, ends)


@dataclasses.dataclass(frozen=True, slots=True)
class Predecessor:
    """What a daemon knows of the earlier owners of a cell that it takes over.

    Parameters
    ==========

    heard_at : latest time at which a daemon heard the last one, with which entries may
        have been lost; minus infinity if no daemon has heard it
    lease_limits : limits that the last one has reported
    """

    heard_at: float = -math.inf
    lease_limits: LeaseLimits = LeaseLimits()
