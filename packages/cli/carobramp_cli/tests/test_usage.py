"""Tests of the command line where no entry VM answers."""

import asyncio
import json
import tempfile
import unittest

from carobramp_cli.output import Exit
from carobramp_testing.commands import carobramp, write_file

AT_ONCE = 4
NOWHERE = "--url=http://127.0.0.1:1"
JOB = {
    "service": "order-desk",
    "team": "bakery",
    "priority_class": "interactive",
    "deadline_ms": 1000,
    "tasks": [{"payload": None}],
}


async def run_all(calls):
    """Run commands, some at a time; return each with its result."""
    slots = asyncio.Semaphore(AT_ONCE)

    async def run_one(arguments):
        async with slots:
            return arguments, await carobramp(*arguments)

    return await asyncio.gather(*(run_one(arguments) for arguments in calls))


class UsageTests(unittest.IsolatedAsyncioTestCase):
    """Every bad call gives one line on standard error and a documented status."""

    def check(self, status, done):
        """Compare the status of a command and the form of its error."""
        self.assertEqual(done.status, status, done)
        self.assertEqual(done.stdout, "")
        self.assertEqual(done.stderr.count("\n"), 1, done.stderr)
        self.assertTrue(done.stderr.startswith("carobramp: "), done.stderr)
        return done.stderr

    async def test_malformed_command_lines(self):
        """Guards against tracebacks and against status 1 for a wrong call."""
        calls = (
            (),
            ("tickets",),
            ("ticket", "put"),
            ("ticket", "show", "1", "2"),
            ("ticket", "show", "-1"),
            ("ticket", "show", "one"),
            ("ticket", "show", "\N{SUPERSCRIPT TWO}"),
            ("--no-such-flag", "status"),
            ("--timeout=soon", "status"),
            ("--timeout=-1", "status"),
            ("--timeout=nan", "status"),
            ("--url=ftp://x", "status"),
            ("--url=http://[", "status"),
            ("--url=http://127.0.0.1:99999", "status"),
            ("--id=c1.a", "status"),
            ("job", "cancel", "../status"),
            ("job", "cancel", "a\nb"),
            ("--id=a\nb", "job", "submit", "/nowhere"),
            ("--url=http://a", "--url=http://b", "drain"),
        )
        for arguments, done in await run_all(calls):
            with self.subTest(arguments=arguments):
                self.check(Exit.INVALID, done)

    async def test_malformed_files(self):
        """Guards against a malformed file that is sent, or read without a bound."""
        contents = {
            "empty": b"",
            "bad UTF-8": b'{"service": "\xff"}',
            "deep": b"[" * 100_000,
            "NaN": b'{"deadline_ms": NaN}',
            "twice": b'{"team": "a", "team": "b"}',
            "a list": b"[]",
            "no tasks": json.dumps(JOB | {"tasks": []}).encode(),
            "large": b" " * (5 << 20),
        }
        with tempfile.TemporaryDirectory() as folder:
            paths = [write_file(folder, *item) for item in contents.items()]
            paths.append(f"{folder}/absent")
            calls = [(NOWHERE, "job", "submit", path) for path in paths]
            for arguments, done in await run_all(calls):
                with self.subTest(arguments=arguments):
                    line = self.check(Exit.INVALID, done)
                    self.assertIn(": expected ", line)

    async def test_every_fault_of_a_file_has_a_line(self):
        """Guards against an operator who finds the faults one by one."""
        document = b'{"vm": {"nam": "a", "region": ""}, "limits": {"max_jobs": 0}}'
        with tempfile.TemporaryDirectory() as folder:
            path = write_file(folder, "settings.json", document)
            done = await carobramp("settings", "check", path)
        fields = [line.split(": ")[2] for line in done.stderr.splitlines()]
        self.assertEqual(done.status, Exit.INVALID)
        self.assertEqual(
            fields,
            [
                "$.vm.nam",
                "$.vm.name",
                "$.vm.region",
                "$.vm.availability_zone",
                "$.platform",
                "$.limits.max_jobs",
            ],
        )

    async def test_no_entry_vm(self):
        """Guards against an unreachable VM that looks like a refusal."""
        with tempfile.TemporaryDirectory() as folder:
            document = json.dumps(JOB) + "// with a comment"
            path = write_file(folder, "job.json", document.encode())
            commands = (("status",), ("drain",), ("job", "submit", path))
            calls = [(NOWHERE, *command) for command in commands]
            for arguments, done in await run_all(calls):
                with self.subTest(arguments=arguments):
                    self.check(Exit.UNREACHABLE, done)

    async def test_help(self):
        """Guards against a help text that misses a command or an exit status."""
        done = await carobramp("--help")
        self.assertEqual(done.status, Exit.DONE)
        for text in ("ticket put FILE", "job submit FILE", "4 outcome unknown"):
            self.assertIn(text, done.stdout)


if __name__ == "__main__":
    unittest.main()
