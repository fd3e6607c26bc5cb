"""Command line of the dispatch benchmarks."""

import asyncio
import signal
import sys

from absl import app, flags

from carobramp_testing.bench.overhead import run_overhead
from carobramp_testing.bench.report import lines_of, missed, table, write_svg
from carobramp_testing.bench.run import run_scenario
from carobramp_testing.bench.scenarios import SCENARIOS, SITES, VARIANTS

POLICIES = (
    "earliest_finish",
    "least_outstanding",
    "two_choices",
    "static_share",
    "round_robin",
    "random",
)
COMPARED = ("steady-70", "steady-90")
ALL = "all"
OVERHEAD = "overhead"
VARIANT = "variants"
FLAGS = flags.FLAGS

flags.DEFINE_list("scenario", [ALL], "Scenarios, `overhead`, `variants` or `all`.")
flags.DEFINE_enum("site", "de-klep", sorted(SITES), "Deployment.")
flags.DEFINE_list("policy", ["earliest_finish"], "Policies, or `all`.")
flags.DEFINE_float("seconds", 10.0, "Length of the load of each run.", 1.0)
flags.DEFINE_integer("seed", 1, "Seed of the arrivals and run times.")


def chosen_runs():
    """Return the (scenario, policy) pairs to run."""
    names = list(SCENARIOS) if ALL in FLAGS.scenario else list(FLAGS.scenario)
    if VARIANT in names:
        names = list(VARIANTS)
    policies = POLICIES if ALL in FLAGS.policy else FLAGS.policy
    pairs = []
    for name in names:
        if name == OVERHEAD:
            continue
        compared = name in COMPARED and FLAGS.scenario == [ALL]
        pairs += [(name, policy) for policy in (POLICIES if compared else policies)]
    return pairs


async def run_all():
    """Run the chosen scenarios one after the other."""
    runs = []
    alone = {}
    for name, policy in chosen_runs():
        run = await run_scenario(
            (SCENARIOS | VARIANTS)[name],
            SITES[FLAGS.site],
            policy,
            FLAGS.seconds,
            FLAGS.seed,
        )
        if name == "interactive-alone":
            alone[policy] = run.values["p99_ms"]
        if name == "beside-batch" and policy in alone:
            run.values["p99_factor"] = run.values["p99_ms"] / alone[policy]
        print("\n".join(lines_of(run)), flush=True)
        runs.append(run)
    return runs


def main(argv):
    """Run the benchmarks; the status is 1 when a bound is missed."""
    # Ends the processes of the deployment also when the benchmark is terminated.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    runs = asyncio.run(run_all())
    lines = missed(runs)
    if {ALL, OVERHEAD} & set(FLAGS.scenario):
        overhead = asyncio.run(run_overhead(FLAGS.seed))
        print("\n".join(overhead))
        lines += [line for line in overhead if line.startswith("MISSED")]
    if runs:
        print(table(runs))
        write_svg(runs, f"reports/bench-{FLAGS.site}.svg")
    print("\n".join(lines) or "all bounds kept")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
