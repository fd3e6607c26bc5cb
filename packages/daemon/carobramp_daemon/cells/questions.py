"""Questions that a daemon asks before it takes over a cell."""

import asyncio
import dataclasses
from collections.abc import Iterable

import grpclib.exceptions
import h2.exceptions
from google.protobuf.message import DecodeError
from grpclib.client import Channel

from carobramp_core.cells.claims import ClaimView
from carobramp_core.cells.orders import NoAnswer, PollOrder, UpstreamRecord
from carobramp_core.cells.ports import UpstreamOrders
from carobramp_daemon.cells.rows import CellRow, VmRow
from carobramp_schema.generated import cells_grpc
from carobramp_schema.generated import cells_pb2 as pb

CALL_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    h2.exceptions.H2Error,
    DecodeError,
    AssertionError,
)
ASK_TIMEOUT_S = 0.15
# The owner has already been silent on its link; the whole takeover of its cell has to
# fit into what is left of the leases.
OWNER_TIMEOUT_S = 0.1
WITNESSES = 5
PROBED_UPSTREAMS = 3


class Questions:
    """Asks other daemons and upstreams about the owner of a cell.

    Parameters
    ==========

    me : row of this daemon
    orders : sends orders to upstreams
    """

    def __init__(self, me: VmRow, orders: UpstreamOrders):
        self.me = me
        self.orders = orders

    async def survey(
        self, cell, row: CellRow | None, vms: Iterable[VmRow], view: ClaimView
    ) -> ClaimView:
        """Ask other daemons whether they hear the owner; return what is known then."""
        silent = row.vm if row else ""
        others = [vm for vm in vms if vm.vm not in (self.me.vm, silent)]
        others.sort(
            key=lambda vm: (vm.availability_zone != cell, vm.candidate_sort_key())
        )
        asked = others[:WITNESSES]
        question = pb.OwnerQuestion(cell=cell, vm=silent)
        replies = await asyncio.gather(*(self.ask(vm, question) for vm in asked))
        answers = [reply for reply in replies if reply is not None]
        known = {vm.vm: vm.candidate_sort_key() for vm in asked}
        before = [
            answer
            for answer in answers
            if answer.candidate
            and known.get(answer.vm, ()) < self.me.candidate_sort_key()
        ]
        return dataclasses.replace(
            view,
            rank=len(before),
            peers_answered=len(answers),
            peers_hearing_owner=sum(answer.hears for answer in answers),
        )

    async def ask(
        self, vm: VmRow | CellRow, question, timeout=ASK_TIMEOUT_S
    ) -> pb.OwnerAnswer | None:
        """Ask one daemon whether it hears an owner."""
        channel = Channel(vm.host, vm.port)
        try:
            async with asyncio.timeout(timeout):
                return await cells_grpc.CellsStub(channel).HearsOwner(question)
        except CALL_ERRORS:
            return None
        finally:
            channel.close()

    async def owner_answers(self, cell, row: CellRow) -> bool:
        """Whether the silent owner of a cell answers after all.

        It is asked last: a cut that has just healed lets the upstreams answer while
        the earlier silence still counts.
        """
        if row.vm == self.me.vm:
            return False
        question = pb.OwnerQuestion(cell=cell, vm=row.vm)
        answer = await self.ask(row, question, OWNER_TIMEOUT_S)
        return answer is not None and answer.hears

    async def reaches(self, cell, listed: Iterable[UpstreamRecord]) -> bool:
        """Whether an upstream of a cell answers this daemon."""
        members = [u for u in listed if u.availability_zone == cell]
        if not members:
            # Nothing can be gained, and entries may have expired behind a cut.
            return False
        probes = [
            PollOrder(u.name, u.address, 0, 0, None, 0, ASK_TIMEOUT_S)
            for u in members[:: max(1, len(members) // PROBED_UPSTREAMS)]
        ]
        outcomes = await asyncio.gather(*(self.orders.poll(order) for order in probes))
        return any(not isinstance(outcome, NoAnswer) for outcome in outcomes)
