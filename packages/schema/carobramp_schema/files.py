"""Reads files in JSON with comments: settings, tickets and jobs."""

import pathlib
from typing import Any, TypeVar

import jsonc
import msgspec

from carobramp_schema.decode import InvalidInput, convert, unknown_field

T = TypeVar("T")

MAX_FILE_BYTES = 4 << 20
MAX_FAULTS = 50


def load_file(path: str, kind: type[T]) -> T | list[InvalidInput]:
    """Read a file and check it against the schema of `kind`.

    Returns
    =======

    The message, or every fault that was found (at most `MAX_FAULTS`).
    """
    try:
        with pathlib.Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return [InvalidInput("$", "a readable file", f"{path}: {reason}")]
    return parse_document(data, kind)


def parse_document(data: bytes, kind: type[T]) -> T | list[InvalidInput]:
    """Check a document given as JSON with comments.

    Examples
    ========

    >>> from carobramp_schema.generated.caller import IdsRequest
    >>> parse_document(b'{"count": 2} // two ids', IdsRequest)
    IdsRequest(count=2)
    >>> for fault in parse_document(b'{"count": 0, "cout": 1}', IdsRequest):
    ...     print(fault)
    $.cout: expected a known field (nearest is `count`), saw `cout`
    $.count: expected `int` >= 1, saw 0
    """
    if len(data) > MAX_FILE_BYTES:
        return [InvalidInput("$", f"at most {MAX_FILE_BYTES} bytes", "more")]
    try:
        value = jsonc.loads(
            data.decode(), parse_constant=_refuse, object_pairs_hook=_unique
        )
    except (ValueError, RecursionError) as error:
        return [InvalidInput("$", "JSON with comments", str(error))]
    message = convert(value, kind)
    if not isinstance(message, InvalidInput):
        return message
    return find_faults(value, kind)[:MAX_FAULTS] or [message]


def find_faults(value: Any, kind: Any, path: str = "$") -> list[InvalidInput]:
    """Return every fault of parsed JSON, where `convert` returns the first."""
    struct = _struct_of(kind)
    if struct is not None and isinstance(value, dict):
        return _struct_faults(value, struct, path)
    item_kind = _item_kind(kind)
    if item_kind is not None and isinstance(value, list):
        faults = _own_fault(value, kind, path)
        if faults and faults[0].field == path:
            return faults
        pairs = enumerate(value)
        return [f for i, v in pairs for f in find_faults(v, item_kind, f"{path}[{i}]")]
    return _own_fault(value, kind, path)


def _struct_faults(value, struct, path):
    fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    faults = [
        unknown_field(path, name, list(fields)) for name in value if name not in fields
    ]
    for name, field in fields.items():
        if name in value:
            faults += find_faults(value[name], field.type, f"{path}.{name}")
        elif field.required:
            faults.append(InvalidInput(f"{path}.{name}", "a value", "nothing"))
    return faults


def _own_fault(value, kind, path):
    result = convert(value, kind)
    if not isinstance(result, InvalidInput):
        return []
    field = path + result.field.removeprefix("$")
    return [InvalidInput(field, result.expected, result.seen)]


def _struct_of(kind):
    node = _plain(msgspec.inspect.type_info(kind))
    return node.cls if isinstance(node, msgspec.inspect.StructType) else None


def _item_kind(kind):
    node = _plain(msgspec.inspect.type_info(kind))
    if not isinstance(node, msgspec.inspect.ListType):
        return None
    item = _plain(node.item_type)
    return item.cls if isinstance(item, msgspec.inspect.StructType) else None


def _plain(node):
    while isinstance(node, msgspec.inspect.Metadata):
        node = node.type
    if isinstance(node, msgspec.inspect.UnionType):
        inner = [_plain(member) for member in node.types]
        structs = [t for t in inner if isinstance(t, msgspec.inspect.StructType)]
        return structs[0] if structs else node
    return node


def _refuse(constant):
    raise ValueError(f"{constant} is not JSON")


def _unique(pairs):
    names = [name for name, _ in pairs]
    if len(names) != len(set(names)):
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"field `{twice}` is given twice")
    return dict(pairs)
