"""Builders of test data."""

from carobramp_testing.builders.ids import caller_made_id
from carobramp_testing.builders.jobs import job_request
from carobramp_testing.builders.settings import vm_settings
from carobramp_testing.builders.tickets import (
    evacuation_ticket,
    first_ticket,
    service_state,
)

__all__ = [
    "caller_made_id",
    "evacuation_ticket",
    "first_ticket",
    "job_request",
    "service_state",
    "vm_settings",
]
