"""Lasting steps are spread over two workers if that can be had, and run in any case."""

from dataclasses import replace

import pytest
from schedulers import (
    NOW_MS,
    add_worker,
    crash,
    make_job,
    make_scheduler,
    report,
    running,
    starts,
)

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.evacuation import evacuate
from corianderpitch.domain.scheduling.orders import OrderResult, StopRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.spreading import (
    SETTLED_MS,
    SPREAD_WAIT_MS,
    respread,
)
from corianderpitch.domain.scheduling.workers import EndKind, ReportedEnd
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import WorkerId

SETTLED_AT_MS = NOW_MS + SETTLED_MS


def lasting(count=4, processors=1.0, **changes):
    return Step(count, Shape(processors, 100), 0.0, is_lasting=True, **changes)


def placed(scheduler):
    """Return how many runs each worker has, without those that have none."""
    counts = {w.info.worker: len(w.runs) for w in scheduler.workers.values()}
    return {worker: count for worker, count in counts.items() if count}


def confirm(scheduler, orders):
    """Let workers confirm starts, and report that all their tasks serve."""
    for order in orders:
        scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
    serve(scheduler)


def serve(scheduler):
    for name, worker in scheduler.workers.items():
        if not worker.is_silent:
            report(scheduler, name, [running(run) for run in worker.runs.values()])


def stops(scheduler):
    return [order for order in scheduler.pop_orders() if isinstance(order, StopRun)]


def started(workers, step, processors=8.0):
    scheduler = make_scheduler(workers, processors)
    scheduler.add_job(make_job("a", [step]))
    confirm(scheduler, starts(scheduler))
    return scheduler


@pytest.mark.parametrize("count", [2, 3, 4, 5])
def test_a_step_is_spread_over_two_workers(count):
    scheduler = started(("w1", "w2"), lasting(count))
    assert sorted(placed(scheduler).values()) == [count // 2, (count + 1) // 2]


@pytest.mark.parametrize("count", [2, 3, 4, 5])
@pytest.mark.parametrize("label", ["", "b"])
def test_all_tasks_run_again_after_the_loss_of_one_of_two_workers(count, label):
    """Half of the tasks of a lasting step never ran again."""
    scheduler = make_scheduler(("w1", "w2"), processors=8.0)
    add_worker(scheduler, "w3", processors=8.0, rack="r2")
    for name in ("w1", "w2") if label else ():
        info = scheduler.workers[WorkerId(name)].info
        scheduler.set_worker(replace(info, labels=("b", "r1")), NOW_MS)
    if not label:
        scheduler.unlist_worker(WorkerId("w3"))
    scheduler.add_job(make_job("a", [lasting(count, label=label)]))
    confirm(scheduler, starts(scheduler))
    crash(scheduler, "w1", NOW_MS)
    confirm(scheduler, starts(scheduler))
    assert placed(scheduler) == {"w2": count}


def test_tasks_do_not_wait_for_a_second_worker_that_stays_full():
    scheduler = make_scheduler(("w1", "w2"), processors=8.0)
    scheduler.add_job(make_job("other", [lasting(1, 8.0)]))
    confirm(scheduler, starts(scheduler))
    scheduler.add_job(make_job("a", [lasting(4)]))
    assert len(starts(scheduler)) == 2
    assert starts(scheduler, NOW_MS + SPREAD_WAIT_MS - 1.0) == []
    assert len(starts(scheduler, NOW_MS + SPREAD_WAIT_MS)) == 2


def test_tasks_wait_a_while_for_a_second_worker_that_is_busy():
    """Started at once on one worker, all of them would be lost with it."""
    scheduler = make_scheduler(("w1", "w2"), processors=8.0)
    scheduler.workers[WorkerId("w2")].backoff_until_ms = NOW_MS + 500.0
    scheduler.add_job(make_job("a", [lasting(4)]))
    assert len(starts(scheduler)) == 2
    assert len(starts(scheduler, NOW_MS + 500.0)) == 2
    assert placed(scheduler) == {"w1": 2, "w2": 2}


def test_the_limit_that_a_job_asks_for_is_kept():
    scheduler = started(("w1",), lasting(4, max_per_worker=1))
    assert starts(scheduler, NOW_MS + 10 * SPREAD_WAIT_MS) == []
    assert placed(scheduler) == {"w1": 1}


def test_tasks_spread_again_one_by_one_once_a_second_worker_is_back():
    scheduler = started(("w1",), lasting(4, max_unavailable=1))
    assert placed(scheduler) == {"w1": 4}
    add_worker(scheduler, "w2", processors=8.0)
    respread(scheduler, SETTLED_AT_MS - 1.0)
    assert stops(scheduler) == []
    for moved in (1, 2):
        respread(scheduler, SETTLED_AT_MS)
        (stop,) = stops(scheduler)
        respread(scheduler, SETTLED_AT_MS)  # the first one is away
        assert stops(scheduler) == []
        end = ReportedEnd(moved, stop.task, stop.number, EndKind.STOPPED, "")
        left = [r for r in scheduler.workers["w1"].runs.values() if r.task != stop.task]
        report(scheduler, "w1", [running(run) for run in left], [end])
        confirm(scheduler, starts(scheduler, SETTLED_AT_MS))
    assert placed(scheduler) == {"w1": 2, "w2": 2}
    respread(scheduler, SETTLED_AT_MS)
    assert stops(scheduler) == []


def test_tasks_are_not_moved_apart_while_another_one_of_their_step_is_away():
    scheduler = started(("w1",), lasting(4, max_unavailable=1))
    add_worker(scheduler, "w2", processors=8.0)
    first = next(iter(scheduler.workers[WorkerId("w1")].runs.values()))
    first.percent = 50.0
    respread(scheduler, SETTLED_AT_MS)
    assert stops(scheduler) == []


@pytest.mark.parametrize("is_full", [False, True], ids=["of another kind", "full"])
def test_tasks_stay_together_if_the_new_worker_cannot_take_them(is_full):
    scheduler = started(("w1",), lasting(4, label="" if is_full else "a"))
    add_worker(scheduler, "w2", processors=0.5 if is_full else 8.0)
    if not is_full:
        info = scheduler.workers[WorkerId("w2")].info
        scheduler.set_worker(replace(info, labels=("b", "r1")), NOW_MS)
    respread(scheduler, SETTLED_AT_MS)
    assert stops(scheduler) == []


def test_a_worker_can_be_emptied_onto_one_that_has_its_share():
    """A worker stayed marked for evacuation: the only other one had its share."""
    scheduler = started(("w1", "w2"), lasting(4))
    scheduler.workers[WorkerId("w1")].is_evacuating = True
    for number in (1, 2):
        evacuate(scheduler, NOW_MS)
        (stop,) = stops(scheduler)
        end = ReportedEnd(number, stop.task, stop.number, EndKind.STOPPED, "")
        left = [r for r in scheduler.workers["w1"].runs.values() if r.task != stop.task]
        report(scheduler, "w1", [running(run) for run in left], [end])
        confirm(scheduler, starts(scheduler))
    assert placed(scheduler) == {"w2": 4}


def test_suspects_of_a_lasting_step_all_run_in_their_group():
    scheduler = make_scheduler(("w1",), processors=8.0)
    scheduler.add_job(job := make_job("a", [lasting(4)]))
    (step,) = job.steps()
    for index in range(4):
        step.add_crash(index, 1, is_confirmed=True)
    scheduler.crashes.add_job(job)
    plan(scheduler, NOW_MS, 0.0)
    assert placed(scheduler) == {"w1": 4}


def test_tasks_of_a_gang_are_not_spread():
    """They are lost together in any case, and a single worker never got them."""
    scheduler = started(("w1",), lasting(4, is_gang=True))
    assert placed(scheduler) == {"w1": 4}


def test_a_successor_starts_the_tasks_that_its_predecessor_lost_with_a_worker():
    predecessor = started(("w1", "w2"), lasting(4))
    job = make_job("a", [lasting(4)], version=3)
    job.restore(predecessor.jobs["a"].record())
    successor = make_scheduler(("w2",), processors=8.0)
    kept = predecessor.workers[WorkerId("w2")].runs.values()
    successor.add_job(job)
    report(successor, "w2", [running(run) for run in kept])
    starts(successor)
    assert placed(successor) == {"w2": 4}
