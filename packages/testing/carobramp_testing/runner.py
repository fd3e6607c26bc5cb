"""Runs all tests and doctests and prints one summary line.

Tests that ``KNOWN-RED.txt`` lists are run and printed, and do not fail the run.
"""

import doctest
import importlib
import pathlib
import pkgutil
import sys
import unittest

PACKAGES = (
    "carobramp_schema",
    "carobramp_core",
    "carobramp_daemon",
    "carobramp_cli",
    "carobramp_testing",
)
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
TEST_PREFIX = "test: "


def known_red():
    """Return the ids of the tests that are listed as failing."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    prefixed = (line for line in lines if line.startswith(TEST_PREFIX))
    return frozenset(line.removeprefix(TEST_PREFIX).strip() for line in prefixed)


def modules():
    """Yield every module of the workspace, without generated ones."""
    for name in PACKAGES:
        package = importlib.import_module(name)
        yield package
        for found in pkgutil.walk_packages(package.__path__, name + "."):
            if ".generated" in found.name or found.name.endswith("__main__"):
                continue
            yield importlib.import_module(found.name)


def build_suite(patterns):
    """Collect the tests whose ids contain one of `patterns`, or all."""
    suite = unittest.TestSuite()
    for module in modules():
        if ".tests." in module.__name__:
            suite.addTests(unittest.defaultTestLoader.loadTestsFromModule(module))
        else:
            suite.addTests(doctest.DocTestSuite(module))
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


def main():
    """Run the tests; the status is 0 when some ran and none failed."""
    suite = build_suite(sys.argv[1:])
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = [test.id() for test, _ in result.failures + result.errors]
    bad += [test.id() for test in result.unexpectedSuccesses]
    red = known_red()
    for test_id in sorted(set(bad) & red):
        print(f"known red: {test_id}")
    failed = sorted(set(bad) - red)
    skipped = len(result.skipped)
    passed = result.testsRun - len(bad) - skipped
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    raise SystemExit(1 if failed or not result.testsRun else 0)


if __name__ == "__main__":
    main()
