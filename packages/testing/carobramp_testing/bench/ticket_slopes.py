"""Costs of state and tickets against the number of objects, in this process."""

import time

from carobramp_core.tickets.propagation import apply_record
from carobramp_core.tickets.state import (
    DeploymentState,
    content_digest,
    decode_state,
    encode_state,
)
from carobramp_schema import encode
from carobramp_schema.generated.ticket import (
    ServiceChange,
    TeamChange,
    TeamState,
    Ticket,
    TicketRecord,
    UpstreamChange,
    UpstreamState,
)
from carobramp_testing.builders import service_state

REPEATS = 20
UPSTREAMS = (200, 600, 1800)
TEAMS = 110
CATCH_UP = 512


def full_state(upstreams, teams=TEAMS):
    """Return a state with one service and the given numbers of objects."""
    ticket = Ticket(
        1,
        "operator",
        services=[ServiceChange("order-desk", 0, service_state())],
        upstreams=[upstream_change(index, 0) for index in range(upstreams)],
        teams=[TeamChange(f"team-{n:03d}", 0, TeamState(100)) for n in range(teams)],
    )
    return DeploymentState().apply(ticket)


def upstream_change(index, based_on, slots=8):
    """Return the change that sets one upstream."""
    host = f"10.0.{index // 250}.{index % 250}"
    zone = f"zone-{index % 15:02d}"
    state = UpstreamState("order-desk", host, 9000, zone, f"rack-{index // 8}", slots)
    return UpstreamChange(f"up-{index:04d}", based_on, state)


def next_record(state, index):
    """Return the record of a ticket that sets one upstream."""
    present = state.upstreams[f"up-{index:04d}"]
    slots = present.state.slots % 16 + 1
    change = upstream_change(index, present.number, slots)
    ticket = Ticket(state.number + 1, "operator", upstreams=[change])
    after = state.apply(ticket)
    return TicketRecord(ticket, content_digest(ticket), after.digest(), 0)


def best_ms(action):
    """Return the shortest time of an action, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        action()
        times.append(time.perf_counter() - begin)
    return min(times) * 1000


def measure_slopes(report):
    """Print the costs against the number of upstreams."""
    for count in UPSTREAMS:
        state = full_state(count)
        record = next_record(state, 7)
        data = encode_state(state)
        digest = state.digest()
        apply_ms = best_ms(lambda s=state, r=record: apply_record(s, r))
        encode_ms = best_ms(lambda s=state: encode_state(s))
        decode_ms = best_ms(lambda d=data, g=digest: decode_state(d, g))
        report.line(
            f"{count} upstreams, {TEAMS} teams: state {len(data)} B,"
            f" apply with digests {apply_ms:.2f} ms, encode {encode_ms:.1f} ms,"
            f" decode and check {decode_ms:.1f} ms, record {len(encode(record))} B"
        )
    measure_catch_up(report)


def measure_catch_up(report):
    """Print the time to apply the widest gap ticket by ticket."""
    state = start = full_state(UPSTREAMS[-1])
    records = []
    for index in range(CATCH_UP):
        records.append(next_record(state, index))
        state = state.apply(records[-1].ticket)
    begin = time.perf_counter()
    longest = 0.0
    state = start
    for record in records:
        step = time.perf_counter()
        state = apply_record(state, record)
        longest = max(longest, time.perf_counter() - step)
    seconds = time.perf_counter() - begin
    report.line(
        f"{CATCH_UP} tickets one by one: {seconds:.2f} s,"
        f" longest step between turns of the event loop {longest * 1000:.1f} ms"
    )
