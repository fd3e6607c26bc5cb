"""Handing cells over to other daemons before this one stops."""

import asyncio

from grpclib.client import Channel

from carobramp_daemon.cells.frames import encode_upstream
from carobramp_daemon.cells.owner import OwnerService
from carobramp_daemon.cells.questions import CALL_ERRORS
from carobramp_daemon.cells.rows import VmRow
from carobramp_schema.generated import cells_grpc
from carobramp_schema.generated import cells_pb2 as pb

# Longest wait for one daemon; it includes a claim at the store.
GIVE_TIMEOUT_S = 1.0
# Time between rounds in which every daemon is asked.
RETRY_S = 0.2


async def hand_over_cells(coordinator):
    """Let other daemons take over the owned cells of a fleet service."""
    while coordinator.owned:
        for service in list(coordinator.owned.values()):
            await hand_over_cell(coordinator, service)
        if coordinator.owned:
            await asyncio.sleep(RETRY_S)


async def hand_over_cell(coordinator, service: OwnerService):
    """Ask one daemon after the other to take over a cell; the deputy goes first."""
    cell, deputy = service.owner.cell, service.deputy
    others = [
        vm for vm in coordinator.rows.vms().values() if vm.vm != coordinator.me.vm
    ]
    others.sort(
        key=lambda vm: (
            deputy is None or vm.incarnation != deputy.incarnation,
            vm.availability_zone != cell,
            vm.candidate_sort_key(),
        )
    )
    for vm in others:
        if coordinator.owned.get(cell) is not service:
            return
        if await give(service, coordinator.me, vm):
            coordinator.event_log.info("handed over", cell=cell, to=vm.vm)
            coordinator.disown(service)


async def give(service: OwnerService, me: VmRow, vm: VmRow) -> bool:
    """Ask one daemon to take over a cell."""
    channel = Channel(vm.host, vm.port)
    listed = [upstream.record for upstream in service.owner.upstreams.values()]
    request = pb.TakeOver(
        cell=service.owner.cell,
        vm=me.vm,
        upstreams=map(encode_upstream, listed),
    )
    try:
        async with asyncio.timeout(GIVE_TIMEOUT_S):
            reply = await cells_grpc.CellsStub(channel).TakeCell(request)
        return reply.taken
    except CALL_ERRORS:
        return False
    finally:
        channel.close()
