"""Tests of ticket validation."""

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
    ZoneChange,
    ZoneState,
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


class ValidationTests(unittest.TestCase):
    """Invalid tickets are rejected as a whole, with the field at fault."""

    def assert_invalid(self, field, fault_type=InvalidTicket, **changes):
        """Check that a ticket with `changes` has a fault in `field`."""
        fault = validate_ticket(Ticket(2, "anna", **changes), base_state())
        self.assertIsInstance(fault, fault_type)
        self.assertEqual(fault.fault.field, field)

    def test_valid_ticket(self):
        """Guards against rejecting a valid ticket."""
        change = UpstreamChange("up", 1, upstream(host="::1"))
        self.assertIsNone(
            validate_ticket(Ticket(2, "anna", upstreams=[change]), base_state())
        )

    def test_object_twice(self):
        """Guards against a ticket whose effect depends on the order of changes."""
        team = TeamChange("bakery", 1, TeamState(9))
        self.assert_invalid("$.teams[1].name", teams=[team, team])

    def test_based_on_older_ticket(self):
        """Guards against overwriting a change that the author did not know of."""
        team = TeamChange("bakery", 0, TeamState(9))
        self.assert_invalid("$.teams[0].based_on", BaseOutdated, teams=[team])

    def test_based_on_for_new_object(self):
        """Guards against a new object that is based on another ticket."""
        team = TeamChange("club", 1, TeamState(9))
        self.assert_invalid("$.teams[0].based_on", BaseOutdated, teams=[team])

    def test_removal_of_unknown_object(self):
        """Guards against a misspelt name in a removal that goes unnoticed."""
        self.assert_invalid("$.teams[0].state", teams=[TeamChange("bkaery", 0, None)])

    def test_upstream_of_unknown_service(self):
        """Guards against upstreams that no job can reach."""
        change = UpstreamChange("new", 0, upstream(service="dsek"))
        self.assert_invalid("$.upstreams[0].state.service", upstreams=[change])

    def test_removed_service_with_upstreams(self):
        """Guards against upstreams whose service is removed."""
        self.assert_invalid(
            "$.services[0].state", services=[ServiceChange("desk", 1, None)]
        )

    def test_service_removed_with_its_upstreams(self):
        """Guards against rejecting the removal of a service with its upstreams."""
        ticket = Ticket(
            2,
            "anna",
            services=[ServiceChange("desk", 1, None)],
            upstreams=[UpstreamChange("up", 1, None)],
        )
        self.assertIsNone(validate_ticket(ticket, base_state()))

    def test_host_name(self):
        """Guards against a host that needs name resolution."""
        change = UpstreamChange("up", 1, upstream(host="upstream.example"))
        self.assert_invalid("$.upstreams[0].state.host", upstreams=[change])

    def test_class_twice(self):
        """Guards against two classes with one name."""
        state = ServiceState([PriorityClass("batch", 0), PriorityClass("batch", 1)])
        change = ServiceChange("desk", 1, state)
        self.assert_invalid("$.services[0].state.classes", services=[change])

    def test_too_much_reserved(self):
        """Guards against reservations that leave a class without slots."""
        classes = [PriorityClass(name, 0, reserved_percent=50) for name in "ab"]
        change = ServiceChange("desk", 1, ServiceState(classes))
        self.assert_invalid("$.services[0].state.classes", services=[change])

    def test_guard_open_times(self):
        """Guards against a maximum open time below the minimum."""
        guard = GuardSettings(open_min_ms=2000, open_max_ms=1000)
        change = ServiceChange("desk", 1, ServiceState(SERVICE.classes, guard=guard))
        self.assert_invalid("$.services[0].state.guard.open_max_ms", services=[change])

    def test_evacuation_of_unknown_zone(self):
        """Guards against an evacuation that a misspelt name leaves without effect."""
        change = ZoneChange("tilbrug", 0, ZoneState(evacuated=True))
        self.assert_invalid("$.availability_zones[0].name", availability_zones=[change])
        fault = validate_ticket(
            Ticket(2, "anna", availability_zones=[change]), base_state()
        )
        expected = "an availability zone with upstreams (tilburg)"
        self.assertEqual(fault.fault.expected, expected)
        self.assertEqual(fault.fault.seen, "tilbrug")

    def test_evacuation_based_on_older_ticket(self):
        """Guards against ending an evacuation that another operator requested."""
        first = Ticket(
            2, "anna", availability_zones=[ZoneChange("tilburg", 0, ZoneState(True))]
        )
        state = base_state().apply(first)
        outdated = Ticket(3, "ben", availability_zones=[ZoneChange("tilburg", 0, None)])
        fault = validate_ticket(outdated, state)
        self.assertIsInstance(fault, BaseOutdated)
        self.assertEqual(fault.fault.field, "$.availability_zones[0].based_on")

    def test_end_of_evacuation_without_upstreams(self):
        """Guards against an evacuation that can not be ended in an empty zone."""
        first = Ticket(
            2, "anna", availability_zones=[ZoneChange("tilburg", 0, ZoneState(True))]
        )
        state = base_state().apply(first)
        state = state.apply(
            Ticket(3, "anna", upstreams=[UpstreamChange("up", 1, None)])
        )
        for new_state in (None, ZoneState(evacuated=False)):
            change = ZoneChange("tilburg", 2, new_state)
            self.assertIsNone(
                validate_ticket(Ticket(4, "a", availability_zones=[change]), state)
            )

    def test_unprintable_name(self):
        """Guards against names that break log lines."""
        self.assert_invalid(
            "$.teams[0].name", teams=[TeamChange("a\n", 0, TeamState(1))]
        )

    def test_too_many_objects(self):
        """Guards against a state whose document no peer accepts."""
        state = base_state()
        teams = [TeamChange(f"team-{n}", 0, TeamState(1)) for n in range(1024)]
        fault = validate_ticket(Ticket(2, "anna", teams=teams), state)
        self.assertEqual(fault.fault.field, "$.teams")
