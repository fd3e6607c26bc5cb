"""One daemon among the peers and objects of the full size.

Explanation
===========

The daemon is a real process; its 119 peers are stubs in this process that answer its
heartbeats and send theirs at the rates of real ones. Every byte of its connections to
peers and to the platform passes a counter, so that the figure includes HTTP/2 and HTTP
headers, in both directions, without those of TCP and IP.
"""

import asyncio
import random
import tempfile
import time

import aiohttp

from carobramp_core.dispatch.messages import TeamLoad
from carobramp_daemon.heartbeats import encode_team_loads
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.peers import PeerChannelPool, PeerHandlers, PeerServer
from carobramp_schema import encode
from carobramp_schema.generated import peer_pb2
from carobramp_schema.generated.ticket import (
    ServiceChange,
    TeamChange,
    TeamState,
    Ticket,
)
from carobramp_testing.bench.run import process_cpu_s
from carobramp_testing.bench.ticket_slopes import TEAMS, upstream_change
from carobramp_testing.builders import service_state, vm_settings
from carobramp_testing.capacity.measure import ByteCounter, process_rss_mb
from carobramp_testing.processes import HTTP_OK, Process, wait_for

ZONES = 15
ZONE_VMS = 8
UPSTREAMS = 1800
SETTLE_S = 20.0
SECONDS = 40.0
TICKET_EVERY_S = 17.28
"""5,000 tickets a day."""

CORE_PERCENT = 3.3
MEMORY_MB = 64
BYTES_PER_S = 11_000
FAR_S = 4.0
"""Mean time between heartbeats from the VMs of one other zone to the daemon."""

ME = "z00-0"
TEAM_NAMES = [f"team-{number:03d}" for number in range(TEAMS)]
LIVE_TIMEOUT_S = 60


class Silent:
    """Log that writes nothing."""

    def info(self, message, **fields):
        """Drop a line."""


class Peers:
    """Stubs of all other VMs, each with a server behind a byte counter."""

    def __init__(self):
        self.rng = random.Random(1)
        self.names = [f"z{z:02d}-{n}" for z in range(ZONES) for n in range(ZONE_VMS)]
        self.names.remove(ME)
        self.apis = {}
        self.counters = {}
        self.number = 0
        self.digest = ""
        self.to_daemon = ByteCounter()
        self.clients = None

    async def start(self):
        """Start the servers."""
        for name in self.names:
            handlers = PeerHandlers(heartbeat=self.handler(name))
            handlers.notify_ticket = self.on_notify
            settings = vm_settings(name, "http://127.0.0.1:1", name[:3])
            api = PeerServer(settings, handlers, Metrics(), Silent())
            await api.on_start()
            counter = ByteCounter()
            await counter.start("127.0.0.1", api.port)
            self.apis[name], self.counters[name] = api, counter
        self.clients = PeerChannelPool(settings, Metrics(), Silent())

    async def stop(self):
        """Stop the servers."""
        await self.clients.on_stop()
        for name, api in self.apis.items():
            await self.counters[name].stop()
            await api.on_stop()

    def handler(self, name):
        """Return the handler of heartbeats to one stub."""

        async def answer(message):
            self.number = max(self.number, message.state_number)
            if message.state_number == self.number:
                self.digest = message.state_digest
            far = name[:3] != ME[:3]
            return self.status(name, with_loads=far or message.with_loads)

        return answer

    async def on_notify(self, message):
        """Answer a notice."""
        return peer_pb2.NotifyTicketReply()

    def status(self, name, with_loads):
        """Return the status of one stub, with the loads of all teams if asked."""
        loads = [
            TeamLoad(team, self.rng.randrange(9), self.rng.randrange(300))
            for team in TEAM_NAMES
        ]
        return peer_pb2.PeerStatus(
            vm=name,
            availability_zone=name[:3],
            incarnation="0123456789abcdef",
            host="127.0.0.1",
            peer_port=self.counters[name].address[1],
            state_number=self.number,
            state_digest=self.digest,
            heard_number=self.number,
            live_peers=ZONE_VMS - 1,
            with_loads=with_loads,
            team_loads=encode_team_loads(loads, TEAM_NAMES) if with_loads else [],
        )

    async def send_far(self, zone):
        """Send the heartbeats of another zone's VMs to the daemon, in turn."""
        turn = 0
        await asyncio.sleep(self.rng.uniform(0, FAR_S))
        while True:
            name = f"{zone}-{turn % ZONE_VMS}"
            turn += 1
            status = self.status(name, with_loads=False)
            await self.clients.call(self.to_daemon.address, "Heartbeat", status, 5)
            await asyncio.sleep(self.rng.uniform(0.9, 1.1) * FAR_S)

    def size(self):
        """Return the bytes moved between the daemon and its peers."""
        return self.to_daemon.size + sum(c.size for c in self.counters.values())

    def entries(self):
        """Return the platform's list."""
        return [
            {
                "name": name,
                "host": "127.0.0.1",
                "peer_port": counter.address[1],
                "availability_zone": name[:3],
                "leaving": False,
            }
            for name, counter in self.counters.items()
        ]


class FullSize:
    """The daemon, its platform and its peers."""

    def __init__(self, folder, session):
        self.folder = folder
        self.session = session
        self.peers = Peers()
        self.platform = Process(["-m", "carobramp_testing.standins.platform"])
        self.to_platform = ByteCounter()
        self.daemon = None
        self.url = ""
        self.number = 0
        self.tasks = []

    async def start(self):
        """Start everything and bring 1,800 upstreams into force."""
        await self.platform.start()
        await self.to_platform.start(*self.platform.addresses[0])
        await self.peers.start()
        host, port = self.platform.addresses[0]
        url = f"http://{host}:{port}/members/set"
        body = {"vms": self.peers.entries()}
        async with self.session.post(url, json=body) as response:
            await response.read()
        await self.start_daemon()
        for zone in range(1, ZONES):
            send = self.peers.send_far(f"z{zone:02d}")
            self.tasks.append(asyncio.create_task(send))

    async def start_daemon(self):
        """Start the daemon."""
        url = "http://{}:{}".format(*self.to_platform.address)
        settings = vm_settings(ME, url, ME[:3])
        path = f"{self.folder}/daemon.json"
        with open(path, "wb") as file:  # noqa: ASYNC230
            file.write(encode(settings))
        arguments = ["-m", "carobramp_daemon.main", f"--settings={path}"]
        log_path = f"{self.folder}/daemon.log"
        self.daemon = await Process(arguments, 2, log_path).start()
        self.url = "http://{}:{}".format(*self.daemon.addresses[0])
        await self.peers.to_daemon.start(*self.daemon.addresses[1])

    async def stop(self):
        """End the processes and the stubs."""
        for task in self.tasks:
            task.cancel()
        for process in (self.daemon, self.platform):
            if process is not None:
                await process.kill()
        await self.peers.stop()
        await self.peers.to_daemon.stop()
        await self.to_platform.stop()

    async def put(self, **changes):
        """Put a ticket."""
        self.number += 1
        ticket = Ticket(self.number, "operator", **changes)
        url = f"{self.url}/v1/tickets/{self.number}"
        async with self.session.put(url, data=encode(ticket)) as response:
            if response.status != HTTP_OK:
                raise RuntimeError(await response.text())

    async def fill(self):
        """Put the tickets that create all objects."""
        await self.put(
            services=[ServiceChange("order-desk", 0, service_state())],
            teams=[TeamChange(name, 0, TeamState(100)) for name in TEAM_NAMES],
        )
        await self.put(upstreams=[upstream_change(n, 0) for n in range(UPSTREAMS)])

    async def put_steadily(self):
        """Put tickets at the rate of the full size."""
        index = 0
        while True:
            await asyncio.sleep(TICKET_EVERY_S)
            await self.put(upstreams=[upstream_change(index, 2, 9)])
            index += 1

    async def all_live(self):
        """Whether the daemon has heard from a VM of every zone and its own zone."""
        async with self.session.get(f"{self.url}/v1/status") as response:
            live = (await response.json())["live_peers"]
        near = [name for name in live if name.startswith(ME[:3])]
        return len({name[:3] for name in live}) == ZONES and len(near) == ZONE_VMS - 1


async def measure_full_size(report):
    """Measure one daemon at the full size."""
    with tempfile.TemporaryDirectory(prefix="carobramp-") as folder:
        async with aiohttp.ClientSession() as session:
            world = FullSize(folder, session)
            try:
                await world.start()
                await world.fill()
                await wait_for(world.all_live, LIVE_TIMEOUT_S)
                await asyncio.sleep(SETTLE_S)
                await measure(report, world)
            finally:
                await world.stop()


async def measure(report, world):
    """Measure CPU time, memory and bytes over some time."""
    pid = world.daemon.child.pid
    world.tasks.append(asyncio.create_task(world.put_steadily()))
    begin = time.monotonic()
    cpu = process_cpu_s(pid)
    peers, platform = world.peers.size(), world.to_platform.size
    await asyncio.sleep(SECONDS)
    seconds = time.monotonic() - begin
    cpu = (process_cpu_s(pid) - cpu) / seconds * 100
    peers = (world.peers.size() - peers) / seconds
    platform = (world.to_platform.size - platform) / seconds
    report.line(
        f"full size: {ZONES * ZONE_VMS} VMs, {UPSTREAMS} upstreams, {TEAMS} teams with"
        f" tasks, a ticket each {TICKET_EVERY_S:g} s"
    )
    report.line(f"full size: peers {peers:.0f} B/s, platform {platform:.0f} B/s")
    report.bound("full size, CPU", cpu, CORE_PERCENT, "% of a core")
    report.bound("full size, memory", process_rss_mb(pid), MEMORY_MB, "MB")
    total = peers + platform
    report.bound("full size, bytes, both directions", total, BYTES_PER_S, "B/s")
