"""Services of a daemon that serves jobs from cells of leased upstreams."""
