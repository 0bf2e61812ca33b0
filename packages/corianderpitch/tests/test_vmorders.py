"""Orders about VMs: recorded in the store first, and respected by a new holder."""

import itertools
import math

import eventlet
import logbook
import pytest
from fakes import LaggingStore
from returns.result import Failure, Success
from schedulers import QUEUE, add_worker, make_job, starts

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.vmorders import (
    BUSY_BACKOFF_MS,
    MAX_INTENT_AGE_MS,
    VmOrders,
)
from corianderpitch.domain.scheduling.catalog import WaveOrder
from corianderpitch.domain.scheduling.maintenance import (
    PoolVm,
    VmCondition,
    WaveProgress,
    plan_wave,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.errors import OutcomeLost, PlatformUnavailable
from corianderpitch.ids import EntryId, ServiceName, VmId, WorkerId
from corianderpitch.ports import VmOrderResult, VmPools

POOL, STANDBY_POOL = ServiceName("counter"), ServiceName("rest")
VM = VmId("vm1")
HOLDER_CHANGE_MS = 3000.0


class Pools(VmPools):
    """Pools with one VM that record the orders about it as they arrive."""

    order_timeout_ms = 800.0

    def __init__(self, clock):
        self.clock = clock
        self.arrivals = []
        self.result = VmOrderResult.DONE
        self.worker = None
        self.delivery_ms = 0.0
        self.before_send = lambda: None

    @property
    def fences(self):
        return [fence for _, fence, _ in self.arrivals]

    def shortest_turn_ms(self):
        """Return the shortest time between orders of two holders."""
        pairs = itertools.pairwise(self.arrivals)
        turns = [b[2] - a[2] for a, b in pairs if a[0] != b[0]]
        return min(turns, default=math.inf)

    def list_vms(self):
        return Success((PoolVm(VM, POOL, VmCondition.UP, self.worker),))

    def maintain(self, vm, wave, holder, fence, may_send):
        return self._send(holder, fence, may_send)

    def move(self, vm, pool, holder, fence, may_send):
        return self._send(holder, fence, may_send)

    def _send(self, holder, fence, may_send):
        before_send, self.before_send = self.before_send, lambda: None
        before_send()
        if not may_send():
            return VmOrderResult.NOT_SENT
        arrival_ms = self.clock.now_ms() + self.delivery_ms
        self.arrivals.append((holder, fence, arrival_ms))
        return self.result


class Cluster:
    """A store, a clock and successive holders of the role."""

    def __init__(self):
        self.clock = ManualClock(10_000.0)
        self.store = MemoryRowStore(self.clock)
        self.pools = Pools(self.clock)

    def holder(self, name, store=None):
        table = PartitionedTable(self.store)
        role = RoleLease("s", EntryId(name), table, self.clock, 500.0, 2000.0)
        while not role.try_acquire():
            self.clock.advance(500.0)
        scheduler = Scheduler(Term(role.epoch, role.fence().version, 0.0))
        orders = VmOrders(
            EntryId(name),
            self.pools,
            store or self.store,
            scheduler,
            role,
            self.clock,
            HOLDER_CHANGE_MS,
            2000.0,
        )
        assert orders.load()
        assert orders.refresh()
        return orders


def test_an_order_is_sent_only_after_its_vm_is_recorded():
    cluster = Cluster()
    orders = cluster.holder("e1")
    assert orders.move(VM, STANDBY_POOL) is VmOrderResult.NOT_SENT
    assert orders.record_intent([VM])
    assert orders.move(VM, STANDBY_POOL) is VmOrderResult.DONE


def test_no_order_is_sent_while_the_store_does_not_answer():
    cluster = Cluster()
    orders = cluster.holder("e1")
    cluster.store.commit = lambda checks, writes: Failure(PlatformUnavailable("away"))
    assert not orders.record_intent([VM])
    assert orders.move(VM, STANDBY_POOL) is VmOrderResult.NOT_SENT


def test_a_new_holder_holds_back_a_vm_with_a_recent_order_of_its_predecessor():
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    first.move(VM, STANDBY_POOL)
    second = cluster.holder("e2")
    assert second.held_by_predecessor() == {VM}
    cluster.clock.advance(HOLDER_CHANGE_MS)
    assert second.held_by_predecessor() == set()


def order_once_allowed(cluster, orders):
    """Let a holder order the VM as soon as it may."""
    while VM in orders.held_by_predecessor():
        cluster.clock.advance(100.0)
        orders._role.renew()
    assert orders.record_intent([VM])
    assert orders.move(VM, POOL) is VmOrderResult.DONE


@pytest.mark.parametrize("delay_ms", [300.0, 600.0, 1200.0, 2400.0])
def test_two_holders_do_not_order_a_vm_in_turn_if_the_first_ordered_late(delay_ms):
    # In a long round, orders were sent seconds after the one time in their record.
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    for _ in range(int(delay_ms / 100.0)):
        cluster.clock.advance(100.0)
        first._role.renew()
    first.move(VM, STANDBY_POOL)
    first._role.release()
    order_once_allowed(cluster, cluster.holder("e2"))
    assert cluster.pools.shortest_turn_ms() >= HOLDER_CHANGE_MS


def test_two_holders_do_not_order_a_vm_in_turn_if_the_first_reads_the_store_late():
    # The record then held a time in the past, and its protection ended too early.
    cluster = Cluster()
    first = cluster.holder("e1", LaggingStore(cluster.store, 2500.0))
    assert first.record_intent([VM])
    first.move(VM, STANDBY_POOL)
    first._role.release()
    order_once_allowed(cluster, cluster.holder("e2"))
    assert cluster.pools.shortest_turn_ms() >= HOLDER_CHANGE_MS


@pytest.mark.parametrize("age_ms", [0.0, 500.0, 1200.0])
def test_two_holders_do_not_order_a_vm_in_turn_if_an_order_arrives_late(age_ms):
    # An order is sent some time after its record, and arrives some time after that.
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    cluster.clock.advance(age_ms)
    cluster.pools.delivery_ms = cluster.pools.order_timeout_ms
    result = first.move(VM, STANDBY_POOL)
    assert result is VmOrderResult.DONE or age_ms > MAX_INTENT_AGE_MS
    cluster.pools.delivery_ms = 0.0
    first._role.release()
    order_once_allowed(cluster, cluster.holder("e2"))
    assert cluster.pools.shortest_turn_ms() >= HOLDER_CHANGE_MS


def test_two_holders_do_not_order_a_vm_in_turn_if_the_second_expects_a_later_time():
    # The time of the store is known within bounds; its upper bound may be far ahead.
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    first.move(VM, STANDBY_POOL)
    first._role.release()
    store = LaggingStore(cluster.store, 0.0, lead_ms=2500.0)
    order_once_allowed(cluster, cluster.holder("e2", store))
    assert cluster.pools.shortest_turn_ms() >= HOLDER_CHANGE_MS


def test_a_record_of_the_next_holder_keeps_the_vms_that_its_predecessor_ordered():
    # The holder after the next ordered the VM within the lease of the first.
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    first.move(VM, STANDBY_POOL)
    first._role.release()
    second = cluster.holder("e2")
    assert second.record_intent([])
    second._role.release()
    order_once_allowed(cluster, cluster.holder("e3"))
    assert cluster.pools.shortest_turn_ms() >= HOLDER_CHANGE_MS


def test_a_record_keeps_an_order_that_has_arrived_until_a_successor_may_order():
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    first.move(VM, STANDBY_POOL)
    cluster.clock.advance(MAX_INTENT_AGE_MS + cluster.pools.order_timeout_ms + 1.0)
    assert first.record_intent([])
    first._role.release()
    order_once_allowed(cluster, cluster.holder("e2"))
    assert cluster.pools.shortest_turn_ms() >= HOLDER_CHANGE_MS


def test_no_order_is_sent_if_the_role_was_renewed_too_long_ago():
    cluster = Cluster()
    orders = cluster.holder("e1")
    cluster.clock.advance(1300.0)
    assert orders.record_intent([VM])
    cluster.clock.advance(201.0)
    assert orders.move(VM, STANDBY_POOL) is VmOrderResult.NOT_SENT
    assert orders._role.renew()
    assert orders.move(VM, STANDBY_POOL) is VmOrderResult.DONE


def test_no_order_is_sent_about_a_vm_on_which_a_task_runs():
    cluster = Cluster()
    cluster.pools.worker = WorkerId("w1")
    cluster.pools.result = VmOrderResult.REFUSED
    orders = cluster.holder("e1")
    scheduler = orders._scheduler
    scheduler.set_queues({QUEUE.name: QUEUE})
    add_worker(scheduler, "w1")
    assert orders.record_intent([VM])
    assert orders.maintain(VM, 1) is VmOrderResult.REFUSED
    scheduler.add_job(make_job())
    assert starts(scheduler)
    assert orders.maintain(VM, 1) is VmOrderResult.NOT_SENT


def test_an_order_is_not_sent_by_a_holder_that_was_frozen_before_its_send():
    # The check ran before the wait for a connection, and the order went out after it.
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    cluster.pools.before_send = lambda: order_once_allowed(
        cluster, cluster.holder("e2")
    )
    assert first.move(VM, STANDBY_POOL) is VmOrderResult.NOT_SENT
    assert cluster.pools.fences == sorted(cluster.pools.fences)


def test_an_order_is_not_sent_by_a_holder_that_has_lost_the_role_before_its_send():
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    cluster.pools.before_send = first._role.release
    assert first.move(VM, STANDBY_POOL) is VmOrderResult.NOT_SENT


def test_a_vm_whose_order_got_no_answer_gets_no_other_for_a_while():
    # An order of another wave could overtake the one that may still be carried out.
    cluster = Cluster()
    orders = cluster.holder("e1")
    assert orders.record_intent([VM])
    cluster.pools.result = VmOrderResult.NO_ANSWER
    orders.maintain(VM, 1)
    assert orders.busy() == {VM}
    cluster.clock.advance(BUSY_BACKOFF_MS)
    assert orders.busy() == set()


def test_an_order_that_the_end_of_the_term_interrupts_is_logged():
    # Of all orders, those right before a hand-over were missing in the log.
    cluster = Cluster()
    orders = cluster.holder("e1")
    assert orders.record_intent([VM])
    cluster.pools.before_send = lambda: eventlet.sleep(60.0)
    thread = eventlet.spawn(orders.move, VM, POOL)
    eventlet.sleep(0)
    with logbook.TestHandler().applicationbound() as handler:
        thread.kill()
    results = [r.kwargs["result"] for r in handler.records if "ordered" in r.message]
    assert results == [VmOrderResult.NO_ANSWER.value]


def test_fence_numbers_increase_with_each_order_also_across_holders():
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    first.move(VM, STANDBY_POOL)
    first.move(VM, POOL)
    second = cluster.holder("e2")
    assert second.record_intent([VM])
    second.move(VM, STANDBY_POOL)
    assert cluster.pools.fences == sorted(set(cluster.pools.fences))


def test_a_new_holder_loads_which_vms_had_their_maintenance():
    cluster = Cluster()
    first = cluster.holder("e1")
    assert first.record_intent([VM])
    first.maintain(VM, 1)
    first.mark_begun(1, VM)
    assert not first.is_recorded
    assert first.record_intent([])
    assert cluster.holder("e2").begun == {1: {VM}}


def test_a_vm_ordered_into_maintenance_counts_as_down_before_the_next_listing():
    cluster = Cluster()
    orders = cluster.holder("e1")
    assert orders.record_intent([VM])
    orders.maintain(VM, 1)
    assert orders.vms[VM].condition is VmCondition.IN_MAINTENANCE


def test_a_vm_that_a_predecessor_may_have_taken_down_counts_against_the_cap():
    vms = {
        VmId(name): PoolVm(VmId(name), STANDBY_POOL, VmCondition.UP, None)
        for name in "abc"
    }
    wave = WaveProgress(WaveOrder(1, tuple(vms), 20_000.0, 1), due_ms=20_000.0)
    steps, _ = plan_wave(wave, vms, {}, {STANDBY_POOL}, set(), {VmId("a")}, 0.0)
    assert steps == []
    steps, _ = plan_wave(wave, vms, {}, {STANDBY_POOL}, set(), set(), 0.0)
    assert [step.vm for step in steps] == ["a"]


def test_no_order_is_sent_about_a_busy_vm_for_a_while():
    """Guards against a holder that orders about a busy VM every 0.15 s for 3 s.

    No other VM was maintained or moved instead.
    """
    cluster = Cluster()
    orders = cluster.holder("e1")
    cluster.pools.result = VmOrderResult.BUSY
    assert orders.record_intent([VM])
    orders.move(VM, STANDBY_POOL)
    assert orders.busy() == {VM}
    cluster.clock.advance(BUSY_BACKOFF_MS)
    assert orders.busy() == set()


def test_a_vm_stays_recorded_when_an_older_write_is_applied_late():
    """A successor must not order about a VM while an earlier order is in flight."""
    cluster = Cluster()
    orders = cluster.holder("e1")
    original_commit, late = cluster.store.commit, []

    def defer(checks, writes):
        late.append((checks, writes))
        return Failure(OutcomeLost("late"))

    cluster.store.commit = defer
    assert not orders.record_intent([])
    cluster.store.commit = original_commit
    assert orders.record_intent([VM])
    for checks, writes in late:
        original_commit(checks, writes)
    assert cluster.holder("e2").held_by_predecessor() == {VM}
