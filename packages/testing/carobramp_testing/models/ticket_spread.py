"""Specification of ticket spreading, restarts and outages.

Explanation
===========

Two VMs serve while tickets are accepted. Reads are stale, records come twice or with
gaps, VMs crash and start again, the link between them and the platform fail. What is
fetched, applied and served is decided by `carobramp_core.tickets.propagation`.
"""

import functools
from typing import NamedTuple

from minicheck import Protocol

from carobramp_core.tickets.propagation import (
    READY,
    TABLE_SOURCE,
    HeadRead,
    InvalidRecord,
    NumberReported,
    PeerReported,
    ReportedNumbers,
    StateInstalled,
    TicketPropagation,
    apply_record,
    newer_state,
    not_ready_reason,
)
from carobramp_core.tickets.state import DeploymentState, content_digest
from carobramp_schema.generated.ticket import (
    TeamChange,
    TeamState,
    Ticket,
    TicketRecord,
)

MAX_NUMBER = 3
# Two tickets are enough for a counterexample of each mutant.
MUTANT_MAX_NUMBER = 2
MAX_GAP = 512
ROUNDS = MAX_NUMBER + 2
DOWN, STARTING, SERVING = "down", "starting", "serving"
SAFEGUARDS = (
    "number never falls",
    "records in order",
    "present head at start",
    "numbers heard by peers at start",
    "numbers in heartbeats and head polls",
)


class Vm(NamedTuple):
    """One VM; `served` is the highest number that any of its processes served."""

    mode: str = SERVING
    number: int = 0
    heard: int = 0
    served: int = 0


class World(NamedTuple):
    """Number of accepted tickets, the VMs, their connections and what went wrong."""

    accepted: int = 0
    a: Vm = Vm()
    b: Vm = Vm()
    linked: bool = True
    platform: bool = True
    fell: bool = False
    holes: bool = False
    reverted: bool = False


@functools.cache
def state_at(number):
    """Return the real state at a number."""
    if number == 0:
        return DeploymentState()
    return state_at(number - 1).apply(ticket_at(number))


@functools.cache
def ticket_at(number):
    """Return the real ticket of a number."""
    change = TeamChange(f"team-{number}", 0, TeamState(8))
    return Ticket(number, "anna", teams=[change])


@functools.cache
def record_at(number):
    """Return the real record of a number."""
    ticket = ticket_at(number)
    return TicketRecord(ticket, content_digest(ticket), state_at(number).digest(), 0)


@functools.cache
def hear(vm, event, without):
    """Return a VM after an observation, by the real rules."""
    if without == "numbers in heartbeats and head polls":
        return vm
    return vm._replace(heard=spread_of(vm, event).highest_known_number)


def spread_of(vm, *events):
    """Return the real object with the VM's numbers after events."""
    propagation = TicketPropagation(MAX_GAP, 0.0)
    propagation.handle(StateInstalled(vm.number, state_at(vm.number).digest()), 0.0)
    propagation.handle(NumberReported(vm.heard), 0.0)
    for event in events:
        propagation.handle(event, 0.0)
    return propagation


@functools.cache
def fetches(vm, peer_number):
    """Return whether the VM asks its peer, and whether it asks the table."""
    alone = spread_of(vm).next_fetch(0.0)
    event = PeerReported("peer", True, peer_number, peer_number)
    both = spread_of(vm, event).next_fetch(0.0)
    from_peer = both is not None and both.source != TABLE_SOURCE
    return from_peer, alone is not None and alone.source == TABLE_SOURCE


@functools.cache
def applied(number, record_number, without):
    """Return the number after one record, and whether it left a hole."""
    after = apply_record(state_at(number), record_at(record_number))
    if isinstance(after, InvalidRecord) and without == "records in order":
        return record_number, True
    return (number if isinstance(after, InvalidRecord) else after.number), False


@functools.cache
def adopted(number, fetched, without):
    """Return the number after a whole state was fetched."""
    if without == "number never falls":
        return fetched
    return newer_state(state_at(number), state_at(fetched)).number


def is_up(vm):
    """Whether a VM answers."""
    return vm.mode != DOWN


def with_number(world, name, number, holes=False):
    """Bring a state into force and note what must never happen."""
    vm = getattr(world, name)
    after = vm._replace(number=number, heard=max(vm.heard, number))
    if after.mode == SERVING:
        after = after._replace(served=max(after.served, number))
    return world._replace(
        **{name: after},
        fell=world.fell or number < vm.number,
        holes=world.holes or holes,
    )


def vm_steps(name, world, without):
    """Yield the steps of one VM."""
    vm = getattr(world, name)
    if vm.mode == DOWN:
        yield "starts", world._replace(**{name: vm._replace(mode=STARTING)})
        return
    gone = Vm(DOWN, 0, 0, vm.served)
    yield "crashes", world._replace(**{name: gone})
    if vm.mode == STARTING:
        yield from start_steps(name, world, without)
    if world.platform:
        yield from table_steps(name, world, without)
    peer = getattr(world, other(name))
    if world.linked and is_up(peer):
        yield from peer_steps(name, world, peer, without)


def other(name):
    """Return the name of the other VM."""
    return "b" if name == "a" else "a"


def table_steps(name, world, without):
    """Yield what a VM does with the table; any read may be stale."""
    vm = getattr(world, name)
    most = MUTANT_MAX_NUMBER if without else MAX_NUMBER
    is_next = vm.mode == SERVING and vm.number == world.accepted < most
    if is_next:
        more = world._replace(accepted=world.accepted + 1)
        yield "accepts", with_number(more, name, more.accepted)
        yield "accepts without a reply", more
    for known in range(world.accepted + 1):
        event = HeadRead(known, state_at(known).digest())
        after = hear(vm, event, without)
        yield f"polls {known}", world._replace(**{name: after})
        if fetches(vm, 0)[1]:
            yield from fetch_steps(name, world, known, "the table", without)


def peer_steps(name, world, peer, without):
    """Yield what a VM does with its peer."""
    vm = getattr(world, name)
    event = PeerReported("peer", True, peer.number, peer.heard)
    yield "hears its peer", world._replace(**{name: hear(vm, event, without)})
    if fetches(vm, peer.number)[0]:
        yield from fetch_steps(name, world, peer.number, "its peer", without)


def fetch_steps(name, world, known, source, without):
    """Yield the results of a fetch: a record, one that does not follow, a state."""
    number = getattr(world, name).number
    for record in range(1, known + 1):
        after, holes = applied(number, record, without)
        label = f"applies {record} of {source}"
        yield label, with_number(world, name, after, holes)
    after = adopted(number, known, without)
    yield f"takes state {known} of {source}", with_number(world, name, after)


def start_steps(name, world, without):
    """Yield a starting VM that becomes ready."""
    vm = getattr(world, name)
    peer = getattr(world, other(name))
    reachable = world.linked and is_up(peer)
    heads = [None]
    if world.platform:
        heads = [world.accepted]
        if without == "present head at start":
            heads = list(range(world.accepted + 1))
    peers = (ReportedNumbers(peer.number, peer.heard),) if reachable else ()
    if without == "numbers heard by peers at start":
        peers = tuple(ReportedNumbers(p.number, 0) for p in peers)
    known = world.accepted if world.platform else 0
    if reachable:
        known = max(known, peer.number, peer.heard)
    for head in heads:
        if not_ready_reason(vm.number, head, None, peers) != READY:
            continue
        # What this VM served before must not be lost where it could be known.
        reverted = vm.number < min(vm.served, known)
        ready = vm._replace(mode=SERVING, served=max(vm.served, vm.number))
        yield (
            "is ready",
            world._replace(**{name: ready}, reverted=world.reverted or reverted),
        )


def transitions(world, without):
    """Return every next state."""
    if not all(rule(world._asdict()) for rule in invariants(without).values()):
        return []
    found = [
        (f"{name} {label}", after)
        for name in ("a", "b")
        for label, after in vm_steps(name, world, without)
    ]
    found.append(("link changes", world._replace(linked=not world.linked)))
    found.append(("platform changes", world._replace(platform=not world.platform)))
    return found


@functools.cache
def converges(world, without):
    """Whether all is in force everywhere after some rounds of connected work.

    One round is a heartbeat, a head poll and a fetch of each VM, none of them lost
    or stale; no operator changes anything meanwhile.
    """
    world = world._replace(linked=True, platform=True)
    for _ in range(ROUNDS):
        for name in ("a", "b"):
            world = one_round(name, world, without)
    vms = (world.a, world.b)
    return all(vm.mode == SERVING and vm.number == world.accepted for vm in vms)


def one_round(name, world, without):
    """Return the world after one round of a VM."""
    vm = getattr(world, name)
    if vm.mode == DOWN:
        vm = vm._replace(mode=STARTING)
    peer = getattr(world, other(name))
    if is_up(peer):
        event = PeerReported("peer", True, peer.number, peer.heard)
        vm = hear(vm, event, without)
    digest = state_at(world.accepted).digest()
    vm = hear(vm, HeadRead(world.accepted, digest), without)
    world = world._replace(**{name: vm})
    if fetches(vm, 0)[1]:
        for record in range(1, world.accepted + 1):
            number = getattr(world, name).number
            after, _ = applied(number, record, without)
            world = with_number(world, name, after)
    if vm.mode == STARTING:
        ready = (after for _, after in start_steps(name, world, without))
        return next(ready, world)
    return world


@functools.cache
def invariants(without):
    """Return the invariants of the machine without a safeguard."""
    return {
        "the number of a process never falls": lambda view: not view["fell"],
        "tickets are applied whole and in order": lambda view: not view["holes"],
        "a restart keeps what could be known": lambda view: not view["reverted"],
        "in force everywhere once connected": lambda view: converges(
            World(**view), without
        ),
    }


def build(without: str | None = None) -> Protocol:
    """Return the machine, without the named safeguard."""
    return Protocol(
        name="ticket spreading",
        candidate=False,
        fields=World._fields,
        initial=World(),
        transitions=lambda world: transitions(world, without),
        invariants=invariants(without),
    )
