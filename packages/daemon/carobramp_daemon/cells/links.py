"""Links between entries and owners: frames and heartbeats over TCP.

Explanation
===========

A link carries ten heartbeats a second in each direction, and an owner has a link to
every daemon. With five entries the links of an owner take 5% of a core as gRPC streams
and half of that as length-prefixed messages over TCP, so links do not use gRPC. Calls
between daemons do.

Each frame carries the time of its sender and, as an echo, the newest time that the
sender has received from its peer. A link is stale, and each end closes it, when the
newest echo of its own times is older than `link_timeout_s`. Both ends thus close a link
that carries frames in one direction only, and one on which frames are queued for too
long. A frame that arrives without a recent echo is dropped, as its tasks may have been
offered to another cell in the meantime.
"""

import asyncio
import itertools
import struct

from google.protobuf.message import DecodeError

from carobramp_core.cells.claims import Deputy
from carobramp_core.cells.lease_limits import LeaseLimitsReport
from carobramp_core.cells.limits import CellLimits
from carobramp_core.cells.messages import CapacityReport
from carobramp_daemon.cells import frames
from carobramp_daemon.cells.clock import now
from carobramp_schema.generated import cells_pb2 as pb

# Length of the message, time of the sender, and the echo of the peer's time.
FRAME_HEADER = struct.Struct("!Idd")
MAX_FRAME_BYTES = 1 << 20
# A link is closed when more bytes than this wait for a peer that does not read.
MAX_WRITE_BUFFER_BYTES = 4 << 20
LINK_NUMBERS = itertools.count(1)


HEARTBEAT_FRAME = pb.Frame(heartbeat=pb.Heartbeat()).SerializeToString()


class FrameLink(asyncio.Protocol):
    """One end of a link, as a protocol of asyncio.

    Parameters
    ==========

    on_frame : called with the link and each frame that arrives in time
    on_closed : called once with the link and a reason when the connection has ended

    Attributes
    ==========

    transport : None before the connection is made and once this end has closed it;
        frames are neither sent nor delivered then
    last_received_at : time at which the last frame was received
    last_echo_at : newest time of this end that the peer has echoed
    newest_peer_time : newest time of the peer, which frames of this end echo
    close_reason : why this end closed the link, or an empty string
    """

    def __init__(self, on_frame, on_closed, limits: CellLimits):
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.limits = limits
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.last_received_at = now()
        self.last_echo_at = self.last_received_at
        self.newest_peer_time = 0.0
        self.written_at = self.last_received_at
        self.close_reason = ""

    def connection_made(self, transport):
        """Store the transport, or close it if this end has closed the link already."""
        if self.close_reason:
            transport.abort()
        else:
            self.transport = transport

    def connection_lost(self, exc):
        """Report the end of the connection and its reason to `on_closed`."""
        reason = self.close_reason or (repr(exc) if exc else "closed by the peer")
        self.transport = None
        self.on_closed(self, reason)

    def data_received(self, data):
        """Buffer received bytes and handle each complete frame."""
        self.buffer += data
        start = 0
        while self.transport is not None:
            body = start + FRAME_HEADER.size
            if len(self.buffer) < body:
                break
            size, peer_time, echo = FRAME_HEADER.unpack_from(self.buffer, start)
            if size > MAX_FRAME_BYTES:
                self.close(f"frame of {size} bytes is too large")
                return
            if len(self.buffer) < body + size:
                break
            self.record_echo(peer_time, echo)
            if self.transport is not None:
                self.deliver_frame(bytes(self.buffer[body : body + size]))
            start = body + size
        del self.buffer[:start]

    def record_echo(self, peer_time, echo):
        """Record the times in a header; close the link if it is stale.

        An echo that is later than the current time, or not a number, is ignored.
        """
        self.last_received_at = now()
        self.newest_peer_time = max(self.newest_peer_time, peer_time)
        if self.last_echo_at < echo <= self.last_received_at:
            self.last_echo_at = echo
        self.close_if_stale()

    def deliver_frame(self, data):
        """Pass one frame to `on_frame`; close the link if it cannot be decoded.

        Heartbeats, most of the frames of an idle link, have no content to decode.
        """
        if data == HEARTBEAT_FRAME:
            return
        try:
            self.on_frame(self, pb.Frame.FromString(data))
        except (DecodeError, ValueError) as error:
            self.close(f"undecodable frame: {error!r}")

    def send(self, message):
        """Send a message of an entry or owner to the peer."""
        self.write_frame(frames.encode(message).SerializeToString())

    def write_frame(self, data):
        """Send one serialized frame; it is dropped if the link is closed."""
        if self.transport is None:
            return
        self.written_at = now()
        header = FRAME_HEADER.pack(len(data), self.written_at, self.newest_peer_time)
        self.transport.write(header + data)
        if self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.close("write buffer full: the peer does not read")

    def close(self, reason):
        """Close the link at once; bytes that were not sent or read yet are dropped.

        `on_closed` is called in a later turn of the event loop.
        """
        self.close_reason = self.close_reason or reason
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()

    def is_stale(self) -> bool:
        """Return whether no echo was received for longer than `link_timeout_s`."""
        return now() - self.last_echo_at > self.limits.link_timeout_s

    def close_if_stale(self):
        """Close the link if it is stale."""
        if self.is_stale():
            silent_s = now() - self.last_echo_at
            self.close(f"no echo from the peer for {silent_s:.3f} s")


class LocalLink:
    """One direction of the link between the entry and an owner in the same process.

    Parameters
    ==========

    deliver : called with each message
    """

    def __init__(self, deliver):
        self.deliver = deliver
        self.loop = asyncio.get_running_loop()
        self.open = True

    def send(self, message):
        """Deliver a message in the next turn of the event loop."""
        self.loop.call_soon(self.deliver_if_open, message)

    def deliver_if_open(self, message):
        """Deliver a message unless the link was closed after it was sent."""
        if self.open:
            self.deliver(message)


class RemoteLink:
    """Link from this entry to an owner in another process.

    Parameters
    ==========

    on_deputy : called with the deputy that the owner has named
    on_limits : called with lease limits that the owner has reported, and a time at
        which it had not sent them yet

    Attributes
    ==========

    opened : whether the owner has answered, with its first capacity report
    """

    def __init__(
        self,
        cell,
        vm,
        address,
        entry_service,
        limits: CellLimits,
        on_deputy,
        on_limits,
    ):
        self.cell = cell
        self.vm = vm
        self.address = address
        self.entry_service = entry_service
        self.limits = limits
        self.on_deputy = on_deputy
        self.on_limits = on_limits
        self.link: FrameLink | None = None
        self.opened = False
        self.closed = asyncio.get_running_loop().create_future()

    @property
    def last_received_at(self):
        """Return when the last message was received; minus infinity if none was."""
        return self.link.last_received_at if self.link else float("-inf")

    @property
    def close_reason(self):
        """Return why this end closed the link; empty if it is open or the peer did."""
        return self.link.close_reason if self.link else ""

    async def run(self):
        """Connect to the owner and keep the link until it closes; return why it did."""
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
            hello = pb.Hello(
                cell=self.cell, vm=self.vm, entry=f"{self.vm}/{next(LINK_NUMBERS)}"
            )
            self.link.write_frame(pb.Frame(hello=hello).SerializeToString())
            return await self.closed
        finally:
            self.link.close("the cell has another owner")
            self.entry_service.owner_link_closed(
                self.cell, self.link, self.last_received_at
            )

    def maintain(self):
        """Send a heartbeat if one is due, and close the link if it is stale."""
        if self.link is None or self.closed.done():
            return
        if now() - self.link.written_at >= self.limits.heartbeat_s:
            self.link.write_frame(HEARTBEAT_FRAME)
        self.link.close_if_stale()

    def on_frame(self, link: FrameLink, frame: pb.Frame):
        """Pass a message of the owner to the entry, or to the callback for its kind."""
        message = frames.decode(frame)
        if isinstance(message, CapacityReport):
            # An owner's heartbeats are capacity reports. They are answered at once, so
            # that the owner receives a recent echo.
            link.write_frame(HEARTBEAT_FRAME)
        if not self.opened and isinstance(message, CapacityReport):
            self.opened = True
            self.entry_service.owner_link_opened(self.cell, message.token, link)
        if isinstance(message, Deputy):
            self.on_deputy(message)
        elif isinstance(message, LeaseLimitsReport):
            self.on_limits(message, link.last_echo_at)
        elif message is not None:
            self.entry_service.handle_message(self.cell, link, message)

    def on_closed(self, link: FrameLink, reason):
        """Let `serve` return the reason and report the closed link to the entry."""
        if not self.closed.done():
            self.closed.set_result(reason)
        self.entry_service.owner_link_closed(self.cell, link, link.last_received_at)


class EntryLinks:
    """Server for the links of remote entries to the cells that this daemon owns.

    Parameters
    ==========

    owned : owner services of this daemon, by cell
    """

    def __init__(self, owned, limits: CellLimits):
        self.owned = owned
        self.limits = limits
        self.server: asyncio.Server
        # Owner service and name of the entry, for each link whose hello was received.
        self.links: dict[FrameLink, tuple] = {}
        self.unidentified_links: set[FrameLink] = set()

    async def start(self, host, port):
        """Listen for connections of entries."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.create_link, host, port)

    def stop(self):
        """Stop listening and close all links."""
        self.server.close()
        for link in [*self.links, *self.unidentified_links]:
            link.close("the daemon is stopping")

    def create_link(self):
        """Return the link of a new connection, whose hello has yet to arrive."""
        link = FrameLink(self.on_frame, self.on_closed, self.limits)
        self.unidentified_links.add(link)
        return link

    def on_frame(self, link: FrameLink, frame: pb.Frame):
        """Register an entry by its hello, or pass its message to the owner."""
        if link in self.links:
            service, entry = self.links[link]
            message = frames.decode(frame)
            if message is not None:
                service.handle_message(entry, message)
            return
        service = self.owned.get(frame.hello.cell)
        if service is None:
            link.close("this daemon does not own the cell")
            return
        self.unidentified_links.discard(link)
        self.links[link] = (service, frame.hello.entry)
        service.add_entry_link(frame.hello.entry, link)

    def on_closed(self, link: FrameLink, reason):
        """Remove a link, and its entry from the owner service."""
        self.unidentified_links.discard(link)
        registered = self.links.pop(link, None)
        if registered is not None:
            service, entry = registered
            service.event_log.info(
                "connection of an entry closed",
                cell=service.owner.cell,
                entry=entry,
                reason=reason,
            )
            service.remove_entry_link(entry)

    def close_stale(self):
        """Close the links that are stale or whose owner service has stopped."""
        for link, (service, _) in list(self.links.items()):
            if self.owned.get(service.owner.cell) is not service:
                link.close("this daemon no longer owns the cell")
            link.close_if_stale()
        for link in list(self.unidentified_links):
            link.close_if_stale()
