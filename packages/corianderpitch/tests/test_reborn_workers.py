"""Workers whose process starts again as another kind before the list shows it.

The entry in the list tells what a process was, and its report what it is. A start rests
on label, capacity and service, which only the entry names.
"""

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
from corianderpitch.domain.scheduling.advice import next_request
from corianderpitch.domain.scheduling.evacuation import evacuate
from corianderpitch.domain.scheduling.orders import OrderResult, StopRun
from corianderpitch.domain.scheduling.workers import WorkerInfo
from corianderpitch.domain.scheduling.workloads import AdvicePolicy, Step
from corianderpitch.ids import ServiceName, WorkerId

REBORN = "2"
CHANGES = {
    "label": {"labels": ("b", "r1")},
    "capacity": {"capacity": Shape(1.0, 100)},
    "service": {"service": ServiceName("other")},
}


def restart_unlisted(scheduler, name):
    """Let a worker report as a new process, which its entry does not show yet."""
    report(scheduler, name, incarnation=REBORN)


def list_again(scheduler, name, **changes):
    info = scheduler.workers[WorkerId(name)].info
    info = replace(info, incarnation=REBORN, **changes)
    assert isinstance(info, WorkerInfo)
    scheduler.set_worker(info, NOW_MS)


@pytest.mark.parametrize("is_lasting", [False, True], ids=["timed", "lasting"])
@pytest.mark.parametrize("changes", CHANGES.values(), ids=CHANGES)
def test_a_process_gets_no_task_by_the_entry_of_an_earlier_one(changes, is_lasting):
    """A worker of another kind got tasks whose label it lacked."""
    scheduler = make_scheduler(("w1",), processors=8.0)
    step = Step(2, Shape(4.0, 500), 100.0, label="a", is_lasting=is_lasting)
    scheduler.add_job(make_job("a", [step]))
    restart_unlisted(scheduler, "w1")
    assert starts(scheduler) == []
    list_again(scheduler, "w1", **changes)
    assert starts(scheduler) == []


def test_a_process_gets_tasks_once_its_own_entry_is_there():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job())
    restart_unlisted(scheduler, "w1")
    list_again(scheduler, "w1")
    assert len(starts(scheduler)) == 1


def test_an_entry_that_is_newer_than_the_report_is_not_relied_on_either():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job())
    list_again(scheduler, "w1", labels=("b", "r1"))
    report(scheduler, "w1", incarnation="1", requested_ms=NOW_MS + 1.0)
    assert starts(scheduler) == []


def test_a_start_that_waits_to_be_sent_is_withdrawn_when_another_process_reports():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job())
    (order,) = starts(scheduler)
    restart_unlisted(scheduler, "w1")
    assert not scheduler.is_awaiting_start(order)


def test_the_policy_is_not_asked_about_a_process_whose_kind_is_not_known():
    scheduler = make_scheduler(("w1",))
    advice = AdvicePolicy(validity_ms=3000.0)
    scheduler.set_queues({QUEUE.name: replace(QUEUE, advice=advice)})
    scheduler.add_job(make_job())
    assert next_request(scheduler, NOW_MS, 0.0) is not None
    restart_unlisted(scheduler, "w1")
    assert next_request(scheduler, NOW_MS, 0.0) is None


def test_no_lasting_task_is_stopped_for_a_place_on_a_process_of_unknown_kind():
    scheduler = make_scheduler(("w1",))
    step = Step(1, Shape(1.0, 100), 0.0, is_lasting=True)
    scheduler.add_job(make_job("a", [step]))
    (order,) = starts(scheduler)
    scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
    report(scheduler, "w1", [running(order)])
    add_worker(scheduler, "w2")
    restart_unlisted(scheduler, "w2")
    scheduler.workers[WorkerId("w1")].is_evacuating = True
    evacuate(scheduler, NOW_MS)
    assert not any(isinstance(o, StopRun) for o in scheduler.pop_orders())


def test_a_successor_does_not_rely_on_an_entry_of_an_earlier_process():
    """It reads the list and hears the reports anew, in any order."""
    scheduler = make_scheduler(())
    add_worker(scheduler, "w1")
    report(scheduler, "w1", incarnation=REBORN)
    scheduler.add_job(make_job("a", version=1))
    assert starts(scheduler) == []
    list_again(scheduler, "w1")
    assert len(starts(scheduler)) == 1
