"""Routes, services and request limits of the desired state, as used by entries."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A queue of jobs, its address and the service that runs the jobs.

    Parameters
    ==========

    path_prefix : prefix of the request paths; the rest of a path is the job's id
    priority, max_attempts, stretch, target_ms : see `Job`
    timeout_ms : time after which the caller no longer waits for the answer
    needs_advice : whether another service decides which upstreams may be used
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: float = 0.0
    timeout_ms: float = 0.0
    needs_advice: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Largest sizes of a caller's request, in bytes."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144


DEFAULT_LIMITS = RequestLimits()


class RouteTable:
    """Routes of one version of the desired state, looked up by host and path.

    Examples
    ========

    >>> route = Route("previews", "shop.example", "/previews/", "order-desk")
    >>> table = RouteTable(3, (route,))
    >>> table.find("shop.example", "/previews/5c0e").name
    'previews'
    >>> table.find("shop.example", "/files/5c0e") is None
    True
    """

    def __init__(self, version, routes, services=(), limits=DEFAULT_LIMITS):
        self.version = version
        self.services = frozenset(services)
        self.limits = limits
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.path_prefix)):
            self.routes_by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host, path) -> Route | None:
        """Return the route of a host with the longest prefix of `path`, or None."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
