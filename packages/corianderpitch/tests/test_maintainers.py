"""Orders about VMs: limited concurrency, and no orders after the end of a term."""

import eventlet
import pytest
from schedulers import QUEUE, make_job, make_scheduler, starts

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.maintainers import MaintenanceTask, PendingMove
from corianderpitch.domain.scheduling.catalog import ServicePool, WaveOrder
from corianderpitch.domain.scheduling.maintenance import (
    ORDER_RETRY_INTERVAL_MS,
    MaintainVm,
    PoolVm,
    VmCondition,
)
from corianderpitch.domain.scheduling.sizing import MoveVm
from corianderpitch.ids import ServiceName, VmId, WorkerId
from corianderpitch.ports import VmOrderResult

ANSWER_S = 0.02


class SlowOrders:
    """Completes each move after a delay and counts the moves in flight."""

    def __init__(self):
        self.in_flight = 0
        self.max_in_flight = 0
        self.vms = {}
        self.moved = []

    def move(self, vm, pool):
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            eventlet.sleep(ANSWER_S)
        finally:
            self.in_flight -= 1
        self.moved.append(vm)
        return VmOrderResult.DONE


STANDBY = ServiceName("rest")
VM = VmId("vm0")


class RecordingOrders:
    """Records the orders about one standby VM, and gives each the same result."""

    def __init__(self):
        self.result = VmOrderResult.NO_ANSWER
        self.vms = {VM: PoolVm(VM, STANDBY, VmCondition.UP, None)}
        self.begun = {}
        self.is_recorded = True
        self.is_store_away = False
        self.held = set()
        self.sent = []

    def held_by_predecessor(self):
        return self.held

    def busy(self):
        return set()

    def wave_due_ms(self, wave, deadline_ms):
        return deadline_ms

    def record_intent(self, vms):
        return not self.is_store_away

    def maintain(self, vm, wave):
        self.sent.append(vm)
        return self.result

    def move(self, vm, pool):
        self.sent.append(vm)
        return self.result

    def mark_begun(self, wave, vm):
        self.begun.setdefault(wave, set()).add(vm)


class Reports:
    """Accepts reports of waves, and keeps the last one of each."""

    def __init__(self):
        self.is_completed = {}

    def report(self, wave, is_completed):
        self.is_completed[wave] = is_completed
        return True


class Catalogs:
    """Provides waves, and a catalog with one standby pool."""

    def __init__(self, waves):
        self.waves = {n: WaveOrder(n, (VM,), 60_000.0, 1) for n in waves}
        self.catalog = self
        self.pools = {STANDBY: ServicePool(STANDBY, True)}


def make_task(orders, orders_per_s):
    clock = ManualClock(1000.0)
    return MaintenanceTask(
        orders, None, None, make_scheduler(), clock, lambda: None, orders_per_s
    )


MOVES = [MoveVm(VmId(f"vm{n}"), ServiceName("s")) for n in range(12)]


@pytest.mark.parametrize(
    ("orders_per_s", "max_concurrent"), [(0.0, 1), (64.0, 1), (310.0, 4)]
)
def test_moves_are_sent_concurrently_as_the_rate_allows(orders_per_s, max_concurrent):
    orders = SlowOrders()
    make_task(orders, orders_per_s)._send_orders([], MOVES)
    assert orders.max_in_flight == max_concurrent
    assert sorted(orders.moved) == sorted(move.vm for move in MOVES)


def test_no_order_is_sent_after_the_task_was_killed():
    orders = SlowOrders()
    task = make_task(orders, 310.0)
    thread = eventlet.spawn(task._send_orders, [], MOVES)
    eventlet.sleep(1.5 * ANSWER_S)
    thread.kill()
    eventlet.sleep(2 * ANSWER_S)
    assert orders.in_flight == 0
    assert 0 < len(orders.moved) < len(MOVES)


def run_rounds(orders, waves, count=1):
    """Run rounds of a task with these waves, and return the task."""
    task = make_task(orders, 310.0)
    task._catalogs = Catalogs(waves)
    task._reports = Reports()
    task._update_waves()
    for _ in range(count):
        task._run_round()
    return task


@pytest.mark.parametrize("waves", [(1,), (1, 2)], ids=["wave and move", "two waves"])
def test_orders_about_a_vm_are_not_sent_side_by_side(waves):
    # They arrived with the lower fence number last.
    orders = RecordingOrders()
    run_rounds(orders, waves)
    assert orders.sent == [VM]


@pytest.mark.parametrize("waves", [(), (1,)], ids=["move", "wave"])
def test_a_vm_with_a_recent_order_of_a_predecessor_is_not_ordered(waves):
    orders = RecordingOrders()
    orders.held = {VM}
    task = run_rounds(orders, waves)
    assert orders.sent == []
    orders.held = set()
    task._run_round()
    assert orders.sent == [VM]


def test_a_move_without_an_answer_is_not_repeated_while_the_vm_is_busy():
    # The repeat went out 0.1 s after the first was given up, and could overtake it.
    orders = RecordingOrders()
    task = make_task(orders, 64.0)
    task._moves[VM] = PendingMove(ServiceName("s"), 0.0)
    orders.busy = lambda: {VM}
    assert task._moves_to_repeat(5000.0) == []
    orders.busy = set
    assert task._moves_to_repeat(5000.0) == [MoveVm(VM, ServiceName("s"))]


@pytest.mark.parametrize("waves", [(), (1,)], ids=["move", "wave"])
def test_no_order_is_sent_if_the_vms_could_not_be_recorded(waves):
    orders = RecordingOrders()
    orders.is_store_away = True
    task = run_rounds(orders, waves)
    assert orders.sent == []
    orders.is_store_away = False
    task._run_round()
    assert orders.sent == [VM]


def test_a_wave_does_not_order_a_vm_with_a_pending_move():
    # The move may still be carried out, with the lower fence number, after the wave's.
    orders = RecordingOrders()
    task = run_rounds(orders, ())
    assert orders.sent == [VM]
    task._catalogs = Catalogs((1,))
    task._update_waves()
    task._run_round()
    assert orders.sent == [VM]


def test_a_vm_is_not_moved_while_the_order_of_a_wave_is_unanswered():
    orders = RecordingOrders()
    run_rounds(orders, (1,), count=2)
    assert orders.sent == [VM]


def test_a_vm_stays_evacuated_until_its_maintenance_is_confirmed():
    # A task was started on it, which the maintenance ended or which held up the wave.
    orders = RecordingOrders()
    orders.vms = {VM: PoolVm(VM, QUEUE.service, VmCondition.UP, WorkerId("w1"))}
    task = run_rounds(orders, (1,), count=2)
    assert orders.sent == [VM]
    worker = task._scheduler.workers[WorkerId("w1")]
    task._run_round()
    assert worker.is_evacuating
    task._scheduler.add_job(make_job())
    assert [order.worker for order in starts(task._scheduler)] == [WorkerId("w2")]
    orders.result = VmOrderResult.DONE
    task._clock.advance(ORDER_RETRY_INTERVAL_MS)
    task._run_round()
    assert orders.begun == {1: {VM}}
    task._run_round()
    assert task._waves[1].is_completed
    task._update_ending_workers()  # the list shows that it serves on
    task._run_round()
    assert not worker.is_evacuating


@pytest.mark.parametrize("is_wave", [True, False], ids=["maintenance", "move"])
def test_no_task_is_started_on_a_worker_whose_vm_was_ordered_away(is_wave):
    # It ended with the VM at once, as if the task had crashed its worker, and a job
    # was given up for two such ends.
    worker_id = WorkerId("w1")
    orders = RecordingOrders()
    orders.vms = {VM: PoolVm(VM, QUEUE.service, VmCondition.UP, worker_id)}
    orders.result = VmOrderResult.DONE
    task = run_rounds(orders, (), count=0)
    task._catalogs = Catalogs((1,))
    task._update_waves()
    if is_wave:
        task._maintain(MaintainVm(VM, 1))
    else:
        task._move(MoveVm(VM, STANDBY))
    orders.vms = {VM: PoolVm(VM, STANDBY, VmCondition.MOVING, None)}
    task._update_ending_workers()
    task._run_round()
    worker = task._scheduler.workers[worker_id]
    assert worker.is_leaving
    task._scheduler.add_job(make_job())
    assert [order.worker for order in starts(task._scheduler)] == [WorkerId("w2")]
    del task._scheduler.workers[worker_id]
    task._update_ending_workers()
    assert not task._ending_workers


def test_a_wave_is_reported_as_completed_only_once_its_progress_is_recorded():
    # A successor that did not find the progress reported it as running again.
    orders = RecordingOrders()
    orders.result = VmOrderResult.DONE
    task = run_rounds(orders, (1,))
    orders.is_recorded = False
    task._run_round()
    assert task._reports.is_completed == {1: False}
    orders.is_recorded = True
    task._run_round()
    assert task._reports.is_completed == {1: True}


def test_an_exception_in_an_order_is_raised():
    orders = SlowOrders()
    orders.move = lambda vm, pool: 1 / 0
    with pytest.raises(ZeroDivisionError):
        make_task(orders, 310.0)._send_orders([], MOVES)
