"""Stand-in of the users' platform: its store and its leased upstreams.

Like the adapter in `carobramp_platform`, this package speaks the platform's words.
"""

from carobramp_testing.standins.leased.platform import LeasedPlatform
from carobramp_testing.standins.leased.store import StoreServer
from carobramp_testing.standins.leased.worker import Worker

__all__ = ["LeasedPlatform", "StoreServer", "Worker"]
