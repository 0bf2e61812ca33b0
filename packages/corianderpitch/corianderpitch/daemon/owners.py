"""Owner task: runs the dispatchers of the services that this entry owns."""

import random
from collections import deque
from dataclasses import dataclass
from typing import Any

import eventlet
from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import is_debug_enabled, logger
from corianderpitch.daemon.network import PeerNetwork
from corianderpitch.daemon.permits import PermitClient
from corianderpitch.daemon.views import ServiceView
from corianderpitch.domain.dispatch import ServiceDispatcher
from corianderpitch.domain.effects import (
    BorrowSlots,
    Effect,
    LendSlots,
    ProbeLoad,
    ReturnOffer,
    SendGrant,
    SendRefusal,
)
from corianderpitch.domain.fairqueue import QueuedRequest
from corianderpitch.domain.membership import Membership
from corianderpitch.domain.slots import Permit, RunResult
from corianderpitch.ids import DataCenterId, EntryId, ServiceName, VmId
from corianderpitch.messages import (
    AttachToOwner,
    NotOwner,
    PermitCancel,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    SlotOffers,
    SlotRequest,
)
from corianderpitch.ports import Endpoint

BUSY_TICK_MS = 10.0
IDLE_TICK_MS = 100.0
PAUSE_THRESHOLD_MS = 500.0  # a tick this late means that the process was paused

log = logger("owners")


@dataclass(frozen=True, slots=True)
class _ViewUpdate:
    views: tuple[ServiceView, ...]
    lenders: frozenset[DataCenterId]
    fleet_version: int


@dataclass(frozen=True, slots=True)
class _LoadReport:
    service: ServiceName
    vm_id: VmId
    running: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class _ProbeFailure:
    service: ServiceName
    vm_id: VmId


@dataclass(frozen=True, slots=True)
class _OwnershipInputs:
    """Inputs of the choice of owners; ownership is recomputed when they change."""

    live: frozenset[EntryId]
    is_settled: bool
    services: frozenset[ServiceName]


class OwnerTask:
    """Passes messages to the dispatchers of owned services, one at a time."""

    def __init__(
        self,
        membership: Membership,
        network: PeerNetwork,
        permits: PermitClient,
        endpoint: Endpoint,
        clock: Clock,
        rng: random.Random,
    ):
        self._membership = membership
        self._network = network
        self._permits = permits
        self._endpoint = endpoint
        self._clock = clock
        self._rng = rng
        self._inbox: deque[tuple[EntryId, Any]] = deque()
        self._is_processing = False
        self._views: dict[ServiceName, ServiceView] = {}
        self._owned: dict[ServiceName, ServiceDispatcher] = {}
        self._owners: dict[ServiceName, EntryId | None] = {}
        self._ownership_inputs: _OwnershipInputs | None = None
        self._generation = 0
        self._fleet_version = 0
        self._lenders: frozenset[DataCenterId] = frozenset()
        self.probe_pool = eventlet.GreenPool(64)
        self._next_tick_ms = clock.now_ms()
        message_types = (
            PermitRequest,
            PermitCancel,
            PermitRelease,
            AttachToOwner,
            SlotRequest,
            SlotOffers,
        )
        for message_type in message_types:
            network.handle(message_type, self._enqueue)
        network.on_link_up = self._on_link_up

    def set_views(
        self,
        views: list[ServiceView],
        lenders: frozenset[DataCenterId],
        fleet_version: int,
    ) -> None:
        """Put new services, limits and instances in force.

        Parameters
        ----------
        views
            The services of this data centre with their policies and instances.
        lenders
            Data centres that slots may be borrowed from.
        fleet_version
            Version of the fleet that the views were derived from.
        """
        update = _ViewUpdate(tuple(views), lenders, fleet_version)
        self._enqueue(self._membership.local_member.entry, update)

    def fleet_version(self) -> int:
        """Return the version of the fleet that the dispatchers use."""
        return self._fleet_version

    def owned_dispatchers(self) -> dict[ServiceName, ServiceDispatcher]:
        """Return the dispatchers of the services that this entry owns."""
        return self._owned

    def resign_all(self) -> None:
        """Resign from every service and take over none, before an orderly exit."""
        self._membership.start_settling(float("inf"))
        for service in list(self._owned):
            self._resign(service)

    def run(self) -> None:
        """Tick whenever the next tick is due, until killed."""
        while True:
            wait_ms = max(0.0, self._next_tick_ms - self._clock.now_ms())
            eventlet.sleep(wait_ms / 1000.0)
            self.tick()

    def tick(self) -> None:
        """Tick the dispatchers if a tick is due, then process queued messages."""
        self._is_processing = True
        try:
            self._check_pause()
            if self._clock.now_ms() >= self._next_tick_ms:
                self._tick()
        finally:
            self._is_processing = False
        self._process_inbox()

    def _check_pause(self) -> None:
        """Resign from every service after a pause of this process.

        During a pause of ``PAUSE_THRESHOLD_MS`` or more, other entries may have
        taken the services over.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._next_tick_ms < PAUSE_THRESHOLD_MS:
            return
        log.warning(
            "Process was paused for {:.0f} ms; resigning until settled again.",
            now_ms - self._next_tick_ms,
        )
        self._next_tick_ms = now_ms
        self._membership.start_settling(now_ms)
        for service in list(self._owned):
            self._resign(service)
            self._owners.pop(service, None)
        self._ownership_inputs = None

    def _enqueue(self, sender: EntryId, message: Any) -> None:
        """Process a message at once, or after the one being processed.

        No step of the processing blocks. A message is therefore never handled in
        the middle of another, and none needs a task of its own.
        """
        self._inbox.append((sender, message))
        if not self._is_processing:
            self._process_inbox()

    def _process_inbox(self) -> None:
        self._is_processing = True
        try:
            while self._inbox:
                self._check_pause()
                self._process(*self._inbox.popleft())
        finally:
            self._is_processing = False

    def _on_link_up(self, entry: EntryId) -> None:
        self._permits.reattach(entry)

    def _process(self, sender: EntryId, message: Any) -> None:
        if isinstance(message, _ViewUpdate):
            self._apply_views(message.views)
            self._lenders = message.lenders
            self._fleet_version = message.fleet_version
            return
        dispatcher = self._owned.get(message.service)
        if dispatcher is None:
            self._redirect(sender, message)
            return
        now_ms = self._clock.now_ms()
        effects = self._handle(dispatcher, sender, message, now_ms)
        self._perform(message.service, effects)

    def _handle(
        self,
        dispatcher: ServiceDispatcher,
        sender: EntryId,
        message: Any,
        now_ms: float,
    ) -> list[Effect]:
        match message:
            case PermitRequest():
                return dispatcher.submit(
                    _waiting_request(sender, message, now_ms), now_ms
                )
            case PermitCancel(request_id=request_id):
                dispatcher.cancel(request_id)
                return []
            case PermitRelease(permit_id=permit_id, result=result, run_ms=run_ms):
                return dispatcher.release(permit_id, result, run_ms, now_ms)
            case AttachToOwner(permits=held):
                permits = [
                    Permit(
                        report.permit_id,
                        report.vm_id,
                        sender,
                        now_ms,
                        now_ms + report.remaining_ms,
                    )
                    for report in held
                ]
                return dispatcher.attach(sender, permits, now_ms)
            case SlotRequest():
                return dispatcher.lend_slots(
                    message.borrower,
                    message.ask_id,
                    message.count,
                    message.remaining_ms,
                    now_ms,
                )
            case SlotOffers():
                return dispatcher.accept_offers(
                    message.data_center, message.ask_id, message.offers, now_ms
                )
            case _LoadReport():
                return dispatcher.record_load(
                    message.vm_id, message.running, message.is_leaving, now_ms
                )
            case _ProbeFailure():
                return dispatcher.record_unreachable(message.vm_id, now_ms)
        return []

    def _redirect(self, sender: EntryId, message: Any) -> None:
        """Handle a message for a service that this entry does not own.

        A permit request is answered with ``NotOwner``, a borrower's request for
        slots is forwarded to the owner, and offered slots are returned unused.
        Other messages are dropped.
        """
        match message:
            case PermitRequest():
                reply = NotOwner(message.service, message.request_id)
                self._network.send(sender, reply)
            case SlotRequest() if sender == message.borrower:
                owner = self._owners.get(message.service)
                if owner not in (None, self._membership.local_member.entry):
                    self._network.send(owner, message)
            case SlotOffers():
                for offer in message.offers:
                    unused = PermitRelease(
                        message.service, offer.permit_id, RunResult.UNUSED, 0.0
                    )
                    self._network.send(offer.lender, unused)

    def _apply_views(self, views: tuple[ServiceView, ...]) -> None:
        self._views = {view.service: view for view in views}
        self._update_ownership()
        now_ms = self._clock.now_ms()
        for service, dispatcher in self._owned.items():
            view = self._views[service]
            dispatcher.set_policy(view.policy)
            effects = dispatcher.update_instances(list(view.instances), now_ms)
            self._perform(service, effects)

    def _tick(self) -> None:
        self._update_ownership()
        now_ms = self._clock.now_ms()
        remote_sites = self._membership.other_data_centers() & self._lenders
        has_waiting = False
        for service, dispatcher in self._owned.items():
            dispatcher.set_remote_data_centers(remote_sites)
            self._perform(service, dispatcher.tick(now_ms))
            has_waiting = has_waiting or dispatcher.queue_length > 0
        self._next_tick_ms = now_ms + (BUSY_TICK_MS if has_waiting else IDLE_TICK_MS)

    def _update_ownership(self) -> None:
        """Take over and resign from services if the inputs have changed."""
        now_ms = self._clock.now_ms()
        live = self._membership.live_entries(now_ms)
        inputs = _OwnershipInputs(
            live, self._membership.is_settled(now_ms), frozenset(self._views)
        )
        if inputs == self._ownership_inputs:
            return
        self._ownership_inputs = inputs
        for service in list(self._owned):
            if service not in self._views:
                self._resign(service)
        for service in self._views:
            owner = self._membership.owner(service, now_ms)
            if service in self._owners and self._owners[service] == owner:
                continue
            self._owners[service] = owner
            if owner == self._membership.local_member.entry:
                self._take_over(service, now_ms)
            elif service in self._owned:
                self._resign(service)
            self._permits.set_owner(service, owner)

    def _take_over(self, service: ServiceName, now_ms: float) -> None:
        log.info("Taking over service {}.", service)
        own = self._membership.local_member
        self._generation += 1
        dispatcher = ServiceDispatcher(
            own.entry,
            f"{own.entry}.{own.incarnation}.{self._generation}",
            self._membership.live_entries(now_ms),
            self._views[service].policy,
            now_ms,
            self._rng,
        )
        self._owned[service] = dispatcher
        instances = list(self._views[service].instances)
        self._perform(service, dispatcher.update_instances(instances, now_ms))

    def _resign(self, service: ServiceName) -> None:
        log.info("Resigning from service {}.", service)
        dispatcher = self._owned.pop(service)
        for waiting in dispatcher.drain_queue():
            reply = NotOwner(service, waiting.request_id)
            self._network.send(waiting.member, reply)

    def _perform(self, service: ServiceName, effects: list[Effect]) -> None:
        for effect in effects:
            self._perform_effect(service, effect)

    def _perform_effect(self, service: ServiceName, effect: Effect) -> None:
        send = self._network.send
        if is_debug_enabled() and isinstance(effect, SendGrant | SendRefusal):
            log.debug(
                "Request {request_id} of {member}: {decision}.",
                request_id=effect.request_id,
                member=effect.member,
                decision="granted" if isinstance(effect, SendGrant) else "refused",
            )
        match effect:
            case SendGrant(member, request_id, offer):
                send(member, PermitGrant(service, request_id, offer))
            case SendRefusal(member, request_id, reason, retry_ms):
                send(member, PermitRefusal(service, request_id, reason, retry_ms))
            case BorrowSlots(data_center, ask_id, count, remaining_ms):
                owner = self._membership.remote_owner(data_center, service)
                own = self._membership.local_member.entry
                if owner is not None:
                    send(owner, SlotRequest(service, own, ask_id, count, remaining_ms))
            case LendSlots(borrower, ask_id, offers):
                own_site = self._membership.local_member.data_center
                send(borrower, SlotOffers(service, own_site, ask_id, offers))
            case ReturnOffer(lender, permit_id):
                unused = PermitRelease(service, permit_id, RunResult.UNUSED, 0.0)
                send(lender, unused)
            case ProbeLoad(vm_id, address):
                if self.probe_pool.free() > 0:  # otherwise the probe is soon due again
                    self.probe_pool.spawn_n(self._probe, service, vm_id, address)

    def _probe(self, service: ServiceName, vm_id: VmId, address: str) -> None:
        match self._endpoint.load(vm_id, address):
            case Success(load):
                report = _LoadReport(service, vm_id, load.running, load.is_leaving)
                self._enqueue(self._membership.local_member.entry, report)
            case _:
                failure = _ProbeFailure(service, vm_id)
                self._enqueue(self._membership.local_member.entry, failure)


def _waiting_request(
    sender: EntryId, request: PermitRequest, now_ms: float
) -> QueuedRequest:
    return QueuedRequest(
        request.request_id,
        sender,
        request.tenant,
        request.class_name,
        now_ms + request.remaining_ms,
        now_ms,
        request.excluded,
    )
