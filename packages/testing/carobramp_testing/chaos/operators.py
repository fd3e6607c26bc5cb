"""Operators of a chaos run, and the watch over ticket numbers."""

import asyncio
import collections
import random
import time

import aiohttp
import msgspec

from carobramp_schema.generated.ticket import (
    TeamChange,
    TeamState,
    Ticket,
    UpstreamChange,
)
from carobramp_testing.builders.tickets import QUOTA_SLOTS
from carobramp_testing.chaos.leaving import Leaving

PAUSE_S = 0.7
RETRY_PAUSE_S = 0.3
POLL_S = 0.25
CALL_TIMEOUT_S = 3.0
RIVAL_PERCENT = 20
# Tickets about something else, so that upstreams stay away longer than the grace.
REWEIGH_PERCENT = 80
TEAM = "festival"
TAKEN = "ticket_number_taken"
ACCEPTED = "accepted"


class Operators:
    """Put tickets that let upstreams leave and return; some race with a rival.

    A ticket without a definite answer is put again, unchanged, at another VM.
    """

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(f"operators:{seed}")
        first = deployment.first_ticket()
        self.upstreams = {change.name: change.state for change in first.upstreams}
        self.based_on = dict.fromkeys([*self.upstreams, TEAM], 1)
        self.leaving: dict[str, int] = {}
        self.begun: dict[int, float] = {}
        self.ended: list[Leaving] = []
        self.accepted: dict[int, list[Ticket]] = {1: [first]}
        self.answers: collections.Counter[str] = collections.Counter()

    async def run(self, stop):
        """Put tickets until the event `stop` is set."""
        while not stop.is_set():
            await self.put_next()
            await asyncio.sleep(PAUSE_S)

    async def put_next(self):
        """Put the next ticket, sometimes two with the same number at once."""
        number = max(self.accepted) + 1
        tickets = [self.toggle(number)]
        if self.rng.random() * 100 < REWEIGH_PERCENT:
            tickets = [self.reweigh(number, "operator")]
        if self.rng.random() * 100 < RIVAL_PERCENT:
            tickets.append(self.reweigh(number, "rival"))
        self.begun[number] = time.time()
        answers = await asyncio.gather(*(self.put(ticket) for ticket in tickets))
        for ticket, answer in zip(tickets, answers, strict=True):
            self.answers[answer] += 1
            if answer == ACCEPTED:
                self.accepted.setdefault(number, []).append(ticket)
                self.take(ticket)

    def toggle(self, number):
        """Build a ticket that lets one upstream leave, or the first one return."""
        spare = len(self.leaving) < len(self.upstreams) // 2
        staying = [name for name in self.upstreams if name not in self.leaving]
        name = self.rng.choice(staying) if spare else next(iter(self.leaving))
        state = msgspec.structs.replace(self.upstreams[name], leaving=spare)
        change = UpstreamChange(name, self.based_on[name], state)
        return Ticket(number=number, author="operator", upstreams=[change])

    def reweigh(self, number, author):
        """Build a ticket that changes the weight of a team.

        Different authors never write the same ticket, which both may have accepted.
        """
        state = TeamState(QUOTA_SLOTS, weight=self.rng.randint(1, 5))
        change = TeamChange(TEAM, self.based_on[TEAM], state)
        return Ticket(number=number, author=author, teams=[change])

    def take(self, ticket):
        """Note what an accepted ticket set."""
        for change in ticket.teams:
            self.based_on[change.name] = ticket.number
        for change in ticket.upstreams:
            self.based_on[change.name] = ticket.number
            if change.state.leaving:
                self.leaving[change.name] = ticket.number
            else:
                since = self.leaving.pop(change.name)
                end = self.begun[ticket.number]
                self.ended.append(Leaving(change.name, since, end))

    def leavings(self):
        """Return every time that an upstream was leaving, up to now."""
        now = time.time()
        present = (Leaving(n, since, now) for n, since in self.leaving.items())
        return [*self.ended, *present]

    async def put(self, ticket):
        """Put a ticket until it is accepted or its number is taken."""
        while True:
            reason = await self.put_once(
                self.rng.choice(list(self.deployment.vms)), ticket
            )
            if reason in (ACCEPTED, TAKEN):
                return reason
            self.answers[reason] += 1
            await asyncio.sleep(RETRY_PAUSE_S)

    async def put_once(self, vm, ticket):
        """Put a ticket at one VM; return the reason, or ``accepted``."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, body = await self.deployment.put_ticket(vm, ticket)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return "no_answer"
        return ACCEPTED if status == 200 else body.get("reason", f"status_{status}")

    def violations(self):
        """Return numbers under which two different tickets were accepted."""
        return [f"{n}: two accepted" for n, t in self.accepted.items() if len(t) > 1]


class NumberWatch:
    """Polls the ticket number of each entry VM process."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.samples: dict[tuple[str, int], list] = collections.defaultdict(list)

    async def run(self, stop):
        """Poll until the event `stop` is set."""
        while not stop.is_set():
            await asyncio.gather(*(self.poll(vm) for vm in self.deployment.vms))
            await asyncio.sleep(POLL_S)

    async def poll(self, vm):
        """Take one sample from a VM; return its number, or None."""
        pid = self.deployment.vms[vm].child.pid
        url = f"{self.deployment.url(vm)}/v1/status"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                number = (await self.deployment.get_json(url))["state_number"]
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
        if pid == self.deployment.vms[vm].child.pid:
            self.samples[vm, pid].append((time.time(), number))
        return number

    async def converge(self, number, seconds):
        """Wait until each VM has `number`; return the VMs that do not in time."""
        end = time.monotonic() + seconds
        while True:
            vms = list(self.deployment.vms)
            numbers = await asyncio.gather(*(self.poll(vm) for vm in vms))
            late = {v: n for v, n in zip(vms, numbers, strict=True) if n != number}
            if not late or time.monotonic() >= end:
                return late
            await asyncio.sleep(POLL_S)


def decreases(samples):
    """Return the processes whose ticket number decreased.

    Examples
    ========

    >>> decreases({("a", 1): [(0.1, 1), (0.2, 2)], ("b", 2): [(0.1, 3), (0.2, 2)]})
    [('b', 2)]
    """
    numbers = {key: [number for _, number in taken] for key, taken in samples.items()}
    return [key for key, seen in numbers.items() if seen != sorted(seen)]
