"""In-memory table, object store, membership list and leases."""

from carobramp_core.platform import (
    Committed,
    Conflict,
    LeaseHeld,
    Row,
    Transaction,
    VmEntry,
)


class Store:
    """State of the stand-in platform."""

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.versions: dict[str, int] = {}
        self.objects: dict[str, bytes] = {}
        self.vms: dict[str, VmEntry] = {}
        self.leases: dict[str, tuple[str, float]] = {}

    def transact(self, transaction: Transaction):
        """Apply the writes together if every condition holds."""
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                return Conflict(self.read(c.key for c in transaction.conditions))
        for write in transaction.writes:
            self.write(write.key, write.value)
        return Committed()

    def write(self, key, value):
        """Write or delete one row; versions of a key never repeat."""
        version = self.versions.get(key, 0) + 1
        self.versions[key] = version
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = Row(key, value, version)

    def read(self, keys):
        """Return the existing rows among `keys`."""
        return tuple(self.rows[key] for key in keys if key in self.rows)

    def scan(self, prefix, after, limit):
        """Return up to `limit` rows in key order above `after`."""
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return tuple(self.rows[key] for key in keys[:limit])

    def acquire(self, name, holder, seconds, now):
        """Take, renew or report a lease."""
        present, until = self.leases.get(name, (holder, now))
        if present != holder and until > now:
            return LeaseHeld(present, until - now)
        self.leases[name] = (holder, now + seconds)
        return LeaseHeld(holder, seconds)

    def release(self, name, holder):
        """Drop a lease that `holder` has."""
        if self.leases.get(name, ("", 0))[0] == holder:
            del self.leases[name]
