"""Budget of retries of one service.

A task is sent again only when it certainly did not start and the retry budget of its
service has a token left.
"""

import dataclasses

# Tokens that refill with time: they let a service with few starts survive the loss of
# a few upstreams.
FLOOR_TOKENS = 20.0
FLOOR_TOKENS_PER_S = 1.0
MAX_TOKENS = 200.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket for retries: a percentage of starts plus a minimum refill.

    Examples
    ========

    >>> budget = RetryBudget(tokens=0.0)
    >>> for _ in range(10):
    ...     budget.add_start(percent=10)
    >>> budget.try_spend(now=0.0), budget.try_spend(now=0.0)
    (True, False)
    """

    tokens: float = FLOOR_TOKENS
    refilled_at: float = 0.0

    def add_start(self, percent):
        """Add `percent` hundredths of a token for one started task."""
        self.tokens = min(MAX_TOKENS, self.tokens + percent / 100)

    def try_spend(self, now) -> bool:
        """Take one token; return whether there was one."""
        if self.tokens < FLOOR_TOKENS:
            grown = max(0.0, now - self.refilled_at) * FLOOR_TOKENS_PER_S
            self.tokens = min(FLOOR_TOKENS, self.tokens + grown)
        self.refilled_at = now
        # Ten additions of 0.1 sum to slightly less than 1.
        if self.tokens < 1 - 1e-9:
            return False
        self.tokens -= 1
        return True
