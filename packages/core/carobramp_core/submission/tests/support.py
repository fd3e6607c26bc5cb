"""Builders, the settings of property tests and a table for the submission tests."""

import hypothesis

from carobramp_core.platform import Committed, Conflict, Row
from carobramp_core.submission.claims import Claim, claim_key
from carobramp_core.submission.ids import IdIssuer, parse_caller_made
from carobramp_schema.generated.claim import ClaimRow

PROFILE = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)
VM = "vm-a"
INCARNATION = "0" * 15 + "a"
OTHER_INCARNATION = "0" * 15 + "b"
WALL_NOW = 1_800_000_000.0
DIGEST = b"d" * 32


def issuer(incarnation=INCARNATION, key=b"key"):
    """Build an issuer for the VM."""
    return IdIssuer(VM, incarnation, key)


def caller_made(number=1, created_at=WALL_NOW):
    """Build a caller-made id with the given time, in seconds since the epoch."""
    milliseconds = f"{round(created_at * 1000):012x}"
    text = f"{milliseconds[:8]}-{milliseconds[8:]}-7000-8000-{number:012x}"
    return parse_caller_made(text)


def claim_row(nonce="n", vm=VM, incarnation=INCARNATION, digest=DIGEST):
    """Build a claim row."""
    return ClaimRow(vm, incarnation, nonce, digest.hex())


def claim(number=1, nonce="n", send_deadline=1000.0, **row):
    """Build a claim."""
    key = caller_made(number)
    return Claim(str(key), claim_key(key), claim_row(nonce, **row), send_deadline)


class FakeTable:
    """In-memory table that inserts rows if all of them are absent."""

    def __init__(self):
        self.rows: dict[str, Row] = {}

    def transact(self, transaction):
        """Apply a transaction that only inserts; return its outcome."""
        keys = [condition.key for condition in transaction.conditions]
        if any(key in self.rows for key in keys):
            return Conflict(self.read(keys))
        for write in transaction.writes:
            self.rows[write.key] = Row(write.key, write.value, 1)
        return Committed()

    def read(self, keys):
        """Return the rows that exist among `keys`."""
        return tuple(self.rows[key] for key in keys if key in self.rows)
