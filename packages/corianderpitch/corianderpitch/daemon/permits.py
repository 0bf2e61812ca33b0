"""Permit client: requests permits from the owners of services and releases them."""

from dataclasses import dataclass, field
from typing import Any

from eventlet import Timeout
from eventlet.event import Event

from corianderpitch.clock import Clock
from corianderpitch.daemon.network import PeerNetwork
from corianderpitch.domain.effects import Offer
from corianderpitch.domain.membership import Membership
from corianderpitch.domain.outcomes import NotRun, Reason
from corianderpitch.domain.slots import RunResult
from corianderpitch.ids import (
    ClassName,
    EntryId,
    PermitId,
    RequestId,
    ServiceName,
    TenantName,
    VmId,
)
from corianderpitch.messages import (
    AttachToOwner,
    HeldPermit,
    NotOwner,
    PermitCancel,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
)

LOST_OWNER_RETRY_AFTER_MS = 200
NOT_OWNER_RETRY_MS = 20.0
MAX_START_DELAY_MS = 500.0  # shorter than the time after which others take over


@dataclass(frozen=True, slots=True)
class PermitDemand:
    """A request's need for a permit; ``deadline_ms`` is on this entry's clock.

    Instances on the VMs in ``excluded`` are used only if no other has a free slot.
    """

    request_id: RequestId
    service: ServiceName
    tenant: TenantName
    class_name: ClassName
    deadline_ms: float
    excluded: frozenset[VmId] = frozenset()


@dataclass(slots=True)
class _PendingRequest:
    demand: PermitDemand
    reply: Event = field(default_factory=Event)


@dataclass(frozen=True, slots=True)
class _HeldPermit:
    service: ServiceName
    offer: Offer
    received_ms: float
    expires_ms: float
    is_borrowed: bool


class PermitClient:
    """Keeps this entry's pending requests for permits and the permits in use."""

    def __init__(self, membership: Membership, network: PeerNetwork, clock: Clock):
        self._membership = membership
        self._network = network
        self._clock = clock
        self._pending: dict[RequestId, _PendingRequest] = {}
        self._held: dict[PermitId, _HeldPermit] = {}
        self._owners: dict[ServiceName, EntryId | None] = {}
        network.handle(PermitGrant, self._on_grant)
        network.handle(PermitRefusal, self._on_refusal)
        network.handle(NotOwner, self._on_not_owner)

    def acquire(self, demand: PermitDemand) -> Offer | NotRun:
        """Wait for a permit until the owner decides or the deadline passes.

        Returns the granted permit, or ``NotRun`` if it was refused or the deadline
        has passed.
        """
        pending = _PendingRequest(demand)
        self._pending[demand.request_id] = pending
        reply = None
        try:
            self._send_request(demand)
            reply = self._wait(pending)
        finally:
            self._pending.pop(demand.request_id, None)
            if reply is None:
                self._cancel(pending)
        return reply or NotRun(Reason.DEADLINE, LOST_OWNER_RETRY_AFTER_MS)

    def _wait(self, pending: _PendingRequest) -> Offer | NotRun | None:
        """Return the owner's reply, or ``None`` at the deadline."""
        if pending.reply.ready():
            return pending.reply.wait()
        remaining_ms = max(0.0, pending.demand.deadline_ms - self._clock.now_ms())
        with Timeout(remaining_ms / 1000.0, False):
            return pending.reply.wait()
        return None

    def _cancel(self, pending: _PendingRequest) -> None:
        """Cancel a request; a permit that has just arrived is released unused."""
        demand = pending.demand
        if not pending.reply.ready():
            self._send_to_owner(
                demand.service, PermitCancel(demand.service, demand.request_id)
            )
            return
        match pending.reply.wait():
            case Offer() as offer:
                self.release(offer, RunResult.UNUSED, 0.0)

    def may_start(self, offer: Offer) -> bool:
        """Return whether the permit is recent enough to start its request now.

        After a pause of this process, another entry may count the slot as free.
        """
        held = self._held.get(offer.permit_id)
        if held is None:
            return False
        start_by_ms = min(held.expires_ms, held.received_ms + MAX_START_DELAY_MS)
        return self._clock.now_ms() < start_by_ms

    def release(self, offer: Offer, result: RunResult, run_ms: float) -> None:
        """Return a permit to the entry that counts it now.

        That is the lender of a borrowed slot, otherwise the service's owner.
        """
        held = self._held.pop(offer.permit_id, None)
        if held is None:
            return
        message = PermitRelease(held.service, offer.permit_id, result, run_ms)
        if held.is_borrowed:
            self._network.send(offer.lender, message)
        else:
            self._send_to_owner(held.service, message)

    def set_owner(self, service: ServiceName, owner: EntryId | None) -> None:
        """Record a service's new owner and report all permits and requests to it."""
        self._owners[service] = owner
        if owner is not None:
            self.attach(service)

    def reattach(self, entry: EntryId) -> None:
        """Repeat to an owner what it may have missed while the link to it was down."""
        for service, owner in self._owners.items():
            if owner == entry:
                self.attach(service)

    def attach(self, service: ServiceName) -> None:
        """Report the held permits to a service's owner and repeat pending requests."""
        now_ms = self._clock.now_ms()
        held = tuple(
            HeldPermit(permit_id, item.offer.vm_id, item.expires_ms - now_ms)
            for permit_id, item in self._held.items()
            if item.service == service and not item.is_borrowed
        )
        self._send_to_owner(service, AttachToOwner(service, held))
        for pending in list(self._pending.values()):
            if pending.demand.service == service:
                self._send_request(pending.demand)

    def in_flight(self, vm_id: VmId) -> int:
        """Return how many permits this entry holds on a VM."""
        return sum(1 for held in self._held.values() if held.offer.vm_id == vm_id)

    def _send_to_owner(self, service: ServiceName, message: Any) -> None:
        owner = self._owners.get(service)
        if owner is not None:
            self._network.send(owner, message)

    def _send_request(self, demand: PermitDemand) -> None:
        request = PermitRequest(
            demand.service,
            demand.request_id,
            demand.tenant,
            demand.class_name,
            demand.deadline_ms - self._clock.now_ms(),
            demand.excluded,
        )
        self._send_to_owner(demand.service, request)

    def _on_grant(self, sender: EntryId, grant: PermitGrant) -> None:
        pending = self._pending.get(grant.request_id)
        is_pending = pending is not None and not pending.reply.ready()
        if not is_pending or sender != self._owners.get(grant.service):
            unused = PermitRelease(
                grant.service, grant.offer.permit_id, RunResult.UNUSED, 0.0
            )
            self._network.send(grant.offer.lender, unused)
            return
        lender = self._membership.member_info(grant.offer.lender)
        own_site = self._membership.local_member.data_center
        is_borrowed = lender is not None and lender.data_center != own_site
        self._held[grant.offer.permit_id] = _HeldPermit(
            grant.service,
            grant.offer,
            self._clock.now_ms(),
            pending.demand.deadline_ms,
            is_borrowed,
        )
        pending.reply.send(grant.offer)

    def _on_refusal(self, sender: EntryId, refusal: PermitRefusal) -> None:
        pending = self._pending.get(refusal.request_id)
        if pending is not None and not pending.reply.ready():
            pending.reply.send(NotRun(refusal.reason, refusal.retry_after_ms))

    def _on_not_owner(self, sender: EntryId, message: NotOwner) -> None:
        """Retry after ``NOT_OWNER_RETRY_MS``; the entries disagree on the owner."""
        pending = self._pending.get(message.request_id)
        if pending is not None:
            self._network.call_later(NOT_OWNER_RETRY_MS, self._retry_request, pending)

    def _retry_request(self, pending: _PendingRequest) -> None:
        if self._pending.get(pending.demand.request_id) is pending:
            self._send_request(pending.demand)
