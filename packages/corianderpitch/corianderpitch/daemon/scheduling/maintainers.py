"""Runs maintenance waves and moves VMs between pools, during a term."""

from collections.abc import Callable
from dataclasses import dataclass

import eventlet

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.scheduling.catalogs import CatalogTask
from corianderpitch.daemon.scheduling.vmorders import LIST_INTERVAL_MS, VmOrders
from corianderpitch.daemon.scheduling.wavereports import WaveReports
from corianderpitch.domain.scheduling.arrivals import ArrivalForecast
from corianderpitch.domain.scheduling.maintenance import (
    ORDER_RETRY_INTERVAL_MS,
    MaintainVm,
    WaveProgress,
    plan_wave,
)
from corianderpitch.domain.scheduling.planning import backlogged_services
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.sizing import (
    DemandWindow,
    MoveVm,
    plan_moves,
    pool_capacities,
    pool_loads,
    pool_needs,
)
from corianderpitch.domain.scheduling.stranded import find_places
from corianderpitch.ids import ServiceName, VmId, WorkerId
from corianderpitch.ports import VmOrderResult

ROUND_INTERVAL_S = 0.1
LOAD_RETRY_S = 0.2
ORDER_LATENCY_MS = 14.0  # typical time from sending an order to its answer

log = logger("maintenance")


def max_concurrent_orders(orders_per_s: float) -> int:
    """Return how many orders may be in flight without exceeding a rate.

    The result is at least 1.

    >>> max_concurrent_orders(64.0), max_concurrent_orders(215.0)
    (1, 3)
    """
    return max(1, int(orders_per_s * ORDER_LATENCY_MS / 1000.0))


@dataclass(slots=True)
class PendingMove:
    """A move that was ordered and that is not confirmed yet.

    Neither the order's answer nor the list of VMs has shown its result.
    """

    pool: ServiceName
    asked_ms: float


class MaintenanceTask:
    """Decides in rounds which VMs are evacuated, maintained and moved.

    Parameters
    ----------
    orders : VmOrders
        Lists the VMs and sends the orders.
    reports : WaveReports
        Tell operators the progress of waves.
    catalogs : CatalogTask
        Provides the waves and pools.
    scheduler : Scheduler
        Holds the workers; those on VMs to be emptied are marked as evacuated.
    clock : Clock
        Measures intervals and deadlines.
    wake : callable
        Requests a planning round.
    orders_per_s : float
        How many orders about VMs the platform's service accepts per second.
    """

    def __init__(
        self,
        orders: VmOrders,
        reports: WaveReports,
        catalogs: CatalogTask,
        scheduler: Scheduler,
        clock: Clock,
        wake: Callable[[], None],
        orders_per_s: float,
    ):
        self._orders_per_s = orders_per_s
        self._orders = orders
        self._reports = reports
        self._catalogs = catalogs
        self._scheduler = scheduler
        self._clock = clock
        self._wake = wake
        self._waves: dict[int, WaveProgress] = {}
        self._moves: dict[VmId, PendingMove] = {}
        self._refused: set[MoveVm] = set()
        self._ending_workers: dict[VmId, WorkerId] = {}
        self._demand = DemandWindow()
        self._arrivals = ArrivalForecast()
        self._ended_workers: set[WorkerId] = set()

    def run(self) -> None:
        """Run waves and moves until the thread is killed."""
        while True:
            if not self._orders.load():
                eventlet.sleep(LOAD_RETRY_S)
                continue
            self._update_waves()
            if self._orders.refresh():
                self._detect_ended_workers(self._orders.listed_ms)
                self._drop_finished_moves()
                self._update_ending_workers()
                for wave in self._waves.values():
                    wave.update_finished(self._orders.vms)
            if self._orders.vms:
                self._run_round()
            eventlet.sleep(ROUND_INTERVAL_S)

    def _update_waves(self) -> None:
        for number, order in self._catalogs.waves.items():
            wave = self._waves.get(number)
            if wave is None:
                log.info(
                    "Wave added.",
                    wave=number,
                    vms=len(order.vms),
                    cap=order.max_concurrent,
                )
                due_ms = self._orders.wave_due_ms(number, order.deadline_ms)
                begun = self._orders.begun.get(number, set())
                self._waves[number] = WaveProgress(order, due_ms, set(begun))
            elif wave.order.version != order.version:
                wave.order = order
                wave.is_completed = False

    def _run_round(self) -> None:
        now_ms = self._clock.now_ms()
        standby = self._standby_pools()
        maintains, evacuating = self._plan_waves(standby, now_ms)
        maintained = {order.vm for order in maintains}
        moves = self._moves_to_repeat(now_ms)
        moves += self._plan_moves(standby, evacuating, maintained, now_ms)
        for vm in {move.vm for move in moves} | set(self._moves):
            listed = self._orders.vms.get(vm)
            if listed is not None and listed.worker is not None:
                evacuating.add(listed.worker)
        self._mark_evacuated(evacuating | set(self._ending_workers.values()))
        targets = {order.vm for order in maintains} | {move.vm for move in moves}
        if (targets or not self._orders.is_recorded) and self._orders.record_intent(
            targets
        ):
            self._send_orders(maintains, moves)

    def _send_orders(self, maintains: list[MaintainVm], moves: list[MoveVm]) -> None:
        """Send orders concurrently, as many as the service's rate allows."""
        pool = eventlet.GreenPool(max_concurrent_orders(self._orders_per_s))
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
                thread.kill()  # no order may be sent after the end of the term

    def _plan_waves(
        self, standby: frozenset[ServiceName], now_ms: float
    ) -> tuple[list[MaintainVm], set[WorkerId]]:
        """Return the orders of all waves, at most one a VM, and the workers to empty.

        Orders of a round are sent side by side, so that two orders about one VM could
        arrive with the lower fence number last.
        """
        evacuating: set[WorkerId] = set()
        orders: list[MaintainVm] = []
        pressed = backlogged_services(self._scheduler)
        recently_ordered, busy = self._orders.held_by_predecessor(), self._orders.busy()
        vms = {v: vm for v, vm in self._orders.vms.items() if v not in self._moves}
        for wave in self._waves.values():
            if wave.is_completed:
                continue
            steps, workers = plan_wave(
                wave,
                vms,
                self._scheduler.workers,
                standby,
                pressed,
                recently_ordered,
                now_ms,
            )
            taken = busy | {order.vm for order in orders}
            orders += [order for order in steps if order.vm not in taken]
            evacuating |= workers
            is_begun = not wave.remaining_vms(self._orders.vms)
            is_completed = is_begun and self._orders.is_recorded
            is_reported = self._reports.report(wave.order.number, is_completed)
            if is_completed and is_reported:
                wave.is_completed = True
                log.info("Wave completed.", wave=wave.order.number)
        return orders, evacuating

    def _moves_to_repeat(self, now_ms: float) -> list[MoveVm]:
        busy = self._orders.busy()
        return [
            MoveVm(vm, move.pool)
            for vm, move in self._moves.items()
            if now_ms - move.asked_ms >= ORDER_RETRY_INTERVAL_MS and vm not in busy
        ]

    def _plan_moves(
        self,
        standby: frozenset[ServiceName],
        evacuating: set[WorkerId],
        maintained: set[VmId],
        now_ms: float,
    ) -> list[MoveVm]:
        loads = pool_loads(
            self._scheduler, self._arrivals, now_ms, self._clock.wall_ms()
        )
        needs = pool_needs(loads, self._demand, now_ms)
        vms = self._orders.vms
        fixed_pools: dict[VmId, ServiceName | None] = {
            vm: move.pool for vm, move in self._moves.items()
        }
        for wave in self._waves.values():
            in_flight = wave.ordered_ms.keys() - wave.started_vms
            fixed_pools |= {vm: None for vm in in_flight}
        fixed_pools |= {vm: None for vm in maintained}
        fixed_pools |= {v: None for v, vm in vms.items() if vm.worker in evacuating}
        unavailable = self._orders.held_by_predecessor() | self._orders.busy()
        fixed_pools |= {vm: vms[vm].pool for vm in unavailable if vm in vms}
        capacities = pool_capacities(self._scheduler.workers.values())
        places = find_places(self._scheduler, capacities, self._clock.wall_ms())
        moves = plan_moves(
            vms, self._scheduler.workers, needs, standby, fixed_pools, places
        )
        return [move for move in moves if move not in self._refused]

    def _detect_ended_workers(self, asked_ms: float) -> None:
        """Find the silent workers whose processes have ended, from the list of VMs.

        A VM names its worker's process while the process runs, even if the worker
        cannot be reached. Workers added later than ``LIST_INTERVAL_MS`` before the
        list was requested are skipped.
        """
        running = {vm.worker for vm in self._orders.vms.values()}
        known_workers = self._scheduler.workers
        ended = [
            worker_id
            for worker_id, worker in known_workers.items()
            if worker.is_silent
            and worker_id not in running
            and worker.known_since_ms < asked_ms - LIST_INTERVAL_MS
        ]
        ended += [w for w in self._scheduler.awaiting_report if w not in running]
        if ended:
            self._scheduler.mark_terminated(ended, asked_ms)
            self._wake()
        newly_ended = sorted(set(ended) - self._ended_workers)
        if newly_ended:
            log.info("Workers have ended.", workers=newly_ended, at_ms=round(asked_ms))
        self._ended_workers = set(ended)

    def _drop_finished_moves(self) -> None:
        """Drop moves that the list of VMs shows, and those of unlisted VMs."""
        for vm_id, move in list(self._moves.items()):
            vm = self._orders.vms.get(vm_id)
            if vm is None or vm.pool == move.pool:
                del self._moves[vm_id]

    def _update_ending_workers(self) -> None:
        """Drop workers that are gone, or serve on as their order had no effect.

        An order that was carried out before is confirmed without any effect.
        """
        for vm_id, worker_id in list(self._ending_workers.items()):
            vm = self._orders.vms.get(vm_id)
            serves_on = vm is not None and vm.worker == worker_id
            if serves_on or worker_id not in self._scheduler.workers:
                del self._ending_workers[vm_id]

    def _note_ending_worker(self, vm: VmId, worker: WorkerId | None) -> None:
        """Note that a worker ends with a confirmed order about its VM.

        It stays listed for a while. Until then nothing may be started on it, and its
        end is no crash.
        """
        if worker is not None:
            self._ending_workers[vm] = worker

    def _worker_on(self, vm_id: VmId) -> WorkerId | None:
        vm = self._orders.vms.get(vm_id)
        return vm.worker if vm is not None else None

    def _standby_pools(self) -> frozenset[ServiceName]:
        catalog = self._catalogs.catalog
        pools = catalog.pools.values() if catalog is not None else ()
        return frozenset(pool.name for pool in pools if pool.is_standby)

    def _mark_evacuated(self, evacuating: set[WorkerId]) -> None:
        for worker_id, worker in self._scheduler.workers.items():
            is_marked = worker_id in evacuating
            if worker.is_evacuating != is_marked:
                worker.is_evacuating = is_marked
                log.info("Evacuation changed.", worker=worker_id, begins=is_marked)
                self._wake()

    def _maintain(self, order: MaintainVm) -> None:
        wave = self._waves[order.wave]
        was_ordered = order.vm in wave.ordered_ms
        wave.ordered_ms[order.vm] = self._clock.now_ms()
        worker = self._worker_on(order.vm)
        match self._orders.maintain(order.vm, order.wave):
            case VmOrderResult.DONE:
                self._note_ending_worker(order.vm, worker)
                wave.started_vms.add(order.vm)
                self._orders.mark_begun(order.wave, order.vm)
            case VmOrderResult.REFUSED:
                del wave.ordered_ms[order.vm]
            case VmOrderResult.BUSY | VmOrderResult.NOT_SENT if not was_ordered:
                del wave.ordered_ms[order.vm]

    def _move(self, move: MoveVm) -> None:
        """Order a move; a move without an answer stays pending and is repeated."""
        was_ordered = move.vm in self._moves
        self._moves[move.vm] = PendingMove(move.pool, self._clock.now_ms())
        worker = self._worker_on(move.vm)
        match self._orders.move(move.vm, move.pool):
            case VmOrderResult.DONE:
                self._note_ending_worker(move.vm, worker)
                del self._moves[move.vm]
            case VmOrderResult.REFUSED:
                self._refused.add(move)
                del self._moves[move.vm]
            case VmOrderResult.BUSY | VmOrderResult.NOT_SENT if not was_ordered:
                del self._moves[move.vm]
