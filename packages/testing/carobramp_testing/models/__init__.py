"""Model specifications, checked exhaustively within their bounds.

Run as ``python -m carobramp_testing.models``. Each module in `MODULES` has a
function ``specifications()`` that returns a list of `Specification`.
"""

MODULES = (
    "carobramp_testing.models.issued",
    "carobramp_testing.models.claimed",
)
