"""Validates a change ticket as a whole against the state before it."""

import dataclasses
import functools
import ipaddress

from carobramp_core.tickets.state import OBJECT_KINDS, DeploymentState, changes_of
from carobramp_schema import InvalidInput
from carobramp_schema.generated.ticket import ServiceState, Ticket, UpstreamState

MAX_OBJECTS = {
    "services": 256,
    "upstreams": 4096,
    "teams": 1024,
    "availability_zones": 64,
}
"""Maximum number of objects in a state, equal to the limits in its schema."""

MAX_ZONES_SHOWN = 20
"""Maximum number of known zones that a fault lists; bounds its size."""

MAX_RESERVED_PERCENT = 90
"""Maximum sum over the classes of a service; leaves every class some slots."""


@dataclasses.dataclass(frozen=True)
class InvalidTicket:
    """The ticket violates a rule; `fault` names the field."""

    fault: InvalidInput


@dataclasses.dataclass(frozen=True)
class BaseOutdated:
    """A change is not based on the ticket that last set its object."""

    fault: InvalidInput


def validate_ticket(
    ticket: Ticket, state: DeploymentState
) -> InvalidTicket | BaseOutdated | None:
    """Return the first fault of `ticket` as successor of `state`, None if valid."""
    for kind in OBJECT_KINDS:
        fault = check_changes(kind, changes_of(ticket, kind), state)
        if fault is not None:
            return fault
    return check_resulting_state(ticket, state.apply(ticket))


def check_changes(kind, changes, state):
    """Check the changes of one kind of object, each by itself."""
    changed_names = set()
    for index, change in enumerate(changes):
        path = f"$.{kind}[{index}]"
        if change.name in changed_names:
            return invalid_ticket(f"{path}.name", "each object once", change.name)
        changed_names.add(change.name)
        if not change.name.isprintable():
            return invalid_ticket(
                f"{path}.name", "printable characters", repr(change.name)
            )
        fault = check_base(path, change, getattr(state, kind).get(change.name))
        if fault is None and change.state is not None:
            fault = check_object_state(change.state, path)
        if fault is not None:
            return fault
    return None


def check_base(path, change, current):
    """Check that the change is based on the last ticket that set the object."""
    last_number = current.number if current else 0
    if change.based_on != last_number:
        expected = f"{last_number}, the ticket that last set {change.name}"
        fault = InvalidInput(f"{path}.based_on", expected, str(change.based_on))
        return BaseOutdated(fault)
    if change.state is None and current is None:
        return invalid_ticket(
            f"{path}.state", "an existing object to remove", change.name
        )
    return None


@functools.singledispatch
def check_object_state(state, path):
    """Check the new state of one object by itself."""
    return None


@check_object_state.register
def _(state: ServiceState, path):
    names = [item.name for item in state.classes]
    repeated_names = [name for name in names if names.count(name) > 1]
    if repeated_names:
        return invalid_ticket(
            f"{path}.state.classes", "unique class names", repeated_names[0]
        )
    reserved = sum(item.reserved_percent for item in state.classes)
    if reserved > MAX_RESERVED_PERCENT:
        expected = f"a sum of reserved_percent up to {MAX_RESERVED_PERCENT}"
        return invalid_ticket(f"{path}.state.classes", expected, str(reserved))
    guard = state.guard
    if guard.open_min_ms > guard.open_max_ms:
        expected = f"at least open_min_ms, {guard.open_min_ms}"
        return invalid_ticket(
            f"{path}.state.guard.open_max_ms", expected, guard.open_max_ms
        )
    return None


@check_object_state.register
def _(state: UpstreamState, path):
    try:
        ipaddress.ip_address(state.host)
    except ValueError:
        return invalid_ticket(f"{path}.state.host", "an IP number", state.host)
    return None


def check_resulting_state(ticket, state_after):
    """Check references and object counts in the state after the ticket."""
    for index, change in enumerate(ticket.upstreams):
        if (
            change.state is not None
            and change.state.service not in state_after.services
        ):
            path = f"$.upstreams[{index}].state.service"
            return invalid_ticket(path, "an existing service", change.state.service)
    for kind, limit in MAX_OBJECTS.items():
        count = len(getattr(state_after, kind))
        if count > limit:
            return invalid_ticket(f"$.{kind}", f"at most {limit} in force", str(count))
    fault = check_evacuated_zones(ticket, state_after)
    return fault or check_removed_services(ticket, state_after)


def check_evacuated_zones(ticket, state_after):
    """Check that each zone that the ticket evacuates has an upstream.

    The end of an evacuation is valid without, so that it is always possible.
    """
    evacuated = {
        index: change.name
        for index, change in enumerate(changes_of(ticket, "availability_zones"))
        if change.state is not None and change.state.evacuated
    }
    if not evacuated:
        return None
    known = {v.state.availability_zone for v in state_after.upstreams.values()}
    for index, name in evacuated.items():
        if name not in known:
            names = ", ".join(sorted(known)[:MAX_ZONES_SHOWN]) or "none"
            expected = f"an availability zone with upstreams ({names})"
            path = f"$.availability_zones[{index}].name"
            return invalid_ticket(path, expected, name)
    return None


def check_removed_services(ticket, state_after):
    """Check that no remaining upstream belongs to a service that is removed."""
    removed_indexes = {
        c.name: i for i, c in enumerate(ticket.services) if c.state is None
    }
    if not removed_indexes:
        return None
    for name, versioned in state_after.upstreams.items():
        service = versioned.state.service
        if service in removed_indexes:
            path = f"$.services[{removed_indexes[service]}].state"
            return invalid_ticket(
                path, "a service without upstreams", f"upstream {name}"
            )
    return None


def invalid_ticket(field, expected, value):
    """Return an `InvalidTicket` for a field with an unexpected value."""
    return InvalidTicket(InvalidInput(field, expected, str(value)))
