"""Load tool with open arrivals."""

from carobramp_testing.load.client import run_load
from carobramp_testing.load.ideal import Pool, ideal_ms
from carobramp_testing.load.plan import Plan, Stream, arrivals
from carobramp_testing.load.result import LoadResult

__all__ = [
    "LoadResult",
    "Plan",
    "Pool",
    "Stream",
    "arrivals",
    "ideal_ms",
    "run_load",
]
