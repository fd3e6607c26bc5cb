"""Registry of the submissions that this process owns.

Explanation
===========

The registry holds one bit for each used issued id until the id expires, the active
jobs, the recorded answers, and the nonces of unresolved claims. All are bounded. An
answer may be evicted at any time: the used bit or the claim row still prevents a
second start.
"""

import collections
import dataclasses

from carobramp_core.submission.ids import (
    CallerMadeId,
    InvalidId,
    IssuedId,
    NoId,
    SubmissionId,
)
from carobramp_schema.generated.settings import SubmissionSettings

IDS_PER_BLOCK = 256
# The issue time in an id is truncated to whole seconds; the extra second gives the
# caller the full validity that was announced.
ISSUED_ROUNDING_S = 1.0
# Memory of one recorded answer besides its body.
ANSWER_OVERHEAD_BYTES = 512
MAX_UNRESOLVED_CLAIMS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """Response to a submission as sent to the caller: HTTP status and body."""

    status: int
    body: bytes
    retry_after_s: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownId:
    """The registry has no entry for the id."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEvicted:
    """The issued id was used; its answer is no longer kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveJob:
    """The job of the id is being claimed, is queued or runs."""

    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer of the id is recorded."""

    digest: bytes
    answer: SubmissionAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnresolved:
    """The outcome of an earlier claim of the id is unknown; no job started."""

    nonce: str


IdStatus = UnknownId | AnswerEvicted | ActiveJob | RecordedAnswer | ClaimUnresolved


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Recorded answer with the time at which it expires."""

    recorded: RecordedAnswer
    expires_at: float

    @property
    def size(self):
        """Bytes that the answer counts towards the bound."""
        return len(self.recorded.answer.body) + ANSWER_OVERHEAD_BYTES


@dataclasses.dataclass(slots=True)
class UsedIdBlock:
    """Used ids among `IDS_PER_BLOCK` consecutive sequence numbers.

    `latest_issued_at` is the latest issue time of a used id of the block.
    """

    used_bits: int = 0
    latest_issued_at: int = 0


class UsedIds:
    """Issued ids that were used, one bit for each, until they expire.

    Parameters
    ==========

    validity_s : time for which an issued id can start a job, in seconds
    """

    def __init__(self, validity_s: float):
        self.validity_s = validity_s + ISSUED_ROUNDING_S
        self.blocks: dict[int, UsedIdBlock] = {}

    def expired(self, issued: IssuedId, now: float) -> bool:
        """Whether the id can no longer start a job."""
        return now >= issued.issued_at + self.validity_s

    def add(self, issued: IssuedId, now: float):
        """Mark an id as used."""
        block_number, bit = divmod(issued.sequence, IDS_PER_BLOCK)
        block = self.blocks.get(block_number)
        if block is None:
            self.drop_expired(now)
            block = self.blocks[block_number] = UsedIdBlock()
        block.used_bits |= 1 << bit
        block.latest_issued_at = max(block.latest_issued_at, issued.issued_at)

    def __contains__(self, issued: IssuedId):
        block_number, bit = divmod(issued.sequence, IDS_PER_BLOCK)
        block = self.blocks.get(block_number)
        return block is not None and bool(block.used_bits >> bit & 1)

    def drop_expired(self, now: float):
        """Drop the blocks in which all used ids have expired."""
        latest_expired_at = now - self.validity_s
        expired = [
            block_number
            for block_number, b in self.blocks.items()
            if b.latest_issued_at <= latest_expired_at
        ]
        for block_number in expired:
            del self.blocks[block_number]


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveJobEntry:
    """Active job; `record_answer` is whether its answer will be recorded."""

    digest: bytes
    record_answer: bool


class SubmissionRegistry:
    """Submissions owned by one process.

    Parameters
    ==========

    settings : submission settings
    max_jobs : maximum number of active jobs
    """

    def __init__(self, settings: SubmissionSettings, max_jobs: int):
        self.settings = settings
        self.max_jobs = max_jobs
        self.used = UsedIds(settings.issued_valid_ms / 1000)
        self.jobs: dict[str, ActiveJobEntry] = {}
        self.answers: collections.OrderedDict[str, StoredAnswer] = (
            collections.OrderedDict()
        )
        self.answer_bytes = 0
        self.unresolved_claims: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def at_capacity(self) -> bool:
        """Whether no further job may start."""
        return len(self.jobs) >= self.max_jobs

    def lookup(self, key: SubmissionId, now: float) -> IdStatus:
        """Return the status of an id; expired answers are evicted first."""
        if isinstance(key, NoId | InvalidId):
            return UnknownId()
        name = str(key)
        if name in self.jobs:
            return ActiveJob(self.jobs[name].digest)
        self.evict_expired(now)
        if name in self.answers:
            return self.answers[name].recorded
        if isinstance(key, IssuedId):
            return AnswerEvicted() if key in self.used else UnknownId()
        if name in self.unresolved_claims:
            return ClaimUnresolved(self.unresolved_claims[name])
        return UnknownId()

    def add_job(
        self, key: IssuedId | CallerMadeId, digest: bytes, record_answer: bool, now
    ):
        """Add an active job and mark its id as used if the id was issued."""
        if isinstance(key, IssuedId):
            self.used.add(key, now)
        self.unresolved_claims.pop(str(key), None)
        self.jobs[str(key)] = ActiveJobEntry(digest, record_answer)

    def abandon_claim(self, key: CallerMadeId, nonce: str | None):
        """Remove a job whose claim is not held.

        `nonce` is that of the claim if its outcome is unknown, else None. The next
        claim of the id reuses it, so that an insertion that took effect is recognised.
        """
        del self.jobs[str(key)]
        if nonce is None:
            return
        self.unresolved_claims[str(key)] = nonce
        if len(self.unresolved_claims) > MAX_UNRESOLVED_CLAIMS:
            self.unresolved_claims.popitem(last=False)

    def finish_job(self, name: str, answer: SubmissionAnswer, now: float):
        """Remove an active job and record its answer if it was added so."""
        entry = self.jobs.pop(name)
        if entry.record_answer:
            self.store_answer(name, RecordedAnswer(entry.digest, answer), now)

    def record_refusal(
        self, key: IssuedId, digest: bytes, answer: SubmissionAnswer, now: float
    ):
        """Record a refusal under an issued id and mark the id as used."""
        self.used.add(key, now)
        self.store_answer(str(key), RecordedAnswer(digest, answer), now)

    def store_answer(self, name: str, recorded: RecordedAnswer, now: float):
        """Store an answer and evict the oldest ones beyond the bounds."""
        stored = StoredAnswer(recorded, now + self.settings.answer_kept_ms / 1000)
        self.answers[name] = stored
        self.answer_bytes += stored.size
        self.evict_expired(now)
        while self.answer_bytes > self.settings.answer_kept_bytes:
            self.evict_oldest()

    def evict_expired(self, now: float):
        """Evict the expired answers, which are the oldest: all have one lifetime."""
        while self.answers:
            oldest = next(iter(self.answers.values()))
            if oldest.expires_at > now:
                return
            self.evict_oldest()

    def evict_oldest(self):
        """Evict the oldest answer."""
        _, stored = self.answers.popitem(last=False)
        self.answer_bytes -= stored.size

    def remove_expired(self, now: float):
        """Remove expired answers and expired used ids."""
        self.evict_expired(now)
        self.used.drop_expired(now)
