"""Queues whose advice policy allows only some workers."""

from returns.result import Failure
from schedulers import NOW_MS, QUEUE, add_worker, make_job, make_scheduler, starts

from corianderpitch.adapters.memoryadvice import VALIDITY_MS, MemoryAdvice
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.advisors import AdviceTask
from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.advice import next_request
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workloads import AdvicePolicy, Queue, Step
from corianderpitch.errors import PlatformUnavailable
from corianderpitch.ids import WorkerId

POLICY = AdvicePolicy(decision_ms=20.0, per_worker_ms=2.0, validity_ms=VALIDITY_MS)
ADVISED = Queue(QUEUE.name, QUEUE.service, max_attempts=2, advice=POLICY)


def make_advised(allowed, workers=("w1", "w2", "w3")):
    scheduler = make_scheduler(workers)
    scheduler.set_queues({ADVISED.name: ADVISED})
    service = MemoryAdvice({WorkerId(name) for name in allowed})
    clock = ManualClock(NOW_MS)
    task = AdviceTask(service, scheduler, clock, lambda: None)
    return scheduler, service, clock, task


def test_a_step_starts_only_after_advice_and_on_an_allowed_worker():
    scheduler, _, _, task = make_advised(["w2"])
    scheduler.add_job(make_job())
    assert starts(scheduler) == []
    assert task.request_advice()
    (order,) = starts(scheduler)
    assert (order.worker, order.ticket) == ("w2", "ticket-w2")


def test_advice_is_not_requested_again_for_workers_that_were_not_allowed():
    scheduler, service, _, task = make_advised([])
    scheduler.add_job(make_job())
    task.request_advice()
    task.request_advice()
    assert len(service.questions) == 1
    add_worker(scheduler, "w4")
    task.request_advice()
    assert service.questions[-1].workers == ("w4",)


def test_a_ticket_that_is_about_to_expire_is_requested_again():
    scheduler, service, clock, task = make_advised(["w1"])
    scheduler.add_job(make_job(steps=(Step(1, Shape(99.0, 1), 1.0),)))
    assert next_request(scheduler, NOW_MS, 0.0) is None  # no worker has capacity
    scheduler.add_job(make_job("b"))
    task.request_advice()
    clock.advance(VALIDITY_MS - 100.0)
    assert starts(scheduler, clock.now_ms()) == []
    task.request_advice()
    assert len(service.questions) == 2
    assert len(starts(scheduler, clock.now_ms())) == 1


def test_a_ticket_that_a_worker_refuses_is_dropped_and_requested_again():
    scheduler, service, _, task = make_advised(["w1"])
    scheduler.add_job(make_job())
    task.request_advice()
    (order,) = starts(scheduler)
    scheduler.apply_order_result(order, OrderResult.NOT_ALLOWED, NOW_MS)
    assert starts(scheduler) == []
    task.request_advice()
    assert len(service.questions) == 2
    assert len(starts(scheduler)) == 1


def test_advice_for_the_next_step_is_requested_before_it_can_start():
    scheduler, service, _, task = make_advised(["w1"])
    first = Step(1, Shape(1.0, 100), 100.0)
    second = Step(1, Shape(1.0, 100), 100.0, after=(0,))
    scheduler.add_job(make_job(steps=(first, second)))
    task.request_advice()
    task.request_advice()
    assert [question.step for question in service.questions] == [0, 1]


def test_a_ticket_for_a_worker_that_may_run_no_more_of_a_step_ends_no_requests():
    """Its other tasks waited beside free workers until the ticket expired."""
    scheduler, _, _, task = make_advised(["w1", "w2"], workers=("w1",))
    scheduler.add_job(make_job(steps=(Step(2, Shape(1.0, 1), 1.0, max_per_worker=1),)))
    task.request_advice()
    assert [order.worker for order in starts(scheduler)] == ["w1"]
    add_worker(scheduler, "w2")
    task.request_advice()
    assert [order.worker for order in starts(scheduler)] == ["w2"]


def test_no_step_starts_while_the_advice_service_does_not_answer():
    scheduler, service, _, task = make_advised(["w1"])
    scheduler.add_job(make_job())
    service.advise = lambda question: Failure(PlatformUnavailable("away"))
    assert not task.request_advice()
    assert starts(scheduler) == []


def test_no_advice_is_requested_for_queues_without_a_policy():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    assert isinstance(scheduler, Scheduler)
    assert next_request(scheduler, NOW_MS, 0.0) is None
