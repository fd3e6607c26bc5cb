"""Model specifications, checked exhaustively within their bounds.

Run as ``python -m carobramp_testing.models``. Each module in `MODULES` has a
function ``main()`` that checks and prints its specifications and returns the exit
status.
"""

MODULES = (
    "carobramp_testing.models.submission",
    "carobramp_testing.models.tickets",
    "carobramp_testing.models.cells",
)
