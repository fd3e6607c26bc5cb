"""Runs the project's binaries and reads what they print."""

import asyncio
import dataclasses
import pathlib
import sys

COMMAND_TIMEOUT_S = 30


@dataclasses.dataclass(frozen=True)
class Finished:
    """A command that ended."""

    status: int
    stdout: str
    stderr: str


async def run_module(module, *arguments, timeout=COMMAND_TIMEOUT_S) -> Finished:
    """Run ``python -m module`` to its end; kill it after `timeout` seconds."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(timeout):
            stdout, stderr = await child.communicate()
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
    return Finished(child.returncode or 0, stdout.decode(), stderr.decode())


def write_file(folder, name, content: bytes):
    """Write a file and return its path, for a command line."""
    path = pathlib.Path(folder, name)
    path.write_bytes(content)
    return str(path)


async def carobramp(*arguments, timeout=COMMAND_TIMEOUT_S) -> Finished:
    """Run `carobramp` to its end."""
    return await run_module("carobramp_cli.main", *arguments, timeout=timeout)


async def carobrampd(*arguments, timeout=COMMAND_TIMEOUT_S) -> Finished:
    """Run `carobrampd` to its end, for calls that do not serve."""
    return await run_module("carobramp_daemon.main", *arguments, timeout=timeout)
