"""The daemon of an entry VM: starts the services and stops them gracefully."""

import asyncio
import secrets
import signal

from mode import Service

from carobramp_core.submission.ids import IdIssuer
from carobramp_daemon.api import CallerApi
from carobramp_daemon.dispatch import DispatchService
from carobramp_daemon.drain import Drain
from carobramp_daemon.logs import Log
from carobramp_daemon.membership import MembershipService
from carobramp_daemon.metrics import Metrics
from carobramp_daemon.operator import OperatorApi
from carobramp_daemon.peers import PeerApi, PeerClients, PeerHandlers
from carobramp_daemon.platform import PlatformClient
from carobramp_daemon.submission import SubmissionService
from carobramp_daemon.tickets import TicketService
from carobramp_daemon.upstreams import UpstreamClient
from carobramp_schema.generated.settings import Settings

INCARNATION_BYTES = 8
KEY_BYTES = 16
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon(Service):
    """All services of an entry VM."""

    def __init__(self, settings: Settings):
        super().__init__()
        self.settings = settings
        self.metrics = Metrics()
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.log_line = self.new_log("daemon")
        issuer = IdIssuer(
            settings.vm.name, self.incarnation, secrets.token_bytes(KEY_BYTES)
        )
        self.platform = PlatformClient(
            settings.platform, self.metrics, self.new_log("platform")
        )
        self.upstreams = UpstreamClient(
            settings, self.metrics, self.new_log("upstream")
        )
        self.handlers = PeerHandlers()
        self.peer_api = PeerApi(
            settings, self.handlers, self.metrics, self.new_log("peer")
        )
        self.peers = PeerClients(settings, self.metrics, self.new_log("peer"))
        self.membership = MembershipService(
            settings,
            self.platform,
            self.peers,
            self.metrics,
            self.new_log("membership"),
        )
        self.dispatch = DispatchService(
            settings.dispatch, self.upstreams, self.job_finished, self.metrics
        )
        self.submissions = SubmissionService(
            settings, issuer, self.dispatch, self.metrics, self.new_log("submission")
        )
        self.tickets = TicketService(
            settings, self.platform, self.dispatch, self.metrics, self.new_log("ticket")
        )
        self.api = CallerApi(
            settings, self.submissions, self.tickets, self.metrics, self.new_log("api")
        )
        self.submissions.accepts_new = lambda: self.api.accepting
        self.drain = Drain(settings, self.api, self.active, self.log_line)
        self.api.operator = OperatorApi(
            settings,
            self.incarnation,
            self.api,
            self.tickets,
            self.membership,
            self.dispatch,
            self.drain,
        )

    def job_finished(self, event):
        """Hand the outcome of a job to its submission."""
        self.submissions.finished(event)

    def new_log(self, prefix):
        """Return the log of one part."""
        return Log(prefix, self.settings.vm.name)

    def on_init_dependencies(self):
        """Services in start order; they stop in reverse order."""
        return [
            self.platform,
            self.upstreams,
            self.peers,
            self.dispatch,
            self.submissions,
            self.membership,
            self.tickets,
            self.peer_api,
            self.api,
        ]

    def active(self):
        """Return the number of jobs, requests and peer calls under way."""
        jobs = len(self.dispatch.dispatcher.jobs)
        return jobs + self.api.active.count + self.peer_api.active


async def run_daemon(settings: Settings):
    """Run the daemon until a stop is asked for, then drain and stop it."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, daemon.drain.request, number.name)
    await daemon.start()
    for port in (daemon.api.port, daemon.peer_api.port):
        print(f"listening {settings.vm.host} {port}", flush=True)
    await daemon.drain.run()
    await daemon.stop()
    # The event loop restores the default actions when it closes; a signal after
    # that would end the process with the status of a kill.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
