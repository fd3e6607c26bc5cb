"""Writes the generated modules and docs/settings.md from the schema definitions.

Run as ``python -m carobramp_schema.generate [--check]``. With ``--check`` it
writes nothing and fails when a committed file is not current.
"""

import argparse
import importlib.resources
import json
import pathlib
import subprocess
import sys
import tempfile

import grpc_tools.protoc
from datamodel_code_generator import (
    DataModelType,
    Formatter,
    InputFileType,
    LiteralType,
    PythonVersion,
    generate,
)

from carobramp_schema import settings_page

PACKAGE = pathlib.Path(__file__).parent
DEFINITIONS = PACKAGE / "definitions"
GENERATED = PACKAGE / "generated"
PROTOCOLS = ("peer", "cells")
HEADER = '"""Generated from {name} by `make generate`; do not edit."""'


def require_defaults(node):
    """Mark properties with a default as required, for plain field types.

    The generator gives an optional field the type ``T | UnsetType``; a required
    field with a default has the type ``T``. Defaults of numbers become floats, as
    decoded numbers are: 1 and 1.0 have different canonical JSON, and so digests.
    """
    if isinstance(node, list):
        for item in node:
            require_defaults(item)
    if not isinstance(node, dict):
        return
    properties = node.get("properties")
    if isinstance(properties, dict):
        with_default = [k for k, v in properties.items() if "default" in v]
        required = node.setdefault("required", [])
        required.extend(k for k in with_default if k not in required)
        for name in with_default:
            make_default_float(properties[name])
    for value in node.values():
        require_defaults(value)


def make_default_float(schema):
    """Turn the default of a number into a float."""
    if schema.get("type") == "number":
        schema["default"] = float(schema["default"])


def generate_messages(target):
    """Generate one module of message classes for each JSON Schema."""
    for path in sorted(DEFINITIONS.glob("*.schema.json")):
        definition = json.loads(path.read_text())
        require_defaults(definition)
        name = path.name.removesuffix(".schema.json")
        generate(
            json.dumps(definition),
            input_file_type=InputFileType.JsonSchema,
            output=target / f"{name}.py",
            output_model_type=DataModelType.MsgspecStruct,
            base_class="carobramp_schema.base.Message",
            field_constraints=True,
            use_annotated=True,
            use_schema_description=True,
            use_standard_collections=True,
            use_union_operator=True,
            apply_default_values_for_required_fields=True,
            target_python_version=PythonVersion.PY_311,
            disable_timestamp=True,
            enum_field_as_literal=LiteralType.All,
            disable_future_imports=True,
            formatters=[Formatter.BUILTIN],
            skip_root_model=True,
            custom_file_header=HEADER.format(name=path.name),
        )


def generate_peer(target):
    """Generate protobuf messages and grpclib stubs for calls between VMs."""
    well_known = importlib.resources.files("grpc_tools") / "_proto"
    plugin = pathlib.Path(sys.executable).parent / "protoc-gen-grpclib_python"
    status = grpc_tools.protoc.main(
        [
            "protoc",
            f"--plugin=protoc-gen-grpclib_python={plugin}",
            f"-I{DEFINITIONS}",
            f"-I{well_known}",
            f"--python_out={target}",
            f"--pyi_out={target}",
            f"--grpclib_python_out={target}",
            *(str(DEFINITIONS / f"{name}.proto") for name in PROTOCOLS),
        ]
    )
    if status:
        raise SystemExit("protoc failed")
    for name in PROTOCOLS:
        stub = target / f"{name}_grpc.py"
        text = stub.read_text()
        text = text.replace(f"import {name}_pb2", f"from . import {name}_pb2")
        stub.write_text(text)


def format_modules(target):
    """Format the generated modules so that they are stable in review."""
    config = PACKAGE.parents[2] / "pyproject.toml"
    ruff = [sys.executable, "-m", "ruff"]
    options = ["--config", str(config), "--no-cache", "--quiet"]
    names = [str(p) for p in sorted(target.glob("*.py")) if "_pb2" not in p.name]
    fixes = ["--fix", "--select", "I,UP,F401", "--ignore-noqa", "--exit-zero"]
    subprocess.run([*ruff, "check", *options, *fixes, *names], check=True)
    subprocess.run([*ruff, "format", *options, *names], check=True)


def generate_all(target):
    """Generate every module into `target`."""
    generate_messages(target)
    generate_peer(target)
    format_modules(target)


def stale_modules(target):
    """Return the names of committed modules that differ from `target`."""
    names = {p.name for p in target.iterdir() if p.is_file()}
    committed = {p.name for p in GENERATED.iterdir() if p.is_file()}
    stale = names ^ (committed - {"__init__.py"})
    for name in names & committed:
        if (target / name).read_bytes() != (GENERATED / name).read_bytes():
            stale.add(name)
    return sorted(stale)


def main():
    """Generate the modules, or check that the committed ones are current."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="only compare")
    if not parser.parse_args().check:
        generate_all(GENERATED)
        settings_page.write_page()
        return
    with tempfile.TemporaryDirectory(dir=PACKAGE.parents[2]) as folder:
        target = pathlib.Path(folder)
        generate_all(target)
        stale = stale_modules(target)
    if settings_page.page_is_stale():
        stale.append("docs/settings.md")
    if stale:
        raise SystemExit(f"not current, run `make generate`: {', '.join(stale)}")


if __name__ == "__main__":
    main()
