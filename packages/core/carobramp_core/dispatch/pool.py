"""Pool of the upstreams of one service, in groups that give the best one quickly.

Explanation
===========

A group keeps its upstreams with free slots in heaps by the expected time for a unit
of work, one heap for each percentage of slots that a class has to keep free. An
upstream gets new entries when it changes, and outdated ones are removed lazily, so
that a choice costs O(log n), also with 1,800 upstreams. As estimates decay with
time, `refresh` rebuilds the heaps at intervals.
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
# Part of the slots of one upstream that may be reserved, the fastest upstreams first.
# Spread evenly, reserved slots would lie mostly on slow upstreams, which interactive
# tasks would then have to use.
RESERVED_PART = 0.75
START_RATE_WEIGHT = 0.2
START_RATE_FRESH_S = 0.5
RACK_FAILURES = 3
RACK_BACKOFF_MIN_S = 1.0
RACK_BACKOFF_MAX_S = 30.0


class RackHealth:
    """Connect failures of a whole rack.

    When `RACK_FAILURES` upstreams of a rack could not be reached and none answered
    in between, the whole rack gets no tasks for a time: trying the others one by
    one would cost a retry for each.
    """

    __slots__ = ("failed_upstreams", "backoff_until", "backoff_s")

    def __init__(self):
        self.failed_upstreams: set[str] = set()
        self.backoff_until = -math.inf
        self.backoff_s = 0.0

    def record_connect_failure(self, name, now):
        """Record that an upstream of the rack could not be reached."""
        self.failed_upstreams.add(name)
        if len(self.failed_upstreams) >= RACK_FAILURES and now >= self.backoff_until:
            doubled = max(RACK_BACKOFF_MIN_S, self.backoff_s * 2)
            self.backoff_s = min(RACK_BACKOFF_MAX_S, doubled)
            self.backoff_until = now + self.backoff_s

    def record_answer(self):
        """Record an answer of an upstream of the rack; ends the back-off."""
        if self.failed_upstreams:
            self.failed_upstreams.clear()
        self.backoff_s = 0.0
        self.backoff_until = -math.inf


def rack_of(upstream: Upstream):
    """Return the key of an upstream's rack: zone and rack name."""
    return upstream.state.availability_zone, upstream.state.rack


class UpstreamGroup:
    """Upstreams of one service, either of the local zone or of all remote zones.

    Attributes
    ==========

    members : all upstreams of the group by name
    usable : upstreams that may get tasks, the fastest first, as of the last refresh
    heaps : entries (score, version, upstream) by reserve percentage
    reserves : slots to keep free by reserve percentage and upstream name
    rate : work in ms per ms that this VM can place, as of the last refresh
    """

    def __init__(self, service_counts: WindowCounts, rng: random.Random):
        self.service_counts = service_counts
        self.rng = rng
        self.members: dict[str, Upstream] = {}
        self.usable: list[Upstream] = []
        self.heaps: dict[int, list] = {0: []}
        self.reserves: dict[int, dict[str, int]] = {0: {}}
        self.rate = 0.0
        self.top_speed = 0.0
        self.speed_sum = 0.0
        self.racks: dict[tuple[str, str], RackHealth] = {}

    def rack_reachable(self, upstream: Upstream, now):
        """Whether the rack of an upstream is not in back-off."""
        health = self.racks.get(rack_of(upstream))
        return health is None or now >= health.backoff_until

    def record_connect_failure(self, upstream: Upstream, now):
        """Record for its rack that an upstream could not be reached."""
        health = self.racks.setdefault(rack_of(upstream), RackHealth())
        health.record_connect_failure(upstream.name, now)

    def record_answer(self, upstream: Upstream):
        """Record for its rack that an upstream answered."""
        health = self.racks.get(rack_of(upstream))
        if health is not None:
            health.record_answer()

    def set_reserves(self, percents):
        """Set the percentages of slots that classes keep free; empties the heaps."""
        self.heaps = {percent: [] for percent in {0, *percents}}
        self.reserves = {percent: {} for percent in self.heaps}

    def refresh(self, now):
        """Sort the usable upstreams by speed and rebuild rates, reserves and heaps."""
        usable = [u for u in self.members.values() if u.usable(now)]
        self.usable = [u for u in usable if self.rack_reachable(u, now)]
        self.usable.sort(key=lambda upstream: -upstream.speed)
        self.sum_rates(now)
        self.distribute_reserves()
        for heap in self.heaps.values():
            heap.clear()
        # Of entries with equal scores the first one pushed is chosen; with the same
        # order at each VM, all VMs of a zone would choose the same upstream.
        for upstream in self.rng.sample(self.usable, len(self.usable)):
            self.update_candidate(upstream, now)

    def sum_rates(self, now):
        """Update the rate at which this VM can place work, and the speeds."""
        self.rate = sum(
            max(0, upstream.capacity(now)) * upstream.speed for upstream in self.usable
        )
        self.speed_sum = sum(upstream.speed for upstream in self.usable)
        self.top_speed = self.usable[0].speed if self.usable else 0.0

    def distribute_reserves(self):
        """Divide each reserve among the upstreams, filling the fastest first."""
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

    def free_capacity(self, upstream: Upstream, percent, now):
        """Return how many more tasks may be started with `percent` kept free."""
        if upstream.name not in self.members or not self.rack_reachable(upstream, now):
            return 0
        return upstream.free_capacity(
            now, self.service_counts, self.reserve(upstream, percent)
        )

    def update_candidate(self, upstream: Upstream, now):
        """Push new heap entries of a changed upstream; older ones become invalid."""
        upstream.version = version = next(VERSIONS)
        score = upstream.score(now, self.service_counts)
        for percent, heap in self.heaps.items():
            if self.free_capacity(upstream, percent, now) > 0:
                heapq.heappush(heap, (score, version, upstream))

    def pick(self, percent, now, exclude=()) -> Upstream | None:
        """Return the upstream with the lowest score and a free slot, or None."""
        heap = self.heaps.get(percent)
        if heap is None:
            heap = self.heaps[0]
        skipped, found = [], None
        while heap:
            entry = heap[0]
            upstream = entry[2]
            if (
                upstream.version == entry[1]
                and self.free_capacity(upstream, percent, now) > 0
            ):
                if upstream.name not in exclude:
                    found = upstream
                    break
                skipped.append(entry)
            heapq.heappop(heap)
        for entry in skipped:
            heapq.heappush(heap, entry)
        return found

    def completion_rate_above(self, speed):
        """Return the work rate of this VM's tasks at upstreams of at least `speed`.

        Slots that tasks of other VMs free are reported too late to wait for them.
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
    """One service: its upstreams, queue, retry budget and learned run times.

    Attributes
    ==========

    evacuated : whether all upstreams were evacuated at the last refresh
    saturated : whether a class without a reserve last found no upstream for a task
    start_rate : measured work in ms per ms that was started while saturated
    """

    def __init__(self, name, state: ServiceState, rng: random.Random):
        self.name = name
        self.queue = ServiceQueue(name)
        self.service_counts = WindowCounts()
        self.local = UpstreamGroup(self.service_counts, rng)
        self.remote = UpstreamGroup(self.service_counts, rng)
        self.retry_budget = RetryBudget()
        self.estimators: dict[str, RunTimeEstimator] = {}
        self.refreshed_at = -math.inf
        self.remote_refreshed_at = -math.inf
        self.round_robin_index = 0
        self.evacuated = False
        self.saturated = False
        self.was_saturated = False
        self.started_work_ms = 0.0
        self.start_rate = 0.0
        self.start_rate_measured_at = -math.inf
        self.set_state(state)

    def set_state(self, state: ServiceState):
        """Set the service state of a ticket: classes, reserves, limits and policy."""
        self.state = state
        self.queue.set_classes(state.classes)
        percents = [queue.reserve_percent for queue in self.queue.classes.values()]
        self.local.set_reserves(percents)
        self.remote.set_reserves(percents)

    def estimator(self, class_name) -> RunTimeEstimator:
        """Return the run time estimator of a class."""
        estimator = self.estimators.get(class_name)
        if estimator is None:
            estimator = self.estimators[class_name] = RunTimeEstimator(
                self.state.expected_run_ms
            )
        return estimator

    def group(self, upstream: Upstream) -> UpstreamGroup:
        """Return the local or remote group of an upstream."""
        return self.local if upstream.local else self.remote

    def rate(self):
        """Return the work in ms per ms that this VM could place at the last refresh."""
        return self.local.rate + self.remote.rate

    def mean_speed(self):
        """Return the mean speed of the faster group with usable upstreams, or 1."""
        groups = [group for group in (self.local, self.remote) if group.usable]
        return max((group.mean_speed() for group in groups), default=1.0)

    def measure_start_rate(self, now, elapsed):
        """Update the measured rate of started work while tasks wait for upstreams."""
        if self.saturated and self.was_saturated and elapsed > 0:
            rate = self.started_work_ms / elapsed / 1000
            fresh = now - self.start_rate_measured_at < START_RATE_FRESH_S
            weight = START_RATE_WEIGHT if fresh else 1.0
            self.start_rate += weight * (rate - self.start_rate)
            self.start_rate_measured_at = now
        self.was_saturated = self.saturated
        self.started_work_ms = 0.0

    def expected_rate(self, now):
        """Return the expected rate of placing work; while saturated, a measured one.

        In a saturated deployment the rate computed from free slots is too high, as
        several VMs count on the same slots of remote zones.
        """
        if now - self.start_rate_measured_at < START_RATE_FRESH_S:
            return min(self.rate(), self.start_rate)
        return self.rate()

    def members(self):
        """Yield all upstreams of the service, local ones first."""
        yield from self.local.members.values()
        yield from self.remote.members.values()

    def normalize_speeds(self):
        """Shift the measured speeds so that their median is that of the hints.

        Speeds and run times are learned from the same measurements; without a fixed
        reference, both would drift together.
        """
        measured = [u for u in self.members() if u.speed_samples > 1]
        if not measured:
            return
        drift = _median([u.log_speed for u in measured])
        drift -= _median([u.log_speed_hint for u in measured])
        for upstream in measured:
            upstream.log_speed -= drift


def _median(values):
    values.sort()
    return values[len(values) // 2]
