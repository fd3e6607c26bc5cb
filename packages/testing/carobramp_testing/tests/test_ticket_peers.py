"""Tickets in partitions and from bad peers, with real processes."""

import unittest

from carobramp_core.tickets.state import DeploymentState, content_digest, encode_state
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.peers import PeerHandlers, PeerServer
from carobramp_schema import encode
from carobramp_schema.generated import peer_pb2
from carobramp_schema.generated.ticket import (
    TicketRecord,
)
from carobramp_testing.builders import job_request, vm_settings
from carobramp_testing.processes import HTTP_OK, ZONES, Deployment, wait_for
from carobramp_testing.relay import Relay
from carobramp_testing.tests.ticket_case import (
    ALL_CALLS,
    FAST,
    TicketCase,
    team_ticket,
)


class CutOffDeployment(Deployment):
    """Deployment whose last VM reaches peers and platform only over relays."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.relays = {}
        self.cut_off = ""

    async def start(self):
        """Start the relays first, as settings name their addresses."""
        self.cut_off = f"{self.zones[-1]}-{self.vms_per_zone - 1}"
        names = [f"{zone}-{n}" for zone in self.zones for n in range(self.vms_per_zone)]
        for name in [*names, "platform"]:
            self.relays[name] = await Relay("127.0.0.1", 0).start()
        await super().start()

    async def __aexit__(self, *exception):
        for relay in self.relays.values():
            await relay.stop()
        await super().__aexit__(*exception)

    async def start_vm(self, name):
        """Start a VM that reaches the cut-off one, or from it, over a relay."""
        zone = name.rsplit("-", 1)[0]
        far = [n for n in self.relays if n not in (name, "platform")]
        others = far if name == self.cut_off else [self.cut_off]
        peers = [
            {
                "name": other,
                "host": self.relays[other].address[0],
                "peer_port": self.relays[other].address[1],
                "availability_zone": other.rsplit("-", 1)[0],
            }
            for other in others
        ]
        url = self.platform_url
        if name == self.cut_off:
            self.relays["platform"].target = self.platform.addresses[0]
            url = "http://{}:{}".format(*self.relays["platform"].address)
        if name not in self.vm_settings:
            sections = {k: dict(v) for k, v in self.settings.items()}
            self.vm_settings[name] = vm_settings(
                name, url, zone, peers=peers, **sections
            )
        await super().start_vm(name)
        self.relays[name].target = self.vms[name].addresses[1]

    def cut(self):
        """Cut the VM off from peers and platform."""
        for relay in self.relays.values():
            relay.cut()

    def mend(self):
        """Connect the VM again."""
        for relay in self.relays.values():
            relay.mend()


class PartitionTests(TicketCase):
    """A VM is cut off and comes back."""

    async def test_cut_off_vm_catches_up(self):
        """Guards against a VM that stays behind or reverts after a partition."""
        async with CutOffDeployment(
            zones=ZONES[:2], vms_per_zone=2, settings=FAST
        ) as deployment:
            await self.wait_all_peers(deployment)
            far = deployment.cut_off
            others = [vm for vm in deployment.vms if vm != far]
            watches = [self.watch(deployment, vm) for vm in deployment.vms]
            deployment.cut()
            for number in range(2, 7):
                vm = others[number % len(others)]
                await self.wait_number(deployment, number - 1, others)
                await self.accept(deployment, vm, team_ticket(number))
            await self.wait_peers(deployment, far, [])
            await self.wait_number(deployment, 6, others)
            status = await self.status(deployment, far)
            self.assertEqual((status["state_number"], status["ready"]), (1, True))
            code, body = await deployment.submit(far, job_request())
            self.assertEqual(code, HTTP_OK, body)
            code, body = await deployment.put_ticket(far, team_ticket(2))
            self.assertEqual(body["reason"], "platform_unavailable")
            found = await deployment.get_json(
                f"{deployment.url(others[0])}/v1/tickets/6"
            )
            self.assertEqual(found["cannot_be_asked"], [far])
            deployment.mend()
            await self.wait_number(deployment, 6)
            await self.wait_all_peers(deployment)
            await self.end_watch(*watches)


class StubPeer:
    """Peer in this process that answers with prepared messages."""

    def __init__(self, name, zone="tilburg"):
        self.handlers = PeerHandlers()
        self.settings = vm_settings(name, "http://127.0.0.1:1", zone)
        self.status = peer_pb2.PeerStatus(
            vm=name, availability_zone=zone, incarnation="abcd"
        )
        self.records = []
        self.chunks = []
        self.fetches = 0
        self.handlers.heartbeat = self.heartbeat
        self.handlers.fetch_tickets = self.fetch_tickets
        self.handlers.fetch_state = self.fetch_state
        self.api = PeerServer(self.settings, self.handlers, Metrics(), Silent())

    async def heartbeat(self, message):
        """Answer a heartbeat."""
        return self.status

    async def fetch_tickets(self, message):
        """Answer with the prepared records."""
        self.fetches += 1
        return peer_pb2.FetchTicketsReply(records=self.records)

    async def fetch_state(self, message):
        """Answer with the prepared chunks."""
        self.fetches += 1
        return self.chunks

    def peer_settings(self):
        """Return the settings section that names this peer."""
        vm = self.settings.vm
        return {
            "name": vm.name,
            "host": vm.host,
            "peer_port": self.api.port,
            "availability_zone": vm.availability_zone,
        }


class Silent:
    """Log that writes nothing."""

    def info(self, message, **fields):
        """Drop a line."""


class BadPeerTests(TicketCase):
    """Peers that send wrong data, or know of more than they have."""

    async def start_with(self, deployment, peer, name="victim"):
        """Start a VM that knows a stub peer."""
        deployment.vm_settings[name] = vm_settings(
            name,
            deployment.platform_url,
            peers=[peer.peer_settings()],
            **{k: dict(v) for k, v in FAST.items()},
        )
        await deployment.start_vm(name)

    async def test_state_behind(self):
        """Guards against starting with a state that a peer knows to be old."""
        peer = StubPeer("stub-0")
        await peer.api.on_start()
        state = DeploymentState().apply(team_ticket(1, based_on=0))
        data = encode_state(state)
        chunk = peer_pb2.StateChunk(number=1, digest=state.digest(), data=data)
        peer.chunks = [chunk]
        ticket = team_ticket(1, based_on=0)
        record = TicketRecord(ticket, content_digest(ticket), state.digest(), 0)
        peer.records = [encode(record)]
        peer.status.state_number = 1
        peer.status.state_digest = state.digest()
        peer.status.heard_number = 2
        try:
            async with Deployment(settings=FAST) as deployment:
                await self.set_faults(deployment, **ALL_CALLS)
                await self.start_with(deployment, peer)

                async def behind():
                    status = await self.status(deployment, "victim")
                    return status["not_ready_reason"] == "state_behind"

                await wait_for(behind)
                peer.status.heard_number = 1
                status = await self.status(deployment, "victim")
                self.assertEqual((status["ready"], status["state_number"]), (False, 1))
        finally:
            await peer.api.on_stop()

    async def test_wrong_data_is_dropped(self):
        """Guards against bringing altered, foreign or oversized data into force."""
        wrong = team_ticket(2, quota=99)
        forged = TicketRecord(wrong, content_digest(wrong), "0" * 64, 0)
        chunk = peer_pb2.StateChunk(number=2, digest="0" * 64, data=b"{}")
        for records in ([encode(forged)], [b"[]"], [b"x" * (3 << 20)]):
            peer = StubPeer("stub-0")
            peer.records, peer.chunks = records, [chunk]
            await peer.api.on_start()
            peer.status.state_number = 2
            peer.status.heard_number = 2
            try:
                async with Deployment(settings=FAST) as deployment:
                    await self.start_with(deployment, peer)

                    async def asked(peer=peer):
                        return peer.fetches

                    await wait_for(asked)
                    await deployment.wait_ready("victim")
                    status = await self.status(deployment, "victim")
                    self.assertEqual(status["state_number"], 1)
                    (vm,) = set(deployment.vms) - {"victim"}
                    await self.accept(deployment, vm, team_ticket(2))
                    await self.wait_number(deployment, 2)
            finally:
                await peer.api.on_stop()


if __name__ == "__main__":
    unittest.main()
