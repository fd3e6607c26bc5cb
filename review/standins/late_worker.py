"""A worker that leaves a share of its orders unanswered and carries them out late."""

import asyncio
import random
import types

from carobramp_testing.standins.leased import Worker

LATE_S = (2.0, 12.0)


class LateWorker(Worker):
    """Worker whose start and stop orders may be late; it answers every hold.

    Attributes
    ==========

    late_share : share of the orders that get no answer and are carried out late
    """

    late_share = 0.0

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
        order = types.SimpleNamespace(headers=request.headers.copy())
        order.json = make_json(body)
        self.late_orders = getattr(self, "late_orders", set())
        task = asyncio.create_task(self.later(carry_out, order))
        self.late_orders.add(task)
        task.add_done_callback(self.late_orders.discard)
        await asyncio.Event().wait()

    async def later(self, carry_out, order):
        """Carry out an order late; its answer reaches nobody."""
        await asyncio.sleep(random.uniform(*LATE_S))
        try:
            await carry_out(order)
        except Exception:  # An order for another incarnation is refused.
            return


def make_json(body):
    """Return a coroutine function that returns a body."""

    async def read():
        return body

    return read
