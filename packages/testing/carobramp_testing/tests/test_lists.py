"""Checks that declared names are used in the code and documented for operators."""

import ast
import json
import pathlib
import unittest

from carobramp_core.outcomes import Reason, RetryReason, WastedMessageKind
from carobramp_daemon.logs import LOG_COMPONENTS
from carobramp_daemon.metrics import COUNTERS, GAUGES, HISTOGRAMS
from carobramp_daemon.problems import HTTP_STATUS_BY_REASON

ROOT = pathlib.Path(__file__).parents[4]
PACKAGES = (
    "packages/core/carobramp_core",
    "packages/daemon/carobramp_daemon",
    "platform/carobramp_platform",
)
SETTINGS = ROOT / "packages/schema/carobramp_schema/definitions/settings.schema.json"
OPERATIONS = ROOT / "docs/OPERATIONS.md"
DECLARATIONS = {"outcomes.py", "metrics.py", "problems.py", "logs.py"}
ENUMS = (Reason, RetryReason, WastedMessageKind)


def trees():
    """Yield the syntax tree of each module that does not declare the names."""
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            if path.name not in DECLARATIONS and "tests" not in path.parts:
                yield ast.parse(path.read_text())


def nodes(kind):
    """Yield the nodes of one kind in all modules."""
    for tree in trees():
        yield from (node for node in ast.walk(tree) if isinstance(node, kind))


def enum_uses():
    """Return the (class, member) pairs that the code names."""
    found = set()
    for node in nodes(ast.Attribute):
        if isinstance(node.value, ast.Name):
            found.add((node.value.id, node.attr))
    return found


def attributes():
    """Return the names of all attributes that the code reads."""
    reads = (n for n in nodes(ast.Attribute) if isinstance(n.ctx, ast.Load))
    return {node.attr for node in reads}


def literals():
    """Return all string literals of the code, except doc strings."""
    found = set()
    for node in nodes(ast.Call):
        arguments = [*node.args, *(keyword.value for keyword in node.keywords)]
        for argument in arguments:
            for inner in ast.walk(argument):
                if isinstance(inner, ast.Constant) and isinstance(inner.value, str):
                    found.add(inner.value)
    return found


def documented():
    """Return the text of docs/OPERATIONS.md."""
    return OPERATIONS.read_text() if OPERATIONS.exists() else ""


class UseTests(unittest.TestCase):
    """Every declared name is used."""

    def test_metrics(self):
        """Guards against a metric that is declared and never changes."""
        declared = {*COUNTERS, *HISTOGRAMS, *GAUGES}
        self.assertEqual(sorted(declared - literals()), [])

    def test_reasons_and_kinds(self):
        """Guards against a reason or kind of waste that nothing ever states."""
        uses = enum_uses()
        for enum in ENUMS:
            with self.subTest(enum=enum.__name__):
                unused = [m.name for m in enum if (enum.__name__, m.name) not in uses]
                self.assertEqual(unused, [])

    def test_settings(self):
        """Guards against a setting that has no effect."""
        sections = json.loads(SETTINGS.read_text())["$defs"]
        fields = {field for s in sections.values() for field in s["properties"]}
        self.assertEqual(sorted(fields - attributes()), [])

    def test_each_reason_has_a_status(self):
        """Guards against a reason that ends in an exception when it is stated."""
        self.assertEqual(set(HTTP_STATUS_BY_REASON), set(Reason))


class DocumentationTests(unittest.TestCase):
    """Every name that operators and callers see is in docs/OPERATIONS.md."""

    def test_names(self):
        """Guards against an operator who meets a name that no page explains."""
        names = {member.value for enum in ENUMS for member in enum}
        names |= {*COUNTERS, *HISTOGRAMS, *GAUGES}
        names |= {f"{component}:" for component in LOG_COMPONENTS}
        page = documented()
        missing = [name for name in sorted(names) if f"`{name}`" not in page]
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()
