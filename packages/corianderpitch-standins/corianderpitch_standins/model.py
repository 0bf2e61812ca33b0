"""A model of queues and instances that drives the real dispatch decisions.

Entries pass arrivals to the dispatcher of their data centre, which is the
daemon's own :class:`ServiceDispatcher`; instances take an exponential time.
Messages inside a data centre take ``LOCAL_MS`` and between data centres
``REMOTE_MS``. The model compares ways to share slots, with one seed per run.
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
class Scenario:
    """What arrives, and how the slots are shared.

    ``groups`` gives, for each dispatcher, its share of the arrivals and the
    slots of its instances. Dispatchers may borrow from each other if
    ``can_borrow`` is set.
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
        """Return all slots together."""
        return sum(sum(instances) for _, instances in self.groups)


@dataclass(slots=True)
class Result:
    """What became of the requests."""

    arrived: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refusal_ms: list[float] = field(default_factory=list)
    wait_ms: dict[str, list[float]] = field(default_factory=dict)
    total_ms: dict[str, list[float]] = field(default_factory=dict)

    @property
    def missed_share(self) -> float:
        """Return the share of requests without an answer in time."""
        return 1.0 - self.in_time / max(1, self.arrived)


class Model:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._events = EventQueue()
        self._requests: dict[str, QueuedRequest] = {}
        self._running: dict[str, int] = {}
        self._lender: dict[str, int] = {}
        self.result = Result()
        self._dispatchers = [
            self._make_dispatcher(number, instances)
            for number, (_, instances) in enumerate(scenario.groups)
        ]

    def run(self) -> Result:
        """Run to the end and return the outcomes."""
        self._schedule_arrival()
        for number in range(len(self._dispatchers)):
            self._events.after(TICK_MS, lambda number=number: self._tick(number))
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
            others = range(len(self._scenario.groups))
            remotes = frozenset(str(n) for n in others if n != number)
            dispatcher.set_remote_data_centers(remotes)
        return dispatcher

    def _schedule_arrival(self) -> None:
        scenario = self._scenario
        rate_per_ms = (
            scenario.load(self._events.now_ms) * scenario.slots / scenario.run_ms
        )
        gap_ms = self._rng.expovariate(rate_per_ms)
        if self._events.now_ms + gap_ms < scenario.length_ms:
            self._events.after(gap_ms, self._arrive)

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
        waiting = QueuedRequest(
            request_id, str(number), tenant, "c", deadline_ms, self._events.now_ms
        )
        self._requests[request_id] = waiting
        self._events.after(LOCAL_MS, lambda: self._ask(number, waiting))
        self._schedule_arrival()

    def _ask(self, number: int, waiting: QueuedRequest) -> None:
        effects = self._dispatchers[number].submit(waiting, self._events.now_ms)
        self._perform(number, effects)

    def _tick(self, number: int) -> None:
        self._perform(number, self._dispatchers[number].tick(self._events.now_ms))
        end_ms = self._scenario.length_ms + 10 * self._scenario.deadline_ms
        if self._events.now_ms < end_ms:
            self._events.after(TICK_MS, lambda: self._tick(number))

    def _perform(self, number: int, effects: list[Effect]) -> None:
        for effect in effects:
            self._perform_one(number, effect)

    def _perform_one(self, number: int, effect: Effect) -> None:
        match effect:
            case SendGrant(_, request_id, offer):
                self._events.after(LOCAL_MS, lambda: self._start(request_id, offer))
            case SendRefusal(_, request_id, _, _):
                request = self._requests.pop(request_id)
                self.result.refused += 1
                waited_ms = self._events.now_ms + LOCAL_MS - request.arrived_ms
                self.result.refusal_ms.append(waited_ms)
            case BorrowSlots(data_center, ask_id, count, remaining_ms):
                self._events.after(
                    REMOTE_MS,
                    lambda: self._lend(
                        int(data_center), number, ask_id, count, remaining_ms
                    ),
                )
            case LendSlots(borrower, ask_id, offers):
                self._events.after(
                    REMOTE_MS,
                    lambda: self._take(int(borrower), number, ask_id, offers),
                )
            case ReturnOffer(lender, permit_id):
                self._events.after(
                    REMOTE_MS,
                    lambda: self._release(
                        int(lender), permit_id, RunResult.UNUSED, 0.0
                    ),
                )
            case ProbeLoad(vm_id, _):
                effects = self._dispatchers[number].record_load(
                    vm_id, self._running[vm_id], False, self._events.now_ms
                )
                self._perform(number, effects)

    def _lend(
        self, lender: int, borrower: int, ask_id: int, count: int, remaining_ms: float
    ) -> None:
        effects = self._dispatchers[lender].lend_slots(
            str(borrower), ask_id, count, remaining_ms, self._events.now_ms
        )
        self._perform(lender, effects)

    def _take(
        self, borrower: int, lender: int, ask_id: int, offers: tuple[Offer, ...]
    ) -> None:
        effects = self._dispatchers[borrower].accept_offers(
            str(lender), ask_id, offers, self._events.now_ms
        )
        self._perform(borrower, effects)

    def _start(self, request_id: str, offer: Offer) -> None:
        request = self._requests.pop(request_id)
        waits = self.result.wait_ms.setdefault(request.tenant, [])
        waits.append(self._events.now_ms - request.arrived_ms)
        run_ms = self._rng.expovariate(1.0 / self._scenario.run_ms)
        self._running[offer.vm_id] += 1
        self._events.after(run_ms, lambda: self._finish(request, offer, run_ms))

    def _finish(self, request: QueuedRequest, offer: Offer, run_ms: float) -> None:
        self._running[offer.vm_id] -= 1
        totals = self.result.total_ms.setdefault(request.tenant, [])
        totals.append(self._events.now_ms - request.arrived_ms)
        if self._events.now_ms <= request.deadline_ms:
            self.result.in_time += 1
        else:
            self.result.late += 1
        lender = int(offer.lender)
        is_local = offer.lender == request.member
        self._events.after(
            LOCAL_MS if is_local else REMOTE_MS,
            lambda: self._release(lender, offer.permit_id, RunResult.COMPLETED, run_ms),
        )

    def _release(
        self, number: int, permit_id: str, result: RunResult, run_ms: float
    ) -> None:
        effects = self._dispatchers[number].release(
            permit_id, result, run_ms, self._events.now_ms
        )
        self._perform(number, effects)
