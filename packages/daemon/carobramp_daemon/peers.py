"""Calls between entry VMs over grpclib: server and channel pool."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

import grpclib.exceptions
from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from mode import Service

from carobramp_daemon.message_size_limit import limit_message_size
from carobramp_schema.generated import peer_grpc
from carobramp_schema.generated.settings import Settings

Handler = Callable[..., Awaitable]

MAX_CALLS_PER_CHANNEL = 1024


@dataclasses.dataclass(frozen=True)
class PeerUnreachable:
    """A call got no usable reply.

    `maybe_received` is false only if the peer certainly did not get the request.
    """

    detail: str
    maybe_received: bool


@dataclasses.dataclass
class PeerHandlers:
    """Handlers of the calls from other entry VMs, set by the services.

    Each takes the request message and returns the reply message; `fetch_state`
    returns a list of chunks.
    """

    heartbeat: Handler | None = None
    forward: Handler | None = None
    cancel: Handler | None = None
    fetch_tickets: Handler | None = None
    fetch_state: Handler | None = None
    notify_ticket: Handler | None = None


class PeerServer(Service, peer_grpc.PeerBase):
    """Serves the calls of other entry VMs by the handlers."""

    def __init__(self, settings: Settings, handlers: PeerHandlers, metrics, log):
        super().__init__()
        self.settings = settings
        self.handlers = handlers
        self.metrics = metrics
        self.event_log = log
        self.server: Server
        self.port = 0
        # Forwarded jobs whose answer is not sent yet. The drain waits for them.
        self.forwards_in_flight = 0

    async def on_start(self):
        """Listen for other entry VMs; `port` is the port in use."""
        vm = self.settings.vm
        self.server = Server([self])
        await self.server.start(vm.host, vm.peer_port)
        self.port = self.server._server.sockets[0].getsockname()[1]
        self.event_log.info("listening", port=self.port)

    async def on_stop(self):
        """Stop listening and wait until the server is closed."""
        self.server.close()
        await self.server.wait_closed()

    async def serve_unary(self, stream, call, handler):
        """Answer one unary call by its handler."""
        request = await self.receive_request(stream)
        reply = await handler(request)
        self.count_messages(call, request, reply)
        await stream.send_message(reply)

    async def receive_request(self, stream):
        """Return the request of a call; raise `GRPCError` if it has none usable."""
        limit_message_size(stream, self.settings.limits.max_peer_message_bytes)
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the call has no message")
        return request

    def count_messages(self, call, *messages):
        """Add messages and their bytes to the metrics of a call."""
        size = sum(message.ByteSize() for message in messages)
        self.metrics.increment("peer_messages", call, len(messages))
        self.metrics.increment("peer_bytes", call, size)

    async def Heartbeat(self, stream):
        """Handle the heartbeat of a peer and reply with the one of this VM."""
        await self.serve_unary(stream, "heartbeat", self.handlers.heartbeat)

    async def Forward(self, stream):
        """Run a job that this process owns."""
        self.forwards_in_flight += 1
        try:
            await self.serve_unary(stream, "forward", self.handlers.forward)
        finally:
            self.forwards_in_flight -= 1

    async def Cancel(self, stream):
        """Cancel a job that this process owns."""
        await self.serve_unary(stream, "cancel", self.handlers.cancel)

    async def FetchTickets(self, stream):
        """Return accepted tickets after a number."""
        await self.serve_unary(stream, "fetch_tickets", self.handlers.fetch_tickets)

    async def FetchState(self, stream):
        """Stream the state in force."""
        request = await self.receive_request(stream)
        chunks = await self.handlers.fetch_state(request)
        self.count_messages("fetch_state", request, *chunks)
        for chunk in chunks:
            await stream.send_message(chunk)

    async def NotifyTicket(self, stream):
        """Handle the notification of a newer ticket number."""
        await self.serve_unary(stream, "notify_ticket", self.handlers.notify_ticket)


@dataclasses.dataclass
class PeerChannel:
    """Channel to one peer, with its number of calls so far and of those in flight.

    A retired channel gets no new calls and is closed when its last call ends.
    """

    channel: Channel
    call_count: int = 0
    calls_in_flight: int = 0
    retired: bool = False


class PeerChannelPool(Service):
    """Channels to other entry VMs, one per address, opened on demand.

    A channel is replaced after `MAX_CALLS_PER_CHANNEL` calls, since both sides of an
    HTTP/2 connection keep a record of each closed stream: up to 65,536 of them, about
    8 MB a side.
    """

    def __init__(self, settings: Settings, metrics, log):
        super().__init__()
        self.settings = settings
        self.metrics = metrics
        self.event_log = log
        self.channels: dict[tuple[str, int], PeerChannel] = {}

    async def on_stop(self):
        """Close all channels."""
        for peer in self.channels.values():
            peer.channel.close()

    @contextlib.contextmanager
    def stub(self, address):
        """Yield the stub of the peer at (host, port) for one call."""
        peer = self.channels.get(address)
        if peer is not None and peer.call_count >= MAX_CALLS_PER_CHANNEL:
            self.retire_channel(address)
            peer = None
        if peer is None:
            peer = self.channels[address] = PeerChannel(Channel(*address))
        peer.call_count += 1
        peer.calls_in_flight += 1
        try:
            yield peer_grpc.PeerStub(peer.channel)
        finally:
            peer.calls_in_flight -= 1
            if peer.retired and not peer.calls_in_flight:
                peer.channel.close()

    def retire_channel(self, address):
        """Use the channel to an address for no new call; calls in flight go on."""
        peer = self.channels.pop(address, None)
        if peer is None:
            return
        peer.retired = True
        if not peer.calls_in_flight:
            peer.channel.close()

    def close_channel(self, address):
        """Close the channel to an address at once, which ends its calls in flight."""
        peer = self.channels.pop(address, None)
        if peer is not None:
            peer.channel.close()

    @contextlib.asynccontextmanager
    async def open_stream(self, address, call):
        """Yield the stream of one call, opened on the channel to `address`."""
        with self.stub(address) as stub:
            async with getattr(stub, call).open() as stream:
                yield stream

    async def call(self, address, call, request, timeout):
        """Send a unary call once and return its reply or `PeerUnreachable`.

        Parameters
        ==========

        address : (host, port) of the peer
        call : name of the call, for instance ``"Heartbeat"``
        request : request message
        timeout : longest wait, in seconds
        """
        try:
            async with (
                asyncio.timeout(timeout),
                self.open_stream(address, call) as stream,
            ):
                await stream.send_message(request, end=True)
                limit_message_size(stream, self.settings.limits.max_peer_message_bytes)
                reply = await stream.recv_message()
        except ConnectionRefusedError as error:
            return PeerUnreachable(repr(error), maybe_received=False)
        except (
            OSError,
            TimeoutError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
            grpclib.exceptions.ProtocolError,
            DecodeError,
            AssertionError,
        ) as error:
            return PeerUnreachable(repr(error), maybe_received=True)
        if reply is None:
            return PeerUnreachable("no reply message", maybe_received=True)
        self.count_messages(call, request, reply)
        return reply

    async def call_streaming(self, address, call, request, timeout, max_bytes):
        """Send a call with streamed replies; return them or `PeerUnreachable`.

        The call fails if the replies are over `max_bytes` together.
        """
        replies, size = [], 0
        try:
            async with (
                asyncio.timeout(timeout),
                self.open_stream(address, call) as stream,
            ):
                await stream.send_message(request, end=True)
                limit_message_size(stream, max_bytes)
                async for reply in stream:
                    size += reply.ByteSize()
                    if size > max_bytes:
                        detail = f"replies over {max_bytes} bytes"
                        return PeerUnreachable(detail, maybe_received=True)
                    replies.append(reply)
        except (
            OSError,
            TimeoutError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
            grpclib.exceptions.ProtocolError,
            DecodeError,
            AssertionError,
        ) as error:
            return PeerUnreachable(repr(error), maybe_received=True)
        self.count_messages(call, request, *replies)
        return replies

    def count_messages(self, call, *messages):
        """Add messages and their bytes to the metrics of a call."""
        size = sum(message.ByteSize() for message in messages)
        self.metrics.increment("peer_messages", call, len(messages))
        self.metrics.increment("peer_bytes", call, size)
