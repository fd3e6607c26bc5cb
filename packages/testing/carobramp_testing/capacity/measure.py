"""Measures the slopes, in this process or with one real daemon."""

import asyncio
import gc
import os
import random
import statistics
import time
import tracemalloc

from carobramp_core.dispatch.engine import Dispatcher
from carobramp_core.dispatch.messages import (
    DeploymentStateChanged,
    Job,
    JobSubmitted,
    StartTask,
    TaskDone,
    TaskOutcomeReceived,
    UpstreamReport,
)
from carobramp_core.tickets.state import DeploymentState, content_digest
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.peers import PeerChannelPool, PeerHandlers, PeerServer
from carobramp_schema import encode
from carobramp_schema.generated.peer_pb2 import PeerStatus
from carobramp_schema.generated.settings import DispatchSettings
from carobramp_schema.generated.ticket import (
    ServiceChange,
    TeamChange,
    TeamState,
    Ticket,
    TicketRecord,
    UpstreamChange,
    UpstreamState,
)
from carobramp_testing.builders import job_request, service_state, vm_settings
from carobramp_testing.capacity.size import DESIGN_SIZE
from carobramp_testing.processes import Deployment

REPEATS = 5
FEW_UPSTREAMS = 200
TEAMS_LOW = 10
EXCHANGES = 300
JOBS = 400
TASKS_OF_LARGE_JOB = 40
PATH_JOBS = 300
PATH_WAVE = 8
RUN_MS = 2


def upstream_change(index, based_on=0):
    """Return the change that sets one upstream."""
    zone = f"zone-{index % DESIGN_SIZE.zones}"
    state = UpstreamState(
        "order-desk", f"10.0.{index // 250}.{index % 250}", 9000, zone, "rack-1", 8
    )
    return UpstreamChange(f"up-{index:04d}", based_on, state)


def deployment_state(upstreams, teams=0):
    """Return a state with one service and the given numbers of objects."""
    ticket = Ticket(
        1,
        "operator",
        services=[ServiceChange("order-desk", 0, service_state())],
        upstreams=[upstream_change(index) for index in range(upstreams)],
        teams=[TeamChange(f"team-{n}", 0, TeamState(100)) for n in range(teams)],
    )
    return DeploymentState().apply(ticket)


def memory_of(build):
    """Return the bytes that the result of `build` keeps."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def cpu_us(action, count):
    """Return the median CPU time of `action` per unit, in microseconds."""
    samples = []
    for _ in range(REPEATS):
        begin = time.process_time()
        action()
        samples.append((time.process_time() - begin) / count * 1e6)
    return statistics.median(samples)


def measure_state():
    """Slopes of the state in force and of tickets."""
    many = DESIGN_SIZE.upstreams
    base = memory_of(lambda: deployment_state(FEW_UPSTREAMS))
    full = memory_of(lambda: deployment_state(many))
    teams_low = memory_of(lambda: deployment_state(1, TEAMS_LOW))
    teams = memory_of(lambda: deployment_state(1, DESIGN_SIZE.teams))
    state = deployment_state(many, DESIGN_SIZE.teams)
    ticket = Ticket(2, "operator", upstreams=[upstream_change(7, based_on=1)])
    record = TicketRecord(ticket, content_digest(ticket), state.digest(), 0)
    return {
        "state_bytes_per_upstream": (full - base) / (many - FEW_UPSTREAMS),
        "state_bytes_per_team": (teams - teams_low) / (DESIGN_SIZE.teams - TEAMS_LOW),
        "record_bytes_per_ticket": float(len(encode(record))),
        "apply_us_per_ticket": cpu_us(lambda: state.apply(ticket).digest(), 1),
    }


def peer_status(teams=0):
    """Return a status as a VM of the design size sends it."""
    return PeerStatus(
        vm="zone-10-vm-3",
        availability_zone="zone-10",
        incarnation="0123456789abcdef",
        host="10.20.30.40",
        peer_port=8081,
        caller_port=8080,
        state_number=1_000_000,
        state_digest="0" * 64,
        heard_number=1_000_000,
        live_peers=DESIGN_SIZE.vms - 1,
        team_loads=[value for n in range(teams) for value in (n, 50, 500)],
        with_loads=teams > 0,
    )


async def measure_heartbeat():
    """Slopes of a heartbeat exchange through a counting connection."""
    handlers = PeerHandlers()

    async def heartbeat(request):
        return peer_status()

    handlers.heartbeat = heartbeat
    settings = vm_settings("vm-1", "http://127.0.0.1:1")
    log = Log("peer", "vm-1")
    server = PeerServer(settings, handlers, Metrics(), log)
    clients = PeerChannelPool(settings, Metrics(), log)
    counter = ByteCounter()
    await server.start()
    await counter.start("127.0.0.1", server.port)
    await clients.start()
    try:
        return await exchange(clients, server, counter)
    finally:
        await clients.stop()
        await counter.stop()
        await server.stop()


async def exchange(clients, server, counter):
    """Return the slopes of a number of heartbeat exchanges."""
    address = counter.address
    await clients.call(address, "Heartbeat", peer_status(), 5)
    counter.size = 0
    for _ in range(EXCHANGES):
        await clients.call(address, "Heartbeat", peer_status(), 5)
    size = counter.size / EXCHANGES
    direct = ("127.0.0.1", server.port)
    await clients.call(direct, "Heartbeat", peer_status(), 5)
    begin = time.process_time()
    for _ in range(EXCHANGES):
        await clients.call(direct, "Heartbeat", peer_status(), 5)
    both_sides = (time.process_time() - begin) / EXCHANGES * 1e6
    teams = DESIGN_SIZE.teams
    per_team = (peer_status(teams).ByteSize() - peer_status().ByteSize()) / teams
    return {
        "heartbeat_wire_bytes": size,
        "load_bytes_per_team": per_team,
        "heartbeat_cpu_us": both_sides / 2,
    }


class ByteCounter:
    """Forwards connections and counts the bytes of both directions."""

    def __init__(self):
        self.size = 0
        self.target = ("", 0)
        self.address = ("", 0)
        self.server = None

    async def start(self, host, port):
        """Listen and forward to an address."""
        self.target = (host, port)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def stop(self):
        """Stop listening."""
        self.server.close()

    async def serve(self, reader, writer):
        """Forward one connection."""
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        await asyncio.gather(
            self.copy(reader, far_writer), self.copy(far_reader, writer)
        )

    async def copy(self, reader, writer):
        """Copy and count one direction."""
        while data := await reader.read(65536):
            self.size += len(data)
            writer.write(data)
        writer.close()


def run_jobs(dispatcher, count, tasks, clock):
    """Submit jobs at the peak rate of one VM and answer their tasks at once."""
    for number in range(count):
        clock[0] += tasks / DESIGN_SIZE.vm_starts_per_s
        now = clock[0]
        job = Job(
            submission_id=f"{clock[0]:.4f}:{number}",
            service="order-desk",
            team=f"team-{number % DESIGN_SIZE.teams}",
            priority_class="interactive",
            received_at=now,
            deadline=now + 60,
            idempotent=True,
            payloads=(None,) * tasks,
            declared_run_ms=(50.0,) * tasks,
        )
        effects = dispatcher.handle(JobSubmitted(job), now)
        while effects:
            effects = answer_starts(dispatcher, effects, now)


def answer_starts(dispatcher, effects, now):
    """Answer every started task and return the effects of the answers."""
    result = []
    report = UpstreamReport(busy=0, slots=8, leaving=False)
    for effect in effects:
        if isinstance(effect, StartTask):
            outcome = TaskDone(None, 50.0)
            event = TaskOutcomeReceived(
                effect.task_id, effect.upstream, outcome, report
            )
            result += dispatcher.handle(event, now + 0.05)
    return result


def measure_dispatch():
    """Slopes of the decisions of dispatch at full size."""
    dispatcher = new_dispatcher()
    state = deployment_state(DESIGN_SIZE.upstreams, DESIGN_SIZE.teams)
    dispatcher.handle(DeploymentStateChanged(state), 0.0)
    clock = [1.0]
    run_jobs(dispatcher, JOBS, 1, clock)
    small = cpu_us(lambda: run_jobs(dispatcher, JOBS, 1, clock), JOBS)
    few = JOBS // 10
    large = cpu_us(lambda: run_jobs(dispatcher, few, TASKS_OF_LARGE_JOB, clock), few)
    per_task = (large - small) / (TASKS_OF_LARGE_JOB - 1)
    return {
        "dispatch_us_per_task": per_task,
        "dispatch_us_per_job": max(0.0, small - per_task),
    }


def new_dispatcher():
    """Return a dispatcher of a VM of the first zone."""
    return Dispatcher(DispatchSettings(seed=1), random.Random(1), "zone-0", "vm-1")


def process_cpu_s(pid):
    """Return the CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def process_rss_mb(pid):
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure_daemon():
    """Slopes of a whole daemon, as a process."""
    async with Deployment(speeds=(1.0,) * 8, slots=8) as deployment:
        vm = next(iter(deployment.vms))
        pid = deployment.vms[vm].child.pid
        rss = process_rss_mb(pid)
        await submit_jobs(deployment, vm, 1)
        small = await cpu_per_job(deployment, vm, pid, 1)
        large = await cpu_per_job(deployment, vm, pid, TASKS_OF_LARGE_JOB)
    per_task = (large - small) / (TASKS_OF_LARGE_JOB - 1)
    return {
        "path_us_per_task": per_task,
        "path_us_per_job": max(0.0, small - per_task),
        "daemon_rss_mb": rss,
    }


async def cpu_per_job(deployment, vm, pid, tasks):
    """Return the daemon's CPU time per job in microseconds."""
    begin = process_cpu_s(pid)
    await submit_jobs(deployment, vm, tasks)
    return (process_cpu_s(pid) - begin) / PATH_JOBS * 1e6


async def submit_jobs(deployment, vm, tasks):
    """Submit jobs, some at a time."""
    request = job_request(tasks=tasks, run_ms=RUN_MS)
    for _ in range(PATH_JOBS // PATH_WAVE):
        calls = (deployment.submit(vm, request) for _ in range(PATH_WAVE))
        await asyncio.gather(*calls)


async def measure_all():
    """Return all slopes by name."""
    return {
        **measure_state(),
        **await measure_heartbeat(),
        **measure_dispatch(),
        **await measure_daemon(),
    }
