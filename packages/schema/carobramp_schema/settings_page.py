"""Renders docs/settings.md from the schema of the settings."""

import json
import pathlib

PACKAGE = pathlib.Path(__file__).parent
DEFINITION = PACKAGE / "definitions" / "settings.schema.json"
PAGE = PACKAGE.parents[2] / "docs" / "settings.md"
UNITS = {"_ms": "ms", "_bytes": "bytes", "_percent": "%"}
HEADING = (
    "| Field | Type | Unit | Default | Bounds | Meaning |\n|---|---|---|---|---|---|"
)
INTRODUCTION = """# Settings

Generated from `settings.schema.json` by `make generate`; do not edit.

`carobrampd --settings=FILE` reads one file in JSON with comments when it starts.
`carobrampd --settings=FILE --check` and `carobramp settings check FILE` only check
it; both print one line for each fault and end with status 2 when there is one.
Unknown fields, fields given twice and values out of bounds are faults. Fields
without a default are required. Checks that span fields: `vm.host`, `peers[].host`
and the host of `platform.url` are IP numbers; peers have different names; the ports
of the VM differ; `live_ms` and `far_live_ms` are at least 1.5 times the heartbeat
interval; `far_live_ms` is not below `live_ms`, nor `forget_ms` below `far_live_ms`;
`claim_kept_ms` is at least twice the time for which an id can start work;
`max_peer_message_bytes` is at least `max_body_bytes` and 4096;
`far_network_ms` is not below `network_ms`, `stale_after_ms` not below
`head_poll_ms`, nor `drain_max_ms` below `drain_notice_ms`. `examples/` holds the
settings of two deployments.
"""


def render_page(definition) -> str:
    """Return the page for a settings schema."""
    sections = definition["$defs"]["Settings"]["properties"]
    parts = [INTRODUCTION]
    for name, section in sections.items():
        target = section.get("$ref") or section["items"]["$ref"]
        schema = definition["$defs"][target.rsplit("/", 1)[1]]
        parts.append(_render_section(name, section, schema))
    return "\n".join(parts)


def _render_section(name, section, schema):
    title = f"{name}[]" if section.get("type") == "array" else name
    lines = [f"## {title}", "", schema["description"], "", HEADING]
    required = schema.get("required", [])
    for field, item in schema["properties"].items():
        cells = (
            f"`{field}`",
            item["type"],
            unit_of(field),
            "required" if field in required else f"`{json.dumps(item['default'])}`",
            bounds_of(item),
            item["description"],
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def unit_of(field):
    """Return the unit that the name of a field states, or nothing.

    Examples
    ========

    >>> unit_of("timeout_ms"), unit_of("seed")
    ('ms', '')
    """
    return next((u for suffix, u in UNITS.items() if field.endswith(suffix)), "")


def bounds_of(item):
    """Return the bounds of a field as text.

    Examples
    ========

    >>> bounds_of({"type": "integer", "minimum": 1, "maximum": 9})
    '1 to 9'
    >>> bounds_of({"type": "integer", "minimum": 0})
    'from 0'
    """
    if item["type"] == "string":
        return _string_bounds(item)
    least, most = item.get("minimum"), item.get("maximum")
    if most is None:
        return f"from {least}"
    return f"{least} to {most}"


def _string_bounds(item):
    if "pattern" in item:
        return f"`{item['pattern']}`"
    return f"{item.get('minLength', 0)} to {item['maxLength']} characters"


def current_page() -> str:
    """Return the page for the committed schema."""
    return render_page(json.loads(DEFINITION.read_text()))


def page_is_stale() -> bool:
    """Whether the committed page differs from the schema."""
    return not PAGE.exists() or PAGE.read_text() != current_page()


def write_page():
    """Write the page."""
    PAGE.write_text(current_page())
