"""One chaos run: load, faults, tickets and the checks at the end."""

import asyncio
import collections
import dataclasses
import json
import os
import time

from carobramp_testing.callers import Callers
from carobramp_testing.chaos.callers import ChaosCallers
from carobramp_testing.chaos.injector import Injector
from carobramp_testing.chaos.leaving import Start, check_leaving
from carobramp_testing.chaos.operators import (
    CALL_TIMEOUT_S,
    NumberWatch,
    Operators,
    decreases,
)
from carobramp_testing.chaos.schedule import KINDS, Topology, schedule
from carobramp_testing.checker import HTTP_OK, Violation, check
from carobramp_testing.processes import ZONES, Deployment, wait_for

VMS_PER_ZONE = 2
SPEEDS = (1.0, 0.7)
IN_FORCE_S = 16.0
DRAIN_NOTICE_MS = 300
# The grace period, and the longest time that a link holds a request on its way.
LEAVING_ALLOWED_S = 3.0 + KINDS["hold_upstreams"].longest + 0.5
CALM_JOBS = 24
CALM_TIMEOUT_S = 90.0


@dataclasses.dataclass(frozen=True)
class Report:
    """Figures and violations of a run."""

    seed: int
    seconds: float
    submissions: int
    attempts: int
    tasks_started: int
    resubmissions: int
    cancels: int
    excused: int
    faults: dict[str, int]
    reasons: dict[str, int]
    tickets: dict[str, int]
    leaving_checked_s: float
    calm_after_s: float
    violations: tuple[Violation, ...]

    def lines(self):
        """Return the report as lines of text."""
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            if isinstance(value, dict):
                value = ", ".join(f"{k} {n}" for k, n in sorted(value.items()))
            if field.name != "violations":
                yield f"{field.name}: {value}"
        yield f"violations: {len(self.violations)}"
        for violation in self.violations:
            yield f"  {violation.invariant}: {violation.subject}: {violation.detail}"


class ChaosRun:
    """Parts of one run against a running deployment."""

    def __init__(self, deployment, seed, seconds):
        self.deployment = deployment
        self.seed = seed
        self.seconds = seconds
        self.callers = ChaosCallers(deployment, seed)
        self.injector = Injector(deployment, self.callers.cancel_wave)
        self.callers.excuse = self.injector.excuse
        self.operators = Operators(deployment, seed)
        self.watch = NumberWatch(deployment)
        self.starts = 0
        self.leaving_checked_s = 0.0
        self.violations: list[Violation] = []

    async def run(self) -> Report:
        """Run load, faults and tickets; then check everything."""
        topology = Topology(ZONES, tuple(self.deployment.vms), len(SPEEDS))
        faults = schedule(self.seed, self.seconds, topology)
        stop = asyncio.Event()
        watching = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch.run(watching))
            operators = group.create_task(self.operators.run(stop))
            load = group.create_task(self.callers.run(self.seconds))
            await self.injector.run(faults)
            await load
            stop.set()
            calm_after_s = await self.wait_calm()
            await self.check_tickets(operators)
            watching.set()
        await self.check_callers()
        self.check_leaving()
        return self.report(calm_after_s)

    async def wait_calm(self):
        """Wait until every VM serves again; return the time that it took."""
        calm = Callers(self.deployment)
        started = time.monotonic()

        async def served():
            attempts = await calm.submit_many(CALM_JOBS, deadline_ms=2000)
            return all(attempt.status == HTTP_OK for attempt in attempts)

        try:
            await wait_for(served, CALM_TIMEOUT_S)
        except TimeoutError:
            detail = f"not every job was served {CALM_TIMEOUT_S} s after the faults"
            self.violations.append(Violation("serves_again", "all VMs", detail))
        self.callers.attempts += calm.attempts
        return round(time.monotonic() - started, 1)

    async def check_tickets(self, operators):
        """Check that every accepted ticket comes into force and none reverts."""
        try:
            async with asyncio.timeout(IN_FORCE_S):
                await operators
        except TimeoutError:
            detail = f"no definite answer {IN_FORCE_S} s after the faults"
            self.violations.append(Violation("ticket_answer", "operators", detail))
        number = max(self.operators.accepted)
        late = await self.watch.converge(number, IN_FORCE_S)
        for vm, seen in late.items():
            detail = f"has ticket {seen}, not {number}, after {IN_FORCE_S} s"
            self.violations.append(Violation("in_force", vm, detail))
        for vm, pid in decreases(self.watch.samples):
            numbers = [number for _, number in self.watch.samples[vm, pid]]
            detail = f"process {pid}: {numbers}"
            self.violations.append(Violation("never_reverts", vm, detail))
        for detail in self.operators.violations():
            self.violations.append(Violation("one_ticket", "operators", detail))

    async def check_callers(self):
        """Check what callers saw against the upstreams' starts."""
        starts = await self.deployment.starts()
        self.starts = sum(starts.values())
        self.violations += check(self.callers.attempts, starts)
        for detail in self.injector.bad_stops:
            self.violations.append(Violation("planned_stop", "VM", detail))

    def check_leaving(self):
        """Check that upstreams that tickets let leave got no new work."""
        names = [(zone, n) for zone in ZONES for n in range(len(SPEEDS))]
        starts = [
            Start(task_id, f"up-{names.index((zone, index)):02d}", received_at)
            for zone, task_id, index, received_at, _ in self.deployment.start_lines()
        ]
        violations, self.leaving_checked_s = check_leaving(
            self.operators.leavings(),
            starts,
            self.watch.samples,
            LEAVING_ALLOWED_S,
            CALL_TIMEOUT_S,
        )
        self.violations += violations

    def report(self, calm_after_s):
        """Return the report."""
        attempts = self.callers.attempts
        reasons = collections.Counter(reason(attempt) for attempt in attempts)
        return Report(
            seed=self.seed,
            seconds=self.seconds,
            submissions=self.callers.submissions,
            attempts=len(attempts),
            tasks_started=self.starts,
            resubmissions=self.callers.resubmissions,
            cancels=self.callers.cancels,
            excused=sum(a.excused and not a.status for a in attempts),
            faults=dict(self.injector.injected),
            reasons=dict(reasons),
            tickets=dict(self.operators.answers),
            leaving_checked_s=round(self.leaving_checked_s, 1),
            calm_after_s=calm_after_s,
            violations=tuple(self.violations),
        )


def reason(attempt):
    """Return the reason of a failure, ``whole_answer`` or ``no_answer``."""
    if attempt.status == HTTP_OK:
        return "whole_answer"
    if not attempt.status:
        return "no_answer"
    return attempt.body.get("reason", f"status_{attempt.status}")


async def run_chaos(seed, seconds, logs="") -> Report:
    """Start a deployment of three zones and run chaos in it.

    Parameters
    ==========

    seed : seed of the schedule and of the callers' choices
    seconds : length of the load and the faults
    logs : folder that keeps the logs and what callers saw; empty for none
    """
    settings = {"drain": {"drain_notice_ms": DRAIN_NOTICE_MS}}
    deployment = Deployment(
        zones=ZONES,
        vms_per_zone=VMS_PER_ZONE,
        speeds=SPEEDS,
        settings=settings,
        links=True,
        folder=logs or None,
    )
    async with deployment:
        run = ChaosRun(deployment, seed, seconds)
        report = await run.run()
    if logs:
        write_attempts(os.path.join(logs, "attempts.jsonl"), run.callers.attempts)
    return report


def write_attempts(path, attempts):
    """Write what callers saw, one JSON object a line."""
    with open(path, "w") as file:
        for attempt in attempts:
            file.write(json.dumps(dataclasses.asdict(attempt)) + "\n")
