"""Tests of the commands against a real entry VM."""

import json
import unittest

from carobramp_cli.output import Exit
from carobramp_schema import encode
from carobramp_schema.generated.ticket import (
    TeamChange,
    TeamState,
    Ticket,
    ZoneChange,
    ZoneState,
)
from carobramp_testing.builders import job_request
from carobramp_testing.commands import carobramp, write_file
from carobramp_testing.processes import Deployment

VM = "tilburg-0"


class CommandTests(unittest.IsolatedAsyncioTestCase):
    """Each command does its work and gives the documented status."""

    async def asyncSetUp(self):
        """Start one entry VM and one upstream."""
        self.deployment = Deployment()
        await self.enterAsyncContext(self.deployment)

    def file(self, name, message):
        """Write a message to a file and return its path."""
        return write_file(self.deployment.folder, name, encode(message))

    async def run_command(self, status, *arguments):
        """Run a command and compare its status; return its result as JSON."""
        url = f"--url={self.deployment.url(VM)}"
        done = await carobramp(url, "--json", *arguments)
        self.assertEqual(done.status, status, done)
        return json.loads(done.stdout), done.stderr

    async def test_job(self):
        """Guards against a submission whose answer or failure gets lost."""
        path = self.file("job.json", job_request(tasks=2))
        answer, _ = await self.run_command(Exit.DONE, "job", "submit", path)
        self.assertEqual(len(answer["results"]), 2)
        key = answer["submission_id"]
        again, _ = await self.run_command(
            Exit.DONE, f"--id={key}", "job", "submit", path
        )
        self.assertEqual(again, answer)
        self.assertEqual(set((await self.deployment.starts()).values()), {1})

    async def test_refused_job(self):
        """Guards against status 0 for a refusal."""
        path = self.file("job.json", job_request(service="nowhere"))
        problem, line = await self.run_command(Exit.REFUSED, "job", "submit", path)
        self.assertEqual(problem["reason"], "unknown_service")
        self.assertIn("unknown_service", line)

    async def test_job_of_unknown_outcome(self):
        """Guards against an unknown outcome that does not name the id."""
        url = self.deployment.upstream_urls()[0]
        await self.deployment.post_json(f"{url}/faults", {"close_after_read": True})
        path = self.file("job.json", job_request())
        problem, line = await self.run_command(Exit.UNCLEAR, "job", "submit", path)
        self.assertIn(f"--id={problem['submission_id']}", line)

    async def test_ticket(self):
        """Guards against a check that applies a ticket, and a put that does not."""
        team = TeamChange("mill", 0, TeamState(4))
        path = self.file("ticket.json", Ticket(2, "anna", "a team", teams=[team]))
        await self.run_command(Exit.DONE, "ticket", "check", path)
        listed, _ = await self.run_command(Exit.DONE, "ticket", "list")
        self.assertEqual(len(listed["tickets"]), 1)
        await self.run_command(Exit.DONE, "ticket", "put", path)
        shown, _ = await self.run_command(Exit.DONE, "ticket", "show", "2")
        self.assertIn("anna", json.dumps(shown))
        status, _ = await self.run_command(Exit.DONE, "status")
        self.assertEqual(status["state_number"], 2)
        gap = self.file("gap.json", Ticket(9, "anna", teams=[team]))
        problem, _ = await self.run_command(Exit.REFUSED, "ticket", "put", gap)
        self.assertEqual(problem["reason"], "ticket_number_gap")

    async def test_output_for_people(self):
        """Guards against a renderer that does not fit the answer."""
        url = f"--url={self.deployment.url(VM)}"
        status = await carobramp(url, "status")
        self.assertIn("state_number: 1", status.stdout)
        self.assertIn("order-desk", status.stdout)
        tickets = await carobramp(url, "ticket", "list")
        self.assertEqual(tickets.stdout.split()[:2], ["number", "author"])
        self.assertIn("operator", tickets.stdout)

    async def test_evacuated_zones(self):
        """Guards against a status without an evacuation, or with one that ended."""
        url = f"--url={self.deployment.url(VM)}"
        heading = "evacuated_zone  set_by\n"
        for number, state, lines in (
            (2, ZoneState(evacuated=True), "tilburg         2\n"),
            (3, None, "\n"),
        ):
            zones = [ZoneChange("tilburg", 2 if state is None else 0, state)]
            path = self.file(
                "zone.json", Ticket(number, "anna", availability_zones=zones)
            )
            await self.run_command(Exit.DONE, "ticket", "put", path)
            status = await carobramp(url, "status")
            self.assertIn(heading + lines, status.stdout)
        typo = Ticket(
            4, "anna", availability_zones=[ZoneChange("tilbrug", 0, ZoneState(True))]
        )
        problem, line = await self.run_command(
            Exit.REFUSED, "ticket", "put", self.file("typo.json", typo)
        )
        self.assertEqual(problem["field"], "$.availability_zones[0].name")
        self.assertIn("(tilburg)", problem["expected"])
        self.assertEqual(problem["seen"], "tilbrug")

    async def test_cancel_of_an_unknown_job(self):
        """Guards against status 0 where there was nothing to cancel."""
        url = f"--url={self.deployment.url(VM)}"
        done = await carobramp(url, "job", "cancel", "c1.x.0.0.0.0")
        self.assertEqual(done.status, Exit.REFUSED, done)


if __name__ == "__main__":
    unittest.main()
