"""Fillers give way to the tasks that serve users beside them."""

from test_scheduler import NOW_MS, make_job, make_scheduler, report, starts

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.pacing import needs_watching, pace_fillers
from corianderpitch.domain.scheduling.workers import ListedRun
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import WorkerId

TARGET_MS = 40.0
IMPACT_MS = 4000.0  # a tail may be over its target for less than this
REPORT_MS = 600.0  # between two lists of a worker: the long poll and its way
SERVING = Step(1, Shape(1.0, 100), 0.0, is_lasting=True, target_ms=TARGET_MS)
FILLER = Step(1, Shape(1.0, 100), 0.0, is_lasting=True, is_filler=True)
W1 = WorkerId("w1")


class Bench:
    """A worker with a serving task and a filler, listed every 600 ms."""

    def __init__(self):
        self.scheduler = make_scheduler(("w1",))
        self.scheduler.add_job(make_job(steps=(SERVING, FILLER)))
        self.orders = {order.task.step: order for order in starts(self.scheduler)}
        self.now_ms = NOW_MS

    def tell(self, tail_ms):
        self.now_ms += REPORT_MS
        runs = [
            ListedRun(order.task, order.number, "", 100.0, load)
            for order, load in ((self.orders[0], tail_ms), (self.orders[1], 0.5))
        ]
        report(self.scheduler, "w1", running=runs, asked_ms=self.now_ms)
        return pace_fillers(self.scheduler, self.now_ms)

    def obey(self, orders, result=OrderResult.DONE):
        for order in orders:
            self.scheduler.take_result(order, result, self.now_ms)
        return [order.percent for order in orders]


def test_a_tail_over_its_target_stops_the_filler_well_before_it_counts_as_harm():
    bench = Bench()
    began_ms = bench.now_ms
    percents = []
    while 0 not in percents:
        percents += bench.obey(bench.tell(2.0 * TARGET_MS))
        assert bench.now_ms - began_ms < IMPACT_MS
    assert percents == [30, 0]


def test_only_the_filler_is_paced():
    bench = Bench()
    (order,) = bench.tell(2.0 * TARGET_MS)
    assert order.task.step == 1


def test_a_tail_below_its_target_lets_the_filler_speed_up_again_step_by_step():
    bench = Bench()
    bench.obey(bench.tell(2.0 * TARGET_MS))
    percents = []
    for _ in range(40):
        percents += bench.obey(bench.tell(0.5 * TARGET_MS))
    assert percents == [40, 50, 60, 70, 80, 90, 100]


def test_a_tail_just_below_its_target_changes_nothing():
    bench = Bench()
    assert bench.tell(0.9 * TARGET_MS) == []


def test_an_order_without_an_answer_is_given_again():
    bench = Bench()
    bench.obey(bench.tell(2.0 * TARGET_MS), OrderResult.NO_ANSWER)
    assert bench.obey(bench.tell(2.0 * TARGET_MS)) == [30]


def test_workers_with_both_kinds_are_watched_more_closely():
    bench = Bench()
    bench.tell(1.0)
    assert needs_watching(bench.scheduler, bench.scheduler.workers[W1])
    plain = make_scheduler(("w1",))
    assert not needs_watching(plain, plain.workers[W1])
