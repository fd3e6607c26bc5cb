"""What this process knows about the submissions it owns.

Explanation
===========

Three stores, each bounded: one bit for each used issued id, until the id can start
nothing any more; the jobs under way; and the recorded answers, bounded in time and
bytes. An answer may be evicted at any time: the used bit or the claim row still
prevents a second start.
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

BLOCK_IDS = 256
# The issue time in an id is cut to whole seconds; one second more gives the caller
# the whole validity that it was told.
ISSUED_ROUNDING_S = 1.0
# Memory of one recorded answer besides its body.
ANSWER_OVERHEAD_BYTES = 512
MAX_UNSETTLED = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """Response to a submission, as the caller gets it."""

    status: int
    body: bytes
    retry_after_s: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownId:
    """Nothing is known of the id."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEvicted:
    """The issued id was used; its answer is no longer kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveJob:
    """The job of the id is being claimed, waits or runs."""

    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer of the id is kept."""

    digest: bytes
    answer: SubmissionAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnresolved:
    """A claim of the id was sent and its result is not known; nothing started."""

    nonce: str


IdStatus = UnknownId | AnswerEvicted | ActiveJob | RecordedAnswer | ClaimUnresolved


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Recorded answer with the time until which it is kept."""

    recorded: RecordedAnswer
    until: float

    @property
    def size(self):
        """Bytes that the answer is counted with."""
        return len(self.recorded.answer.body) + ANSWER_OVERHEAD_BYTES


@dataclasses.dataclass(slots=True)
class Block:
    """Used ids among 256 consecutive sequence numbers.

    `latest` is the latest issue time of a used id of the block.
    """

    bits: int = 0
    latest: int = 0


class UsedIds:
    """Issued ids that were used, one bit for each, until they expire.

    Parameters
    ==========

    valid : time for which an issued id can start work, in seconds
    """

    def __init__(self, valid: float):
        self.valid = valid + ISSUED_ROUNDING_S
        self.blocks: dict[int, Block] = {}

    def expired(self, issued: IssuedId, now: float) -> bool:
        """Whether the id can start nothing any more."""
        return now >= issued.issued + self.valid

    def add(self, issued: IssuedId, now: float):
        """Mark an id as used."""
        number, bit = divmod(issued.sequence, BLOCK_IDS)
        block = self.blocks.get(number)
        if block is None:
            self.drop_expired(now)
            block = self.blocks[number] = Block()
        block.bits |= 1 << bit
        block.latest = max(block.latest, issued.issued)

    def __contains__(self, issued: IssuedId):
        number, bit = divmod(issued.sequence, BLOCK_IDS)
        block = self.blocks.get(number)
        return block is not None and bool(block.bits >> bit & 1)

    def drop_expired(self, now: float):
        """Drop the blocks of which every used id has expired."""
        limit = now - self.valid
        old = [number for number, b in self.blocks.items() if b.latest <= limit]
        for number in old:
            del self.blocks[number]


@dataclasses.dataclass(frozen=True, slots=True)
class JobEntry:
    """Job under way; `keep` says whether its answer is recorded."""

    digest: bytes
    keep: bool


class SubmissionRegistry:
    """Submissions owned by one process.

    Parameters
    ==========

    settings : submission settings
    max_jobs : greatest number of jobs under way
    """

    def __init__(self, settings: SubmissionSettings, max_jobs: int):
        self.settings = settings
        self.max_jobs = max_jobs
        self.used = UsedIds(settings.issued_valid_ms / 1000)
        self.jobs: dict[str, JobEntry] = {}
        self.answers: collections.OrderedDict[str, KeptAnswer] = (
            collections.OrderedDict()
        )
        self.answer_bytes = 0
        self.unsettled: collections.OrderedDict[str, str] = collections.OrderedDict()

    def at_capacity(self) -> bool:
        """Whether no further job may begin."""
        return len(self.jobs) >= self.max_jobs

    def lookup(self, key: SubmissionId, now: float) -> IdStatus:
        """Return what is known of an id."""
        if isinstance(key, NoId | InvalidId):
            return UnknownId()
        name = str(key)
        if name in self.jobs:
            return ActiveJob(self.jobs[name].digest)
        self.evict_old(now)
        if name in self.answers:
            return self.answers[name].recorded
        if isinstance(key, IssuedId):
            return AnswerEvicted() if key in self.used else UnknownId()
        if name in self.unsettled:
            return ClaimUnresolved(self.unsettled[name])
        return UnknownId()

    def add_job(self, key: IssuedId | CallerMadeId, digest: bytes, keep: bool, now):
        """Note a job that is claimed or started; an issued id is used by it."""
        if isinstance(key, IssuedId):
            self.used.add(key, now)
        self.unsettled.pop(str(key), None)
        self.jobs[str(key)] = JobEntry(digest, keep)

    def abandon_claim(self, key: CallerMadeId, nonce: str | None):
        """Drop a job whose claim did not hold.

        `nonce` is that of the claim when its result is not known: the next try
        for the id uses it again, so that a claim that took effect is recognised.
        """
        del self.jobs[str(key)]
        if nonce is None:
            return
        self.unsettled[str(key)] = nonce
        if len(self.unsettled) > MAX_UNSETTLED:
            self.unsettled.popitem(last=False)

    def finish_job(self, name: str, answer: SubmissionAnswer, now: float):
        """Record the answer of a job under way."""
        entry = self.jobs.pop(name)
        if entry.keep:
            self.keep(name, RecordedAnswer(entry.digest, answer), now)

    def record_refusal(
        self, key: IssuedId, digest: bytes, answer: SubmissionAnswer, now: float
    ):
        """Record a refusal under an issued id, which is used by it."""
        self.used.add(key, now)
        self.keep(str(key), RecordedAnswer(digest, answer), now)

    def keep(self, name: str, recorded: RecordedAnswer, now: float):
        """Keep an answer, and evict the oldest ones beyond the bounds."""
        kept = KeptAnswer(recorded, now + self.settings.answer_kept_ms / 1000)
        self.answers[name] = kept
        self.answer_bytes += kept.size
        self.evict_old(now)
        while self.answer_bytes > self.settings.answer_kept_bytes:
            self.evict_oldest()

    def evict_old(self, now: float):
        """Evict the answers whose time is over; all are kept equally long."""
        while self.answers:
            oldest = next(iter(self.answers.values()))
            if oldest.until > now:
                return
            self.evict_oldest()

    def evict_oldest(self):
        """Evict the oldest answer."""
        _, kept = self.answers.popitem(last=False)
        self.answer_bytes -= kept.size

    def remove_expired(self, now: float):
        """Drop what is no longer needed."""
        self.evict_old(now)
        self.used.drop_expired(now)
