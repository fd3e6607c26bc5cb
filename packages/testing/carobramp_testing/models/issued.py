"""Specification of submissions under an issued id.

Explanation
===========

One id issued by the first incarnation of VM A is submitted at A and at VM B, which
forwards it. Messages are delayed, duplicated and lost, A pauses, drains, crashes and
returns as another incarnation, and the upstream may start a task long after A gave
it up. Every decision about a submission is made by `carobramp_core.submission.owner`.
"""

import functools
from typing import NamedTuple

from carobramp_core.submission.ids import IssuedId
from carobramp_core.submission.owner import (
    AttachToActiveJob,
    ForwardToOwner,
    IncomingSubmission,
    ProcessStatus,
    RespondWithError,
    RespondWithRecordedAnswer,
    StartJob,
    decide_submission,
)
from carobramp_core.submission.registry import (
    ActiveJob,
    AnswerEvicted,
    RecordedAnswer,
    SubmissionAnswer,
    UnknownId,
)
from carobramp_schema.generated.settings import SubmissionSettings
from carobramp_testing.models.at_most_once import (
    ANSWERS,
    AT_MOST_ONCE,
    NOT_RUN,
    STARTS,
)
from carobramp_testing.models.specification import Specification, machine

SUBMISSIONS = 4
# Three submissions are enough for a counterexample of each mutant.
MUTANT_SUBMISSIONS = 3
DUPLICATES = 1
# Requests for one task that are sent at most; two are enough to start it twice.
MAX_SENT = 2
BODIES = ("a", "b")
SETTINGS = SubmissionSettings()
INCARNATIONS = {1: "0" * 15 + "1", 2: "0" * 15 + "2"}
KEY = IssuedId("vm-a", INCARNATIONS[1], 0, 0, "0" * 24)
DONE, REFUSED, FAILED = (
    SubmissionAnswer(200, b""),
    SubmissionAnswer(503, b""),
    SubmissionAnswer(502, b""),
)

EXPIRY = "expiry before the used bit is dropped"
LOST_FORWARD = "no start after a lost forward"
SAFEGUARDS = {
    "incarnation check": STARTS,
    "used bit": STARTS,
    EXPIRY: STARTS,
    "recorded refusal": NOT_RUN,
    "no retry after an unknown outcome": STARTS,
    LOST_FORWARD: STARTS,
    "body digest check": ANSWERS,
}


class State(NamedTuple):
    """State of the owner, the messages under way and what callers were told.

    `job` is empty, ``queued``, ``sent`` or ``answered``; `forwards` and `starts`
    are messages under way.
    """

    idempotent: bool | None = None
    expired: bool = False
    paused: bool = False
    incarnation: int = 1
    accepting: bool = True
    used: bool = False
    job: str = ""
    body: str = ""
    answer: SubmissionAnswer | None = None
    forwards: tuple[str, ...] = ()
    submissions: int = SUBMISSIONS
    duplicates: int = DUPLICATES
    starts: int = 0
    answers: int = 0
    runs: int = 0
    told_not_run: bool = False
    mixed_up: bool = False


decide_once = functools.lru_cache(maxsize=None)(decide_submission)


def known(state, without):
    """Return what the registry of A knows of the id."""
    if state.job in ("queued", "sent"):
        return ActiveJob(state.body.encode())
    if state.job == "answered":
        return RecordedAnswer(state.body.encode(), state.answer)
    if state.used and without != "used bit":
        return AnswerEvicted()
    return UnknownId()


def arrive(state, body, addressed_to, without):
    """Let a submission arrive at A."""
    incarnation = INCARNATIONS[state.incarnation]
    genuine = state.incarnation == 1
    if without == "incarnation check":
        incarnation, addressed_to, genuine = KEY.incarnation, None, True
    digest = state.body if without == "body digest check" and state.body else body
    received = IncomingSubmission(
        key=KEY,
        digest=digest.encode(),
        id_status=known(state, without),
        issued_here=genuine,
        expired=state.expired and without != EXPIRY,
        addressed_to=addressed_to,
    )
    process = ProcessStatus("vm-a", incarnation, accepting=state.accepting)
    decision = decide_once(received, process, SETTINGS, 0.0)
    return carry_out(decision, state, body, without)


@functools.singledispatch
def carry_out(decision, state, body, without):
    """Return the state after a decision of A."""
    raise TypeError(f"unexpected decision {decision!r}")


@carry_out.register
def _(decision: StartJob, state, body, without):
    return state._replace(used=True, job="queued", body=body)


@carry_out.register
def _(decision: AttachToActiveJob, state, body, without):
    return state._replace(mixed_up=state.mixed_up or body != state.body)


@carry_out.register
def _(decision: RespondWithRecordedAnswer, state, body, without):
    return state._replace(
        mixed_up=state.mixed_up or body != state.body,
        told_not_run=state.told_not_run or decision.answer == REFUSED,
    )


@carry_out.register
def _(decision: RespondWithError, state, body, without):
    state = state._replace(told_not_run=state.told_not_run or decision.not_run)
    if not decision.record or without == "recorded refusal":
        return state
    return state._replace(used=True, job="answered", body=body, answer=REFUSED)


def transitions(without, state):
    """Return the possible next states with their labels."""
    if state.idempotent is None:
        return [
            ("the job is idempotent", state._replace(idempotent=True)),
            ("the job is not idempotent", state._replace(idempotent=False)),
        ]
    steps = environment(state)
    steps += forwarder(state, without)
    steps += upstream(state)
    if not state.paused:
        steps += owner(state, without)
    return steps


def environment(state):
    """Clock, pauses, crash and drain."""
    steps = [("pause or resume A", state._replace(paused=not state.paused))]
    if not state.expired:
        steps.append(("the id expires", state._replace(expired=True)))
    if state.accepting:
        steps.append(("A drains", state._replace(accepting=False)))
    if state.incarnation == 1:
        crashed = state._replace(
            incarnation=2,
            expired=False,
            paused=False,
            accepting=True,
            used=False,
            job="",
            body="",
            answer=None,
        )
        steps.append(("A is replaced", crashed))
    return steps


def forwarder(state, without):
    """B forwards each submission once; a message may be lost."""
    steps = []
    if state.submissions:
        for body in BODIES:
            received = IncomingSubmission(KEY, body.encode(), UnknownId())
            process = ProcessStatus("vm-b", "0" * 15 + "b")
            decision = decide_once(received, process, SETTINGS, 0.0)
            if decision == ForwardToOwner(KEY.vm, KEY.incarnation):
                sent = tuple(sorted((*state.forwards, body)))
                after = state._replace(submissions=state.submissions - 1, forwards=sent)
                steps.append((f"B forwards {body}", after))
    for body in sorted(set(state.forwards)):
        lost = state._replace(forwards=remove(state.forwards, body))
        if without == LOST_FORWARD and state.starts + state.runs < MAX_SENT:
            lost = lost._replace(starts=state.starts + 1)
        steps.append((f"forward {body} is lost", lost))
    return steps


def owner(state, without):
    """Steps of A."""
    steps = []
    if state.submissions:
        fewer = state._replace(submissions=state.submissions - 1)
        for body in BODIES:
            steps.append((f"submit {body} at A", arrive(fewer, body, None, without)))
    for body in sorted(set(state.forwards)):
        rest = state._replace(forwards=remove(state.forwards, body))
        after = arrive(rest, body, KEY.incarnation, without)
        steps.append((f"forward {body} arrives", after))
        if state.duplicates:
            again = state._replace(duplicates=state.duplicates - 1)
            after = arrive(again, body, KEY.incarnation, without)
            steps.append((f"forward {body} arrives, duplicated", after))
    steps += job_steps(state, without)
    if state.used and state.expired:
        steps.append(("the used bit is dropped", state._replace(used=False)))
    return steps


def job_steps(state, without):
    """Steps of A's job."""
    steps = []
    if state.job == "queued":
        if state.starts + state.runs < MAX_SENT:
            after = state._replace(job="sent", starts=state.starts + 1)
            steps.append(("A sends the task", after))
        after = state._replace(job="answered", answer=REFUSED, told_not_run=True)
        if without == "recorded refusal":
            after = after._replace(job="", body="", answer=None, used=False)
        steps.append(("A refuses the job", after))
    if state.job == "sent":
        after = state._replace(job="answered", answer=FAILED)
        if without == "no retry after an unknown outcome":
            after = state._replace(job="queued")
        steps.append(("the outcome is unknown", after))
        if state.answers:
            after = state._replace(
                job="answered", answer=DONE, answers=state.answers - 1
            )
            steps.append(("the task's answer arrives", after))
    if state.job == "answered":
        after = state._replace(job="", body="", answer=None)
        steps.append(("the answer is evicted", after))
    return steps


def upstream(state):
    """The upstream runs or refuses a task whose request is under way."""
    if not state.starts:
        return []
    rest = state._replace(starts=state.starts - 1)
    ran = rest._replace(runs=state.runs + 1, answers=state.answers + 1)
    steps = [("the upstream runs the task", ran)]
    if state.job == "sent":
        steps.append(("the upstream refuses the task", rest._replace(job="queued")))
    return steps


def remove(messages, message):
    """Return the messages without one copy of `message`."""
    at = messages.index(message)
    return messages[:at] + messages[at + 1 :]


def build(without):
    """Build the machine; `without` names a safeguard that it lacks."""
    step = functools.partial(transitions, without)
    submissions = MUTANT_SUBMISSIONS if without else SUBMISSIONS
    initial = State(submissions=submissions)
    return machine("issued ids", initial, step)


def specifications():
    """Return the specification."""
    bounds = (
        f"1 id, 1 task, {SUBMISSIONS} submissions at 2 VMs, {len(BODIES)} bodies, "
        f"{DUPLICATES} duplicate, 2 incarnations of the owner"
    )
    return [Specification("issued ids", bounds, AT_MOST_ONCE, build, SAFEGUARDS)]
