"""Calls to peers, upstreams and the owner before a daemon takes over a cell."""

import asyncio
import dataclasses
import math
from collections.abc import Iterable

import grpclib.exceptions
import h2.exceptions
from google.protobuf.message import DecodeError
from grpclib.client import Channel

from carobramp_core.cells.claims import ClaimView, choose_probed_upstreams
from carobramp_core.cells.lease_limits import LeaseLimits, reported_limits
from carobramp_core.cells.orders import NoAnswer, PollOrder, UpstreamRecord
from carobramp_core.cells.ports import UpstreamOrders
from carobramp_daemon.cells.clock import now
from carobramp_daemon.cells.frames import decode_lease_limits
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
CALL_TIMEOUT_S = 0.15
# Shorter, as the owner has been silent for a while and the takeover has to be completed
# before the leases of its upstreams expire.
OWNER_TIMEOUT_S = 0.1
MAX_ASKED_PEERS = 5


class ClaimChecks:
    """Finds out whether the owner of a cell is alive and whether a claim makes sense.

    Parameters
    ==========

    own_row : row of this daemon
    orders : sends orders to upstreams
    """

    def __init__(self, own_row: VmRow, orders: UpstreamOrders):
        self.own_row = own_row
        self.orders = orders

    async def survey_peers(
        self, cell, row: CellRow | None, vms: Iterable[VmRow], view: ClaimView
    ) -> ClaimView:
        """Ask peers about the owner of a cell; return the view with their answers.

        Peers in the zone of the cell are asked first. The rank of this daemon is the
        number of peers that are candidates too and precede it.
        """
        owner_vm = row.vm if row else ""
        others = [vm for vm in vms if vm.vm not in (self.own_row.vm, owner_vm)]
        others.sort(
            key=lambda vm: (vm.availability_zone != cell, vm.candidate_sort_key())
        )
        asked = others[:MAX_ASKED_PEERS]
        question = pb.OwnerQuestion(cell=cell, vm=owner_vm)
        asked_at = now()
        replies = await asyncio.gather(*(self.ask_peer(vm, question) for vm in asked))
        answers = [reply for reply in replies if reply is not None]
        peer_limits = LeaseLimits()
        for answer in answers:
            report = decode_lease_limits(answer.lease_limits)
            peer_limits = peer_limits.merge(reported_limits(report, asked_at))
        sort_keys = {vm.vm: vm.candidate_sort_key() for vm in asked}
        preceding = [
            answer
            for answer in answers
            if answer.candidate
            and sort_keys.get(answer.vm, ()) < self.own_row.candidate_sort_key()
        ]
        return dataclasses.replace(
            view,
            rank=len(preceding),
            peers_answered=len(answers),
            peers_hearing_owner=sum(answer.hears for answer in answers),
            peers_heard_owner_at=max(
                (
                    asked_at - answer.owner_silence_ms / 1000
                    for answer in answers
                    if answer.owner_silence_ms
                ),
                default=-math.inf,
            ),
            peer_lease_limits=peer_limits,
        )

    async def ask_peer(
        self, vm: VmRow | CellRow, question, timeout=CALL_TIMEOUT_S
    ) -> pb.OwnerAnswer | None:
        """Ask one daemon about an owner; return None if it does not answer in time."""
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

        It is asked last: just after a network partition has healed, upstreams answer
        again while the silence of the owner during the partition still counts.
        """
        if row.vm == self.own_row.vm:
            return False
        question = pb.OwnerQuestion(cell=cell, vm=row.vm)
        answer = await self.ask_peer(row, question, OWNER_TIMEOUT_S)
        return answer is not None and answer.hears

    async def any_upstream_answers(
        self, cell, upstreams: Iterable[UpstreamRecord], probe_round
    ) -> bool:
        """Whether an upstream of a cell answers a poll, if only by rejecting it.

        `probe_round` is the number of earlier rounds, in which others were asked.
        """
        members = [u for u in upstreams if u.availability_zone == cell]
        if not members:
            # An empty cell is not worth a claim. During a network partition, entries of
            # live upstreams may also have expired from the list.
            return False
        probes = [
            PollOrder(u.name, u.address, 0, 0, None, 0, CALL_TIMEOUT_S)
            for u in choose_probed_upstreams(members, probe_round)
        ]
        outcomes = await asyncio.gather(*(self.orders.poll(order) for order in probes))
        return any(not isinstance(outcome, NoAnswer) for outcome in outcomes)
