"""Retry rule and budget.

A task is sent again only after it certainly did not start, and only while the
budget of its service allows it.
"""

import dataclasses

# Lets a service with few starts survive the loss of a few upstreams.
FLOOR_TOKENS = 20.0
FLOOR_TOKENS_PER_S = 1.0
MAX_TOKENS = 200.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Tokens for retries: a percentage of starts plus a small floor.

    Examples
    ========

    >>> budget = RetryBudget(tokens=0.0)
    >>> for _ in range(10):
    ...     budget.started(percent=10)
    >>> budget.spend(now=0.0), budget.spend(now=0.0)
    (True, False)
    """

    tokens: float = FLOOR_TOKENS
    filled_at: float = 0.0

    def started(self, percent):
        """Add the share of one start."""
        self.tokens = min(MAX_TOKENS, self.tokens + percent / 100)

    def spend(self, now) -> bool:
        """Take one token, if there is one."""
        if self.tokens < FLOOR_TOKENS:
            grown = max(0.0, now - self.filled_at) * FLOOR_TOKENS_PER_S
            self.tokens = min(FLOOR_TOKENS, self.tokens + grown)
        self.filled_at = now
        # Ten additions of 0.1 sum to slightly less than 1.
        if self.tokens < 1 - 1e-9:
            return False
        self.tokens -= 1
        return True
