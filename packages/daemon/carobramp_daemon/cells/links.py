"""Links between entries and owners: frames over TCP with heartbeats both ways.

Explanation
===========

A link carries ten heartbeats a second in each direction, and an owner has a link to
every daemon. As gRPC streams the links of an owner with five entries took 5% of a
core; as messages with their length in front they take half of that. Calls between
daemons stay on gRPC.

Each frame carries the time of its sender and, as an echo, the newest time that the
sender has received from its peer. A link is live while the echo of what this end has
sent is recent. Both ends thus give a link up on the same evidence: a link that carries
one direction only is not live, and neither is one on which frames are queued. A frame
that arrives without a recent echo is not acted on, as its tasks may be offered
elsewhere by now.
"""

import asyncio
import itertools
import struct

from google.protobuf.message import DecodeError

from carobramp_core.cells.claims import Deputy
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import CapacityReport
from carobramp_daemon.cells import frames
from carobramp_daemon.cells.clock import now
from carobramp_schema.generated import cells_pb2 as pb

# Length of the message, time of the sender, and the echo of the peer's time.
FRAME_HEADER = struct.Struct("!Idd")
MAX_FRAME_BYTES = 1 << 20
# Bytes that may wait for a peer that does not read; the link is closed beyond.
MAX_WAITING_BYTES = 4 << 20
NUMBERS = itertools.count(1)


HEARTBEAT_FRAME = pb.Frame(heartbeat=pb.Heartbeat()).SerializeToString()


class FrameLink(asyncio.Protocol):
    """One end of a link.

    Parameters
    ==========

    on_frame : called with the link and each frame
    on_closed : called once with the link and a reason when it is closed

    Attributes
    ==========

    last_received_at : time of the last frame
    last_echo_at : time of the newest frame of this end that the peer has echoed
    peer_time : newest time on the peer's clock, the echo in frames of this end
    """

    def __init__(self, on_frame, on_closed, limits: CellLimits):
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.limits = limits
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.last_received_at = now()
        self.last_echo_at = self.last_received_at
        self.peer_time = 0.0
        self.written_at = self.last_received_at
        self.reason = ""

    def connection_made(self, transport):
        """Take the connection."""
        self.transport = transport

    def connection_lost(self, exc):
        """Tell that the link is closed."""
        reason = self.reason or (repr(exc) if exc else "closed by the peer")
        self.transport = None
        self.on_closed(self, reason)

    def data_received(self, data):
        """Take bytes and pass on the complete frames."""
        self.buffer += data
        start = 0
        while self.transport is not None:
            body = start + FRAME_HEADER.size
            if len(self.buffer) < body:
                break
            size, peer_time, echo = FRAME_HEADER.unpack_from(self.buffer, start)
            if size > MAX_FRAME_BYTES:
                self.close(f"a frame of {size} bytes")
                return
            if len(self.buffer) < body + size:
                break
            self.record_echo(peer_time, echo)
            if self.transport is not None:
                self.take(bytes(self.buffer[body : body + size]))
            start = body + size
        del self.buffer[:start]

    def record_echo(self, peer_time, echo):
        """Take the times in a header; close the link if the echo is too old."""
        self.last_received_at = now()
        self.peer_time = max(self.peer_time, peer_time)
        if self.last_echo_at < echo <= self.last_received_at:
            self.last_echo_at = echo
        self.close_if_stale()

    def take(self, data):
        """Pass on one frame."""
        try:
            self.on_frame(self, pb.Frame.FromString(data))
        except (DecodeError, ValueError) as error:
            self.close(f"undecodable frame: {error!r}")

    def send(self, message):
        """Send a message."""
        self.write_frame(frames.encode(message).SerializeToString())

    def write_frame(self, data):
        """Send one serialized frame; a closed link drops it."""
        if self.transport is None:
            return
        self.written_at = now()
        header = FRAME_HEADER.pack(len(data), self.written_at, self.peer_time)
        self.transport.write(header + data)
        if self.transport.get_write_buffer_size() > MAX_WAITING_BYTES:
            self.close("the peer does not read")

    def close(self, reason):
        """Close the link at once; what waits is dropped."""
        self.reason = self.reason or reason
        if self.transport is not None:
            self.transport.abort()

    def close_if_stale(self):
        """Close the link if the peer has not echoed anything recent."""
        silent_s = now() - self.last_echo_at
        if silent_s > self.limits.link_timeout_s:
            self.close(f"no echo for {silent_s:.3f} s")


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
    """Link from this entry to an owner in another process.

    Parameters
    ==========

    on_deputy : called with the deputy that the owner has named
    """

    def __init__(self, cell, vm, address, entry_service, limits: CellLimits, on_deputy):
        self.cell = cell
        self.vm = vm
        self.address = address
        self.entry_service = entry_service
        self.limits = limits
        self.on_deputy = on_deputy
        self.link: FrameLink | None = None
        self.found = False
        self.closed = asyncio.get_running_loop().create_future()

    @property
    def last_received_at(self):
        """Return the time of the last message, or minus infinity."""
        return self.link.last_received_at if self.link else float("-inf")

    async def run(self):
        """Serve the link until it is lost; return why."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.limits.link_timeout_s):
                _, self.link = await loop.create_connection(
                    lambda: FrameLink(self.on_frame, self.on_closed, self.limits),
                    *self.address,
                )
        except (OSError, TimeoutError) as error:
            return repr(error)
        try:
            return await self.serve(self.link)
        finally:
            self.link.close("another owner")
            self.entry_service.owner_link_closed(
                self.cell, self.link, self.last_received_at
            )

    async def serve(self, link: FrameLink):
        """Introduce this entry and send heartbeats until the link is closed."""
        hello = pb.Hello(cell=self.cell, vm=self.vm, entry=f"{self.vm}/{next(NUMBERS)}")
        link.write_frame(pb.Frame(hello=hello).SerializeToString())
        while not self.closed.done():
            await asyncio.wait([self.closed], timeout=self.limits.heartbeat_s)
            if now() - link.written_at >= self.limits.heartbeat_s:
                link.write_frame(HEARTBEAT_FRAME)
            link.close_if_stale()
        return self.closed.result()

    def on_frame(self, link: FrameLink, frame: pb.Frame):
        """Pass a message of the owner to the entry."""
        message = frames.decode(frame)
        if isinstance(message, CapacityReport):
            # The owner's heartbeat is answered at once, so that its echo is recent.
            link.write_frame(HEARTBEAT_FRAME)
        if not self.found and isinstance(message, CapacityReport):
            self.found = True
            self.entry_service.owner_link_opened(self.cell, message.token, link)
        if isinstance(message, Deputy):
            self.on_deputy(message)
        elif message is not None:
            self.entry_service.handle_message(self.cell, link, message)

    def on_closed(self, link: FrameLink, reason):
        """End the link."""
        if not self.closed.done():
            self.closed.set_result(reason)
        self.entry_service.owner_link_closed(self.cell, link, link.last_received_at)


class EntryLinks:
    """Links of remote entries, at the daemon that owns cells.

    Parameters
    ==========

    owned : the owner services of this daemon by cell
    """

    def __init__(self, owned, limits: CellLimits):
        self.owned = owned
        self.limits = limits
        self.server: asyncio.Server
        # The owner service and the entry's name of each link that was introduced.
        self.links: dict[FrameLink, tuple] = {}
        self.strangers: set[FrameLink] = set()

    async def start(self, host, port):
        """Listen for entries."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.new_link, host, port)

    def stop(self):
        """Stop listening and close all links."""
        self.server.close()
        for link in [*self.links, *self.strangers]:
            link.close("the daemon stops")

    def new_link(self):
        """Return the protocol of a new connection."""
        link = FrameLink(self.on_frame, self.on_closed, self.limits)
        self.strangers.add(link)
        return link

    def on_frame(self, link: FrameLink, frame: pb.Frame):
        """Introduce an entry, or pass its message to the owner."""
        if link in self.links:
            service, entry = self.links[link]
            message = frames.decode(frame)
            if message is not None:
                service.handle_message(entry, message)
            return
        service = self.owned.get(frame.hello.cell)
        if service is None:
            link.close("not the owner")
            return
        self.strangers.discard(link)
        self.links[link] = (service, frame.hello.entry)
        service.connect(frame.hello.entry, link)

    def on_closed(self, link: FrameLink, reason):
        """Tell the owner that an entry is gone."""
        self.strangers.discard(link)
        known = self.links.pop(link, None)
        if known is not None:
            service, entry = known
            service.disconnect(entry)

    def check(self):
        """Close the links whose peer is silent or whose owner has stopped."""
        for link, (service, _) in list(self.links.items()):
            if self.owned.get(service.owner.cell) is not service:
                link.close("no longer the owner")
            link.close_if_stale()
        for link in list(self.strangers):
            link.close_if_stale()
