"""Sizing of pools: single decisions, and a replay of queues that peak in turn."""

from dataclasses import replace

import pytest
from schedulers import NOW_MS, make_job, make_scheduler

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.arrivals import (
    ArrivalForecast,
    load_growth,
    steady_load,
)
from corianderpitch.domain.scheduling.maintenance import PoolVm, VmCondition
from corianderpitch.domain.scheduling.sizing import (
    DemandWindow,
    MoveVm,
    PoolLoad,
    PoolNeed,
    plan_moves,
    pool_loads,
)
from corianderpitch.domain.scheduling.workers import WorkerInfo, WorkerView
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import ServiceName, VmId, WorkerId
from corianderpitch_standins.loadreplay import ReplayPolicy, RotatingPeaks, replay

FULL, QUIET, STANDBY = (ServiceName(name) for name in ("full", "quiet", "rest"))


def make_pools(**workers):
    """Create VMs with idle workers, and two VMs of the standby pool."""
    vms, views = {}, {}
    for pool, count in workers.items():
        for number in range(count):
            vm, worker = VmId(f"{pool}-{number}"), WorkerId(f"w-{pool}-{number}")
            vms[vm] = PoolVm(vm, ServiceName(pool), VmCondition.UP, worker)
            shape, labels = Shape(16.0, 32_000), ("a", "r1")
            info = WorkerInfo(
                worker, ServiceName(pool), "", "here", shape, labels, vm, "1"
            )
            views[worker] = WorkerView(info, 0.0, incarnation="1")
    for number in range(2):
        vm = VmId(f"rest-{number}")
        vms[vm] = PoolVm(vm, STANDBY, VmCondition.UP, None)
    return vms, views


def moves(vms, views, needs, planned_vms=None):
    needs = {pool: PoolNeed(*need) for pool, need in needs.items()}
    return plan_moves(vms, views, needs, frozenset((STANDBY,)), planned_vms or {})


def test_a_pool_that_fills_up_gets_standby_vms_first_then_idle_ones():
    vms, views = make_pools(full=2, quiet=3)
    planned = moves(vms, views, {FULL: (5, 5, 5), QUIET: (2, 2, 2)})
    assert planned == [
        MoveVm(VmId("rest-0"), FULL),
        MoveVm(VmId("rest-1"), FULL),
        MoveVm(VmId("quiet-0"), FULL),
    ]


def test_idle_vms_go_to_the_standby_pool_only_when_the_load_has_been_low_for_a_while():
    vms, views = make_pools(quiet=3)
    assert moves(vms, views, {QUIET: (1, 1, 3)}) == []
    planned = moves(vms, views, {QUIET: (1, 1, 1)})
    assert planned == [
        MoveVm(VmId("quiet-0"), STANDBY),
        MoveVm(VmId("quiet-1"), STANDBY),
    ]


def test_a_busy_vm_or_one_with_other_plans_does_not_move():
    vms, views = make_pools(quiet=2)
    views["w-quiet-0"].runs["task"] = object()
    planned_vms = {VmId("quiet-1"): None}
    assert moves(vms, views, {QUIET: (0, 0, 0)}, planned_vms) == []


def test_another_vm_is_moved_instead_of_one_with_other_plans():
    vms, views = make_pools(full=1)
    planned_vms = {VmId("rest-0"): STANDBY}
    planned = moves(vms, views, {FULL: (2, 2, 2)}, planned_vms)
    assert planned == [MoveVm(VmId("rest-1"), FULL)]


def test_moving_vms_count_and_lost_ones_do_not():
    vms, views = make_pools(full=2)
    vms[VmId("full-0")] = PoolVm(VmId("full-0"), FULL, VmCondition.MOVING, None)
    assert moves(vms, views, {FULL: (2, 2, 2)}) == []
    views["w-full-1"].is_silent = True
    assert moves(vms, views, {FULL: (2, 2, 2)}) == [MoveVm(VmId("rest-0"), FULL)]


def test_vms_go_first_to_pools_whose_jobs_can_meet_their_objective():
    """After an outage, one queue has many late jobs while the next one peaks."""
    vms, views = make_pools(full=1, quiet=1)
    planned = moves(vms, views, {FULL: (1, 9, 9), QUIET: (2, 2, 2)})
    assert planned == [MoveVm(VmId("rest-0"), QUIET), MoveVm(VmId("rest-1"), FULL)]


def test_the_window_returns_the_maximum_demand():
    window = DemandWindow(window_ms=1000.0)
    assert window.record_demand(FULL, 7, 0.0) == 7
    assert window.record_demand(FULL, 3, 900.0) == 7
    assert window.record_demand(FULL, 4, 1100.0) == 4


def test_a_pool_without_load_requires_at_least_two_workers():
    assert PoolLoad().required_workers >= 2


TARGET_SHARE = 0.90  # users' target share of jobs in time, for a calm day


@pytest.mark.parametrize("seed", [1, 2])
def test_queues_that_peak_in_turn_are_served_in_time_with_fewer_vms(seed):
    """Each queue needs four times its mean for 5 s, more than six VMs can run."""
    fixed = replay(RotatingPeaks(), ReplayPolicy(resizes_pools=False), seed, 30.0)
    follows = replay(RotatingPeaks(), ReplayPolicy(), seed, 30.0)
    assert follows.share_in_time > fixed.share_in_time
    assert follows.share_in_time >= TARGET_SHARE
    assert follows.vm_s < fixed.vm_s


@pytest.mark.parametrize("seed", [1, 2])
def test_a_pool_is_sized_for_the_load_that_its_arrivals_cause(seed):
    """At the start of a peak, 50 jobs arrive per second, and a move takes 1.7 s."""
    pattern = RotatingPeaks(mean_per_s=14.0)
    plain = replay(pattern, ReplayPolicy(30, 30, counts_arrivals=False), seed, 8.0)
    ahead = replay(pattern, ReplayPolicy(30, 30), seed, 8.0)
    assert 1.0 - ahead.share_in_time < 0.75 * (1.0 - plain.share_in_time)
    assert ahead.vm_s < 1.05 * plain.vm_s


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_pool_is_sized_for_the_growth_of_its_arrivals(seed):
    """Arrivals rise for 3 s, as fast as VMs can follow, to more than 50 per second."""
    pattern = RotatingPeaks(mean_per_s=14.0, peak_duration_s=8.0, rise_s=3.0)
    level = replay(pattern, ReplayPolicy(30, 30, lead_ms=0.0), seed, 8.0)
    ahead = replay(pattern, ReplayPolicy(30, 30), seed, 8.0)
    assert 1.0 - ahead.share_in_time < 0.75 * (1.0 - level.share_in_time)
    assert ahead.vm_s < 1.05 * level.vm_s


@pytest.mark.parametrize(
    ("earlier", "recent", "newest"),
    [(0, 1, 1), (3, 5, 4), (20, 20, 15), (30, 10, 10), (10, 40, 20)],
)
def test_a_load_that_may_not_grow_on_has_no_growth(earlier, recent, newest):
    works_ms = [1000.0] * earlier, [1000.0] * recent
    assert load_growth(*works_ms, newest, 600.0) == 0.0


@pytest.mark.parametrize("jobs", [1, 2, 3])
def test_a_few_jobs_that_arrive_together_do_not_count_as_a_peak(jobs):
    assert steady_load([1000.0] * jobs, 500.0) < jobs


@pytest.mark.parametrize("shrunk", ["w0", "w4"])
def test_a_worker_that_shrank_does_not_stand_for_its_whole_pool(shrunk):
    """Each task counted as several workers, and the pool drew VMs from others."""
    scheduler = make_scheduler([f"w{n}" for n in range(5)], processors=8.0)
    scheduler.add_job(make_job(steps=[Step(8, Shape(1.0, 10), 100.0)]))
    info = scheduler.workers[WorkerId(shrunk)].info
    scheduler.set_worker(replace(info, capacity=Shape(0.5, 500)), NOW_MS)
    loads = pool_loads(scheduler, ArrivalForecast(), NOW_MS, 0.0)
    assert loads[info.service].waiting + loads[info.service].late == 1.0
