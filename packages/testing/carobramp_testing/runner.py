"""Runs all tests and doctests and prints one summary line.

Modules run in a few processes side by side. Tests that ``KNOWN-RED.txt`` lists are
run and printed, and do not fail the run.
"""

import concurrent.futures
import dataclasses
import doctest
import importlib
import io
import logging
import multiprocessing
import pathlib
import pkgutil
import sys
import time
import unittest

PACKAGES = (
    "carobramp_schema",
    "carobramp_core",
    "carobramp_daemon",
    "carobramp_cli",
    "carobramp_testing",
    "carobramp_platform",
)
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
TEST_PREFIX = "test: "
# Tests with real processes start up to ten of them each.
PARALLEL_MODULES = 4
SLOW_MODULES_SHOWN = 5


@dataclasses.dataclass(frozen=True)
class ModuleResult:
    """Result of the tests of one module."""

    module: str
    run: int
    skipped: int
    bad: tuple[str, ...]
    output: str
    seconds: float


def known_red():
    """Return the ids of the tests that are listed as failing."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    prefixed = (line for line in lines if line.startswith(TEST_PREFIX))
    return frozenset(line.removeprefix(TEST_PREFIX).strip() for line in prefixed)


def module_names():
    """Yield the name of every module of the workspace, without generated ones."""
    for name in PACKAGES:
        yield name
        package = importlib.import_module(name)
        for found in pkgutil.walk_packages(package.__path__, name + "."):
            if ".generated" not in found.name and not found.name.endswith("__main__"):
                yield found.name


def tests_of(name, patterns):
    """Return the tests or doctests of a module whose ids match `patterns`."""
    module = importlib.import_module(name)
    if ".tests." in name:
        suite = unittest.defaultTestLoader.loadTestsFromModule(module)
    else:
        suite = doctest.DocTestSuite(module)
    if not patterns:
        return suite
    chosen = (t for t in flatten(suite) if any(p in t.id() for p in patterns))
    return unittest.TestSuite(chosen)


def flatten(suite):
    """Yield the single tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


def test_id(test):
    """Return the id of a test; a failed subtest counts as its test."""
    return getattr(test, "test_case", test).id()


def run_module(name, patterns) -> ModuleResult:
    """Run the tests of one module."""
    # Tests of asyncio run in its debug mode, which logs each slow callback.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    begin = time.monotonic()
    output = io.StringIO()
    runner = unittest.TextTestRunner(stream=output, verbosity=0)
    result = runner.run(tests_of(name, patterns))
    bad = {test_id(test) for test, _ in result.failures + result.errors}
    bad |= {test_id(test) for test in result.unexpectedSuccesses}
    return ModuleResult(
        module=name,
        run=result.testsRun,
        skipped=len(result.skipped),
        bad=tuple(sorted(bad)),
        output=output.getvalue() if bad else "",
        seconds=time.monotonic() - begin,
    )


def run_all(patterns):
    """Run the tests of all modules and return their results."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(PARALLEL_MODULES, context) as pool:
        names = list(module_names())
        # Modules with real processes come first, since they take the longest.
        names.sort(key=lambda name: not name.startswith("carobramp_testing.tests"))
        calls = [pool.submit(run_module, name, patterns) for name in names]
        return [call.result() for call in calls]


def main():
    """Run the tests; the status is 0 when some ran and none failed."""
    results = run_all(tuple(sys.argv[1:]))
    for result in results:
        if result.output:
            print(f"== {result.module}\n{result.output}")
    slowest = sorted(results, key=lambda result: -result.seconds)
    for result in slowest[:SLOW_MODULES_SHOWN]:
        print(f"{result.seconds:6.1f} s {result.module}")
    bad = {test for result in results for test in result.bad}
    red = known_red()
    for test in sorted(bad & red):
        print(f"known red: {test}")
    for test in sorted(bad - red):
        print(f"failed: {test}")
    run = sum(result.run for result in results)
    skipped = sum(result.skipped for result in results)
    failed = len(bad - red)
    print(f"{run - len(bad) - skipped} passed, {failed} failed, {skipped} skipped")
    raise SystemExit(1 if failed or not run else 0)


if __name__ == "__main__":
    main()
