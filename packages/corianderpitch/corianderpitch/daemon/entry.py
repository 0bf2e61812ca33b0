"""One entry of the system: its sockets and tasks, start-up and shutdown."""

import gc
import os
import random
import secrets

import eventlet
from eventlet import wsgi
from eventlet.green import socket

from corianderpitch.adapters.endpointhttp import HttpEndpoint
from corianderpitch.adapters.platformhttp import HttpPlatform
from corianderpitch.adapters.platformlimits import RateLimitedPlatform
from corianderpitch.adapters.sample import SamplePlatform
from corianderpitch.clock import SystemClock
from corianderpitch.daemon.callers import CallerApp
from corianderpitch.daemon.configoperations import ConfigOperations
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.fleetoperations import FleetOperations
from corianderpitch.daemon.httpprotocol import StrictProtocol, read_arrived_requests
from corianderpitch.daemon.joboperations import JobOperations
from corianderpitch.daemon.jobs import JobSchedulerTask
from corianderpitch.daemon.leases import LeaseTask
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.managers import ManagerTask
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.metrics import Metrics
from corianderpitch.daemon.network import PeerNetwork
from corianderpitch.daemon.operators import OperatorApp
from corianderpitch.daemon.owners import OwnerTask
from corianderpitch.daemon.permits import PermitClient
from corianderpitch.daemon.reports import Reporter
from corianderpitch.daemon.requests import RequestRunner
from corianderpitch.daemon.settings import Address, Settings
from corianderpitch.daemon.statuses import StatusCollector
from corianderpitch.daemon.supervision import keep_running
from corianderpitch.daemon.tickets import TicketService
from corianderpitch.daemon.views import service_views
from corianderpitch.domain.lending import ServiceNeed
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.ids import DataCenterId, EntryId, ServiceName, VmId
from corianderpitch.messages import EntryStatus, ServiceStatus, VmWait

MAX_HTTP_CONNECTIONS = 2048
SOCKET_TIMEOUT_S = 10
INCARNATION_BYTES = 4
STOP_CHECK_S = 0.25
SHUTDOWN_CHECK_S = 0.1
GC_ALLOCATION_THRESHOLD = 20_000

log = logger("entry")


class Entry:
    """One entry of the fleet and all of its tasks."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._clock = SystemClock()
        self._rng = random.Random(secrets.randbits(64))
        self._stop_requested = False
        self._caller_listener = _listen("listen", settings.listen)
        self._operator_listener = _listen("operator-listen", settings.operator_listen)
        self._peer_listener = _listen("peer-listen", settings.peer_listen)
        self._source_host = Address.from_text("", settings.peer_listen).host
        own = MemberInfo(
            EntryId(settings.entry),
            secrets.token_hex(INCARNATION_BYTES),
            DataCenterId(settings.data_center),
            settings.peer_advertise or _address_text(self._peer_listener),
        )
        self._build_platform()
        self._build_serving(own)
        self._build_management(own)
        self._connect_tasks()

    @classmethod
    def from_settings(cls, settings: Settings) -> "Entry":
        """Open the sockets of an entry and create its tasks."""
        return cls(settings)

    def _build_platform(self) -> None:
        if self._settings.platform:
            services = HttpPlatform(self._settings.platform, self._source_host)
            self._endpoint = HttpEndpoint(self._clock, self._source_host)
        else:
            sample = SamplePlatform(DataCenterId(self._settings.data_center))
            services = sample
            self._endpoint = sample.endpoint
        self._platform = RateLimitedPlatform(
            services, services, services, services, self._clock, self._rng
        )

    def _build_serving(self, own: MemberInfo) -> None:
        clock = self._clock
        self._metrics = Metrics()
        self._membership = Membership(own, clock.now_ms())
        self._network = PeerNetwork(own, clock, self._source_host)
        self._members = MembershipTask(
            self._membership,
            self._network,
            clock,
            self._rng,
            self._settings.peers,
        )
        self._documents = DocumentTask(
            self._membership, self._network, self._members, self._platform, clock
        )
        self._permits = PermitClient(self._membership, self._network, clock)
        self._owners = OwnerTask(
            self._membership,
            self._network,
            self._permits,
            self._endpoint,
            clock,
            self._rng,
        )
        self._runner = RequestRunner(
            self._permits,
            self._endpoint,
            self._metrics,
            clock,
            self._idle_connection_limit,
        )
        self._tickets = TicketService(
            self._membership, self._members, self._network, self._runner, clock
        )
        self._callers = CallerApp(
            own, self._runner, self._tickets, self._documents, self._metrics
        )

    def _build_management(self, own: MemberInfo) -> None:
        clock = self._clock
        self._leases = LeaseTask(self._membership, self._members, self._platform, clock)
        self._manager = ManagerTask(
            self._membership,
            self._members,
            self._network,
            self._documents,
            self._platform,
            self._platform,
            self._platform,
            clock,
            self._rng,
        )
        self._reporter = Reporter(
            self._membership,
            self._network,
            self._members,
            self._owners,
            self._permits,
            clock,
            self._owners.fleet_version,
        )
        self._statuses = StatusCollector(
            self._membership, self._network, clock, self._own_status
        )
        self._jobs = JobSchedulerTask(
            own,
            self._members,
            self._documents,
            self._platform,
            self._platform,
            clock,
        )
        fleet = FleetOperations(self._platform, self._documents, clock)
        configs = ConfigOperations(self._platform, self._documents, fleet, clock)
        job_operations = JobOperations(
            self._platform, self._platform, self._documents, clock
        )
        self._operators = OperatorApp(
            own.data_center, configs, fleet, job_operations, self._statuses
        )

    def _connect_tasks(self) -> None:
        self._documents.on_change = self._apply_documents
        self._members.on_new_member = self._tickets.announce_successors
        self._members.own_unavailable_vms = self._unavailable_vms
        self._members.own_service_needs = self._service_needs
        self._metrics.on_render(self._refresh_gauges)

    def run(self) -> None:
        """Serve until a stop is requested, then shut down in order.

        Ends the process with exit code 0.
        """
        log.info(
            "Entry {} in {} serves callers on {}, operators on {}, peers on {}.",
            self._settings.entry,
            self._settings.data_center,
            _address_text(self._caller_listener),
            _address_text(self._operator_listener),
            _address_text(self._peer_listener),
        )
        eventlet.spawn(self._network.serve, self._peer_listener)
        tasks = (self._members, self._leases, self._documents, self._owners)
        for task in (*tasks, self._manager, self._jobs):
            eventlet.spawn(keep_running, task.run)
        caller_server = self._serve_http(self._caller_listener, self._callers)
        self._serve_http(self._operator_listener, self._operators)
        _tune_garbage_collection()
        self._print_addresses()
        while not self._stop_requested:
            eventlet.sleep(STOP_CHECK_S)
        self._shut_down(caller_server)

    def _print_addresses(self) -> None:
        """Print the addresses in use to standard output, for the parent process."""
        print(
            "ready",
            f"callers={_address_text(self._caller_listener)}",
            f"operators={_address_text(self._operator_listener)}",
            f"peers={_address_text(self._peer_listener)}",
            flush=True,
        )

    def request_stop(self) -> None:
        """Request an orderly shutdown; safe to call in a signal handler."""
        self._stop_requested = True

    def _shut_down(self, caller_server: eventlet.greenthread.GreenThread) -> None:
        """Shut down in order and exit the process.

        The entry reports that it is not ready, waits for ``drain_grace_ms``, stops
        accepting callers' connections and finishes the requests and tickets in
        progress. It then resigns from its services, hands its tickets over,
        announces its exit and deletes its lease.
        """
        log.info("Shutting down.")
        self._callers.is_draining = True
        eventlet.sleep(self._settings.drain_grace_ms / 1000.0)
        read_arrived_requests()
        caller_server.kill()
        self._caller_listener.close()
        self._callers.is_closed = True
        while self._callers.in_flight or self._tickets.running_count:
            eventlet.sleep(SHUTDOWN_CHECK_S)
        self._owners.resign_all()
        successor = self._successor()
        if successor is not None and not self._tickets.hand_over(successor):
            log.warning(
                "{} did not confirm the hand-over of tickets in time.", successor
            )
        self._members.announce_leaving()
        self._leases.release()
        eventlet.sleep(SHUTDOWN_CHECK_S)
        log.info("Shutdown complete.")
        os._exit(0)

    def _successor(self) -> EntryId | None:
        """Return the entry to hand the tickets over to, or ``None`` if there is none.

        This is the live entry of the same data centre with the lowest name. If
        there is none, it is the known entry with the lowest name in any data
        centre that is not known to have exited.
        """
        live_entries = self._membership.other_live_entries(self._clock.now_ms())
        remaining = {
            info.entry
            for info in self._membership.other_members()
            if not self._membership.has_exited(info.entry)
        }
        return min(live_entries or remaining, default=None)

    def _serve_http(
        self, listener: socket.socket, app: object
    ) -> eventlet.greenthread.GreenThread:
        return eventlet.spawn(
            wsgi.server,
            listener,
            app,
            log_output=False,
            protocol=StrictProtocol,
            max_size=MAX_HTTP_CONNECTIONS,
            socket_timeout=SOCKET_TIMEOUT_S,
        )

    def _apply_documents(self) -> None:
        config = self._documents.config
        if config is not None:
            own_site = self._membership.local_member.data_center
            site = config.for_site(own_site)
            views = service_views(site, self._documents.fleet)
            lenders = site.other_sites_in_region(own_site)
            self._owners.set_views(views, lenders, self._documents.versions()[1])

    def _idle_connection_limit(self, service: ServiceName) -> int:
        config = self._documents.config
        settings = config.base.services.get(service) if config else None
        return settings.idle_connections_per_entry if settings else 0

    def _unavailable_vms(self) -> tuple[VmId, ...]:
        now_ms = self._clock.now_ms()
        return tuple(
            vm_id
            for dispatcher in self._owners.owned_dispatchers().values()
            for vm_id in dispatcher.ledger.unavailable_vms(now_ms)
        )

    def _service_needs(self) -> tuple[ServiceNeed, ...]:
        needs = (
            ServiceNeed(
                service, dispatcher.ledger.held_slots() + dispatcher.queue_length
            )
            for service, dispatcher in self._owners.owned_dispatchers().items()
        )
        return tuple(need for need in needs if need.slots > 0)

    def _own_status(self) -> EntryStatus:
        record = self._documents.config_record
        return EntryStatus(
            self._membership.local_member.entry,
            self._membership.local_member.data_center,
            record.revision if record else 0,
            self._documents.versions()[1],
            self._platform.last_answer_age_ms,
            self._manager.is_holder,
            self._callers.is_draining,
            self._owned_services(),
            tuple(VmWait(vm, wait) for vm, wait in self._manager.wait_reasons.items()),
            self._jobs.is_holder,
            tuple(sorted(self._jobs.quarantined())),
        )

    def _owned_services(self) -> tuple[ServiceStatus, ...]:
        now_ms = self._clock.now_ms()
        return tuple(
            ServiceStatus(
                service,
                dispatcher.queue_length,
                dispatcher.ledger.held_slots(),
                dispatcher.ledger.free_slots(now_ms),
            )
            for service, dispatcher in self._owners.owned_dispatchers().items()
        )

    def _refresh_gauges(self) -> None:
        for status in self._owned_services():
            self._metrics.set_service(status)
        self._metrics.set_traffic(
            self._network.sent_bytes, self._platform.request_count
        )


def _tune_garbage_collection() -> None:
    """Exempt the objects of start-up from garbage collection and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATION_THRESHOLD)


def _listen(name: str, text: str) -> socket.socket:
    address = Address.from_text(name, text)
    return eventlet.listen((address.host, address.port), backlog=1024)


def _address_text(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"
