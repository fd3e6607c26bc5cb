"""Specifications of change tickets and their mutants.

Run as ``python -m carobramp_testing.models.tickets``.
"""

import dataclasses
import sys
import time
from collections.abc import Callable

from minicheck import Protocol, check_safety

from carobramp_testing.models import ticket_acceptance, ticket_spread

MAX_STATES = 1_000_000


@dataclasses.dataclass(frozen=True)
class Specification:
    """State machine with invariants, and mutants that lack one safeguard each.

    Attributes
    ==========

    name : name of the specification
    bounds : what limits the explored behaviour, in words
    build : returns the machine without the named safeguard; None for the sound one
    safeguards : names of the safeguards that a mutant can lack
    """

    name: str
    bounds: str
    build: Callable[[str | None], Protocol]
    safeguards: tuple[str, ...]


SPECIFICATIONS = (
    Specification(
        "ticket acceptance",
        "2 operators, numbers 1 and 2, 2 transactions a request, 2 requests a ticket",
        ticket_acceptance.build,
        ticket_acceptance.SAFEGUARDS,
    ),
    Specification(
        "ticket spreading",
        "2 VMs, 3 tickets, crashes, a link and a platform that fail at any time",
        ticket_spread.build,
        ticket_spread.SAFEGUARDS,
    ),
)


def specifications() -> list[Specification]:
    """Return the specifications of tickets."""
    return list(SPECIFICATIONS)


def check(specification: Specification, without: str | None = None) -> dict:
    """Explore a machine and return the report of minicheck."""
    return check_safety(specification.build(without), MAX_STATES)


def broken(report: dict) -> dict[str, tuple[str, ...]]:
    """Return the steps of a shortest counterexample of each violated invariant."""
    return {
        name: tuple(str(step["label"]) for step in found["counterexample"][1:])
        for name, found in report["properties"].items()
        if found["holds"] is False
    }


def main() -> int:
    """Check all machines and mutants; 0 when all is as it should be."""
    good = True
    for specification in SPECIFICATIONS:
        for without in (None, *specification.safeguards):
            started = time.monotonic()
            report = check(specification, without)
            found = broken(report)
            good = good and report["exhaustive"] and bool(found) == bool(without)
            seconds = time.monotonic() - started
            variant = f"without {without}" if without else "all safeguards"
            print(f"{specification.name}, {variant}:")
            print(f"  {report['reachable_states']} states, {seconds:.1f} s")
            for name, steps in found.items():
                print(f"  breaks {name}: {'; '.join(steps)}")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
