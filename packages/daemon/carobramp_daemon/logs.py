"""Structured log lines by eliot, each with the prefix of its component."""

import logging
import os
import select
import sys
import time
import traceback

import eliot

DETAIL_MAX_CHARS = 500
# About ten times the lines of a daemon with 20 jobs/s. Writing more would take over a
# tenth of a core.
MAX_LINES_PER_S = 1000
# A writable pipe takes at least this many bytes without blocking (PIPE_BUF on Linux).
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
    """Writes the log lines of one component.

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
        """Write a line with `message` after the component, and with the fields."""
        message_type = f"{self.component}: {message}"
        eliot.log_message(message_type=message_type, vm=self.vm, **fields)


class LibraryHandler(logging.Handler):
    """Writes a warning or error of a library as one log line without traceback.

    Malformed input from a peer or caller makes libraries log an exception each time;
    tracebacks would then make up most of the log.
    """

    def __init__(self, vm):
        super().__init__(logging.WARNING)
        self.event_log = Log("daemon", vm)

    def emit(self, record):
        """Write the log line for a record."""
        error = record.exc_info[1] if record.exc_info else None
        self.event_log.info(
            "library reported a problem",
            library=record.name,
            detail=record.getMessage()[:DETAIL_MAX_CHARS],
            error=repr(error)[:DETAIL_MAX_CHARS] if error else "",
            place=raise_location(error) if error else "",
        )


def raise_location(error):
    """Return ``FILE:LINE`` at which an exception was raised; empty if unknown."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""


def log_to_stderr(vm):
    """Write log lines to standard error, one JSON object per line."""
    eliot.to_file(sys.stderr)
    logging.basicConfig(handlers=[LibraryHandler(vm)])


class BoundedOutput:
    """Output for log lines that does not block and has a bounded rate.

    Lines beyond the rate are dropped and counted, and so are lines that the reader of
    the pipe has left no space for. Their number is reported before the next line.

    Parameters
    ==========

    descriptor : file descriptor to write to
    lines_per_s : sustained rate, and the size of a burst above it
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
        """Write one line, cut off at `LINE_MAX_BYTES`, or drop it."""
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
        """Add the lines allowed for the time since the last call (token bucket)."""
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
    """Write log lines to standard output through a `BoundedOutput`.

    Parameters
    ==========

    on_dropped : called with the number of lines that were dropped
    """
    output = BoundedOutput(sys.stdout.fileno(), MAX_LINES_PER_S, on_dropped)
    eliot.add_destinations(eliot.FileDestination(file=output))
    logging.basicConfig(handlers=[LibraryHandler(vm)])
