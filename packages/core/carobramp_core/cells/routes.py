"""The desired state as an entry uses it: routes, services and request limits."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A queue of jobs and the service that runs them.

    Parameters
    ==========

    path_prefix : paths of the route; the rest of a path is the job's id
    timeout_ms : time after which the answer to a request is no longer waited for
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
    """Limits of requests from callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144


DEFAULT_LIMITS = RequestLimits()


class RouteTable:
    """Routes of one version of the desired state, found by host and path.

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
        self.by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.path_prefix)):
            self.by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host, path) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
