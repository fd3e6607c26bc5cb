"""Limits the size of the messages that grpclib receives.

grpclib has no limit of its own: it reads as many bytes as the length prefix of a
message states, up to 4 GiB.
"""

from grpclib.const import Status
from grpclib.exceptions import GRPCError


class SizeLimitedBuffer:
    """Wraps the buffer of a stream and rejects messages over `limit` bytes."""

    def __init__(self, buffer, limit):
        self.buffer = buffer
        self.limit = limit

    def __getattr__(self, name):
        return getattr(self.buffer, name)

    async def read(self, size):
        """Read `size` bytes; raise `GRPCError` if they are over the limit."""
        if size > self.limit:
            detail = f"a message of {size} bytes is over {self.limit} bytes"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, detail)
        return await self.buffer.read(size)


def limit_message_size(stream, limit):
    """Reject received messages over `limit` bytes on a server or client stream."""
    inner = stream._stream
    inner.buffer = SizeLimitedBuffer(inner.buffer, limit)
