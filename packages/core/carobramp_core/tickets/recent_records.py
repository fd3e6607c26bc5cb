"""Buffer of the newest accepted tickets, for peers and repeated requests."""

import collections

from carobramp_schema import encode
from carobramp_schema.generated.ticket import TicketRecord

MAX_TOTAL_BYTES = 4 << 20
"""Maximum encoded size of all kept tickets; one usually has a few hundred bytes."""


class RecentRecords:
    """Consecutive newest ticket records, bounded by count and encoded size.

    Parameters
    ==========

    max_records : maximum number of records
    """

    def __init__(self, max_records: int):
        self.max_records = max_records
        self.records: collections.deque[TicketRecord] = collections.deque()
        self.record_sizes: collections.deque[int] = collections.deque()
        self.total_bytes = 0

    def add(self, record):
        """Append the next record and drop the oldest ones beyond the bounds."""
        self.records.append(record)
        self.record_sizes.append(len(encode(record)))
        self.total_bytes += self.record_sizes[-1]
        while (
            len(self.records) > self.max_records or self.total_bytes > MAX_TOTAL_BYTES
        ):
            self.records.popleft()
            self.total_bytes -= self.record_sizes.popleft()

    def clear(self):
        """Drop all records; called when a whole state leaves a gap in them."""
        self.records.clear()
        self.record_sizes.clear()
        self.total_bytes = 0

    def get(self, number):
        """Return the record of one ticket, or None."""
        records = self.records_after(number - 1, 1)
        return records[0] if records else None

    def records_after(self, number, limit):
        """Return up to `limit` records after `number`, or [] if the first is gone."""
        if not self.records:
            return []
        start = number + 1 - self.records[0].ticket.number
        if start < 0:
            return []
        stop = min(start + limit, len(self.records))
        return [self.records[index] for index in range(start, stop)]
