"""Tests of the command line of `carobrampd`."""

import json
import tempfile
import unittest

from carobramp_testing.commands import carobrampd, write_file

SETTINGS = {
    "vm": {"name": "a", "region": "r", "availability_zone": "z"},
    "platform": {"url": "http://127.0.0.1:1"},
}


class CommandLineTests(unittest.IsolatedAsyncioTestCase):
    """Invalid arguments and settings end with status 2 and a line per error."""

    def setUp(self):
        """Create a folder for settings files."""
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    async def check(self, lines, *arguments):
        """Run carobrampd, expect `lines` error lines, and return them.

        The status has to be 2 if there are any, else 0.
        """
        done = await carobrampd(*arguments)
        self.assertEqual(done.status, 2 if lines else 0, done)
        self.assertEqual(done.stdout, "")
        error_lines = done.stderr.splitlines()
        self.assertEqual(len(error_lines), lines, done.stderr)
        for line in error_lines:
            self.assertTrue(line.startswith("carobrampd: "), line)
        return error_lines

    async def test_invalid_arguments(self):
        """Guards against tracebacks and a start without settings."""
        calls = ((), ("--setting=x",), ("--settings=x", "more"), ("--settings=",))
        for arguments in calls:
            with self.subTest(arguments=arguments):
                await self.check(1, *arguments)

    async def test_missing_settings_file(self):
        """Guards against a traceback for a path that does not exist."""
        await self.check(1, f"--settings={self.folder}/absent.json", "--check")

    async def test_check_of_valid_settings(self):
        """Guards against a check that starts the daemon or rejects valid settings."""
        path = write_file(self.folder, "a.json", json.dumps(SETTINGS).encode())
        await self.check(0, f"--settings={path}", "--check")

    async def test_invalid_settings(self):
        """Guards against a daemon that starts with unknown or invalid settings."""
        faulty = SETTINGS | {"drain": {"drain_notic_ms": 5}, "limits": {"max_jobs": 0}}
        path = write_file(self.folder, "b.json", json.dumps(faulty).encode())
        for arguments in ((f"--settings={path}", "--check"), (f"--settings={path}",)):
            with self.subTest(arguments=arguments):
                lines = await self.check(2, *arguments)
                self.assertIn("(nearest is `drain_notice_ms`)", "\n".join(lines))


if __name__ == "__main__":
    unittest.main()
