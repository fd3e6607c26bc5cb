"""Services of a daemon that runs jobs in cells of leased upstreams.

A cell is the set of upstreams of one availability zone. At any time one daemon owns a
cell: it alone renews the leases of these upstreams and starts tasks on them. Every
daemon has an entry, which receives jobs from callers and offers their tasks to the
owners. An owner names another daemon as its deputy, which may take over the cell while
the platform's store is unreachable.
"""
