"""HTTP client of the platform's services; counts calls by purpose."""

import asyncio
import base64

import aiohttp
from mode import Service

from carobramp_core.platform import Transaction, Unavailable
from carobramp_daemon import platform_replies as replies
from carobramp_schema import InvalidInput
from carobramp_schema.generated.settings import PlatformSettings

HTTP_OK = 200
MAX_REPLY_BYTES = 64 << 20
READ_CHUNK_BYTES = 1 << 16


class PlatformClient(Service):
    """Client of the platform's table, object store, VM list and leases.

    Each call is sent once and takes `timeout_ms` at most. A call without a usable
    reply returns `Unavailable`. `purpose` is the metric label of a call.
    """

    def __init__(self, settings: PlatformSettings, metrics, log):
        super().__init__()
        self.settings = settings
        self.metrics = metrics
        self.event_log = log
        self.session = None
        self.call_slots = asyncio.Semaphore(settings.max_calls)

    async def on_start(self):
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(total=self.settings.timeout_ms / 1000)
        self.session = aiohttp.ClientSession(timeout=timeout)

    async def on_stop(self):
        """Close the HTTP session."""
        await self.session.close()

    async def transact(self, transaction: Transaction, purpose):
        """Apply all writes of a transaction if every condition holds.

        Returns `Committed`, `Conflict` or `Unavailable`.
        """
        body = {
            "conditions": [[c.key, c.version] for c in transaction.conditions],
            "writes": [[w.key, _to_base64(w.value)] for w in transaction.writes],
        }
        return await self._call(
            "table/transact",
            body,
            purpose,
            replies.TransactReply,
            replies.transact_outcome,
        )

    async def read(self, keys, purpose):
        """Return the rows that exist among `keys`."""
        keys = list(keys)
        return await self._call(
            "table/read",
            {"keys": keys},
            purpose,
            replies.RowsReply,
            lambda reply: replies.requested_rows(reply, keys),
        )

    async def scan(self, prefix, after, limit, purpose):
        """Return up to `limit` rows with `prefix` and a key above `after`."""
        return await self._call(
            "table/scan",
            {"prefix": prefix, "after": after, "limit": limit},
            purpose,
            replies.RowsReply,
            lambda reply: replies.scanned_rows(reply, prefix, after, limit),
        )

    async def put(self, key, data, purpose):
        """Store `data` as the object `key`, which may exist."""
        body = {"key": key, "data": _to_base64(data)}
        return await self._call(
            "objects/put", body, purpose, replies.EmptyReply, lambda reply: None
        )

    async def get(self, key, purpose):
        """Return the bytes of an object, or None if there is none."""
        return await self._call(
            "objects/get",
            {"key": key},
            purpose,
            replies.DataReply,
            lambda reply: reply.data,
        )

    async def list_vms(self, purpose):
        """Return the entries of the platform's VM list."""
        return await self._call(
            "members/list", {}, purpose, replies.VmsReply, replies.vm_entries
        )

    async def acquire(self, name, holder, seconds, purpose):
        """Acquire or renew a lease for `seconds`; return who holds it."""
        body = {"name": name, "holder": holder, "seconds": seconds}
        return await self._call(
            "leases/acquire", body, purpose, replies.LeaseReply, replies.lease_held
        )

    async def release(self, name, holder, purpose):
        """Release a lease."""
        body = {"name": name, "holder": holder}
        return await self._call(
            "leases/release", body, purpose, replies.EmptyReply, lambda reply: None
        )

    async def _call(self, path, body, purpose, reply_type, convert_reply):
        """Send a call; return its validated reply converted by `convert_reply`."""
        self.metrics.increment("platform_calls", purpose)
        async with self.call_slots:
            result = await self._post(path, body)
        if not isinstance(result, Unavailable):
            result = _check_reply(result, reply_type, convert_reply)
        if isinstance(result, Unavailable):
            self.metrics.increment("platform_failures", purpose)
            self.event_log.info(
                "platform call failed", purpose=purpose, detail=result.detail
            )
        return result

    async def _post(self, path, body):
        url = f"{self.settings.url}/{path}"
        try:
            async with self.session.post(
                url, json=body, allow_redirects=False
            ) as response:
                if response.status != HTTP_OK:
                    detail = f"status {response.status}"
                    return Unavailable(detail, maybe_applied=True)
                return await _read_bounded(response)
        except aiohttp.ClientConnectorError as error:
            return Unavailable(str(error), maybe_applied=False)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unavailable(repr(error), maybe_applied=True)


async def _read_bounded(response):
    data = bytearray()
    async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
        data += chunk
        if len(data) > MAX_REPLY_BYTES:
            response.close()
            detail = f"the reply is over {MAX_REPLY_BYTES} bytes"
            return Unavailable(detail, maybe_applied=True)
    return bytes(data)


def _check_reply(data, reply_type, convert_reply):
    reply = replies.decode_reply(data, reply_type)
    if not isinstance(reply, InvalidInput):
        reply = convert_reply(reply)
    if isinstance(reply, InvalidInput):
        return Unavailable(f"malformed reply: {reply}", maybe_applied=True)
    return reply


def _to_base64(value):
    return None if value is None else base64.b64encode(value).decode()
