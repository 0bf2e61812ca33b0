"""Starts without an answer whose runs are stopped meanwhile, for whatever reason.

Such a start may still be carried out, seconds later. A report without the run is no
proof that it will not be, unless the worker refuses the start from then on.
"""

import random
from dataclasses import replace

import pytest
from schedulers import (
    NOW_MS,
    QUEUE,
    add_worker,
    crash,
    make_job,
    make_scheduler,
    report,
    starts,
)
from test_scheduler_rules import RUN_MS, SchedulerRules, walk

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.orders import OrderResult, StartRun, StopRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.stops import STOP_RETRY_MS
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.workers import EndKind, ReportedEnd, ReportedRun
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import JobId, WorkerId

GANG = Step(3, Shape(3.0, 100), 100.0, is_gang=True)
SAVING = Step(1, Shape(3.0, 100), 100.0, saves_progress=True)
WORKERS = ("w1", "w2", "w3", "w4")
BREAK_MS = 450.0
ANSWER_MS = 600.0


def started_gang():
    """Return a scheduler, the member whose start gets no answer, and the others."""
    scheduler = make_scheduler(WORKERS)
    scheduler.add_job(make_job("a", [GANG]))
    late, *others = starts(scheduler)
    scheduler.mark_sent(late, NOW_MS)
    for order in others:
        scheduler.mark_sent(order, NOW_MS)
        scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
    return scheduler, late, others


def end_member(scheduler, order, kind, at_ms):
    end = ReportedEnd(1, order.task, order.number, kind, "")
    report(scheduler, order.worker, (), [end], at_ms)


def orders_at(scheduler, now_ms, kind):
    plan(scheduler, now_ms, 0.0)
    return [order for order in scheduler.pop_orders() if isinstance(order, kind)]


def break_by_failure(scheduler, others):
    end_member(scheduler, others[0], EndKind.FAILED, NOW_MS + BREAK_MS)
    end_member(scheduler, others[1], EndKind.GANG_BROKEN, NOW_MS + BREAK_MS)


def break_by_crash(scheduler, others):
    """The crash comes so late that the member is not suspected of having caused it."""
    begun = ReportedRun(others[0].task, others[0].number, "", 0.0)
    report(scheduler, others[0].worker, [begun], (), NOW_MS + BREAK_MS - 10.0)
    crash(scheduler, others[0].worker, NOW_MS + BREAK_MS)
    end_member(scheduler, others[1], EndKind.GANG_BROKEN, NOW_MS + BREAK_MS)


def break_by_lapse(scheduler, others):
    for order in others:
        end_member(scheduler, order, EndKind.LAPSED, NOW_MS + BREAK_MS)


@pytest.mark.parametrize(
    "break_gang", [break_by_failure, break_by_crash, break_by_lapse]
)
@pytest.mark.parametrize("answers_stop", [True, False])
def test_a_member_that_was_stopped_before_its_start_was_answered_is_not_taken_for_lost(
    break_gang, answers_stop
):
    """It was started on a second worker, and the late start carried out (review/6)."""
    scheduler, late, others = started_gang()
    break_gang(scheduler, others)
    (stop,) = orders_at(scheduler, NOW_MS + BREAK_MS + 1.0, StopRun)
    assert stop.task == late.task
    report(scheduler, late.worker, requested_ms=NOW_MS + BREAK_MS + 50.0)
    fence = scheduler.fence_of(late.worker)
    gone_ms = NOW_MS + ANSWER_MS
    scheduler.apply_order_result(late, OrderResult.NO_ANSWER, gone_ms)
    result = OrderResult.DONE if answers_stop else OrderResult.NO_ANSWER
    scheduler.apply_order_result(stop, result, gone_ms)
    report(scheduler, late.worker, requested_ms=gone_ms - 1.0)
    assert orders_at(scheduler, gone_ms + 1.0, StartRun) == []
    assert scheduler.fence_of(late.worker) > fence
    report(scheduler, late.worker, requested_ms=gone_ms + 2.0)
    again = orders_at(scheduler, gone_ms + 1500.0, StartRun)
    assert {order.task.index for order in again} == {0, 1, 2}
    assert min(order.number for order in again) > late.number


def test_a_late_member_that_is_reported_is_stopped_before_its_gang_starts_again():
    scheduler, late, others = started_gang()
    break_by_failure(scheduler, others)
    orders_at(scheduler, NOW_MS + BREAK_MS + 1.0, StopRun)
    scheduler.apply_order_result(late, OrderResult.NO_ANSWER, NOW_MS + ANSWER_MS)
    begun = ReportedRun(late.task, late.number, "", 0.0)
    later_ms = NOW_MS + ANSWER_MS + STOP_RETRY_MS
    report(scheduler, late.worker, [begun], (), later_ms)
    (stop,) = orders_at(scheduler, later_ms, StopRun)
    assert stop.number == late.number
    assert orders_at(scheduler, later_ms + 1500.0, StartRun) == []
    end_member(scheduler, late, EndKind.STOPPED, later_ms + 1.0)
    assert len(orders_at(scheduler, later_ms + 1500.0, StartRun)) == 3


def ordered_run(scheduler):
    scheduler.add_job(make_job("a", [SAVING]))
    (order,) = starts(scheduler)
    scheduler.mark_sent(order, NOW_MS)
    return order


def stop_run(scheduler, order):
    run = scheduler.workers[order.worker].runs[order.task]
    scheduler.stop(run, NOW_MS + 10.0)


def test_a_run_that_is_moved_before_its_start_was_answered_starts_once():
    """An evacuation, urgent work and a wave all stop a run in this way."""
    scheduler = make_scheduler(("w1", "w2"))
    order = ordered_run(scheduler)
    stop_run(scheduler, order)
    report(scheduler, order.worker, requested_ms=NOW_MS + 20.0)
    scheduler.apply_order_result(order, OrderResult.NO_ANSWER, NOW_MS + ANSWER_MS)
    report(scheduler, order.worker, requested_ms=NOW_MS + ANSWER_MS - 1.0)
    assert orders_at(scheduler, NOW_MS + ANSWER_MS, StartRun) == []


def test_a_cancelled_job_keeps_its_room_until_its_late_start_is_refused():
    """Other work would take the worker over its capacity beside the late start."""
    scheduler = make_scheduler(("w1",))
    order = ordered_run(scheduler)
    scheduler.cancel_job(JobId("a"))
    scheduler.apply_order_result(order, OrderResult.NO_ANSWER, NOW_MS + ANSWER_MS)
    report(scheduler, order.worker, requested_ms=NOW_MS + ANSWER_MS - 1.0)
    scheduler.add_job(make_job("b", [SAVING]))
    assert orders_at(scheduler, NOW_MS + 2000.0, StartRun) == []
    report(scheduler, order.worker, requested_ms=NOW_MS + ANSWER_MS + 1.0)
    assert len(orders_at(scheduler, NOW_MS + 2000.0, StartRun)) == 1


def test_a_stop_without_effect_does_not_confirm_a_start():
    step = replace(SAVING, is_lasting=True, saves_progress=False)
    scheduler = make_scheduler(("w1", "w2"))
    scheduler.add_job(make_job("a", [step]))
    (order,) = starts(scheduler)
    scheduler.mark_sent(order, NOW_MS)
    stop_run(scheduler, order)
    stop = StopRun(order.worker, order.task, order.number, order.fence)
    scheduler.apply_order_result(stop, OrderResult.UNHEALTHY, NOW_MS + 20.0)
    report(scheduler, order.worker, requested_ms=NOW_MS + 30.0)
    assert orders_at(scheduler, NOW_MS + 2000.0, StartRun) == []


def test_a_successor_waits_for_a_report_before_it_starts_a_recorded_run_again():
    """Its reports carry a higher fence, so that the worker refuses the late start."""
    scheduler = make_scheduler(("w1", "w2"))
    order = ordered_run(scheduler)
    stop_run(scheduler, order)
    (change,) = scheduler.pop_changes()
    successor = Scheduler(Term(2, 20, NOW_MS + 6000.0, 6000.0))
    successor.set_queues({QUEUE.name: QUEUE})
    successor.awaiting_report = {WorkerId("w1"), WorkerId("w2")}
    job = make_job("a", [SAVING])
    job.restore(change.record)
    successor.add_job(job)
    add_worker(successor, "w1" if order.worker == "w2" else "w2")
    assert starts(successor) == []
    add_worker(successor, order.worker)
    assert successor.fence_of(order.worker) > order.fence
    assert len(starts(successor)) == 1


@pytest.mark.parametrize("seed", range(300))
def test_no_task_runs_twice_while_runs_are_stopped_in_all_states(seed):
    """Runs are stopped at random, as moves, urgent work and broken gangs stop them."""
    rng = random.Random(seed)
    machine = SchedulerRules()
    machine.begin()
    for _ in range(60):
        machine.submit(count=rng.randint(1, 3), steps=1)
        walk(machine, rng)
        stop_unanswered_runs(machine, rng)
        for _ in range(rng.randint(0, 3)):
            late = {"run_ms": rng.choice(RUN_MS), "fails": False}
            if machine.calls:
                machine.arrive(which=rng.randrange(51), **late)


def stop_unanswered_runs(machine, rng):
    """Stop runs whose starts are under way; their orders get no answers in time."""
    which = len(machine.holders) - 1
    scheduler = machine.holders[which].scheduler
    round_ = (which, "held", WORKERS[:3], True, rng.choice(RUN_MS), (), True, 10.0)
    machine.run_holders(rounds=[round_])
    for call in list(machine.calls):
        worker = scheduler.workers.get(WorkerId(call.worker))
        task = call.order.task if isinstance(call.order, StartRun) else None
        run = worker.runs.get(task) if worker is not None else None
        if run is not None and not call.is_answered and rng.random() < 0.5:
            scheduler.stop(run, machine.now_ms)
    for _ in range(2):
        for number in range(len(machine.calls)):
            if rng.random() < 0.8:
                machine.give_up(which=number)
        machine.run_holders(rounds=[round_])
