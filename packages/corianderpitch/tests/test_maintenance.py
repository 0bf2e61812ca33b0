"""Maintenance waves: which VMs count as down, and when a wave is due."""

from schedulers import NOW_MS, QUEUE

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.rows import (
    VmOrdersRecord,
    pack_vm_orders,
    unpack_vm_orders,
)
from corianderpitch.daemon.scheduling.vmorders import VmOrders
from corianderpitch.domain.scheduling.catalog import WaveOrder
from corianderpitch.domain.scheduling.maintenance import (
    PoolVm,
    VmCondition,
    WaveProgress,
    plan_wave,
)
from corianderpitch.ids import ServiceName, VmId

STANDBY = ServiceName("rest")


def make_standby_vms(count, condition=VmCondition.UP):
    names = [VmId(f"rest{n}") for n in range(count)]
    return {name: PoolVm(name, STANDBY, condition, None) for name in names}


def make_wave(vms, cap, length_ms=25_000.0):
    order = WaveOrder(1, tuple(vms), length_ms, cap, 1)
    return WaveProgress(order, due_ms=NOW_MS + length_ms)


def test_a_vm_that_moves_after_its_maintenance_does_not_count_as_down():
    """VMs that moved between pools took the places of a wave, which came to a halt."""
    vms = make_standby_vms(3)
    wave = make_wave(vms, 1)
    first = VmId("rest0")
    wave.ordered_ms[first] = NOW_MS
    wave.started_vms.add(first)
    wave.update_finished(vms)
    vms[first] = PoolVm(first, QUEUE.service, VmCondition.MOVING, None)
    orders, _ = plan_wave(wave, vms, {}, {STANDBY}, set(), set(), NOW_MS + 5000.0)
    assert [order.vm for order in orders] == ["rest1"]


def test_a_wave_is_due_at_the_same_time_after_a_takeover():
    """Each new holder counted the wave's deadline from its own first sight of it."""
    clock = ManualClock(1000.0)
    store = MemoryRowStore(clock)
    first = VmOrders("e1", None, store, None, None, clock, 3000.0, 2000.0)
    due_ms = first.wave_due_ms(1, 25_000.0)
    record = unpack_vm_orders(pack_vm_orders(VmOrdersRecord(due_ms=first._wave_due_ms)))
    clock.advance(9000.0)
    successor = VmOrders("e2", None, store, None, None, clock, 3000.0, 2000.0)
    successor._wave_due_ms = record.due_ms
    assert successor.wave_due_ms(1, 25_000.0) == due_ms
