"""Links between entries and owners: gRPC streams with heartbeats both ways."""

import asyncio
import contextlib
import itertools

import grpclib.exceptions
from google.protobuf.message import DecodeError
from grpclib.client import Channel

from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import Room
from carobramp_daemon.cells import frames
from carobramp_daemon.cells.clock import now
from carobramp_schema.generated import cells_grpc
from carobramp_schema.generated import cells_pb2 as pb

LINK_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    DecodeError,
    ValueError,
    AssertionError,
)
# Frames that may wait for a peer that does not read; the link is closed beyond.
MAX_QUEUED_FRAMES = 2000
NUMBERS = itertools.count(1)


class FrameSender:
    """Sends queued messages on a stream, and heartbeats when there are none."""

    def __init__(self, stream, limits: CellLimits):
        self.stream = stream
        self.limits = limits
        self.queue: asyncio.Queue[pb.Frame] = asyncio.Queue()

    def send(self, message):
        """Queue a message; heartbeats are dropped while others wait."""
        if isinstance(message, Room) and not self.queue.empty():
            return
        self.queue.put_nowait(frames.encode(message))

    async def run(self):
        """Send until the stream or this task ends."""
        while self.queue.qsize() <= MAX_QUEUED_FRAMES:
            try:
                async with asyncio.timeout(self.limits.heartbeat_s):
                    frame = await self.queue.get()
            except TimeoutError:
                frame = pb.Frame(heartbeat=pb.Heartbeat())
            async with asyncio.timeout(self.limits.link_silence_s):
                await self.stream.send_message(frame)


async def receive(stream, limits: CellLimits):
    """Return the next frame; None at the end of the stream.

    Raises
    ======

    TimeoutError : nothing came for `link_silence_s`
    """
    async with asyncio.timeout(limits.link_silence_s):
        return await stream.recv_message()


class LocalLink:
    """Link between the entry and an owner in the same process."""

    def __init__(self, deliver):
        self.deliver = deliver
        self.loop = asyncio.get_running_loop()
        self.open = True

    def send(self, message):
        """Deliver a message in the next turn of the event loop."""
        self.loop.call_soon(self.deliver_open, message)

    def deliver_open(self, message):
        """Deliver a message unless the link was closed meanwhile."""
        if self.open:
            self.deliver(message)


class RemoteLink:
    """Link from this entry to an owner in another process."""

    def __init__(self, cell, vm, address, entry_service, limits: CellLimits):
        self.cell = cell
        self.vm = vm
        self.address = address
        self.entry_service = entry_service
        self.limits = limits
        self.heard_at = now()
        self.sender: FrameSender | None = None

    async def run(self):
        """Serve the link until it is lost; return why."""
        channel = Channel(*self.address)
        try:
            async with cells_grpc.CellsStub(channel).Link.open() as stream:
                return await self.serve(stream)
        except LINK_ERRORS as error:
            return repr(error)
        finally:
            channel.close()
            self.entry_service.owner_lost(self.cell, self.sender, self.heard_at)

    async def serve(self, stream):
        """Introduce this entry, then pass messages both ways."""
        name = f"{self.vm}/{next(NUMBERS)}"
        hello = pb.Hello(cell=self.cell, vm=self.vm, entry=name)
        async with asyncio.timeout(self.limits.link_silence_s):
            await stream.send_message(pb.Frame(hello=hello))
        sender = FrameSender(stream, self.limits)
        sending = asyncio.create_task(sender.run())
        try:
            while not sending.done():
                frame = await receive(stream, self.limits)
                if frame is None:
                    return "the owner closed the link"
                self.heard_at = now()
                message = frames.decode(frame)
                if self.sender is None and isinstance(message, Room):
                    self.sender = sender
                    self.entry_service.owner_found(self.cell, message.token, sender)
                if message is not None:
                    self.entry_service.take(self.cell, message)
            return "frames could not be sent"
        finally:
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError, *LINK_ERRORS):
                await sending


async def serve_entry(stream, owner_service, hello: pb.Hello):
    """Serve the link of a remote entry at the owner until it is lost."""
    limits = owner_service.limits
    sender = FrameSender(stream, limits)
    sending = asyncio.create_task(sender.run())
    owner_service.connect(hello.entry, sender)
    try:
        while not sending.done() and not owner_service.should_stop:
            frame = await receive(stream, limits)
            if frame is None:
                return
            message = frames.decode(frame)
            if message is not None:
                owner_service.take(hello.entry, message)
    except LINK_ERRORS:
        return
    finally:
        owner_service.disconnect(hello.entry)
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError, *LINK_ERRORS):
            await sending
