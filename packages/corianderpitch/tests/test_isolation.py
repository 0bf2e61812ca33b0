"""Isolated starts of suspects: where they start, and how long they wait."""

from dataclasses import replace

import pytest
from schedulers import (
    NOW_MS,
    add_worker,
    crash,
    done,
    make_job,
    make_scheduler,
    report,
    running,
    starts,
)

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.crashes import PROBATION_MS
from corianderpitch.domain.scheduling.isolation import OUTCOME_WAIT_MS
from corianderpitch.domain.scheduling.orders import (
    OrderResult,
    RequestReport,
    StartRun,
    StopRun,
)
from corianderpitch.domain.scheduling.placing import RACK_CHECK_MS
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.workloads import Step, TaskRef
from corianderpitch.ids import JobId, WorkerId

PROVEN_MS = NOW_MS + PROBATION_MS + 50.0
LASTING = Step(1, Shape(1.0, 100), 100.0, is_lasting=True)


def start_on(scheduler, name, job, now_ms=NOW_MS):
    """Start the tasks of a job while only one worker is free."""
    for other in scheduler.workers.values():
        other.backoff_until_ms = 0.0 if other.info.worker == name else now_ms + 0.5
    scheduler.add_job(job)
    orders = starts(scheduler, now_ms)
    assert {order.worker for order in orders} == {name}
    accept(scheduler, orders, now_ms)
    return orders


def accept(scheduler, orders, now_ms):
    for order in orders:
        scheduler.apply_order_result(order, OrderResult.DONE, now_ms)


def step_of(count, processors=1.0, **kwargs):
    return Step(count, Shape(processors, 100), 100.0, **kwargs)


def test_a_suspect_does_not_wait_at_a_full_worker_while_another_one_has_room():
    """Tasks of a lasting step waited 3 s for their group to be dropped."""
    scheduler = make_scheduler(("w1", "w2", "w3"), processors=2.0)
    start_on(scheduler, "w1", make_job("a"))
    full = {
        name: start_on(scheduler, name, make_job(f"at-{name}", [step_of(2)]))
        for name in ("w2", "w3")
    }
    for name, orders in full.items():
        reported = [running(order) for order in orders]
        report(scheduler, name, reported, requested_ms=PROVEN_MS)
    crash(scheduler, "w1", NOW_MS + 5.0)
    assert starts(scheduler, PROVEN_MS) == []
    (group,) = scheduler.crashes.groups.values()
    (other,) = {"w2", "w3"} - set(group.workers)
    report(scheduler, other, (), [], PROVEN_MS + 1.0)
    (order,) = [o for o in starts(scheduler, PROVEN_MS + 1.0) if o.task.job_id == "a"]
    assert order.worker == other


def make_racks(*racks):
    """Return a scheduler with racks of workers, each given by its workers' names."""
    scheduler = make_scheduler([name for rack in racks for name in rack])
    for number, rack in enumerate(racks):
        for name in rack:
            worker = scheduler.workers[WorkerId(name)]
            scheduler.set_worker(
                replace(worker.info, labels=("a", f"r{number}")), NOW_MS
            )
    return scheduler


@pytest.mark.parametrize("is_suspect", [True, False])
def test_nothing_is_started_in_the_rack_of_a_silent_worker_before_it_answers(
    is_suspect,
):
    """A suspect was started on two workers of a dark rack in turn, and given up."""
    scheduler = make_racks(("w1", "w2", "w3"), ("w4",))
    if is_suspect:
        start_on(scheduler, "w1", make_job("a"))
    silent_ms = NOW_MS + 900.0
    crash(scheduler, "w1", silent_ms)
    scheduler.add_job(make_job("b"))
    plan(scheduler, silent_ms + 1.0, 0.0)
    orders = scheduler.pop_orders()
    assert {o.worker for o in orders if isinstance(o, StartRun)} == {"w4"}
    assert [o.worker for o in orders if isinstance(o, RequestReport)] == ["w2", "w3"]
    report(scheduler, "w2", requested_ms=silent_ms + 2.0)
    scheduler.add_job(make_job("c", [step_of(8)]))
    orders = starts(scheduler, silent_ms + 2.0)
    assert "w2" in {order.worker for order in orders}
    assert "w3" not in {order.worker for order in orders}


def test_a_planned_end_of_a_worker_casts_no_doubt_on_its_rack():
    """Each move of a VM would ask the rest of the rack, and keep it idle meanwhile."""
    scheduler = make_racks(("w1", "w2"))
    scheduler.workers[WorkerId("w1")].is_evacuating = True
    crash(scheduler, "w1", NOW_MS + 900.0)
    assert scheduler.pop_orders() == []
    scheduler.add_job(make_job("a"))
    (order,) = starts(scheduler, NOW_MS + 901.0)
    assert order.worker == "w2"


@pytest.mark.parametrize("result", [OrderResult.DONE, OrderResult.NO_ANSWER])
def test_only_an_answer_shows_that_a_worker_of_a_silent_rack_is_up(result):
    scheduler = make_racks(("w1", "w2"))
    crash(scheduler, "w1", NOW_MS + 900.0)
    order = StopRun(WorkerId("w2"), TaskRef(JobId("other"), 0, 0, 0), 1, 0)
    scheduler.apply_order_result(order, result, NOW_MS + 901.0)
    scheduler.add_job(make_job("a"))
    orders = starts(scheduler, NOW_MS + 902.0)
    assert bool(orders) == (result is OrderResult.DONE)


def test_workers_that_neither_answer_nor_fail_are_used_again():
    scheduler = make_racks(("w1", "w2"))
    crash(scheduler, "w1", NOW_MS + 900.0)
    scheduler.add_job(make_job("a"))
    assert starts(scheduler, NOW_MS + 901.0) == []
    (order,) = starts(scheduler, NOW_MS + 900.0 + RACK_CHECK_MS)
    assert order.worker == "w2"


def test_tasks_do_not_wait_for_a_worker_that_was_cut_off_under_another_one():
    """They waited until the lease of the silent worker had expired."""
    scheduler = make_scheduler(("w1", "w2"))
    scheduler.add_job(make_job("a", [step_of(2, max_per_worker=1)]))
    accept(scheduler, starts(scheduler), NOW_MS)
    crash(scheduler, "w1", NOW_MS)
    crash(scheduler, "w2", NOW_MS)
    for name in ("w3", "w4", "w5"):
        add_worker(scheduler, name)
    (first,) = starts(scheduler, NOW_MS + 1.0)
    accept(scheduler, [first], NOW_MS + 1.0)
    silent_ms = NOW_MS + 100.0
    scheduler.mark_silent(first.worker, silent_ms)
    assert starts(scheduler, silent_ms + 500.0) == []
    (second,) = starts(scheduler, silent_ms + OUTCOME_WAIT_MS)
    assert second.task.index != first.task.index
    assert second.worker != first.worker


def test_tasks_of_other_steps_do_not_wait_for_a_suspect_without_room():
    """A job had nothing running although most of the service was free."""
    scheduler = make_scheduler(("w1", "w2", "w3"))
    served = {}
    for name in ("w2", "w3"):
        (order,) = start_on(scheduler, name, make_job(name, [LASTING]))
        served[name] = running(order)
        report(scheduler, name, [served[name]], requested_ms=PROVEN_MS)
    large, small = step_of(1, processors=3.5), step_of(1)
    job = make_job("a", [large, small, replace(small, after=(1,))])
    (order,) = start_on(scheduler, "w1", job)
    crash(scheduler, "w1", NOW_MS)
    for number in (1, 2):
        now_ms = PROVEN_MS + number
        (other,) = starts(scheduler, now_ms)
        assert other.task == order.task._replace(step=number)
        accept(scheduler, [other], now_ms)
        lasting = [served[other.worker]]
        report(scheduler, other.worker, lasting, [done(other, number)], now_ms)


def test_other_tasks_do_not_wait_for_a_suspect_whose_worker_was_cut_off():
    scheduler = make_scheduler(("w1", "w2"))
    step = step_of(2, is_lasting=True, max_per_worker=1)
    scheduler.add_job(make_job("a", [step]))
    serving, recent = starts(scheduler)
    accept(scheduler, [serving, recent], NOW_MS)
    report(scheduler, serving.worker, [running(serving)], requested_ms=PROVEN_MS)
    crash(scheduler, recent.worker, NOW_MS)
    for name in ("w3", "w4", "w5"):
        add_worker(scheduler, name)
    (isolated,) = starts(scheduler, PROVEN_MS)
    accept(scheduler, [isolated], PROVEN_MS)
    silent_ms = PROVEN_MS + 100.0
    scheduler.mark_silent(isolated.worker, silent_ms)
    crash(scheduler, serving.worker, silent_ms)
    assert starts(scheduler, silent_ms + 500.0) == []
    (other,) = starts(scheduler, silent_ms + OUTCOME_WAIT_MS)
    assert other.task == serving.task


def test_many_suspects_in_a_small_service_are_all_started_within_three_seconds():
    """One after the other passed its probation on the only worker to be isolated."""
    scheduler = make_scheduler(("w1", "w2", "w3"), processors=16.0)
    for number in range(16):
        scheduler.add_job(make_job(f"job{number}"))
    orders = starts(scheduler)
    assert len({order.worker for order in orders}) == 1
    accept(scheduler, orders, NOW_MS)
    crash(scheduler, orders[0].worker, NOW_MS)
    at_work = {WorkerId(name): [] for name in ("w1", "w2", "w3")}
    del at_work[orders[0].worker]
    started = set()
    for number in range(60):
        now_ms = NOW_MS + 50.0 * number
        for name, runs in at_work.items():
            report(scheduler, name, runs, requested_ms=now_ms)
        for order in starts(scheduler, now_ms):
            accept(scheduler, [order], now_ms)
            at_work[order.worker].append(running(order))
            started.add(order.task.job_id)
    assert len(started) == 16


def test_no_reports_are_requested_from_a_silent_worker_beside_its_watch():
    """Ten requests a second would wait for their timeouts until its lease expired."""
    scheduler = make_scheduler(("w1", "w2"))
    start_on(scheduler, "w1", make_job("a"))
    crash(scheduler, "w1", NOW_MS)
    (isolated,) = starts(scheduler, NOW_MS + 1.0)
    accept(scheduler, [isolated], NOW_MS + 1.0)
    scheduler.mark_silent(isolated.worker, NOW_MS + 100.0)
    for number in range(20):
        plan(scheduler, PROVEN_MS + 100.0 * number, 0.0)
    orders = scheduler.pop_orders()
    assert [o for o in orders if isinstance(o, RequestReport)] == []
