"""Checks of tickets before acceptance."""

import unittest

from carobramp_core.tickets.checks import BaseOutdated, InvalidTicket, validate_ticket
from carobramp_core.tickets.state import DeploymentState
from carobramp_schema.generated.ticket import (
    GuardSettings,
    PriorityClass,
    ServiceChange,
    ServiceState,
    TeamChange,
    TeamState,
    Ticket,
    UpstreamChange,
    UpstreamState,
)

SERVICE = ServiceState([PriorityClass("interactive", 0)])


def upstream(service="desk", host="127.0.0.1"):
    """Build the state of an upstream."""
    return UpstreamState(service, host, 9000, "tilburg", "rack", 8)


def base_state():
    """Build the state after a ticket with one service, upstream and team."""
    ticket = Ticket(
        1,
        "anna",
        services=[ServiceChange("desk", 0, SERVICE)],
        upstreams=[UpstreamChange("up", 0, upstream())],
        teams=[TeamChange("bakery", 0, TeamState(8))],
    )
    return DeploymentState().apply(ticket)


class CheckTests(unittest.TestCase):
    """Faulty tickets are refused whole, with the field at fault."""

    def refused(self, field, kind=InvalidTicket, **changes):
        """Check that a ticket with `changes` is refused for `field`."""
        fault = validate_ticket(Ticket(2, "anna", **changes), base_state())
        self.assertIsInstance(fault, kind)
        self.assertEqual(fault.fault.field, field)

    def test_sound_ticket(self):
        """Guards against refusing a ticket that keeps every rule."""
        change = UpstreamChange("up", 1, upstream(host="::1"))
        self.assertIsNone(
            validate_ticket(Ticket(2, "anna", upstreams=[change]), base_state())
        )

    def test_object_twice(self):
        """Guards against a ticket whose effect depends on the order of changes."""
        team = TeamChange("bakery", 1, TeamState(9))
        self.refused("$.teams[1].name", teams=[team, team])

    def test_based_on_older_ticket(self):
        """Guards against overwriting a change that the author has not seen."""
        team = TeamChange("bakery", 0, TeamState(9))
        self.refused("$.teams[0].based_on", BaseOutdated, teams=[team])

    def test_based_on_for_new_object(self):
        """Guards against a new object that claims to replace one."""
        team = TeamChange("club", 1, TeamState(9))
        self.refused("$.teams[0].based_on", BaseOutdated, teams=[team])

    def test_removal_of_nothing(self):
        """Guards against a removal that hides a misspelt name."""
        self.refused("$.teams[0].state", teams=[TeamChange("bkaery", 0, None)])

    def test_upstream_of_unknown_service(self):
        """Guards against upstreams that no job can reach."""
        change = UpstreamChange("new", 0, upstream(service="dsek"))
        self.refused("$.upstreams[0].state.service", upstreams=[change])

    def test_removed_service_with_upstreams(self):
        """Guards against upstreams that are left without their service."""
        self.refused("$.services[0].state", services=[ServiceChange("desk", 1, None)])

    def test_service_removed_with_its_upstreams(self):
        """Guards against refusing the removal of a whole service."""
        ticket = Ticket(
            2,
            "anna",
            services=[ServiceChange("desk", 1, None)],
            upstreams=[UpstreamChange("up", 1, None)],
        )
        self.assertIsNone(validate_ticket(ticket, base_state()))

    def test_host_name(self):
        """Guards against a host that would need name resolution."""
        change = UpstreamChange("up", 1, upstream(host="upstream.example"))
        self.refused("$.upstreams[0].state.host", upstreams=[change])

    def test_class_twice(self):
        """Guards against two classes with one name."""
        state = ServiceState([PriorityClass("batch", 0), PriorityClass("batch", 1)])
        change = ServiceChange("desk", 1, state)
        self.refused("$.services[0].state.classes", services=[change])

    def test_everything_reserved(self):
        """Guards against reservations that leave a class no slot."""
        classes = [PriorityClass(name, 0, reserved_percent=50) for name in "ab"]
        change = ServiceChange("desk", 1, ServiceState(classes))
        self.refused("$.services[0].state.classes", services=[change])

    def test_guard_open_times(self):
        """Guards against a longest open time below the first one."""
        guard = GuardSettings(open_min_ms=2000, open_max_ms=1000)
        change = ServiceChange("desk", 1, ServiceState(SERVICE.classes, guard=guard))
        self.refused("$.services[0].state.guard.open_max_ms", services=[change])

    def test_unprintable_name(self):
        """Guards against names that break log lines."""
        self.refused("$.teams[0].name", teams=[TeamChange("a\n", 0, TeamState(1))])

    def test_too_many_objects(self):
        """Guards against a state that no peer would take as a document."""
        state = base_state()
        teams = [TeamChange(f"team-{n}", 0, TeamState(1)) for n in range(1024)]
        fault = validate_ticket(Ticket(2, "anna", teams=teams), state)
        self.assertEqual(fault.fault.field, "$.teams")
