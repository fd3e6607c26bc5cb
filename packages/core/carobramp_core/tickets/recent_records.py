"""Newest accepted tickets, kept for peers and for repeated requests."""

import collections

from carobramp_schema import encode
from carobramp_schema.generated.ticket import TicketRecord

KEPT_BYTES = 4 << 20
"""Memory for kept tickets; a usual ticket has a few hundred bytes."""


class RecentRecords:
    """Newest accepted records, consecutive, bounded by count and bytes."""

    def __init__(self, most: int):
        self.most = most
        self.records: collections.deque[TicketRecord] = collections.deque()
        self.sizes: collections.deque[int] = collections.deque()
        self.size = 0

    def add(self, record):
        """Keep the next record and drop the oldest ones beyond the bounds."""
        self.records.append(record)
        self.sizes.append(len(encode(record)))
        self.size += self.sizes[-1]
        while len(self.records) > self.most or self.size > KEPT_BYTES:
            self.records.popleft()
            self.size -= self.sizes.popleft()

    def clear(self):
        """Drop all records, as those between two states are not known."""
        self.records.clear()
        self.sizes.clear()
        self.size = 0

    def get(self, number):
        """Return the record of one ticket, or None."""
        found = self.records_after(number - 1, 1)
        return found[0] if found else None

    def records_after(self, number, limit):
        """Return up to `limit` records directly after `number`, or none of them."""
        if not self.records:
            return []
        start = number + 1 - self.records[0].ticket.number
        if start < 0:
            return []
        stop = min(start + limit, len(self.records))
        return [self.records[index] for index in range(start, stop)]
