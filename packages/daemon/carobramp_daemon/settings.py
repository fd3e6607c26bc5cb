"""Reads the settings file of the daemon."""

import pathlib

import jsonc

from carobramp_schema import InvalidInput, convert
from carobramp_schema.generated.settings import Settings

MAX_SETTINGS_BYTES = 1 << 20


def load_settings(path: str) -> Settings | InvalidInput:
    """Read settings in JSON with comments and check them."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return InvalidInput("$", "a readable file", f"{path}: {error.strerror}")
    return parse_settings(data)


def parse_settings(data: bytes) -> Settings | InvalidInput:
    """Check settings given as JSON with comments."""
    if len(data) > MAX_SETTINGS_BYTES:
        expected = f"at most {MAX_SETTINGS_BYTES} bytes"
        return InvalidInput("$", expected, f"{len(data)} bytes")
    try:
        value = jsonc.loads(data.decode())
    except (ValueError, RecursionError) as error:
        return InvalidInput("$", "JSON with comments", str(error))
    return convert(value, Settings)
