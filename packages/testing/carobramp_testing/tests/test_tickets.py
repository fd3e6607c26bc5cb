"""Tickets and platform faults with real processes."""

import asyncio
import unittest

from carobramp_schema import encode
from carobramp_testing.builders import job_request, vm_settings
from carobramp_testing.processes import HTTP_OK, Deployment, wait_for
from carobramp_testing.tests.ticket_case import (
    ALL_CALLS,
    FAST,
    HTTP_CONFLICT,
    HTTP_UNAVAILABLE,
    TicketCase,
    team_ticket,
)


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


if __name__ == "__main__":
    unittest.main()
