"""The commands of `carobramp`."""

import dataclasses
import json

from carobramp_cli.client import Answer, EntryVms, NotReceived, Unclear
from carobramp_cli.output import (
    HTTP_ERRORS,
    Exit,
    conclude,
    describe,
    fail,
    fail_each,
    pairs,
    problem_status,
    show,
    table,
)
from carobramp_schema import encode
from carobramp_schema.files import load_file
from carobramp_schema.generated.caller import JobRequest
from carobramp_schema.generated.ticket import Ticket
from carobramp_schema.settings import load_settings

DEFAULT_TIMEOUT_S = 10.0
ANSWER_MARGIN_S = 5.0
TICKET_COLUMNS = ("number", "author", "accepted_at_ms", "note")
PEER_COLUMNS = ("vm", "availability_zone", "live", "leaving", "state_number")
EVACUATED_ZONE_COLUMNS = ("evacuated_zone", "set_by")
SERVICE_COLUMNS = ("name", "policy", "waiting")
UPSTREAM_COLUMNS = (
    "name",
    "service",
    "availability_zone",
    "slots",
    "running",
    "others",
    "speed",
    "guard",
    "leaving",
)


@dataclasses.dataclass(frozen=True)
class Options:
    """Flags of one call; a `timeout` of 0 takes one that suits the command."""

    urls: tuple[str, ...]
    timeout: float
    as_json: bool
    submission_id: str

    def entry_vms(self, default=DEFAULT_TIMEOUT_S):
        """Return the entry VMs with the timeout of this call."""
        return EntryVms(self.urls, self.timeout or default)


async def put_ticket(options, path):
    """Put the ticket of a file into force."""
    return await send_ticket(options, path, "")


async def check_ticket(options, path):
    """Let an entry VM check the ticket of a file without accepting it."""
    return await send_ticket(options, path, "?check=1")


async def send_ticket(options, path, query):
    """Send the ticket of a file."""
    ticket = load_file(path, Ticket)
    if isinstance(ticket, list):
        return fail_each(path, ticket)
    target = f"/v1/tickets/{ticket.number}{query}"
    result = await options.entry_vms().send("PUT", target, encode(ticket))
    if isinstance(result, Unclear):
        return fail(
            Exit.UNCLEAR,
            f"outcome unknown: {result.detail}; put the same file again to find out",
        )
    return conclude(result, options.as_json, pairs)


async def show_ticket(options, number):
    """Show an accepted ticket and the VMs that have it in force."""
    if not number.isascii() or not number.isdigit():
        return fail(Exit.INVALID, f"ticket number: expected digits, saw {number!r}")
    result = await options.entry_vms().send("GET", f"/v1/tickets/{int(number)}")
    return conclude(result, options.as_json, lambda body: json.dumps(body, indent=2))


async def list_tickets(options):
    """List the newest accepted tickets."""
    result = await options.entry_vms().send("GET", "/v1/tickets")
    return conclude(result, options.as_json, render_tickets)


def render_tickets(body):
    """Format the list of tickets."""
    tickets = body.get("tickets", []) if isinstance(body, dict) else body
    return table([flat_ticket(entry) for entry in tickets], TICKET_COLUMNS)


def flat_ticket(entry):
    """Return the columns of a ticket, given by itself or in its record."""
    if not isinstance(entry, dict):
        return {"number": entry}
    ticket = entry.get("ticket")
    return entry | ticket if isinstance(ticket, dict) else entry


async def check_settings(options, path):
    """Check a settings file."""
    settings = load_settings(path)
    if isinstance(settings, list):
        return fail_each(path, settings)
    body = {"vm": settings.vm.name, "valid": True}
    return show(body, options.as_json, pairs)


async def show_status(options):
    """Show what an entry VM knows."""
    result = await options.entry_vms().send("GET", "/v1/status")
    return conclude(result, options.as_json, render_status)


def render_status(body):
    """Format the status of an entry VM."""
    plain = {k: v for k, v in body.items() if not isinstance(v, list)}
    evacuated_zones = [
        {"evacuated_zone": row["name"], "set_by": row["set_by"]}
        for row in body.get("evacuated_zones", [])
    ]
    parts = [
        pairs(plain),
        table(evacuated_zones, EVACUATED_ZONE_COLUMNS),
        table(body.get("peers", []), PEER_COLUMNS),
        table(body.get("services", []), SERVICE_COLUMNS),
        table(body.get("upstreams", []), UPSTREAM_COLUMNS),
    ]
    return "\n\n".join(parts)


async def drain(options):
    """Start the graceful stop of an entry VM."""
    if len(options.urls) != 1:
        return fail(Exit.INVALID, "drain: expected one --url, the VM to stop")
    result = await options.entry_vms().send("POST", "/v1/drain")
    return conclude(result, options.as_json, pairs)


async def submit_job(options, path):
    """Submit the job of a file and print its answer."""
    job = load_file(path, JobRequest)
    if isinstance(job, list):
        return fail_each(path, job)
    entry_vms = options.entry_vms(job.deadline_ms / 1000 + ANSWER_MARGIN_S)
    submission_id = options.submission_id
    if not submission_id:
        issued = await issue_id(options)
        if not isinstance(issued, str):
            return issued_nothing(issued, options)
        submission_id = issued
    headers = {"Idempotency-Key": submission_id}
    result = await entry_vms.send("POST", "/v1/jobs", encode(job), headers)
    return conclude_job(result, submission_id, options)


async def issue_id(options):
    """Return a submission id from an entry VM, or why there is none."""
    result = await options.entry_vms().send(
        "POST", "/v1/submission-ids", b'{"count": 1}'
    )
    if not isinstance(result, Answer) or result.status >= HTTP_ERRORS:
        return result
    try:
        return str(result.body["ids"][0])
    except (KeyError, IndexError, TypeError):
        return Unclear("malformed answer to the request for a submission id")


def issued_nothing(result, options):
    """Conclude a submission that was never sent, for lack of an id."""
    if isinstance(result, Unclear):
        detail = f"no submission id: {result.detail}; the job was not sent"
        return fail(Exit.UNREACHABLE, detail)
    return conclude(result, options.as_json, pairs)


def conclude_job(result, submission_id, options):
    """Print the outcome of a job; where it is not certain, name the id."""
    resubmit = f"to ask again for the same job use --id={submission_id}"
    if isinstance(result, Unclear):
        return fail(Exit.UNCLEAR, f"outcome unknown: {result.detail}; {resubmit}")
    if isinstance(result, NotReceived):
        detail = f"unreachable: {result.detail}; {resubmit}"
        return fail(Exit.UNREACHABLE, detail)
    if result.status >= HTTP_ERRORS and problem_status(result) is Exit.UNCLEAR:
        if options.as_json:
            print(json.dumps(result.body))
        return fail(Exit.UNCLEAR, f"{describe(result)}; {resubmit}")
    return conclude(result, options.as_json, lambda body: json.dumps(body, indent=2))


async def cancel_job(options, submission_id):
    """Cancel a job."""
    if not is_path_part(submission_id):
        return fail(Exit.INVALID, f"submission id: saw {submission_id!r}")
    result = await options.entry_vms().send("DELETE", f"/v1/jobs/{submission_id}")
    return conclude(result, options.as_json, lambda body: body or "cancelled")


def is_path_part(text):
    """Whether `text` can be a submission id in a path.

    Examples
    ========

    >>> is_path_part("c1.vm.a.1.2.t"), is_path_part("../status"), is_path_part("")
    (True, False, False)
    """
    return bool(text) and all(c.isascii() and (c.isalnum() or c in "-._") for c in text)


COMMANDS = {
    ("ticket", "put"): (put_ticket, ("FILE",)),
    ("ticket", "check"): (check_ticket, ("FILE",)),
    ("ticket", "show"): (show_ticket, ("N",)),
    ("ticket", "list"): (list_tickets, ()),
    ("settings", "check"): (check_settings, ("FILE",)),
    ("status",): (show_status, ()),
    ("drain",): (drain, ()),
    ("job", "submit"): (submit_job, ("FILE",)),
    ("job", "cancel"): (cancel_job, ("ID",)),
}
