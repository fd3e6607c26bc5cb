"""Checks of the daemon's settings that span fields."""

import ipaddress
import urllib.parse

from carobramp_schema.decode import InvalidInput
from carobramp_schema.files import load_file, parse_document
from carobramp_schema.generated.settings import Settings

# A heartbeat that is late by half its interval must not end liveness.
LIVE_PER_HEARTBEAT = 1.5
# Room for the fields of a forwarded job beside its body.
FORWARD_HEAD_BYTES = 4096


def load_settings(path: str) -> Settings | list[InvalidInput]:
    """Read the settings file at `path`; return the settings or every fault."""
    settings = load_file(path, Settings)
    return settings if isinstance(settings, list) else checked(settings)


def parse_settings(data: bytes) -> Settings | list[InvalidInput]:
    """Check settings given as JSON with comments."""
    settings = parse_document(data, Settings)
    return settings if isinstance(settings, list) else checked(settings)


def checked(settings: Settings) -> Settings | list[InvalidInput]:
    """Return settings that pass the checks that span fields, or every fault.

    Examples
    ========

    >>> document = b'''{"vm": {"name": "a", "region": "r",
    ...     "availability_zone": "z", "host": "localhost"},
    ...     "platform": {"url": "http://192.0.2.1:80"}}'''
    >>> for fault in parse_settings(document):
    ...     print(fault)
    $.vm.host: expected an IP number, saw "localhost"
    """
    faults = (
        _address_faults(settings)
        + _peer_faults(settings)
        + _url_faults(settings)
        + _order_faults(settings)
    )
    return faults or settings


def _address_faults(settings):
    hosts = {"$.vm.host": settings.vm.host}
    for index, peer in enumerate(settings.peers):
        hosts[f"$.peers[{index}].host"] = peer.host
    return [
        InvalidInput(field, "an IP number", f'"{host}"')
        for field, host in hosts.items()
        if not is_ip_number(host)
    ]


def is_ip_number(host):
    """Whether `host` is the number of one interface, as other VMs can reach it."""
    try:
        return not ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False


def _peer_faults(settings):
    faults = []
    names = {settings.vm.name}
    for index, peer in enumerate(settings.peers):
        if peer.name in names:
            field = f"$.peers[{index}].name"
            expected = "a name that no other entry and not this VM has"
            faults.append(InvalidInput(field, expected, f'"{peer.name}"'))
        names.add(peer.name)
    vm = settings.vm
    if vm.caller_port and vm.caller_port == vm.peer_port:
        expected = "another port than caller_port"
        faults.append(InvalidInput("$.vm.peer_port", expected, str(vm.peer_port)))
    return faults


def _url_faults(settings):
    url = settings.platform.url
    try:
        parts = urllib.parse.urlsplit(url)
        usable = parts.scheme == "http" and is_ip_number(parts.hostname or "")
        usable = usable and parts.port != 0 and not parts.query and not parts.fragment
    except ValueError:
        usable = False
    if usable:
        return []
    expected = "a URL such as http://192.0.2.1:8080"
    return [InvalidInput("$.platform.url", expected, f'"{url}"')]


def _order_faults(settings):
    members = settings.membership
    submission = settings.submission
    dispatch = settings.dispatch
    limits = settings.limits
    least = [
        (
            "$.limits.max_peer_message_bytes",
            limits.max_peer_message_bytes,
            limits.max_body_bytes + FORWARD_HEAD_BYTES,
            "max_body_bytes and 4096, for forwarded jobs",
        ),
        (
            "$.membership.live_ms",
            members.live_ms,
            LIVE_PER_HEARTBEAT * members.heartbeat_ms,
            "1.5 times heartbeat_ms",
        ),
        (
            "$.membership.far_live_ms",
            members.far_live_ms,
            LIVE_PER_HEARTBEAT * members.far_heartbeat_ms,
            "1.5 times far_heartbeat_ms",
        ),
        (
            "$.membership.far_live_ms",
            members.far_live_ms,
            members.live_ms,
            "live_ms",
        ),
        (
            "$.membership.forget_ms",
            members.forget_ms,
            members.far_live_ms,
            "far_live_ms",
        ),
        (
            "$.submission.claim_kept_ms",
            submission.claim_kept_ms,
            2 * (submission.claimed_valid_ms + submission.claimed_ahead_ms),
            "twice claimed_valid_ms plus claimed_ahead_ms",
        ),
        (
            "$.dispatch.far_network_ms",
            dispatch.far_network_ms,
            dispatch.network_ms,
            "network_ms",
        ),
        (
            "$.drain.drain_max_ms",
            settings.drain.drain_max_ms,
            settings.drain.drain_notice_ms,
            "drain_notice_ms",
        ),
        (
            "$.tickets.stale_after_ms",
            settings.tickets.stale_after_ms,
            settings.tickets.head_poll_ms,
            "head_poll_ms",
        ),
    ]
    return [
        InvalidInput(field, f"at least {bound} ({name})", str(value))
        for field, value, bound, name in least
        if value < bound
    ]
