"""Throttling of fillers that share a worker with user-serving tasks."""

from schedulers import NOW_MS, add_worker, make_job, make_scheduler, report, starts

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.pacing import needs_frequent_reports, pace_fillers
from corianderpitch.domain.scheduling.workers import ReportedRun
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import WorkerId

TARGET_MS = 40.0
IMPACT_MS = 4000.0  # a longer excess over the target counts as harm
REPORT_MS = 600.0  # between two reports of a worker: the long poll and its latency
SERVING = Step(1, Shape(1.0, 100), 0.0, is_lasting=True, target_ms=TARGET_MS)
FILLER = Step(1, Shape(1.0, 100), 0.0, is_lasting=True, is_filler=True)
W1 = WorkerId("w1")


class SharedWorker:
    """A worker with a serving task and a filler, which reports every 600 ms."""

    def __init__(self):
        self.scheduler = make_scheduler(("w1",))
        self.scheduler.add_job(make_job(steps=(SERVING, FILLER)))
        self.orders = {order.task.step: order for order in starts(self.scheduler)}
        self.now_ms = NOW_MS

    def report_tail(self, tail_ms):
        self.now_ms += REPORT_MS
        runs = [
            ReportedRun(order.task, order.number, "", 100.0, load)
            for order, load in ((self.orders[0], tail_ms), (self.orders[1], 0.5))
        ]
        report(self.scheduler, "w1", running=runs, requested_ms=self.now_ms)
        return pace_fillers(self.scheduler, self.now_ms)

    def apply_orders(self, orders, result=OrderResult.DONE):
        for order in orders:
            self.scheduler.apply_order_result(order, result, self.now_ms)
        return [order.percent for order in orders]


def test_a_tail_over_its_target_stops_the_filler_before_it_counts_as_harm():
    shared = SharedWorker()
    start_ms = shared.now_ms
    percents = []
    while 0 not in percents:
        percents += shared.apply_orders(shared.report_tail(2.0 * TARGET_MS))
        assert shared.now_ms - start_ms < IMPACT_MS
    assert percents == [30, 0]


def test_only_the_filler_is_paced():
    shared = SharedWorker()
    (order,) = shared.report_tail(2.0 * TARGET_MS)
    assert order.task.step == 1


def test_a_tail_below_its_target_lets_the_filler_speed_up_in_steps():
    shared = SharedWorker()
    shared.apply_orders(shared.report_tail(2.0 * TARGET_MS))
    percents = []
    for _ in range(40):
        percents += shared.apply_orders(shared.report_tail(0.5 * TARGET_MS))
    assert percents == [40, 50, 60, 70, 80, 90, 100]


def test_a_tail_just_below_its_target_changes_nothing():
    shared = SharedWorker()
    assert shared.report_tail(0.9 * TARGET_MS) == []


def test_an_order_without_an_answer_is_sent_again():
    shared = SharedWorker()
    shared.apply_orders(shared.report_tail(2.0 * TARGET_MS), OrderResult.NO_ANSWER)
    assert shared.apply_orders(shared.report_tail(2.0 * TARGET_MS)) == [30]


def test_workers_with_fillers_and_serving_tasks_need_frequent_reports():
    shared = SharedWorker()
    shared.report_tail(1.0)
    assert needs_frequent_reports(shared.scheduler, shared.scheduler.workers[W1])
    plain = make_scheduler(("w1",))
    assert not needs_frequent_reports(plain, plain.workers[W1])


def test_a_filler_that_the_predecessor_had_stopped_goes_on_under_its_successor():
    """It stayed at 0 percent for good: its run was taken for one at full speed."""
    shared = SharedWorker()
    successor = make_scheduler(())
    add_worker(successor, "w1")
    successor.add_job(make_job(steps=(SERVING, FILLER), version=3))
    shared.scheduler = successor
    percents = []
    for _ in range(40):
        percents += shared.apply_orders(shared.report_tail(0.5 * TARGET_MS))
    assert percents == [40, 50, 60, 70, 80, 90, 100]
