"""Isolated starts of suspects: where they start, and how long they wait."""

from schedulers import NOW_MS, make_job, make_scheduler, report, running, starts

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.crashes import PROBATION_MS
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import WorkerId

PROVEN_MS = NOW_MS + PROBATION_MS + 50.0


def crash(scheduler, name, silent_ms):
    """End a worker's process, as the list of VMs shows it."""
    scheduler.mark_silent(WorkerId(name), silent_ms)
    scheduler.mark_terminated([WorkerId(name)])


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
    crash(scheduler, "w1", PROVEN_MS)
    assert starts(scheduler, PROVEN_MS) == []
    (group,) = scheduler.crashes.groups.values()
    (other,) = {"w2", "w3"} - set(group.workers)
    report(scheduler, other, (), [], PROVEN_MS + 1.0)
    (order,) = [o for o in starts(scheduler, PROVEN_MS + 1.0) if o.task.job_id == "a"]
    assert order.worker == other
