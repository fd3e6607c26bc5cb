"""State machine of the owner of a cell: takes events, returns orders and messages.

Explanation
===========

A run occupies capacity from its start order until its end is certain: the upstream
lists the end, a listing requested after the order was resolved lacks the run, or the
lease has expired. An order without an answer may have taken effect.
"""

import dataclasses
import math
from collections.abc import Iterable

from carobramp_core.cells.admission import admit_tasks
from carobramp_core.cells.crash_records import CrashRecords
from carobramp_core.cells.evacuation import (
    NO_EVACUATIONS,
    Evacuations,
    is_evacuated,
)
from carobramp_core.cells.event_handlers import on_event
from carobramp_core.cells.fair_share import FairShare
from carobramp_core.cells.lease_limits import LeaseLimits, Predecessor
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import (
    CapacityReport,
    JobCancelled,
    Offer,
    ReturnReason,
    ServiceRoom,
    TaskEnded,
    TaskResult,
    TasksReturned,
    UpstreamLoss,
    UpstreamNames,
)
from carobramp_core.cells.orders import (
    OwnerEffect,
    OwnerEvent,
    PollOrder,
    RunId,
    SendToEntry,
    StartOrder,
    StopOrder,
)
from carobramp_core.cells.placement import (
    WaitingTask,
)
from carobramp_core.cells.resumed_offers import replace_resumed_offers
from carobramp_core.cells.return_times import ReturnTimes
from carobramp_core.cells.service_rooms import OfferedSizes, service_rooms
from carobramp_core.cells.task_starts import place_tasks
from carobramp_core.cells.upstreams import Run, RunPhase, Upstream
from carobramp_core.run_time_estimator import RunTimeEstimator
from carobramp_schema.generated.scheduling import SchedulingSettings

DEFAULT_RUN_MS = 200.0
UNKNOWN_PREDECESSOR = Predecessor()
# Run numbers that one fencing token provides; runs of a later owner always have higher
# numbers. They wrap around after half an hour at 500 starts per second, when the tasks
# with the first numbers have ended.
RUNS_PER_TOKEN = 1 << 20
MS_PER_S = 1000


class CellOwner:
    """State of a cell at its owner.

    Parameters
    ==========

    cell : availability zone of the upstreams
    token : fencing token of this owner, higher than those of earlier owners; orders
        carry a token derived from it, see `Upstream.fencing_token`
    taken_over : whether an earlier owner may have left runs behind
    losses : losses of upstreams that the daemon of this owner knows
    predecessor : what the daemon of this owner knows of the earlier owner
    evacuations : evacuated zones; None while the process has not read the requests,
        and then nothing starts
    """

    def __init__(
        self,
        cell,
        token,
        limits: CellLimits,
        now,
        taken_over=True,
        losses: Iterable[UpstreamLoss] = (),
        predecessor: Predecessor = UNKNOWN_PREDECESSOR,
        scheduling: SchedulingSettings | None = None,
        evacuations: Evacuations | None = NO_EVACUATIONS,
    ):
        self.cell = cell
        self.token = token
        self.limits = limits
        self.owned_since = now
        self.taken_over = taken_over
        self.predecessor = predecessor
        self.scheduling = scheduling or SchedulingSettings()
        self.evacuations = evacuations
        self.start_count = 0
        self.upstreams: dict[str, Upstream] = {}
        # Whether the list of upstreams has been read.
        self.upstreams_listed = False
        self.upstreams_by_service: dict[str, list[Upstream]] = {}
        self.waiting: list[WaitingTask] = []
        # Offers of tasks that an earlier owner may have started, each with its entry
        # and the time at which the entry received the job.
        self.resumed_offers: list[tuple[str, Offer, float]] = []
        # Runs by job id and index of the task.
        self.runs: dict[tuple[str, int], Run] = {}
        self.runs_by_job: dict[str, set[Run]] = {}
        self.entry_by_job: dict[str, str] = {}
        # Entries whose link has closed, with the time at which their runs are stopped.
        self.disconnected_entries: dict[str, float] = {}
        # Results for which no entry waited, each with the upstream and the time of the
        # result, by job id and index of the task.
        self.results: dict[tuple[str, int], tuple[TaskResult, str, float]] = {}
        # Jobs that callers have cancelled, with the time of each cancellation.
        self.cancelled_jobs: dict[str, float] = {}
        # Estimators by queue.
        self.run_time_estimators: dict[str, RunTimeEstimator] = {}
        self.fair_share = FairShare()
        self.ownership_lost = False
        self.return_times = ReturnTimes()
        self.offered_sizes = OfferedSizes()
        self.crash_records = CrashRecords()
        self.crash_records.record(losses, now)

    def handle(self, event: OwnerEvent, now: float) -> list[OwnerEffect]:
        """Process an event at time `now` and return the effects to carry out."""
        effects: list[OwnerEffect] = []
        on_event(event, self, now, effects)
        self.place_tasks(now, effects)
        return effects

    # Upstreams

    def next_poll(self, name, now) -> PollOrder | None:
        """Return the next poll order of an upstream.

        Returns None if the upstream was removed or the ownership is lost. An upstream
        that did not answer is polled without renewing its lease, so that its runs end
        at the latest when the lease expires.
        """
        upstream = self.upstreams.get(name)
        if upstream is None or self.ownership_lost:
            return None
        if not upstream.answered or upstream.suspect:
            return self.poll_order(upstream, None, 0.0)
        deadline_ms = upstream.lease_deadline_ms(now)
        if deadline_ms is not None:
            upstream.record_lease(deadline_ms)
        limits = self.limits
        wait_s = limits.busy_poll_wait_s if upstream.runs else limits.poll_wait_s
        return self.poll_order(upstream, deadline_ms, wait_s)

    def poll_order(self, upstream: Upstream, deadline_ms, wait_s) -> PollOrder:
        """Return an order to poll an upstream; `deadline_ms` None renews no lease."""
        return PollOrder(
            upstream=upstream.name,
            address=upstream.record.address,
            token=upstream.fencing_token(self.token),
            acknowledged=upstream.acknowledged,
            deadline_ms=deadline_ms,
            wait_ms=int(wait_s * MS_PER_S),
            timeout_s=wait_s + self.limits.poll_margin_s,
        )

    def request_listing(self, upstream: Upstream, effects):
        """Request a listing at once, in addition to the poll that is in flight."""
        effects.append(self.poll_order(upstream, None, 0.0))

    def remove_upstream(self, upstream: Upstream, now, effects):
        """Remove an upstream, whose remaining runs are over."""
        for run in list(upstream.runs.values()):
            self.finish_run(run, TaskResult.LOST, now, effects)
        self.upstreams.pop(upstream.name, None)
        self.index_services()

    def index_services(self):
        """Rebuild `upstreams_by_service`."""
        self.upstreams_by_service = {}
        for upstream in self.upstreams.values():
            self.upstreams_by_service.setdefault(upstream.record.service, []).append(
                upstream
            )

    # Runs

    def run_time_estimator(self, queue) -> RunTimeEstimator:
        """Return the run time estimator of a queue; create it on first use."""
        if queue not in self.run_time_estimators:
            self.run_time_estimators[queue] = RunTimeEstimator(DEFAULT_RUN_MS)
        return self.run_time_estimators[queue]

    def may_start(self) -> bool:
        """Return whether runs may start: the zone is known not to be evacuated."""
        if self.evacuations is None:
            return False
        return not is_evacuated(self.cell, self.evacuations)

    def start_task(self, task: WaitingTask, upstream: Upstream, now, effects) -> RunId:
        """Order an upstream to start a task and return the id of the new run."""
        assert self.may_start(), "nothing starts in an evacuated zone"
        self.start_count += 1
        number = self.token * RUNS_PER_TOKEN + self.start_count % RUNS_PER_TOKEN
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
            stalled_runs=task.stalled_runs,
        )
        upstream.add_run(run)
        self.index_run(run)
        deadline_ms = upstream.lease_deadline_ms(now)
        assert deadline_ms is not None, "runs start only where leases are renewed"
        upstream.record_lease(deadline_ms)
        effects.append(
            StartOrder(
                upstream=upstream.name,
                address=upstream.record.address,
                token=upstream.fencing_token(self.token),
                run_id=run_id,
                spec=task.job.spec,
                deadline_ms=deadline_ms,
                timeout_s=self.limits.order_timeout_s,
            )
        )
        return run_id

    def index_run(self, run: Run):
        """Index a run by its task and by its job."""
        self.runs[run.run_id.job_id, run.run_id.index] = run
        self.runs_by_job.setdefault(run.run_id.job_id, set()).add(run)

    def remove_run(self, run: Run):
        """Remove a run from the indexes and from its upstream."""
        key = run.run_id.job_id, run.run_id.index
        if self.runs.get(key) is run:
            del self.runs[key]
        siblings = self.runs_by_job.get(run.run_id.job_id)
        if siblings is not None:
            siblings.discard(run)
            if not siblings:
                del self.runs_by_job[run.run_id.job_id]
        upstream = self.upstreams.get(run.upstream)
        if upstream is not None:
            upstream.remove_run(run)

    def finish_run(self, run: Run, result: TaskResult, now, effects):
        """Remove a run that is over, then report its result or queue its task again.

        The result of a run for which no connected entry waits is kept for a later
        offer.
        """
        self.remove_run(run)
        key = run.run_id.job_id, run.run_id.index
        disconnected = run.entry in self.disconnected_entries
        if run.entry is None or run.job is None or disconnected:
            self.results[key] = (result, run.upstream, now)
            return
        given_up = self.crash_records.given_up_task(run.run_id.job_id) is not None
        if run.requeue and result == TaskResult.LOST and not given_up:
            run.requeue = False
            task = self.enqueue_task(
                run.job, run.run_id.index, run.entry, run.received_at, ()
            )
            task.stalled_runs = run.stalled_runs
            task.started = True
            return
        ended = TaskEnded(run.run_id.job_id, run.run_id.index, result, run.upstream)
        effects.append(SendToEntry(run.entry, ended))

    def stop_run(self, run: Run, now, effects):
        """Order the stop of a run; it occupies capacity until its end is certain."""
        upstream = self.upstreams.get(run.upstream)
        if upstream is None:
            return
        run.phase = RunPhase.STOPPING
        run.stop_sent_at = now
        effects.append(
            StopOrder(
                upstream=run.upstream,
                address=upstream.record.address,
                token=upstream.fencing_token(self.token),
                run_id=run.run_id,
                timeout_s=self.limits.order_timeout_s,
            )
        )

    def limit_unclaimed_lease(self, run: Run, now):
        """Limit the leases beside an adopted run until an entry claims it.

        Its entry may have been lost with the earlier owner or shortly before; the
        caller then sends the job again at a time that the adoption does not put off.
        """
        latest_end = min(
            now + self.limits.unclaimed_lease_s(),
            self.latest_end_of_earlier_leases(run.upstream),
        )
        self.upstreams[run.upstream].limit_lease(run, latest_end)

    def latest_end_of_earlier_leases(self, name) -> float:
        """Return when leases beside unclaimed runs of earlier owners end at the latest.

        The last of them may have adopted the runs itself; its limit still holds.
        """
        after_loss_s = self.limits.lease_end_after_takeover_s()
        return min(
            self.predecessor.heard_at + after_loss_s,
            self.predecessor.lease_limits.latest_end(name),
        )

    def lease_limits(self) -> LeaseLimits:
        """Return the limits that a successor of this owner has to keep.

        An upstream that has not answered yet may have runs that this owner would adopt.
        """
        ends = {}
        for name, upstream in self.upstreams.items():
            end = upstream.lease_limit()
            if self.taken_over and not upstream.answered:
                end = self.latest_end_of_earlier_leases(name)
            if end < math.inf:
                ends[name] = end
        return LeaseLimits(self.token, ends)

    def limit_leases_of_job(self, job_id, latest_end):
        """Limit the leases beside the runs of a job that its entry may give up."""
        for run in self.runs_by_job.get(job_id, ()):
            self.upstreams[run.upstream].limit_lease(run, latest_end)

    # Tasks

    def enqueue_task(self, job, index, entry, received_at, avoid):
        """Add a task to the waiting ones and return it."""
        expected_s = (
            self.run_time_estimator(job.queue).expected_ms(job.estimate_ms) / MS_PER_S
        )
        task = WaitingTask(job, index, entry, received_at, expected_s, avoid)
        self.waiting.append(task)
        return task

    def place_tasks(self, now, effects):
        """Start waiting tasks, the most urgent first."""
        place_tasks(self, now, effects)

    def handle_offer(self, entry, offer: Offer, now, effects):
        """Queue, start or return the offered tasks, or attach them to earlier runs."""
        job = offer.job
        if job.job_id in self.cancelled_jobs:
            effects.append(SendToEntry(entry, JobCancelled(job.job_id)))
            return
        self.crash_records.record(offer.losses, now)
        offer = replace_resumed_offers(self, entry, offer)
        self.supersede_entry(entry, job.job_id, effects)
        self.entry_by_job[job.job_id] = entry
        received_at = now - offer.age_s
        unstarted = []
        for index in offer.indexes:
            if not self.attach_earlier_run(entry, job, index, received_at, effects):
                unstarted.append(index)
        self.waiting = [
            w
            for w in self.waiting
            if w.job.job_id != job.job_id or w.index not in unstarted
        ]
        if not unstarted:
            return
        if offer.resumed and not self.earlier_runs_resolved(offer, now):
            remaining_offer = dataclasses.replace(offer, indexes=tuple(unstarted))
            self.resumed_offers.append((entry, remaining_offer, received_at))
            return
        if self.scheduling.expected_end_routing:
            self.offered_sizes.record(job, now)
        admit_tasks(self, entry, offer, unstarted, received_at, now, effects)

    def total_cpu(self, service, now):
        """Return the cores of a service's answering upstreams, in thousandths."""
        members = self.upstreams_by_service.get(service, ())
        return sum(u.record.cpu for u in members if u.answered and not u.suspect)

    def supersede_entry(self, entry, job_id, effects):
        """Drop the job's waiting tasks of another entry and notify that entry."""
        earlier_entry = self.entry_by_job.get(job_id)
        if earlier_entry is None or earlier_entry == entry:
            return
        self.waiting = [w for w in self.waiting if w.job.job_id != job_id]
        reason = ReturnReason.SUPERSEDED
        effects.append(SendToEntry(earlier_entry, TasksReturned(job_id, (), reason)))

    def attach_earlier_run(self, entry, job, index, received_at, effects) -> bool:
        """Attach an offered task to its active run or its kept result, if any.

        Returns whether there was one, so that the task must not be started.
        """
        run = self.runs.get((job.job_id, index))
        if run is not None:
            upstream = self.upstreams[run.upstream]
            if run.job is None:
                run.expected_s = (
                    self.run_time_estimator(job.queue).expected_ms(job.estimate_ms)
                    / MS_PER_S
                )
            upstream.claim_run(run, job, entry)
            if self.crash_records.is_suspect(job.job_id, index):
                upstream.isolated_runs.add(run.run_id)
            run.received_at = received_at
            run.requeue = run.phase in (RunPhase.STOPPING, RunPhase.UNKNOWN)
            return True
        result = self.results.get((job.job_id, index))
        if result is not None and result[0] == TaskResult.DONE:
            effects.append(
                SendToEntry(entry, TaskEnded(job.job_id, index, result[0], result[1]))
            )
            return True
        return False

    def earlier_runs_resolved(self, offer: Offer, now) -> bool:
        """Return whether every earlier run of the offered tasks is known or over.

        Only upstreams of the job's service can have one. Upstreams missing from the
        list may still have runs: their records expire while they are cut off from the
        store. The earlier owner stops renewing leases once an upstream rejects its
        lower token, at the latest in the next poll of an upstream.
        """
        if not self.taken_over:
            return True
        all_over_s = self.limits.lease_expiry_s() + self.limits.link_timeout_s
        if now - self.owned_since > all_over_s:
            return True
        all_known = all(name in self.upstreams for name in offer.members)
        members = self.upstreams_by_service.get(offer.job.service, ())
        return all_known and all(upstream.answered for upstream in members)

    def release_job(self, job_id, now, effects):
        """Stop the runs and drop the waiting tasks of a job that no entry needs."""
        self.entry_by_job.pop(job_id, None)
        self.waiting = [w for w in self.waiting if w.job.job_id != job_id]
        self.resumed_offers = [
            r for r in self.resumed_offers if r[1].job.job_id != job_id
        ]
        for run in list(self.runs_by_job.get(job_id, ())):
            run.entry = None
            run.requeue = False
            if run.phase != RunPhase.STOPPING:
                self.stop_run(run, now, effects)

    def cancel_job(self, job_id, now, effects):
        """Stop a job that a caller has cancelled, and tell its entry."""
        self.cancelled_jobs[job_id] = now
        entry = self.entry_by_job.get(job_id)
        if entry is not None:
            effects.append(SendToEntry(entry, JobCancelled(job_id)))
        latest_end = now + self.limits.lease_end_after_cancel_s()
        self.limit_leases_of_job(job_id, latest_end)
        self.release_job(job_id, now, effects)

    def upstream_names(self) -> UpstreamNames:
        """Return the message that names the cell's upstreams to an entry."""
        return UpstreamNames(tuple(self.upstreams))

    def capacity_report(self, now) -> CapacityReport:
        """Return the message that reports the cell's capacity to an entry."""
        free = sum(u.free_cpu(now) for u in self.upstreams.values())
        evacuated = is_evacuated(self.cell, self.evacuations)
        version = self.evacuations.version if self.evacuations else 0
        total = sum(u.record.cpu for u in self.upstreams.values() if u.is_usable(now))
        work_core_s = sum(task.core_s() for task in self.waiting)
        rooms: tuple[ServiceRoom, ...] = ()
        if self.scheduling.expected_end_routing and self.may_start():
            rooms = service_rooms(self, now)
        return CapacityReport(
            self.cell,
            self.token,
            free if self.may_start() else 0,
            total,
            work_core_s,
            evacuated,
            version,
            rooms,
        )
