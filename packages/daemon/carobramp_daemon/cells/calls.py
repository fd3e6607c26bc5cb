"""Calls of other daemons about the owners of cells."""

from carobramp_daemon.cells.clock import now
from carobramp_daemon.cells.frames import decode_upstream
from carobramp_schema.generated import cells_grpc
from carobramp_schema.generated import cells_pb2 as pb

# A link is heard when its last message is this recent.
HEARD_S = 0.25


class CellCalls(cells_grpc.CellsBase):
    """Answers the calls of other daemons for the fleet service of this one."""

    def __init__(self, coordinator):
        self.coordinator = coordinator

    async def HearsOwner(self, stream):
        """Tell whether this daemon hears the owner of a cell."""
        question = await stream.recv_message()
        coordinator = self.coordinator
        state = coordinator.cells.get(question.cell)
        hears = question.cell in coordinator.owned
        if state is not None and state.link is not None:
            recent = now() - state.link.last_received_at < HEARD_S
            hears = hears or recent and state.name in coordinator.entry_service.links
        candidate = (
            coordinator.me.availability_zone == question.cell
            and not coordinator.draining
            and question.vm != coordinator.me.vm
        )
        answer = pb.OwnerAnswer(hears=hears, vm=coordinator.me.vm, candidate=candidate)
        await stream.send_message(answer)

    async def TakeCell(self, stream):
        """Take over a cell from an owner that is about to stop."""
        request = await stream.recv_message()
        coordinator = self.coordinator
        state = coordinator.cells.get(request.cell)
        taken = False
        if (
            state is not None
            and not coordinator.draining
            and coordinator.table.is_loaded()
        ):
            row, version = coordinator.rows.cell(request.cell)
            if row is not None and row.vm == request.vm:
                state.listed = tuple(map(decode_upstream, request.upstreams))
                taken = await coordinator.claim(state, row, version)
        await stream.send_message(pb.TakeOverReply(taken=taken))
