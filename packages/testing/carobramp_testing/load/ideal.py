"""Ideal response time of a job, as docs/design.md defines it."""

import dataclasses
import heapq


@dataclasses.dataclass(frozen=True)
class Pool:
    """Idle upstreams that a job could use.

    `slots` counts all slots of the service, `median_speed` is the median speed of
    its upstreams, `network_ms` is the bare network time of a job.
    """

    slots: int
    median_speed: float = 1.0
    network_ms: float = 1.0


def ideal_ms(run_ms, pool: Pool) -> float:
    """Return the ideal response time of a job with tasks of `run_ms`.

    Explanation
    ===========

    The tasks, longest first, are list-scheduled over all slots at median speed.

    Examples
    ========

    >>> ideal_ms([100, 100, 50], Pool(slots=2, median_speed=2.0, network_ms=1.0))
    76.0
    """
    ordered = sorted((ms / pool.median_speed for ms in run_ms), reverse=True)
    if len(ordered) <= pool.slots:
        return ordered[0] + pool.network_ms
    ends = [0.0] * pool.slots
    for ms in ordered:
        heapq.heapreplace(ends, ends[0] + ms)
    return max(ends) + pool.network_ms
