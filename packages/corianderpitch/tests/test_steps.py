"""Gangs, schedules, checkpoints and speculative copies of tasks."""

from schedulers import (
    NOW_MS,
    QUEUE,
    done,
    make_job,
    make_scheduler,
    report,
    running,
    starts,
)

from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.orders import StartRun, StopRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.workers import EndKind, ReportedEnd, ReportedRun
from corianderpitch.domain.scheduling.workloads import Schedule, Step, Workload
from corianderpitch.ids import JobId

GANG = Step(2, Shape(3.0, 100), 100.0, is_gang=True)
SAVING = Step(1, Shape(1.0, 100), 100.0, saves_progress=True)


def ended(order, kind, checkpoint="", sequence=1):
    return ReportedEnd(sequence, order.task, order.number, kind, checkpoint)


class TestGangs:
    def test_a_gang_starts_as_a_whole_under_one_number_or_not_at_all(self):
        small = make_scheduler(("w1",))
        small.add_job(make_job(steps=(GANG,)))
        assert starts(small) == []
        scheduler = make_scheduler(("w1", "w2"))
        scheduler.add_job(make_job(steps=(GANG,)))
        orders = starts(scheduler)
        assert len(orders) == 2
        assert len({order.number for order in orders}) == 1

    def test_one_successful_end_completes_the_whole_gang(self):
        scheduler = make_scheduler(("w1", "w2"))
        scheduler.add_job(make_job(steps=(GANG,)))
        first, _ = starts(scheduler)
        report(scheduler, first.worker, ended=[done(first)])
        (change,) = scheduler.pop_changes()
        assert change.record.state is JobState.DONE

    def test_a_gang_whose_member_has_failed_starts_again_only_when_all_have_ended(self):
        scheduler = make_scheduler(("w1", "w2", "w3", "w4"))
        scheduler.add_job(make_job(steps=(GANG,)))
        first, second = starts(scheduler)
        report(scheduler, first.worker, ended=[ended(first, EndKind.FAILED)])
        assert starts(scheduler) == []
        report(scheduler, second.worker, ended=[ended(second, EndKind.GANG_BROKEN)])
        again = starts(scheduler)
        assert len(again) == 2
        assert all(order.number > first.number for order in again)

    def test_failures_of_different_members_count_together(self):
        """The queue allows two attempts, and a different member fails in each."""
        scheduler = make_scheduler(("w1", "w2"))
        scheduler.add_job(make_job(steps=(GANG,)))
        for failing in (0, 1):
            orders = {order.task.index: order for order in starts(scheduler)}
            assert len(orders) == 2
            for index, order in orders.items():
                kind = EndKind.FAILED if index == failing else EndKind.GANG_BROKEN
                sequence = scheduler.workers[order.worker].processed_sequence + 1
                report(
                    scheduler,
                    order.worker,
                    ended=[ended(order, kind, sequence=sequence)],
                )
        (change,) = scheduler.pop_changes()
        assert change.record.state is JobState.FAILED


class TestSchedules:
    def make(self, repeats=2, start_ms=1000.0, period_ms=500.0):
        schedule = Schedule(repeats, start_ms, period_ms)
        steps = (Step(1, Shape(1.0, 100), 100.0),)
        workload = Workload(JobId("a"), QUEUE.name, "", steps, schedule)
        scheduler = make_scheduler()
        scheduler.add_job(ActiveJob(workload, 0.0, 9))
        return scheduler

    def starts(self, scheduler, wall_ms):
        plan(scheduler, NOW_MS, wall_ms)
        return [o for o in scheduler.pop_orders() if isinstance(o, StartRun)]

    def test_nothing_starts_before_its_time(self):
        scheduler = self.make()
        assert self.starts(scheduler, 999.0) == []
        assert [o.task.occurrence for o in self.starts(scheduler, 1000.0)] == [0]

    def test_occurrences_may_overlap(self):
        scheduler = self.make()
        self.starts(scheduler, 1000.0)
        assert [o.task.occurrence for o in self.starts(scheduler, 1500.0)] == [1]

    def test_the_job_is_done_when_all_occurrences_are(self):
        scheduler = self.make()
        (first,) = self.starts(scheduler, 1000.0)
        report(scheduler, first.worker, ended=[done(first)])
        (change,) = scheduler.pop_changes()
        assert not change.is_final
        (second,) = self.starts(scheduler, 1500.0)
        sequence = scheduler.workers[second.worker].processed_sequence + 1
        report(scheduler, second.worker, ended=[done(second, sequence)])
        (change,) = scheduler.pop_changes()
        assert change.record.state is JobState.DONE

    def test_a_successor_continues_with_the_occurrence_that_is_due(self):
        scheduler = self.make()
        (first,) = self.starts(scheduler, 1000.0)
        report(scheduler, first.worker, ended=[done(first)])
        (change,) = scheduler.pop_changes()
        restored = ActiveJob(change.job.workload, 0.0, 9)
        restored.restore(change.record)
        successor = make_scheduler()
        successor.add_job(restored)
        assert [o.task.occurrence for o in self.starts(successor, 1500.0)] == [1]


class TestCheckpoints:
    def test_a_task_resumes_from_its_last_checkpoint(self):
        scheduler = make_scheduler()
        scheduler.add_job(make_job(steps=(SAVING,)))
        (order,) = starts(scheduler)
        end = ended(order, EndKind.STOPPED, "half")
        report(scheduler, order.worker, ended=[end])
        (again,) = starts(scheduler)
        assert again.checkpoint == "half"

    def test_a_successor_restores_the_checkpoint(self):
        scheduler = make_scheduler()
        scheduler.add_job(make_job(steps=(SAVING,)))
        (order,) = starts(scheduler)
        listed = ReportedRun(order.task, order.number, "third", 33.0)
        report(scheduler, order.worker, running=[listed])
        (change,) = scheduler.pop_changes()
        restored = ActiveJob(change.job.workload, 0.0, 9)
        restored.restore(change.record)
        successor = make_scheduler()
        successor.add_job(restored)
        assert starts(successor)[0].checkpoint == "third"


def test_a_copy_of_a_speculative_task_is_stopped_when_the_other_is_done():
    scheduler = make_scheduler()
    step = Step(1, Shape(1.0, 100), 100.0, is_speculative=True)
    scheduler.add_job(make_job(steps=(step,)))
    (order,) = starts(scheduler)
    report(scheduler, order.worker, running=[running(order)])
    other = next(w for w in scheduler.workers if w != order.worker)
    copy = ReportedRun(order.task, order.number + 1, "", 5.0)
    report(scheduler, other, running=[copy])
    report(scheduler, order.worker, ended=[done(order)])
    stops = [o for o in scheduler.pop_orders() if isinstance(o, StopRun)]
    assert {stop.worker for stop in stops} == {other}
