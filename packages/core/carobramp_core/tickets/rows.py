"""Keys and values of the platform's rows for tickets, head and state."""

from carobramp_core.platform import Condition, Row, Transaction
from carobramp_schema import InvalidInput, decode
from carobramp_schema.generated.ticket import HeadRow, TicketRecord

HEAD_KEY = "head"
TICKET_PREFIX = "ticket/"
SNAPSHOT_KEY = "state/newest"
NUMBER_DIGITS = 12
MAX_TICKET_NUMBER = 10**NUMBER_DIGITS - 1


def ticket_key(number: int) -> str:
    """Return the key of a ticket row; keys sort by number.

    Examples
    ========

    >>> ticket_key(7)
    'ticket/000000000007'
    """
    return f"{TICKET_PREFIX}{number:0{NUMBER_DIGITS}d}"


def consistent_read(number: int) -> Transaction:
    """Return a transaction that only reads the head row and ticket `number`.

    Explanation
    ===========

    Reads of the table may be stale, but a transaction checks its conditions against
    the current rows. This one writes nothing: it commits if both rows are absent;
    otherwise its conflict contains the rows that exist.
    """
    keys = (HEAD_KEY, ticket_key(number))
    return Transaction(tuple(Condition(key, 0) for key in keys), ())


def find_row(rows: tuple[Row, ...], key: str) -> Row | None:
    """Return the row with `key`, or None."""
    return next((row for row in rows if row.key == key), None)


def read_head(rows: tuple[Row, ...]) -> HeadRow | InvalidInput:
    """Return the head row in `rows`, with number 0 if it is absent."""
    row = find_row(rows, HEAD_KEY)
    return HeadRow(0, "") if row is None else decode(row.value, HeadRow)


def read_record(rows: tuple[Row, ...], number: int) -> TicketRecord | None:
    """Return the record of ticket `number` in `rows`, None if absent or invalid."""
    row = find_row(rows, ticket_key(number))
    if row is None:
        return None
    record = decode(row.value, TicketRecord)
    if isinstance(record, InvalidInput) or record.ticket.number != number:
        return None
    return record


__all__ = [
    "HEAD_KEY",
    "MAX_TICKET_NUMBER",
    "SNAPSHOT_KEY",
    "TICKET_PREFIX",
    "consistent_read",
    "find_row",
    "read_head",
    "read_record",
    "ticket_key",
]
