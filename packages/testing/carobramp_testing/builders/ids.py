"""Builders of caller-made submission ids."""

import random
import time
import uuid

TIME_SHIFT = 80
TIME_BITS = 48
RANDOM_BITS = 80
VERSION_FIELD = 0x7000 << 64
VARIANT_FIELD = 0x8000 << 48
KEPT_RANDOM = ~(0xF000 << 64 | 0xC000 << 48)


def caller_made_id(seed, age=0.0, wall_now=None):
    """Build a UUID of version 7 whose time is `age` seconds ago."""
    wall_now = time.time() if wall_now is None else wall_now
    milliseconds = int((wall_now - age) * 1000) % (1 << TIME_BITS)
    rest = random.Random(seed).getrandbits(RANDOM_BITS) & KEPT_RANDOM
    value = milliseconds << TIME_SHIFT | VERSION_FIELD | VARIANT_FIELD | rest
    return str(uuid.UUID(int=value))
