"""Log lines by eliot: short sentences with a fixed prefix for each part."""

import logging
import sys
import traceback

import eliot

DETAIL_MAX_CHARS = 500
PREFIXES = (
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

    prefix : one of `PREFIXES`
    vm : name of the VM
    """

    def __init__(self, prefix, vm):
        if prefix not in PREFIXES:
            raise ValueError(f"unknown log prefix {prefix}")
        self.prefix = prefix
        self.vm = vm

    def info(self, sentence, **fields):
        """Write one line."""
        message = f"{self.prefix}: {sentence}"
        eliot.log_message(message_type=message, vm=self.vm, **fields)


class LibraryHandler(logging.Handler):
    """Writes what a library reports as one log line, without its traceback.

    A peer or caller that sends garbage makes a library report an exception; a
    traceback for each would drown the log.
    """

    def __init__(self, vm):
        super().__init__(logging.WARNING)
        self.log_line = Log("daemon", vm)

    def emit(self, record):
        """Write one report."""
        error = record.exc_info[1] if record.exc_info else None
        self.log_line.info(
            "library report",
            library=record.name,
            detail=record.getMessage()[:DETAIL_MAX_CHARS],
            error=repr(error)[:DETAIL_MAX_CHARS] if error else "",
            place=place_of(error) if error else "",
        )


def place_of(error):
    """Return file and line at which an exception was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""


def log_to_stderr(vm):
    """Send log lines to standard error, one JSON object a line."""
    eliot.to_file(sys.stderr)
    logging.basicConfig(handlers=[LibraryHandler(vm)])


def log_to_stdout(vm):
    """Send log lines to standard output, one JSON object a line."""
    eliot.to_file(sys.stdout)
    logging.basicConfig(handlers=[LibraryHandler(vm)])
