"""Carries out maintenance waves and moves between pools, within a tenure."""

from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.scheduling.catalogs import CatalogTask
from corianderpitch.daemon.scheduling.vmorders import LIST_INTERVAL_MS, VmOrders
from corianderpitch.domain.scheduling.maintenance import (
    REPEAT_MS,
    MaintainVm,
    WaveProgress,
    next_steps,
)
from corianderpitch.domain.scheduling.planning import pressed_services
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.sizing import (
    DemandWindow,
    MoveVm,
    plan_moves,
    pool_loads,
    pool_needs,
)
from corianderpitch.ids import ServiceName, VmId, WorkerId
from corianderpitch.ports import OperatorRows, VmOrderResult

ROUND_S = 0.1
LOAD_RETRY_S = 0.2
ORDER_TIME_MS = 14.0  # from sending an order to its answer, as a rule

log = logger("maintenance")


def orders_at_once(orders_per_s: float) -> int:
    """Return how many orders may be under way without passing a rate.

    >>> orders_at_once(64.0), orders_at_once(215.0)
    (1, 3)
    """
    return max(1, int(orders_per_s * ORDER_TIME_MS / 1000.0))


@dataclass(slots=True)
class PendingMove:
    """A move whose order got no answer, and that the list does not show yet."""

    pool: ServiceName
    asked_ms: float


class MaintenanceTask:
    """Decides in rounds which VMs are emptied, maintained and moved."""

    def __init__(
        self,
        orders: VmOrders,
        operators: OperatorRows,
        catalogs: CatalogTask,
        scheduler: Scheduler,
        clock: Clock,
        wake: Callable[[], None],
        orders_per_s: float,
    ):
        self._orders_per_s = orders_per_s
        self._orders = orders
        self._operators = operators
        self._catalogs = catalogs
        self._scheduler = scheduler
        self._clock = clock
        self._wake = wake
        self._waves: dict[int, WaveProgress] = {}
        self._moves: dict[VmId, PendingMove] = {}
        self._refused: set[MoveVm] = set()
        self._demand = DemandWindow()
        self._gone: set[WorkerId] = set()

    def run(self) -> None:
        """Carry waves and moves out until killed."""
        while True:
            if not self._orders.load():
                eventlet.sleep(LOAD_RETRY_S)
                continue
            self._take_waves()
            if self._orders.refresh():
                self._take_gone(self._orders.listed_ms)
                self._take_moves()
            if self._orders.vms:
                self._round()
            eventlet.sleep(ROUND_S)

    def _take_waves(self) -> None:
        for number, order in self._catalogs.waves.items():
            known = self._waves.get(number)
            if known is None:
                log.info(
                    "Wave.", wave=number, vms=len(order.vms), cap=order.max_concurrent
                )
                due_ms = self._clock.now_ms() + order.deadline_ms
                begun = self._orders.begun.get(number, set())
                self._waves[number] = WaveProgress(order, due_ms, set(begun))
                self._report(number, False)
            elif known.order.version != order.version:
                known.order = order
                known.is_completed = False

    def _report(self, wave: int, is_completed: bool) -> bool:
        """Tell operators how far a wave has come; returns whether they know."""
        match self._operators.report_wave(wave, is_completed):
            case Success(_):
                return True
            case Failure(error):
                log.warning("Wave not reported.", wave=wave, cause=repr(error))
        return False

    def _round(self) -> None:
        now_ms = self._clock.now_ms()
        standby = self._standby()
        maintains, emptying = self._plan_waves(standby, now_ms)
        moves = self._moves_to_repeat(now_ms)
        moves += self._plan_moves(standby, emptying, now_ms)
        for vm in {move.vm for move in moves} | set(self._moves):
            known = self._orders.vms.get(vm)
            if known is not None and known.worker is not None:
                emptying.add(known.worker)
        self._mark(emptying)
        named = {order.vm for order in maintains} | {move.vm for move in moves}
        if (named or not self._orders.is_written) and self._orders.announce(named):
            self._carry_out(maintains, moves)

    def _carry_out(self, maintains: list[MaintainVm], moves: list[MoveVm]) -> None:
        """Send orders side by side, as many as the service's rate allows."""
        pool = eventlet.GreenPool(orders_at_once(self._orders_per_s))
        threads: list[eventlet.greenthread.GreenThread] = []
        try:
            for order in maintains:
                threads.append(pool.spawn(self._maintain, order))
            for move in moves:
                threads.append(pool.spawn(self._move, move))
            for thread in threads:
                thread.wait()
        finally:
            for thread in threads:
                thread.kill()  # a tenure that ends gives no more orders

    def _plan_waves(
        self, standby: frozenset[ServiceName], now_ms: float
    ) -> tuple[list[MaintainVm], set[WorkerId]]:
        emptying: set[WorkerId] = set()
        orders: list[MaintainVm] = []
        pressed = pressed_services(self._scheduler)
        held_back, busy = self._orders.held_back(), self._orders.busy()
        vms = {v: vm for v, vm in self._orders.vms.items() if v not in self._moves}
        for wave in self._waves.values():
            if wave.is_completed:
                continue
            steps, workers = next_steps(
                wave, vms, self._scheduler.workers, standby, pressed, held_back, now_ms
            )
            orders += [order for order in steps if order.vm not in busy]
            emptying |= workers
            if not wave.left(self._orders.vms) and self._report(
                wave.order.number, True
            ):
                wave.is_completed = True
                log.info("Wave completed.", wave=wave.order.number)
        return orders, emptying

    def _moves_to_repeat(self, now_ms: float) -> list[MoveVm]:
        return [
            MoveVm(vm, move.pool)
            for vm, move in self._moves.items()
            if now_ms - move.asked_ms >= REPEAT_MS
        ]

    def _plan_moves(
        self, standby: frozenset[ServiceName], emptying: set[WorkerId], now_ms: float
    ) -> list[MoveVm]:
        loads = pool_loads(self._scheduler, now_ms, self._clock.wall_ms())
        needs = pool_needs(loads, self._demand, now_ms)
        vms = self._orders.vms
        bound: dict[VmId, ServiceName | None] = {
            vm: move.pool for vm, move in self._moves.items()
        }
        for wave in self._waves.values():
            under_way = wave.asked_ms.keys() - wave.begun
            bound |= {vm: None for vm in under_way}
        bound |= {v: None for v, vm in vms.items() if vm.worker in emptying}
        kept = self._orders.held_back() | self._orders.busy()
        bound |= {vm: vms[vm].pool for vm in kept if vm in vms}
        moves = plan_moves(vms, self._scheduler.workers, needs, standby, bound)
        return [move for move in moves if move not in self._refused]

    def _take_gone(self, asked_ms: float) -> None:
        """Conclude from the list of VMs which silent workers have ended.

        A VM names its worker's process while that lives, also when nobody
        reaches it. Workers that came after the list was asked for are left out.
        """
        live = {vm.worker for vm in self._orders.vms.values()}
        known = self._scheduler.workers
        gone = [
            worker_id
            for worker_id, worker in known.items()
            if worker.is_silent
            and worker_id not in live
            and worker.since_ms < asked_ms - LIST_INTERVAL_MS
        ]
        gone += [w for w in self._scheduler.unheard if w not in live]
        if gone:
            self._scheduler.take_gone(gone)
            self._wake()
        fresh = sorted(set(gone) - self._gone)
        if fresh:
            log.info("Workers have ended.", workers=fresh, at_ms=round(asked_ms))
        self._gone = set(gone)

    def _take_moves(self) -> None:
        """Forget moves that the list shows, and those of VMs that are gone."""
        for vm_id, move in list(self._moves.items()):
            vm = self._orders.vms.get(vm_id)
            if vm is None or vm.pool == move.pool:
                del self._moves[vm_id]

    def _standby(self) -> frozenset[ServiceName]:
        catalog = self._catalogs.catalog
        pools = catalog.pools.values() if catalog is not None else ()
        return frozenset(pool.name for pool in pools if pool.is_standby)

    def _mark(self, emptying: set[WorkerId]) -> None:
        for worker_id, worker in self._scheduler.workers.items():
            is_marked = worker_id in emptying
            if worker.is_evacuated != is_marked:
                worker.is_evacuated = is_marked
                log.info("Emptying.", worker=worker_id, begins=is_marked)
                self._wake()

    def _maintain(self, order: MaintainVm) -> None:
        wave = self._waves[order.wave]
        was_asked = order.vm in wave.asked_ms
        wave.asked_ms[order.vm] = self._clock.now_ms()
        match self._orders.maintain(order.vm, order.wave):
            case VmOrderResult.DONE:
                wave.begun.add(order.vm)
                self._orders.note_begun(order.wave, order.vm)
            case VmOrderResult.REFUSED:
                del wave.asked_ms[order.vm]
            case VmOrderResult.BUSY | VmOrderResult.NOT_SENT if not was_asked:
                del wave.asked_ms[order.vm]

    def _move(self, move: MoveVm) -> None:
        """Order a move; one without an answer is repeated until it is settled."""
        was_asked = move.vm in self._moves
        self._moves[move.vm] = PendingMove(move.pool, self._clock.now_ms())
        match self._orders.move(move.vm, move.pool):
            case VmOrderResult.DONE:
                del self._moves[move.vm]
            case VmOrderResult.REFUSED:
                self._refused.add(move)
                del self._moves[move.vm]
            case VmOrderResult.BUSY | VmOrderResult.NOT_SENT if not was_asked:
                del self._moves[move.vm]
