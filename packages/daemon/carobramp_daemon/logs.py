"""Log lines by eliot: short sentences with a fixed prefix for each part."""

import logging
import os
import select
import sys
import time
import traceback

import eliot

DETAIL_MAX_CHARS = 500
# About ten times the lines of a daemon with 20 jobs a second; more would take over
# a tenth of a core.
MAX_LINES_PER_S = 1000
# A pipe that is writable takes at least this much without blocking.
LINE_MAX_BYTES = 4096
LOG_COMPONENTS = (
    "api",
    "submission",
    "dispatch",
    "upstream",
    "peer",
    "ticket",
    "membership",
    "platform",
    "daemon",
    "entry",
    "owner",
    "fleet",
    "routes",
    "ingress",
)


class Log:
    """Writes log lines of one part.

    Parameters
    ==========

    component : one of `LOG_COMPONENTS`
    vm : name of the VM
    """

    def __init__(self, component, vm):
        if component not in LOG_COMPONENTS:
            raise ValueError(f"unknown log component {component}")
        self.component = component
        self.vm = vm

    def info(self, message, **fields):
        """Write one line."""
        message_type = f"{self.component}: {message}"
        eliot.log_message(message_type=message_type, vm=self.vm, **fields)


class LibraryHandler(logging.Handler):
    """Writes what a library reports as one log line, without its traceback.

    A peer or caller that sends garbage makes a library report an exception; a
    traceback for each would drown the log.
    """

    def __init__(self, vm):
        super().__init__(logging.WARNING)
        self.event_log = Log("daemon", vm)

    def emit(self, record):
        """Write one report."""
        error = record.exc_info[1] if record.exc_info else None
        self.event_log.info(
            "library report",
            library=record.name,
            detail=record.getMessage()[:DETAIL_MAX_CHARS],
            error=repr(error)[:DETAIL_MAX_CHARS] if error else "",
            place=raise_location(error) if error else "",
        )


def raise_location(error):
    """Return file and line at which an exception was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""


def log_to_stderr(vm):
    """Send log lines to standard error, one JSON object a line."""
    eliot.to_file(sys.stderr)
    logging.basicConfig(handlers=[LibraryHandler(vm)])


class BoundedOutput:
    """Output for log lines that neither blocks nor grows with the load.

    Lines beyond the rate, and lines for a reader that does not read, are dropped
    and counted; the next line that is written says how many.

    Parameters
    ==========

    descriptor : file descriptor to write to
    lines_per_s : rate that is kept up; a burst of one second's lines may go before
    on_dropped : called with the number of dropped lines, before the next line
    """

    def __init__(self, descriptor, lines_per_s, on_dropped):
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.on_dropped = on_dropped
        self.available_lines = float(lines_per_s)
        self.refilled_at = time.monotonic()
        self.dropped = 0

    def write(self, text):
        """Write one line, or drop it."""
        data = text.encode() if isinstance(text, str) else text
        if not data:
            return
        self.refill(time.monotonic())
        if self.available_lines < 1 or not self.writable():
            self.dropped += 1
            return
        self.available_lines -= 1
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.on_dropped(dropped)
        os.write(self.descriptor, data[:LINE_MAX_BYTES])

    def refill(self, now):
        """Allow the lines of the time that has passed."""
        available_lines = (
            self.available_lines + (now - self.refilled_at) * self.lines_per_s
        )
        self.available_lines = min(float(self.lines_per_s), available_lines)
        self.refilled_at = now

    def writable(self):
        """Whether a line of `LINE_MAX_BYTES` can be written without waiting."""
        return bool(select.select([], [self.descriptor], [], 0)[1])

    def flush(self):
        """Do nothing: lines are written at once."""


def log_to_stdout(vm, on_dropped):
    """Send log lines to standard output, within a bound on their rate.

    Parameters
    ==========

    on_dropped : called with the number of lines that were dropped
    """
    output = BoundedOutput(sys.stdout.fileno(), MAX_LINES_PER_S, on_dropped)
    eliot.add_destinations(eliot.FileDestination(file=output))
    logging.basicConfig(handlers=[LibraryHandler(vm)])
