"""Simulates pools that lend VMs against the daemon's own decisions.

The daemon's dispatcher serves the single queue of each pool, and the daemon's lender
decides which VMs move. A VM that moves is out of service for ``move_ms``. The demand
of one queue after the other rises to five times its mean for some seconds and falls
to a twentieth of its mean in between, as the users describe.
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from corianderpitch.domain.dispatch import DispatchPolicy, ServiceDispatcher
from corianderpitch.domain.effects import (
    Effect,
    Offer,
    ProbeLoad,
    SendGrant,
    SendRefusal,
)
from corianderpitch.domain.fairqueue import QueuedRequest
from corianderpitch.domain.lending import (
    Lender,
    LendingPolicy,
    LendVm,
    PoolDemand,
    ReturnLentVm,
)
from corianderpitch.domain.slots import InstanceSpec, RunResult
from corianderpitch_standins.events import EventQueue

SLOTS_PER_VM = 8
TICK_MS = 10.0
LENDING_INTERVAL_MS = 200.0
PEAK_FACTOR = 5.0
TROUGH_FACTOR = 0.05


@dataclass(frozen=True)
class LendingScenario:
    """Pools, their demand, and the policy for lending VMs.

    The spare pool is the last; ``load`` is the mean demand of each other pool
    as a share of its own slots. No VMs are lent if ``policy`` is ``None``.
    """

    policy: LendingPolicy | None
    pools: int = 5
    vms_per_pool: int = 6
    load: float = 0.35
    peak_ms: float = 8_000.0
    length_ms: float = 300_000.0
    run_ms: float = 100.0
    deadline_ms: float = 1000.0
    move_ms: float = 2_000.0

    def demand(self, pool: int, now_ms: float) -> float:
        """Return a pool's demand now, as a multiple of its mean."""
        if pool == self.pools - 1:
            return TROUGH_FACTOR
        peaking = int(now_ms // self.peak_ms) % (self.pools - 1)
        return PEAK_FACTOR if peaking == pool else TROUGH_FACTOR


@dataclass
class LendingResult:
    """Requests that arrived and were answered in time, moves, and idle VM hours."""

    arrived: int = 0
    in_time: int = 0
    moves: int = 0
    idle_vm_hours: float = 0.0

    @property
    def missed_share(self) -> float:
        """Return the share of requests that were not answered in time."""
        return 1.0 - self.in_time / max(1, self.arrived)


class LendingModel:
    """One run of a scenario."""

    def __init__(self, scenario: LendingScenario, seed: int):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._events = EventQueue()
        self._pool_of: dict[str, int] = {}
        self._moving: set[str] = set()
        self._home_pool: dict[str, int] = {}
        self._running: dict[str, int] = {}
        self._requests: dict[str, QueuedRequest] = {}
        self._request_numbers = itertools.count()
        self.result = LendingResult()
        policy = scenario.policy
        self._lender = Lender(policy, 0.0) if policy else None
        self._dispatchers = [self._make_dispatcher(n) for n in range(scenario.pools)]

    def run(self) -> LendingResult:
        """Run to the end and return the outcomes."""
        for pool in range(self._scenario.pools):
            self._schedule_arrival(pool)
        self._events.schedule(TICK_MS, self._tick)
        self._events.schedule(LENDING_INTERVAL_MS, self._run_lending_round)
        self._events.run()
        return self.result

    def _make_dispatcher(self, pool: int) -> ServiceDispatcher:
        dispatcher = ServiceDispatcher(
            str(pool), f"p{pool}", frozenset(), DispatchPolicy(), 0.0, self._rng
        )
        for number in range(self._scenario.vms_per_pool):
            vm_id = f"vm{pool}-{number}"
            self._pool_of[vm_id] = self._home_pool[vm_id] = pool
            self._running[vm_id] = 0
        dispatcher.update_instances(self._instance_specs(pool), 0.0)
        for spec in self._instance_specs(pool):
            dispatcher.record_load(spec.vm_id, 0, False, 0.0)
        return dispatcher

    def _instance_specs(self, pool: int) -> list[InstanceSpec]:
        return [
            InstanceSpec(vm, vm, SLOTS_PER_VM, vm not in self._moving)
            for vm, owner in self._pool_of.items()
            if owner == pool
        ]

    def _schedule_arrival(self, pool: int) -> None:
        """Draw the next arrival by thinning a process of the peak rate."""
        scenario = self._scenario
        slots = scenario.vms_per_pool * SLOTS_PER_VM
        peak_rate = PEAK_FACTOR * scenario.load * slots / scenario.run_ms
        gap_ms = self._rng.expovariate(peak_rate)
        if self._events.now_ms + gap_ms < scenario.length_ms:
            self._events.schedule(gap_ms, lambda: self._arrive(pool))

    def _arrive(self, pool: int) -> None:
        now_ms = self._events.now_ms
        if self._rng.random() < self._scenario.demand(pool, now_ms) / PEAK_FACTOR:
            self.result.arrived += 1
            request_id = f"r{next(self._request_numbers)}"
            deadline_ms = now_ms + self._scenario.deadline_ms
            queued_request = QueuedRequest(
                request_id, str(pool), "t", "c", deadline_ms, now_ms
            )
            self._requests[request_id] = queued_request
            self._apply_effects(
                pool, self._dispatchers[pool].submit(queued_request, now_ms)
            )
        self._schedule_arrival(pool)

    def _tick(self) -> None:
        for pool, dispatcher in enumerate(self._dispatchers):
            self._apply_effects(pool, dispatcher.tick(self._events.now_ms))
        if self._events.now_ms < self._scenario.length_ms + 2000.0:
            self._events.schedule(TICK_MS, self._tick)

    def _apply_effects(self, pool: int, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendGrant(_, request_id, offer):
                    request = self._requests.pop(request_id)
                    run_ms = self._rng.expovariate(1.0 / self._scenario.run_ms)
                    self._running[offer.vm_id] += 1
                    self._events.schedule(
                        run_ms,
                        lambda r=request, o=offer, t=run_ms: self._finish_run(
                            pool, r, o, t
                        ),
                    )
                case SendRefusal(_, request_id, _, _):
                    del self._requests[request_id]
                case ProbeLoad(vm_id, _):
                    more = self._dispatchers[pool].record_load(
                        vm_id, self._running[vm_id], False, self._events.now_ms
                    )
                    self._apply_effects(pool, more)

    def _finish_run(
        self, pool: int, request: QueuedRequest, offer: Offer, run_ms: float
    ) -> None:
        self._running[offer.vm_id] -= 1
        if self._events.now_ms <= request.deadline_ms:
            self.result.in_time += 1
        effects = self._dispatchers[pool].release(
            offer.permit_id, RunResult.COMPLETED, run_ms, self._events.now_ms
        )
        self._apply_effects(pool, effects)

    def _run_lending_round(self) -> None:
        scenario = self._scenario
        idle = sum(
            1 for vm in self._pool_of if self._running[vm] == 0 or vm in self._moving
        )
        self.result.idle_vm_hours += idle * LENDING_INTERVAL_MS / 3_600_000.0
        if self._lender is not None:
            self._apply_lending()
        if self._events.now_ms < scenario.length_ms:
            self._events.schedule(LENDING_INTERVAL_MS, self._run_lending_round)

    def _apply_lending(self) -> None:
        spare = self._scenario.pools - 1
        demands = [self._pool_demand(pool) for pool in range(spare)]
        move = self._lender.decide(
            demands, self._pool_demand(spare), self._events.now_ms
        )
        match move:
            case LendVm(pool):
                self._move_vm(spare, int(pool), lambda vm: True)
            case ReturnLentVm(pool):
                self._move_vm(int(pool), spare, lambda vm: self._home_pool[vm] == spare)

    def _pool_demand(self, pool: int) -> PoolDemand:
        pool_vms = [v for v, p in self._pool_of.items() if p == pool]
        active = [vm for vm in pool_vms if vm not in self._moving]
        dispatcher = self._dispatchers[pool]
        needed = dispatcher.ledger.held_slots() + dispatcher.queue_length
        spare = self._scenario.pools - 1
        lent = sum(1 for vm in active if self._home_pool[vm] == spare and pool != spare)
        return PoolDemand(str(pool), len(active), SLOTS_PER_VM, needed, lent)

    def _move_vm(
        self, source: int, target: int, is_eligible: Callable[[str], bool]
    ) -> None:
        """Drain the eligible VM with the fewest runs and move it to another pool."""
        candidates = [
            vm
            for vm, pool in self._pool_of.items()
            if pool == source and vm not in self._moving and is_eligible(vm)
        ]
        if not candidates:
            return
        vm = min(candidates, key=lambda v: self._running[v])
        self._moving.add(vm)
        self.result.moves += 1
        self._update_instances(source)
        self._finish_move_when_drained(vm, source, target)

    def _finish_move_when_drained(self, vm: str, source: int, target: int) -> None:
        if self._running[vm]:
            self._events.schedule(
                TICK_MS, lambda: self._finish_move_when_drained(vm, source, target)
            )
            return
        self._pool_of[vm] = target
        self._update_instances(source)
        self._events.schedule(
            self._scenario.move_ms, lambda: self._finish_move(vm, target)
        )

    def _finish_move(self, vm: str, target: int) -> None:
        self._moving.discard(vm)
        self._update_instances(target)

    def _update_instances(self, pool: int) -> None:
        dispatcher = self._dispatchers[pool]
        effects = dispatcher.update_instances(
            self._instance_specs(pool), self._events.now_ms
        )
        self._apply_effects(pool, effects)
