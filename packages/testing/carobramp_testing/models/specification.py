"""Checks a specification and its mutants with the library minicheck."""

import dataclasses
from collections.abc import Callable

from minicheck import Protocol, check_safety

MAX_STATES = 1_000_000


@dataclasses.dataclass(frozen=True)
class Specification:
    """State machine with invariants, and mutants that lack one safeguard each.

    Attributes
    ==========

    name : name of the specification
    bounds : what limits the explored behaviour, in words
    invariants : predicates on the fields of a state, by name
    build : returns the machine without the named safeguard; None for the sound one
    safeguards : for each safeguard the invariant that breaks without it
    """

    name: str
    bounds: str
    invariants: dict[str, Callable[[dict], bool]]
    build: Callable[[str | None], Protocol]
    safeguards: dict[str, str]


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Result of a check.

    `broken` maps the names of violated invariants to the labels of a shortest
    counterexample.
    """

    states: int
    exhaustive: bool
    broken: dict[str, tuple[str, ...]]


def check(specification: Specification, without: str | None = None) -> Verdict:
    """Check a specification, or a mutant of it.

    The sound specification is explored whole. The search for a counterexample of a
    mutant ends when it is found.
    """
    model = specification.build(without)
    model.invariants = specification.invariants
    if without is not None:
        name = specification.safeguards[without]
        model.invariants = {name: specification.invariants[name]}
    end_where_broken(model, stop=without is not None)
    report = check_safety(model, MAX_STATES)
    broken = {}
    for name, found in report["properties"].items():
        if found["holds"] is False:
            steps = found["counterexample"]
            broken[name] = tuple(str(step["label"]) for step in steps[1:])
    exhaustive = report["exhaustive"] and without is None
    return Verdict(report["reachable_states"], exhaustive, broken)


def end_where_broken(model: Protocol, stop: bool):
    """Explore nothing beyond a state that breaks an invariant.

    With `stop`, nothing at all is explored after the first such state.
    """
    transitions, invariants = model.transitions, model.invariants
    found = False

    def guarded(state):
        nonlocal found
        if stop and found:
            return []
        view = model.d(state)
        if all(holds(view) for holds in invariants.values()):
            return transitions(state)
        found = True
        return []

    model.transitions = guarded


def machine(name, initial, transitions) -> Protocol:
    """Build a machine from a named tuple; `check` adds the invariants."""
    return Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=transitions,
        invariants={},
    )
