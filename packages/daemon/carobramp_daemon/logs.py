"""Log lines by eliot: short sentences with a fixed prefix for each part."""

import sys

import eliot

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


def log_to_stderr():
    """Send log lines to standard error, one JSON object a line."""
    eliot.to_file(sys.stderr)
