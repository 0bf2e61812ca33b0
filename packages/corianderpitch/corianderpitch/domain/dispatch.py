"""Dispatch decisions for one service in one data centre.

One entry of the data centre owns the dispatcher. The other entries ask it for
permits; it grants them from its slot ledger, queues what must wait, borrows
slots from other data centres, and refuses at once what cannot finish in time.
"""

import itertools
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from corianderpitch.domain.effects import (
    AskForSlots,
    Effect,
    LendSlots,
    Offer,
    ProbeLoad,
    ReturnOffer,
    SendGrant,
    SendRefusal,
)
from corianderpitch.domain.fairqueue import FairQueue, FlowKey, Waiting
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
MIN_ASK_PAUSE_MS = 5.0
MAX_ASK_PAUSE_MS = 20.0
ASK_TIMEOUT_MS = 100.0
MAX_SLOTS_PER_ASK = 16
LOST_OWNER_BACKOFF_MS = 500.0
MAX_RUN_SHARE = 0.85  # of a request's time, however slow its service has become
MIN_RETRY_AFTER_MS = 50
NO_INSTANCE_RETRY_AFTER_MS = 1000


@dataclass(frozen=True, slots=True)
class DispatchPolicy:
    """Limits and weights of one service.

    ``run_quantile`` is the share of run times that the admission bound must
    cover. ``spill_wait_ms`` is the predicted wait from which slots of other
    data centres are asked for.
    """

    run_quantile: float = 0.95
    spill_wait_ms: float = 0.0
    tenant_weights: Mapping[TenantName, float] = field(default_factory=dict)
    class_weights: Mapping[ClassName, float] = field(default_factory=dict)

    def weight(self, flow_key: FlowKey) -> float:
        """Return a flow's share; tenants and classes without a weight have 1."""
        tenant, class_name = flow_key
        tenant_weight = self.tenant_weights.get(tenant, 1.0)
        return tenant_weight * self.class_weights.get(class_name, 1.0)


@dataclass(slots=True)
class _Remote:
    busy_until_ms: float = 0.0
    pause_ms: float = MIN_ASK_PAUSE_MS
    pending_ask: int | None = None
    ask_expires_ms: float = 0.0

    def can_ask(self, now_ms: float) -> bool:
        if self.pending_ask is not None and now_ms < self.ask_expires_ms:
            return False
        return now_ms >= self.busy_until_ms

    def record_answer(self, has_offers: bool, now_ms: float) -> None:
        """Pause longer after every answer without offers."""
        self.pending_ask = None
        if has_offers:
            self.pause_ms = MIN_ASK_PAUSE_MS
            return
        self.busy_until_ms = now_ms + self.pause_ms
        self.pause_ms = min(MAX_ASK_PAUSE_MS, 2 * self.pause_ms)


class ServiceDispatcher:
    """Grants, queues and refuses the requests of one service.

    Every public method takes the current time and returns the effects to
    carry out. A new dispatcher grants nothing until every member in
    ``members`` has attached with the permits it holds, or has failed to do so
    for ``ATTACH_TIMEOUT_MS``.
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
        self._ask_numbers = itertools.count()
        self._remotes: dict[DataCenterId, _Remote] = {}
        self._tentative: set[RequestId] = set()
        self._awaiting_attach = set(members)
        self._attach_expires_ms = now_ms + ATTACH_TIMEOUT_MS
        self._addresses: dict[VmId, str] = {}

    @property
    def ledger(self) -> SlotLedger:
        """Return the slot ledger, for reports."""
        return self._ledger

    @property
    def queue_length(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    def set_policy(self, policy: DispatchPolicy) -> None:
        """Put new limits and weights in force."""
        self._policy = policy

    def set_remotes(self, data_centers: frozenset[DataCenterId]) -> None:
        """Name the data centres that slots may be borrowed from."""
        for data_center in data_centers:
            self._remotes.setdefault(data_center, _Remote())
        for data_center in list(self._remotes):
            if data_center not in data_centers:
                del self._remotes[data_center]

    def update_instances(
        self, specs: list[InstanceSpec], now_ms: float
    ) -> list[Effect]:
        """Take over the fleet's instances of this service."""
        self._addresses = {spec.vm_id: spec.address for spec in specs}
        self._ledger.update_instances(specs)
        return self.tick(now_ms)

    def attach(
        self, member: EntryId, permits: list[Permit], now_ms: float
    ) -> list[Effect]:
        """Record the permits that a member holds from a predecessor."""
        for permit in permits:
            self._ledger.adopt(permit)
        self._awaiting_attach.discard(member)
        return self._serve(now_ms)

    def request(self, waiting: Waiting, now_ms: float) -> list[Effect]:
        """Grant, queue or refuse a request."""
        if waiting.request_id in self._queue:
            return []
        effects: list[Effect] = []
        self._queue.push(waiting, self._policy.weight(waiting.flow_key))
        effects += self._serve(now_ms)
        if waiting.request_id not in self._queue:
            return effects
        if self._is_admissible(waiting, now_ms):
            return effects
        if self._has_pending_ask(now_ms):
            self._tentative.add(waiting.request_id)
            return effects
        effects.append(self._refuse(waiting, now_ms))
        return effects

    def cancel(self, request_id: RequestId) -> None:
        """Forget a request whose caller no longer waits."""
        self._queue.remove(request_id)
        self._tentative.discard(request_id)

    def release(
        self, permit_id: PermitId, result: RunResult, run_ms: float, now_ms: float
    ) -> list[Effect]:
        """Take a permit back and learn from its run time."""
        vm_id = self._ledger.release(permit_id, result, now_ms)
        has_run = result in (RunResult.COMPLETED, RunResult.ABANDONED)
        if vm_id is not None and has_run:
            self._run_times.add(run_ms)
        return self._serve(now_ms) + self._probes(now_ms)

    def lend(
        self,
        borrower: EntryId,
        ask_id: int,
        count: int,
        remaining_ms: float,
        now_ms: float,
    ) -> list[Effect]:
        """Offer free slots to the owner in another data centre."""
        offers = []
        if not self._queue and self._is_attached(now_ms):
            for _ in range(min(count, MAX_SLOTS_PER_ASK)):
                permit = self._ledger.grant(
                    self._next_permit_id(), borrower, now_ms, now_ms + remaining_ms
                )
                if permit is None:
                    break
                offers.append(self._offer(permit))
        return [LendSlots(borrower, ask_id, tuple(offers))]

    def take_offers(
        self,
        data_center: DataCenterId,
        ask_id: int,
        offers: tuple[Offer, ...],
        now_ms: float,
    ) -> list[Effect]:
        """Use borrowed slots for the requests that wait; return the surplus."""
        effects: list[Effect] = []
        remote = self._remotes.get(data_center)
        if remote is not None and remote.pending_ask == ask_id:
            remote.record_answer(bool(offers), now_ms)
        for offer in offers:
            waiting = self._pop_startable(now_ms, effects)
            if waiting is None:
                effects.append(ReturnOffer(offer.lender, offer.permit_id))
                continue
            effects.append(SendGrant(waiting.member, waiting.request_id, offer))
        return effects + self._serve(now_ms) + self._settle_tentative(now_ms)

    def record_load(
        self, vm_id: VmId, running: int, is_leaving: bool, now_ms: float
    ) -> list[Effect]:
        """Take over an instance's report of what it runs."""
        self._ledger.record_load(vm_id, running, is_leaving, now_ms)
        return self._serve(now_ms)

    def record_unreachable(self, vm_id: VmId, now_ms: float) -> list[Effect]:
        """Note that an instance did not answer a probe."""
        self._ledger.record_unreachable(vm_id, now_ms)
        return []

    def tick(self, now_ms: float) -> list[Effect]:
        """Expire permits, refuse what can no longer finish, probe, borrow."""
        self._ledger.expire(now_ms)
        self._expire_asks(now_ms)
        effects: list[Effect] = []
        for waiting in list(self._queue):
            if now_ms > self._latest_start_ms(waiting):
                effects.append(self._refuse_for(waiting, Reason.DEADLINE, now_ms))
        effects += self._probes(now_ms)
        effects += self._serve(now_ms)
        if not self._has_pending_ask(now_ms):
            effects += self._settle_tentative(now_ms)
        return effects

    def drop_queue(self) -> list[Waiting]:
        """Empty the queue, for a dispatcher that hands over."""
        waiting = list(self._queue)
        for item in waiting:
            self.cancel(item.request_id)
        return waiting

    def _serve(self, now_ms: float) -> list[Effect]:
        effects: list[Effect] = []
        if not self._is_attached(now_ms):
            return effects
        while self._queue and self._ledger.free_slots(now_ms) > 0:
            waiting = self._pop_startable(now_ms, effects)
            if waiting is None:
                break
            permit = self._ledger.grant(
                self._next_permit_id(),
                waiting.member,
                now_ms,
                waiting.deadline_ms,
                waiting.excluded,
            )
            if permit is None:
                raise SlotAccountingError(self._owner)
            offer = self._offer(permit)
            effects.append(SendGrant(waiting.member, waiting.request_id, offer))
        return effects + self._borrow(now_ms)

    def _pop_startable(self, now_ms: float, effects: list[Effect]) -> Waiting | None:
        """Pop the next request that can still finish; refuse those that cannot."""
        while (waiting := self._queue.pop()) is not None:
            self._tentative.discard(waiting.request_id)
            if now_ms <= self._latest_start_ms(waiting):
                return waiting
            effects.append(self._refuse_for(waiting, Reason.DEADLINE, now_ms))
        return None

    def _borrow(self, now_ms: float) -> list[Effect]:
        if not self._queue or self._predicted_wait_ms(now_ms) < (
            self._policy.spill_wait_ms
        ):
            return []
        head = self._queue.peek()
        effects: list[Effect] = []
        for data_center, remote in self._remotes.items():
            if head is None or not remote.can_ask(now_ms):
                continue
            remote.pending_ask = next(self._ask_numbers)
            remote.ask_expires_ms = now_ms + ASK_TIMEOUT_MS
            count = min(len(self._queue), MAX_SLOTS_PER_ASK)
            remaining_ms = max(w.deadline_ms for w in self._queue) - now_ms
            ask = AskForSlots(data_center, remote.pending_ask, count, remaining_ms)
            effects.append(ask)
        return effects

    def _settle_tentative(self, now_ms: float) -> list[Effect]:
        """Refuse what only a borrowed slot could have saved."""
        if not self._tentative or self._has_pending_ask(now_ms):
            return []
        effects: list[Effect] = []
        for waiting in [w for w in self._queue if w.request_id in self._tentative]:
            if not self._is_admissible(waiting, now_ms):
                effects.append(self._refuse(waiting, now_ms))
        self._tentative.clear()
        return effects

    def _is_admissible(self, waiting: Waiting, now_ms: float) -> bool:
        slots = self._ledger.usable_slots(now_ms)
        if slots == 0:
            return False
        ahead = self._queue.ahead_of(waiting.flow_key, waiting.deadline_ms)
        wait_ms = ahead * self._run_times.mean_ms() / slots
        return now_ms + wait_ms <= self._latest_start_ms(waiting)

    def _predicted_wait_ms(self, now_ms: float) -> float:
        slots = max(1, self._ledger.usable_slots(now_ms))
        return len(self._queue) * self._run_times.mean_ms() / slots

    def _latest_start_ms(self, waiting: Waiting) -> float:
        """Return until when a request must start to be likely to end in time.

        The time kept for the run is the learnt quantile, but at most
        ``MAX_RUN_SHARE`` of all the request's time. A service that has become
        too slow for every deadline is thus still tried, and learnt about.
        """
        run_ms = self._run_times.quantile_ms(self._policy.run_quantile)
        budget_ms = waiting.deadline_ms - waiting.arrived_ms
        return waiting.deadline_ms - min(run_ms, MAX_RUN_SHARE * budget_ms)

    def _refuse(self, waiting: Waiting, now_ms: float) -> SendRefusal:
        usable = self._ledger.usable_slots(now_ms)
        reason = Reason.OVERLOAD if usable else Reason.NO_INSTANCE
        return self._refuse_for(waiting, reason, now_ms)

    def _refuse_for(
        self, waiting: Waiting, reason: Reason, now_ms: float
    ) -> SendRefusal:
        self.cancel(waiting.request_id)
        retry_after_ms = self._retry_after_ms(reason, now_ms)
        return SendRefusal(waiting.member, waiting.request_id, reason, retry_after_ms)

    def _retry_after_ms(self, reason: Reason, now_ms: float) -> int:
        """Return when the queue should have room, spread by up to a factor of two."""
        if reason is Reason.NO_INSTANCE:
            base_ms = float(NO_INSTANCE_RETRY_AFTER_MS)
        else:
            base_ms = max(MIN_RETRY_AFTER_MS, self._predicted_wait_ms(now_ms))
        return int(base_ms * (1.0 + self._rng.random()))

    def _has_pending_ask(self, now_ms: float) -> bool:
        return any(
            remote.pending_ask is not None and now_ms < remote.ask_expires_ms
            for remote in self._remotes.values()
        )

    def _expire_asks(self, now_ms: float) -> None:
        for remote in self._remotes.values():
            if remote.pending_ask is not None and now_ms >= remote.ask_expires_ms:
                remote.pending_ask = None
                remote.busy_until_ms = now_ms + LOST_OWNER_BACKOFF_MS

    def _is_attached(self, now_ms: float) -> bool:
        return not self._awaiting_attach or now_ms >= self._attach_expires_ms

    def _probes(self, now_ms: float) -> list[Effect]:
        due = self._ledger.start_probes(now_ms)
        return [ProbeLoad(spec.vm_id, spec.address) for spec in due]

    def _offer(self, permit: Permit) -> Offer:
        address = self._addresses[permit.vm_id]
        return Offer(permit.permit_id, permit.vm_id, address, self._owner)

    def _next_permit_id(self) -> PermitId:
        return PermitId(f"{self._permit_prefix}.{next(self._permit_numbers)}")
