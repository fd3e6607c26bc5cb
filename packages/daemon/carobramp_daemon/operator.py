"""HTTP routes for operators: status of this VM and start of its drain."""

import dataclasses
import time

from aiohttp import web

from carobramp_schema import encode
from carobramp_schema.generated.settings import Settings

JSON = "application/json"
HTTP_ACCEPTED = 202


class OperatorApi:
    """Serves `/v1/status` and `/v1/drain`.

    Parameters
    ==========

    settings : settings of the daemon
    incarnation : incarnation of the process
    drain_state : flags `draining` and `accepting`
    tickets, membership, dispatch : services whose state is part of the status
    drain : `Drain` that the route starts
    """

    def __init__(
        self,
        settings: Settings,
        incarnation,
        drain_state,
        tickets,
        membership,
        dispatch,
        drain,
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.drain_state = drain_state
        self.tickets = tickets
        self.membership = membership
        self.dispatch = dispatch
        self.drain = drain
        self.started_at = time.monotonic()

    def add_routes(self, router):
        """Add the routes of this class to the HTTP server's router."""
        router.add_get("/v1/status", self.show_status)
        router.add_post("/v1/drain", self.start_drain)

    async def show_status(self, request):
        """Respond with the status of this VM and its view of the deployment."""
        return web.Response(body=encode(self.status()), content_type=JSON)

    async def start_drain(self, request):
        """Start the drain and respond without waiting for its end."""
        self.drain.request("operator")
        body = {"draining": True, "jobs": self.job_count()}
        return web.Response(status=HTTP_ACCEPTED, body=encode(body), content_type=JSON)

    def status(self):
        """Return the status as a JSON value."""
        vm = self.settings.vm
        now = time.monotonic()
        body = {
            "vm": vm.name,
            "region": vm.region,
            "availability_zone": vm.availability_zone,
            "incarnation": self.incarnation,
            "up_ms": round((now - self.started_at) * 1000),
            "ready": self.tickets.ready and not self.drain_state.draining,
            "reason": self.not_ready_reason(),
            "draining": self.drain_state.draining,
            "accepting": self.drain_state.accepting,
            "jobs": self.job_count(),
        }
        lists = {
            "evacuated_zones": self.evacuated_zones(),
            "peers": self.peers(now),
            "services": self.services(),
            "upstreams": self.upstreams(now),
        }
        return body | self.tickets.status() | lists

    def not_ready_reason(self):
        """Return why the VM is not ready, or an empty string if it is."""
        if self.drain_state.draining:
            return "draining"
        return "" if self.tickets.ready else self.tickets.not_ready_reason

    def job_count(self):
        """Return the number of jobs in this VM's dispatcher."""
        return len(self.dispatch.dispatcher.jobs)

    def peers(self, now):
        """Return a row for each known entry VM other than this one."""
        live = {member.name for member in self.membership.live_peers(now)}
        members = self.membership.view.members.values()
        rows = [peer_row(member, member.name in live) for member in members]
        return sorted(rows, key=lambda row: row["vm"])

    def evacuated_zones(self):
        """Return a row for each evacuated zone, with the ticket that set its state."""
        zones = self.tickets.current_state.evacuated_zones()
        return [{"name": name, "set_by": number} for name, number in zones.items()]

    def services(self):
        """Return a row for each service, with its waiting tasks at this VM."""
        waiting = {
            status.name: dict(status.waiting)
            for status in self.dispatch.dispatcher.service_status()
        }
        objects = sorted(self.tickets.current_state.services.items())
        return [
            service_row(name, versioned) | {"waiting": waiting.get(name, {})}
            for name, versioned in objects
        ]

    def upstreams(self, now):
        """Return a row for each upstream, with its load as this VM knows it."""
        status_by_name = {
            status.name: dataclasses.asdict(status)
            for status in self.dispatch.dispatcher.upstream_status(now)
        }
        objects = sorted(self.tickets.current_state.upstreams.items())
        return [
            upstream_row(name, versioned) | status_by_name.get(name, {})
            for name, versioned in objects
        ]


def peer_row(member, live):
    """Return the status of another entry VM."""
    return {
        "vm": member.name,
        "availability_zone": member.zone,
        "live": live,
        "leaving": member.leaving,
        "state_number": member.status.state_number if member.status else None,
    }


def service_row(name, versioned):
    """Return the fields of a service; `set_by` is the number of its last ticket."""
    classes = [item.name for item in versioned.state.classes]
    return {
        "name": name,
        "set_by": versioned.number,
        "policy": versioned.state.policy,
        "classes": classes,
    }


def upstream_row(name, versioned):
    """Return the fields of an upstream as the tickets set them."""
    state = versioned.state
    return {
        "name": name,
        "set_by": versioned.number,
        "service": state.service,
        "availability_zone": state.availability_zone,
        "rack": state.rack,
        "host": state.host,
        "port": state.port,
        "slots": state.slots,
        "leaving": state.leaving,
    }
