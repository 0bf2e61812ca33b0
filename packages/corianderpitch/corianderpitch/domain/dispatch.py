"""Dispatch decisions for one service in one data centre.

One entry of the data centre owns the dispatcher, and the other entries send it their
requests for permits. The dispatcher grants permits from its slot ledger, queues
requests that must wait and borrows slots from other data centres. It refuses at once
any request that cannot finish before its deadline.
"""

import itertools
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from corianderpitch.domain.effects import (
    BorrowSlots,
    Effect,
    LendSlots,
    Offer,
    ProbeLoad,
    ReturnOffer,
    SendGrant,
    SendRefusal,
)
from corianderpitch.domain.fairqueue import FairQueue, FlowKey, QueuedRequest
from corianderpitch.domain.outcomes import Reason
from corianderpitch.domain.runtimes import RunTimeEstimator
from corianderpitch.domain.slots import InstanceSpec, Permit, RunResult, SlotLedger
from corianderpitch.errors import SlotAccountingError
from corianderpitch.ids import (
    ClassName,
    DataCenterId,
    EntryId,
    PermitId,
    RequestId,
    TenantName,
    VmId,
)

ATTACH_TIMEOUT_MS = 500.0
MIN_BORROW_BACKOFF_MS = 5.0
MAX_BORROW_BACKOFF_MS = 20.0
BORROW_TIMEOUT_MS = 100.0
MAX_SLOTS_PER_BORROW = 16
LOST_OWNER_BACKOFF_MS = 500.0  # after a request for slots that got no reply
MAX_RUN_SHARE = 0.85  # of the time between a request's arrival and its deadline
MIN_RETRY_AFTER_MS = 50
NO_INSTANCE_RETRY_AFTER_MS = 1000


@dataclass(frozen=True, slots=True)
class DispatchPolicy:
    """Limits and weights of one service.

    ``run_quantile`` is the share of run times that the time kept for a run must
    cover. If the predicted wait in the queue is at least ``spill_wait_ms``, the
    dispatcher asks other data centres for slots.
    """

    run_quantile: float = 0.95
    spill_wait_ms: float = 0.0
    tenant_weights: Mapping[TenantName, float] = field(default_factory=dict)
    class_weights: Mapping[ClassName, float] = field(default_factory=dict)

    def weight(self, flow_key: FlowKey) -> float:
        """Return the weight of a flow: its tenant's weight times its class's weight.

        A tenant or class that has no weight of its own counts as 1.
        """
        tenant, class_name = flow_key
        tenant_weight = self.tenant_weights.get(tenant, 1.0)
        return tenant_weight * self.class_weights.get(class_name, 1.0)


@dataclass(slots=True)
class _RemoteDataCenter:
    backoff_until_ms: float = 0.0
    backoff_ms: float = MIN_BORROW_BACKOFF_MS
    pending_ask_id: int | None = None
    borrow_expires_ms: float = 0.0

    def can_borrow(self, now_ms: float) -> bool:
        if self.pending_ask_id is not None and now_ms < self.borrow_expires_ms:
            return False
        return now_ms >= self.backoff_until_ms

    def record_reply(self, has_offers: bool, now_ms: float) -> None:
        """Record a reply; the backoff doubles with every reply without offers."""
        self.pending_ask_id = None
        if has_offers:
            self.backoff_ms = MIN_BORROW_BACKOFF_MS
            return
        self.backoff_until_ms = now_ms + self.backoff_ms
        self.backoff_ms = min(MAX_BORROW_BACKOFF_MS, 2 * self.backoff_ms)


class ServiceDispatcher:
    """Grants, queues and refuses the requests of one service.

    Methods that make decisions take the current time and return the effects that the
    caller must carry out. A new dispatcher grants nothing until every entry in
    ``members`` has attached with the permits that it holds, or until
    ``ATTACH_TIMEOUT_MS`` have passed.
    """

    def __init__(
        self,
        owner: EntryId,
        permit_prefix: str,
        members: frozenset[EntryId],
        policy: DispatchPolicy,
        now_ms: float,
        rng: random.Random,
    ):
        self._owner = owner
        self._permit_prefix = permit_prefix
        self._policy = policy
        self._rng = rng
        self._ledger = SlotLedger()
        self._queue = FairQueue()
        self._run_times = RunTimeEstimator()
        self._permit_numbers = itertools.count()
        self._ask_ids = itertools.count()
        self._remotes: dict[DataCenterId, _RemoteDataCenter] = {}
        self._provisional: set[RequestId] = set()
        self._awaiting_attach = set(members)
        self._attach_expires_ms = now_ms + ATTACH_TIMEOUT_MS
        self._addresses: dict[VmId, str] = {}

    @property
    def ledger(self) -> SlotLedger:
        """Return the slot ledger, for reports."""
        return self._ledger

    @property
    def queue_length(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)

    def set_policy(self, policy: DispatchPolicy) -> None:
        """Replace the limits and weights."""
        self._policy = policy

    def set_remote_data_centers(self, data_centers: frozenset[DataCenterId]) -> None:
        """Replace the set of data centres that slots may be borrowed from."""
        for data_center in data_centers:
            self._remotes.setdefault(data_center, _RemoteDataCenter())
        for data_center in list(self._remotes):
            if data_center not in data_centers:
                del self._remotes[data_center]

    def update_instances(
        self, specs: list[InstanceSpec], now_ms: float
    ) -> list[Effect]:
        """Replace the instances of this service by those that the fleet has now."""
        self._addresses = {spec.vm_id: spec.address for spec in specs}
        self._ledger.update_instances(specs)
        return self.tick(now_ms)

    def attach(
        self, member: EntryId, permits: list[Permit], now_ms: float
    ) -> list[Effect]:
        """Record the permits of a member that a previous owner granted."""
        for permit in permits:
            self._ledger.restore_permit(permit)
        self._awaiting_attach.discard(member)
        return self._grant_queued(now_ms)

    def submit(self, request: QueuedRequest, now_ms: float) -> list[Effect]:
        """Grant, queue or refuse a request; one that is already queued is ignored."""
        if request.request_id in self._queue:
            return []
        effects: list[Effect] = []
        self._queue.push(request, self._policy.weight(request.flow_key))
        effects += self._grant_queued(now_ms)
        if request.request_id not in self._queue:
            return effects
        if self._is_admissible(request, now_ms):
            return effects
        if self._has_pending_borrow(now_ms):
            self._provisional.add(request.request_id)
            return effects
        effects.append(self._refuse(request, now_ms))
        return effects

    def cancel(self, request_id: RequestId) -> None:
        """Remove a request from the queue, if it is there."""
        self._queue.remove(request_id)
        self._provisional.discard(request_id)

    def release(
        self, permit_id: PermitId, result: RunResult, run_ms: float, now_ms: float
    ) -> list[Effect]:
        """Release a permit, and record its run time if the request ran."""
        vm_id = self._ledger.release(permit_id, result, now_ms)
        has_run = result in (RunResult.COMPLETED, RunResult.ABANDONED)
        if vm_id is not None and has_run:
            self._run_times.add(run_ms)
        return self._grant_queued(now_ms) + self._due_probes(now_ms)

    def lend_slots(
        self,
        borrower: EntryId,
        ask_id: int,
        count: int,
        remaining_ms: float,
        now_ms: float,
    ) -> list[Effect]:
        """Offer free slots to the owner of the service in another data centre.

        Slots are offered only while no local request is queued. ``remaining_ms`` is
        the time until the latest deadline of the borrower's requests.
        """
        offers = []
        if not self._queue and self._is_attached(now_ms):
            for _ in range(min(count, MAX_SLOTS_PER_BORROW)):
                permit = self._ledger.grant(
                    self._next_permit_id(), borrower, now_ms, now_ms + remaining_ms
                )
                if permit is None:
                    break
                offers.append(self._offer_for(permit))
        return [LendSlots(borrower, ask_id, tuple(offers))]

    def accept_offers(
        self,
        data_center: DataCenterId,
        ask_id: int,
        offers: tuple[Offer, ...],
        now_ms: float,
    ) -> list[Effect]:
        """Use borrowed slots for queued requests, and return those not needed."""
        effects: list[Effect] = []
        remote = self._remotes.get(data_center)
        if remote is not None and remote.pending_ask_id == ask_id:
            remote.record_reply(bool(offers), now_ms)
        for offer in offers:
            request = self._pop_startable(now_ms, effects)
            if request is None:
                effects.append(ReturnOffer(offer.lender, offer.permit_id))
                continue
            effects.append(SendGrant(request.member, request.request_id, offer))
        return effects + self._grant_queued(now_ms) + self._resolve_provisional(now_ms)

    def record_load(
        self, vm_id: VmId, running: int, is_leaving: bool, now_ms: float
    ) -> list[Effect]:
        """Record an instance's report of its load."""
        self._ledger.record_load(vm_id, running, is_leaving, now_ms)
        return self._grant_queued(now_ms)

    def record_unreachable(self, vm_id: VmId, now_ms: float) -> list[Effect]:
        """Record that an instance did not answer a probe."""
        self._ledger.record_unreachable(vm_id, now_ms)
        return []

    def tick(self, now_ms: float) -> list[Effect]:
        """Do what is due at this time.

        Permits and requests to borrow slots expire. Requests that can no longer finish
        before their deadline are refused. Instances of uncertain load are probed,
        free slots are granted, and slots are borrowed.
        """
        self._ledger.expire(now_ms)
        self._expire_borrows(now_ms)
        effects: list[Effect] = []
        for request in list(self._queue):
            if now_ms > self._latest_start_ms(request):
                effects.append(self._refuse_for(request, Reason.DEADLINE, now_ms))
        effects += self._due_probes(now_ms)
        effects += self._grant_queued(now_ms)
        if not self._has_pending_borrow(now_ms):
            effects += self._resolve_provisional(now_ms)
        return effects

    def drain_queue(self) -> list[QueuedRequest]:
        """Empty the queue and return its requests, for a hand-over of the service."""
        requests = list(self._queue)
        for request in requests:
            self.cancel(request.request_id)
        return requests

    def _grant_queued(self, now_ms: float) -> list[Effect]:
        """Grant free slots to queued requests; borrow slots for those left."""
        effects: list[Effect] = []
        if not self._is_attached(now_ms):
            return effects
        while self._queue and self._ledger.free_slots(now_ms) > 0:
            request = self._pop_startable(now_ms, effects)
            if request is None:
                break
            permit = self._ledger.grant(
                self._next_permit_id(),
                request.member,
                now_ms,
                request.deadline_ms,
                request.excluded,
            )
            if permit is None:
                raise SlotAccountingError(self._owner)
            offer = self._offer_for(permit)
            effects.append(SendGrant(request.member, request.request_id, offer))
        return effects + self._borrow_slots(now_ms)

    def _pop_startable(
        self, now_ms: float, effects: list[Effect]
    ) -> QueuedRequest | None:
        """Pop the next request that can still finish; refuse those that cannot."""
        while (request := self._queue.pop()) is not None:
            self._provisional.discard(request.request_id)
            if now_ms <= self._latest_start_ms(request):
                return request
            effects.append(self._refuse_for(request, Reason.DEADLINE, now_ms))
        return None

    def _borrow_slots(self, now_ms: float) -> list[Effect]:
        if not self._queue or self._predicted_wait_ms(now_ms) < (
            self._policy.spill_wait_ms
        ):
            return []
        head = self._queue.peek()
        effects: list[Effect] = []
        for data_center, remote in self._remotes.items():
            if head is None or not remote.can_borrow(now_ms):
                continue
            remote.pending_ask_id = next(self._ask_ids)
            remote.borrow_expires_ms = now_ms + BORROW_TIMEOUT_MS
            count = min(len(self._queue), MAX_SLOTS_PER_BORROW)
            remaining_ms = max(r.deadline_ms for r in self._queue) - now_ms
            effect = BorrowSlots(
                data_center, remote.pending_ask_id, count, remaining_ms
            )
            effects.append(effect)
        return effects

    def _resolve_provisional(self, now_ms: float) -> list[Effect]:
        """Refuse the requests that only a borrowed slot could have served in time."""
        if not self._provisional or self._has_pending_borrow(now_ms):
            return []
        effects: list[Effect] = []
        for request in [r for r in self._queue if r.request_id in self._provisional]:
            if not self._is_admissible(request, now_ms):
                effects.append(self._refuse(request, now_ms))
        self._provisional.clear()
        return effects

    def _is_admissible(self, request: QueuedRequest, now_ms: float) -> bool:
        slots = self._ledger.usable_slots(now_ms)
        if slots == 0:
            return False
        ahead = self._queue.estimate_ahead(request.flow_key, request.deadline_ms)
        wait_ms = ahead * self._run_times.mean_ms() / slots
        return now_ms + wait_ms <= self._latest_start_ms(request)

    def _predicted_wait_ms(self, now_ms: float) -> float:
        slots = max(1, self._ledger.usable_slots(now_ms))
        return len(self._queue) * self._run_times.mean_ms() / slots

    def _latest_start_ms(self, request: QueuedRequest) -> float:
        """Return the latest start at which a request is likely to finish in time.

        The time kept for the run is the measured quantile of run times, but at most
        ``MAX_RUN_SHARE`` of the time from the request's arrival to its deadline.
        Without this limit, a service that has become too slow for every deadline would
        get no more requests, and its run times would never be measured again.
        """
        run_ms = self._run_times.quantile_ms(self._policy.run_quantile)
        budget_ms = request.deadline_ms - request.arrived_ms
        return request.deadline_ms - min(run_ms, MAX_RUN_SHARE * budget_ms)

    def _refuse(self, request: QueuedRequest, now_ms: float) -> SendRefusal:
        usable = self._ledger.usable_slots(now_ms)
        reason = Reason.OVERLOAD if usable else Reason.NO_INSTANCE
        return self._refuse_for(request, reason, now_ms)

    def _refuse_for(
        self, request: QueuedRequest, reason: Reason, now_ms: float
    ) -> SendRefusal:
        self.cancel(request.request_id)
        retry_after_ms = self._retry_after_ms(reason, now_ms)
        return SendRefusal(request.member, request.request_id, reason, retry_after_ms)

    def _retry_after_ms(self, reason: Reason, now_ms: float) -> int:
        """Return after how long a refused caller should try again.

        This is the time until the queue is predicted to have room, or a constant if no
        instance is usable. A random factor between 1 and 2 spreads the callers.
        """
        if reason is Reason.NO_INSTANCE:
            base_ms = float(NO_INSTANCE_RETRY_AFTER_MS)
        else:
            base_ms = max(MIN_RETRY_AFTER_MS, self._predicted_wait_ms(now_ms))
        return int(base_ms * (1.0 + self._rng.random()))

    def _has_pending_borrow(self, now_ms: float) -> bool:
        return any(
            remote.pending_ask_id is not None and now_ms < remote.borrow_expires_ms
            for remote in self._remotes.values()
        )

    def _expire_borrows(self, now_ms: float) -> None:
        for remote in self._remotes.values():
            if remote.pending_ask_id is not None and now_ms >= remote.borrow_expires_ms:
                remote.pending_ask_id = None
                remote.backoff_until_ms = now_ms + LOST_OWNER_BACKOFF_MS

    def _is_attached(self, now_ms: float) -> bool:
        return not self._awaiting_attach or now_ms >= self._attach_expires_ms

    def _due_probes(self, now_ms: float) -> list[Effect]:
        due = self._ledger.start_probes(now_ms)
        return [ProbeLoad(spec.vm_id, spec.address) for spec in due]

    def _offer_for(self, permit: Permit) -> Offer:
        address = self._addresses[permit.vm_id]
        return Offer(permit.permit_id, permit.vm_id, address, self._owner)

    def _next_permit_id(self) -> PermitId:
        return PermitId(f"{self._permit_prefix}.{next(self._permit_numbers)}")
