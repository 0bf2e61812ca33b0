"""Lending of VMs from the spare pool to pools under lasting pressure.

A pool is under pressure while its requests need more than a share of its
slots, and slack while they would need less than a share of what is left without
one VM. Both must last before a VM moves, and moves are limited by a budget, for
every move takes a VM out of service for a while.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from corianderpitch.ids import PoolName, ServiceName

HOUR_MS = 3_600_000.0


@dataclass(frozen=True, slots=True)
class LendingPolicy:
    """Thresholds of lending.

    ``pressure_share`` and ``slack_share`` compare the slots needed with the
    slots there are; each must hold for its time before a VM moves.
    """

    pressure_share: float = 1.0
    slack_share: float = 0.5
    pressure_hold_ms: float = 1_000.0
    slack_hold_ms: float = 120_000.0
    max_moves_per_hour: float = 300.0


@dataclass(frozen=True, slots=True)
class ServiceNeed:
    """Requests of a service that run or wait in one data centre."""

    service: ServiceName
    slots: int


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """What a pool has and needs now.

    ``needed_slots`` counts running and waiting requests; ``lent_vms`` are the
    pool's VMs that came from the spare pool.
    """

    pool: PoolName
    vms: int
    slots_per_vm: int
    needed_slots: int
    lent_vms: int

    @property
    def slots(self) -> int:
        """Return the pool's slots."""
        return self.vms * self.slots_per_vm


@dataclass(frozen=True, slots=True)
class Lend:
    """Move one VM from the spare pool to ``pool``."""

    pool: PoolName


@dataclass(frozen=True, slots=True)
class TakeBack:
    """Move one lent VM from ``pool`` back to the spare pool."""

    pool: PoolName


LendingMove = Lend | TakeBack


class Lender:
    """Decides when a VM is lent and when it is taken back."""

    def __init__(self, policy: LendingPolicy, now_ms: float):
        self.policy = policy
        self._pressed_since_ms: dict[PoolName, float] = {}
        self._slack_since_ms: dict[PoolName, float] = {}
        self._moves_left = 1.0  # a burst would go to whichever peak comes first
        self._refilled_ms = now_ms

    def decide(
        self, demands: Iterable[PoolDemand], spare: PoolDemand, now_ms: float
    ) -> LendingMove | None:
        """Return the next move, if one is due; the caller carries it out."""
        self._refill(now_ms)
        by_pool = {demand.pool: demand for demand in demands}
        self._observe(by_pool, now_ms)
        if self._moves_left < 1.0:
            return None
        move = self._next_lend(by_pool, spare, now_ms) or self._next_return(
            by_pool, now_ms
        )
        if move is not None:
            self._moves_left -= 1.0
            self._pressed_since_ms.pop(move.pool, None)
            self._slack_since_ms.pop(move.pool, None)
        return move

    def _refill(self, now_ms: float) -> None:
        earned = (now_ms - self._refilled_ms) * self.policy.max_moves_per_hour
        self._moves_left = min(self._burst(), self._moves_left + earned / HOUR_MS)
        self._refilled_ms = now_ms

    def _burst(self) -> float:
        """Return how many moves may be made at once: a tenth of an hour's."""
        return max(1.0, self.policy.max_moves_per_hour / 10.0)

    def _observe(self, by_pool: Mapping[PoolName, PoolDemand], now_ms: float) -> None:
        """Note since when each pool has been under pressure or slack."""
        for pool, demand in by_pool.items():
            is_pressed = demand.needed_slots >= (
                self.policy.pressure_share * demand.slots
            )
            _mark(self._pressed_since_ms, pool, is_pressed, now_ms)
            left_slots = (demand.vms - 1) * demand.slots_per_vm
            is_slack = demand.lent_vms > 0 and demand.needed_slots <= (
                self.policy.slack_share * left_slots
            )
            _mark(self._slack_since_ms, pool, is_slack, now_ms)

    def _next_lend(
        self,
        by_pool: Mapping[PoolName, PoolDemand],
        spare: PoolDemand,
        now_ms: float,
    ) -> Lend | None:
        left_slots = (spare.vms - 1) * spare.slots_per_vm
        if spare.vms == 0 or spare.needed_slots > left_slots:
            return None
        due = [
            pool
            for pool, since_ms in self._pressed_since_ms.items()
            if pool in by_pool and now_ms - since_ms >= self.policy.pressure_hold_ms
        ]
        if not due:
            return None
        most_pressed = max(due, key=lambda p: by_pool[p].needed_slots)
        return Lend(most_pressed)

    def _next_return(
        self, by_pool: Mapping[PoolName, PoolDemand], now_ms: float
    ) -> TakeBack | None:
        for pool, since_ms in sorted(self._slack_since_ms.items()):
            has_lasted = now_ms - since_ms >= self.policy.slack_hold_ms
            if has_lasted and pool in by_pool:
                return TakeBack(pool)
        return None


def _mark(
    since_ms: dict[PoolName, float], pool: PoolName, holds: bool, now_ms: float
) -> None:
    if holds:
        since_ms.setdefault(pool, now_ms)
    else:
        since_ms.pop(pool, None)
