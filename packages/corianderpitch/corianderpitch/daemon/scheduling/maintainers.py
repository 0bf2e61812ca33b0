"""Carries out operators' maintenance waves, within a scheduler's tenure."""

from collections.abc import Callable

import eventlet
from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.catalogs import CatalogTask
from corianderpitch.domain.scheduling.maintenance import (
    MaintainVm,
    PoolVm,
    WaveProgress,
    next_steps,
)
from corianderpitch.domain.scheduling.planning import pressed_services
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.ids import EntryId, ServiceName, VmId, WorkerId
from corianderpitch.ports import OperatorRows, VmOrderResult, VmPools

LIST_INTERVAL_MS = 400.0
ROUND_S = 0.1
HOLDER_CHANGE_SLACK_MS = 500.0
ROLE_MARGIN_MS = 500.0

log = logger("maintenance")


class MaintenanceTask:
    """Empties VMs in turn and has them maintained.

    A new holder first waits until orders of its predecessor are out of the way.
    """

    def __init__(
        self,
        entry: EntryId,
        pools: VmPools,
        operators: OperatorRows,
        catalogs: CatalogTask,
        scheduler: Scheduler,
        role: RoleLease,
        clock: Clock,
        holder_change_ms: float,
        role_lease_ms: float,
        wake: Callable[[], None],
    ):
        self._entry = entry
        self._pools = pools
        self._operators = operators
        self._catalogs = catalogs
        self._scheduler = scheduler
        self._role = role
        self._clock = clock
        self._role_lease_ms = role_lease_ms
        self._wake = wake
        self._waves: dict[int, WaveProgress] = {}
        self._vms: dict[VmId, PoolVm] = {}
        self._listed_ms = -LIST_INTERVAL_MS
        self._first_order_ms = clock.now_ms()
        if scheduler.term.number > 1:
            self._first_order_ms += holder_change_ms + HOLDER_CHANGE_SLACK_MS

    def run(self) -> None:
        """Carry waves out until killed."""
        while True:
            self._take_waves()
            self._list_if_needed()
            if any(not wave.is_completed for wave in self._waves.values()):
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
                self._waves[number] = WaveProgress(order, due_ms)
                self._operators.report_wave(number, False)
            elif known.order.version != order.version:
                known.order = order
                known.is_completed = False

    def _round(self) -> None:
        now_ms = self._clock.now_ms()
        emptying: set[WorkerId] = set()
        orders: list[MaintainVm] = []
        standby = self._standby()
        pressed = pressed_services(self._scheduler)
        for wave in self._waves.values():
            if wave.is_completed:
                continue
            steps, workers = next_steps(
                wave,
                self._vms,
                self._scheduler.workers,
                standby,
                pressed,
                now_ms,
            )
            orders += steps
            emptying |= workers
            if not wave.left(self._vms):
                self._complete(wave)
        self._mark(emptying)
        if now_ms >= self._first_order_ms:
            for order in orders:
                self._order(order)

    def _list_if_needed(self) -> None:
        """Ask for the VMs while a wave is under way or a worker does not answer."""
        now_ms = self._clock.now_ms()
        is_needed = (
            any(not wave.is_completed for wave in self._waves.values())
            or any(worker.is_silent for worker in self._scheduler.workers.values())
            or bool(self._scheduler.unheard)
        )
        if not is_needed or now_ms - self._listed_ms < LIST_INTERVAL_MS:
            return
        self._listed_ms = now_ms
        match self._pools.list_vms():
            case Success(vms):
                self._vms = {vm.vm: vm for vm in vms}
                self._take_gone(now_ms)

    def _take_gone(self, asked_ms: float) -> None:
        """Conclude from the list of VMs which silent workers have ended.

        A VM names its worker's process while that lives, also when nobody
        reaches it. Workers that came after the list was asked for are left out.
        """
        live = {vm.worker for vm in self._vms.values()}
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
            log.info("Workers have ended.", workers=sorted(gone), at_ms=round(asked_ms))
            self._scheduler.take_gone(gone)
            self._wake()

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

    def _order(self, order: MaintainVm) -> None:
        wave = self._waves[order.wave]
        if not self._may_order(order):
            return
        wave.asked_ms[order.vm] = self._clock.now_ms()
        fence = self._scheduler.term.fence
        result = self._pools.maintain(order.vm, order.wave, self._entry, fence)
        log.info(
            "Maintain.", vm=order.vm, wave=order.wave, fence=fence, result=result.value
        )
        match result:
            case VmOrderResult.DONE:
                wave.begun.add(order.vm)
                self._listed_ms = -LIST_INTERVAL_MS
            case VmOrderResult.SUPERSEDED:
                self._scheduler.is_superseded = True
            case VmOrderResult.NO_ANSWER:
                pass
            case _:
                del wave.asked_ms[order.vm]

    def _may_order(self, order: MaintainVm) -> bool:
        """Check once more, right before the order, that nothing would be harmed."""
        if self._role.renewed_age_ms > self._role_lease_ms - ROLE_MARGIN_MS:
            return False
        worker_id = self._vms[order.vm].worker
        worker = self._scheduler.workers.get(worker_id) if worker_id else None
        return worker is None or not worker.runs

    def _complete(self, wave: WaveProgress) -> None:
        """Tell operators that every VM that stays has had its maintenance."""
        if not self._vms:
            return
        match self._operators.report_wave(wave.order.number, True):
            case Success(_):
                wave.is_completed = True
                log.info("Wave completed.", wave=wave.order.number)
