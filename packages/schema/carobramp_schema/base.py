"""Base class of the generated messages."""

import msgspec


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Immutable message that refuses unknown fields when it is decoded."""
