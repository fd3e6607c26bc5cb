"""Command line of `carobrampd`."""

import asyncio
import logging
import sys

from absl import app, flags

from carobramp_daemon.daemon import run_daemon
from carobramp_daemon.logs import log_to_stderr
from carobramp_daemon.settings import load_settings
from carobramp_schema import InvalidInput

FLAGS = flags.FLAGS
EXIT_SETTINGS = 2

flags.DEFINE_string("settings", None, "Settings file, JSON with comments.")
flags.DEFINE_bool("check", False, "Check the settings file and exit.")


def main(argv):
    """Run the daemon with the settings of `--settings`."""
    settings = load_settings(FLAGS.settings)
    if isinstance(settings, InvalidInput):
        print(f"carobrampd: {FLAGS.settings}: {settings}", file=sys.stderr)
        return EXIT_SETTINGS
    if FLAGS.check:
        return 0
    log_to_stderr()
    logging.getLogger("mode").setLevel(logging.WARNING)
    asyncio.run(run_daemon(settings))
    return 0


def run():
    """Entry point of the `carobrampd` binary."""
    flags.mark_flag_as_required("settings")
    app.run(main)


if __name__ == "__main__":
    run()
