"""A worker that leaves a share of its orders unanswered and carries them out late."""

import asyncio
import random
import types

from aiohttp import web
from carobramp_testing.standins.leased import Worker

LATE_S = (2.0, 12.0)


class LateWorker(Worker):
    """Worker whose start and stop orders may be late; it answers every hold.

    Attributes
    ==========

    late_share : share of the orders that get no answer and are carried out late
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.late_share = 0.0
        self.late_orders: set[asyncio.Task] = set()

    async def on_start(self, request):
        """Start a run, now or late."""
        return await self.now_or_late(super().on_start, request)

    async def on_stop(self, request):
        """Stop a run, now or late."""
        return await self.now_or_late(super().on_stop, request)

    async def now_or_late(self, carry_out, request):
        """Carry out an order and answer it, or leave it unanswered for seconds."""
        if random.random() >= self.late_share:
            return await carry_out(request)
        body = await request.json()

        async def read():
            return body

        order = types.SimpleNamespace(headers=request.headers.copy(), json=read)
        task = asyncio.create_task(self.carry_out_late(carry_out, order))
        self.late_orders.add(task)
        task.add_done_callback(self.late_orders.discard)
        # The connection stays open until the daemon gives the order up.
        return await asyncio.Event().wait()

    async def carry_out_late(self, carry_out, order):
        """Carry out an order late; its answer reaches nobody."""
        await asyncio.sleep(random.uniform(*LATE_S))
        try:
            await carry_out(order)
        except web.HTTPException:
            # Another incarnation refuses the order.
            return

    async def stop(self):
        """Stop for good, with the orders that are still to come."""
        for task in tuple(self.late_orders):
            task.cancel()
        await super().stop()
