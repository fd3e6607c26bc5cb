"""Builders of tickets."""

from carobramp_schema.generated.ticket import (
    PriorityClass,
    ServiceChange,
    ServiceState,
    TeamChange,
    TeamState,
    Ticket,
    UpstreamChange,
    UpstreamState,
    ZoneChange,
    ZoneState,
)

QUOTA_SLOTS = 1000
TEAMS = ("bakery", "club", "festival")


def service_state(**fields):
    """Build the state of a service with an interactive and a batch class."""
    classes = [
        PriorityClass("interactive", max_wait_ms=0, reserved_percent=10),
        PriorityClass("batch", max_wait_ms=30000),
    ]
    return ServiceState(**({"classes": classes} | fields))


def first_ticket(upstreams, slots=8, service="order-desk", **service_fields):
    """Build ticket 1: one service, its upstreams and three teams.

    `upstreams` is a list of (zone, host, port).
    """
    changes = [
        UpstreamChange(
            f"up-{index:02d}",
            0,
            UpstreamState(service, host, port, zone, f"rack-{zone}", slots),
        )
        for index, (zone, host, port) in enumerate(upstreams)
    ]
    return Ticket(
        number=1,
        author="operator",
        services=[ServiceChange(service, 0, service_state(**service_fields))],
        upstreams=changes,
        teams=[TeamChange(name, 0, TeamState(QUOTA_SLOTS)) for name in TEAMS],
    )


def evacuation_ticket(number, begun=(), ended=(), set_by=None):
    """Build a ticket that evacuates zones and ends the evacuation of others.

    `set_by` gives the number of the ticket that last set each zone, if one did.
    """
    set_by = set_by or {}
    evacuated = ZoneState(evacuated=True)
    changes = [ZoneChange(zone, set_by.get(zone, 0), evacuated) for zone in begun]
    changes += [ZoneChange(zone, set_by[zone], None) for zone in ended]
    return Ticket(number, "operator", availability_zones=changes)
