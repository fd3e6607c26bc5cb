"""Claim rows of caller-made ids, grouped into transactions.

Explanation
===========

A claim inserts a row on condition that the row is absent. Claims that are requested
close together share one transaction, and only one transaction is in flight at a
time: a slow store makes groups larger instead of calls more frequent. Rows never
change between their insertion and their removal, so a row with this claim's nonce
proves that the claim holds, even when the read is stale.
"""

import collections
import dataclasses
import functools

from carobramp_core.platform import (
    Committed,
    Condition,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Write,
)
from carobramp_core.submission.ids import CallerMadeId, parse_caller_made
from carobramp_schema import InvalidInput, decode, encode
from carobramp_schema.generated.claim import ClaimRow
from carobramp_schema.generated.settings import SubmissionSettings

CLAIM_PREFIX = "claim/"
# Attempts to send a claim. Each carries the same nonce and the same condition, so
# at most one of them takes effect.
MAX_SEND_ATTEMPTS = 4


def claim_key(key: CallerMadeId) -> str:
    """Return the key of a claim row; keys sort by the times in the ids.

    The key holds the id alone, since upstreams identify tasks by it: one id with
    request bodies of two teams is a conflict, not two submissions.

    Examples
    ========

    >>> claim_key(parse_caller_made("0193a5c0-0000-7000-8000-000000000001"))
    'claim/0193a5c0-0000-7000-8000-000000000001'
    """
    return f"{CLAIM_PREFIX}{key.text}"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim to insert; it is not sent after `send_deadline`."""

    submission_id: str
    key: str
    row: ClaimRow
    send_deadline: float
    send_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The claim row is certainly this claim's."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTaken:
    """The claim row belongs to another claim."""

    row: ClaimRow


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """It is not known whether the insertion took effect."""

    detail: str


ClaimVerdict = ClaimHeld | ClaimTaken | ClaimUnknown


def verdict_from_row(row: ClaimRow | None, claim: ClaimRow) -> ClaimVerdict:
    """Return the verdict on a claim from the row that was read.

    An absent row leaves the claim unknown: the read may be stale, or the insertion
    may still take effect.
    """
    if row is None:
        return ClaimUnknown("the claim row is not there")
    if row == claim:
        return ClaimHeld()
    return ClaimTaken(row)


# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A claim is to be inserted."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionEnded:
    """Outcome of the transaction in flight."""

    outcome: Committed | Conflict | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class ReadEnded:
    """Outcome of reading back the claim rows of the current group."""

    outcome: tuple[Row, ...] | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class GroupTimerExpired:
    """The time for collecting claims into a group has passed."""


ClaimEvent = ClaimRequested | TransactionEnded | ReadEnded | GroupTimerExpired


# Effects.


@dataclasses.dataclass(frozen=True, slots=True)
class SendTransaction:
    """Send a transaction without retries."""

    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Read rows back after a transaction of unknown outcome."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Verdict on a claim; emitted once for each claim."""

    submission_id: str
    verdict: ClaimVerdict


ClaimEffect = SendTransaction | ReadRows | ClaimDecided


class ClaimBatcher:
    """Groups claims into transactions and decides each claim.

    `waiting` holds claims that are not sent yet, `group` the claims of the
    transaction in flight.
    """

    def __init__(self, settings: SubmissionSettings):
        self.settings = settings
        self.waiting: collections.deque[Claim] = collections.deque()
        self.group: tuple[Claim, ...] = ()
        self.group_due_at = 0.0

    def handle(self, event: ClaimEvent, now: float) -> list[ClaimEffect]:
        """Handle an event at time `now` and return the effects to carry out."""
        effects: list[ClaimEffect] = []
        on_event(event, self, now, effects)
        if not self.group:
            self.send_waiting(now, effects)
        return effects

    def next_wakeup(self) -> float | None:
        """Return the time at which a `GroupTimerExpired` is due, or None."""
        return self.group_due_at if self.waiting and not self.group else None

    def send_waiting(self, now, effects):
        """Send the next group if it is due or full."""
        size = self.settings.claim_group_max
        if not self.waiting or (len(self.waiting) < size and now < self.group_due_at):
            return
        self.send_group(self.take_group(size), now, effects)

    def take_group(self, size):
        """Remove up to `size` claims of distinct rows from those that wait.

        Two claims of one row in a transaction would both find it absent.
        """
        group, rest = {}, collections.deque()
        while self.waiting and len(group) < size:
            claim = self.waiting.popleft()
            if claim.key in group:
                rest.append(claim)
            else:
                group[claim.key] = claim
        self.waiting.extendleft(reversed(rest))
        return list(group.values())

    def send_group(self, claims, now, effects):
        """Send claims as one group.

        Claims past their send deadline or `MAX_SEND_ATTEMPTS` end as unknown.
        """
        group = []
        for claim in claims:
            if claim.send_count >= MAX_SEND_ATTEMPTS or claim.send_deadline <= now:
                unknown = ClaimUnknown("the claim was not settled in time")
                effects.append(ClaimDecided(claim.submission_id, unknown))
            else:
                group.append(
                    dataclasses.replace(claim, send_count=claim.send_count + 1)
                )
        self.group = tuple(group)
        if group:
            effects.append(SendTransaction(insertion_transaction(self.group)))

    def resolve_from_rows(self, rows, now, effects):
        """Decide the claims whose rows are present and resend the others."""
        values_by_key = {row.key: row.value for row in rows}
        unresolved = []
        for claim in self.group:
            if claim.key not in values_by_key:
                unresolved.append(claim)
                continue
            verdict = verdict_from_value(values_by_key[claim.key], claim.row)
            effects.append(ClaimDecided(claim.submission_id, verdict))
        self.group = ()
        if unresolved:
            self.send_group(unresolved, now, effects)

    def decide_group(self, verdict, effects):
        """Give every claim of the group the same verdict."""
        for claim in self.group:
            effects.append(ClaimDecided(claim.submission_id, verdict))
        self.group = ()


def insertion_transaction(claims) -> Transaction:
    """Return the transaction that inserts the rows if all are absent."""
    return Transaction(
        tuple(Condition(claim.key, 0) for claim in claims),
        tuple(Write(claim.key, encode(claim.row)) for claim in claims),
    )


def verdict_from_value(value: bytes, claim: ClaimRow) -> ClaimVerdict:
    """Return the verdict on a claim from the encoded value of its row."""
    row = decode(value, ClaimRow)
    if isinstance(row, InvalidInput):
        return ClaimUnknown(f"malformed claim row: {row}")
    return verdict_from_row(row, claim)


@functools.singledispatch
def on_event(event, batcher, now, effects):
    """Apply an event to the batcher and append the effects."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: ClaimRequested, batcher, now, effects):
    if not batcher.waiting:
        batcher.group_due_at = now + batcher.settings.claim_group_ms / 1000
    batcher.waiting.append(event.claim)


@on_event.register
def _(event: GroupTimerExpired, batcher, now, effects):
    pass


@on_event.register
def _(event: TransactionEnded, batcher, now, effects):
    on_outcome(event.outcome, batcher, now, effects)


@on_event.register
def _(event: ReadEnded, batcher, now, effects):
    if isinstance(event.outcome, Unavailable):
        batcher.decide_group(ClaimUnknown(event.outcome.detail), effects)
    else:
        batcher.resolve_from_rows(event.outcome, now, effects)


@functools.singledispatch
def on_outcome(outcome, batcher, now, effects):
    """Apply the outcome of the transaction in flight."""
    raise TypeError(f"unknown outcome {outcome!r}")


@on_outcome.register
def _(outcome: Committed, batcher, now, effects):
    batcher.decide_group(ClaimHeld(), effects)


@on_outcome.register
def _(outcome: Conflict, batcher, now, effects):
    batcher.resolve_from_rows(outcome.rows, now, effects)


@on_outcome.register
def _(outcome: Unavailable, batcher, now, effects):
    if outcome.maybe_applied:
        effects.append(ReadRows(tuple(claim.key for claim in batcher.group)))
    else:
        batcher.decide_group(ClaimUnknown(outcome.detail), effects)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """Rows to remove, and the key after which the scan continues, if any."""

    rows: tuple[Row, ...]
    next_scan_key: str | None


def select_expired_rows(
    rows: tuple[Row, ...], limit: int, wall_now: float, retention_s: float
) -> Removal:
    """Select the claim rows to remove from one page of a scan.

    Explanation
    ===========

    A row is removed only when the time in its id is more than `retention_s` seconds
    ago, when no VM accepts the id any more. Rows are sorted by these times, so the
    scan ends at the first row that is kept.

    Parameters
    ==========

    rows : rows in key order
    limit : page size of the scan; a page with fewer rows is the last one
    wall_now : seconds since the epoch
    retention_s : age at which a row is removed, in seconds
    """
    expired_rows = []
    for row in rows:
        key = parse_caller_made(row.key.removeprefix(CLAIM_PREFIX))
        if key is not None and wall_now - key.created_at > retention_s:
            expired_rows.append(row)
        elif key is not None:
            return Removal(tuple(expired_rows), None)
    next_scan_key = rows[-1].key if len(rows) == limit else None
    return Removal(tuple(expired_rows), next_scan_key)


def removal_transaction(rows) -> Transaction:
    """Return the transaction that removes rows if all are unchanged since the read."""
    return Transaction(
        tuple(Condition(row.key, row.version) for row in rows),
        tuple(Write(row.key, None) for row in rows),
    )
