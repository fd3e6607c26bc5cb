"""Checks a change ticket whole against the state before it."""

import dataclasses
import functools
import ipaddress

from carobramp_core.tickets.state import OBJECT_KINDS, DeploymentState
from carobramp_schema import InvalidInput
from carobramp_schema.generated.ticket import ServiceState, Ticket, UpstreamState

MAX_OBJECTS = {"services": 256, "upstreams": 4096, "teams": 1024}
"""Objects in force at once; the same as in the state document's schema."""

MAX_RESERVED_PERCENT = 90
"""Sum over the classes of a service, so that every class keeps some slots."""


@dataclasses.dataclass(frozen=True)
class InvalidTicket:
    """The ticket breaks a rule."""

    fault: InvalidInput


@dataclasses.dataclass(frozen=True)
class BaseOutdated:
    """An object was set by another ticket than the one that this one is based on."""

    fault: InvalidInput


def validate_ticket(
    ticket: Ticket, state: DeploymentState
) -> InvalidTicket | BaseOutdated | None:
    """Return the first fault of `ticket` as the successor of `state`, or None."""
    for kind in OBJECT_KINDS:
        fault = check_changes(kind, getattr(ticket, kind), state)
        if fault is not None:
            return fault
    return check_whole(ticket, state.apply(ticket))


def check_changes(kind, changes, state):
    """Check the changes of one kind, each by itself."""
    seen = set()
    for index, change in enumerate(changes):
        path = f"$.{kind}[{index}]"
        if change.name in seen:
            return invalid(f"{path}.name", "each object once", change.name)
        seen.add(change.name)
        if not change.name.isprintable():
            return invalid(f"{path}.name", "printable characters", repr(change.name))
        fault = check_base(path, change, getattr(state, kind).get(change.name))
        if fault is None and change.state is not None:
            fault = check_object(change.state, path)
        if fault is not None:
            return fault
    return None


def check_base(path, change, present):
    """Check that the change is based on the last ticket that set the object."""
    last = present.number if present else 0
    if change.based_on != last:
        expected = f"{last}, the ticket that last set {change.name}"
        fault = InvalidInput(f"{path}.based_on", expected, str(change.based_on))
        return BaseOutdated(fault)
    if change.state is None and present is None:
        return invalid(f"{path}.state", "an existing object to remove", change.name)
    return None


@functools.singledispatch
def check_object(state, path):
    """Check the new state of one object by itself."""
    return None


@check_object.register
def _(state: ServiceState, path):
    names = [item.name for item in state.classes]
    repeated = [name for name in names if names.count(name) > 1]
    if repeated:
        return invalid(f"{path}.state.classes", "unique class names", repeated[0])
    reserved = sum(item.reserved_percent for item in state.classes)
    if reserved > MAX_RESERVED_PERCENT:
        expected = f"a sum of reserved_percent up to {MAX_RESERVED_PERCENT}"
        return invalid(f"{path}.state.classes", expected, str(reserved))
    guard = state.guard
    if guard.open_min_ms > guard.open_max_ms:
        expected = f"at least open_min_ms, {guard.open_min_ms}"
        return invalid(f"{path}.state.guard.open_max_ms", expected, guard.open_max_ms)
    return None


@check_object.register
def _(state: UpstreamState, path):
    try:
        ipaddress.ip_address(state.host)
    except ValueError:
        return invalid(f"{path}.state.host", "an IP number", state.host)
    return None


def check_whole(ticket, after):
    """Check the state after the ticket: references and counts."""
    for index, change in enumerate(ticket.upstreams):
        if change.state is not None and change.state.service not in after.services:
            path = f"$.upstreams[{index}].state.service"
            return invalid(path, "an existing service", change.state.service)
    for kind, most in MAX_OBJECTS.items():
        count = len(getattr(after, kind))
        if count > most:
            return invalid(f"$.{kind}", f"at most {most} in force", str(count))
    return check_removed_services(ticket, after)


def check_removed_services(ticket, after):
    """Check that no upstream belongs to a removed service."""
    removed = {c.name: i for i, c in enumerate(ticket.services) if c.state is None}
    if not removed:
        return None
    for name, versioned in after.upstreams.items():
        service = versioned.state.service
        if service in removed:
            path = f"$.services[{removed[service]}].state"
            return invalid(path, "a service without upstreams", f"upstream {name}")
    return None


def invalid(field, expected, seen):
    """Return a fault of the ticket."""
    return InvalidTicket(InvalidInput(field, expected, str(seen)))
