"""HTTP routes for operators: status of this VM and its planned stop."""

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
    gate : has the flags `draining` and `accepting`
    tickets, membership, dispatch : services that the status reports on
    drain : planned stop
    """

    def __init__(
        self,
        settings: Settings,
        incarnation,
        gate,
        tickets,
        membership,
        dispatch,
        drain,
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.gate = gate
        self.tickets = tickets
        self.membership = membership
        self.dispatch = dispatch
        self.drain = drain
        self.started = time.monotonic()

    def add_routes(self, router):
        """Add the routes."""
        router.add_get("/v1/status", self.show_status)
        router.add_post("/v1/drain", self.start_drain)

    async def show_status(self, request):
        """What this VM knows of itself and of the deployment."""
        return web.Response(body=encode(self.status()), content_type=JSON)

    async def start_drain(self, request):
        """Start the planned stop and answer at once."""
        self.drain.request("operator")
        body = {"draining": True, "jobs": self.job_count()}
        return web.Response(status=HTTP_ACCEPTED, body=encode(body), content_type=JSON)

    def status(self):
        """Return the status as a JSON value."""
        vm = self.settings.vm
        state = self.tickets.in_force
        return {
            "vm": vm.name,
            "region": vm.region,
            "availability_zone": vm.availability_zone,
            "incarnation": self.incarnation,
            "up_ms": round((time.monotonic() - self.started) * 1000),
            "ready": self.tickets.ready and not self.gate.draining,
            "reason": self.not_ready_reason(),
            "draining": self.gate.draining,
            "accepting": self.gate.accepting,
            "state_number": state.number,
            "state_age_ms": self.state_age_ms(),
            "jobs": self.job_count(),
            "peers": self.peers(),
            "services": [service_row(n, v) for n, v in sorted(state.services.items())],
            "upstreams": self.upstreams(),
        }

    def not_ready_reason(self):
        """Why the VM is not ready; empty when it is."""
        if self.gate.draining:
            return "draining"
        return "" if self.tickets.ready else self.tickets.not_ready_reason

    def state_age_ms(self):
        """Time since the state in force was last confirmed, or None."""
        age = getattr(self.tickets, "state_age_ms", None)
        return None if age is None else round(age())

    def job_count(self):
        """Jobs under way at this VM."""
        return len(self.dispatch.dispatcher.jobs)

    def peers(self):
        """Return a row for each other entry VM."""
        return [
            {"vm": peer.name, "availability_zone": peer.availability_zone}
            for peer in self.settings.peers
        ]

    def upstreams(self):
        """Return a row for each upstream, with this VM's view of it."""
        view = getattr(self.dispatch.dispatcher, "view", None)
        seen = {} if view is None else view(time.monotonic())
        rows = []
        for name, versioned in sorted(self.tickets.in_force.upstreams.items()):
            rows.append(upstream_row(name, versioned) | seen.get(name, {}))
        return rows


def service_row(name, versioned):
    """Return the status of a service."""
    classes = [item.name for item in versioned.state.classes]
    return {
        "name": name,
        "set_by": versioned.number,
        "policy": versioned.state.policy,
        "classes": classes,
    }


def upstream_row(name, versioned):
    """Return the status of an upstream as the tickets set it."""
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
