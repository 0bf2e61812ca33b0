"""Simulates queues and instances against the dispatcher's own decisions.

Entries pass arrivals to the dispatcher of their data centre, which is the
:class:`ServiceDispatcher` of the daemon. The run times of requests are distributed
exponentially. Messages take ``LOCAL_MS`` inside a data centre and ``REMOTE_MS``
between data centres. The model compares ways to share slots, with one seed per run.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from corianderpitch.domain.dispatch import DispatchPolicy, ServiceDispatcher
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
from corianderpitch.domain.fairqueue import QueuedRequest
from corianderpitch.domain.slots import InstanceSpec, RunResult
from corianderpitch_standins.events import EventQueue

LOCAL_MS = 0.2
REMOTE_MS = 1.0
TICK_MS = 10.0


@dataclass(frozen=True, slots=True)
class DispatchScenario:
    """The load, and how the slots are shared.

    ``groups`` gives, for each dispatcher, its share of the arrivals and the
    slots of its instances. ``load`` returns the load at a time in milliseconds, as a
    share of all slots. Dispatchers may borrow slots from each other if ``can_borrow``
    is set. ``tenants`` gives the name of each tenant and its weight in the arrivals.
    """

    groups: tuple[tuple[float, tuple[int, ...]], ...]
    load: Callable[[float], float]
    can_borrow: bool
    run_ms: float = 100.0
    deadline_ms: float = 400.0
    length_ms: float = 60_000.0
    tenants: tuple[tuple[str, float], ...] = (("t", 1.0),)

    @property
    def slots(self) -> int:
        """Return the total number of slots."""
        return sum(sum(instances) for _, instances in self.groups)


@dataclass(slots=True)
class DispatchResult:
    """Number of requests by outcome, and their delays in milliseconds.

    ``wait_ms`` and ``total_ms`` list, for each tenant, the time until the start and
    until the end of each run.
    """

    arrived: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refusal_ms: list[float] = field(default_factory=list)
    wait_ms: dict[str, list[float]] = field(default_factory=dict)
    total_ms: dict[str, list[float]] = field(default_factory=dict)

    @property
    def missed_share(self) -> float:
        """Return the share of requests that were not answered in time."""
        return 1.0 - self.in_time / max(1, self.arrived)


class DispatchModel:
    """One run of a scenario."""

    def __init__(self, scenario: DispatchScenario, seed: int):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._events = EventQueue()
        self._requests: dict[str, QueuedRequest] = {}
        self._running: dict[str, int] = {}
        self._lender: dict[str, int] = {}
        self.result = DispatchResult()
        self._dispatchers = [
            self._make_dispatcher(number, instances)
            for number, (_, instances) in enumerate(scenario.groups)
        ]

    def run(self) -> DispatchResult:
        """Run to the end and return the outcomes."""
        self._schedule_arrival()
        for number in range(len(self._dispatchers)):
            self._events.schedule(TICK_MS, lambda number=number: self._tick(number))
        self._events.run()
        return self.result

    def _make_dispatcher(
        self, number: int, instances: tuple[int, ...]
    ) -> ServiceDispatcher:
        dispatcher = ServiceDispatcher(
            str(number), f"p{number}", frozenset(), DispatchPolicy(), 0.0, self._rng
        )
        specs = []
        for index, slots in enumerate(instances):
            vm_id = f"{number}-{index}"
            specs.append(InstanceSpec(vm_id, vm_id, slots, True))
            self._running[vm_id] = 0
        dispatcher.update_instances(specs, 0.0)
        for spec in specs:
            dispatcher.record_load(spec.vm_id, 0, False, 0.0)
        if self._scenario.can_borrow:
            numbers = range(len(self._scenario.groups))
            remotes = frozenset(str(n) for n in numbers if n != number)
            dispatcher.set_remote_data_centers(remotes)
        return dispatcher

    def _schedule_arrival(self) -> None:
        scenario = self._scenario
        rate_per_ms = (
            scenario.load(self._events.now_ms) * scenario.slots / scenario.run_ms
        )
        gap_ms = self._rng.expovariate(rate_per_ms)
        if self._events.now_ms + gap_ms < scenario.length_ms:
            self._events.schedule(gap_ms, self._arrive)

    def _arrive(self) -> None:
        scenario = self._scenario
        shares = [share for share, _ in scenario.groups]
        number = self._rng.choices(range(len(shares)), shares)[0]
        tenants = [name for name, _ in scenario.tenants]
        weights = [share for _, share in scenario.tenants]
        tenant = self._rng.choices(tenants, weights)[0]
        deadline_ms = self._events.now_ms + scenario.deadline_ms
        self.result.arrived += 1
        request_id = f"r{self.result.arrived}"
        queued_request = QueuedRequest(
            request_id, str(number), tenant, "c", deadline_ms, self._events.now_ms
        )
        self._requests[request_id] = queued_request
        self._events.schedule(LOCAL_MS, lambda: self._submit(number, queued_request))
        self._schedule_arrival()

    def _submit(self, number: int, queued_request: QueuedRequest) -> None:
        effects = self._dispatchers[number].submit(queued_request, self._events.now_ms)
        self._apply_effects(number, effects)

    def _tick(self, number: int) -> None:
        self._apply_effects(number, self._dispatchers[number].tick(self._events.now_ms))
        end_ms = self._scenario.length_ms + 10 * self._scenario.deadline_ms
        if self._events.now_ms < end_ms:
            self._events.schedule(TICK_MS, lambda: self._tick(number))

    def _apply_effects(self, number: int, effects: list[Effect]) -> None:
        for effect in effects:
            self._apply_effect(number, effect)

    def _apply_effect(self, number: int, effect: Effect) -> None:
        match effect:
            case SendGrant(_, request_id, offer):
                self._events.schedule(
                    LOCAL_MS, lambda: self._start_run(request_id, offer)
                )
            case SendRefusal(_, request_id, _, _):
                request = self._requests.pop(request_id)
                self.result.refused += 1
                waited_ms = self._events.now_ms + LOCAL_MS - request.arrived_ms
                self.result.refusal_ms.append(waited_ms)
            case BorrowSlots(data_center, ask_id, count, remaining_ms):
                self._events.schedule(
                    REMOTE_MS,
                    lambda: self._lend_slots(
                        int(data_center), number, ask_id, count, remaining_ms
                    ),
                )
            case LendSlots(borrower, ask_id, offers):
                self._events.schedule(
                    REMOTE_MS,
                    lambda: self._accept_offers(int(borrower), number, ask_id, offers),
                )
            case ReturnOffer(lender, permit_id):
                self._events.schedule(
                    REMOTE_MS,
                    lambda: self._release_permit(
                        int(lender), permit_id, RunResult.UNUSED, 0.0
                    ),
                )
            case ProbeLoad(vm_id, _):
                effects = self._dispatchers[number].record_load(
                    vm_id, self._running[vm_id], False, self._events.now_ms
                )
                self._apply_effects(number, effects)

    def _lend_slots(
        self, lender: int, borrower: int, ask_id: int, count: int, remaining_ms: float
    ) -> None:
        effects = self._dispatchers[lender].lend_slots(
            str(borrower), ask_id, count, remaining_ms, self._events.now_ms
        )
        self._apply_effects(lender, effects)

    def _accept_offers(
        self, borrower: int, lender: int, ask_id: int, offers: tuple[Offer, ...]
    ) -> None:
        effects = self._dispatchers[borrower].accept_offers(
            str(lender), ask_id, offers, self._events.now_ms
        )
        self._apply_effects(borrower, effects)

    def _start_run(self, request_id: str, offer: Offer) -> None:
        request = self._requests.pop(request_id)
        waits = self.result.wait_ms.setdefault(request.tenant, [])
        waits.append(self._events.now_ms - request.arrived_ms)
        run_ms = self._rng.expovariate(1.0 / self._scenario.run_ms)
        self._running[offer.vm_id] += 1
        self._events.schedule(run_ms, lambda: self._finish_run(request, offer, run_ms))

    def _finish_run(self, request: QueuedRequest, offer: Offer, run_ms: float) -> None:
        self._running[offer.vm_id] -= 1
        totals = self.result.total_ms.setdefault(request.tenant, [])
        totals.append(self._events.now_ms - request.arrived_ms)
        if self._events.now_ms <= request.deadline_ms:
            self.result.in_time += 1
        else:
            self.result.late += 1
        lender = int(offer.lender)
        is_local = offer.lender == request.member
        self._events.schedule(
            LOCAL_MS if is_local else REMOTE_MS,
            lambda: self._release_permit(
                lender, offer.permit_id, RunResult.COMPLETED, run_ms
            ),
        )

    def _release_permit(
        self, number: int, permit_id: str, result: RunResult, run_ms: float
    ) -> None:
        effects = self._dispatchers[number].release(
            permit_id, result, run_ms, self._events.now_ms
        )
        self._apply_effects(number, effects)
