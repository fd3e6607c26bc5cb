"""Specifications of submissions and their mutants.

Run as ``python -m carobramp_testing.models.submission``.
"""

import sys
import time

from carobramp_testing.models import claimed, issued
from carobramp_testing.models.specification import check


def run(specification) -> bool:
    """Check one specification and its mutants; whether all is as it should be."""
    started = time.monotonic()
    verdict = check(specification)
    good = verdict.exhaustive and not verdict.broken
    print(f"{specification.name}: {'holds' if good else 'BROKEN'}")
    print(f"  {verdict.states} states, exhaustive: {verdict.exhaustive}")
    print(f"  bounds: {specification.bounds}")
    for name, steps in verdict.broken.items():
        print(f"  broken: {name}: {' -> '.join(steps)}")
    for safeguard in specification.safeguards:
        good = run_mutant(specification, safeguard) and good
    print(f"  {time.monotonic() - started:.1f} s")
    return good


def run_mutant(specification, safeguard) -> bool:
    """Check that a specification without a safeguard has a counterexample."""
    verdict = check(specification, safeguard)
    if not verdict.broken:
        print(f"  without {safeguard}: NO COUNTEREXAMPLE in {verdict.states} states")
        return False
    for name, steps in verdict.broken.items():
        print(f"  without {safeguard}: breaks `{name}`")
        print(f"    by {' -> '.join(steps)}")
    return True


def specifications():
    """Return the specifications of submissions."""
    return issued.specifications() + claimed.specifications()


def main() -> int:
    """Check all specifications and mutants; 0 when all is as it should be."""
    results = [run(specification) for specification in specifications()]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
