"""Sends one request of a command to an entry VM."""

import dataclasses
import json
import urllib.parse

import aiohttp

JSON_HEADERS = {"Content-Type": "application/json"}
MAX_ANSWER_BYTES = 64 << 20
CONNECT_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer of an entry VM; `body` is the parsed JSON, or the text."""

    status: int
    body: object


@dataclasses.dataclass(frozen=True)
class NotReceived:
    """No entry VM received the request."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Unclear:
    """The request may have been received and has no usable answer."""

    detail: str


Result = Answer | NotReceived | Unclear


@dataclasses.dataclass(frozen=True)
class EntryVms:
    """Entry VMs to try in order, and the longest wait for one answer.

    A URL is tried only when it is certain that no earlier one received the
    request: a request that may have been received is never sent again.
    """

    urls: tuple[str, ...]
    timeout: float

    async def send(self, method, path, data=None, headers=None) -> Result:
        """Send a request once; never raises for network failures."""
        result: Result = NotReceived("no URL")
        for url in self.urls:
            result = await self._send_to(url, method, path, data, headers)
            if not isinstance(result, NotReceived):
                return result
        return result

    async def _send_to(self, url, method, path, data, headers):
        timeout = aiohttp.ClientTimeout(
            total=self.timeout, connect=min(CONNECT_TIMEOUT_S, self.timeout)
        )
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    url.rstrip("/") + path,
                    data=data,
                    headers=JSON_HEADERS | (headers or {}),
                    allow_redirects=False,
                ) as response,
            ):
                return await _read(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotReceived(f"{url}: {_text(error)}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Unclear(f"{url}: {_text(error)}")


async def _read(response):
    data = await response.content.read(MAX_ANSWER_BYTES + 1)
    while len(data) <= MAX_ANSWER_BYTES:
        more = await response.content.read(MAX_ANSWER_BYTES + 1)
        if not more:
            break
        data += more
    else:
        return Unclear(f"the answer is over {MAX_ANSWER_BYTES} bytes")
    if "json" not in response.content_type:
        return Answer(response.status, data.decode(errors="replace").strip())
    try:
        return Answer(response.status, json.loads(data))
    except (ValueError, RecursionError) as error:
        return Unclear(f"malformed answer: {error}")


def _text(error):
    return str(error) or type(error).__name__


def is_url(text):
    """Whether `text` can be the URL of an entry VM."""
    try:
        parts = urllib.parse.urlsplit(text)
        return parts.scheme == "http" and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False
