"""Tasks that no worker of their pool can take, though its load shows room for them."""

from collections import Counter
from dataclasses import replace

import pytest
from schedulers import (
    NOW_MS,
    QUEUE,
    add_worker,
    make_job,
    make_scheduler,
    report,
    running,
    starts,
)

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.maintenance import PoolVm, VmCondition
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.sizing import (
    MoveVm,
    PoolNeed,
    plan_moves,
    pool_capacities,
)
from corianderpitch.domain.scheduling.stranded import (
    MAX_PLACED_TASKS,
    Places,
    find_places,
)
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import ServiceName, VmId, WorkerId

STANDBY = ServiceName("rest")
POOL = QUEUE.service


def lasting(count, processors, **changes):
    return Step(count, Shape(processors, 100), 0.0, is_lasting=True, **changes)


def places_of(scheduler):
    capacities = pool_capacities(scheduler.workers.values())
    return find_places(scheduler, capacities, 0.0).get(POOL, Places())


def started(steps, workers=("w1", "w2"), processors=4.0):
    """Return a scheduler in whose pool lasting tasks are at work."""
    scheduler = make_scheduler(workers, processors)
    for number, step in enumerate(steps):
        scheduler.add_job(make_job(f"j{number}", [step]))
        for order in starts(scheduler):
            scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
    for name, worker in scheduler.workers.items():
        report(scheduler, name, [running(run) for run in worker.runs.values()])
    return scheduler


def moves(scheduler, standby=("a",), coming=(), need=(2, 2, 2)):
    """Return the moves in a pool that seems to have a worker to spare."""
    vms = {
        w.info.vm: PoolVm(w.info.vm, POOL, VmCondition.UP, w.info.worker)
        for w in scheduler.workers.values()
    }
    for number, label in enumerate(standby):
        vm = VmId(f"off-{number}")
        vms[vm] = PoolVm(vm, STANDBY, VmCondition.UP, None, (label, "r9"))
    for number, label in enumerate(coming):
        vm = VmId(f"moving-{number}")
        vms[vm] = PoolVm(vm, POOL, VmCondition.MOVING, None, (label, "r9"))
    planned = {w.info.vm: None for w in scheduler.workers.values() if w.is_evacuating}
    places = {POOL: places_of(scheduler)}
    return plan_moves(
        vms,
        scheduler.workers,
        {POOL: PoolNeed(*need)},
        frozenset((STANDBY,)),
        planned,
        places,
    )


def test_an_idle_worker_is_kept_for_the_tasks_of_one_that_is_to_be_emptied():
    """It was moved away while a lasting task was being stopped for it."""
    scheduler = started([lasting(4, 2.0)])
    add_worker(scheduler, "w3")
    assert moves(scheduler) == [MoveVm(VmId("vm-w3"), STANDBY)]
    scheduler.workers[WorkerId("w1")].is_evacuating = True
    assert places_of(scheduler) == Places(frozenset((WorkerId("w3"),)))
    assert moves(scheduler) == []


def test_a_worker_that_cannot_be_emptied_brings_another_one():
    """It stayed marked for forty seconds and took no task meanwhile."""
    scheduler = started([lasting(4, 2.0)])
    scheduler.workers[WorkerId("w1")].is_evacuating = True
    assert places_of(scheduler) == Places(missing=Counter([""]))
    assert moves(scheduler, need=(1, 1, 1)) == [MoveVm(VmId("off-0"), POOL)]


def test_a_vm_that_is_on_its_way_is_not_ordered_twice():
    scheduler = started([lasting(4, 2.0)])
    scheduler.workers[WorkerId("w1")].is_evacuating = True
    assert moves(scheduler, coming=("a",), need=(1, 1, 1)) == []


def test_a_lasting_task_that_fits_nowhere_brings_a_worker():
    """By the sum of the reservations the pool had room for it, and so it waited."""
    scheduler = started([lasting(2, 2.5)])
    scheduler.add_job(make_job("a", [lasting(1, 2.0)]))
    assert starts(scheduler) == []
    assert places_of(scheduler) == Places(missing=Counter([""]))


def test_a_limit_per_worker_brings_a_worker():
    scheduler = make_scheduler(("w1", "w2"))
    scheduler.add_job(make_job("a", [lasting(3, 1.0, max_per_worker=1)]))
    assert len(starts(scheduler)) == 2
    assert places_of(scheduler).missing == Counter([""])


def test_a_task_that_is_larger_than_any_worker_brings_none():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job("a", [lasting(2, 5.0)]))
    assert places_of(scheduler) == Places()


@pytest.mark.parametrize("is_lasting", [False, True], ids=["timed", "lasting"])
def test_a_label_that_was_moved_away_is_brought_back(is_lasting):
    """An accepted job waited for good: the VMs of its kind were switched off."""
    scheduler = make_scheduler(("w1", "w2"))
    step = Step(2, Shape(1.0, 100), 100.0, is_lasting=is_lasting, label="b")
    scheduler.add_job(make_job("a", [step]))
    assert starts(scheduler) == []
    assert moves(scheduler, standby=("a", "b"), need=(3, 3, 3)) == [
        MoveVm(VmId("off-1"), POOL)
    ]
    assert moves(scheduler, standby=("a", "b"), coming=("b",), need=(3, 3, 3)) == []
    assert moves(scheduler, standby=("a",), coming=("a",), need=(3, 3, 3)) == []


def test_the_last_worker_with_a_label_is_kept_while_a_lasting_task_waits_for_it():
    scheduler = make_scheduler(("w1", "w2", "w3"))
    info = scheduler.workers[WorkerId("w3")].info
    scheduler.set_worker(replace(info, labels=("b", "r1")), NOW_MS)
    scheduler.workers[WorkerId("w3")].backoff_until_ms = NOW_MS + 1000.0
    scheduler.add_job(make_job("a", [lasting(1, 1.0, label="b")]))
    assert starts(scheduler) == []
    moved = {move.vm for move in moves(scheduler)}
    assert moved == {VmId("vm-w1")}


def test_tasks_that_wait_for_room_of_their_pool_are_left_to_its_size():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job("a", [Step(9, Shape(2.0, 100), 100.0)]))
    starts(scheduler)
    assert places_of(scheduler) == Places()


def test_a_job_of_any_size_costs_little():
    """Callers choose how many tasks a step has: most are not looked at."""
    scheduler = make_scheduler(("w1",))
    steps = [lasting(10_000_000, 4.0), lasting(10_000_000, 4.0, label="b")]
    scheduler.add_job(make_job("a", steps))
    assert places_of(scheduler).missing.total() <= MAX_PLACED_TASKS
