"""Tickets and membership with real processes."""

import asyncio
import unittest

from carobramp_core.tickets.state import DeploymentState, content_digest, encode_state
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.peers import PeerApi, PeerHandlers
from carobramp_schema import encode
from carobramp_schema.generated import peer_pb2
from carobramp_schema.generated.ticket import (
    TeamChange,
    TeamState,
    Ticket,
    TicketRecord,
)
from carobramp_testing.builders import job_request, vm_settings
from carobramp_testing.processes import HTTP_OK, ZONES, Deployment, wait_for
from carobramp_testing.relay import Relay

HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
FAST = {
    "tickets": {"head_poll_ms": 400, "stale_after_ms": 1500},
    "membership": {
        "heartbeat_ms": 150,
        "far_heartbeat_ms": 300,
        "live_ms": 1500,
        "far_live_ms": 2500,
        "list_poll_ms": 300,
        "call_timeout_ms": 500,
    },
    "platform": {"timeout_ms": 500},
}
ALL_CALLS = {"down": True}


def team_ticket(number, quota=10, author="anna", based_on=None):
    """Build a ticket that sets the team `bakery`, which ticket 1 created."""
    based_on = number - 1 if based_on is None else based_on
    change = TeamChange("bakery", based_on, TeamState(quota))
    return Ticket(number, author, teams=[change])


class TicketCase(unittest.IsolatedAsyncioTestCase):
    """Helpers of the tests below."""

    async def status(self, deployment, vm):
        """Return the status of a VM."""
        return await deployment.get_json(f"{deployment.url(vm)}/v1/status")

    async def wait_number(self, deployment, number, vms=None):
        """Wait until all VMs have a ticket in force, with the same state."""

        async def everywhere():
            names = vms or list(deployment.vms)
            found = [await self.status(deployment, vm) for vm in names]
            behind = [s for s in found if s["state_number"] < number]
            return not behind and len({s["state_digest"] for s in found}) == 1

        await wait_for(everywhere)

    async def wait_peers(self, deployment, vm, names):
        """Wait until a VM sees exactly these live peers."""

        async def seen():
            status = await self.status(deployment, vm)
            return status["live_peers"] == sorted(names)

        await wait_for(seen)

    async def wait_all_peers(self, deployment):
        """Wait until every VM sees every other one."""
        for vm in deployment.vms:
            await self.wait_peers(deployment, vm, set(deployment.vms) - {vm})

    async def set_faults(self, deployment, **faults):
        """Set the faults of the platform."""
        await deployment.post_json(f"{deployment.platform_url}/faults", faults)

    async def accept(self, deployment, vm, ticket):
        """Put a ticket that must be accepted."""
        status, body = await deployment.put_ticket(vm, ticket)
        self.assertEqual(status, HTTP_OK, body)

    def watch(self, deployment, vm):
        """Return a task that fails when the number of a process falls."""

        async def follow():
            last = 0
            while True:
                try:
                    number = (await self.status(deployment, vm))["state_number"]
                except OSError:
                    number = last
                self.assertGreaterEqual(number, last)
                last = number
                await asyncio.sleep(0.01)

        return asyncio.create_task(follow())

    async def end_watch(self, *tasks):
        """Stop watching; raise what a watch found."""
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise result


class OperatorTests(TicketCase):
    """What operators see."""

    async def test_racing_operators(self):
        """Guards against two tickets under one number, and against none."""
        async with Deployment(vms_per_zone=2, settings=FAST) as deployment:
            await self.wait_number(deployment, 1)
            for number in range(2, 8):
                answers = await asyncio.gather(
                    *(
                        deployment.put_ticket(vm, team_ticket(number, author=vm))
                        for vm in deployment.vms
                    )
                )
                authors = dict(zip(deployment.vms, answers, strict=True))
                winner = [vm for vm, (code, _) in authors.items() if code == HTTP_OK]
                self.assertEqual(len(winner), 1, answers)
                (loser,) = set(authors) - set(winner)
                code, body = authors[loser]
                self.assertEqual((code, body["reason"]), (409, "ticket_number_taken"))
                self.assertIn(winner[0], body["detail"])
            await self.wait_number(deployment, 7)

    async def test_lost_reply_and_same_ticket_again(self):
        """Guards against refusing an operator's own accepted ticket."""
        async with Deployment(vms_per_zone=2, settings=FAST) as deployment:
            first, second = deployment.vms
            await self.set_faults(
                deployment, lose_replies=True, paths=["table/transact"]
            )
            await self.accept(deployment, first, team_ticket(2))
            await self.set_faults(deployment)
            await self.accept(deployment, second, team_ticket(2))
            code, body = await deployment.put_ticket(second, team_ticket(2, quota=11))
            self.assertEqual(code, HTTP_CONFLICT)
            self.assertEqual(body["reason"], "ticket_number_taken")

    async def test_refusals(self):
        """Guards against wrong reasons and against effects of refused tickets."""
        async with Deployment(settings=FAST) as deployment:
            (vm,) = deployment.vms
            url = f"{deployment.url(vm)}/v1/tickets"
            cases = [
                (2, team_ticket(2, based_on=0), "ticket_out_of_date"),
                (2, team_ticket(3), "ticket_invalid"),
                (4, team_ticket(4), "ticket_number_gap"),
                (1, team_ticket(1), "ticket_number_taken"),
            ]
            for number, ticket, reason in cases:
                async with deployment.session.put(
                    f"{url}/{number}", data=encode(ticket)
                ) as response:
                    body = await response.json(content_type=None)
                self.assertEqual(body["reason"], reason)
            async with deployment.session.put(
                f"{url}/2?check=1", data=encode(team_ticket(2))
            ) as response:
                self.assertEqual(response.status, HTTP_OK)
            self.assertEqual((await self.status(deployment, vm))["state_number"], 1)
            await self.accept(deployment, vm, team_ticket(2))
            await self.accept(deployment, vm, team_ticket(3))
            page = await deployment.get_json(f"{url}?limit=2")
            numbers = [record["ticket"]["number"] for record in page["tickets"]]
            self.assertEqual((numbers, page["next_after"]), ([3, 2], 2))
            page = await deployment.get_json(f"{url}?after=2")
            numbers = [record["ticket"]["number"] for record in page["tickets"]]
            self.assertEqual((numbers, page["next_after"]), ([1], 0))
            missing = await deployment.session.get(f"{url}/99")
            self.assertEqual(missing.status, 404)
            state = await deployment.get_json(f"{deployment.url(vm)}/v1/state")
            numbers = {team["name"]: team["number"] for team in state["teams"]}
            self.assertEqual((state["number"], numbers["bakery"]), (3, 3))

    async def test_whereabouts(self):
        """Guards against claiming that a ticket is in force at a dead VM."""
        async with Deployment(vms_per_zone=3, settings=FAST) as deployment:
            first, second, third = sorted(deployment.vms)
            await self.wait_all_peers(deployment)
            await deployment.vms[third].kill()
            await self.accept(deployment, first, team_ticket(2))
            await self.wait_number(deployment, 2, [first, second])
            found = await deployment.get_json(f"{deployment.url(second)}/v1/tickets/2")
            self.assertEqual(found["in_force"], [first, second])
            self.assertEqual(found["cannot_be_asked"], [third])


class PlatformFaultTests(TicketCase):
    """The platform is stale or down."""

    async def test_stale_reads(self):
        """Guards against a stale read that hides or reverts tickets."""
        async with Deployment(vms_per_zone=2, settings=FAST) as deployment:
            await self.wait_all_peers(deployment)
            watches = [self.watch(deployment, vm) for vm in deployment.vms]
            await self.set_faults(deployment, stale_ms=600_000)
            for number in range(2, 6):
                vm = list(deployment.vms)[number % 2]
                await self.wait_number(deployment, number - 1)
                await self.accept(deployment, vm, team_ticket(number))
            await self.wait_number(deployment, 5)
            await self.end_watch(*watches)

    async def test_platform_down(self):
        """Guards against an outage that stops jobs or invents states."""
        async with Deployment(vms_per_zone=2, settings=FAST) as deployment:
            first, second = deployment.vms
            await self.accept(deployment, first, team_ticket(2))
            await self.wait_number(deployment, 2)
            await self.set_faults(deployment, **ALL_CALLS)
            code, body = await deployment.put_ticket(first, team_ticket(3))
            self.assertEqual(code, HTTP_UNAVAILABLE)
            self.assertEqual(body["reason"], "platform_unavailable")

            async def stale():
                return (await self.status(deployment, first))["state_stale"]

            await wait_for(stale)
            code, body = await deployment.submit(first, job_request())
            self.assertEqual(code, HTTP_OK, body)
            await self.check_starts(deployment, first)
            await self.set_faults(deployment)
            await self.accept(deployment, second, team_ticket(3))
            await self.wait_number(deployment, 3)

            async def confirmed():
                return not (await self.status(deployment, first))["state_stale"]

            await wait_for(confirmed)

    async def check_starts(self, deployment, peer):
        """Start a VM that knows a peer, and one that knows none."""
        me = deployment.vm_settings[peer].vm
        known = {
            "name": peer,
            "host": me.host,
            "peer_port": me.peer_port,
            "availability_zone": me.availability_zone,
        }
        zone = me.availability_zone
        for name, peers in (("with-peer", [known]), ("alone", [])):
            deployment.vm_settings[name] = vm_settings(
                name, deployment.platform_url, zone, peers=peers, **FAST
            )
            await deployment.start_vm(name)
        await deployment.wait_ready("with-peer")
        async with deployment.session.get(f"{deployment.url('alone')}/readyz") as reply:
            self.assertEqual(reply.status, HTTP_UNAVAILABLE)
            self.assertEqual((await reply.text()).strip(), "no_state")
        code, body = await deployment.submit("with-peer", job_request())
        self.assertEqual(code, HTTP_OK, body)

    async def test_restart_during_tickets(self):
        """Guards against a restarted VM that serves an older state."""
        async with Deployment(vms_per_zone=2, settings=FAST) as deployment:
            first, second = deployment.vms
            for number in range(2, 8):
                await self.accept(deployment, first, team_ticket(number))
                if number % 2:
                    await deployment.vms[second].kill()
                    await deployment.start_vm(second)
                    await deployment.wait_ready(second)
                    status = await self.status(deployment, second)
                    self.assertGreaterEqual(status["state_number"], number)
            await self.wait_number(deployment, 7)

    async def test_start_from_a_snapshot(self):
        """Guards against a snapshot that no VM can start from."""
        settings = FAST | {"tickets": FAST["tickets"] | {"snapshot_every": 4}}
        settings["tickets"]["kept_tickets"] = 2
        async with Deployment(settings=settings) as deployment:
            (vm,) = deployment.vms
            for number in range(2, 7):
                await self.accept(deployment, vm, team_ticket(number))

            async def written():
                calls = await deployment.get_json(f"{deployment.platform_url}/calls")
                return calls.get("objects/put")

            await wait_for(written)
            digest = (await self.status(deployment, vm))["state_digest"]
            await deployment.vms[vm].kill()
            await deployment.start_vm(vm)
            await deployment.wait_ready(vm)
            status = await self.status(deployment, vm)
            self.assertEqual(
                (status["state_number"], status["state_digest"]), (6, digest)
            )
            calls = await deployment.get_json(f"{deployment.platform_url}/calls")
            self.assertGreaterEqual(calls["objects/get"], 1)

    async def test_empty_and_stale_list(self):
        """Guards against losing peers because the list is empty or old."""
        settings = FAST | {"membership": FAST["membership"] | {"forget_ms": 3000}}
        async with Deployment(vms_per_zone=3, settings=settings) as deployment:
            await self.wait_all_peers(deployment)
            first, second, third = sorted(deployment.vms)
            for entries in (
                [],
                [{"name": "gone", "host": "127.0.0.1", "peer_port": 1}],
            ):
                vms = [
                    {"availability_zone": "breda", "leaving": False} | e
                    for e in entries
                ]
                url = f"{deployment.platform_url}/members/set"
                before = await self.list_reads(deployment)
                await deployment.post_json(url, {"vms": vms})

                async def read_by_all(before=before):
                    return await self.list_reads(deployment) >= before + 12

                await wait_for(read_by_all)
                await self.wait_all_peers(deployment)
            await self.accept(deployment, first, team_ticket(2))
            await self.wait_number(deployment, 2)
            await deployment.vms[third].kill()
            await self.wait_peers(deployment, first, [second])

    async def list_reads(self, deployment):
        """Return how often the list was read."""
        calls = await deployment.get_json(f"{deployment.platform_url}/calls")
        return calls.get("members/list", 0)


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
        self.api = PeerApi(self.settings, self.handlers, Metrics(), Silent())

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

    def info(self, sentence, **fields):
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
