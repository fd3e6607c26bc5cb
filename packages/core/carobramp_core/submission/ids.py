"""Submission ids that name the one process that may start their tasks.

Explanation
===========

An issued id names the VM, the incarnation of its process, a sequence number and
the issuer's time. A tag under the process's own key makes it impossible to make
up, so that issuing keeps no record. Only the issuing process can verify the tag;
other processes use the id only to find the owner.

A caller-made id is a UUID of version 7, which carries its own time.

References
==========

RFC 9562, section 5.7.
"""

import dataclasses
import hashlib
import hmac
import re
import uuid

TAG_HEX_CHARS = 24
MAX_ID_CHARS = 160
_FORM = re.compile(
    r"c1\.(?P<vm>[a-z0-9][a-z0-9-]{0,62})\.(?P<incarnation>[0-9a-f]{16})"
    r"\.(?P<sequence>[0-9]{1,15})\.(?P<issued>[0-9]{1,12})\.(?P<tag>[0-9a-f]{24})"
)
UUID_VERSION = 7
UUID_TIME_SHIFT = 80
_UUID = re.compile("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}")


@dataclasses.dataclass(frozen=True)
class NoId:
    """The caller sent no submission id."""


@dataclasses.dataclass(frozen=True)
class InvalidId:
    """Text that is no submission id."""

    text: str

    def __str__(self):
        return self.text


@dataclasses.dataclass(frozen=True)
class CallerMadeId:
    """UUID of version 7 made by a caller.

    `created_at` is in seconds since the epoch.
    """

    text: str
    created_at: float

    def __str__(self):
        return self.text


@dataclasses.dataclass(frozen=True)
class IssuedId:
    """Parsed submission id.

    `issued` is in whole seconds on the issuer's monotonic clock.
    """

    vm: str
    incarnation: str
    sequence: int
    issued: int
    tag: str

    def __str__(self):
        return f"{self.signed_part()}.{self.tag}"

    def signed_part(self):
        """Return the part that the tag covers."""
        return f"c1.{self.vm}.{self.incarnation}.{self.sequence}.{self.issued}"


def parse_issued(text: str) -> IssuedId | None:
    """Parse an issued id; None when the text has another form.

    Examples
    ========

    >>> issuer = IdIssuer("vm-1", "00000000000000aa", b"key")
    >>> issued = parse_issued(issuer.issue(now=12.5))
    >>> issued.vm, issued.sequence, issued.issued
    ('vm-1', 0, 12)
    >>> issuer.verify(issued)
    True
    >>> parse_issued("something else") is None
    True
    """
    if len(text) > MAX_ID_CHARS:
        return None
    match = _FORM.fullmatch(text)
    if match is None:
        return None
    fields = match.groupdict()
    sequence, issued = int(fields["sequence"]), int(fields["issued"])
    return IssuedId(
        fields["vm"], fields["incarnation"], sequence, issued, fields["tag"]
    )


def parse_caller_made(text: str) -> CallerMadeId | None:
    """Parse a caller-made id; None when the text is no UUID of version 7.

    Examples
    ========

    >>> made = parse_caller_made("0193A5C0-0000-7000-8000-000000000001")
    >>> made.text, made.created_at
    ('0193a5c0-0000-7000-8000-000000000001', 1733652643.84)
    >>> parse_caller_made("0193a5c0-0000-4000-8000-000000000001") is None
    True
    """
    text = text.lower()
    if _UUID.fullmatch(text) is None:
        return None
    parsed = uuid.UUID(text)
    if parsed.version != UUID_VERSION:
        return None
    return CallerMadeId(text, (parsed.int >> UUID_TIME_SHIFT) / 1000)


SubmissionId = NoId | InvalidId | IssuedId | CallerMadeId


def parse_id(text: str | None) -> SubmissionId:
    """Parse what the caller sent as submission id; None when it sent nothing.

    Examples
    ========

    >>> parse_id(None), parse_id("")
    (NoId(), InvalidId(text=''))
    """
    if text is None:
        return NoId()
    parsed = parse_issued(text) or parse_caller_made(text)
    if parsed is not None:
        return parsed
    # Header bytes that are not UTF-8 arrive as surrogates, which no answer can hold.
    shown = text[:MAX_ID_CHARS].encode("ascii", "replace").decode()
    return InvalidId(shown)


class IdIssuer:
    """Issues and verifies the ids of one process.

    Parameters
    ==========

    vm : name of the VM
    incarnation : 64 random bits of the process start, hexadecimal
    key : secret of the process
    """

    def __init__(self, vm: str, incarnation: str, key: bytes):
        self.vm = vm
        self.incarnation = incarnation
        self.key = key
        self.sequence = 0

    def issue(self, now: float) -> str:
        """Return a new id as text."""
        return str(self.new(now))

    def new(self, now: float) -> IssuedId:
        """Return a new id."""
        issued = IssuedId(self.vm, self.incarnation, self.sequence, int(now), "")
        self.sequence += 1
        return dataclasses.replace(issued, tag=self.tag(issued))

    def verify(self, issued: IssuedId) -> bool:
        """Whether this process issued the id."""
        if (issued.vm, issued.incarnation) != (self.vm, self.incarnation):
            return False
        return hmac.compare_digest(issued.tag, self.tag(issued))

    def tag(self, issued: IssuedId) -> str:
        """Return the tag of an id."""
        content = issued.signed_part().encode()
        full = hmac.digest(self.key, content, hashlib.sha256)
        return full.hex()[:TAG_HEX_CHARS]
