"""Evacuation of lasting tasks within their budget of unavailable tasks."""

import pytest
from schedulers import NOW_MS, make_job, make_scheduler, report, starts

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.evacuation import evacuate
from corianderpitch.domain.scheduling.orders import OrderResult, StopRun
from corianderpitch.domain.scheduling.workers import ReportedRun
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import WorkerId

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
