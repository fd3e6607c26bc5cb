"""Evacuated availability zones, as of a version of the store.

Explanation
===========

An operator requests the evacuation of a zone; nothing starts there until the request
is withdrawn. A set of zones may reach a process from the store or from another
process; the set of the higher store version is the right one.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """The zones that are evacuated as of a store version.

    Also the message with which an entry tells the owner of a cell.
    """

    version: int = 0
    zones: frozenset[str] = frozenset()


# For deployments without evacuation requests: known, and no zone is evacuated.
NO_EVACUATIONS = Evacuations()


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsRead:
    """Event of owners and entries: the newest requests that their process has read.

    `evacuations` is None before the first read.
    """

    evacuations: Evacuations | None


def newest(*known: Evacuations | None) -> Evacuations | None:
    """Return the set of the highest version; the first one of equals.

    Examples
    ========

    >>> newest(None, NO_EVACUATIONS, Evacuations(7, frozenset({"breda"}))).version
    7
    >>> newest(None, None) is None
    True
    """
    read = [evacuations for evacuations in known if evacuations is not None]
    return max(read, key=lambda evacuations: evacuations.version, default=None)


def is_evacuated(zone, evacuations: Evacuations | None) -> bool:
    """Return whether a zone is known to be evacuated."""
    return evacuations is not None and zone in evacuations.zones
