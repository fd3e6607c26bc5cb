"""Runs the examples of docs/OPERATIONS.md against a real entry VM."""

import asyncio
import pathlib
import re
import shlex
import unittest

from carobramp_cli.output import UNCLEAR_REASONS
from carobramp_core.outcomes import Reason
from carobramp_daemon.problems import HTTP_STATUS_BY_REASON
from carobramp_testing.commands import carobramp, write_file
from carobramp_testing.processes import Deployment

PAGE = pathlib.Path(__file__).parents[4] / "docs/OPERATIONS.md"
BLOCK = re.compile(r"^```(\w+)\n(.*?)^```$", re.MULTILINE | re.DOTALL)
ROW = re.compile(r"^\| `(\w+)` \| (\d{3}(?:, \d{3})*) \|", re.MULTILINE)
VM = "tilburg-0"


def blocks(language):
    """Return the code blocks of one language."""
    found = BLOCK.findall(PAGE.read_text())
    return [text for name, text in found if name == language]


class ExampleTests(unittest.IsolatedAsyncioTestCase):
    """The page's examples do what the page says."""

    async def asyncSetUp(self):
        """Start one entry VM and one upstream."""
        self.deployment = Deployment()
        await self.enterAsyncContext(self.deployment)
        self.url = self.deployment.url(VM)

    async def test_caller_in_python(self):
        """Guards against an example for callers that does not work."""
        source = "\n".join(blocks("python"))
        code = compile(source, str(PAGE), "exec")
        await asyncio.to_thread(exec, code, {"URL": self.url})

    async def test_commands(self):
        """Guards against commands and files that the page shows and nobody ran."""
        folder = self.deployment.folder
        for text in blocks("json"):
            name = text.splitlines()[0].removeprefix("// ")
            write_file(folder, name, text.encode())
        lines = "".join(blocks("console")).splitlines()
        self.assertGreaterEqual(len(lines), 3)
        for line in lines:
            with self.subTest(line=line):
                words = shlex.split(line.replace("$VM", self.url))[2:]
                words = [f"{folder}/{w}" if w.endswith(".json") else w for w in words]
                done = await carobramp(*words)
                self.assertEqual(done.status, 0, done)


class ReasonTests(unittest.TestCase):
    """The page's tables agree with the code."""

    def test_statuses(self):
        """Guards against a status on the page that the code does not give."""
        rows = dict(ROW.findall(PAGE.read_text()))
        for name, statuses in rows.items():
            with self.subTest(name=name):
                stated = statuses.replace(" ", "").split(",")
                self.assertIn(str(HTTP_STATUS_BY_REASON[Reason(name)]), stated)

    def test_unclear_reasons_exist(self):
        """Guards against an exit status for a reason that was renamed."""
        self.assertLessEqual(UNCLEAR_REASONS, {reason.value for reason in Reason})


if __name__ == "__main__":
    unittest.main()
