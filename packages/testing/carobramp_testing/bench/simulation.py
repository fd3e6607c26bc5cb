"""Several dispatchers and stand-in upstreams on a virtual clock.

Explanation
===========

The simulation runs the real dispatchers of several entry VMs against modelled
upstreams, with network delays, in virtual time. It is repeatable and free of the
noise of a shared machine, so policies are tuned with it; the benchmarks with real
processes confirm the result.
"""

import collections
import dataclasses
import heapq
import itertools
import random

import msgspec

from carobramp_core.dispatch.engine import Dispatcher
from carobramp_core.dispatch.messages import (
    CancelTask,
    Count,
    Job,
    JobFinished,
    JobSubmitted,
    PeerLoad,
    PeersSeen,
    StartTask,
    StateInForce,
    TaskAnswered,
    TaskDone,
    TaskFailed,
    TaskNotStarted,
    TaskUnknown,
    Tick,
    UpstreamReport,
)
from carobramp_core.outcomes import JobDone, RetryReason
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema.generated.settings import DispatchSettings
from carobramp_schema.generated.ticket import TeamChange, TeamState
from carobramp_testing.builders import first_ticket
from carobramp_testing.load.ideal import Pool, ideal_ms
from carobramp_testing.load.plan import Plan, arrivals
from carobramp_testing.load.result import JobResult, LoadResult

HOP_S = 0.0005
START_S = 1000.0
HEARTBEAT_S = 1.0
FAIL_MS = 1.0


@dataclasses.dataclass
class ModelUpstream:
    """Upstream with slots and a queue in order of arrival.

    `dead` refuses connections, `lost` loses running tasks, `refuse` refuses tasks,
    `fail` fails them at once, `slow` is a factor on run times.
    """

    name: str
    slots: int
    speed: float
    dead: bool = False
    refuse: bool = False
    fail: bool = False
    slow: float = 1.0
    busy: int = 0
    queue: collections.deque = dataclasses.field(default_factory=collections.deque)
    starts: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    messages: int = 0


class Simulation:
    """Virtual deployment with one service.

    Parameters
    ==========

    zones : speeds of the upstreams of each zone
    vms_per_zone : entry VMs in each zone
    service : fields of the service's state
    """

    def __init__(
        self, zones, vms_per_zone=2, slots=8, service=None, quota=100000, seed=1
    ):
        self.now = START_S
        self.events: list = []
        self.sequence = itertools.count()
        self.rng = random.Random(seed)
        self.counts: collections.Counter = collections.Counter()
        self.outcomes: dict[str, list] = collections.defaultdict(list)
        self.finished_at: dict[str, float] = {}
        self.vms: list[Dispatcher] = []
        self.wakeups: list[float] = []
        self.upstreams: dict[str, ModelUpstream] = {}
        self.vm_of: dict[str, int] = {}
        self.max_running: collections.Counter = collections.Counter()
        self.slots = slots
        self.state = self.build_state(zones, slots, service or {}, quota)
        for zone in zones:
            for number in range(vms_per_zone):
                name = f"{zone}-{number}"
                rng = random.Random(f"{seed}:{name}")
                vm = Dispatcher(DispatchSettings(), rng, zone, name)
                self.vms.append(vm)
                self.wakeups.append(float("inf"))
        self.zone_vms = vms_per_zone
        for vm in range(len(self.vms)):
            self.handle(vm, StateInForce(self.state))
        self.heartbeat()

    def build_state(self, zones, slots, service, quota):
        """Return the state after a ticket for all upstreams."""
        speeds = [(zone, speed) for zone, found in zones.items() for speed in found]
        addresses = [(zone, "127.0.0.1", 9000) for zone, _ in speeds]
        ticket = first_ticket(addresses, slots, **service)
        for change, (_, speed) in zip(ticket.upstreams, speeds, strict=True):
            self.upstreams[change.name] = ModelUpstream(change.name, slots, speed)
        teams = [
            TeamChange(change.name, 0, TeamState(quota)) for change in ticket.teams
        ]
        return DeploymentState().apply(msgspec.structs.replace(ticket, teams=teams))

    def at(self, time, action):
        """Call `action` at a time."""
        heapq.heappush(self.events, (time, next(self.sequence), action))

    def run(self, until):
        """Let the virtual time pass."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def heartbeat(self):
        """Tell each VM of the others, as heartbeats do."""
        loads = [vm.team_loads() for vm in self.vms]
        for index in range(len(self.vms)):
            others = tuple(
                PeerLoad(*load)
                for other, found in enumerate(loads)
                if other != index
                for load in found
            )
            self.handle(index, PeersSeen(self.zone_vms, len(self.vms), others))
        self.at(self.now + HEARTBEAT_S, self.heartbeat)

    def handle(self, vm, event):
        """Give an event to a VM and carry out the effects."""
        dispatcher = self.vms[vm]
        for effect in dispatcher.handle(event, self.now):
            self.carry_out(vm, effect)
        self.note_running()
        wakeup = dispatcher.next_wakeup(self.now)
        if wakeup is not None and wakeup < self.wakeups[vm]:
            self.wakeups[vm] = wakeup = max(wakeup, self.now + 1e-6)
            self.at(wakeup, lambda: self.wake(vm, wakeup))

    def note_running(self):
        """Keep the most tasks of each team that ran at once, over all VMs."""
        totals: collections.Counter = collections.Counter()
        for dispatcher in self.vms:
            for team, running, _ in dispatcher.team_loads():
                totals[team] += running
        for team, running in totals.items():
            self.max_running[team] = max(self.max_running[team], running)

    def wake(self, vm, wakeup):
        """Give a VM its tick, unless an earlier one was given."""
        if self.wakeups[vm] == wakeup:
            self.wakeups[vm] = float("inf")
            self.handle(vm, Tick())

    def carry_out(self, vm, effect):
        """Carry out one effect."""
        if isinstance(effect, StartTask):
            self.counts["starts"] += 1
            self.at(self.now + HOP_S, lambda: self.arrive(vm, effect))
        elif isinstance(effect, CancelTask):
            self.counts["cancel"] += 1
            self.at(self.now + HOP_S, lambda: self.cancel(effect))
        elif isinstance(effect, JobFinished):
            self.outcomes[effect.submission_id].append(effect.outcome)
            self.finished_at[effect.submission_id] = self.now
        elif isinstance(effect, Count):
            self.counts[f"{effect.counter} {effect.kind}"] += effect.amount

    def arrive(self, vm, start: StartTask):
        """Let a task arrive at its upstream."""
        upstream = self.upstreams[start.upstream]
        if upstream.dead:
            self.counts["wasted_messages connect_failed"] += 1
            outcome = TaskNotStarted(RetryReason.CONNECT_FAILED, "refused")
            self.answer(vm, start, outcome, None)
            return
        if upstream.refuse:
            outcome = TaskNotStarted(RetryReason.REFUSED_OTHER, "refused")
            self.answer(vm, start, outcome, self.report(upstream))
            return
        upstream.messages += 1
        upstream.queue.append((vm, start))
        self.at(
            self.now + start.timeout - HOP_S,
            lambda: self.answer(vm, start, TaskUnknown("time-out"), None),
        )
        self.serve(upstream)

    def serve(self, upstream):
        """Start queued tasks in free slots."""
        while upstream.queue and upstream.busy < upstream.slots:
            vm, start = upstream.queue.popleft()
            if self.vms[vm].running.get(start.task_id) is None:
                continue
            upstream.busy += 1
            upstream.starts[start.task_id] += 1
            run_ms = start.payload["run_ms"] * upstream.slow / upstream.speed
            run_ms = FAIL_MS if upstream.fail else run_ms
            self.at(
                self.now + run_ms / 1000,
                lambda vm=vm, start=start, ms=run_ms: self.end(upstream, vm, start, ms),
            )

    def end(self, upstream, vm, start, run_ms):
        """End a task at its upstream."""
        upstream.busy -= 1
        failed = upstream.fail or start.payload.get("fail")
        outcome = TaskFailed("fails", run_ms) if failed else TaskDone(None, run_ms)
        if upstream.dead:
            outcome = TaskUnknown("connection lost")
        self.answer(vm, start, outcome, self.report(upstream))
        self.serve(upstream)

    def cancel(self, effect: CancelTask):
        """Answer a cancelled task at once; its slot frees when it would end."""
        vm = self.vm_of[effect.task_id.submission_id]
        outcome = TaskFailed("cancelled", 0)
        upstream = self.upstreams[effect.upstream]
        self.answer(vm, effect, outcome, self.report(upstream))

    def report(self, upstream):
        """Return the load report of an upstream."""
        busy = upstream.busy + len(upstream.queue)
        return UpstreamReport(busy, upstream.slots, False)

    def answer(self, vm, start, outcome, report):
        """Send an answer, unless the task already has its outcome."""

        def arrive():
            running = self.vms[vm].running.get(start.task_id)
            if running is not None and running.upstream.name == start.upstream:
                event = TaskAnswered(start.task_id, start.upstream, outcome, report)
                self.handle(vm, event)

        self.at(self.now + HOP_S, arrive)

    def lose(self, upstream):
        """Let an upstream die: running tasks are lost, new ones not started."""
        upstream.dead = True
        for vm in range(len(self.vms)):
            for task_id, running in list(self.vms[vm].running.items()):
                if running.upstream.name == upstream.name:
                    start = CancelTask(task_id, upstream.name, "", 0)
                    self.answer(vm, start, TaskUnknown("connection lost"), None)

    def submit(self, vm, job: Job):
        """Submit a job at a VM."""
        self.vm_of[job.submission_id] = vm
        self.handle(vm, JobSubmitted(job))

    def load(self, plan: Plan):
        """Schedule the jobs of a plan; return a function that gives the result."""
        jobs = arrivals(plan)
        weights = plan.vm_weights or (1.0,) * len(self.vms)
        names = {}
        begin = self.now
        for number, arrival in enumerate(jobs):
            rng = random.Random(f"{plan.seed}:{number}")
            vm = rng.choices(range(len(self.vms)), weights)[0]
            name = f"{id(plan)}-{number}"
            names[name] = arrival
            self.at(
                begin + arrival.at, lambda a=arrival, v=vm, n=name: self.send(a, v, n)
            )
        return lambda: self.result(names, begin)

    def send(self, arrival, vm, name):
        """Submit one job of a plan."""
        request = arrival.request
        job = Job(
            submission_id=name,
            service=request.service,
            team=request.team,
            priority_class=request.priority_class,
            received=self.now,
            deadline=self.now + request.deadline_ms / 1000,
            idempotent=request.idempotent,
            payloads=tuple(task.payload for task in request.tasks),
            run_ms=tuple(task.run_ms for task in request.tasks),
        )
        self.submit(vm, job)

    def result(self, names, begin) -> LoadResult:
        """Return what callers saw."""
        speeds = sorted(u.speed for u in self.upstreams.values())
        pool = Pool(
            slots=self.slots * len(speeds),
            median_speed=speeds[len(speeds) // 2],
            network_ms=2 * HOP_S * 1000,
        )
        result = LoadResult()
        for name, arrival in names.items():
            outcomes = self.outcomes.get(name, [None])
            outcome = outcomes[0]
            reason = (
                ""
                if isinstance(outcome, JobDone)
                else str(getattr(outcome, "reason", "no_answer"))
            )
            end = self.finished_at.get(name, self.now)
            result.add(
                JobResult(
                    stream=arrival.stream.name,
                    submission_id=name,
                    tasks=len(arrival.run_ms),
                    reason=reason,
                    not_run=getattr(outcome, "not_run", False),
                    response_ms=(end - begin - arrival.at) * 1000,
                    ideal_ms=ideal_ms(arrival.run_ms, pool),
                    at=arrival.at,
                )
            )
        return result
