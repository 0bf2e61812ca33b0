"""Permit client: the side of an entry that asks owners for permits."""

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
    Attach,
    HeldPermit,
    NotOwner,
    PermitCancel,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
)

LOST_OWNER_RETRY_AFTER_MS = 200
NOT_OWNER_PAUSE_MS = 20.0
START_WITHIN_MS = 500.0  # below the time after which others take over


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a permit is asked for; ``deadline_ms`` is on this entry's clock."""

    request_id: RequestId
    service: ServiceName
    tenant: TenantName
    class_name: ClassName
    deadline_ms: float
    excluded: frozenset[VmId] = frozenset()


@dataclass(slots=True)
class _Pending:
    wanted: Wanted
    reply: Event = field(default_factory=Event)


@dataclass(frozen=True, slots=True)
class _Held:
    service: ServiceName
    offer: Offer
    received_ms: float
    expires_ms: float
    is_borrowed: bool


class PermitClient:
    """Requests that wait for a permit and permits in use, on this entry."""

    def __init__(self, membership: Membership, network: PeerNetwork, clock: Clock):
        self._membership = membership
        self._network = network
        self._clock = clock
        self._pending: dict[RequestId, _Pending] = {}
        self._held: dict[PermitId, _Held] = {}
        self._owners: dict[ServiceName, EntryId | None] = {}
        network.handle(PermitGrant, self._on_grant)
        network.handle(PermitRefusal, self._on_refusal)
        network.handle(NotOwner, self._on_not_owner)

    def acquire(self, wanted: Wanted) -> Offer | NotRun:
        """Wait for a permit until the owner decides or the deadline passes."""
        pending = _Pending(wanted)
        self._pending[wanted.request_id] = pending
        reply = None
        try:
            self._ask(wanted)
            reply = self._wait(pending)
        finally:
            self._pending.pop(wanted.request_id, None)
            if reply is None:
                self._withdraw(pending)
        return reply or NotRun(Reason.DEADLINE, LOST_OWNER_RETRY_AFTER_MS)

    def _wait(self, pending: _Pending) -> Offer | NotRun | None:
        """Return the owner's reply, or ``None`` at the deadline."""
        if pending.reply.ready():
            return pending.reply.wait()
        remaining_ms = max(0.0, pending.wanted.deadline_ms - self._clock.now_ms())
        with Timeout(remaining_ms / 1000.0, False):
            return pending.reply.wait()
        return None

    def _withdraw(self, pending: _Pending) -> None:
        """Take a request back; a permit that has just come is returned unused."""
        wanted = pending.wanted
        if not pending.reply.ready():
            self._send(wanted.service, PermitCancel(wanted.service, wanted.request_id))
            return
        match pending.reply.wait():
            case Offer() as offer:
                self.release(offer, RunResult.UNUSED, 0.0)

    def may_start(self, offer: Offer) -> bool:
        """Tell whether a permit is fresh enough to start its request now.

        After a pause of this process another entry may count the slot as free.
        """
        held = self._held.get(offer.permit_id)
        if held is None:
            return False
        start_by_ms = min(held.expires_ms, held.received_ms + START_WITHIN_MS)
        return self._clock.now_ms() < start_by_ms

    def release(self, offer: Offer, result: RunResult, run_ms: float) -> None:
        """Give a permit back to whoever counts it now."""
        held = self._held.pop(offer.permit_id, None)
        if held is None:
            return
        message = PermitRelease(held.service, offer.permit_id, result, run_ms)
        if held.is_borrowed:
            self._network.send(offer.lender, message)
        else:
            self._send(held.service, message)

    def set_owner(self, service: ServiceName, owner: EntryId | None) -> None:
        """Turn to a service's new owner with all permits and requests."""
        self._owners[service] = owner
        if owner is not None:
            self.attach(service)

    def reattach(self, entry: EntryId) -> None:
        """Repeat everything that an owner may have missed while the link was down."""
        for service, owner in self._owners.items():
            if owner == entry:
                self.attach(service)

    def attach(self, service: ServiceName) -> None:
        """Tell a service's owner which permits are held, and ask again."""
        now_ms = self._clock.now_ms()
        held = tuple(
            HeldPermit(permit_id, item.offer.vm_id, item.expires_ms - now_ms)
            for permit_id, item in self._held.items()
            if item.service == service and not item.is_borrowed
        )
        self._send(service, Attach(service, held))
        for pending in list(self._pending.values()):
            if pending.wanted.service == service:
                self._ask(pending.wanted)

    def in_flight(self, vm_id: VmId) -> int:
        """Return how many requests this entry has running on a VM."""
        return sum(1 for held in self._held.values() if held.offer.vm_id == vm_id)

    def _send(self, service: ServiceName, message: Any) -> None:
        owner = self._owners.get(service)
        if owner is not None:
            self._network.send(owner, message)

    def _ask(self, wanted: Wanted) -> None:
        request = PermitRequest(
            wanted.service,
            wanted.request_id,
            wanted.tenant,
            wanted.class_name,
            wanted.deadline_ms - self._clock.now_ms(),
            wanted.excluded,
        )
        self._send(wanted.service, request)

    def _on_grant(self, sender: EntryId, grant: PermitGrant) -> None:
        pending = self._pending.get(grant.request_id)
        is_wanted = pending is not None and not pending.reply.ready()
        if not is_wanted or sender != self._owners.get(grant.service):
            unused = PermitRelease(
                grant.service, grant.offer.permit_id, RunResult.UNUSED, 0.0
            )
            self._network.send(grant.offer.lender, unused)
            return
        lender = self._membership.info(grant.offer.lender)
        own_site = self._membership.own.data_center
        is_borrowed = lender is not None and lender.data_center != own_site
        self._held[grant.offer.permit_id] = _Held(
            grant.service,
            grant.offer,
            self._clock.now_ms(),
            pending.wanted.deadline_ms,
            is_borrowed,
        )
        pending.reply.send(grant.offer)

    def _on_refusal(self, sender: EntryId, refusal: PermitRefusal) -> None:
        pending = self._pending.get(refusal.request_id)
        if pending is not None and not pending.reply.ready():
            pending.reply.send(NotRun(refusal.reason, refusal.retry_after_ms))

    def _on_not_owner(self, sender: EntryId, message: NotOwner) -> None:
        """Ask again shortly; the views of who owns the service differ."""
        pending = self._pending.get(message.request_id)
        if pending is not None:
            self._network.later(NOT_OWNER_PAUSE_MS, self._ask_again, pending)

    def _ask_again(self, pending: _Pending) -> None:
        if self._pending.get(pending.wanted.request_id) is pending:
            self._ask(pending.wanted)
