"""Prints results and errors, and gives the exit status of each."""

import enum
import functools
import json
import sys

from carobramp_cli.client import Answer, NotReceived, Unclear

PROGRAM = "carobramp"
HTTP_ERRORS = 400
UNCLEAR_REASONS = frozenset(
    {
        "outcome_unknown",
        "owner_unreachable",
        "owner_gone",
        "forward_lost",
        "answer_evicted",
        "claim_unavailable",
        "acceptance_unknown",
    }
)


class Exit(enum.IntEnum):
    """Exit statuses of `carobramp`."""

    DONE = 0
    REFUSED = 1
    INVALID = 2
    UNREACHABLE = 3
    UNCLEAR = 4


def fail(status, detail):
    """Print one line about an error and return `status`."""
    print(f"{PROGRAM}:", " ".join(str(detail).split()), file=sys.stderr)
    return status


def fail_each(path, faults):
    """Print one line for each fault of a file."""
    for fault in faults:
        fail(Exit.INVALID, f"{path}: {fault}")
    return Exit.INVALID


def show(value, as_json, render):
    """Print a value as one line of JSON, or as `render` formats it."""
    print(json.dumps(value) if as_json else render(value))
    return Exit.DONE


@functools.singledispatch
def conclude(result, as_json, render):
    """Print the result of a request and return the exit status."""
    raise TypeError(f"unknown result {result!r}")


@conclude.register
def _(result: Answer, as_json, render):
    if result.status < HTTP_ERRORS:
        return show(result.body, as_json, render)
    if as_json:
        print(json.dumps(result.body))
    return fail(problem_status(result), describe(result))


@conclude.register
def _(result: NotReceived, as_json, render):
    return fail(Exit.UNREACHABLE, f"unreachable: {result.detail}")


@conclude.register
def _(result: Unclear, as_json, render):
    return fail(Exit.UNCLEAR, f"outcome unknown: {result.detail}")


def problem_status(answer):
    """Return the exit status for an answer that states a failure."""
    body = answer.body if isinstance(answer.body, dict) else {}
    if body.get("reason") in UNCLEAR_REASONS:
        return Exit.UNCLEAR
    return Exit.REFUSED


def describe(answer):
    """Return one line about an answer that states a failure."""
    if not isinstance(answer.body, dict):
        return f"status {answer.status}: {answer.body}"
    reason = answer.body.get("reason", f"status {answer.status}")
    text = f"{reason}: {answer.body.get('detail', '')}"
    return text + (" (not run)" if answer.body.get("not_run") else "")


def table(rows, columns):
    """Format dictionaries as a table with a heading.

    Examples
    ========

    >>> print(table([{"name": "a", "slots": 8}], ("name", "slots")))
    name  slots
    a     8
    """
    cells = [list(columns)]
    cells += [[_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = (
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def pairs(value):
    """Format a dictionary as lines of `name: value`."""
    return "\n".join(f"{name}: {_cell(item)}" for name, item in value.items())


def _cell(value):
    if value is None:
        return "-"
    return value if isinstance(value, str) else json.dumps(value)
