"""Bound on the size of messages that grpclib receives.

grpclib reads a message of any size that its length prefix states, up to 4 GiB.
"""

from grpclib.const import Status
from grpclib.exceptions import GRPCError


class SizeLimitedBuffer:
    """Buffer of a stream that refuses messages over `limit` bytes."""

    def __init__(self, buffer, limit):
        self.buffer = buffer
        self.limit = limit

    def __getattr__(self, name):
        return getattr(self.buffer, name)

    async def read(self, size):
        """Read `size` bytes, as a length prefix or the protocol asks for."""
        if size > self.limit:
            detail = f"a message of {size} bytes is over {self.limit} bytes"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, detail)
        return await self.buffer.read(size)


def limit_message_size(stream, limit):
    """Refuse messages over `limit` bytes on a stream of a server or a client."""
    inner = stream._stream
    inner.buffer = SizeLimitedBuffer(inner.buffer, limit)
