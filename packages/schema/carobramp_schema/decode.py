"""Checked decoding of JSON input into message classes."""

import dataclasses
import re
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

SEEN_MAX_CHARS = 80
# Input with so few brackets is far from the interpreter's recursion limit of 1000.
SAFE_BRACKETS = 500
NESTING_RESERVE = 64
_PATH = re.compile(r"^(?P<what>.*?)(?: - at `(?P<path>.*)`)?$", re.DOTALL)
_UNKNOWN = re.compile(r"^Object contains unknown field `(?P<name>.*)`$")
_MISSING = re.compile(r"^Object missing required field `(?P<name>.*)`$")
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")


@dataclasses.dataclass(frozen=True)
class InvalidInput:
    """Input that does not match its schema.

    Attributes
    ==========

    field : path of the field at fault, ``$`` for the whole input
    expected : what the schema asks for
    seen : what the input holds there, shortened
    """

    field: str
    expected: str
    seen: str

    def __str__(self):
        return f"{self.field}: expected {self.expected}, saw {self.seen}"


def decode(data: bytes, kind: type[T]) -> T | InvalidInput:
    """Decode JSON bytes into a message of class `kind`.

    Examples
    ========

    >>> from carobramp_schema.generated.caller import IdsRequest
    >>> decode(b'{"count": 3}', IdsRequest)
    IdsRequest(count=3)
    >>> print(decode(b'{"cuont": 3}', IdsRequest))
    $.cuont: expected a known field (nearest is `count`), saw `cuont`
    >>> print(decode(b'{"count": 0}', IdsRequest))
    $.count: expected `int` >= 1, saw 0
    """
    try:
        message = msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        return _describe(str(error), _parse_any(data), kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return InvalidInput("$", "a JSON document", _shorten(str(error)))
    if _nests_too_deeply(data, message):
        return InvalidInput("$", "JSON nested less deeply", "too many levels")
    return message


def convert(value: Any, kind: type[T]) -> T | InvalidInput:
    """Convert parsed JSON into a message of class `kind`, as `decode` does."""
    try:
        return msgspec.convert(value, type=kind)
    except msgspec.ValidationError as error:
        return _describe(str(error), value, kind)


def encode(message: Any) -> bytes:
    """Encode a message as JSON bytes."""
    return msgspec.json.encode(message)


def canonical(message: Any) -> bytes:
    """Encode a message as JSON with sorted keys, for digests."""
    return msgspec.json.encode(message, order="sorted")


def _parse_any(data):
    """Parse input whose start has the wrong type; the rest may be malformed."""
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def _nests_too_deeply(data, message):
    """Whether values of the message might be too deep to be sent on.

    Decoding and encoding have the same limit, and a value is sent on inside other
    messages and from deeper calls than the one that decoded it.
    """
    if data.count(b"[") + data.count(b"{") <= SAFE_BRACKETS:
        return False
    for _ in range(NESTING_RESERVE):
        message = [message]
    try:
        msgspec.json.encode(message)
    except RecursionError:
        return True
    return False


def _shorten(text):
    if len(text) <= SEEN_MAX_CHARS:
        return text
    return text[: SEEN_MAX_CHARS - 3] + "..."


def _describe(message, value, kind):
    match = _PATH.match(message)
    what = match["what"]
    path = match["path"] or "$"
    if unknown := _UNKNOWN.match(what):
        name = unknown["name"]
        return unknown_field(path, name, _field_names(kind, path))
    if missing := _MISSING.match(what):
        return InvalidInput(f"{path}.{missing['name']}", "a value", "nothing")
    expected = what.removeprefix("Expected ").split(", got ")[0]
    return InvalidInput(path, expected, _seen(value, path))


def unknown_field(path, name, known):
    """Return the fault for a field that is not among the `known` names."""
    # Imported when needed: each daemon would keep 0.2 MB for it otherwise.
    import difflib

    expected = "a known field"
    nearest = difflib.get_close_matches(name, known, 1, 0.5)
    if nearest:
        expected += f" (nearest is `{nearest[0]}`)"
    name = _shorten(name)
    return InvalidInput(f"{path}.{name}", expected, f"`{name}`")


def _seen(value, path):
    for name, index in _STEP.findall(path):
        try:
            value = value[name] if name else value[int(index)]
        except (KeyError, IndexError, TypeError, ValueError):
            return "an invalid value"
    return _shorten(msgspec.json.encode(value).decode())


def _field_names(kind, path):
    node = msgspec.inspect.type_info(kind)
    for name, index in _STEP.findall(path):
        node = _step(node, name, index)
    node = _struct_of(node)
    if node is None:
        return []
    return [field.encode_name for field in node.fields]


def _step(node, name, index):
    if index:
        return getattr(_unwrap(node), "item_type", None)
    struct = _struct_of(node)
    fields = struct.fields if struct else ()
    return next((f.type for f in fields if f.encode_name == name), None)


def _unwrap(node):
    while isinstance(node, msgspec.inspect.Metadata):
        node = node.type
    if isinstance(node, msgspec.inspect.UnionType):
        known = [t for t in node.types if not isinstance(t, msgspec.inspect.NoneType)]
        return _unwrap(known[0])
    return node


def _struct_of(node):
    node = _unwrap(node)
    return node if isinstance(node, msgspec.inspect.StructType) else None
