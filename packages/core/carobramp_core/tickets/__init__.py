"""Change tickets: the deployment state, acceptance and propagation.

Examples
========

>>> from carobramp_schema.generated.ticket import TeamChange, TeamState, Ticket
>>> team = TeamChange("bakery", 0, TeamState(quota_slots=8))
>>> state = DeploymentState().apply(Ticket(1, "anna", teams=[team]))
>>> prepared = prepare(Ticket(2, "ben"), state, head_version=1, wall_now=0.0)
>>> prepared.state_after.number, len(prepared.transaction.conditions)
(2, 2)
"""

from carobramp_core.tickets.acceptance import (
    AcceptanceFailed,
    AcceptanceUnknown,
    NumberGap,
    NumberTaken,
    PreparedTicket,
    TicketAccepted,
    prepare,
    verdict_from_outcome,
)
from carobramp_core.tickets.propagation import (
    FetchState,
    FetchTickets,
    TicketPropagation,
    apply_record,
)
from carobramp_core.tickets.state import (
    DeploymentState,
    VersionedObject,
    content_digest,
    decode_state,
    encode_state,
)

__all__ = [
    "AcceptanceFailed",
    "AcceptanceUnknown",
    "DeploymentState",
    "FetchState",
    "FetchTickets",
    "NumberGap",
    "NumberTaken",
    "PreparedTicket",
    "TicketAccepted",
    "TicketPropagation",
    "VersionedObject",
    "apply_record",
    "content_digest",
    "decode_state",
    "encode_state",
    "prepare",
    "verdict_from_outcome",
]
