"""Command line of the chaos run."""

import asyncio

from absl import app, flags

from carobramp_testing.chaos import run_chaos

FLAGS = flags.FLAGS

flags.DEFINE_float("seconds", 180.0, "Length of the load and the faults.", 1.0)
flags.DEFINE_integer("seed", 1, "Seed of the schedule and of the callers' choices.")
flags.DEFINE_string("logs", "", "Folder that keeps the logs; it must exist.")


def main(argv):
    """Run chaos and print the report."""
    report = asyncio.run(run_chaos(FLAGS.seed, FLAGS.seconds, FLAGS.logs))
    print("\n".join(report.lines()))
    return 1 if report.violations else 0


if __name__ == "__main__":
    app.run(main)
