"""Harness that replays load on the owner of a cell, with runs that end when due."""

import collections
import heapq

from carobramp_core.cells.messages import TaskEnded, TaskResult, TasksReturned
from carobramp_core.cells.orders import (
    CountEvent,
    LogEvent,
    OwnerTick,
    RunEndKind,
    SendToEntry,
    StartOrder,
    StopOrder,
)
from carobramp_core.cells.tests.support import (
    OwnerHarness,
    ended,
    job,
    running,
    upstream,
)
from carobramp_schema.generated.scheduling import SchedulingSettings

TICK_S = 0.05
STOP_S = 0.04


class LoadHarness(OwnerHarness):
    """An owner whose upstreams hold two tasks of 16 cores each.

    `ended_at` holds the times at which tasks were done, `returned` the messages about
    returned tasks, both by job id; `stopped` the ids of stopped runs; `counts` the
    decisions on jobs.
    """

    def __init__(self, upstreams, taken_over=False, **settings):
        self.names = [f"i-{number:02}" for number in range(upstreams)]
        self.due: list = []
        self.active = {name: {} for name in self.names}
        self.end_counts = dict.fromkeys(self.names, 0)
        self.run_s: dict[str, float] = {}
        self.started_at: dict[str, list[float]] = {}
        self.ended_at: dict[str, list[float]] = {}
        self.returned: dict[str, TasksReturned] = {}
        self.returned_at: dict[str, float] = {}
        self.logged: list[LogEvent] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.stopped: list = []
        scheduling = SchedulingSettings(**({"job_admission": True} | settings))
        records = [upstream(name, cpu=32000) for name in self.names]
        super().__init__(*records, taken_over=taken_over, scheduling=scheduling)
        for name in self.names:
            self.answer_poll(name)
        self.next_tick_at = self.now + TICK_S

    def handle(self, event):
        """Let the owner handle an event, and carry out its effects."""
        effects = super().handle(event)
        for effect in effects:
            if isinstance(effect, StartOrder):
                run_s = self.run_s[effect.run_id.job_id]
                self.active[effect.upstream][effect.run_id] = (effect, self.now, run_s)
                self.schedule_end(effect, run_s, RunEndKind.DONE)
                job_id = effect.run_id.job_id
                self.started_at.setdefault(job_id, []).append(self.now)
                self.accept(effect)
            elif isinstance(effect, StopOrder):
                self.stopped.append(effect.run_id)
                self.accept_stop(effect)
                self.schedule_end(effect, STOP_S, RunEndKind.STOPPED)
            elif isinstance(effect, SendToEntry):
                self.record(effect.message)
            elif isinstance(effect, LogEvent):
                self.logged.append(effect)
            elif isinstance(effect, CountEvent):
                self.counts[effect.label] += effect.amount
        return effects

    def schedule_end(self, order, seconds, kind):
        """Let a run end after some time, unless it has ended before."""
        end = (self.now + seconds, order.run_id.run, order.upstream, order.run_id, kind)
        heapq.heappush(self.due, end)

    def record(self, message):
        """Record what the owner tells an entry of a job."""
        if isinstance(message, TasksReturned):
            self.returned[message.job_id] = message
            self.returned_at[message.job_id] = self.now
        elif isinstance(message, TaskEnded) and message.result == TaskResult.DONE:
            self.ended_at.setdefault(message.job_id, []).append(self.now)

    def end_run(self, name, run_id, kind):
        """Let an upstream list the end of a run, unless it is over."""
        order = self.active[name].pop(run_id, None)
        if order is None:
            return
        self.end_counts[name] += 1
        still = [
            running(order, min(99, 100 * (self.now - at) / run_s))
            for order, at, run_s in self.active[name].values()
        ]
        end = ended(order[0], kind, self.end_counts[name])
        self.answer_poll(name, running=still, ended=[end])

    def submit(self, job_id, run_s, tasks=1, offer_fields=(), **fields):
        """Offer a job of tasks of 16 cores that take and declare `run_s`."""
        self.run_s[job_id] = run_s
        defaults = {"cpu": 16000, "estimate_ms": run_s * 1000, "target_ms": 62.0}
        item = job(job_id, tasks, **(defaults | fields))
        self.offer(item, **dict(offer_fields))
        return item

    def lines(self, message):
        """Return the fields of the log lines with a message."""
        return [event.fields for event in self.logged if event.message == message]

    def advance(self, seconds):
        """Advance the time, with a tick every 50 ms."""
        until = self.now + seconds
        while True:
            run_at = self.due[0][0] if self.due else until
            next_at = min(run_at, self.next_tick_at)
            if next_at > until:
                break
            self.now = max(self.now, next_at)
            if next_at == self.next_tick_at:
                self.next_tick_at += TICK_S
                self.handle(OwnerTick())
            elif self.due:
                self.end_run(*heapq.heappop(self.due)[2:])
            else:
                break
        self.now = until

    def is_in_time(self, item, received_at) -> bool:
        """Return whether every task of a job was done within its objective."""
        ends = self.ended_at.get(item.job_id, ())
        objective_s = item.objective_s(self.run_s[item.job_id] * 1000)
        return len(ends) == item.tasks and max(ends) <= received_at + objective_s
