"""Seeded run that mixes all kinds of failures under load.

Run as ``python -m carobramp_testing.chaos --seconds 180 --seed 1``. The exit status
is 1 when an invariant was violated.
"""

from carobramp_testing.chaos.run import Report, run_chaos
from carobramp_testing.chaos.schedule import Fault, Topology, schedule

__all__ = ["Fault", "Report", "Topology", "run_chaos", "schedule"]
