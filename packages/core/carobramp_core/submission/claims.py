"""Claim rows of caller-made ids, grouped into transactions.

Explanation
===========

A claim is an insertion on condition that the row is absent. Claims that come close
together go into one transaction, and one transaction is under way at a time: a slow
store makes groups larger instead of calls more frequent. Rows never change between
their insertion and their removal, so that one that names this claim's nonce proves
that the claim holds, even when the read is stale.
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
# A claim is sent at most this often. Each resend carries the same nonce and the
# same condition, so that at most one of them takes effect.
MAX_SENDS = 4


def claim_key(key: CallerMadeId) -> str:
    """Return the key of a claim row; rows sort by the ids' times.

    The id alone is claimed, since tasks are named by it at upstreams: one id with
    the bodies of two teams is a conflict, not two submissions.

    Examples
    ========

    >>> claim_key(parse_caller_made("0193a5c0-0000-7000-8000-000000000001"))
    'claim/0193a5c0-0000-7000-8000-000000000001'
    """
    return f"{CLAIM_PREFIX}{key.text}"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim to insert; it is not sent any more after `give_up`."""

    submission_id: str
    key: str
    row: ClaimRow
    give_up: float
    sends: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The row names this claim: the insertion certainly took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTaken:
    """The row names another claim."""

    row: ClaimRow


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """It is not known whether the insertion took effect."""

    detail: str


ClaimVerdict = ClaimHeld | ClaimTaken | ClaimUnknown


def judge(row: ClaimRow | None, claim: ClaimRow) -> ClaimVerdict:
    """Return what a row that was read says about a claim.

    An absent row proves nothing: the read may be stale, or the insertion may
    still take effect.
    """
    if row is None:
        return ClaimUnknown("the claim row is not there")
    if row == claim:
        return ClaimHeld()
    return ClaimTaken(row)


# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A new claim."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionEnded:
    """Outcome of the transaction under way."""

    outcome: Committed | Conflict | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class ReadEnded:
    """Outcome of reading back the rows of the group under way."""

    outcome: tuple[Row, ...] | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class GroupTimerExpired:
    """The gathering time is over."""


ClaimEvent = ClaimRequested | TransactionEnded | ReadEnded | GroupTimerExpired


# Effects.


@dataclasses.dataclass(frozen=True, slots=True)
class SendTransaction:
    """Send a transaction once."""

    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRows:
    """Read rows back after a lost reply."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Verdict on a claim; given once for each."""

    submission_id: str
    verdict: ClaimVerdict


ClaimEffect = SendTransaction | ReadRows | ClaimDecided


class ClaimBatcher:
    """Groups claims into transactions and decides each claim."""

    def __init__(self, settings: SubmissionSettings):
        self.settings = settings
        self.waiting: collections.deque[Claim] = collections.deque()
        self.group: tuple[Claim, ...] = ()
        self.due = 0.0

    def handle(self, event: ClaimEvent, now: float) -> list[ClaimEffect]:
        """Take an event at time `now` and return the effects to carry out."""
        effects: list[ClaimEffect] = []
        on_event(event, self, now, effects)
        if not self.group:
            self.send_waiting(now, effects)
        return effects

    def next_wakeup(self) -> float | None:
        """Return the time at which a `GroupTimerExpired` is due, or None."""
        return self.due if self.waiting and not self.group else None

    def send_waiting(self, now, effects):
        """Send the next group when it is due or full."""
        size = self.settings.claim_group_max
        if not self.waiting or (len(self.waiting) < size and now < self.due):
            return
        self.send(self.take_group(size), now, effects)

    def take_group(self, size):
        """Take up to `size` waiting claims of distinct rows.

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

    def send(self, claims, now, effects):
        """Send claims as one group; those that came too late are given up."""
        group = []
        for claim in claims:
            if claim.sends >= MAX_SENDS or claim.give_up <= now:
                unknown = ClaimUnknown("the claim was not settled in time")
                effects.append(ClaimDecided(claim.submission_id, unknown))
            else:
                group.append(dataclasses.replace(claim, sends=claim.sends + 1))
        self.group = tuple(group)
        if group:
            effects.append(SendTransaction(insertion(self.group)))

    def settle(self, rows, now, effects):
        """Decide the claims whose rows are there and send the others again."""
        present = {row.key: row.value for row in rows}
        again = []
        for claim in self.group:
            if claim.key not in present:
                again.append(claim)
                continue
            verdict = judge_value(present[claim.key], claim.row)
            effects.append(ClaimDecided(claim.submission_id, verdict))
        self.group = ()
        if again:
            self.send(again, now, effects)

    def end_group(self, verdict, effects):
        """Give every claim of the group the same verdict."""
        for claim in self.group:
            effects.append(ClaimDecided(claim.submission_id, verdict))
        self.group = ()


def insertion(claims) -> Transaction:
    """Return the transaction that inserts the rows if all are absent."""
    return Transaction(
        tuple(Condition(claim.key, 0) for claim in claims),
        tuple(Write(claim.key, encode(claim.row)) for claim in claims),
    )


def judge_value(value: bytes, claim: ClaimRow) -> ClaimVerdict:
    """Return what the value of a row says about a claim."""
    row = decode(value, ClaimRow)
    if isinstance(row, InvalidInput):
        return ClaimUnknown(f"malformed claim row: {row}")
    return judge(row, claim)


@functools.singledispatch
def on_event(event, batcher, now, effects):
    """Carry out one event."""
    raise TypeError(f"unknown event {event!r}")


@on_event.register
def _(event: ClaimRequested, batcher, now, effects):
    if not batcher.waiting:
        batcher.due = now + batcher.settings.claim_group_ms / 1000
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
        batcher.end_group(ClaimUnknown(event.outcome.detail), effects)
    else:
        batcher.settle(event.outcome, now, effects)


@functools.singledispatch
def on_outcome(outcome, batcher, now, effects):
    """Take the outcome of the transaction under way."""
    raise TypeError(f"unknown outcome {outcome!r}")


@on_outcome.register
def _(outcome: Committed, batcher, now, effects):
    batcher.end_group(ClaimHeld(), effects)


@on_outcome.register
def _(outcome: Conflict, batcher, now, effects):
    batcher.settle(outcome.rows, now, effects)


@on_outcome.register
def _(outcome: Unavailable, batcher, now, effects):
    if outcome.maybe_applied:
        effects.append(ReadRows(tuple(claim.key for claim in batcher.group)))
    else:
        batcher.end_group(ClaimUnknown(outcome.detail), effects)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """Rows to remove, and the key after which the scan goes on, if any."""

    rows: tuple[Row, ...]
    next_scan_key: str | None


def select_expired_rows(
    rows: tuple[Row, ...], limit: int, wall_now: float, kept: float
) -> Removal:
    """Choose the rows to remove among those that a scan returned.

    Explanation
    ===========

    A row is removed only when the time in its id is more than `kept` seconds ago:
    no VM accepts the id by then. Rows are in the order of their times, so that the
    scan ends at the first row to be kept.

    Parameters
    ==========

    rows : rows in key order
    limit : greatest number of rows of the scan; fewer mean that it ended
    wall_now : seconds since the epoch
    kept : age at which a row is removed, in seconds
    """
    chosen = []
    for row in rows:
        made = parse_caller_made(row.key.removeprefix(CLAIM_PREFIX))
        if made is not None and wall_now - made.created_at > kept:
            chosen.append(row)
        elif made is not None:
            return Removal(tuple(chosen), None)
    after = rows[-1].key if len(rows) == limit else None
    return Removal(tuple(chosen), after)


def removal_transaction(rows) -> Transaction:
    """Return the transaction that removes rows that are still as they were read."""
    return Transaction(
        tuple(Condition(row.key, row.version) for row in rows),
        tuple(Write(row.key, None) for row in rows),
    )
