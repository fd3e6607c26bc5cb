"""Specification of submissions under a caller-made id.

Explanation
===========

One UUID is submitted at the VMs A and B, which both try to claim it. Insertions are
delayed, applied after their sender gave up, and lose their replies; reads may be
stale; rows are removed when they are old; A drains, crashes and returns as another
incarnation; forwards are delayed and delivered to a later incarnation; the upstream
may start a task long after its VM gave it up. Decisions are made by
`carobramp_core.submission`.

A pause of a process or a partition is a step that is not taken for a time, while
other steps and the passing of time are; a lost message is one that never arrives.
Both need no steps of their own. The job is non-idempotent, which is the stricter
case; no decision depends on it.
"""

import functools
from typing import NamedTuple

from carobramp_core.platform import Row
from carobramp_core.submission.claims import (
    ClaimHeld,
    ClaimUnknown,
    select_expired_rows,
    verdict_from_row,
)
from carobramp_core.submission.ids import CallerMadeId
from carobramp_core.submission.owner import (
    AttachToActiveJob,
    ForwardToOwner,
    IncomingSubmission,
    InsertClaim,
    ProcessStatus,
    RespondWithError,
    RespondWithRecordedAnswer,
    StartJob,
    decide_after_claim,
    decide_submission,
)
from carobramp_core.submission.registry import (
    ActiveJob,
    ClaimUnresolved,
    RecordedAnswer,
    SubmissionAnswer,
    UnknownId,
)
from carobramp_schema.generated.claim import ClaimRow
from carobramp_schema.generated.settings import SubmissionSettings
from carobramp_testing.models.at_most_once import (
    ANSWERS,
    AT_MOST_ONCE,
    NOT_RUN,
    STARTS,
)
from carobramp_testing.models.specification import Specification, machine

MAX_SENT = 2
MAX_CLAIMS = 3
# Submissions by body. Three submissions of one body and two of two bodies keep the
# search short; together they have over 800,000 states.
ONE_BODY = {"a": 3}
TWO_BODIES = {"a": 1, "b": 1}
VMS = ("vm-a", "vm-b")
SETTINGS = SubmissionSettings()
KEY = CallerMadeId("0193a5c0-0000-7000-8000-000000000001", 1733652643.84)
ROW_KEY = f"claim/{KEY.text}"
KEPT_S = SETTINGS.claim_kept_ms / 1000
# Times of the platform and of all VMs: the id is fresh, it can start nothing any
# more, and its row may be removed.
FRESH, EXPIRED, OLD = 0, 1, 2
WALL = {
    FRESH: KEY.created_at + 1,
    EXPIRED: KEY.created_at + SETTINGS.claimed_valid_ms / 1000 + 1,
    OLD: KEY.created_at + KEPT_S + 1,
}
DONE, REFUSED, FAILED = (
    SubmissionAnswer(200, b""),
    SubmissionAnswer(503, b""),
    SubmissionAnswer(502, b""),
)

SAFEGUARDS = {
    "claim condition": STARTS,
    "nonce read-back": STARTS,
    "incarnation in the row": STARTS,
    "unknown claim starts nothing": STARTS,
    "expiry before row removal": STARTS,
    "second age check": STARTS,
    "no retry after an unknown outcome": STARTS,
    "not_run only of recorded refusals": NOT_RUN,
}
DIGEST_CHECK = "body digest check"


class Vm(NamedTuple):
    """State of one VM's process.

    `job` is empty, ``claiming``, ``reading``, ``queued``, ``sent`` or ``answered``;
    `nonce` is that of the claim under way, or of one whose result is not known.
    """

    incarnation: int = 1
    accepting: bool = True
    job: str = ""
    body: str = ""
    nonce: int = 0
    answer: SubmissionAnswer | None = None


class Insertion(NamedTuple):
    """Insertion under way to the platform."""

    vm: int
    incarnation: int
    nonce: int
    body: str


class State(NamedTuple):
    """State of the VMs, the claim row and the messages under way.

    `forwards` holds the VM, the incarnation and the body of each forward.
    """

    idempotent: bool = False
    time: int = FRESH
    vms: tuple[Vm, Vm] = (Vm(), Vm())
    row: Insertion | None = None
    insertions: tuple[Insertion, ...] = ()
    forwards: tuple[tuple[int, int, str], ...] = ()
    claims: int = 0
    submissions: tuple[str, ...] = ()
    starts: int = 0
    answers: int = 0
    runs: int = 0
    told_not_run: bool = False
    mixed_up: bool = False


decide_once = functools.lru_cache(maxsize=None)(decide_submission)
decide_claimed_once = functools.lru_cache(maxsize=None)(decide_after_claim)


def incarnation(number):
    """Return an incarnation as the messages carry it."""
    return f"{number:016x}"


@functools.cache
def claim_row(claim: Insertion) -> ClaimRow:
    """Return the row of a claim."""
    return ClaimRow(
        VMS[claim.vm],
        incarnation(claim.incarnation),
        str(claim.nonce),
        digest_of(claim.body).hex(),
    )


def digest_of(body):
    """Return a digest of a body."""
    return body.encode().ljust(32, b"-")


@functools.cache
def process(at, vm):
    """Return the deciding process."""
    return ProcessStatus(VMS[at], incarnation(vm.incarnation), vm.accepting)


def known(vm):
    """Return what a VM's registry knows of the id."""
    if vm.job == "answered":
        return RecordedAnswer(digest_of(vm.body), vm.answer)
    if vm.job:
        return ActiveJob(digest_of(vm.body))
    return ClaimUnresolved(str(vm.nonce)) if vm.nonce else UnknownId()


def put(state, at, **fields):
    """Return the state with changed fields of one VM."""
    changed = state.vms[at]._replace(**fields)
    vms = (changed, state.vms[1]) if at == 0 else (state.vms[0], changed)
    return state._replace(vms=vms)


def arrive(state, at, body, addressed_to, without):
    """Let a submission arrive at a VM."""
    vm = state.vms[at]
    digest = digest_of(body)
    if without == DIGEST_CHECK and vm.body:
        digest = digest_of(vm.body)
    received = IncomingSubmission(KEY, digest, known(vm), addressed_to=addressed_to)
    wall = WALL[state.time]
    decision = decide_once(received, process(at, vm), SETTINGS, wall)
    if isinstance(decision, InsertClaim) and state.claims == MAX_CLAIMS:
        return state
    return carry_out(decision, state, at, body, without)


@functools.singledispatch
def carry_out(decision, state, at, body, without):
    """Return the state after a decision of a VM."""
    raise TypeError(f"unexpected decision {decision!r}")


@carry_out.register
def _(decision: InsertClaim, state, at, body, without):
    nonce = int(decision.nonce) if decision.nonce else state.claims + 1
    state = put(state, at, job="claiming", body=body, nonce=nonce)
    claim = Insertion(at, state.vms[at].incarnation, nonce, body)
    return state._replace(
        claims=state.claims + 1, insertions=add(state.insertions, claim)
    )


@carry_out.register
def _(decision: StartJob, state, at, body, without):
    return put(state, at, job="queued", nonce=0)


@carry_out.register
def _(decision: AttachToActiveJob, state, at, body, without):
    return state._replace(mixed_up=state.mixed_up or body != state.vms[at].body)


@carry_out.register
def _(decision: RespondWithRecordedAnswer, state, at, body, without):
    return state._replace(
        mixed_up=state.mixed_up or body != state.vms[at].body,
        told_not_run=state.told_not_run or decision.answer == REFUSED,
    )


@carry_out.register
def _(decision: ForwardToOwner, state, at, body, without):
    target = VMS.index(decision.vm)
    forward = (target, int(decision.incarnation, 16), body)
    return state._replace(forwards=add(state.forwards, forward))


@carry_out.register
def _(decision: RespondWithError, state, at, body, without):
    not_run = decision.not_run
    if without == "not_run only of recorded refusals":
        not_run = not_run or not state.vms[at].accepting
    return state._replace(told_not_run=state.told_not_run or not_run)


def conclude(state, at, verdict, without):
    """Let a VM act on the verdict on its claim."""
    vm = state.vms[at]
    wall = WALL[FRESH if without == "second age check" else state.time]
    digest = digest_of(vm.body)
    decision = decide_claimed_once(
        verdict, KEY, digest, process(at, vm), SETTINGS, wall
    )
    if not isinstance(decision, StartJob):
        unsettled = vm.nonce if isinstance(verdict, ClaimUnknown) else 0
        state = put(state, at, job="", body="", nonce=unsettled)
    return carry_out(decision, state, at, vm.body, without)


def judge_row(state, at, without):
    """Return what the present row says about a VM's claim."""
    vm = state.vms[at]
    claim = Insertion(at, vm.incarnation, vm.nonce, vm.body)
    row = state.row
    if row is None:
        return ClaimUnknown("absent")
    same_vm = row.vm == at
    if without == "incarnation in the row" and same_vm:
        return ClaimHeld()
    if without == "nonce read-back" and same_vm:
        row = row._replace(nonce=claim.nonce)
    return verdict_from_row(claim_row(row), claim_row(claim))


def transitions(without, state):
    """Return the possible next states with their labels."""
    steps = environment(state)
    steps += platform(state, without)
    steps += upstream(state)
    for at in range(len(VMS)):
        steps += vm_steps(state, at, without)
    return steps


def environment(state):
    """Time, crash and drain of A."""
    steps = []
    if state.time < OLD:
        steps.append(("time passes", state._replace(time=state.time + 1)))
    first = state.vms[0]
    if first.accepting:
        steps.append(("A drains", put(state, 0, accepting=False)))
    if first.incarnation == 1:
        crashed = put(state, 0, **Vm(incarnation=2)._asdict())
        steps.append(("A is replaced", crashed))
    return steps


def platform(state, without):
    """The platform applies insertions, replies or not, and old rows go."""
    steps = []
    for claim in sorted(set(state.insertions)):
        rest = state._replace(insertions=remove(state.insertions, claim))
        free = state.row is None or without == "claim condition"
        applied = rest._replace(row=claim) if free else rest
        steps.append((f"{claim} is applied, its reply is lost", applied))
        vm = state.vms[claim.vm]
        waits = vm.job == "claiming" and vm.nonce == claim.nonce
        if waits and vm.incarnation == claim.incarnation:
            verdict = ClaimHeld()
            if not free:
                verdict = judge_row(state, claim.vm, without)
            after = conclude(applied, claim.vm, verdict, without)
            steps.append((f"{claim} is applied", after))
    if state.row is not None and removable(state, without):
        steps.append(("the row is removed", state._replace(row=None)))
    return steps


def removable(state, without):
    """Whether the present row may be removed."""
    kept = 0.0 if without == "expiry before row removal" else KEPT_S
    rows = (Row(ROW_KEY, b"", 1),)
    return bool(select_expired_rows(rows, 2, WALL[state.time], kept).rows)


def vm_steps(state, at, without):
    """Steps of one VM."""
    steps = []
    name = VMS[at]
    vm = state.vms[at]
    for body in sorted(set(state.submissions)):
        fewer = state._replace(submissions=remove(state.submissions, body))
        after = arrive(fewer, at, body, None, without)
        steps.append((f"submit {body} at {name}", after))
    for forward in sorted(set(state.forwards)):
        target, addressed_to, body = forward
        if target != at:
            continue
        rest = state._replace(forwards=remove(state.forwards, forward))
        after = arrive(rest, at, body, incarnation(addressed_to), without)
        steps.append((f"forward {forward} arrives", after))
    if vm.job == "claiming":
        after = put(state, at, job="reading")
        if without == "unknown claim starts nothing":
            after = put(state, at, job="queued", nonce=0)
        steps.append((f"{name} gets no reply to its claim", after))
    if vm.job == "reading":
        unknown = ClaimUnknown("no reply")
        after = conclude(state, at, unknown, without)
        steps.append((f"{name} cannot read its claim back", after))
        if state.row is not None:
            after = conclude(state, at, judge_row(state, at, without), without)
            steps.append((f"{name} reads its claim back", after))
    steps += job_steps(state, at, without)
    return steps


def job_steps(state, at, without):
    """Steps of a VM's job."""
    steps = []
    name = VMS[at]
    vm = state.vms[at]
    if vm.job == "queued":
        if state.starts + state.runs < MAX_SENT:
            after = put(state, at, job="sent")._replace(starts=state.starts + 1)
            steps.append((f"{name} sends the task", after))
        after = put(state, at, job="answered", answer=REFUSED)
        after = after._replace(told_not_run=True)
        steps.append((f"{name} refuses the job", after))
    if vm.job == "sent":
        after = put(state, at, job="answered", answer=FAILED)
        if without == "no retry after an unknown outcome":
            after = put(state, at, job="queued")
        steps.append((f"{name} does not know the outcome", after))
        if state.answers:
            after = put(state, at, job="answered", answer=DONE)
            after = after._replace(answers=state.answers - 1)
            steps.append((f"{name} gets the task's answer", after))
    if vm.job == "answered":
        after = put(state, at, job="", body="", answer=None)
        steps.append((f"{name} evicts the answer", after))
    return steps


def upstream(state):
    """The upstream runs a task whose request is under way."""
    if not state.starts:
        return []
    after = state._replace(
        starts=state.starts - 1, runs=state.runs + 1, answers=state.answers + 1
    )
    return [("the upstream runs the task", after)]


def add(messages, message):
    """Return the messages with one more, in a fixed order."""
    return tuple(sorted((*messages, message)))


def remove(messages, message):
    """Return the messages without one copy of `message`."""
    at = messages.index(message)
    return messages[:at] + messages[at + 1 :]


def build(submissions, without):
    """Build the machine; `without` names a safeguard that it lacks."""
    step = functools.partial(transitions, without)
    bodies = tuple(sorted(b for b, n in submissions.items() for _ in range(n)))
    initial = State(submissions=bodies)
    return machine("caller-made ids", initial, step)


def specifications():
    """Return the specifications."""
    found = []
    for name, submissions, safeguards in (
        ("caller-made ids, one body", ONE_BODY, SAFEGUARDS),
        ("caller-made ids, two bodies", TWO_BODIES, {DIGEST_CHECK: ANSWERS}),
    ):
        bounds = (
            f"1 id, 1 task, {sum(submissions.values())} submissions at {len(VMS)} "
            f"VMs, {len(submissions)} bodies, {MAX_CLAIMS} claims, 2 incarnations of A"
        )
        build_one = functools.partial(build, submissions)
        found.append(Specification(name, bounds, AT_MOST_ONCE, build_one, safeguards))
    return found
