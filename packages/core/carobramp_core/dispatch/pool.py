"""Upstreams of one service, grouped for cheap choices.

Explanation
===========

A group keeps its upstreams with free slots in heaps by expected time for a unit of
work, one heap for each reserve that some class has to keep free. Entries are
renewed when an upstream changes and dropped lazily, so that a choice costs
O(log n), also with 1,800 upstreams. `refresh` rebuilds the heaps now and then, as
estimates decay with time.
"""

import heapq
import itertools
import math
import random

from carobramp_core.dispatch.guards import WindowCounts
from carobramp_core.dispatch.queue import ServiceQueue
from carobramp_core.dispatch.retries import RetryBudget
from carobramp_core.dispatch.upstreams import Upstream
from carobramp_core.run_time_estimator import RunTimeEstimator
from carobramp_schema.generated.ticket import ServiceState

VERSIONS = itertools.count(1)
# Part of the slots of one upstream that may be reserved. Spread evenly, reserved
# slots lie mostly on slow upstreams, which interactive tasks then have to use.
RESERVED_PART = 0.75
DRAIN_WEIGHT = 0.2
DRAIN_FRESH_S = 0.5
RACK_FAILURES = 3
RACK_BACKOFF_MIN_S = 1.0
RACK_BACKOFF_MAX_S = 30.0


class RackHealth:
    """Connect failures of a whole rack.

    When several upstreams of a rack in a row cannot be reached, the others are not
    tried one by one: that would cost a retry for each.
    """

    __slots__ = ("failed", "until", "seconds")

    def __init__(self):
        self.failed: set[str] = set()
        self.until = -math.inf
        self.seconds = 0.0

    def connect_failed(self, name, now):
        """Note that an upstream of the rack could not be reached."""
        self.failed.add(name)
        if len(self.failed) >= RACK_FAILURES and now >= self.until:
            doubled = max(RACK_BACKOFF_MIN_S, self.seconds * 2)
            self.seconds = min(RACK_BACKOFF_MAX_S, doubled)
            self.until = now + self.seconds

    def answered(self):
        """Note that the rack can be reached."""
        if self.failed:
            self.failed.clear()
        self.seconds = 0.0
        self.until = -math.inf


def rack_of(upstream: Upstream):
    """Return the zone and the rack of an upstream."""
    return upstream.state.availability_zone, upstream.state.rack


class Group:
    """Upstreams of one service, either of the own zone or of all other zones."""

    def __init__(self, totals: WindowCounts, rng: random.Random):
        self.totals = totals
        self.rng = rng
        self.members: dict[str, Upstream] = {}
        self.usable: list[Upstream] = []
        self.heaps: dict[int, list] = {0: []}
        self.reserves: dict[int, dict[str, int]] = {0: {}}
        self.rate = 0.0
        self.top_speed = 0.0
        self.speed_sum = 0.0
        self.racks: dict[tuple[str, str], RackHealth] = {}

    def reachable(self, upstream: Upstream, now):
        """Whether the rack of an upstream is not backed off."""
        health = self.racks.get(rack_of(upstream))
        return health is None or now >= health.until

    def connect_failed(self, upstream: Upstream, now):
        """Note that an upstream could not be reached."""
        health = self.racks.setdefault(rack_of(upstream), RackHealth())
        health.connect_failed(upstream.name, now)

    def answered(self, upstream: Upstream):
        """Note that an upstream could be reached."""
        health = self.racks.get(rack_of(upstream))
        if health is not None:
            health.answered()

    def set_reserves(self, percents):
        """Take the reserves, in percent, that classes have to keep free."""
        self.heaps = {percent: [] for percent in {0, *percents}}
        self.reserves = {percent: {} for percent in self.heaps}

    def refresh(self, now):
        """Rank the usable upstreams by speed and rebuild the heaps."""
        usable = [u for u in self.members.values() if u.usable(now)]
        self.usable = [u for u in usable if self.reachable(u, now)]
        self.usable.sort(key=lambda upstream: -upstream.speed)
        self.sum_rates(now)
        self.divide_reserves()
        for heap in self.heaps.values():
            heap.clear()
        # Among equals the first entry wins; the same order at each VM would let all
        # VMs of a zone choose the same upstream.
        for upstream in self.rng.sample(self.usable, len(self.usable)):
            self.push(upstream, now)

    def sum_rates(self, now):
        """Sum up how much work per unit of time this VM can place."""
        self.rate = sum(
            max(0, upstream.capacity(now)) * upstream.speed for upstream in self.usable
        )
        self.speed_sum = sum(upstream.speed for upstream in self.usable)
        self.top_speed = self.usable[0].speed if self.usable else 0.0

    def divide_reserves(self):
        """Divide each reserve among the upstreams, the fastest first."""
        slots = sum(upstream.slots() for upstream in self.usable)
        self.reserves = {}
        for percent in self.heaps:
            left = math.ceil(slots * percent / 100)
            part = max(RESERVED_PART, percent / 100)
            self.reserves[percent] = parts = {}
            for upstream in self.usable:
                if left <= 0:
                    break
                parts[upstream.name] = min(left, math.ceil(upstream.slots() * part))
                left -= parts[upstream.name]

    def reserve(self, upstream: Upstream, percent):
        """Return the slots of an upstream that a class has to keep free."""
        return self.reserves[percent].get(upstream.name, 0) if percent else 0

    def room(self, upstream: Upstream, percent, now):
        """Return how many more tasks of a class may be started at an upstream."""
        if upstream.name not in self.members or not self.reachable(upstream, now):
            return 0
        return upstream.room(now, self.totals, self.reserve(upstream, percent))

    def push(self, upstream: Upstream, now):
        """Renew the entries of an upstream after a change."""
        upstream.version = version = next(VERSIONS)
        score = upstream.score(now, self.totals)
        for percent, heap in self.heaps.items():
            if self.room(upstream, percent, now) > 0:
                heapq.heappush(heap, (score, version, upstream))

    def pick(self, percent, now, exclude=()) -> Upstream | None:
        """Return the best upstream with a free slot, or None."""
        heap = self.heaps.get(percent)
        if heap is None:
            heap = self.heaps[0]
        skipped, found = [], None
        while heap:
            entry = heap[0]
            upstream = entry[2]
            if upstream.version == entry[1] and self.room(upstream, percent, now) > 0:
                if upstream.name not in exclude:
                    found = upstream
                    break
                skipped.append(entry)
            heapq.heappop(heap)
        for entry in skipped:
            heapq.heappush(heap, entry)
        return found

    def rate_above(self, speed):
        """Return the rate at which own tasks end at upstreams faster than `speed`.

        Slots that other VMs free are seen too late to be waited for.
        """
        rate = 0.0
        for upstream in self.usable:
            if upstream.speed < speed:
                break
            rate += len(upstream.running) * upstream.speed
        return rate

    def mean_speed(self):
        """Return the mean speed at the last refresh."""
        return self.speed_sum / len(self.usable) if self.usable else 1.0


class ServicePool:
    """One service: its upstreams, queue, budgets and learned run times."""

    def __init__(self, name, state: ServiceState, rng: random.Random):
        self.name = name
        self.queue = ServiceQueue(name)
        self.totals = WindowCounts()
        self.near = Group(self.totals, rng)
        self.far = Group(self.totals, rng)
        self.budget = RetryBudget()
        self.times: dict[str, RunTimeEstimator] = {}
        self.refreshed_at = -math.inf
        self.far_refreshed_at = -math.inf
        self.turn = 0
        self.saturated = False
        self.was_saturated = False
        self.started_ms = 0.0
        self.drain_rate = 0.0
        self.drained_at = -math.inf
        self.set_state(state)

    def set_state(self, state: ServiceState):
        """Take the state of a ticket."""
        self.state = state
        self.queue.set_classes(state.classes)
        percents = [queue.reserve_percent for queue in self.queue.classes.values()]
        self.near.set_reserves(percents)
        self.far.set_reserves(percents)

    def runtimes(self, class_name) -> RunTimeEstimator:
        """Return the learned run times of a class."""
        times = self.times.get(class_name)
        if times is None:
            times = self.times[class_name] = RunTimeEstimator(
                self.state.expected_run_ms
            )
        return times

    def group(self, upstream: Upstream) -> Group:
        """Return the group of an upstream."""
        return self.near if upstream.near else self.far

    def rate(self):
        """Return the work per unit of time that this VM can place."""
        return self.near.rate + self.far.rate

    def mean_speed(self):
        """Return the mean speed of the better group that has usable upstreams."""
        groups = [group for group in (self.near, self.far) if group.usable]
        return max((group.mean_speed() for group in groups), default=1.0)

    def measure_drain(self, now, elapsed):
        """Measure the rate of starts while tasks wait for upstreams."""
        if self.saturated and self.was_saturated and elapsed > 0:
            rate = self.started_ms / elapsed / 1000
            fresh = now - self.drained_at < DRAIN_FRESH_S
            weight = DRAIN_WEIGHT if fresh else 1.0
            self.drain_rate += weight * (rate - self.drain_rate)
            self.drained_at = now
        self.was_saturated = self.saturated
        self.started_ms = 0.0

    def sure_rate(self, now):
        """Return the rate to expect: while saturated, at most the measured one.

        Each VM of a saturated deployment counts on slots of other zones that the
        others count on, too.
        """
        if now - self.drained_at < DRAIN_FRESH_S:
            return min(self.rate(), self.drain_rate)
        return self.rate()

    def members(self):
        """Yield the upstreams of the service."""
        yield from self.near.members.values()
        yield from self.far.members.values()

    def normalize_speeds(self):
        """Keep the median of the measured speeds at the median of the hints.

        Speeds and run times are learned from the same measurements; without an
        anchor, both would drift together.
        """
        measured = [u for u in self.members() if u.speed_samples > 1]
        if not measured:
            return
        drift = _median([u.speed_log for u in measured])
        drift -= _median([u.hint for u in measured])
        for upstream in measured:
            upstream.speed_log -= drift


def _median(values):
    values.sort()
    return values[len(values) // 2]
