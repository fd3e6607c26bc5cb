"""Runs the dispatcher: passes it events and carries out its effects."""

import asyncio
import collections
import functools
import random
import time

from mode import Service

from carobramp_core.dispatch.engine import Dispatcher
from carobramp_core.dispatch.messages import (
    CancelTask,
    DeploymentStateChanged,
    IncrementCounter,
    JobFinished,
    RecordHistogram,
    StartTask,
    Tick,
)
from carobramp_schema.generated.settings import Settings

EVENTS_PER_TURN = 64


class DispatchService(Service):
    """Passes events to the dispatcher and carries out its effects.

    Parameters
    ==========

    settings : settings of the daemon
    upstreams : client that carries out `StartTask` and `CancelTask`
    on_finished : called with each `JobFinished`
    metrics : metrics of the daemon
    """

    def __init__(self, settings: Settings, upstreams, on_finished, metrics):
        super().__init__()
        rng = random.Random(settings.dispatch.seed or None)
        vm = settings.vm
        self.dispatcher = Dispatcher(
            settings.dispatch, rng, vm.availability_zone, vm.name
        )
        self.upstreams = upstreams
        self.on_finished = on_finished
        self.metrics = metrics
        self.inbox: collections.deque = collections.deque()
        self.event_added = asyncio.Event()

    def send(self, event):
        """Queue an event for the dispatcher."""
        self.inbox.append(event)
        self.event_added.set()

    @Service.task
    async def handle_events(self):
        """Handle events and timers until the service stops."""
        while not self.should_stop:
            await self.wait_for_event()
            for _ in range(EVENTS_PER_TURN):
                if not self.inbox:
                    break
                self.handle(self.inbox.popleft())
            # Yields to socket handlers even when the inbox never becomes empty.
            await asyncio.sleep(0)

    def handle(self, event):
        """Handle one event and carry out its effects.

        A new state also closes the connections to upstreams that it removed.
        """
        for effect in self.dispatcher.handle(event, time.monotonic()):
            carry_out(effect, self)
        if isinstance(event, DeploymentStateChanged):
            self.upstreams.keep_only(event.state.upstreams)

    async def wait_for_event(self):
        """Wait for an event; queue a `Tick` when the dispatcher's next timer ends."""
        if self.inbox:
            return
        self.event_added.clear()
        now = time.monotonic()
        wakeup = self.dispatcher.next_wakeup(now)
        timeout = None if wakeup is None else max(0.0, wakeup - now)
        try:
            async with asyncio.timeout(timeout):
                await self.event_added.wait()
        except TimeoutError:
            self.inbox.append(Tick())


@functools.singledispatch
def carry_out(effect, service):
    """Carry out one effect of the dispatcher."""
    raise TypeError(f"unknown effect {effect!r}")


@carry_out.register
def _(effect: StartTask, service):
    service.metrics.increment("task_starts", effect.service)
    service.upstreams.start_task(effect, service.send)


@carry_out.register
def _(effect: CancelTask, service):
    service.upstreams.cancel_task(effect)


@carry_out.register
def _(effect: JobFinished, service):
    service.on_finished(effect)


@carry_out.register
def _(effect: IncrementCounter, service):
    service.metrics.increment(effect.counter, effect.label, effect.amount)


@carry_out.register
def _(effect: RecordHistogram, service):
    service.metrics.observe(effect.histogram, effect.label, effect.value)
