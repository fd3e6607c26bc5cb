"""A world in which a task crashes every upstream that starts it.

Explanation
===========

Faults of `World` come beside the crashes: owners are killed or replaced, the entry dies
and the caller gives up or asks another entry. A crashed upstream refuses connections
and is back after some seconds under the same name, in a new life.
"""

from carobramp_core.cells.entry_events import JobReceived
from carobramp_core.cells.messages import Interrupted, Refused
from carobramp_core.cells.orders import Accepted
from carobramp_testing.models.cell_upstreams import JOB, SimulatedUpstream
from carobramp_testing.models.cell_world import World

UPSTREAMS_PER_CELL = 6
DOWN_S = 3.0
# Time after which the caller no longer asks again.
CALLER_PATIENCE_S = 7.0


class CrashingUpstream(SimulatedUpstream):
    """An upstream that accepts a start and crashes.

    Parameters
    ==========

    on_crash : called with this upstream after each start
    """

    def __init__(self, name, cell, on_crash):
        self.on_crash = on_crash
        super().__init__(name, cell)

    def start(self, order, now):
        """Accept a start and crash."""
        outcome = super().start(order, now)
        if isinstance(outcome, Accepted):
            self.running.clear()
            self.on_crash(self)
        return outcome


class CrashingWorld(World):
    """World with more upstreams, each of which crashes when it starts the task.

    Parameters
    ==========

    silent : whether a crashed upstream leaves orders unanswered, as behind a cut,
        instead of refusing connections

    Attributes
    ==========

    crash_count : number of upstreams that have crashed
    """

    steps = 90

    def __init__(self, faults, silent=False):
        self.silent_crashes = silent
        self.crash_count = 0
        super().__init__(faults)

    def new_upstreams(self):
        """Return the upstreams of both cells."""
        return [
            CrashingUpstream(f"i-{cell}-{number}", cell, self.crash)
            for cell in ("a", "b")
            for number in range(UPSTREAMS_PER_CELL)
        ]

    def crash(self, upstream):
        """Take an upstream down for some seconds."""
        self.crash_count += 1
        upstream.reachable = False
        upstream.refuses_connections = not self.silent_crashes

        def restore():
            upstream.restart(self.now)
            upstream.reachable = True
            upstream.refuses_connections = False

        self.restored.append((self.now + DOWN_S, restore))

    def answer(self, entry, outcome):
        """Give the caller its answer; after an unsure one it asks again in a while."""
        self.outcomes.append(outcome)
        if isinstance(outcome, Interrupted | Refused) and self.caller_waits():
            self.resend_at.append(self.now + self.limits.caller_retry_s)

    def caller_waits(self):
        """Whether the caller would still ask again."""
        return self.now < CALLER_PATIENCE_S

    def resend(self):
        """Send the job again, to the entry that did not have it last if it lives."""
        self.entries.reverse()
        for party in self.entries:
            if party.awake() and not any(p.entry.jobs for p in self.entries if p.alive):
                party.dispatch(JobReceived(JOB))
                return
