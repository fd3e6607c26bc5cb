"""Submission ids that name the one process that may start their tasks.

Explanation
===========

An issued id names the VM, the incarnation of its process, a sequence number and
the issuer's time. A tag under the process's own key makes it impossible to make
up, so that issuing keeps no record. Only the issuing process can verify the tag;
other processes use the id only to find the owner.
"""

import dataclasses
import hashlib
import hmac
import re

TAG_HEX_CHARS = 24
MAX_ID_CHARS = 160
_FORM = re.compile(
    r"c1\.(?P<vm>[a-z0-9][a-z0-9-]{0,62})\.(?P<incarnation>[0-9a-f]{16})"
    r"\.(?P<sequence>[0-9]{1,15})\.(?P<issued>[0-9]{1,12})\.(?P<tag>[0-9a-f]{24})"
)


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
        """Return a new id."""
        issued = IssuedId(self.vm, self.incarnation, self.sequence, int(now), "")
        self.sequence += 1
        return str(dataclasses.replace(issued, tag=self.tag(issued)))

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
