"""Handover of cells to other daemons while this one drains."""

import asyncio

from grpclib.client import Channel

from carobramp_core.cells.lease_limits import report_limits
from carobramp_daemon.cells.claim_checks import CALL_ERRORS
from carobramp_daemon.cells.clock import now
from carobramp_daemon.cells.frames import encode_lease_limits, encode_upstream
from carobramp_daemon.cells.owner import OwnerService
from carobramp_daemon.cells.rows import VmRow
from carobramp_schema.generated import cells_grpc
from carobramp_schema.generated import cells_pb2 as pb

# Longest wait for one daemon; it writes its claim to the store within this time.
TAKEOVER_TIMEOUT_S = 1.0
# Pause between rounds in which every daemon is asked.
ROUND_INTERVAL_S = 0.2


async def hand_over_cells(coordinator):
    """Hand over all owned cells; repeat until none is left or the task is cancelled."""
    while coordinator.owned:
        for service in list(coordinator.owned.values()):
            await hand_over_cell(coordinator, service)
        if coordinator.owned:
            await asyncio.sleep(ROUND_INTERVAL_S)


async def hand_over_cell(coordinator, service: OwnerService):
    """Ask the daemons in turn to take over a cell until one has.

    The deputy is asked first, then daemons in the zone of the cell, each group in the
    order of `candidate_sort_key`.
    """
    cell, deputy = service.owner.cell, service.deputy
    candidates = [
        vm for vm in coordinator.rows.vms().values() if vm.vm != coordinator.own_row.vm
    ]
    candidates.sort(
        key=lambda vm: (
            deputy is None or vm.incarnation != deputy.incarnation,
            vm.availability_zone != cell,
            vm.candidate_sort_key(),
        )
    )
    for vm in candidates:
        if coordinator.owned.get(cell) is not service:
            return
        if await request_takeover(service, coordinator.own_row, vm):
            coordinator.event_log.info("cell handed over", cell=cell, to=vm.vm)
            coordinator.stop_owning(service)


async def request_takeover(service: OwnerService, own_row: VmRow, vm: VmRow) -> bool:
    """Ask one daemon to take over a cell; return whether it has claimed it."""
    channel = Channel(vm.host, vm.port)
    upstreams = [upstream.record for upstream in service.owner.upstreams.values()]
    request = pb.TakeOver(
        cell=service.owner.cell,
        vm=own_row.vm,
        upstreams=map(encode_upstream, upstreams),
        lease_limits=encode_lease_limits(
            report_limits(service.owner.lease_limits(), now())
        ),
    )
    try:
        async with asyncio.timeout(TAKEOVER_TIMEOUT_S):
            reply = await cells_grpc.CellsStub(channel).TakeCell(request)
        return reply.taken
    except CALL_ERRORS:
        return False
    finally:
        channel.close()
