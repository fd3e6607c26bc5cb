"""gRPC handlers for questions of other daemons about the owners of cells."""

from carobramp_core.cells.lease_limits import (
    report_limits,
)
from carobramp_daemon.cells.clock import now
from carobramp_daemon.cells.frames import (
    decode_lease_limits,
    decode_upstream,
    encode_lease_limits,
)
from carobramp_schema.generated import cells_grpc
from carobramp_schema.generated import cells_pb2 as pb

# Longest time since the last message of a link whose owner counts as alive.
RECENT_MESSAGE_S = 0.25


class CellRpcHandlers(cells_grpc.CellsBase):
    """Answers calls of other daemons on behalf of the coordinator of this one."""

    def __init__(self, coordinator):
        self.coordinator = coordinator

    async def HearsOwner(self, stream):
        """Reply whether this daemon owns a cell or has a live link to its owner."""
        request = await stream.recv_message()
        coordinator = self.coordinator
        state = coordinator.cells.get(request.cell)
        hears = request.cell in coordinator.owned
        if state is not None and state.link is not None:
            recent = now() - state.link.last_received_at < RECENT_MESSAGE_S
            hears = hears or recent and state.name in coordinator.entry_service.links
        candidate = (
            coordinator.own_row.availability_zone == request.cell
            and not coordinator.draining
            and request.vm != coordinator.own_row.vm
        )
        answer = pb.OwnerAnswer(
            hears=hears,
            vm=coordinator.own_row.vm,
            candidate=candidate,
            owner_silence_ms=coordinator.owner_silence_ms(request.cell),
            lease_limits=encode_lease_limits(
                report_limits(coordinator.known_lease_limits(request.cell), now())
            ),
        )
        await stream.send_message(answer)

    async def TakeCell(self, stream):
        """Claim a cell at the request of its owner, which is draining."""
        request = await stream.recv_message()
        coordinator = self.coordinator
        state = coordinator.cells.get(request.cell)
        taken = False
        if state is not None and coordinator.may_claim():
            row, version = coordinator.rows.cell(request.cell)
            if row is not None and row.vm == request.vm:
                state.known_upstreams = tuple(map(decode_upstream, request.upstreams))
                report = decode_lease_limits(request.lease_limits)
                predecessor = coordinator.handover_predecessor(state, report)
                taken = await coordinator.claim(state, row, version, predecessor)
        await stream.send_message(pb.TakeOverReply(taken=taken))
