"""Builds the services of an entry VM, runs them and stops them after a drain."""

import asyncio
import random
import secrets
import signal

from mode import Service

from carobramp_core.submission.ids import IdIssuer
from carobramp_daemon.caller_api import CallerApi
from carobramp_daemon.cancellation import Canceller
from carobramp_daemon.dispatch import DispatchService
from carobramp_daemon.drain import Drain
from carobramp_daemon.drain_state import DrainState
from carobramp_daemon.forward_handlers import ForwardHandlers
from carobramp_daemon.forwarder import Forwarder
from carobramp_daemon.logs import Log
from carobramp_daemon.membership import MembershipService
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.operator import OperatorApi
from carobramp_daemon.peers import PeerChannelPool, PeerHandlers, PeerServer
from carobramp_daemon.platform import PlatformClient
from carobramp_daemon.submission import SubmissionService
from carobramp_daemon.ticket_handlers import TicketHandlers
from carobramp_daemon.tickets import TicketService
from carobramp_daemon.upstreams import UpstreamClient
from carobramp_schema.generated.settings import Settings

INCARNATION_BYTES = 8
ID_KEY_BYTES = 16
ABANDON_TIMEOUT_S = 2.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon(Service):
    """Creates and connects all services of an entry VM."""

    def __init__(self, settings: Settings):
        super().__init__()
        self.settings = settings
        self.metrics = Metrics()
        self.drain_state = DrainState()
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.event_log = self.create_log("daemon")
        issuer = IdIssuer(
            settings.vm.name, self.incarnation, secrets.token_bytes(ID_KEY_BYTES)
        )
        self.platform = PlatformClient(
            settings.platform, self.metrics, self.create_log("platform")
        )
        self.upstreams = UpstreamClient(
            settings, self.metrics, self.create_log("upstream")
        )
        self.handlers = PeerHandlers()
        self.peer_server = PeerServer(
            settings, self.handlers, self.metrics, self.create_log("peer")
        )
        self.forward_channels = PeerChannelPool(
            settings, self.metrics, self.create_log("peer")
        )
        self.control_channels = PeerChannelPool(
            settings, self.metrics, self.create_log("peer")
        )
        self.dispatch = DispatchService(
            settings, self.upstreams, self.on_job_finished, self.metrics
        )
        self.membership = MembershipService(
            settings,
            self.drain_state,
            self.platform,
            self.control_channels,
            self.dispatch,
            self.incarnation,
            random.Random(),
            self.metrics,
            self.create_log("membership"),
        )
        submission_log = self.create_log("submission")
        self.forwarder = Forwarder(
            settings,
            self.forward_channels,
            self.membership,
            self.metrics,
            submission_log,
        )
        self.submissions = SubmissionService(
            settings,
            self.drain_state,
            issuer,
            self.dispatch,
            self.forwarder,
            self.platform,
            lambda: self.tickets.ready,
            self.metrics,
            submission_log,
        )
        forward_handlers = ForwardHandlers(self.submissions, self.metrics)
        self.handlers.forward = forward_handlers.forward
        self.handlers.cancel = forward_handlers.cancel
        self.tickets = TicketService(
            settings,
            self.platform,
            self.membership,
            self.control_channels,
            self.dispatch,
            random.Random(),
            self.metrics,
            self.create_log("ticket"),
        )
        self.connect_services()
        self.caller_api = CallerApi(
            settings,
            self.drain_state,
            self.submissions,
            Canceller(self.submissions, self.forwarder, self.platform),
            self.tickets,
            self.metrics,
            self.create_log("api"),
        )
        self.drain = Drain(
            settings, self.drain_state, self.active_count, self.event_log
        )
        self.caller_api.operator = OperatorApi(
            settings,
            self.incarnation,
            self.drain_state,
            self.tickets,
            self.membership,
            self.dispatch,
            self.drain,
        )

    def connect_services(self):
        """Set the references that form cycles, and the handlers of peer calls."""
        self.membership.tickets = self.tickets
        self.membership.read_team_loads = self.dispatch.dispatcher.team_loads
        self.membership.peer_port = lambda: self.peer_server.port
        self.handlers.heartbeat = self.membership.on_heartbeat
        handlers = TicketHandlers(self.tickets)
        self.handlers.fetch_tickets = handlers.on_fetch_tickets
        self.handlers.fetch_state = handlers.on_fetch_state
        self.handlers.notify_ticket = handlers.on_notify

    def on_job_finished(self, event):
        """Pass the outcome of a job to the submission service.

        Dispatch is created before that service and therefore calls this method.
        """
        self.submissions.on_job_finished(event)

    def create_log(self, component):
        """Return the log of one component."""
        return Log(component, self.settings.vm.name)

    def on_init_dependencies(self):
        """Return the services in start order; they stop in reverse order."""
        return [
            self.platform,
            self.upstreams,
            self.forward_channels,
            self.control_channels,
            self.dispatch,
            self.submissions,
            self.membership,
            self.tickets,
            self.peer_server,
            self.caller_api,
        ]

    def active_count(self):
        """Return the number of jobs, caller requests and forwarded jobs in progress."""
        jobs = len(self.submissions.registry.jobs)
        return (
            jobs
            + self.caller_api.active_requests.count
            + self.peer_server.forwards_in_flight
        )


async def run_daemon(settings: Settings) -> str:
    """Run the daemon until a stop is requested, then drain and stop it.

    Returns
    =======

    An empty string after a planned stop, otherwise the error that ends the process.
    The process ends when any service fails, since the VM would otherwise report
    that it is ready without that service.
    """
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, daemon.drain.request, stop_signal.name)
    try:
        await daemon.start()
    except OSError as error:
        await stop_after_failure(daemon)
        return f"cannot start: {error}"
    if daemon.crash_reason is None:
        for port in (daemon.caller_api.port, daemon.peer_server.port):
            print(f"listening {settings.vm.host} {port}", flush=True)
        await daemon.wait(daemon.drain.run())
    if daemon.crash_reason is not None:
        await stop_after_failure(daemon)
        return f"a service failed: {daemon.crash_reason!r}"
    await daemon.stop()
    # The event loop restores the default signal actions when it closes. A later
    # signal would end the process with a signal status instead of exit status 0.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    return ""


async def stop_after_failure(daemon: Daemon):
    """Stop the services of a failed daemon, for `ABANDON_TIMEOUT_S` at most."""
    try:
        async with asyncio.timeout(ABANDON_TIMEOUT_S):
            await daemon.stop()
    except TimeoutError:
        daemon.event_log.info("services did not stop in time")
