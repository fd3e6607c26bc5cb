"""Builders of settings."""

from carobramp_schema import convert
from carobramp_schema.generated.settings import Settings


def vm_settings(name, platform_url, zone="tilburg", **parts):
    """Build daemon settings for loopback with system-chosen ports.

    `parts` gives other sections as dictionaries, for instance
    ``drain={"drain_notice_ms": 0}``.
    """
    vm = {"name": name, "region": "nl-south", "availability_zone": zone}
    vm |= {"caller_port": 0, "peer_port": 0} | parts.pop("vm", {})
    parts.setdefault("drain", {"drain_notice_ms": 0})
    sections = {"vm": vm, "platform": {"url": platform_url} | parts.pop("platform", {})}
    settings = convert(sections | parts, Settings)
    if not isinstance(settings, Settings):
        raise ValueError(str(settings))
    return settings
