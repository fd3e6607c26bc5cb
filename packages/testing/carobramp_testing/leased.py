"""Daemons on the stand-in of the users' platform, as processes on loopback."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import signal
import sys
import tempfile

import aiohttp

from carobramp_testing.processes import wait_for
from carobramp_testing.relay import Relay
from carobramp_testing.standins.leased import LeasedPlatform
from carobramp_testing.standins.leased.platform import HOST

SETTINGS = """
node_name = "{name}"
role = "entry"
ip = "{ip}"
zone = "{zone}"
region = "here"
port_range = [7720, 7735]
[zones]
{zones}
[listen]
front = "{ip}:8161"
ready = "{ip}:8167"
[bounds]
grace_s = 6
hold_max_ms = 1000
[platform]
address = "{store}"
"""
FRONT_PORT, READY_PORT, METRICS_PORT = 8161, 8167, 7735
CALL_PORT, LINK_PORT = 7720, 7721
# Daemons have the last numbers of their addresses from 1 on, their relays from here.
RELAY_NUMBER = 101
STOP_TIMEOUT_S = 8.0
# A probe without an answer is repeated, as the platform's balancer does.
READY_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
HTTP_OK = 200
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


async def new_relay(address):
    """Start a relay to an address."""
    host, _, port = address.rpartition(":")
    return await Relay(host, int(port)).start()


def address_of(relay):
    """Return the address on which a relay listens."""
    host, port = relay.address
    return f"{host}:{port}"


class Daemon:
    """One daemon process; `lock` is held from an end to the next start.

    Parameters
    ==========

    options : options of the interpreter
    environment : variables of the process, besides those of this one
    """

    def __init__(self, name, zone, ip, folder, options=(), environment=None):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.options = options
        self.environment = environment or {}
        self.child: asyncio.subprocess.Process | None = None
        self.lock = asyncio.Lock()

    def url(self, port=FRONT_PORT):
        """Return the URL of a port of the daemon."""
        return f"http://{self.ip}:{port}"

    async def start(self):
        """Start the process."""
        environment = {**os.environ, **self.environment}
        environment["CAROBRAMP_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.options,
                "-m",
                "carobramp_platform",
                stdout=log,
                stderr=log,
                env=environment,
                start_new_session=True,
            )

    def send_signal(self, number):
        """Send a signal, if the process still runs."""
        if self.child is not None and self.child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    async def end(self, number=signal.SIGKILL):
        """Send a signal and wait for the end of the process."""
        if self.child is None:
            return
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.child.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.child.wait()


class LeasedDeployment:
    """A stand-in platform with daemons in each availability zone.

    Parameters
    ==========

    daemons : number of daemons in each zone
    relays : whether daemons reach the store, the workers and each other through
        relays
    options, environment : those of each `Daemon`
    """

    def __init__(
        self,
        platform: LeasedPlatform,
        daemons=2,
        relays=False,
        options=(),
        environment=None,
    ):
        self.platform = platform
        self.options = options
        self.environment = environment
        self.per_zone = daemons
        self.relays = relays
        self.store_relays: dict[str, Relay] = {}
        self.worker_relays: dict[str, Relay] = {}
        # Relays of the ports on which a daemon listens for others.
        self.peer_relays: dict[str, list[Relay]] = {}
        self.folder = tempfile.TemporaryDirectory(prefix="carobramp-")
        self.daemons: dict[str, Daemon] = {}
        self.session: aiohttp.ClientSession

    async def __aenter__(self):
        """Start the platform and the daemons, and wait until they are ready."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        await self.platform.start()
        if self.relays:
            for worker in self.platform.workers.values():
                relay = await new_relay(worker.address)
                self.worker_relays[worker.name] = relay
                worker.address = address_of(relay)
                await self.platform.store.put("servers", worker.name, worker.entry())
        subnet = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}"
        zones = "\n".join(f'{zone} = "here"' for zone in self.platform.zones)
        folder = pathlib.Path(self.folder.name)
        for zone in self.platform.zones:
            for number in range(self.per_zone):
                place = len(self.daemons)
                ip = f"{subnet}.{place + 1}"
                name = f"{zone}-{number}"
                daemon = Daemon(name, zone, ip, folder, self.options, self.environment)
                store = self.platform.store.address
                if self.relays:
                    relay = await new_relay(store)
                    self.store_relays[daemon.name] = relay
                    store = address_of(relay)
                    await self.relay_peers(daemon, f"{subnet}.{RELAY_NUMBER + place}")
                text = SETTINGS.format(
                    name=daemon.name,
                    ip=ip,
                    zone=zone,
                    zones=zones,
                    store=store,
                )
                daemon.settings.write_text(text)
                self.daemons[daemon.name] = daemon
        await asyncio.gather(*(daemon.start() for daemon in self.daemons.values()))
        await wait_for(self.all_ready)
        return self

    async def relay_peers(self, daemon: Daemon, host):
        """Let other daemons reach a daemon at another host, through relays."""
        self.peer_relays[daemon.name] = [
            await Relay(daemon.ip, port).start(host, port)
            for port in (CALL_PORT, LINK_PORT)
        ]
        self.platform.store.aliases[daemon.ip] = host

    async def __aexit__(self, *_):
        """End everything that was started."""
        for daemon in self.daemons.values():
            daemon.send_signal(signal.SIGCONT)
        await asyncio.gather(*(daemon.end() for daemon in self.daemons.values()))
        relays = [*self.store_relays.values(), *self.worker_relays.values()]
        for relay in itertools.chain(relays, *self.peer_relays.values()):
            await relay.stop()
        await self.platform.stop()
        await self.session.close()
        self.folder.cleanup()

    async def ready(self, daemon: Daemon):
        """Whether a daemon says that it is ready."""
        try:
            url = daemon.url(READY_PORT) + "/-/ready"
            async with self.session.get(url, timeout=READY_TIMEOUT) as reply:
                return reply.status == HTTP_OK
        except CONNECTION_ERRORS:
            return False

    async def all_ready(self):
        """Whether all daemons reach every cell and every worker is held."""
        held = all(worker.token for worker in self.platform.workers.values())
        ready = [await self.ready(daemon) for daemon in self.daemons.values()]
        if not held or not all(ready):
            return False
        linked = f"carobramp_cells_linked {len(self.platform.zones)}"
        texts = [await self.metrics(daemon) for daemon in self.daemons.values()]
        return all(linked in text for text in texts)

    def owner(self, cell):
        """Return the daemon that owns a cell by the store, or None."""
        row = self.platform.store.value("fleet", f"cell/{cell}")
        return self.daemons.get(row["vm"]) if row else None

    async def submit(self, daemon: Daemon, job_id, body, queue="previews", timeout=10):
        """Send a job and return status and body; status 0 for no answer."""
        try:
            async with self.session.post(
                f"{daemon.url()}/{queue}/{job_id}",
                json=body,
                headers={"Host": HOST},
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as reply:
                return reply.status, await reply.json(content_type=None)
        except CONNECTION_ERRORS:
            return 0, None

    async def cancel(self, daemon: Daemon, job_id, queue="previews"):
        """Cancel a job and return the status; 0 for no answer."""
        try:
            async with self.session.delete(
                f"{daemon.url()}/{queue}/{job_id}", headers={"Host": HOST}
            ) as reply:
                return reply.status
        except CONNECTION_ERRORS:
            return 0

    async def metrics(self, daemon: Daemon):
        """Return the metrics of a daemon as text."""
        async with self.session.get(daemon.url(METRICS_PORT) + "/metrics") as reply:
            return await reply.text()
