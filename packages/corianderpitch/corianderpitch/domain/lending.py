"""Lending of VMs from the spare pool to pools under sustained pressure.

A pool is under pressure while its requests need at least ``pressure_share`` of
its slots. A pool with lent VMs is slack while its requests need at most
``slack_share`` of the slots that it would have with one VM less. Either
condition must hold for a minimum time before a VM moves. A token bucket limits
the moves, because each move takes a VM out of service for a while.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from corianderpitch.ids import PoolName, ServiceName

HOUR_MS = 3_600_000.0


@dataclass(frozen=True, slots=True)
class LendingPolicy:
    """Thresholds of lending.

    ``pressure_share`` and ``slack_share`` are ratios of the slots that requests
    need to the slots that a pool has. A VM moves only after the condition has
    held for ``pressure_hold_ms`` or ``slack_hold_ms``.
    """

    pressure_share: float = 1.0
    slack_share: float = 0.5
    pressure_hold_ms: float = 1_000.0
    slack_hold_ms: float = 120_000.0
    max_moves_per_hour: float = 300.0


@dataclass(frozen=True, slots=True)
class ServiceNeed:
    """Slots that the running and waiting requests of a service need.

    It covers one data centre.
    """

    service: ServiceName
    slots: int


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """A pool's current capacity and demand.

    ``needed_slots`` is the number of running and waiting requests. ``lent_vms``
    is the number of the pool's VMs that belong to the spare pool.
    """

    pool: PoolName
    vms: int
    slots_per_vm: int
    needed_slots: int
    lent_vms: int

    @property
    def slots(self) -> int:
        """Return the number of slots of the whole pool."""
        return self.vms * self.slots_per_vm


@dataclass(frozen=True, slots=True)
class LendVm:
    """Move one VM from the spare pool to ``pool``."""

    pool: PoolName


@dataclass(frozen=True, slots=True)
class ReturnLentVm:
    """Move one lent VM from ``pool`` back to the spare pool."""

    pool: PoolName


LendingMove = LendVm | ReturnLentVm


class Lender:
    """Decides when a VM is lent to a pool and when it is returned."""

    def __init__(self, policy: LendingPolicy, now_ms: float):
        self.policy = policy
        self._pressure_since_ms: dict[PoolName, float] = {}
        self._slack_since_ms: dict[PoolName, float] = {}
        # A full bucket would let the first peak use up the whole burst.
        self._move_tokens = 1.0
        self._refilled_ms = now_ms

    def decide(
        self, demands: Iterable[PoolDemand], spare: PoolDemand, now_ms: float
    ) -> LendingMove | None:
        """Return the next move if one is due; the caller must perform it."""
        self._refill(now_ms)
        by_pool = {demand.pool: demand for demand in demands}
        self._observe(by_pool, now_ms)
        if self._move_tokens < 1.0:
            return None
        move = self._next_lend(by_pool, spare, now_ms) or self._next_return(
            by_pool, now_ms
        )
        if move is not None:
            self._move_tokens -= 1.0
            self._pressure_since_ms.pop(move.pool, None)
            self._slack_since_ms.pop(move.pool, None)
        return move

    def _refill(self, now_ms: float) -> None:
        accrued = (now_ms - self._refilled_ms) * self.policy.max_moves_per_hour
        self._move_tokens = min(
            self._max_tokens(), self._move_tokens + accrued / HOUR_MS
        )
        self._refilled_ms = now_ms

    def _max_tokens(self) -> float:
        """Return the largest burst of moves: a tenth of the moves of an hour."""
        return max(1.0, self.policy.max_moves_per_hour / 10.0)

    def _observe(self, by_pool: Mapping[PoolName, PoolDemand], now_ms: float) -> None:
        """Update the time since which each pool is under pressure or slack."""
        for pool, demand in by_pool.items():
            is_under_pressure = demand.needed_slots >= (
                self.policy.pressure_share * demand.slots
            )
            _update_since(self._pressure_since_ms, pool, is_under_pressure, now_ms)
            remaining_slots = (demand.vms - 1) * demand.slots_per_vm
            is_slack = demand.lent_vms > 0 and demand.needed_slots <= (
                self.policy.slack_share * remaining_slots
            )
            _update_since(self._slack_since_ms, pool, is_slack, now_ms)

    def _next_lend(
        self,
        by_pool: Mapping[PoolName, PoolDemand],
        spare: PoolDemand,
        now_ms: float,
    ) -> LendVm | None:
        remaining_slots = (spare.vms - 1) * spare.slots_per_vm
        if spare.vms == 0 or spare.needed_slots > remaining_slots:
            return None
        due = [
            pool
            for pool, since_ms in self._pressure_since_ms.items()
            if pool in by_pool and now_ms - since_ms >= self.policy.pressure_hold_ms
        ]
        if not due:
            return None
        neediest = max(due, key=lambda p: by_pool[p].needed_slots)
        return LendVm(neediest)

    def _next_return(
        self, by_pool: Mapping[PoolName, PoolDemand], now_ms: float
    ) -> ReturnLentVm | None:
        for pool, since_ms in sorted(self._slack_since_ms.items()):
            has_lasted = now_ms - since_ms >= self.policy.slack_hold_ms
            if has_lasted and pool in by_pool:
                return ReturnLentVm(pool)
        return None


def _update_since(
    since_ms: dict[PoolName, float], pool: PoolName, holds: bool, now_ms: float
) -> None:
    if holds:
        since_ms.setdefault(pool, now_ms)
    else:
        since_ms.pop(pool, None)
