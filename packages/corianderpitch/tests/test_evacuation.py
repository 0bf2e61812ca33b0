"""Evacuation of lasting tasks within their budget of unavailable tasks."""

from dataclasses import replace

import pytest
from schedulers import NOW_MS, make_job, make_scheduler, report, starts

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.evacuation import evacuate
from corianderpitch.domain.scheduling.orders import OrderResult, StopRun
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    RunState,
)
from corianderpitch.domain.scheduling.workloads import Step, TaskRef
from corianderpitch.ids import JobId, WorkerId

WORKERS = ("w1", "w2", "w3", "w4")


def stops_at_once(count, budget, serving_percent=100.0):
    """Return how many lasting tasks are stopped when their worker is evacuated."""
    scheduler = make_scheduler(WORKERS, processors=0.05 * count)
    step = Step(count, Shape(0.1, 1), 1.0, is_lasting=True, max_unavailable=budget)
    scheduler.add_job(make_job("a", [step]))
    orders = starts(scheduler)
    for name in WORKERS:
        runs = [order for order in orders if order.worker == name]
        for order in runs:
            scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
        running = [ReportedRun(o.task, o.number, "", serving_percent) for o in runs]
        report(scheduler, name, running=running)
    scheduler.workers[WorkerId("w1")].is_evacuating = True
    for _ in range(3):
        evacuate(scheduler, NOW_MS)
    return sum(isinstance(order, StopRun) for order in scheduler.pop_orders())


@pytest.mark.parametrize(("budget", "stops"), [(1, 1), (3, 3)])
def test_a_step_moves_as_many_lasting_tasks_at_once_as_its_budget_allows(budget, stops):
    """Waves were late by VMs whose lasting tasks left one at a time."""
    assert stops_at_once(24, budget) == stops


def test_a_step_without_a_budget_moves_a_small_share_of_its_tasks_at_once():
    assert stops_at_once(24, 0) == 3
    assert stops_at_once(5, 0) == 1


def test_no_lasting_task_moves_while_the_others_do_not_serve_yet():
    assert stops_at_once(24, 3, serving_percent=40.0) == 0


def first_stop(scheduler):
    """Start lasting tasks with a budget of one, and return the first order to stop."""
    step = Step(8, Shape(0.1, 1), 1.0, is_lasting=True, max_unavailable=1)
    scheduler.add_job(make_job("a", [step]))
    orders = starts(scheduler)
    for order in orders:
        scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
    for name in WORKERS:
        report_serving(scheduler, name, [o for o in orders if o.worker == name])
    scheduler.workers[WorkerId("w1")].is_evacuating = True
    evacuate(scheduler, NOW_MS)
    (stop,) = scheduler.pop_orders()
    return stop, [order for order in orders if order.worker == "w1"]


def report_serving(scheduler, name, orders):
    running = [ReportedRun(o.task, o.number, "", 100.0) for o in orders]
    report(scheduler, name, running=running)


def repeated_stops(scheduler, orders):
    """Return the orders to stop of the next six seconds."""
    stops = []
    for passed_ms in range(100, 6000, 100):
        evacuate(scheduler, NOW_MS + passed_ms)
        report_serving(scheduler, "w1", orders)
        stops += [o for o in scheduler.pop_orders() if isinstance(o, StopRun)]
    return stops


@pytest.mark.parametrize("result", [OrderResult.UNHEALTHY, OrderResult.NOT_SENT])
def test_a_stop_without_effect_is_not_repeated_while_others_are_away(result):
    """A lasting step had more tasks away than its budget of unavailable tasks.

    A worker had not carried out a stop. It was repeated without another look at the
    budget, after a VM with other tasks of the step had failed.
    """
    scheduler = make_scheduler(WORKERS, processors=0.4)
    stop, orders = first_stop(scheduler)
    scheduler.apply_order_result(stop, result, NOW_MS)
    away = next(w for w in scheduler.workers.values() if w.runs and not w.is_evacuating)
    scheduler.mark_silent(away.info.worker)
    assert repeated_stops(scheduler, orders) == []


def test_a_stop_without_effect_is_repeated_while_the_others_serve():
    scheduler = make_scheduler(WORKERS, processors=0.4)
    stop, orders = first_stop(scheduler)
    scheduler.apply_order_result(stop, OrderResult.UNHEALTHY, NOW_MS)
    assert repeated_stops(scheduler, orders)


@pytest.mark.parametrize("result", [OrderResult.DONE, OrderResult.NO_ANSWER])
def test_a_task_counts_as_away_if_any_stop_of_it_may_have_had_an_effect(result):
    scheduler = make_scheduler(WORKERS, processors=0.4)
    stop, orders = first_stop(scheduler)
    scheduler.apply_order_result(stop, result, NOW_MS)
    scheduler.apply_order_result(stop, OrderResult.NOT_SENT, NOW_MS)
    stops = repeated_stops(scheduler, orders)
    assert {order.task for order in stops} <= {stop.task}
    run = scheduler.workers[WorkerId("w1")].runs[stop.task]
    assert run.state is RunState.STOPPING


STOP_MS = 900.0


def successor_of(running, budget=2):
    """Return the next holder, which has just heard of the runs of a step."""
    scheduler = make_scheduler(WORKERS, processors=1.0)
    scheduler.term = replace(scheduler.term, stop_ms=STOP_MS)
    step = Step(8, Shape(0.1, 1), 1.0, is_lasting=True, max_unavailable=budget)
    scheduler.add_job(make_job("a", [step], version=3))
    for name, runs in running.items():
        report(scheduler, name, running=runs)
    scheduler.workers[WorkerId("w1")].is_evacuating = True
    return scheduler


def test_a_successor_does_not_count_tasks_as_serving_that_may_have_been_stopped():
    """Its predecessor had just stopped two, and it stopped a third one beside them."""
    tasks = [TaskRef(JobId("a"), 0, 0, index) for index in range(8)]
    runs = [ReportedRun(task, 7, "", 100.0) for task in tasks]
    running = {"w1": runs[:4], "w2": runs[4:]}
    scheduler = successor_of(running)
    for passed_ms in (0.0, 500.0, STOP_MS - 100.0):
        for name, of_worker in running.items():
            report(scheduler, name, of_worker, requested_ms=NOW_MS + passed_ms)
        evacuate(scheduler, NOW_MS + passed_ms)
        assert scheduler.pop_orders() == []
    settled_ms = NOW_MS + STOP_MS + 200.0
    ended = ReportedEnd(1, tasks[5], 7, EndKind.STOPPED, "")
    left = [run for run in running["w2"] if run.task != tasks[5]]
    report(scheduler, "w1", running["w1"], requested_ms=settled_ms)
    report(scheduler, "w2", left, [ended], requested_ms=settled_ms)
    evacuate(scheduler, settled_ms)
    assert sum(isinstance(o, StopRun) for o in scheduler.pop_orders()) == 1
