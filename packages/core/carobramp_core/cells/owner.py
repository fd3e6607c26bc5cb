"""Decisions of the owner of a cell: events in, orders and messages out.

Explanation
===========

A run occupies room from its start order until its end is certain: the upstream lists
the end, a listing asked for after the order settled lacks the run, or the lease has
lapsed. An order without an answer is never taken for one that was not carried out.
"""

import dataclasses

from carobramp_core.cells.events import on_event
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import (
    CapacityReport,
    Offer,
    ReturnReason,
    TaskEnded,
    TaskResult,
    TasksReturned,
    TasksStarted,
    UpstreamNames,
)
from carobramp_core.cells.orders import (
    LogEvent,
    OwnerEffect,
    OwnerEvent,
    PollOrder,
    RunId,
    SendToEntry,
    StartOrder,
    StopOrder,
)
from carobramp_core.cells.placement import (
    Waiting,
    choose_upstream,
    delay_s,
    has_room,
    is_hopeless,
    order_key,
)
from carobramp_core.cells.upstreams import Run, RunPhase, Upstream
from carobramp_core.run_time_estimator import RunTimeEstimator

DEFAULT_RUN_MS = 200.0
# Runs of one owner are numbered within its token, so that every run of a later
# owner has a higher number than those of earlier ones. Numbers begin anew after half
# an hour at 500 starts a second, when no task of the first ones is left.
RUNS_PER_TOKEN = 1 << 20
# Waiting tasks that one pass tries to place; the rest has less to lose.
PLACED_PER_PASS = 64
RETRY_AFTER_MIN_S = 0.5
MS = 1000


class CellOwner:
    """State of a cell at its owner.

    Parameters
    ==========

    cell : availability zone of the upstreams
    token : fencing token of this ownership, higher than all earlier ones
    taken_over : whether an earlier owner may have left runs behind
    """

    def __init__(self, cell, token, limits: CellLimits, now, taken_over=True):
        self.cell = cell
        self.token = token
        self.limits = limits
        self.since = now
        self.taken_over = taken_over
        self.starts = 0
        self.upstreams: dict[str, Upstream] = {}
        self.listed = False
        self.services: dict[str, list[Upstream]] = {}
        self.waiting: list[Waiting] = []
        # Offers of tasks that an earlier owner may have started.
        self.resuming: list[tuple[str, Offer, float]] = []
        self.runs: dict[tuple[str, int], Run] = {}
        self.job_runs: dict[str, set[Run]] = {}
        self.entries: dict[str, str] = {}
        # Entries whose link is closed, with the time at which their runs are stopped.
        self.lost_entries: dict[str, float] = {}
        self.results: dict[tuple[str, int], tuple[TaskResult, str, float]] = {}
        self.run_times: dict[str, RunTimeEstimator] = {}
        self.ownership_lost = False

    def handle(self, event: OwnerEvent, now: float) -> list[OwnerEffect]:
        """Take an event at time `now` and return the effects to carry out."""
        effects: list[OwnerEffect] = []
        on_event(event, self, now, effects)
        self.place(now, effects)
        return effects

    # Upstreams

    def next_poll(self, name, now) -> PollOrder | None:
        """Return the next hold order of an upstream, or None if it is gone.

        An upstream that did not answer is asked without a renewal, so that its
        runs certainly end when the lease does.
        """
        upstream = self.upstreams.get(name)
        if upstream is None or self.ownership_lost:
            return None
        deadline = None
        if upstream.answered and not upstream.suspect:
            deadline = upstream.deadline_ms(now)
            upstream.granted(deadline)
        wait_s = 0.0
        if deadline is not None:
            limits = self.limits
            wait_s = limits.busy_poll_wait_s if upstream.runs else limits.poll_wait_s
        return self.poll_order(upstream, deadline, wait_s)

    def poll_order(self, upstream: Upstream, deadline_ms, wait_s) -> PollOrder:
        """Return an order to hold an upstream."""
        return PollOrder(
            upstream=upstream.name,
            address=upstream.record.address,
            token=upstream.fence(self.token),
            acknowledged=upstream.acknowledged,
            deadline_ms=deadline_ms,
            wait_ms=int(wait_s * MS),
            timeout_s=wait_s + self.limits.poll_margin_s,
        )

    def list_runs(self, upstream: Upstream, effects):
        """Ask an upstream at once what runs, beside the hold that waits."""
        effects.append(self.poll_order(upstream, None, 0.0))

    def drop_upstream(self, upstream: Upstream, now, effects):
        """Forget an upstream that is gone, with its runs."""
        for run in list(upstream.runs.values()):
            self.finish(run, TaskResult.LOST, now, effects)
        self.upstreams.pop(upstream.name, None)
        self.index_services()

    def index_services(self):
        """Group the upstreams by service."""
        self.services = {}
        for upstream in self.upstreams.values():
            self.services.setdefault(upstream.record.service, []).append(upstream)

    # Runs

    def times(self, queue) -> RunTimeEstimator:
        """Return the learned run times of a queue."""
        if queue not in self.run_times:
            self.run_times[queue] = RunTimeEstimator(DEFAULT_RUN_MS)
        return self.run_times[queue]

    def start(self, task: Waiting, upstream: Upstream, now, effects) -> RunId:
        """Order an upstream to start a task; return the id of the run."""
        self.starts += 1
        number = self.token * RUNS_PER_TOKEN + self.starts % RUNS_PER_TOKEN
        run_id = RunId(task.job.job_id, task.index, number)
        run = Run(
            run_id,
            upstream.name,
            task.job,
            task.entry,
            started_at=now,
            expected_s=task.expected_s,
            received_at=task.received_at,
            progress_at=now,
        )
        upstream.add(run)
        self.track(run)
        deadline = upstream.deadline_ms(now)
        upstream.granted(deadline)
        effects.append(
            StartOrder(
                upstream=upstream.name,
                address=upstream.record.address,
                token=upstream.fence(self.token),
                run_id=run_id,
                spec=task.job.spec,
                deadline_ms=deadline,
                timeout_s=self.limits.order_timeout_s,
            )
        )
        return run_id

    def track(self, run: Run):
        """Index a run by its task and job."""
        self.runs[run.run_id.job_id, run.run_id.index] = run
        self.job_runs.setdefault(run.run_id.job_id, set()).add(run)

    def untrack(self, run: Run):
        """Remove a run from the indexes and from its upstream."""
        key = run.run_id.job_id, run.run_id.index
        if self.runs.get(key) is run:
            del self.runs[key]
        siblings = self.job_runs.get(run.run_id.job_id)
        if siblings is not None:
            siblings.discard(run)
            if not siblings:
                del self.job_runs[run.run_id.job_id]
        upstream = self.upstreams.get(run.upstream)
        if upstream is not None:
            upstream.remove(run)

    def finish(self, run: Run, result: TaskResult, now, effects):
        """A run is over: report it, or let its task wait again."""
        self.untrack(run)
        key = run.run_id.job_id, run.run_id.index
        if run.entry is None or run.job is None:
            self.results[key] = (result, run.upstream, now)
            return
        if run.requeue and result == TaskResult.LOST:
            run.requeue = False
            self.enqueue(run.job, run.run_id.index, run.entry, run.received_at, ())
            return
        ended = TaskEnded(run.run_id.job_id, run.run_id.index, result, run.upstream)
        effects.append(SendToEntry(run.entry, ended))

    def stop(self, run: Run, now, effects):
        """Order the stop of a run; its room stays occupied until it is over."""
        upstream = self.upstreams.get(run.upstream)
        if upstream is None:
            return
        run.phase = RunPhase.STOPPING
        run.stop_sent_at = now
        effects.append(
            StopOrder(
                upstream=run.upstream,
                address=upstream.record.address,
                token=upstream.fence(self.token),
                run_id=run.run_id,
                timeout_s=self.limits.order_timeout_s,
            )
        )

    # Tasks

    def enqueue(self, job, index, entry, received_at, avoid):
        """Let a task wait for room."""
        expected_s = self.times(job.queue).expected_ms(job.estimate_ms) / MS
        task = Waiting(job, index, entry, received_at, expected_s, avoid)
        self.waiting.append(task)
        return task

    def place(self, now, effects):
        """Start waiting tasks, the most urgent first."""
        if not self.waiting or self.ownership_lost:
            return
        open_upstreams = self.upstreams_with_room(now)
        if not any(open_upstreams.values()):
            return
        top_speeds = {name: self.top_speed(name, now) for name in open_upstreams}
        self.waiting.sort(key=lambda task: order_key(task, now))
        left, started = [], {}
        for position, task in enumerate(self.waiting):
            service = task.job.service
            candidates = open_upstreams.get(service)
            if not candidates or position >= PLACED_PER_PASS:
                left.append(task)
                continue
            upstream = choose_upstream(task, candidates, top_speeds[service], now)
            if upstream is None:
                left.append(task)
                continue
            run_id = self.start(task, upstream, now, effects)
            started.setdefault((task.entry, task.job.job_id), []).append(
                (task, upstream, run_id)
            )
        self.waiting = left
        for (entry, job_id), placed in started.items():
            indexes = tuple(task.index for task, _, _ in placed)
            effects.append(SendToEntry(entry, TasksStarted(job_id, indexes)))
            effects.append(self.placement_note(job_id, placed, now))

    def upstreams_with_room(self, now):
        """Return the upstreams of each awaited service that have some room.

        With a long queue hardly any upstream has room; looking at each of 58 for
        each waiting task took more than a core.
        """
        least: dict[str, int] = {}
        for task in self.waiting:
            job = task.job
            least[job.service] = min(least.get(job.service, job.cpu), job.cpu)
        return {
            service: [
                u for u in self.services.get(service, ()) if has_room(u, cpu, now)
            ]
            for service, cpu in least.items()
        }

    def top_speed(self, service, now):
        """Return the highest speed of the usable upstreams of a service."""
        usable = (u for u in self.services.get(service, ()) if u.usable(now))
        return max((u.relative_speed() for u in usable), default=1.0)

    def placement_note(self, job_id, placed, now) -> LogEvent:
        """Return the log line of tasks that start, with what decided it."""
        first, _, run_id = placed[0]
        runs = " ".join(f"{task.index}@{upstream.name}" for task, upstream, _ in placed)
        fields = {
            "job_id": job_id,
            "runs": runs,
            "first_run": run_id.run,
            "age_ms": round((now - first.received_at) * MS),
            "expected_ms": round(first.expected_s * MS),
            "waiting": len(self.waiting),
            "token": self.token,
        }
        return LogEvent("tasks started", fields)

    def take_offer(self, entry, offer: Offer, now, effects):
        """Take over the tasks of an offer, or return them."""
        job = offer.job
        self.supersede(entry, job.job_id, effects)
        self.entries[job.job_id] = entry
        received_at = now - offer.age_s
        fresh = []
        for index in offer.indexes:
            if not self.attach(entry, job, index, received_at, effects):
                fresh.append(index)
        self.waiting = [
            w
            for w in self.waiting
            if w.job.job_id != job.job_id or w.index not in fresh
        ]
        if not fresh:
            return
        if offer.resumed and not self.earlier_runs_resolved(offer.members, now):
            rest = dataclasses.replace(offer, indexes=tuple(fresh))
            self.resuming.append((entry, rest, received_at))
            return
        self.admit(entry, offer, fresh, received_at, now, effects)

    def admit(self, entry, offer: Offer, indexes, received_at, now, effects):
        """Queue tasks; return those without room or without use."""
        job = offer.job
        if self.listed and not self.services.get(job.service):
            reason = ReturnReason.NO_SERVICE
            effects.append(
                SendToEntry(entry, TasksReturned(job.job_id, tuple(indexes), reason))
            )
            return
        tasks = [
            self.enqueue(job, index, entry, received_at, offer.avoid)
            for index in indexes
        ]
        if offer.committed and offer.may_wait:
            return
        if offer.may_wait:
            self.refuse_hopeless(tasks, now, effects)
            return
        self.place(now, effects)
        self.give_back([t for t in tasks if t in self.waiting], now, effects)

    def refuse_hopeless(self, tasks, now, effects):
        """Return the tasks of a job that would end too late to be of use."""
        first = tasks[0]
        key = order_key(first, now)
        ahead = [w for w in self.waiting if w not in tasks and order_key(w, now) < key]
        delay = delay_s(ahead, self.total_cpu(first.job.service, now))
        if is_hopeless(first, now + delay):
            self.give_back(tasks, now, effects, ReturnReason.OVERLOADED, delay)

    def give_back(
        self, tasks, now, effects, reason=ReturnReason.NO_CAPACITY, delay=0.0
    ):
        """Return waiting tasks of one job to its entry."""
        if not tasks:
            return
        self.waiting = [task for task in self.waiting if task not in tasks]
        job_id, entry = tasks[0].job.job_id, tasks[0].entry
        indexes = tuple(task.index for task in tasks)
        retry_after = max(RETRY_AFTER_MIN_S, delay)
        effects.append(
            SendToEntry(entry, TasksReturned(job_id, indexes, reason, retry_after))
        )
        if reason != ReturnReason.NO_CAPACITY:
            note = {
                "job_id": job_id,
                "tasks": len(indexes),
                "reason": reason,
                "delay_s": round(delay, 3),
                "waiting": len(self.waiting),
            }
            effects.append(LogEvent("tasks returned", note))

    def total_cpu(self, service, now):
        """Return the cores of the usable upstreams of a service, in thousandths."""
        members = self.services.get(service, ())
        return sum(u.record.cpu for u in members if u.answered and not u.suspect)

    def supersede(self, entry, job_id, effects):
        """Tell an earlier entry that its caller has asked again elsewhere."""
        earlier = self.entries.get(job_id)
        if earlier is None or earlier == entry:
            return
        self.waiting = [w for w in self.waiting if w.job.job_id != job_id]
        reason = ReturnReason.SUPERSEDED
        effects.append(SendToEntry(earlier, TasksReturned(job_id, (), reason)))

    def attach(self, entry, job, index, received_at, effects) -> bool:
        """Tie a run or a result that is already there to an offered task."""
        run = self.runs.get((job.job_id, index))
        if run is not None:
            upstream = self.upstreams[run.upstream]
            if run.job is None:
                run.expected_s = self.times(job.queue).expected_ms(job.estimate_ms) / MS
            upstream.claim(run, job, entry)
            run.received_at = received_at
            run.requeue = run.phase in (RunPhase.STOPPING, RunPhase.UNKNOWN)
            return True
        kept = self.results.get((job.job_id, index))
        if kept is not None and kept[0] == TaskResult.DONE:
            effects.append(
                SendToEntry(entry, TaskEnded(job.job_id, index, kept[0], kept[1]))
            )
            return True
        return False

    def earlier_runs_resolved(self, members, now) -> bool:
        """Whether every run of an earlier owner is known or over.

        Upstreams that the list lacks may still run something: their entries expire
        while they are cut off from the store. The earlier owner stops renewing once
        it sees the higher token, at the latest with the next hold of any upstream.
        """
        if not self.taken_over:
            return True
        over_s = self.limits.lease_expiry_s() + self.limits.link_timeout_s
        if now - self.since > over_s:
            return True
        named = all(name in self.upstreams for name in members)
        return named and all(upstream.answered for upstream in self.upstreams.values())

    def resume(self, now, effects):
        """Admit the resumed offers once earlier runs are known."""
        resuming, self.resuming = self.resuming, []
        for entry, offer, received_at in resuming:
            if not self.earlier_runs_resolved(offer.members, now):
                self.resuming.append((entry, offer, received_at))
                continue
            fresh = [
                index
                for index in offer.indexes
                if not self.attach(entry, offer.job, index, received_at, effects)
            ]
            if fresh:
                self.admit(entry, offer, fresh, received_at, now, effects)

    def release(self, job_id, now, effects):
        """Stop what runs and forget what waits of a job that nobody waits for."""
        self.entries.pop(job_id, None)
        self.waiting = [w for w in self.waiting if w.job.job_id != job_id]
        self.resuming = [r for r in self.resuming if r[1].job.job_id != job_id]
        for run in list(self.job_runs.get(job_id, ())):
            run.entry = None
            run.requeue = False
            if run.phase != RunPhase.STOPPING:
                self.stop(run, now, effects)

    def upstream_names(self) -> UpstreamNames:
        """Return the names of the cell's upstreams for the entries."""
        return UpstreamNames(tuple(self.upstreams))

    def capacity_report(self, now) -> CapacityReport:
        """Return the state of the cell for the entries."""
        free = sum(u.free_cpu(now) for u in self.upstreams.values())
        total = sum(u.record.cpu for u in self.upstreams.values() if u.usable(now))
        work = sum(task.core_s() for task in self.waiting)
        return CapacityReport(self.cell, self.token, free, total, work)
