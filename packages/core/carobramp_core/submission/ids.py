"""Formats of submission ids.

Explanation
===========

An issued id contains the VM, the incarnation of its process, a sequence number and
the issuer's time. Its tag, a MAC under a secret of the process, prevents forgery, so
the issuer needs no record of issued ids. Only the issuing process can verify the
tag; other processes use the id only to find the owner.

A caller-made id is a UUID of version 7, which contains a timestamp.

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
_ISSUED_ID_PATTERN = re.compile(
    r"c1\.(?P<vm>[a-z0-9][a-z0-9-]{0,62})\.(?P<incarnation>[0-9a-f]{16})"
    r"\.(?P<sequence>[0-9]{1,15})\.(?P<issued>[0-9]{1,12})\.(?P<tag>[0-9a-f]{24})"
)
UUID_VERSION = 7
UUID_TIME_SHIFT = 80
_UUID_PATTERN = re.compile("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}")


@dataclasses.dataclass(frozen=True)
class NoId:
    """The caller sent no submission id."""


@dataclasses.dataclass(frozen=True)
class InvalidId:
    """Text that is not a valid submission id."""

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
    """Submission id issued by a process.

    `issued_at` is in whole seconds on the issuer's monotonic clock.
    """

    vm: str
    incarnation: str
    sequence: int
    issued_at: int
    tag: str

    def __str__(self):
        return f"{self.signed_part()}.{self.tag}"

    def signed_part(self):
        """Return the part that the tag covers."""
        return f"c1.{self.vm}.{self.incarnation}.{self.sequence}.{self.issued_at}"


def parse_issued(text: str) -> IssuedId | None:
    """Parse an issued id; return None when the text has another form.

    Examples
    ========

    >>> issuer = IdIssuer("vm-1", "00000000000000aa", b"key")
    >>> issued = parse_issued(issuer.issue(now=12.5))
    >>> issued.vm, issued.sequence, issued.issued_at
    ('vm-1', 0, 12)
    >>> issuer.verify(issued)
    True
    >>> parse_issued("something else") is None
    True
    """
    if len(text) > MAX_ID_CHARS:
        return None
    match = _ISSUED_ID_PATTERN.fullmatch(text)
    if match is None:
        return None
    fields = match.groupdict()
    sequence, issued = int(fields["sequence"]), int(fields["issued"])
    return IssuedId(
        fields["vm"], fields["incarnation"], sequence, issued, fields["tag"]
    )


def parse_caller_made(text: str) -> CallerMadeId | None:
    """Parse a caller-made id; return None unless the text is a UUID of version 7.

    Examples
    ========

    >>> made = parse_caller_made("0193A5C0-0000-7000-8000-000000000001")
    >>> made.text, made.created_at
    ('0193a5c0-0000-7000-8000-000000000001', 1733652643.84)
    >>> parse_caller_made("0193a5c0-0000-4000-8000-000000000001") is None
    True
    """
    text = text.lower()
    if _UUID_PATTERN.fullmatch(text) is None:
        return None
    parsed = uuid.UUID(text)
    if parsed.version != UUID_VERSION:
        return None
    return CallerMadeId(text, (parsed.int >> UUID_TIME_SHIFT) / 1000)


SubmissionId = NoId | InvalidId | IssuedId | CallerMadeId


def parse_id(text: str | None) -> SubmissionId:
    """Parse the submission id of a request; `text` is None when it had none.

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
    # Header bytes that are not UTF-8 arrive as surrogates, which cannot be encoded
    # in a response.
    printable = text[:MAX_ID_CHARS].encode("ascii", "replace").decode()
    return InvalidId(printable)


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
        """Issue a new id and return its text."""
        return str(self.new(now))

    def new(self, now: float) -> IssuedId:
        """Issue a new id and return its parsed form."""
        issued = IssuedId(self.vm, self.incarnation, self.sequence, int(now), "")
        self.sequence += 1
        return dataclasses.replace(issued, tag=self.compute_tag(issued))

    def verify(self, issued: IssuedId) -> bool:
        """Whether this process issued the id."""
        if (issued.vm, issued.incarnation) != (self.vm, self.incarnation):
            return False
        return hmac.compare_digest(issued.tag, self.compute_tag(issued))

    def compute_tag(self, issued: IssuedId) -> str:
        """Return the truncated HMAC-SHA256 of an id, hexadecimal."""
        signed_bytes = issued.signed_part().encode()
        hmac_digest = hmac.digest(self.key, signed_bytes, hashlib.sha256)
        return hmac_digest.hex()[:TAG_HEX_CHARS]
