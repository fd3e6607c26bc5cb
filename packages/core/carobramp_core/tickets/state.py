"""Immutable deployment state, built by applying accepted tickets."""

import dataclasses
import functools
import hashlib
from collections.abc import Mapping
from typing import Any

from carobramp_schema import InvalidInput, canonical, decode
from carobramp_schema.generated.ticket import (
    ServiceObject,
    ServiceState,
    StateDocument,
    TeamObject,
    TeamState,
    Ticket,
    UpstreamObject,
    UpstreamState,
    ZoneObject,
)

OBJECT_KINDS = ("services", "upstreams", "teams", "availability_zones")
OBJECT_TYPES = {
    "services": ServiceObject,
    "upstreams": UpstreamObject,
    "teams": TeamObject,
    "availability_zones": ZoneObject,
}
# Tickets and documents without objects of these kinds do not have the field, so that
# their digests are those of earlier versions, which refuse an unknown field.
OPTIONAL_KINDS = frozenset({"availability_zones"})


@dataclasses.dataclass(frozen=True)
class VersionedObject:
    """State of one object and the number of the ticket that set it."""

    number: int
    state: Any
    digest: bytes

    @classmethod
    def create(cls, kind, name, number, state):
        """Create a versioned object and compute its digest."""
        content = canonical([kind, name, number, state])
        return cls(number, state, hashlib.sha256(content).digest())


@dataclasses.dataclass(frozen=True)
class DeploymentState:
    """State of the whole deployment after ticket `number`.

    Examples
    ========

    >>> from carobramp_schema.generated.ticket import TeamChange
    >>> team = TeamChange("bakery", 0, TeamState(quota_slots=8))
    >>> state = DeploymentState().apply(Ticket(1, "anna", teams=[team]))
    >>> state.number, state.team("bakery").quota_slots
    (1, 8)
    """

    number: int = 0
    services: Mapping[str, VersionedObject] = dataclasses.field(default_factory=dict)
    upstreams: Mapping[str, VersionedObject] = dataclasses.field(default_factory=dict)
    teams: Mapping[str, VersionedObject] = dataclasses.field(default_factory=dict)
    availability_zones: Mapping[str, VersionedObject] = dataclasses.field(
        default_factory=dict
    )

    def service(self, name) -> ServiceState | None:
        """Return the state of a service, or None."""
        return _state_of(self.services, name)

    def upstream(self, name) -> UpstreamState | None:
        """Return the state of an upstream, or None."""
        return _state_of(self.upstreams, name)

    def team(self, name) -> TeamState | None:
        """Return the state of a team, or None."""
        return _state_of(self.teams, name)

    def evacuated_zones(self) -> dict[str, int]:
        """Return the evacuated availability zones, each with the ticket that set it."""
        return {
            name: versioned.number
            for name, versioned in sorted(self.availability_zones.items())
            if versioned.state.evacuated
        }

    def apply(self, ticket: Ticket) -> "DeploymentState":
        """Return the state after `ticket`; raise ValueError unless it is the next."""
        if ticket.number != self.number + 1:
            raise ValueError(
                f"ticket {ticket.number} does not follow state {self.number}"
            )
        changed = {
            kind: _apply_changes(kind, getattr(self, kind), ticket)
            for kind in OBJECT_KINDS
        }
        return DeploymentState(number=ticket.number, **changed)

    def digest(self) -> str:
        """Return the SHA-256 digest of the whole state, hexadecimal and cached."""
        return self._digest

    @functools.cached_property
    def _digest(self):
        hasher = hashlib.sha256(str(self.number).encode())
        for kind in OBJECT_KINDS:
            objects = getattr(self, kind)
            for name in sorted(objects):
                hasher.update(objects[name].digest)
        return hasher.hexdigest()


def encode_state(state: DeploymentState) -> bytes:
    """Encode the whole state as a canonical JSON document."""
    lists = {
        kind: [
            OBJECT_TYPES[kind](name, versioned.number, versioned.state)
            for name, versioned in sorted(getattr(state, kind).items())
        ]
        for kind in OBJECT_KINDS
        if getattr(state, kind) or kind not in OPTIONAL_KINDS
    }
    return canonical(StateDocument(number=state.number, **lists))


def decode_state(data: bytes, digest: str) -> DeploymentState | InvalidInput:
    """Decode a state document; return InvalidInput unless its digest is `digest`."""
    document = decode(data, StateDocument)
    if isinstance(document, InvalidInput):
        return document
    objects = {
        kind: {
            entry.name: VersionedObject.create(
                kind, entry.name, entry.number, entry.state
            )
            for entry in getattr(document, kind) or ()
        }
        for kind in OBJECT_KINDS
    }
    state = DeploymentState(document.number, **objects)
    if state.digest() != digest:
        return InvalidInput("$", f"a state with digest {digest}", state.digest())
    return state


def changes_of(ticket: Ticket, kind):
    """Return the changes of one kind of object in a ticket."""
    return getattr(ticket, kind) or ()


def content_digest(ticket: Ticket) -> str:
    """Return the SHA-256 digest of a ticket's content, hexadecimal."""
    return hashlib.sha256(canonical(ticket)).hexdigest()


def _state_of(objects, name):
    versioned = objects.get(name)
    return versioned.state if versioned else None


def _apply_changes(kind, objects, ticket):
    changes = changes_of(ticket, kind)
    if not changes:
        return objects
    result = dict(objects)
    for change in changes:
        if change.state is None:
            result.pop(change.name, None)
            continue
        result[change.name] = VersionedObject.create(
            kind, change.name, ticket.number, change.state
        )
    return result
