"""Command line of `carobrampd`."""

import asyncio
import sys

from absl import flags

from carobramp_daemon.daemon import run_daemon
from carobramp_daemon.logs import log_to_stderr
from carobramp_schema.settings import load_settings

EXIT_FAILED = 1
EXIT_INVALID = 2
USAGE = "usage: carobrampd --settings=FILE [--check]"

# Not the global `flags.FLAGS`, whose names could collide with other commands.
FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "settings", None, "Settings file, JSON with comments.", flag_values=FLAGS
)
flags.DEFINE_bool(
    "check", False, "Check the settings file and exit.", flag_values=FLAGS
)
flags.DEFINE_bool("help", False, "Print this help.", flag_values=FLAGS)


def main(argv):
    """Run the daemon with the settings file of `--settings`; return the exit status."""
    try:
        rest = FLAGS(argv)[1:]
    except flags.Error as error:
        return fail(str(error))
    if FLAGS.help:
        print(f"{USAGE}\n{FLAGS.get_help()}")
        return 0
    if rest or not FLAGS.settings:
        return fail(USAGE)
    settings = load_settings(FLAGS.settings)
    if isinstance(settings, list):
        for fault in settings:
            fail(f"{FLAGS.settings}: {fault}")
        return EXIT_INVALID
    if FLAGS.check:
        return 0
    log_to_stderr(settings.vm.name)
    failure = asyncio.run(run_daemon(settings))
    return fail(failure, EXIT_FAILED) if failure else 0


def fail(detail, status=EXIT_INVALID):
    """Print an error as one line to standard error and return the exit status."""
    print("carobrampd:", " ".join(detail.split()), file=sys.stderr)
    return status


def run():
    """Entry point of the `carobrampd` binary."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
