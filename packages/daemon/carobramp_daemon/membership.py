"""Service that knows the other entry VMs."""

from mode import Service

from carobramp_schema.generated.settings import Settings


class MembershipService(Service):
    """Addresses and liveness of the other entry VMs."""

    def __init__(self, settings: Settings, platform, peers, metrics, log):
        super().__init__()
        self.settings = settings
        self.platform = platform
        self.peers = peers
        self.metrics = metrics
        self.log_line = log

    def address_of(self, vm):
        """Return the (host, port) for calls to a VM, or None when unknown."""
        for peer in self.settings.peers:
            if peer.name == vm:
                return peer.host, peer.peer_port
        return None
