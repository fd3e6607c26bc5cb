"""Starts the processes of a small deployment on loopback and ends them by id."""

import asyncio
import collections
import contextlib
import os
import signal
import sys
import tempfile

import aiohttp
import msgspec

from carobramp_schema import encode
from carobramp_schema.generated.settings import Settings
from carobramp_testing.builders import first_ticket, vm_settings
from carobramp_testing.links import Links

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 30
WAIT_TIMEOUT_S = 20
WAIT_POLL_S = 0.02
HTTP_OK = 200
ZONES = ("tilburg", "breda", "eindhoven")


def zone_of(vm):
    """Return the availability zone of an entry VM of a `Deployment`."""
    return vm.rsplit("-", 1)[0]


async def wait_for(condition, timeout=WAIT_TIMEOUT_S):
    """Wait until the coroutine function `condition` returns something true."""
    async with asyncio.timeout(timeout):
        while True:
            result = await condition()
            if result:
                return result
            await asyncio.sleep(WAIT_POLL_S)


class Process:
    """Child process that prints its addresses when it is ready."""

    def __init__(self, arguments, addresses=1, log_path=None):
        self.arguments = arguments
        self.count = addresses
        self.log_path = log_path
        self.addresses: list[tuple[str, int]] = []
        self.child = None

    async def start(self):
        """Start the process and wait for its addresses."""
        log = open(self.log_path, "ab") if self.log_path else asyncio.subprocess.DEVNULL  # noqa: ASYNC230, SIM115
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            start_new_session=True,
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(self.addresses) < self.count:
                self.read_address(await self.child.stdout.readline())
        return self

    def read_address(self, line):
        """Take one line of standard output."""
        words = line.decode().split()
        if not words:
            raise RuntimeError(f"{self.arguments} ended before it was ready")
        if words[0] == "listening":
            self.addresses.append((words[1], int(words[2])))

    def signal(self, number):
        """Send a signal to the process, if it still runs."""
        if self.child is not None and self.child.returncode is None:
            # The child may have been reaped before its status is set here.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    async def wait(self, timeout=STOP_TIMEOUT_S):
        """Wait for the end of the process and return its status."""
        async with asyncio.timeout(timeout):
            return await self.child.wait()

    async def kill(self):
        """End the process at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.child is not None:
            await self.child.wait()


class Deployment:
    """Platform, upstreams and entry VMs as processes on loopback.

    Parameters
    ==========

    zones : names of the availability zones
    vms_per_zone : entry VMs in each zone
    speeds : speed of each upstream of a zone
    slots : slots of each upstream
    settings : sections of the entry VMs' settings
    service : fields of the service's state
    links : whether links run through relays, so that they can be cut
    folder : folder that keeps the logs; none for a temporary one
    """

    def __init__(
        self,
        zones=ZONES[:1],
        vms_per_zone=1,
        speeds=(1.0,),
        slots=8,
        settings=None,
        service=None,
        links=False,
        folder=None,
    ):
        self.zones = zones
        self.vms_per_zone = vms_per_zone
        self.speeds = speeds
        self.slots = slots
        self.settings = settings or {}
        self.service = service or {}
        self.links = Links(zones) if links else None
        self.temporary = tempfile.TemporaryDirectory(prefix="carobramp-")
        self.folder = folder or self.temporary.name
        self.platform = None
        self.upstreams: dict[str, Process] = {}
        self.vms: dict[str, Process] = {}
        self.vm_settings: dict[str, Settings] = {}
        self.processes: list[Process] = []
        self.session = None

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exception):
        for process in reversed(self.processes):
            await process.kill()
        if self.links is not None:
            await self.links.stop()
        if self.session is not None:
            await self.session.close()
        self.temporary.cleanup()

    async def start(self):
        """Start everything and put the first ticket into force."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.platform = await self.launch(
            Process(["-m", "carobramp_testing.standins.platform"])
        )
        names = [f"{zone}-{n}" for zone in self.zones for n in range(self.vms_per_zone)]
        if self.links is not None:
            vm_zones = {name: zone_of(name) for name in names}
            await self.links.start(vm_zones, self.platform.addresses[0])
        for zone in self.zones:
            await self.start_upstreams(zone)
            if self.links is not None:
                await self.links.add_upstreams(zone, self.upstreams[zone].addresses)
        await asyncio.gather(*(self.start_vm(name) for name in names))
        await self.publish_members()
        await self.put_ticket(names[0], self.first_ticket())
        await asyncio.gather(*(self.wait_ready(name) for name in names))

    async def launch(self, process):
        """Start a process and keep it for the clean-up."""
        self.processes.append(process)
        return await process.start()

    async def start_upstreams(self, zone):
        """Start the upstreams of a zone in one process; again on the same ports."""
        speeds = ",".join(str(speed) for speed in self.speeds)
        arguments = ["-m", "carobramp_testing.standins.upstream"]
        arguments += ["--slots", str(self.slots), "--speeds", speeds]
        arguments += ["--log-starts", self.starts_path(zone)]
        if zone in self.upstreams:
            ports = (str(port) for _, port in self.upstreams[zone].addresses)
            arguments += ["--ports", ",".join(ports)]
        process = Process(arguments, addresses=len(self.speeds))
        self.upstreams[zone] = await self.launch(process)

    async def start_vm(self, name):
        """Start an entry VM; again after its end for a new incarnation."""
        settings = self.vm_settings.get(name) or self.first_settings(name)
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "wb") as file:  # noqa: ASYNC230
            file.write(encode(settings))
        arguments = ["-m", "carobramp_daemon.main", f"--settings={path}"]
        log_path = os.path.join(self.folder, f"{name}.log")
        process = Process(arguments, addresses=2, log_path=log_path)
        self.vms[name] = await self.launch(process)
        self.keep_ports(name)

    def first_settings(self, name):
        """Return the settings of an entry VM that has no ports yet."""
        zone = zone_of(name)
        sections = {k: dict(v) for k, v in self.settings.items()}
        url = self.platform_url
        if self.links is not None:
            host, port = self.links.platform[zone].address
            url = f"http://{host}:{port}"
            sections["peers"] = self.links.peer_settings(zone)
        self.vm_settings[name] = vm_settings(name, url, zone, **sections)
        return self.vm_settings[name]

    def keep_ports(self, name):
        """Let a VM that is started again listen on the same ports."""
        settings = self.vm_settings[name]
        (_, caller_port), (_, peer_port) = self.vms[name].addresses
        vm = msgspec.structs.replace(
            settings.vm, caller_port=caller_port, peer_port=peer_port
        )
        self.vm_settings[name] = msgspec.structs.replace(settings, vm=vm)
        if self.links is not None:
            self.links.set_peer_port(name, vm.host, peer_port)

    async def publish_members(self, leaving=()):
        """Give the platform's membership list the VMs that were started."""
        entries = [
            {
                "name": name,
                "host": settings.vm.host,
                "peer_port": settings.vm.peer_port,
                "availability_zone": settings.vm.availability_zone,
                "leaving": name in leaving,
            }
            for name, settings in self.vm_settings.items()
        ]
        await self.post_json(f"{self.platform_url}/members/set", {"vms": entries})

    @property
    def platform_url(self):
        """Base URL of the stand-in platform."""
        host, port = self.platform.addresses[0]
        return f"http://{host}:{port}"

    def url(self, vm):
        """Base URL of an entry VM for callers."""
        host, port = self.vms[vm].addresses[0]
        return f"http://{host}:{port}"

    def upstream_urls(self, zone=None):
        """Base URLs of the upstreams, of one zone or of all."""
        zones = [zone] if zone else self.zones
        addresses = [a for z in zones for a in self.upstreams[z].addresses]
        return [f"http://{host}:{port}" for host, port in addresses]

    def first_ticket(self):
        """Ticket that creates the service on all upstreams."""
        addresses = [
            (zone, host, port)
            for zone in self.zones
            for host, port in self.ticket_addresses(zone)
        ]
        return first_ticket(addresses, slots=self.slots, **self.service)

    def ticket_addresses(self, zone):
        """Return the addresses of a zone's upstreams as tickets give them."""
        if self.links is None:
            return self.upstreams[zone].addresses
        return [relay.address for relay in self.links.upstreams[zone]]

    async def put_ticket(self, vm, ticket):
        """Put a ticket at an entry VM; return status and body."""
        url = f"{self.url(vm)}/v1/tickets/{ticket.number}"
        async with self.session.put(url, data=encode(ticket)) as response:
            return response.status, await response.json(content_type=None)

    async def wait_ready(self, vm):
        """Wait until an entry VM is ready and has a ticket in force."""

        async def ready():
            status = await self.get_json(f"{self.url(vm)}/v1/status")
            return status["ready"] and status["state_number"] > 0

        await wait_for(ready)

    async def get_json(self, url):
        """Get a JSON document."""
        async with self.session.get(url) as response:
            return await response.json()

    async def post_json(self, url, body):
        """Post a JSON document."""
        async with self.session.post(url, json=body) as response:
            return await response.json()

    async def submit(self, vm, request, key="", session=None):
        """Submit a job; return status and body."""
        headers = {"Idempotency-Key": key} if key else {}
        url = f"{self.url(vm)}/v1/jobs"
        session = session or self.session
        async with session.post(url, data=encode(request), headers=headers) as response:
            return response.status, await response.json(content_type=None)

    async def new_id(self, vm):
        """Return a submission id issued by an entry VM."""
        body = await self.post_json(f"{self.url(vm)}/v1/submission-ids", {"count": 1})
        return body["ids"][0]

    def starts_path(self, zone):
        """Path of the file to which a zone's upstreams write each start."""
        return os.path.join(self.folder, f"starts-{zone}.log")

    def start_lines(self):
        """Yield zone, task id, index, request and start time of each start.

        The files hold the starts of upstreams that have ended, too.
        """
        for zone in self.zones:
            with open(self.starts_path(zone)) as file:
                for line in file:
                    task_id, index, received_at, started_at = line.split()
                    yield zone, task_id, int(index), float(received_at), started_at

    async def starts(self):
        """Return the number of starts of each task, over all upstreams."""
        return dict(collections.Counter(line[1] for line in self.start_lines()))

    async def records(self, zone=None):
        """Return what the running upstreams know of each task, by upstream URL."""
        urls = self.upstream_urls(zone)
        return {url: (await self.get_json(f"{url}/records"))["tasks"] for url in urls}

    async def set_faults(self, url, **faults):
        """Set the faults of the upstream or platform stand-in at `url`."""
        await self.post_json(f"{url}/faults", faults)

    def cut(self, zone, other):
        """Cut the links between the entry VMs of two zones."""
        for relay in self.links.between(zone, other):
            relay.cut()

    def mend(self, zone, other):
        """Mend the links between the entry VMs of two zones."""
        for relay in self.links.between(zone, other):
            relay.mend()

    def cut_platform(self, zone):
        """Cut the entry VMs of a zone off from the platform."""
        self.links.platform[zone].cut()

    def mend_platform(self, zone):
        """Connect the entry VMs of a zone to the platform again."""
        self.links.platform[zone].mend()

    def cut_upstreams(self, zone):
        """Cut the upstreams of a zone off from all entry VMs."""
        for relay in self.links.upstreams[zone]:
            relay.cut()

    def mend_upstreams(self, zone):
        """Connect the upstreams of a zone again."""
        for relay in self.links.upstreams[zone]:
            relay.mend()

    def freeze(self, vm):
        """Pause the process of an entry VM."""
        self.vms[vm].signal(signal.SIGSTOP)

    def thaw(self, vm):
        """Let a paused entry VM run again."""
        self.vms[vm].signal(signal.SIGCONT)

    async def kill(self, vm):
        """End an entry VM at once."""
        await self.vms[vm].kill()

    async def replace(self, vm):
        """End an entry VM at once and start a new incarnation at its addresses."""
        await self.kill(vm)
        await self.start_vm(vm)

    def terminate(self, vm):
        """Ask an entry VM for a planned stop."""
        self.vms[vm].signal(signal.SIGTERM)

    async def kill_upstreams(self, zone):
        """End the process of a zone's upstreams at once."""
        await self.upstreams[zone].kill()
