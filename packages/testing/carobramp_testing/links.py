"""Links of a deployment that tests can cut."""

from carobramp_testing.relay import Relay


class Links:
    """Relays between zones, to the platform and to upstreams.

    Explanation
    ===========

    Entry VMs of a zone reach each VM of another zone through a relay of their own
    zone, named in their settings, so that a cut concerns exactly one pair of zones.
    Each zone reaches the platform through its own relay. A ticket gives one address
    for an upstream, so the relays of a zone's upstreams serve all entry VMs: cutting
    them cuts the upstreams off from every zone.

    Parameters
    ==========

    zones : names of the availability zones
    """

    def __init__(self, zones):
        self.zones = tuple(zones)
        self.peers: dict[tuple[str, str], Relay] = {}
        self.vm_zones: dict[str, str] = {}
        self.platform: dict[str, Relay] = {}
        self.upstreams: dict[str, list[Relay]] = {}

    async def start(self, vm_zones, platform):
        """Start the relays to entry VMs and to the platform.

        Parameters
        ==========

        vm_zones : zone of each entry VM by name
        platform : (host, port) of the platform
        """
        self.vm_zones = dict(vm_zones)
        for zone in self.zones:
            self.platform[zone] = await Relay(*platform).start()
            for vm, vm_zone in self.vm_zones.items():
                if vm_zone != zone:
                    self.peers[zone, vm] = await Relay().start()

    async def add_upstreams(self, zone, addresses):
        """Start a relay for each upstream of a zone."""
        self.upstreams[zone] = [await Relay(*pair).start() for pair in addresses]

    async def stop(self):
        """Stop all relays."""
        for relay in self.all():
            await relay.stop()

    def all(self):
        """Return all relays."""
        groups = [self.peers.values(), self.platform.values(), *self.upstreams.values()]
        return [relay for group in groups for relay in group]

    def set_peer_port(self, vm, host, port):
        """Set the address that the relays to an entry VM forward to."""
        for (_, name), relay in self.peers.items():
            if name == vm:
                relay.target = (host, port)

    def peer_settings(self, zone):
        """Return the peer addresses in the settings of a zone's entry VMs."""
        return [
            {
                "name": vm,
                "host": relay.address[0],
                "peer_port": relay.address[1],
                "availability_zone": self.vm_zones[vm],
            }
            for (asking, vm), relay in self.peers.items()
            if asking == zone
        ]

    def between(self, zone, other):
        """Return the relays between the entry VMs of two zones, both ways."""
        pairs = {(zone, other), (other, zone)}
        return [
            relay
            for (asking, vm), relay in self.peers.items()
            if (asking, self.vm_zones[vm]) in pairs
        ]
