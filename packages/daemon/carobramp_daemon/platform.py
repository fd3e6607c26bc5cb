"""Client of the platform's services over HTTP; counts calls by purpose."""

import asyncio
import base64

import aiohttp
from mode import Service

from carobramp_core.platform import (
    Committed,
    Conflict,
    LeaseHeld,
    Row,
    Transaction,
    Unavailable,
    VmEntry,
)
from carobramp_schema.generated.settings import PlatformSettings

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404
MAX_REPLY_BYTES = 64 << 20


class PlatformClient(Service):
    """Table, object store, membership list and leases of the platform.

    Each call waits `timeout_ms` at most and is sent once; a call without a
    usable reply gives `Unavailable`.
    """

    def __init__(self, settings: PlatformSettings, metrics, log):
        super().__init__()
        self.settings = settings
        self.metrics = metrics
        self.log_line = log
        self.session = None
        self.slots = asyncio.Semaphore(settings.max_calls)

    async def on_start(self):
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(total=self.settings.timeout_ms / 1000)
        self.session = aiohttp.ClientSession(timeout=timeout)

    async def on_stop(self):
        """Close the HTTP session."""
        await self.session.close()

    async def transact(self, transaction: Transaction, purpose):
        """Apply the writes together if every condition holds."""
        body = {
            "conditions": [[c.key, c.version] for c in transaction.conditions],
            "writes": [[w.key, _to_text(w.value)] for w in transaction.writes],
        }
        reply = await self._call("table/transact", body, purpose)
        if isinstance(reply, Unavailable):
            return reply
        if reply["committed"]:
            return Committed()
        return Conflict(_rows(reply["rows"]))

    async def read(self, keys, purpose):
        """Return the existing rows among `keys`."""
        reply = await self._call("table/read", {"keys": list(keys)}, purpose)
        return reply if isinstance(reply, Unavailable) else _rows(reply["rows"])

    async def scan(self, prefix, after, limit, purpose):
        """Return up to `limit` rows with `prefix` and a key above `after`."""
        body = {"prefix": prefix, "after": after, "limit": limit}
        reply = await self._call("table/scan", body, purpose)
        return reply if isinstance(reply, Unavailable) else _rows(reply["rows"])

    async def put(self, key, data, purpose):
        """Store an object."""
        body = {"key": key, "data": _to_text(data)}
        reply = await self._call("objects/put", body, purpose)
        return reply if isinstance(reply, Unavailable) else None

    async def get(self, key, purpose):
        """Return an object, or None when there is none."""
        reply = await self._call("objects/get", {"key": key}, purpose)
        if isinstance(reply, Unavailable):
            return reply
        return _from_text(reply["data"])

    async def list_vms(self, purpose):
        """Return the VMs that the platform knows."""
        reply = await self._call("members/list", {}, purpose)
        if isinstance(reply, Unavailable):
            return reply
        return tuple(VmEntry(**entry) for entry in reply["vms"])

    async def acquire(self, name, holder, seconds, purpose):
        """Take or renew a lease."""
        body = {"name": name, "holder": holder, "seconds": seconds}
        reply = await self._call("leases/acquire", body, purpose)
        if isinstance(reply, Unavailable):
            return reply
        return LeaseHeld(reply["holder"], reply["seconds"])

    async def release(self, name, holder, purpose):
        """Give a lease up."""
        body = {"name": name, "holder": holder}
        reply = await self._call("leases/release", body, purpose)
        return reply if isinstance(reply, Unavailable) else None

    async def _call(self, path, body, purpose):
        self.metrics.count("platform_calls", purpose)
        async with self.slots:
            reply = await self._post(path, body)
        if isinstance(reply, Unavailable):
            self.metrics.count("platform_failures", purpose)
            self.log_line.info("call failed", purpose=purpose, detail=reply.detail)
        return reply

    async def _post(self, path, body):
        url = f"{self.settings.url}/{path}"
        try:
            async with self.session.post(url, json=body) as response:
                if response.status != HTTP_OK:
                    detail = f"status {response.status}"
                    return Unavailable(detail, maybe_applied=True)
                return await response.json()
        except aiohttp.ClientConnectorError as error:
            return Unavailable(str(error), maybe_applied=False)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Unavailable(repr(error), maybe_applied=True)


def _to_text(value):
    return None if value is None else base64.b64encode(value).decode()


def _from_text(text):
    return None if text is None else base64.b64decode(text)


def _rows(rows):
    return tuple(Row(key, _from_text(value), version) for key, value, version in rows)
