"""Command line of `carobramp`, for operators and callers.

Exit status: 0 done, 1 refused or failed, 2 usage or invalid file, 3 no entry VM
reachable, 4 outcome unknown. Errors go to standard error, one line each.
"""

import asyncio
import math
import sys

from absl import flags

from carobramp_cli.client import is_url
from carobramp_cli.commands import COMMANDS, Options
from carobramp_cli.output import Exit, fail

DEFAULT_URL = "http://127.0.0.1:8080"
MAX_TIMEOUT_S = 3700.0

# Values of their own, so that the module can be imported next to other commands.
FLAGS = flags.FlagValues()
flags.DEFINE_multi_string(
    "url",
    [DEFAULT_URL],
    "Base URL of an entry VM; with several, the next is tried when it is certain "
    "that the request was not received.",
    flag_values=FLAGS,
)
flags.DEFINE_float(
    "timeout",
    0.0,
    "Longest wait for an answer, in seconds; 0 for 10 s, and for a job its "
    "deadline and 5 s.",
    lower_bound=0.0,
    upper_bound=MAX_TIMEOUT_S,
    flag_values=FLAGS,
)
flags.DEFINE_bool("json", False, "Print one line of JSON.", flag_values=FLAGS)
flags.DEFINE_string(
    "id", "", "Submission id under which to submit the job.", flag_values=FLAGS
)
flags.DEFINE_bool("help", False, "Print this help.", flag_values=FLAGS)
FLAGS.set_gnu_getopt(True)


def main(argv):
    """Run one command and return its exit status."""
    try:
        words = FLAGS(argv)[1:]
    except (flags.Error, UnicodeError) as error:
        return fail(Exit.INVALID, error)
    if FLAGS.help:
        print(usage())
        return Exit.DONE
    return run_command(words)


def run_command(words):
    """Find the command that `words` names and run it."""
    for names, (command, parameters) in COMMANDS.items():
        if tuple(words[: len(names)]) != names:
            continue
        arguments = words[len(names) :]
        if len(arguments) != len(parameters):
            return fail(Exit.INVALID, f"usage: {usage_line(names, parameters)}")
        if bad := [url for url in FLAGS.url if not is_url(url)]:
            return fail(Exit.INVALID, f"--url: expected an http URL, saw {bad[0]!r}")
        if math.isnan(FLAGS.timeout):
            return fail(Exit.INVALID, "--timeout: expected a number, saw nan")
        if FLAGS.id and names != ("job", "submit"):
            return fail(Exit.INVALID, "--id goes with `job submit` only")
        options = Options(tuple(FLAGS.url), FLAGS.timeout, FLAGS.json, FLAGS.id)
        return asyncio.run(command(options, *arguments))
    known = ", ".join(" ".join(names) for names in COMMANDS)
    seen = " ".join(words) or "nothing"
    return fail(Exit.INVALID, f"command: expected one of {known}, saw {seen!r}")


def usage_line(names, parameters):
    """Return the usage of one command."""
    return " ".join(["carobramp [flags]", *names, *parameters])


def usage():
    """Return the help text."""
    lines = [__doc__.strip(), ""]
    for names, (command, parameters) in COMMANDS.items():
        lines += [usage_line(names, parameters), f"    {command.__doc__}"]
    return "\n".join(lines) + "\n" + FLAGS.get_help()


def run():
    """Entry point of the `carobramp` binary."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
