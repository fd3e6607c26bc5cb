"""Check that leaving upstreams get no new work after the grace period."""

import dataclasses

from carobramp_testing.checker import Violation


@dataclasses.dataclass(frozen=True)
class Leaving:
    """An upstream that ticket `number` marked as leaving until `returned_at`."""

    name: str
    number: int
    returned_at: float


@dataclasses.dataclass(frozen=True)
class Start:
    """Start of a task; times are seconds since the epoch."""

    task_id: str
    upstream: str
    received_at: float


def in_force_at(samples, number, unseen_s):
    """Return the time from which every process had a ticket in force.

    A process that ended without it counts as running for `unseen_s` after its last
    sample; one that had it in its first sample started later and does not count.

    Examples
    ========

    >>> samples = {("a", 1): [(1.0, 4), (2.0, 5)], ("b", 2): [(1.5, 4)]}
    >>> samples["b", 3] = [(9.0, 5)]
    >>> in_force_at(samples, 5, unseen_s=3.0)
    4.5
    """
    times = []
    for taken in samples.values():
        if taken[0][1] >= number:
            continue
        seen = [at for at, sampled in taken if sampled >= number]
        times.append(seen[0] if seen else taken[-1][0] + unseen_s)
    return max(times)


def check_leaving(leavings, starts, samples, allowed_s, unseen_s):
    """Return the violations and the time that was checked, in seconds.

    Parameters
    ==========

    leavings : iterable of `Leaving`
    starts : iterable of `Start`
    samples : ticket numbers seen, as lists of (time, number) by process
    allowed_s : time for which work may still come after a ticket is in force
    unseen_s : longest time that a process runs unseen after a sample
    """
    violations = []
    checked_s = 0.0
    for leaving in leavings:
        begin = in_force_at(samples, leaving.number, unseen_s) + allowed_s
        checked_s += max(0.0, leaving.returned_at - begin)
        for start in starts:
            inside = begin < start.received_at < leaving.returned_at
            if inside and start.upstream == leaving.name:
                late_s = start.received_at - begin + allowed_s
                detail = f"{start.task_id} came {late_s:.1f} s after ticket"
                detail = f"{detail} {leaving.number} was in force everywhere"
                violations.append(Violation("leaving", leaving.name, detail))
    return violations, checked_s
