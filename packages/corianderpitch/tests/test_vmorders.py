"""Orders about VMs: named in the store first, and left alone by a new holder."""

from returns.result import Failure, Success

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.vmorders import BUSY_REST_MS, VmOrders
from corianderpitch.domain.scheduling.catalog import WaveOrder
from corianderpitch.domain.scheduling.maintenance import (
    PoolVm,
    VmCondition,
    WaveProgress,
    next_steps,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler, Term
from corianderpitch.errors import OutcomeLost, PlatformUnavailable
from corianderpitch.ids import EntryId, ServiceName, VmId
from corianderpitch.ports import VmOrderResult, VmPools

POOL, REST = ServiceName("counter"), ServiceName("rest")
VM = VmId("vm1")
HOLDER_CHANGE_MS = 3000.0


class Pools(VmPools):
    """One VM, and the orders about it."""

    def __init__(self):
        self.fences = []
        self.result = VmOrderResult.DONE

    def list_vms(self):
        return Success((PoolVm(VM, POOL, VmCondition.UP, None),))

    def maintain(self, vm, wave, holder, fence):
        self.fences.append(fence)
        return self.result

    def move(self, vm, pool, holder, fence):
        self.fences.append(fence)
        return self.result


class Place:
    """A store, a clock and holders that follow each other."""

    def __init__(self):
        self.clock = ManualClock(10_000.0)
        self.store = MemoryRowStore(self.clock)
        self.pools = Pools()

    def holder(self, name):
        table = PartedTable(self.store)
        role = RoleLease("s", EntryId(name), table, self.clock, 500.0, 2000.0)
        while not role.seek():
            self.clock.advance(500.0)
        scheduler = Scheduler(Term(role.epoch, role.fence().version, 0.0))
        orders = VmOrders(
            EntryId(name),
            self.pools,
            self.store,
            scheduler,
            role,
            self.clock,
            HOLDER_CHANGE_MS,
            2000.0,
        )
        assert orders.load()
        assert orders.refresh()
        return orders


def test_an_order_is_sent_only_after_the_store_names_the_vm():
    place = Place()
    orders = place.holder("e1")
    assert orders.move(VM, REST) is VmOrderResult.NOT_SENT
    assert orders.announce([VM])
    assert orders.move(VM, REST) is VmOrderResult.DONE


def test_without_the_store_nothing_is_ordered():
    place = Place()
    orders = place.holder("e1")
    place.store.commit = lambda checks, writes: Failure(PlatformUnavailable("away"))
    assert not orders.announce([VM])
    assert orders.move(VM, REST) is VmOrderResult.NOT_SENT


def test_a_new_holder_leaves_a_vm_alone_that_was_just_ordered_about():
    place = Place()
    first = place.holder("e1")
    assert first.announce([VM])
    first.move(VM, REST)
    second = place.holder("e2")
    assert second.held_back() == {VM}
    place.clock.advance(HOLDER_CHANGE_MS)
    assert second.held_back() == set()


def test_each_order_has_a_higher_fence_number_also_across_holders():
    place = Place()
    first = place.holder("e1")
    assert first.announce([VM])
    first.move(VM, REST)
    first.move(VM, POOL)
    second = place.holder("e2")
    assert second.announce([VM])
    second.move(VM, REST)
    assert place.pools.fences == sorted(set(place.pools.fences))


def test_a_new_holder_knows_which_vms_had_their_maintenance():
    place = Place()
    first = place.holder("e1")
    assert first.announce([VM])
    first.maintain(VM, 1)
    first.note_begun(1, VM)
    assert not first.is_written
    assert first.announce([])
    assert place.holder("e2").begun == {1: {VM}}


def test_a_vm_just_ordered_away_counts_as_down_although_listing_fails():
    place = Place()
    orders = place.holder("e1")
    assert orders.announce([VM])
    orders.maintain(VM, 1)
    assert orders.vms[VM].condition is VmCondition.IN_MAINTENANCE


def test_what_a_predecessor_may_have_taken_down_counts_against_the_cap():
    vms = {VmId(name): PoolVm(VmId(name), REST, VmCondition.UP, None) for name in "abc"}
    wave = WaveProgress(WaveOrder(1, tuple(vms), 20_000.0, 1), due_ms=20_000.0)
    steps, _ = next_steps(wave, vms, {}, {REST}, set(), {VmId("a")}, 0.0)
    assert steps == []
    steps, _ = next_steps(wave, vms, {}, {REST}, set(), set(), 0.0)
    assert [step.vm for step in steps] == ["a"]


def test_a_vm_that_is_busy_is_left_alone_for_a_while():
    """It was asked every 0.15 s for 3 s, and no other VM in its place."""
    place = Place()
    orders = place.holder("e1")
    place.pools.result = VmOrderResult.BUSY
    assert orders.announce([VM])
    orders.move(VM, REST)
    assert orders.busy() == {VM}
    place.clock.advance(BUSY_REST_MS)
    assert orders.busy() == set()


def test_a_vm_stays_named_when_an_older_write_is_carried_out_late():
    """A successor would order about a VM that an order is under way to."""
    place = Place()
    orders = place.holder("e1")
    plain, late = place.store.commit, []

    def lose(checks, writes):
        late.append((checks, writes))
        return Failure(OutcomeLost("late"))

    place.store.commit = lose
    assert not orders.announce([])
    place.store.commit = plain
    assert orders.announce([VM])
    for checks, writes in late:
        plain(checks, writes)
    assert place.holder("e2").held_back() == {VM}
