"""Messages and settings of carobramp, generated from schema definitions."""

from carobramp_schema.decode import InvalidInput, canonical, convert, decode, encode

__all__ = ["InvalidInput", "canonical", "convert", "decode", "encode"]
